"""The leader is killed while a schedule is open of which 110,000 tasks have ended."""

import pathlib
import sys
import time

sys.dont_write_bytecode = True
FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

from deployment import LAST_LOOK_S, CannotRun, FastExecutors, run_case  # noqa: E402

FINISH_S = 14
WATCH_S = 60

FINISH_S = 14
WATCH_S = 45
PLAIN_S = 12  # The rule allows less than 3 s; the script ends after this time.
OCCURRENCES = 10_000
TASKS = 11
SCHEDULE = "5c0e7a21d94b0100"
JOBS = ["5c0e7a21d94b02%02x" % number for number in range(3)]
HEADROOM = {"cpu": 128000, "mem-mb": 262144, "gpu": 8}


def log_report(deployment, report):
    states = [deployment.call(node, "GET", "/board/" + JOBS[0], None, "key-alpha")[0] for node in deployment.nodes]
    deployment.log("%d starts, %d tasks run, ends: %s; status of a GET at each node: %s" %
                   (report["starts"], report["running"], report["outcomes"], states))


def kill_leader(deployment):
    for node in deployment.nodes:
        if deployment.is_leading(node):
            node["process"].kill()
            node["process"].wait()
            deployment.log("killed %s, which led" % node["name"])
            time.sleep(1)
            deployment.restart_node(node)
            return


def case(deployment):
    executors = FastExecutors(deployment, 8, HEADROOM)
    for job in JOBS:
        deployment.submit("/board/", job, "key-alpha",
                          {"spec": "lasts", "steps": [{"count": 1, "cpu": 4000, "mem-mb": 4096, "gpu": 1,
                                                       "estimate-ms": 90_000}]})
    # The last occurrence works on; all others end at once.
    deployment.submit("/batch/", SCHEDULE, "key-beta",
                      {"spec": "lasts-at %d" % (OCCURRENCES - 1), "times": OCCURRENCES,
                       "start-at-ms": int(time.time() * 1000), "interval-ms": 2,
                       "steps": [{"count": TASKS, "cpu": 1000, "mem-mb": 512, "estimate-ms": 100}]}, 1)
    expected = OCCURRENCES * TASKS + len(JOBS)
    deployment.wait_for(lambda: executors.report()["running"] == TASKS + len(JOBS) and
                        executors.report()["starts"] >= expected, 60, "the last occurrence runs")
    log_report(deployment, executors.report())
    if deployment.has_trouble:
        kill_leader(deployment)
    watched_from = deployment.now()
    missing_since = None
    longest = 0.0
    next_look = 0.0
    if watched_from + FINISH_S + 5 > LAST_LOOK_S:
        raise CannotRun("the schedule took too long")
    watched_until = min(watched_from + WATCH_S, LAST_LOOK_S)
    while deployment.now() < watched_until and longest < PLAIN_S:
        time.sleep(0.2)
        report = executors.report()
        if all(report["running_jobs"].get(job, 0) for job in JOBS) or deployment.now() < watched_from + FINISH_S:
            missing_since = None
        else:
            missing_since = missing_since or deployment.now()
            longest = max(longest, deployment.now() - missing_since)
        if deployment.now() >= next_look:
            next_look = deployment.now() + 8
            log_report(deployment, report)
    log_report(deployment, executors.report())
    deployment.log("longest time with nothing of a job of alpha running, from finish_s on: %.1f s" % longest)
    return longest < 3


run_case(case, FOLDER, executors=0, racks=1, headroom={},
         routes=[{"name": "board", "path-prefix": "/board/", "priority": 1},
                 {"name": "batch", "path-prefix": "/batch/", "priority": 2}],
         tenants=[{"name": "alpha", "api-keys": ["key-alpha"], "guaranteed": {"gpu": 16}},
                  {"name": "beta", "api-keys": ["key-beta"], "guaranteed": {"gpu": 16}}])
