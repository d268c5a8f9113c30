"""An entry of another writer in the executors' directory, of a service that isn't named, whose address is a host name."""
import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins"))
from deployment import run_case

SERVICE = "huvo11a"
FOREIGN = {"service": "render-cache", "address": "cache-7.example:11211", "zone": "z1", "version": "v1", "capacity": 8,
           "state": "ready", "warmup-left-ms": 0, "headroom": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
           "labels": ["a", "r1-1"], "clock-ms": 1000, "sequence": 1}
FINISH_S = 14
IDLE_S = 3


async def script(case):
    await case.start(3, [{"name": f"i-{row}", "service": SERVICE} for row in range(4)])
    case.configure([("r-1", "/lohu930/", SERVICE, 1, 3)])
    await case.wait_ready()
    if case.trouble:
        case.store.put("keyed.servers", "cache-7", json.dumps(FOREIGN))
        case.log("foreign_entry_written", key="cache-7", value=FOREIGN)
    await asyncio.sleep(2)
    # Retries reach other nodes: each job goes to the nodes in turn until one accepts it.
    accepted = []
    for row in range(6):
        job = f"5c0e7a21d94b36f{row}"
        for node in case.nodes:
            if await case.submit(node, "/lohu930/", job, "work=2000",
                                 [{"count": 2, "cpu": 1000, "mem-mb": 256, "gpu": 1, "estimate-ms": 2000}], tries=1):
                accepted.append(job)
                break
    await asyncio.sleep(FINISH_S + IDLE_S)
    begun = {task.split(".")[0] for _, _, task, _ in case.fleet.starts}
    idle = [job for job in accepted if job not in begun]
    states = [await case.find_state(case.nodes[2], "/lohu930/", job) for job in accepted]
    ends = {node.name: len(node.own_ends) for node in case.nodes}
    case.log("summary", ended_by_themselves=ends, accepted=len(accepted), never_begun=idle, states=states)
    print("accepted:", len(accepted), "never begun:", len(idle), "processes that ended by themselves:", ends)
    if not accepted:
        raise RuntimeError("no job was accepted")
    # LOST: nothing of an accepted job runs, though the whole service is free. All executors are sound and empty.
    return not idle


sys.exit(run_case(script))
