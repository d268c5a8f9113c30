"""A client cancels a schedule of which 90,000 tasks have ended."""

import pathlib
import sys
import time

sys.dont_write_bytecode = True
FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

from deployment import LAST_LOOK_S, CannotRun, FastExecutors, run_case  # noqa: E402

FINISH_S = 14
WATCH_S = 65
PLAIN_S = 12  # The rule allows less than 3 s; the script ends after this time.
OCCURRENCES = 10_000
TASKS = 9
SCHEDULE = "5c0e7a21d94b0100"
EARLIER_JOBS = ["5c0e7a21d94b02%02x" % number for number in range(3)]
LATER_JOB = "5c0e7a21d94b0300"
HEADROOM = {"cpu": 128000, "mem-mb": 262144, "gpu": 8}


def log_report(deployment, executors):
    report = executors.report()
    states = [deployment.call(node, "GET", "/board/" + EARLIER_JOBS[0], None, "key-alpha")[0]
              for node in deployment.nodes]
    deployment.log("%d starts, %d tasks run, ends: %s; status of a GET at each node: %s; appends over the store's "
                   "limit: %d %s" % (report["starts"], report["running"], report["outcomes"], states,
                                     len(deployment.store.refused_appends), deployment.store.refused_appends[-1:]))
    return report


def case(deployment):
    executors = FastExecutors(deployment, 8, HEADROOM)
    for job in EARLIER_JOBS:
        deployment.submit("/board/", job, "key-alpha",
                          {"spec": "lasts", "steps": [{"count": 1, "cpu": 4000, "mem-mb": 4096, "gpu": 1,
                                                       "estimate-ms": 90_000}]})
    # The last occurrence works on until the job is cancelled; all others end at once.
    deployment.submit("/batch/", SCHEDULE, "key-beta",
                      {"spec": "lasts-at %d" % (OCCURRENCES - 1), "times": OCCURRENCES,
                       "start-at-ms": int(time.time() * 1000), "interval-ms": 2,
                       "steps": [{"count": TASKS, "cpu": 1000, "mem-mb": 512, "estimate-ms": 100}]}, 1)
    expected = OCCURRENCES * TASKS + len(EARLIER_JOBS)
    deployment.wait_for(lambda: executors.report()["running"] == TASKS + len(EARLIER_JOBS) and
                        executors.report()["starts"] >= expected, 45, "the last occurrence runs")
    log_report(deployment, executors)
    if deployment.has_trouble:
        status, answer = deployment.call(deployment.nodes[0], "DELETE", "/batch/" + SCHEDULE, None, "key-beta")
        deployment.log("DELETE of the schedule -> %d %s" % (status, answer.decode()))
    watched_from = deployment.now()
    time.sleep(5)
    is_accepted = deployment.submit_with_retries(
        "/board/", LATER_JOB, "key-alpha",
        {"spec": "short", "steps": [{"count": 4, "cpu": 4000, "mem-mb": 4096, "gpu": 1, "estimate-ms": 100}]})
    accepted_at = deployment.now()
    begun_after = None
    missing_since = None
    longest = 0.0
    next_look = 0.0
    watched_until = min(watched_from + WATCH_S, LAST_LOOK_S)
    while deployment.now() < watched_until and longest < PLAIN_S:
        time.sleep(0.5)
        report = executors.report()
        if begun_after is None and report["started_jobs"].get(LATER_JOB, 0) > 0:
            begun_after = deployment.now() - accepted_at
        if all(report["running_jobs"].get(job, 0) for job in EARLIER_JOBS) or \
                deployment.now() < accepted_at + FINISH_S:
            missing_since = None
        else:
            missing_since = missing_since or deployment.now()
            longest = max(longest, deployment.now() - missing_since)
        if deployment.now() >= next_look:
            next_look = deployment.now() + 8
            log_report(deployment, executors)
    log_report(deployment, executors)
    deployment.log("the later job of alpha was %s and began %s" %
                   ("accepted" if is_accepted else "not accepted",
                    "after %.1f s" % max(begun_after, 0) if begun_after is not None else "never"))
    deployment.log("longest time with nothing of an earlier job of alpha running, from finish_s on: %.1f s" % longest)
    # LOST: from finish_s on, a job may have nothing running for less than 3 s.
    if is_accepted and begun_after is None and deployment.now() < accepted_at + FINISH_S + 3:
        raise CannotRun("the time left for the later job was too short")
    is_late = is_accepted and (begun_after is None or begun_after >= FINISH_S + 3)
    return not is_late and longest < 3


run_case(case, FOLDER, executors=0, racks=1, headroom={},
         routes=[{"name": "board", "path-prefix": "/board/", "priority": 1},
                 {"name": "batch", "path-prefix": "/batch/", "priority": 2}],
         tenants=[{"name": "alpha", "api-keys": ["key-alpha"], "guaranteed": {"gpu": 16}},
                  {"name": "beta", "api-keys": ["key-beta"], "guaranteed": {"gpu": 16}}])
