#!/usr/bin/env python3
"""Control traffic and processor time of running processes, from the kernel's counters of their TCP connections.

Usage: control_traffic.py SECONDS NAME=PID...
Bytes include TCP and IP headers, reckoned at 52 bytes a segment. Connections that open and close between the two looks
are not seen; the programs keep theirs open.
"""
import os
import re
import subprocess
import sys
import time

HEADER_BYTES = 52


def read_connections():
    """Bytes by process id and connection: what the kernel counted since the connection opened."""
    text = subprocess.run(["ss", "-tinpOH"], capture_output=True, text=True, check=True).stdout
    counted = {}
    for line in text.splitlines():
        owner = re.search(r"pid=(\d+)", line)
        if owner is None:
            continue
        number = lambda name: int((re.search(rf"\b{name}:(\d+)", line) or [0, 0])[1])
        total = number("bytes_sent") + number("bytes_received")
        total += HEADER_BYTES * (number("segs_out") + number("segs_in"))
        ends = tuple(line.split()[3:5])
        counted[(int(owner[1]), ends)] = total
    return counted


def read_ticks(pid):
    fields = open(f"/proc/{pid}/stat").read().rsplit(")", 1)[1].split()
    return int(fields[11]) + int(fields[12])


def read_memory_kb(pid):
    return int(re.search(r"VmRSS:\s+(\d+)", open(f"/proc/{pid}/status").read())[1])


def main():
    seconds = int(sys.argv[1])
    pids = {name: int(pid) for name, pid in (word.split("=") for word in sys.argv[2:])}
    ticks = {name: read_ticks(pid) for name, pid in pids.items()}
    before = read_connections()
    time.sleep(seconds)
    after = read_connections()
    clock = os.sysconf("SC_CLK_TCK")
    print(f"{'process':<14}{'bytes/s':>9}{'core %':>8}{'memory MB':>11}")
    for name, pid in pids.items():
        sent = sum(total - before.get(key, 0) for key, total in after.items() if key[0] == pid)
        used = (read_ticks(pid) - ticks[name]) / clock / seconds * 100
        print(f"{name:<14}{sent / seconds:>9.0f}{used:>8.2f}{read_memory_kb(pid) / 1024:>11.1f}")


if __name__ == "__main__":
    main()
