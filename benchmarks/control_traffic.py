#!/usr/bin/env python3
"""Prints control traffic, processor time and memory of running processes; the traffic from the kernel's TCP counters.

Usage: control_traffic.py SECONDS NAME=PID...
Bytes include TCP and IP headers, estimated at 52 bytes a segment. Connections that open and close between the two
samples are not counted; the measured programs keep theirs open.
"""
import os
import re
import subprocess
import sys
import time

HEADER_BYTES = 52


def read_connections():
    """Bytes sent and received since each connection opened, by process id and endpoints."""
    text = subprocess.run(["ss", "-tinpOH"], capture_output=True, text=True, check=True).stdout
    totals = {}
    for line in text.splitlines():
        owner = re.search(r"pid=(\d+)", line)
        if owner is None:
            continue
        read_counter = lambda name: int((re.search(rf"\b{name}:(\d+)", line) or [0, 0])[1])
        total = read_counter("bytes_sent") + read_counter("bytes_received")
        total += HEADER_BYTES * (read_counter("segs_out") + read_counter("segs_in"))
        endpoints = tuple(line.split()[3:5])
        totals[(int(owner[1]), endpoints)] = total
    return totals


def read_ticks(pid):
    fields = open(f"/proc/{pid}/stat").read().rsplit(")", 1)[1].split()
    return int(fields[11]) + int(fields[12])


def read_memory_kb(pid):
    return int(re.search(r"VmRSS:\s+(\d+)", open(f"/proc/{pid}/status").read())[1])


def main():
    seconds = int(sys.argv[1])
    pids = {name: int(pid) for name, pid in (argument.split("=") for argument in sys.argv[2:])}
    ticks = {name: read_ticks(pid) for name, pid in pids.items()}
    before = read_connections()
    time.sleep(seconds)
    after = read_connections()
    ticks_per_second = os.sysconf("SC_CLK_TCK")
    print(f"{'process':<14}{'bytes/s':>9}{'core %':>8}{'memory MB':>11}")
    for name, pid in pids.items():
        traffic = sum(total - before.get(key, 0) for key, total in after.items() if key[0] == pid)
        core_percent = (read_ticks(pid) - ticks[name]) / ticks_per_second / seconds * 100
        print(f"{name:<14}{traffic / seconds:>9.0f}{core_percent:>8.2f}{read_memory_kb(pid) / 1024:>11.1f}")


if __name__ == "__main__":
    main()
