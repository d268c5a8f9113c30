"""Stand-in for the users' platform on loopback: the record store, executors, and the advisor.

It follows PROTOCOL.md for the calls that wigeon-node makes. The executors run tasks on the real clock. What a task does
is in its job's spec: `work MS` ends as done after that time, `lasts` runs until it is stopped, and `fails-once MS` lasts
but fails MS after the start of its first run.
"""

import base64
import heapq
import http.server
import json
import socket
import struct
import threading
import time
import urllib.parse

HEARTBEAT_S = 1.5
STOP_S = 0.05
MAX_LEASE_MS = 6000
CALL_BYTES = 2_097_152  # Of all records of one append.
RECORD_BYTES = 262_144
STARTUP_S = 0.3  # A task that lasts reports 100 percent after this time.


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, handler):
        self.open_sockets = set()
        super().__init__(("127.0.0.1", 0), handler)

    @property
    def address(self):
        return "127.0.0.1:%d" % self.server_address[1]

    def process_request(self, request, client_address):
        self.open_sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.open_sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        pass  # A peer that closed its connection is no fault of the stand-in.

    def crash(self):
        """Closes the listening socket and all connections, as the end of a process does."""
        threading.Thread(target=self.shutdown, daemon=True).start()
        self.socket.close()
        for connection in list(self.open_sockets):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *arguments):
        pass

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def answer(self, status, body):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}  # Keyed topics: the offset of each key's newest record.
        self.producers = {}  # Name: [epoch, next sequence or None, {sequence: answer}].


class Store:
    def __init__(self):
        self.topics = {}
        self.refused_appends = []  # Topic, records and bytes of each append that was over a limit.
        self.changed = threading.Condition()
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                store.serve(self)

            def do_POST(self):
                store.serve(self)

        self.server = Server(StoreHandler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def serve(self, call):
        url = urllib.parse.urlsplit(call.path)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        body = call.read_body()
        if url.path == "/log-append":
            call.answer(*self.append(query, body))
        elif url.path == "/log-read":
            call.answer(*self.read(query))
        elif url.path == "/log-newest":
            call.answer(*self.read_newest(query))
        else:
            call.answer(404, {})

    def append(self, query, body):
        records = []
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        time.sleep(0.004)
        if sum(len(record) for record in records) > CALL_BYTES or any(len(record) > RECORD_BYTES for record in records):
            self.refused_appends.append((query["topic"], len(records), sum(len(record) for record in records)))
            return 413, {}
        with self.changed:
            topic = self.topics.setdefault(query["topic"], Topic())
            end = len(topic.records)
            if "at" in query and int(query["at"]) != end:
                return 412, {"end": end}
            producer = None
            if "producer" in query:
                epoch, sequence = int(query["epoch"]), int(query["sequence"])
                producer = topic.producers.setdefault(query["producer"], [epoch, None, {}])
                if epoch < producer[0]:
                    return 409, {"reason": "fenced"}
                if epoch > producer[0]:
                    producer[:] = [epoch, None, {}]
                if not records:
                    return 200, {"offset": end, "end": end}
                if sequence in producer[2]:
                    return 200, producer[2][sequence]
                if producer[1] is not None and sequence != producer[1]:
                    return 409, {"reason": "seq", "sequence": producer[1]}
            for record in records:
                if query["topic"].startswith("keyed."):
                    key = record[1 : 1 + record[0]]
                    if record[1 + record[0] :]:
                        topic.newest[key] = len(topic.records)
                    else:
                        topic.newest.pop(key, None)
                topic.records.append(record)
            answer = {"offset": end, "end": len(topic.records)}
            if producer is not None:
                producer[1] = sequence + 1
                producer[2][sequence] = answer
                producer[2].pop(sequence - 5, None)
            self.changed.notify_all()
            return 200, answer

    def read(self, query):
        start = int(query["from"])
        deadline = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        with self.changed:
            topic = self.topics.setdefault(query["topic"], Topic())
            while len(topic.records) <= start and time.monotonic() < deadline:
                self.changed.wait(deadline - time.monotonic())
            parts = [struct.pack(">QQ", len(topic.records), 0)]
            left = int(query.get("max-kb", 1024)) * 1024
            for offset in range(start, len(topic.records)):
                record = topic.records[offset]
                left -= 4 + len(record)
                if left < 0 and offset > start:
                    break
                parts.append(struct.pack(">I", len(record)) + record)
            return 200, b"".join(parts)

    def read_newest(self, query):
        after = query.get("after", "").encode()
        with self.changed:
            topic = self.topics.setdefault(query["topic"], Topic())
            keys = heapq.nsmallest(501, (key for key in topic.newest if key > after))
            items = []
            for key in keys[:500]:
                record = topic.records[topic.newest[key]]
                value = record[1 + record[0] :]
                items.append({"key": key.decode(), "value": base64.b64encode(value).decode(),
                              "offset": topic.newest[key]})
            return 200, {"items": items, "has-more": len(keys) > 500, "end": len(topic.records)}

    def put(self, topic, key, value):
        key = key.encode()
        record = bytes([len(key)]) + key + (json.dumps(value).encode() if value is not None else b"")
        self.append({"topic": topic}, struct.pack(">I", len(record)) + record)


class Executor:
    """One executor. `log` gets one line for each start, end and crash."""

    def __init__(self, store, service, number, kind, rack, headroom, log):
        self.store, self.service, self.kind, self.rack, self.log = store, service, kind, rack, log
        self.id = "i-%04d" % number
        self.headroom = headroom
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.token = 0
        self.deadline_ms = 0
        self.running = {}  # Task: {run, since, spec, room, stop_at}.
        self.ended = []
        self.end_count = 0
        self.ended_runs = {}  # Task: the highest run that was stopped or has ended here.
        self.sheds = False  # Starts are answered 503 and do nothing.
        self.fails_all = False
        self.is_gone = False
        self.changed = threading.Condition()
        executor = self

        class ExecutorHandler(Handler):
            def do_POST(self):
                executor.serve(self)

        self.server = Server(ExecutorHandler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.run, daemon=True).start()
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * 1000) + 1000

    def send_heartbeats(self):
        sequence = 0
        while not self.is_gone:
            sequence += 1
            self.store.put("keyed.servers", self.id, {
                "service": self.service, "address": self.server.address, "zone": "z1", "version": "v1", "capacity": 8,
                "state": "ready", "warmup-left-ms": 0, "headroom": self.headroom, "labels": [self.kind, self.rack],
                "clock-ms": self.clock_ms(), "sequence": sequence, "born": self.born})
            time.sleep(HEARTBEAT_S)
        time.sleep(2 * HEARTBEAT_S)
        self.store.put("keyed.servers", self.id, None)

    def crash_for_good(self):
        with self.changed:
            self.is_gone = True
            for task, entry in self.running.items():
                self.log("executor %s crashed and is gone; lost %s run %d" % (self.id, task, entry["run"]))
            self.running.clear()
        self.server.crash()

    def end(self, task, outcome):
        entry = self.running.pop(task)
        self.end_count += 1
        self.ended.append([self.end_count, task, entry["run"], outcome, ""])
        self.ended_runs[task] = max(self.ended_runs.get(task, 0), entry["run"])
        self.log("%s ended %s run %d on %s" % (outcome, task, entry["run"], self.id))
        self.changed.notify_all()

    def run(self):
        while not self.is_gone:
            time.sleep(0.01)
            with self.changed:
                now = time.monotonic()
                for task, entry in list(self.running.items()):
                    age_ms = (now - entry["since"]) * 1000
                    words = entry["spec"].split()
                    if self.clock_ms() > self.deadline_ms:
                        self.end(task, "lapsed")
                    elif entry["stop_at"] is not None and now >= entry["stop_at"]:
                        self.end(task, "stopped")
                    elif entry["fails"] and age_ms >= 200:
                        self.end(task, "failed")
                    elif words[0] == "work" and age_ms >= float(words[1]):
                        self.end(task, "done")
                    elif words[0] == "fails-once" and entry["run"] == 1 and age_ms >= float(words[1]):
                        self.end(task, "failed")

    def percent(self, entry):
        age = time.monotonic() - entry["since"]
        words = entry["spec"].split()
        if words[0] == "work":
            return min(99, int(age * 100000 / float(words[1])))
        return 100 if age >= STARTUP_S else 0

    def serve(self, call):
        body = json.loads(call.read_body())
        if call.headers.get("Expect-Instance", self.id) != self.id:
            call.answer(421, {})
            return
        if call.path == "/hold":
            call.answer(*self.hold(body))
        elif call.path == "/run-start":
            call.answer(*self.start(body))
        elif call.path == "/run-stop":
            call.answer(*self.stop(body))
        else:
            call.answer(404, {})

    def refuse(self, reason):
        return 409, {"clock-ms": self.clock_ms(), "reason": reason, "born": self.born}

    def check_token(self, body):
        token = body.get("fencing-token", 0)
        if token < self.token:
            return False
        self.token = token
        return True

    def extend(self, body):
        if "deadline-ms" in body:
            self.deadline_ms = max(self.deadline_ms, min(body["deadline-ms"], self.clock_ms() + MAX_LEASE_MS))

    def start(self, body):
        with self.changed:
            if not self.check_token(body):
                return self.refuse("fence")
            if self.sheds:
                self.log("503 to the start of %s run %d on %s" % (body["task"], body["run"], self.id))
                return 503, {"clock-ms": self.clock_ms(), "born": self.born}
            task, run = body["task"], body["run"]
            known = self.running.get(task)
            if known is not None and known["run"] == run:
                return 200, {"clock-ms": self.clock_ms(), "born": self.born}
            self.extend(body)
            if known is not None or run <= self.ended_runs.get(task, 0):
                return self.refuse("old")
            if body["deadline-ms"] <= self.clock_ms():
                return self.refuse("late")
            self.running[task] = {"run": run, "since": time.monotonic(), "spec": body["spec"], "stop_at": None,
                                  "fails": self.fails_all}
            self.log("started %s run %d on %s" % (task, run, self.id))
            return 200, {"clock-ms": self.clock_ms(), "born": self.born}

    def stop(self, body):
        with self.changed:
            if not self.check_token(body):
                return self.refuse("fence")
            task, run = body["task"], body["run"]
            entry = self.running.get(task)
            if entry is not None and entry["run"] == run and entry["stop_at"] is None:
                entry["stop_at"] = time.monotonic() + STOP_S
            self.ended_runs[task] = max(self.ended_runs.get(task, 0), run)
            return 200, {"clock-ms": self.clock_ms(), "born": self.born}

    def hold(self, body):
        deadline = time.monotonic() + min(body.get("wait-ms", 0), 2000) / 1000
        with self.changed:
            if not self.check_token(body):
                return self.refuse("fence")
            self.extend(body)
            self.ended = [row for row in self.ended if row[0] > body.get("last-seen", 0)]
            while not self.ended and time.monotonic() < deadline and not self.is_gone:
                self.changed.wait(deadline - time.monotonic())
            running = [[task, entry["run"], "", self.percent(entry), 0] for task, entry in self.running.items()]
            return 200, {"clock-ms": self.clock_ms(), "born": self.born, "running": running,
                         "ended": self.ended[:500]}


class Advisor:
    """Allows every executor for every step. `calls` counts the requests that were answered."""

    def __init__(self):
        self.calls = 0
        advisor = self

        class AdvisorHandler(Handler):
            def do_POST(self):
                body = json.loads(self.read_body())
                time.sleep(0.02)
                advisor.calls += 1
                self.answer(200, {"good": [[worker, "t-" + worker] for worker in body["workers"]], "valid-ms": 3000})

        self.server = Server(AdvisorHandler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
