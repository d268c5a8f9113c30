"""A queue's route is removed while its job runs, and the leading process is killed. The route comes back later."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins"))
from deployment import run_case

SERVICE = "huvo11a"
KEPT = ("r-kept", "/pule252/", SERVICE, 1, 3)
REMOVED = ("r-removed", "/lohu930/", SERVICE, 1, 3)
WORK_MS = 8000
IDLE_S = 3
JOB = "5c0e7a21d94b36f8"
WAITING_JOB = "5c0e7a21d94b36f9"


async def script(case):
    await case.start(3, [{"name": f"i-{row}", "service": SERVICE} for row in range(4)])
    case.configure([KEPT, REMOVED])
    await case.wait_ready()
    await asyncio.sleep(1)
    step = {"count": 1, "cpu": 1000, "mem-mb": 256, "gpu": 1, "estimate-ms": WORK_MS}
    # The first run of each task ends `failed`, by its own fault; max-attempts is 3.
    accepted = await case.submit(case.nodes[0], "/lohu930/", JOB, f"work={WORK_MS} fail=1", [step])
    # Two steps, one after the other.
    accepted = accepted and await case.submit(case.nodes[1], "/lohu930/", WAITING_JOB, f"work={WORK_MS}",
                                              [step, {**step, "after": [0]}])
    if not accepted:
        raise RuntimeError("a job was not accepted")
    await asyncio.sleep(1.5)
    case.configure([KEPT])
    await asyncio.sleep(2.5)  # config-apply-ms has passed.
    leader = await case.find_leader()
    if case.trouble:
        leader.kill()
    # Until the first steps have ended, and the second step's turn has come for longer than IDLE_S.
    await asyncio.sleep(WORK_MS / 1000 + IDLE_S + 3)
    runs = {job: [(task, run) for _, _, task, run in case.fleet.starts if task.startswith(job)]
            for job in (JOB, WAITING_JOB)}
    case.configure([KEPT, REMOVED])
    await asyncio.sleep(2.5)
    states = {job: await case.find_state(case.nodes[2], "/lohu930/", job) for job in (JOB, WAITING_JOB)}
    failed_ends = sum(1 for event in case.history if event[0] == "end" and event[1].startswith(JOB)
                      and event[3] == "failed")
    shown_failed = states[JOB] == "failed" and failed_ends < REMOVED[4]
    left_idle = not any(task.startswith(WAITING_JOB + ".0.1.") for task, _ in runs[WAITING_JOB])
    case.log("summary", runs_before_the_route_was_back=runs, states=states, failed_ends=failed_ends,
             shown_failed_without_cause=shown_failed, second_step_left_idle=left_idle)
    print("state:", states[JOB], "after", failed_ends, "failed ends of", REMOVED[4], "| second step not begun:", left_idle)
    return not shown_failed and not left_idle


sys.exit(run_case(script))
