"""A small deployment of wigeon-node on loopback: settings, nodes as separate processes, the stand-ins, and clients."""
import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time

from executors import Fleet
from http_stand_in import call
from store import Store

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
RESTART_S = 0.5
HELD, BROKEN, COULD_NOT_RUN = 0, 11, 2
HOST = "nony24.example"
KEY = "d4a3hwrr6x73d3zji9n7"
BOUNDS = {"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000,
          "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250,
          "max-stretch-ms": 5000, "strict-revoke": True, "revoke-ms": 5000, "recover-s": 12, "hold-max-ms": 6000,
          "stop-ms": 200, "gang-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
          "status_s": 120, "far-x": 3, "save-s": 0.5, "restore-ms": 100, "require-fencing": True, "lease-ms": 3000}


def find_ports(count):
    for _ in range(200):
        first = random.randrange(10000, 31000 - count)
        probes = []
        try:
            for port in range(first, first + count):
                probe = socket.socket()
                probes.append(probe)
                probe.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
    raise RuntimeError("no free ports")


def read_run_command():
    """The role's command of deploy/system.toml."""
    with open(os.path.join(REPOSITORY, "deploy", "system.toml"), encoding="utf-8") as file:
        for line in file:
            if line.startswith("run ="):
                return shlex.split(line.split("=", 1)[1].strip().strip('"'))
    raise RuntimeError("deploy/system.toml has no run command")


class Node:
    def __init__(self, deployment, index, first_port):
        self.deployment, self.name = deployment, f"frontend-z1-{index + 1}"
        self.front, self.ready, self.metrics, self.store_port = first_port, first_port + 1, first_port + 2, first_port + 3
        self.process = None
        self.own_ends = []  # Times at which the process ended by itself.
        self.is_stopping = False
        self.down_s = RESTART_S

    def write_settings(self):
        path = os.path.join(self.deployment.folder, self.name + ".json")
        settings = {
            "node-name": self.name, "role": "node", "machine-class": "frontend", "serves": ["frontend"],
            "ip": "127.0.0.1", "zone": "z1", "region": "r", "zones": {"z1": "r"},
            "listen-addrs": {"frontend": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}"},
            "port-range": [self.metrics, self.metrics], "seeds": [], "bootstrap": False, "counts-as-loss": False,
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100, "link-mbps": 1000.0,
                       "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "tenants", "platform"],
            "fault-tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": self.deployment.bounds, "control-mode": "call",
            "platform": {"address": f"127.0.0.1:{self.store_port}", "form": "log", "writes-per-s": 600,
                         "reads-per-s": 2000, "parts": 8, "append-ms": 4.0, "part-mb-per-s": 20.0,
                         "read-mb-per-s": 80.0, "record-bytes": 262144, "call-bytes": 2097152, "keep_s": 300,
                         "part-mb": 200, "ttl-min-ms": 1000}, **self.deployment.settings}
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(settings, file)
        os.replace(path + ".new", path)
        return path

    async def run(self):
        """Starts the process, and again a short while after it has ended, like the platform."""
        path = self.write_settings()
        output = open(os.path.join(self.deployment.folder, self.name + ".log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["WIGEONCOURSE_NODE_FILE"] = path
        while not self.is_stopping:
            self.is_killed = False
            self.process = await asyncio.create_subprocess_exec(
                *self.deployment.command, cwd=REPOSITORY, env=environment, stdout=output, stderr=output)
            self.deployment.log("node_started", node=self.name)
            code = await self.process.wait()
            if self.is_stopping:
                return
            if not self.is_killed:
                self.own_ends.append(time.monotonic())
            self.deployment.log("node_ended", node=self.name, code=code, by_itself=not self.is_killed)
            await asyncio.sleep(self.down_s)

    def kill(self, down_s=RESTART_S):
        self.is_killed = True
        self.down_s = down_s
        self.process.send_signal(signal.SIGKILL)
        self.deployment.log("node_killed", node=self.name)

    def hang_up(self):
        self.process.send_signal(signal.SIGHUP)
        self.deployment.log("hang_up", node=self.name)

    async def is_leading(self):
        status, body = await call(self.metrics, "GET", "/metrics", timeout=1.0)
        return status == 200 and b"wigeon_leading 1" in body


class Deployment:
    """Use as: sys.exit(run_case(script)), where `script(deployment)` returns True if the rule held."""

    def __init__(self, folder, record):
        self.folder, self.record = folder, record
        self.began = time.monotonic()
        self.command = read_run_command()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store(self.log)
        self.fleet = Fleet(self.store, self.log)
        self.nodes = []
        self.tasks = []
        self.node_tasks = []
        self.version = 0
        self.bounds = dict(BOUNDS)
        self.settings = {}  # Further fields of the settings files.
        self.history = []  # ("start", task, run) and ("end", task, run, how), in their order.

    def log(self, event, **fields):
        self.record.write(f"{time.monotonic() - self.began:8.3f} {event} {json.dumps(fields)}\n")
        self.record.flush()
        if event == "start":
            self.history.append((event, fields["task"], fields["run"]))
        elif event == "end":
            self.history.append((event, fields["task"], fields["run"], fields["how"]))

    async def start(self, node_count, executors):
        """`executors`: a list of dictionaries with the arguments of Fleet.add, without the port."""
        first = find_ports(node_count * 4 + len(executors))
        for index in range(node_count):
            self.nodes.append(Node(self, index, first + 4 * index))
        await self.store.start([node.store_port for node in self.nodes])
        for row, executor in enumerate(executors):
            await self.fleet.add(port=first + 4 * node_count + row, **executor)
        self.tasks.append(asyncio.create_task(self.fleet.tick()))
        for node in self.nodes:
            self.node_tasks.append(asyncio.create_task(node.run()))

    def configure(self, routes, services=("huvo11a",)):
        """Publishes a configuration. A route is (name, path prefix, service, priority, max-attempts), and, where it
        has it, its advice."""
        self.version += 1
        config = {
            "version": self.version,
            "routes": [{"name": name, "host": HOST, "path-prefix": prefix, "kind": "unsafe", "timeout-ms": 3000,
                        "target-duration-ms": 3000, "priority": priority, "service": service,
                        "max-attempts": attempts, "stretch": 3.0, "public": False,
                        **({"advice": advice[0]} if advice else {})}
                       for name, prefix, service, priority, attempts, *advice in routes],
            "services": [{"name": name, "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": False,
                          "preconditions": False, "spare": False} for name in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000},
            "tenants": [{"name": "kaje80", "api-keys": [KEY], "priority": 1, "guaranteed": {"gpu": 8}}]}
        self.store.put("keyed.op", "config", json.dumps(config))
        self.log("configuration_acknowledged", version=self.version, routes=[route[0] for route in routes])

    async def wait_ready(self, timeout=20):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            states = await asyncio.gather(*(call(node.ready, "GET", "/ready", timeout=1.0) for node in self.nodes))
            if all(status == 200 for status, _ in states) and await self.find_leader():
                self.log("ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the nodes did not become ready")

    async def find_leader(self):
        for node in self.nodes:
            if await node.is_leading():
                return node
        return None

    async def request(self, node, method, path, body=None, note=True):
        headers = {"Host": HOST, "Authorization": "Token " + KEY, "Content-Type": "application/json",
                   "Deadline-Ms": "3000"}
        status, answer = await call(node.front, method, path, headers, json.dumps(body).encode() if body else b"")
        if note:
            self.log("client", node=node.name, method=method, path=path, status=status, answer=answer.decode())
        return status, answer

    async def submit(self, node, prefix, job, spec, steps, tries=5):
        """Hands the job in, again after no answer, 502, 503 or 504; False if it wasn't accepted."""
        for _ in range(tries):
            status, _ = await self.request(node, "POST", prefix + job, {"spec": spec, "steps": steps})
            if status // 100 == 2:
                return True
            await asyncio.sleep(1.0)
        return False

    async def find_state(self, node, prefix, job, note=True):
        status, answer = await self.request(node, "GET", prefix + job, note=note)
        return json.loads(answer).get("state") if status == 200 else str(status)

    async def stop(self):
        """Ends all processes that were started, also one that is being started just now."""
        for node in self.nodes:
            node.is_stopping = True
        while not all(task.done() for task in self.node_tasks):
            for node in self.nodes:
                if node.process is not None and node.process.returncode is None:
                    try:
                        node.process.kill()
                    except ProcessLookupError:
                        pass
            await asyncio.sleep(0.05)
        for task in self.tasks:
            task.cancel()


def run_case(script, limit_s=115):
    """Runs the script and returns the exit code for run.sh."""
    case_folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    folder = tempfile.mkdtemp()

    async def run():
        with open(os.path.join(case_folder, "record.txt"), "w", encoding="utf-8") as record:
            deployment = Deployment(folder, record)
            deployment.log("case", trouble=deployment.trouble)
            for signal_number in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(signal_number, asyncio.current_task().cancel)
            try:
                held = await asyncio.wait_for(script(deployment), limit_s)
                deployment.log("result", held=held)
                print("held" if held else "broken", "(with the disruption)" if deployment.trouble else "(without)")
                return HELD if held else BROKEN
            except (Exception, asyncio.CancelledError) as failure:  # The case couldn't run, whatever the reason.
                deployment.log("could_not_run", reason=repr(failure))
                print("the case couldn't run:", repr(failure))
                return COULD_NOT_RUN
            finally:
                await deployment.stop()
    try:
        return asyncio.run(run())
    finally:
        if os.environ.get("KEEP_LOGS"):
            print("logs:", folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
