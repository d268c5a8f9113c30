"""Executors as PROTOCOL.md describes them (control-mode `call`, `preconditions` false), and a record of their runs. The
spec of a job tells how its tasks behave: "work=MS", and "fail=N" for the first N runs of each task that end `failed`."""
import asyncio
import json
import random
import re
import time

from http_stand_in import Server, Silent

HEARTBEAT_S = 1.5
STOP_S = 0.05
FAULT_S = 0.3
ENDS_PER_ANSWER = 500


class Run:
    def __init__(self, task, run, work, fails, begun):
        self.task, self.run, self.work, self.fails, self.begun = task, run, work, fails, begun
        self.stop_at = None


class Executor:
    def __init__(self, fleet, name, port, service, labels, headroom):
        self.fleet, self.name, self.port, self.service = fleet, name, port, service
        self.labels, self.headroom = labels, headroom
        self.reaches_store = True
        self.late_share = 0.0  # Of the orders to start: unanswered, and carried out seconds later.
        self.fails_runs = False  # All that it starts ends `failed` after a short while.
        self.refuses_starts = False  # Answers orders to start with 503, having done nothing.
        self.last_write = None
        self.server = Server(self.serve)
        self.begin_life()

    def begin_life(self):
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic() - 1.0
        self.token = 0
        self.lease = 0
        self.running = {}
        self.ended = []
        self.end_count = 0
        self.highest = {}
        self.changed = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.clock_zero) * 1000)

    def entry(self):
        return json.dumps({"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "z1", "version": "v1",
                           "capacity": 8, "state": "ready", "warmup-left-ms": 0, "headroom": self.headroom,
                           "labels": self.labels, "clock-ms": self.clock(), "born": self.born,
                           "sequence": int(time.monotonic() * 1000)})

    def answer(self, status, **fields):
        return status, "application/json", json.dumps({"clock-ms": self.clock(), "born": self.born, **fields}).encode()

    def extend(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + self.fleet.hold_max_ms))

    def end(self, run, how):
        del self.running[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.run, how, ""])
        self.fleet.log("end", executor=self.name, number=self.end_count, task=run.task, run=run.run, how=how)
        self.changed.set()
        self.changed = asyncio.Event()

    def advance(self):
        now = time.monotonic()
        for run in list(self.running.values()):
            if run.stop_at is not None and now >= run.stop_at:
                self.end(run, "stopped")
            elif now - run.begun >= run.work:
                self.end(run, "failed" if run.run <= run.fails else "done")
            elif self.clock() > self.lease:
                self.end(run, "lapsed")

    async def serve(self, method, target, headers, body):
        self.advance()
        if headers.get("expect-instance", self.name) != self.name:
            return self.answer(421)
        call = json.loads(body)
        if call.get("fencing-token", 0) < self.token:
            return self.answer(409, reason="fence")
        self.token = call.get("fencing-token", 0)
        if target == "/hold":
            return await self.hold(call)
        if target == "/run-start":
            if random.random() < self.late_share:
                asyncio.get_running_loop().call_later(random.uniform(2, 12), self.start_late, call, self.born)
                raise Silent()
            return self.start_run(call)
        if target == "/run-stop":
            return self.stop_run(call)
        return self.answer(404)

    async def hold(self, call):
        if "deadline-ms" in call:
            self.extend(call["deadline-ms"])
        for end in self.ended:
            if end[0] <= call.get("last-seen", 0):
                self.fleet.noted_ends.add((self.name, self.born, end[0]))
                self.fleet.handle_noted(self.name, end)
        self.ended = [end for end in self.ended if end[0] > call.get("last-seen", 0)]
        deadline = time.monotonic() + min(call.get("wait-ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        self.advance()
        now = time.monotonic()
        running = [[run.task, run.run, "", min(99, int((now - run.begun) * 100 / run.work)), 1000]
                   for run in self.running.values()]
        return self.answer(200, running=running, ended=self.ended[:ENDS_PER_ANSWER])

    def start_late(self, call, born):
        """Carries out an order that was left unanswered, as the life that got it, if that still lasts."""
        self.advance()
        if born == self.born and call.get("fencing-token", 0) >= self.token:
            self.start_run(call)

    def start_run(self, call):
        task, number = call["task"], call["run"]
        if self.refuses_starts:
            self.fleet.log("start_refused", executor=self.name, task=task, run=number)
            return self.answer(503)
        if call["deadline-ms"] <= self.clock():
            return self.answer(409, reason="late")
        self.extend(call["deadline-ms"])
        present = self.running.get(task)
        if present is not None and present.run == number:
            return self.answer(200)
        if number <= self.highest.get(task, 0) or (present is not None and number < present.run):
            return self.answer(409, reason="old")
        work = re.search(r"work=(\d+)", call["spec"])
        fails = re.search(r"fail=(\d+)", call["spec"])
        run = Run(task, number, int(work.group(1)) / 1000, int(fails.group(1)) if fails else 0, time.monotonic())
        if self.fails_runs:
            run.work, run.fails = FAULT_S, number
        self.running[task] = run
        self.fleet.handle_start(self, task, number, call)
        return self.answer(200)

    def stop_run(self, call):
        task, number = call["task"], call["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.run <= number and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_S
        return self.answer(200)


class Fleet:
    """The executors, and what was seen of their runs."""

    def __init__(self, store, log, hold_max_ms=6000):
        self.store, self.log, self.hold_max_ms = store, log, hold_max_ms
        self.executors = {}
        self.noted_ends = set()
        self.noted_done = set()  # (task, run) of the `done` ends that were taken note of.
        self.starts = []  # (time, executor, task, run).
        self.overlaps = []  # Starts of a task that was at work elsewhere.

    async def add(self, name, port, service, labels=("a", "r1-1"), cpu=128000, mem_mb=262144, gpu=8):
        executor = Executor(self, name, port, service, list(labels), {"cpu": cpu, "mem-mb": mem_mb, "gpu": gpu})
        self.executors[name] = executor
        await executor.server.start(port)
        self.register(executor)

    def register(self, executor):
        executor.last_write = time.monotonic()
        self.store.put("keyed.servers", executor.name, executor.entry())

    def lose(self, name):
        """The executor is killed for good; its entry goes after three heartbeat intervals of silence."""
        executor = self.executors[name]
        executor.reaches_store = False
        executor.running.clear()
        executor.server.close()
        self.log("executor_lost", executor=name, last_write_s_ago=round(time.monotonic() - executor.last_write, 2))

    async def restart(self, name, down_s):
        """The executor is killed and starts again under its id."""
        executor = self.executors[name]
        executor.running.clear()
        executor.server.close()
        executor.reaches_store = False
        self.log("executor_killed", executor=name, down_s=down_s)
        await asyncio.sleep(down_s)
        executor.begin_life()
        executor.server = Server(executor.serve)
        await executor.server.start(executor.port)
        executor.reaches_store = True
        self.register(executor)
        self.log("executor_back", executor=name)

    def handle_start(self, executor, task, number, call):
        elsewhere = [other.name for other in self.executors.values()
                     if other is not executor and task in other.running]
        self.starts.append((time.monotonic(), executor.name, task, number))
        self.log("start", executor=executor.name, task=task, run=number, token=call["fencing-token"],
                 also_at_work_on=elsewhere)
        if elsewhere:
            self.overlaps.append((task, number, executor.name, elsewhere))

    def handle_noted(self, name, end):
        if end[3] == "done":
            self.noted_done.add((end[1], end[2]))
            self.log("done_noted", executor=name, task=end[1], run=end[2])

    async def tick(self):
        """Ends runs in time, and writes the executors' entries as they would do themselves."""
        listed = set(self.executors)
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for executor in self.executors.values():
                executor.advance()
                if executor.reaches_store and now - executor.last_write >= HEARTBEAT_S:
                    self.register(executor)
                    listed.add(executor.name)
                # The platform drops an entry after three heartbeat intervals of silence.
                if now - executor.last_write >= 3 * HEARTBEAT_S and executor.name in listed:
                    listed.discard(executor.name)
                    self.store.put("keyed.servers", executor.name, None)
                    self.log("entry_removed", executor=executor.name)
