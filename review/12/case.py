"""An executor is lost for good, and some seconds later the leader's process is killed and started again. The task that
lasted there isn't started again for many more seconds, though the other executors are idle."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins_3"))
from deployment import *  # noqa: E402,F403

JOB = "00000000000000a1"
KILL_AFTER_S = 5.0
RESTART_AFTER_S = 0.5
AFTER_LAST_RUN_S = 6.0  # RULES, LOST.
CALM_BEFORE_S = 4.0
WITHOUT_RUN_S = 3.0


async def play(deployment, trouble):
    leader = deployment.leader()
    step = {"count": 1, "cpu": 16000, "mem-mb": 16000, "gpu": 1, "estimate-ms": 1000, "long-running": True}
    await deployment.submit(deployment.nodes[0], "batch", JOB, {"spec": "ms=0", "steps": [step]})
    await deployment.until(lambda: deployment.runs_of(JOB), 5, "a run of the task")
    await asyncio.sleep(3)
    lost_at = now()
    if trouble:
        if leader is not deployment.leader():
            raise NotRunnable("the leader has changed")
        name = deployment.runs_of(JOB)[-1][0]
        next(executor for executor in deployment.executors if executor.name == name).crash(is_gone=True)
        await asyncio.sleep(KILL_AFTER_S)
        if len(deployment.runs_of(JOB)) > 1:
            raise NotRunnable("the task was started again before the kill")
        deployment.kill_node(leader)
        await leader.process.wait()
        await asyncio.sleep(RESTART_AFTER_S)
        await deployment.start_node(leader)
    calm_since = now()
    # The first moment from which 3 s without a run count.
    counted_from = max(lost_at + AFTER_LAST_RUN_S, calm_since + CALM_BEFORE_S)
    await asyncio.sleep(25)
    runs = deployment.runs_of(JOB)
    if not trouble:
        return None if len(runs) == 1 and runs[0][4] is None else "the run has ended"
    began = next((run[3] for run in runs if run[3] > lost_at), None)
    if began is None or began > counted_from + WITHOUT_RUN_S:
        when = "not within 25 s" if began is None else f"{began - calm_since:.1f} s"
        return (f"LOST: no run of {JOB}.0.0.0 for {WITHOUT_RUN_S:.0f} s from {counted_from - lost_at:.1f} s after its "
                f"last run; next run after the last disturbance: {when}; after its last run: "
                f"{(began or now()) - lost_at:.1f} s")
    deployment.record.add(f"next run {began - lost_at:.1f} s after the last one")
    return None


run_case(os.path.dirname(os.path.abspath(__file__)), [["a", "r0"]] * 8, play)
