"""Small deployment for the cases of the third review: processes, engines, clients and an operator.

The programs of the project run as separate processes with the commands of deploy/system.toml. The
engines, the clients, the platform and the operator are stand-ins in this process. All addresses are
loopback addresses, one for each machine, and all files are in a temporary folder.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

FRONT, READY, CONTROL, METRICS = 8227, 8220, 8229, 9464
PORT_RANGE = [7340, 7355]
ZONES = {"attica-a": "attica", "macedonia-a": "macedonia", "crete-a": "crete"}

BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 4000, "ack-ms": 5000, "catch-up-s": 4,
    "drain-ms": 2500, "grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2500,
    "rollback-slack-ms": 250, "max-stretch-ms": 6000, "strict-revoke": True, "revoke-ms": 5000,
    "retry-budget-ratio": 0.9, "retry-window-s": 10, "budget-slack": 56, "expose-share": 0.15,
    "expose-slack": 30, "rollback-ms": 5000, "recover-s": 12, "pass-ms": 250,
    "reuse-window-s": 10, "session-s": 5,
}


# One route that may run once, and a service without a model.
PLAIN_CONFIGURATION = {
    "version": 7,
    "routes": [{"name": "transfer", "host": "stalls.example", "path-prefix": "/transfer/",
                "route-type": "unsafe", "timeout-ms": 1500, "target-latency-ms": 300,
                "priority": 2, "service": "ledger", "max-attempts": 1, "public": False}],
    "services": [{"name": "ledger", "health-path": "/healthz", "max-connections": 110,
                  "protocol": "h1", "tls": False}],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
               "idle-timeout-ms": 15000},
    "tenants": [{"name": "tenant-1", "api-keys": ["key-1"], "priority": 1}],
}


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """Writes record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(f"{self.now():8.3f} {text}", flush=True)

    def close(self):
        self.file.close()


def toml_value(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return json.dumps(value)
    if isinstance(value, list):
        return "[" + ",".join(toml_value(entry) for entry in value) + "]"
    return str(value)


def toml_text(settings):
    lines = [f"{key} = {toml_value(value)}" for key, value in settings.items()
             if not isinstance(value, dict)]
    for key, value in settings.items():
        if isinstance(value, dict):
            lines.append(f"[{key}]")
            lines += [f"{name} = {toml_value(entry)}" for name, entry in value.items()]
    return "\n".join(lines) + "\n"


class Node:
    """A machine with one process of the project."""

    def __init__(self, world, role, number, ip, zone):
        self.world, self.role, self.ip, self.zone = world, role, ip, zone
        self.name = f"{role}-{number}"
        self.settings_path = os.path.join(world.folder, f"{self.name}.toml")
        self.data_dir = os.path.join(world.folder, f"{self.name}-data")
        self.process = None

    def launch(self, bootstrap=False):
        world, is_entry = self.world, self.role == "entry"
        listen = {"front": f"{self.ip}:{FRONT}", "ready": f"{self.ip}:{READY}"}
        settings = {
            "node-name": self.name, "role": self.role,
            "machine-class": "edge" if is_entry else "core",
            "serves": ["edge" if is_entry else "control"],
            "ip": self.ip, "zone": self.zone, "region": ZONES[self.zone],
            "port-range": PORT_RANGE, "seed-nodes": world.seed_nodes,
            "bootstrap": bootstrap, "in-tolerance": not is_entry, "discovery": "registry",
            "entry": "vip", "heartbeat-ms": world.heartbeat_ms, "config-mode": "highest",
            "zones": ZONES,
            "listen-addrs": listen if is_entry else {"control": f"{self.ip}:{CONTROL}"},
            "limits": {"cpu-share": 0.25 if is_entry else 0.6, "cpu-cores": 1,
                       "memory-mb": world.entry_memory_mb if is_entry else 256,
                       "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0 if is_entry else 128},
            "fault-tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
        }
        if not is_entry:
            settings["data-dir"] = self.data_dir
            os.makedirs(self.data_dir, exist_ok=True)
        with open(self.settings_path, "w", encoding="utf-8") as file:
            file.write(toml_text(settings))
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["HICKORYREEL_CONFIG"] = self.settings_path
        log = open(os.path.join(world.folder, f"{self.name}.log"), "ab")
        command = world.commands[self.role].split()
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def memory_mb(self):
        """Resident memory of the process."""
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Returns the body and whether it is complete."""
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    return body, True
                body += chunk[:-2]
        length = int(headers.get("content-length", "0"))
        return await reader.readexactly(length), True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False


def request_bytes(method, path, headers, body):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def exchange(reader, writer, method, path, headers, body=b""):
    writer.write(request_bytes(method, path, headers, body))
    await writer.drain()
    first, answer_headers = await read_head(reader)
    status = int(first.split()[1])
    body, complete = await read_body(reader, answer_headers)
    return Answer(status, answer_headers, body, complete)


async def call(address, method, path, body=None, timeout=1.0):
    """One call on a new channel. Returns None without a complete answer in time."""
    async def run():
        reader, writer = await asyncio.open_connection(*address)
        try:
            text = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
            headers = {"Host": "control", "Content-Type": "application/json"}
            return await exchange(reader, writer, method, path, headers, text)
        finally:
            writer.close()
    try:
        answer = await asyncio.wait_for(run(), timeout)
        return answer if answer.complete else None
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        return None


class Engine:
    """An engine: serves requests, reports its status and leaves like the pages say."""

    def __init__(self, world, name, service, ip, zone, version="v1", work_s=0.02, slots=16):
        self.world, self.name, self.service, self.ip, self.zone = world, name, service, ip, zone
        self.version, self.work_s, self.slots = version, work_s, slots
        self.id = f"i-{random.randrange(1 << 32):08x}"
        self.born = int(time.time() * 1000)
        self.seq, self.state, self.beating, self.running = 0, "ready", True, 0
        self.runs = []
        self.server = None
        self.beat_task = None
        self.writers = set()
        self.extra_headers = {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat_task = asyncio.ensure_future(self.beat())

    def status(self):
        self.seq += 1
        return {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": self.state,
                "cold-left-ms": 0, "stage": "both", "models": [], "born": self.born,
                "seq": self.seq}

    async def report(self, path, body):
        """Sends a status report until a node acknowledges it; each node gets a second."""
        nodes = list(self.world.controls)
        random.shuffle(nodes)
        for node in nodes:
            answer = await call((node.ip, CONTROL), "POST", path, body)
            if answer is not None and 200 <= answer.status < 300:
                return node
        return None

    async def beat(self):
        while True:
            if self.beating:
                await self.report(f"/hickoryreel/instances/{self.id}/heartbeat", self.status())
            await asyncio.sleep(self.world.heartbeat_ms / 1000)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(" ")
                body, complete = await read_body(reader, headers)
                if not complete:
                    return
                await self.answer(method, path, headers, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def load(self):
        return f"{self.running},0,{self.slots}"

    async def answer(self, method, path, headers, body, writer):
        request_id = headers.get("request-id", "")
        base = {"Request-Id": request_id, "Engine-Load": self.load(), **self.extra_headers}
        if headers.get("target-instance", self.id) != self.id:
            return self.respond(writer, 421, {**base, "Not-Executed": "1"}, b"")
        if self.running >= self.slots:
            return self.respond(writer, 503, {**base, "Not-Executed": "1"}, b"")
        self.runs.append((self.world.record.now(), request_id))
        self.world.record.write(f"run {request_id} at {self.name} tenant={headers.get('tenant')}")
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        base["Engine-Load"] = self.load()
        text = f"{request_id} done by {self.id}".encode()
        self.respond(writer, 200, {**base, "Response-Seal": f"seal-{request_id}"}, text)
        await writer.drain()

    def respond(self, writer, status, headers, body):
        reason = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}.get(status, "")
        lines = [f"HTTP/1.1 {status} {reason}"] + [f"{key}: {value}" for key, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def stop(self):
        """The process of the engine ends."""
        self.beating = False
        if self.beat_task is not None:
            self.beat_task.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()


class World:
    def __init__(self, folder, controls=5, entries=2, heartbeat_ms=1200, entry_memory_mb=260):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.heartbeat_ms, self.entry_memory_mb = heartbeat_ms, entry_memory_mb
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {name: role["run"] for name, role in roles.items()}
        for command in self.commands.values():
            if not os.path.exists(os.path.join(ROOT, command.split()[0])):
                raise CannotRun(f"{command} is not built")
        # Each run has loopback addresses of its own, so that all ports are free.
        self.network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        zones = list(ZONES)
        self.controls = [Node(self, "control", number, self.ip(10 + number), zones[number % 3])
                         for number in range(controls)]
        self.entries = [Node(self, "entry", number, self.ip(40 + number), zones[number % 3])
                        for number in range(entries)]
        self.seed_nodes = [f"{node.ip}:{CONTROL}" for node in self.controls[:3]]
        self.engines = []
        self.outcomes = []
        # Requests that got a success without the receipt of an engine.
        self.unsealed = set()
        self.stopped = False

    def ip(self, number):
        return f"{self.network}.{number}"

    def nodes(self):
        return self.controls + self.entries

    def launch_all(self, bootstrap):
        for node in self.nodes():
            node.launch(bootstrap)

    async def add_engine(self, name, service, **options):
        number = len(self.engines)
        engine = Engine(self, name, service, self.ip(80 + number), list(ZONES)[number % 3], **options)
        await engine.start()
        self.engines.append(engine)
        return engine

    async def order(self, path, body, what, limit_s=40):
        """The operator: sends an order to one node after the other until it is acknowledged."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            node = random.choice(self.controls)
            answer = await call((node.ip, CONTROL), "POST", path, body)
            self.record.write(f"operator {what} to {node.name}: {answer and answer.status}")
            if answer is not None and answer.status == 200:
                return node
            if answer is not None and answer.status in (400, 409, 412, 413, 422):
                raise CannotRun(f"{what} was refused with {answer.status}")
            await asyncio.sleep(0.1)
        raise CannotRun(f"{what} was not acknowledged")

    async def ready(self, entry, limit_s=20):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            answer = await call((entry.ip, READY), "GET", "/hickoryreel/readyz")
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{entry.name} is not ready")

    async def client(self, name, entry, method, path, pause_s, key="key-1", deadline_ms=3000):
        """Sends requests one after the other on a kept channel."""
        channel, count = None, 0
        while not self.stopped:
            count += 1
            request_id = f"{name}-{count}"
            headers = {"Host": "stalls.example", "Request-Id": request_id,
                       "Deadline-Ms": str(deadline_ms), "Authorization": f"Bearer {key}"}
            sent = self.record.now()
            self.record.write(f"send {request_id} to {entry.name}")
            answer, outcome = None, "no answer"
            try:
                if channel is None:
                    channel = await asyncio.wait_for(
                        asyncio.open_connection(entry.ip, FRONT), 1.0)
                body = b"x" * 100 if method == "POST" else b""
                answer = await asyncio.wait_for(
                    exchange(*channel, method, path, headers, body), deadline_ms / 1000)
                outcome = str(answer.status) + ("" if answer.complete else " incomplete")
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as cause:
                outcome = f"no answer ({type(cause).__name__})"
            if answer is not None and 200 <= answer.status < 300 \
                    and "response-seal" not in answer.headers:
                self.unsealed.add(request_id)
            closes = answer is None or not answer.complete or \
                answer.headers.get("connection", "").lower() == "close"
            if closes and channel is not None:
                channel[1].close()
                channel = None
            self.record.write(f"answer {request_id}: {outcome}")
            self.outcomes.append((sent, request_id, outcome))
            await asyncio.sleep(pause_s)

    async def close(self):
        self.stopped = True
        for node in self.nodes():
            if node.process is not None:
                node.kill()
        for engine in self.engines:
            await engine.stop()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def main(folder, case, limit_s=110):
    """Runs a case. Exits with 1 if it returns a broken rule, 0 if not, and 2 if it can't run."""
    async def run():
        world = None
        try:
            world, body = case()
            broken = await asyncio.wait_for(body, limit_s)
            world.record.say(f"broken: {broken}" if broken else "the rule held")
            return 1 if broken else 0
        except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as cause:
            print(f"cannot run: {type(cause).__name__} {cause}", flush=True)
            return 2
        finally:
            if world is not None:
                await world.close()
    loop = asyncio.new_event_loop()
    code = 2
    task = loop.create_task(run())
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        # The processes are ended too if the script is.
        loop.add_signal_handler(number, task.cancel)
    try:
        code = loop.run_until_complete(task)
    finally:
        sys.stdout.flush()
        os._exit(code)
