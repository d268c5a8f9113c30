"""A leader is paused while the store's answer to its placement is on its way. A successor takes over, makes sure that
the task doesn't run, and starts it elsewhere. An executor crashes and is back. The former leader goes on and starts the
task there, on the permission of its old term."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins_3"))
from deployment import *  # noqa: E402,F403

JOB = "00000000000000a1"
FILLER = "00000000000000b1"
TASK = JOB + ".0.0.0"
MAX_PAUSE_S = 4.0  # node_freeze of the site.


async def play(deployment, trouble):
    leader = deployment.leader()
    others = [node for node in deployment.nodes if node is not leader]
    paused = []

    async def pause_leader(node, topic, answer):
        if trouble and not paused and node == leader.name and topic == "keyed.units":
            paused.append(now())
            deployment.kill_node(leader, signal.SIGSTOP)
        return answer

    deployment.store.before_append_answer = pause_leader
    step = {"count": 1, "cpu": 16000, "mem-mb": 16000, "gpu": 2, "estimate-ms": 15000}
    await deployment.submit(others[0], "batch", JOB, {"spec": "ms=15000", "steps": [step]})
    await asyncio.sleep(0.3)
    # Makes the executor with the label "b" the best fit for two GPUs, so that the successor starts the task there.
    await deployment.submit(others[1], "batch", FILLER,
                            {"spec": "ms=15000", "steps": [{**step, "gpu": 6, "requires": "b"}]})
    await deployment.until(lambda: deployment.runs_of(JOB), 8, "a run of the task")
    if trouble:
        # The executor that the former leader has chosen: the successor has told it to stop the run.
        chosen = next(executor for executor in deployment.executors if TASK in executor.finished)
        if any(run[0] == chosen.name for run in deployment.runs_of(JOB)):
            raise NotRunnable("the successor has chosen the same executor")
        chosen.refused_connections = 0
        chosen.crash()
        await deployment.until(lambda: chosen.refused_connections > 0, 3, "a call while the executor is down")
        chosen.restart()
        await asyncio.sleep(0.02)
        if now() - paused[0] > MAX_PAUSE_S:
            raise NotRunnable(f"the pause would last {now() - paused[0]:.2f} s")
        deployment.kill_node(leader, signal.SIGCONT)
        deployment.record.add(f"the pause lasted {now() - paused[0]:.2f} s")
    await asyncio.sleep(5)
    runs = deployment.runs_of(JOB)
    for first in runs:
        for second in runs:
            if first is second or second[3] < first[3]:
                continue
            overlap = min(first[4] or now(), second[4] or now()) - second[3]
            if overlap > 0:
                return (f"TWICE: {TASK} runs as run {first[2]} on {first[0]} and as run {second[2]} on {second[0]} "
                        f"at the same time, for {overlap * 1000:.0f} ms")
    return None


run_case(os.path.dirname(os.path.abspath(__file__)), [["a", "r0"]] * 7 + [["b", "r0"]], play)
