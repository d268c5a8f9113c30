"""A job whose schedule lies in the past stops all nodes."""

import os
import pathlib
import sys
import time

sys.dont_write_bytecode = True
FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

from deployment import run_case  # noqa: E402

FINISH_S = 14
WATCH_S = 60
SHORT_JOBS = ["5c0e7a21d94b01%02x" % number for number in range(15)]
LONG_JOBS = ["5c0e7a21d94b02%02x" % number for number in range(4)]
SCHEDULED = "5c0e7a21d94b0300"
WORK_MS = 100_000


def read_memory_mb(node):
    try:
        status = pathlib.Path("/proc/%d/status" % node["process"].pid).read_text()
    except OSError:
        return 0
    return sum(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS")) // 1024


def case(deployment):
    for job in LONG_JOBS:
        deployment.submit("/board/", job, "key-alpha",
                          {"spec": "work %d" % WORK_MS,
                           "steps": [{"count": 1, "cpu": 16000, "mem-mb": 8192, "gpu": 1, "estimate-ms": WORK_MS}]})
    for number, job in enumerate(SHORT_JOBS):
        deployment.submit("/board/", job, "key-alpha",
                          {"spec": "work 1500", "steps": [{"count": 1, "cpu": 4000, "mem-mb": 4096, "gpu": 1,
                                                           "estimate-ms": 1500}]}, number % 3)
    deployment.wait_for(lambda: all(deployment.count_starts(job) for job in LONG_JOBS), 10, "the long tasks run")
    # An occurrence each 10 s from now on, or, with the disruption, from the same time in seconds instead of
    # milliseconds: in 1970.
    now = time.time()
    start_at_ms = int(now) if deployment.has_trouble else int(now * 1000)
    submitted_at = deployment.submit(
        "/batch/", SCHEDULED, "key-beta",
        {"spec": "work 2000", "times": 10_000, "start-at-ms": start_at_ms, "interval-ms": 10_000,
         "steps": [{"count": 100, "cpu": 1000, "mem-mb": 1024, "estimate-ms": 2000}]}, 1)
    missing_since = None
    longest = 0.0
    next_look = 0.0
    while deployment.now() < submitted_at + WATCH_S:
        time.sleep(0.05)
        if deployment.now() >= next_look:
            next_look = deployment.now() + 10
            for node in deployment.nodes:
                began_at = deployment.now()
                status, _ = deployment.call(node, "GET", "/board/" + LONG_JOBS[0], None, "key-alpha")
                deployment.log("%s answers a GET of a job of alpha with %s after %.2f s; %d MB" %
                               (node["name"], status or "nothing", deployment.now() - began_at, read_memory_mb(node)))
        running = deployment.running()
        is_missing = any(job + ".0.0.0" not in running for job in LONG_JOBS)
        if not is_missing or deployment.now() < submitted_at + FINISH_S:
            missing_since = None
            continue
        missing_since = missing_since or deployment.now()
        longest = max(longest, deployment.now() - missing_since)
    deployment.log_load()
    deployment.log("starts of the scheduled job: %d" % deployment.count_starts(SCHEDULED))
    deployment.log("longest time with nothing of a job of alpha running, from finish_s on: %.1f s" % longest)
    return longest < 3


run_case(case, FOLDER, executors=8, racks=2, headroom={"cpu": 128000, "mem-mb": 262144, "gpu": 8},
         routes=[{"name": "board", "path-prefix": "/board/", "priority": 1},
                 {"name": "batch", "path-prefix": "/batch/", "priority": 2}],
         tenants=[{"name": "alpha", "api-keys": ["key-alpha"], "guaranteed": {"gpu": 16}},
                  {"name": "beta", "api-keys": ["key-beta"], "guaranteed": {"gpu": 16}}])
