"""A long-running task fails once. It isn't started again, though its executor has room for it eight times over: the leader
avoids the executor on which the task failed for as long as another one could hold it if that were empty."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins_3"))
from deployment import *  # noqa: E402,F403

JOB = "00000000000000b1"
FULL = 7  # Of eight executors.
AFTER_LAST_RUN_S = 6.0  # RULES, LOST.
WITHOUT_RUN_S = 3.0
WATCHED_S = 30


def lasting_step(gpu):
    return {"count": 1, "cpu": 16000, "mem-mb": 16000, "gpu": gpu, "estimate-ms": 1000, "long-running": True}


async def play(deployment, trouble):
    for number in range(FULL):
        await deployment.submit(deployment.nodes[0], "batch", f"00000000000000a{number}",
                                {"spec": "ms=0", "steps": [lasting_step(8)]})
    await deployment.until(lambda: len(deployment.started) == FULL, 5, "seven executors are full")
    await deployment.submit(deployment.nodes[1], "batch", JOB, {"spec": "ms=0", "steps": [lasting_step(1)]})
    await deployment.until(lambda: deployment.runs_of(JOB), 5, "a run of the task")
    await asyncio.sleep(5)
    place = next(executor for executor in deployment.executors if JOB + ".0.0.0" in executor.runs)
    failed_at = now()
    if trouble:
        place.end(JOB + ".0.0.0", "failed")
    await asyncio.sleep(WATCHED_S)
    runs = deployment.runs_of(JOB)
    if not trouble:
        return None if len(runs) == 1 and runs[0][4] is None else "the run has ended"
    if place.ends:
        raise NotRunnable("the end of the run isn't taken note of")
    if place.runs or not place.is_up:
        return None
    began = next((run[3] for run in runs if run[3] > failed_at), None)
    if began is None or began > failed_at + AFTER_LAST_RUN_S + WITHOUT_RUN_S:
        when = f"none within {WATCHED_S} s" if began is None else f"{began - failed_at:.1f} s"
        return (f"LOST: no run of {JOB}.0.0.0 for {WITHOUT_RUN_S:.0f} s from {AFTER_LAST_RUN_S:.0f} s after its last run; "
                f"next run after its last one: {when}; all the while {place.name} was sound, idle and alone with room")
    deployment.record.add(f"next run {began - failed_at:.1f} s after the last one")
    return None


run_case(os.path.dirname(os.path.abspath(__file__)), [["a", "r0"]] * 8, play)
