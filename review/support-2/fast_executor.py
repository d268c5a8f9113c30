"""One executor as a process of its own, for cases with many short tasks.

Usage: fast_executor.py STORE_ADDRESS NUMBER RACK HEADROOM_JSON

It follows PROTOCOL.md like the executors of platform_stand_in.py. A task whose spec is `short` works for SHORT_MS, one
with `lasts` until it is stopped, and one with `lasts-at K` is short but in occurrence K. On standard input `report`
prints a line of counters.
"""

import asyncio
import collections
import json
import struct
import sys
import threading
import time
import urllib.request

HEARTBEAT_S = 1.5
MAX_LEASE_MS = 6000
SHORT_MS = 2
STOP_S = 0.02


class FastExecutor:
    def __init__(self, store, number, rack, headroom):
        self.store, self.rack, self.headroom = store, rack, headroom
        self.id = "i-%04d" % number
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.token = 0
        self.deadline_ms = 0
        self.running = {}  # Run by task.
        self.since = {}
        self.ended = []
        self.end_count = 0
        self.ended_runs = {}
        self.outcomes = {}
        self.starts = 0
        self.started_jobs = {}
        self.waiters = []
        self.address = ""

    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * 1000) + 1000

    def beat(self):
        sequence = 0
        while True:
            sequence += 1
            value = json.dumps({
                "service": "pool", "address": self.address, "zone": "z1", "version": "v1", "capacity": 8,
                "state": "ready", "warmup-left-ms": 0, "headroom": self.headroom, "labels": ["a", self.rack],
                "clock-ms": self.clock_ms(), "sequence": sequence, "born": self.born}).encode()
            key = self.id.encode()
            record = bytes([len(key)]) + key + value
            call = urllib.request.Request("http://%s/log-append?topic=keyed.servers&part=0" % self.store,
                                          struct.pack(">I", len(record)) + record, method="POST")
            try:
                urllib.request.urlopen(call, timeout=3).read()
            except OSError:
                pass
            time.sleep(HEARTBEAT_S)

    def percent(self, task):
        """Tasks that aren't short report one percent more each second, as if they worked for 100 s."""
        return min(99, int(time.monotonic() - self.since[task]))

    def end(self, task, run, outcome):
        entry = self.running.get(task)
        if entry is None or entry != run:
            return
        del self.running[task]
        del self.since[task]
        self.end_count += 1
        self.ended.append([self.end_count, task, run, outcome, ""])
        self.ended_runs[task] = max(self.ended_runs.get(task, 0), run)
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.waiters.clear()

    async def check_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.clock_ms() > self.deadline_ms:
                for task, run in list(self.running.items()):
                    self.end(task, run, "lapsed")

    def extend(self, body):
        if "deadline-ms" in body:
            self.deadline_ms = max(self.deadline_ms, min(body["deadline-ms"], self.clock_ms() + MAX_LEASE_MS))

    async def answer(self, path, body):
        common = {"clock-ms": self.clock_ms(), "born": self.born}
        if body.get("fencing-token", 0) < self.token:
            return 409, dict(common, reason="fence")
        self.token = body.get("fencing-token", 0)
        if path == "/run-start":
            task, run = body["task"], body["run"]
            if self.running.get(task) == run:
                return 200, common
            self.extend(body)
            if task in self.running or run <= self.ended_runs.get(task, 0):
                return 409, dict(common, reason="old")
            if body["deadline-ms"] <= self.clock_ms():
                return 409, dict(common, reason="late")
            self.running[task] = run
            self.since[task] = time.monotonic()
            self.starts += 1
            job = task.split(".")[0]
            self.started_jobs[job] = self.started_jobs.get(job, 0) + 1
            words = body["spec"].split()
            if words[0] == "short" or words[0] == "lasts-at" and task.split(".")[1] != words[1]:
                asyncio.get_running_loop().call_later(SHORT_MS / 1000, self.end, task, run, "done")
            return 200, common
        if path == "/run-stop":
            task, run = body["task"], body["run"]
            asyncio.get_running_loop().call_later(STOP_S, self.end, task, run, "stopped")
            self.ended_runs[task] = max(self.ended_runs.get(task, 0), run)
            return 200, common
        if path == "/hold":
            self.extend(body)
            seen = body.get("last-seen", 0)
            self.ended = [row for row in self.ended if row[0] > seen]
            deadline = time.monotonic() + min(body.get("wait-ms", 0), 2000) / 1000
            while not self.ended and time.monotonic() < deadline:
                waiter = asyncio.get_running_loop().create_future()
                self.waiters.append(waiter)
                await asyncio.wait([waiter], timeout=deadline - time.monotonic())
            running = [[task, run, "", self.percent(task), 0] for task, run in self.running.items()]
            return 200, {"clock-ms": self.clock_ms(), "born": self.born, "running": running, "ended": self.ended[:500]}
        return 404, {}

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = {line.split(":")[0].lower(): line.split(":", 1)[1].strip() for line in head[1:] if line}
                body = json.loads(await reader.readexactly(int(headers.get("content-length", 0))) or b"{}")
                if headers.get("expect-instance", self.id) != self.id:
                    status, reply = 421, {}
                else:
                    status, reply = await self.answer(head[0].split()[1], body)
                data = json.dumps(reply).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" %
                             (status, len(data)) + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    def read_commands(self):
        for line in sys.stdin:
            if line.strip() == "report":
                print(json.dumps({"starts": self.starts, "running": len(self.running), "outcomes": self.outcomes,
                                  "started_jobs": self.started_jobs,
                                  "running_jobs": collections.Counter(task.split(".")[0] for task in list(self.running))}),
                      flush=True)

    async def run(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=1024)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        threading.Thread(target=self.beat, daemon=True).start()
        threading.Thread(target=self.read_commands, daemon=True).start()
        asyncio.get_running_loop().create_task(self.check_lease())
        await server.serve_forever()


asyncio.run(FastExecutor(sys.argv[1], int(sys.argv[2]), sys.argv[3], json.loads(sys.argv[4])).run())
