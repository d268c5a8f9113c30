"""A task that serves users loses its executor while tasks that fill run on all others."""

import pathlib
import sys
import time

sys.dont_write_bytecode = True
FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

from deployment import run_case  # noqa: E402

WATCH_S = 45
JUDGED_FROM_S = 15  # LOST: 6. A restart that is only late is not the subject of this case.
SERVING = "5c0e7a21d94b0001"
FILLING = "5c0e7a21d94b0002"


def case(deployment):
    serving = {"spec": "lasts", "long-running": True,
               "steps": [{"count": 1, "cpu": 4000, "mem-mb": 4096, "image": "menu", "target-ms": 200,
                          "long-running": True}]}
    filling = {"spec": "lasts", "long-running": True,
               "steps": [{"count": 6, "cpu": 2000, "mem-mb": 2048, "image": "index", "fills": True, "anti-affinity": 1,
                          "long-running": True}]}
    deployment.submit("/menu/", SERVING, "key-alpha", serving)
    deployment.wait_for_tasks(SERVING, 1)
    deployment.submit("/index/", FILLING, "key-beta", filling)
    deployment.wait_for_tasks(FILLING, 6)
    deployment.log_load()
    crashed_at = deployment.now()
    if deployment.has_trouble:
        deployment.running()[SERVING + ".0.0.0"].crash_for_good()
    # LOST: from 6 s after its last run on, a task that lasts may be missing for less than 3 s.
    missing_since = None
    longest = 0.0
    while deployment.now() < crashed_at + WATCH_S:
        time.sleep(0.05)
        if SERVING + ".0.0.0" in deployment.running() or deployment.now() < crashed_at + JUDGED_FROM_S:
            missing_since = None
            continue
        missing_since = missing_since or deployment.now()
        longest = max(longest, deployment.now() - missing_since)
    deployment.log_load()
    deployment.read_state("/menu/", SERVING, "key-alpha")
    deployment.log("longest time without the serving task, from %d s after its last run on: %.1f s" %
                   (JUDGED_FROM_S, longest))
    return longest < 3


run_case(case, FOLDER, executors=7, racks=2, headroom={"cpu": 128000, "mem-mb": 262144, "gpu": 8},
         routes=[{"name": "menu", "path-prefix": "/menu/", "priority": 1},
                 {"name": "index", "path-prefix": "/index/", "priority": 2}],
         tenants=[{"name": "alpha", "api-keys": ["key-alpha"], "guaranteed": {"gpu": 8}},
                  {"name": "beta", "api-keys": ["key-beta"], "guaranteed": {"gpu": 8}}])
