"""A job whose cancel was answered with 410 runs: the store carries out its lost append after the cancel."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-3"))
from stand_ins import BOUNDS, CannotRun, run_case  # noqa: E402

JOB = "5c0e7a21d94b36f8"
LATE_S = 6.0           # A lost write is carried out 1 to 6 s later.
LOST_FOR_S = 4.5       # The longest platform_lost of the site file.
MAX_LOST_SHARE = 0.35  # Its largest dose.
DUE_IN_S = 20.0        # When the job's only occurrence is due.
CANCEL_S = BOUNDS["cancel_ms"] / 1000
CONTACT_S = BOUNDS["contact-ms"] / 1000


class LostAppends:
    """Answers some appends not at all and carries them out LATE_S later. Chooses the appends that hold the job."""

    def __init__(self, system):
        self.system = system
        self.serve = system.store.server.handler
        self.writes = 0
        self.lost = 0
        self.ends_at = time.monotonic() + LOST_FOR_S
        system.store.server.handler = self.handle

    async def handle(self, method, path, query, headers, body):
        if path != "/log-append" or time.monotonic() > self.ends_at:
            return await self.serve(method, path, query, headers, body)
        self.writes += 1
        if JOB.encode() not in body:
            return await self.serve(method, path, query, headers, body)
        self.lost += 1
        self.system.note("append lost", topic=query["topic"], bytes=len(body))
        asyncio.get_running_loop().call_later(LATE_S, self.carry_out, query, body)
        return None

    def carry_out(self, query, body):
        status, _ = self.system.store.append(query["topic"], query, body)
        self.system.note("lost append carried out", topic=query["topic"], status=status)


async def submit_others(system):
    """Ordinary work of other clients, which the store serves."""
    for row in range(200):
        await system.submit(system.nodes[1], "batch", "%016x" % (0xa000 + row), [{}], work=0.3, raw=json.dumps(
            {"spec": "x", "steps": [{"count": 1, "cpu": 1000, "mem-mb": 100, "gpu": 1, "estimate-ms": 300}]}).encode())
        await asyncio.sleep(0.05)


async def cancel(system, node):
    """Repeats the DELETE until it is acknowledged. Returns when that was."""
    for _ in range(20):
        status, _ = await node.call("DELETE", f"/regular/{JOB}")
        system.note("cancel", node=node.name, job=JOB, status=status)
        if 200 <= status < 300 or status == 410:
            return system.events[-1]["t"]
        await asyncio.sleep(0.3)
    raise CannotRun("the cancel was never acknowledged")


async def case(system, has_trouble):
    await system.begin(executors=4, nodes=2)
    lost = LostAppends(system) if has_trouble else None
    others = asyncio.create_task(submit_others(system))
    node = system.nodes[0]
    status = await system.submit(node, "regular", JOB, [{}], work=1.0, raw=json.dumps(
        {"spec": "delivery plan", "times": 1, "start-at-ms": int((time.time() + DUE_IN_S) * 1000), "interval-ms": 1000,
         "steps": [{"count": 1, "cpu": 1000, "mem-mb": 100, "gpu": 1, "estimate-ms": 1000}]}).encode())
    await asyncio.sleep(0.3)
    cancelled_at = await cancel(system, node)
    await asyncio.sleep(DUE_IN_S + 2)
    others.cancel()
    for one in system.nodes:
        await system.read(one, "regular", JOB)
    if lost:
        system.note("store", writes=lost.writes, lost=lost.lost, share=round(lost.lost / max(lost.writes, 1), 3))
        if lost.lost == 0 or lost.lost > MAX_LOST_SHARE * lost.writes:
            raise CannotRun("too few or too many writes were lost")
    calm_from = max([e["t"] for e in system.events if e["kind"] == "lost append carried out"], default=0) + CONTACT_S
    for event in system.events:
        is_start = event["kind"] == "start" and event["task"].startswith(JOB)
        if is_start and event["t"] > cancelled_at + CANCEL_S and event["t"] > calm_from:
            return (f"{event['task']} starts at {event['t']} s; its cancel was acknowledged at {cancelled_at} s (limit "
                    f"{CANCEL_S} s), and the store has been undisturbed since {calm_from - CONTACT_S:.1f} s; the job had "
                    f"been answered with {status}")
    return None


run_case(case, __file__)
