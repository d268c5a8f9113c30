"""Runs wigeon-node processes with the stand-ins of one case, and keeps the case's record.

Exit codes of a case: 1 the rule was broken, 0 it held, 2 the case couldn't run.
"""

import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

from platform_stand_in import Advisor, Executor, Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "queue.example"
READY_TIMEOUT_S = 20
LAST_LOOK_S = 100  # Cases end their watch by then, so that a run takes less than 120 s.


class CannotRun(Exception):
    """The case couldn't be carried out, which says nothing about the rule."""


def find_free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [listening.getsockname()[1] for listening in sockets]
    for listening in sockets:
        listening.close()
    return ports


class Deployment:
    """The store, an advisor, executors of one service in racks, and nodes started as the deploy file says."""

    def __init__(self, case_folder, executors, racks, headroom, routes, tenants, nodes=3, kinds=None):
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="wigeon-review-")
        self.record_file = open(pathlib.Path(case_folder) / os.environ.get("RECORD", "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.lines = []
        self.routes, self.tenants, self.version = routes, tenants, 0
        self.store = Store()
        self.advisor = Advisor()
        self.publish()
        kinds = kinds or ["a"] * executors
        self.executors = [Executor(self.store, "pool", number, kinds[number], "r%d" % (number * racks // executors),
                                   headroom, self.log) for number in range(executors)]
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["node"]["run"].split()
        if not (ROOT / self.command[0]).exists():
            raise CannotRun("the build of the deploy file has not been run")
        for number in range(nodes):
            self.start_node(number)
        self.wait_until_ready()

    def now(self):
        return time.monotonic() - self.began

    def log(self, text):
        with self.lock:
            line = "%8.3f %s" % (self.now(), text)
            self.lines.append((self.now(), text))
            self.record_file.write(line + "\n")
            self.record_file.flush()

    def publish(self):
        self.version += 1
        routes = [dict({"host": HOST, "kind": "unsafe", "timeout-ms": 3000, "target-duration-ms": 1000,
                        "service": "pool", "max-attempts": 3, "stretch": 3.0, "public": False}, **route)
                  for route in self.routes]
        self.store.put("keyed.op", "config", {"version": self.version, "routes": routes, "limits": {},
                                               "services": [{"name": "pool", "health-path": "/health",
                                                             "preconditions": False}],
                                               "tenants": self.tenants})

    def write_settings(self, node):
        settings = {
            "node-name": node["name"], "role": "node", "machine-class": "frontend", "serves": ["frontend"],
            "ip": "127.0.0.1", "zone": "z1", "region": "g", "zones": {"z1": "g"},
            "listen-addrs": {"frontend": "127.0.0.1:%d" % node["ports"][0], "ready": "127.0.0.1:%d" % node["ports"][1]},
            "port-range": [node["ports"][2], node["ports"][2]], "seeds": [], "bootstrap": True,
            "counts-as-loss": False,
            "limits": {"cpu-share": 1.0, "cores": 1, "memory-mb": 260, "max-fds": 4100, "link-mbps": 1000.0,
                       "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "tenants", "platform", "advice",
                          "upkeep", "sharing"],
            "fault-tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {"contact-ms": 3000, "ack-ms": 4000, "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200,
                       "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000,
                       "strict-revoke": True, "revoke-ms": 5000, "recover-s": 12, "hold-max-ms": 6000, "stop-ms": 200,
                       "gang-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
                       "status_s": 120, "far-x": 3, "save-s": 0.5, "restore-ms": 100, "notice-ms": 4500,
                       "lease-ms": 3000, "pace-ms": 100, "harm-ms": 4000, "reclaim-ms": 2700},
            "control-mode": "call", "advice": self.advisor.server.address,
            "platform": {"address": self.store.server.address, "form": "log", "writes-per-s": 600,
                         "reads-per-s": 2000, "parts": 8, "append-ms": 4.0, "keep_s": 300, "record-bytes": 262144,
                         "call-bytes": 2097152},
            "cloud-api": {"address": "127.0.0.1:9", "rate-per-s": 60.0, "duties": [], "duty-per-s": 60.0}}
        pathlib.Path(node["settings"]).write_text(json.dumps(settings))

    def start_node(self, number):
        node = {"name": "frontend-z1-%d" % (number + 1), "ports": find_free_ports(3)}
        node["settings"] = os.path.join(self.folder, node["name"] + ".json")
        self.write_settings(node)
        self.nodes.append(node)
        self.restart_node(node)

    def restart_node(self, node):
        """Starts the node's process, as the platform does a short time after its end."""
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["WIGEONCOURSE_NODE_FILE"] = node["settings"]
        output = open(os.path.join(self.folder, node["name"] + ".log"), "ab")
        node["process"] = subprocess.Popen([str(ROOT / self.command[0]), *self.command[1:]], cwd=ROOT, env=environment,
                                           stdout=output, stderr=subprocess.STDOUT)

    def wait_until_ready(self):
        deadline = time.monotonic() + READY_TIMEOUT_S
        for node in self.nodes:
            while self.call(node, "GET", "/ready", port=1)[0] != 200:
                if time.monotonic() > deadline:
                    raise CannotRun("a node did not become ready")
                time.sleep(0.05)
        while not any(self.is_leading(node) for node in self.nodes):
            if time.monotonic() > deadline:
                raise CannotRun("no node leads")
            time.sleep(0.05)
        time.sleep(1)
        self.log("ready: %d nodes, %d executors; trouble: %s" % (len(self.nodes), len(self.executors),
                                                                 "yes" if self.has_trouble else "no"))

    def is_leading(self, node):
        return b"wigeon_leading 1" in self.call(node, "GET", "/metrics", port=2)[1]

    def call(self, node, method, path, body=None, key=None, port=0):
        connection = http.client.HTTPConnection("127.0.0.1", node["ports"][port], timeout=3)
        headers = {"Host": HOST, "Content-Type": "application/json", "Deadline-Ms": "3000"}
        if key is not None:
            headers["Authorization"] = "Token " + key
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            return response.status, response.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()

    def submit(self, route, job, key, body, node=0):
        status, answer = self.call(self.nodes[node], "POST", route + job, json.dumps(body), key)
        self.log("POST %s%s with the key %s -> %d %s; body %s" % (route, job, key, status, answer.decode(),
                                                                 json.dumps(body)))
        if status != 200:
            raise CannotRun("the job %s was not accepted" % job)
        return self.now()

    def submit_with_retries(self, route, job, key, body, retries=4):
        """Submits a job as clients do, which repeat a call without success at another node. False if none took it."""
        for attempt in range(1 + retries):
            status, answer = self.call(self.nodes[attempt % len(self.nodes)], "POST", route + job, json.dumps(body), key)
            self.log("POST %s%s at %s -> %s %s" % (route, job, self.nodes[attempt % len(self.nodes)]["name"],
                                                  status or "no answer", answer.decode()))
            if status == 200:
                return True
            time.sleep(1)
        return False

    def read_state(self, route, job, key, node=0):
        status, answer = self.call(self.nodes[node], "GET", route + job, None, key)
        self.log("GET %s%s -> %d %s" % (route, job, status, answer.decode()))
        return status, json.loads(answer).get("state", "") if status == 200 else ""

    def running(self):
        """Returns the tasks that run now, each with its executor."""
        tasks = {}
        for executor in self.executors:
            with executor.changed:
                for task in executor.running:
                    tasks[task] = executor
        return tasks

    def wait_for(self, condition, timeout_s, what):
        deadline = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRun("timeout: " + what)
            time.sleep(0.02)

    def wait_for_tasks(self, job, count, timeout_s=10):
        def is_running():
            return sum(task.startswith(job + ".") for task in self.running()) >= count
        self.wait_for(is_running, timeout_s, "%d tasks of %s run" % (count, job))

    def count_starts(self, job, since=0.0):
        return sum(1 for at, text in list(self.lines) if at >= since and text.startswith("started " + job + "."))

    def log_load(self):
        for executor in self.executors:
            with executor.changed:
                if not executor.is_gone:
                    self.log("on %s (rack %s): %s" % (executor.id, executor.rack, sorted(executor.running) or "nothing"))

    def close(self):
        for node in self.nodes:
            if node["process"].poll() is None:
                node["process"].send_signal(signal.SIGKILL)
            node["process"].wait()
        for process in self.other_processes:
            process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs: " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class FastExecutors:
    """Executors that run as processes of their own, for cases with many short tasks."""

    def __init__(self, deployment, count, headroom):
        program = str(pathlib.Path(__file__).resolve().parent / "fast_executor.py")
        self.processes = [
            subprocess.Popen([sys.executable, program, deployment.store.server.address, str(number),
                              "r%d" % (number // 4), json.dumps(headroom)],
                             stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True) for number in range(count)]
        deployment.other_processes += self.processes
        time.sleep(2)

    def report(self):
        """Returns the counts of starts, of running tasks and of ends by outcome; the first two also by job."""
        total = {"starts": 0, "running": 0, "outcomes": {}, "started_jobs": {}, "running_jobs": {}}
        for process in self.processes:
            process.stdin.write("report\n")
            process.stdin.flush()
            for name, value in json.loads(process.stdout.readline()).items():
                if not isinstance(value, dict):
                    total[name] += value
                    continue
                for key, count in value.items():
                    total[name][key] = total[name].get(key, 0) + count
        return total


def run_case(case, case_folder, **options):
    """Runs `case(deployment)`, which returns whether the rule held. Exits with the code of the outcome."""
    code = 2
    # A run that is ended from outside ends its processes too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        deployment = Deployment.__new__(Deployment)
        deployment.nodes, deployment.other_processes, deployment.folder = [], [], ""
        deployment.__init__(case_folder, **options)
        code = 0 if case(deployment) else 1
        deployment.log("the rule held" if code == 0 else "the rule was BROKEN")
    except CannotRun as failure:
        deployment.log("could not run: %s" % failure)
    finally:
        deployment.close()
    sys.stdout.flush()
    os._exit(code)
