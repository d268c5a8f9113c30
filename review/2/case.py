"""More than 500 tasks of one executor end while the store is away."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins"))
from deployment import run_case

SERVICE = "huvo11a"
JOBS, TASKS = 10, 60
WORK_MS = 6000
SUBMIT_GAP_S = 0.25
AWAY_S = 4.5  # platform_down, for_s, in the site file.


async def script(case):
    await case.start(2, [{"name": f"i-{row}", "service": SERVICE} for row in range(2)])
    case.configure([("r-1", "/lohu930/", SERVICE, 1, 3)])
    await case.wait_ready()
    await asyncio.sleep(1)
    jobs = []
    for row in range(JOBS):
        job = f"5c0e7a21d94b36{row:02x}"
        accepted = await case.submit(case.nodes[row % 2], "/lohu930/", job, f"work={WORK_MS}",
                                     [{"count": TASKS, "cpu": 200, "mem-mb": 400, "estimate-ms": WORK_MS}])
        if not accepted:
            raise RuntimeError("a job was not accepted")
        jobs.append(job)
        await asyncio.sleep(SUBMIT_GAP_S)
    begun = {task for _, _, task, _ in case.fleet.starts}
    case.log("all_submitted", begun=len(begun))
    first_start = min(moment for moment, _, _, _ in case.fleet.starts)
    await asyncio.sleep(max(0, first_start + WORK_MS / 1000 - 0.3 - time.monotonic()))
    if case.trouble:
        case.store.busy = True
        case.log("store_down", answers=503)
    await asyncio.sleep(AWAY_S)
    case.store.busy = False
    case.log("store_back")
    await asyncio.sleep(20)
    states = [await case.find_state(case.nodes[0], "/lohu930/", job) for job in jobs]
    # TWICE: a start after a run has ended `done`, if that end is taken note of then or later.
    ended = {}
    again = []
    for line in case.history:
        if line[0] == "end" and line[3] == "done":
            ended.setdefault(line[1], line[2])
        elif line[0] == "start" and line[1] in ended and (line[1], ended[line[1]]) in case.fleet.noted_done:
            again.append((line[1], line[2]))
    case.log("summary", states=states, started_again_after_done=len(again), examples=again[:5],
             overlaps=case.fleet.overlaps[:5])
    print("tasks:", JOBS * TASKS, "started again after an end `done` that was taken note of:", len(again), set(states))
    return not again and not case.fleet.overlaps


sys.exit(run_case(script))
