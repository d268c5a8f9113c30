"""The platform's metadata store as PROTOCOL.md describes it, as far as wigeon-node uses it. Each node calls the store at
a port of its own, so that a case can partition one node from it."""
import asyncio
import base64
import json
import struct
import time
from urllib.parse import parse_qs, urlsplit

from http_stand_in import Server, Silent

APPEND_S = 0.004


class Topic:
    def __init__(self):
        self.records = []  # Contents of the records, by offset.
        self.newest = {}  # Offset by key.
        self.producers = {}
        self.lock = asyncio.Lock()
        self.grown = asyncio.Event()


def split_records(body):
    records = []
    while body:
        length = struct.unpack(">I", body[:4])[0]
        records.append(body[4:4 + length])
        body = body[4 + length:]
    return records


def keyed(key, value):
    return bytes([len(key)]) + key.encode() + value


class Store:
    def __init__(self, note):
        self.topics = {}
        self.note = note
        self.busy = False  # Answers 503; nothing is done.
        self.cut_ports = set()  # Calls at these ports get no answer, and nothing is done.
        self.servers = []

    async def start(self, ports):
        for port in ports:
            server = Server(lambda method, target, headers, body, port=port: self.serve(port, target, body))
            await server.start(port)
            self.servers.append(server)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def add(self, name, contents):
        topic = self.topic(name)
        offset = len(topic.records)
        for content in contents:
            if name.startswith("keyed."):
                key = content[1:1 + content[0]].decode()
                if len(content) > 1 + content[0]:
                    topic.newest[key] = len(topic.records)
                else:
                    topic.newest.pop(key, None)
            topic.records.append(content)
        topic.grown.set()
        topic.grown = asyncio.Event()
        return offset

    def put(self, name, key, value):
        """A write of the operator or of an executor: the value, or None to drop the key."""
        self.add(name, [keyed(key, value.encode() if value is not None else b"")])

    def check(self, port):
        if port in self.cut_ports:
            raise Silent()

    async def serve(self, port, target, body):
        self.check(port)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if self.busy:
            await asyncio.sleep(APPEND_S)
            return 503, "application/json", b"{}"
        if parts.path == "/log-append":
            answer = await self.append(port, query, body)
        elif parts.path == "/log-read":
            answer = await self.read(port, query)
        elif parts.path == "/log-newest":
            answer = self.read_newest(query)
        else:
            answer = (404, "application/json", b"{}")
        self.check(port)
        return answer

    @staticmethod
    def json(status, fields):
        return status, "application/json", json.dumps(fields).encode()

    async def append(self, port, query, body):
        topic = self.topic(query["topic"])
        async with topic.lock:
            await asyncio.sleep(APPEND_S)
            self.check(port)
            if self.busy:
                return self.json(503, {})
            end = len(topic.records)
            producer = None
            if "producer" in query:
                epoch, sequence = int(query["epoch"]), int(query["sequence"])
                producer = topic.producers.setdefault(query["producer"], {"epoch": 0, "next": None, "results": {}})
                if epoch < producer["epoch"]:
                    return self.json(409, {"reason": "fenced"})
                if epoch > producer["epoch"]:
                    producer.update(epoch=epoch, next=None, results={})
                if sequence in producer["results"]:
                    return producer["results"][sequence]
                if producer["next"] is not None and sequence != producer["next"]:
                    return self.json(409, {"reason": "seq", "sequence": producer["next"]})
            if "at" in query and int(query["at"]) != end:
                return self.json(412, {"end": end})
            offset = self.add(query["topic"], split_records(body))
            answer = self.json(200, {"offset": offset, "end": len(topic.records)})
            if producer is not None:
                producer["next"] = sequence + 1
                producer["results"][sequence] = answer
                producer["results"].pop(sequence - 5, None)
            return answer

    async def read(self, port, query):
        topic = self.topic(query["topic"])
        start = int(query["from"])
        deadline = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while start >= len(topic.records) and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(topic.grown.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        self.check(port)
        if self.busy:
            return self.json(503, {})
        limit = int(query.get("max-kb", "1024")) * 1024
        answer = struct.pack(">QQ", len(topic.records), 0)
        for content in topic.records[start:]:
            if len(answer) > 16 and len(answer) + len(content) > limit:
                break
            answer += struct.pack(">I", len(content)) + content
        return 200, "application/octet-stream", answer

    def read_newest(self, query):
        topic = self.topic(query["topic"])
        after = query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = []
        for key in keys[:500]:
            content = topic.records[topic.newest[key]]
            value = base64.b64encode(content[1 + content[0]:]).decode()
            items.append({"key": key, "value": value, "offset": topic.newest[key]})
        return self.json(200, {"items": items, "has-more": len(keys) > 500, "end": len(topic.records)})
