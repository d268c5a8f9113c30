"""The service is full but for one executor, which refuses all orders to start. Jobs wait; the count of them is asked."""
import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins"))
from deployment import run_case

SERVICE = "huvo11a"
PREFIX = "/lohu930/"
EXECUTORS = 9
GREY = "i-8"  # One of nine: share 0.11.
GREY_S = 6.2  # srv_grey, for_s, in the site file.
WORK_MS = 14000
WAITING_JOBS = 6
VISIBLE_MS = 3000
# Of the sizes of the site's kinds of request `full-board` and `letter-batch`.
LARGE = {"count": 1, "cpu": 52000, "mem-mb": 110000, "gpu": 8, "estimate-ms": WORK_MS}
SMALL = {"count": 1, "cpu": 11000, "mem-mb": 16000, "gpu": 1, "estimate-ms": WORK_MS}


async def script(case):
    await case.start(3, [{"name": f"i-{row}", "service": SERVICE} for row in range(EXECUTORS)])
    case.configure([("r-1", PREFIX, SERVICE, 1, 3)])
    await case.wait_ready()
    await asyncio.sleep(1)
    for row in range(EXECUTORS):
        if not await case.submit(case.nodes[row % 3], PREFIX, f"aaaa0000000000{row:02x}", f"work={WORK_MS}", [LARGE]):
            raise RuntimeError("a job was not accepted")
    await asyncio.sleep(1)
    busy = {name for _, name, _, _ in case.fleet.starts}
    if len(busy) != EXECUTORS:
        raise RuntimeError("the service is not full")
    # Makes room on one executor: its job is cancelled.
    grey = case.fleet.executors[GREY]
    job = next(iter(grey.running)).split(".")[0]
    if case.trouble:
        grey.refuses_starts = True
        case.log("grey_begins", executor=GREY, answers=503)
    grey_until = time.monotonic() + GREY_S
    await case.request(case.nodes[0], "DELETE", PREFIX + job)
    accepted = {}
    for row in range(WAITING_JOBS):
        name = f"bbbb0000000000{row:02x}"
        if not await case.submit(case.nodes[row % 3], PREFIX, name, f"work={WORK_MS}", [SMALL]):
            raise RuntimeError("a job was not accepted")
        accepted[name] = time.monotonic()
    broken = 0
    while time.monotonic() < grey_until:
        await asyncio.sleep(0.25)
        now = time.monotonic()
        begun = {task.split(".")[0] for _, _, task, _ in case.fleet.starts}
        old = [name for name, moment in accepted.items() if now - moment > VISIBLE_MS / 1000 + 2 and name not in begun]
        for node in case.nodes:
            status, answer = await case.request(node, "GET", PREFIX)
            waiting = json.loads(answer)["waiting"] if status == 200 else None
            if old and waiting is not None and waiting < len(old) / 2:
                broken += 1
                case.log("too_few", node=node.name, waiting=waiting, accepted_long_ago_and_not_begun=len(old))
    grey.refuses_starts = False
    case.log("summary", answers_with_under_half=broken)
    print("answers that gave under half of the waiting jobs:", broken)
    return broken == 0


sys.exit(run_case(script))
