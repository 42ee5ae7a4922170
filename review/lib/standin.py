"""Stand-ins for the platform, the operator, engines and clients, on loopback addresses.

Only the Python standard library is used. Each deployment gets loopback addresses of its own, one per
machine, because all machines use the same ports. The programs are started with the commands of
deploy/system.toml and a settings file of the platform's format.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

# Bounds of the site hcsr-fudge, as its sheet in SYSTEM.md gives them.
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 4000, "ack-ms": 5000, "catch-up-s": 4,
    "drain-ms": 2500, "grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2500,
    "rollback-slack-ms": 250, "max-stretch-ms": 6000, "strict-revoke": True, "revoke-ms": 5000,
    "retry-budget-ratio": 0.9, "retry-window-s": 10, "budget-slack": 56, "expose-share": 0.15,
    "expose-slack": 30, "rollback-ms": 5000, "recover-s": 12, "pass-ms": 250,
    "reuse-window-s": 10, "session-s": 5,
}

MEMORY_MB = 260


class CannotRun(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


class Record:
    """Writes record.txt: what was sent, answered, run and done to processes."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# Port of the metrics in deploy/system.toml; the programs take it on every machine.
METRICS_PORT = 9464


def free_addresses():
    """Finds a loopback network 127.A.B.0/24, and the first of 40 ports, that nobody uses."""
    for _ in range(50):
        prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        port = random.randrange(21_000, 29_000, 50)
        try:
            for wanted in [*range(port, port + 40), METRICS_PORT]:
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.1", wanted))
            return prefix, port
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Machine:
    """A machine of the system with one process."""

    def __init__(self, deployment, name, role, number):
        self.deployment, self.name, self.role = deployment, name, role
        self.ip = f"{deployment.prefix}.{number}"
        self.settings = deployment.folder / f"{name}.toml"
        self.data = deployment.folder / f"data-{name}" if role == "core" else None
        self.log_path = deployment.folder / f"{name}.log"
        self.process = None

    @property
    def control(self):
        return (self.ip, self.deployment.control_port)

    @property
    def front(self):
        return (self.ip, self.deployment.front_port)

    def start(self, bootstrap, seeds):
        d = self.deployment
        lines = [
            f'node-name = "{self.name}"', f'role = "{d.role_of(self.role)}"',
            f'machine-class = "{self.role}"',
            f'serves = ["{"control" if self.role == "core" else "edge"}"]',
            f'ip = "{self.ip}"', 'zone = "attica-a"', 'region = "attica"',
            f"port-range = [{d.link_port},{d.link_port + 15}]",
            f"seed-nodes = {json.dumps([f'{s.ip}:{d.control_port}' for s in seeds])}",
            f"bootstrap = {str(bootstrap).lower()}",
            f"in-tolerance = {str(self.role == 'core').lower()}",
            'discovery = "registry"', 'entry = "vip"', "heartbeat-ms = 1200",
            'contracts = ["base","drain","config","cost","retry","recover","engine","stream",'
            '"tenants","rollout"]', 'config-mode = "highest"',
        ]
        if self.data:
            self.data.mkdir(exist_ok=True)
            lines.append(f'data-dir = "{self.data}"')
        lines += ["[zones]", 'attica-a = "attica"', "[listen-addrs]"]
        if self.role == "core":
            lines.append(f'control = "{self.ip}:{d.control_port}"')
        else:
            lines += [f'front = "{self.ip}:{d.front_port}"', f'ready = "{self.ip}:{d.ready_port}"']
        disk = 128 if self.role == "core" else 0
        lines += [
            "[limits]", "cpu-share = 0.6", "cpu-cores = 1", f"memory-mb = {MEMORY_MB}",
            "max-fds = 4100", "link-mbps = 1000.0", f"disk-mb = {disk}",
            "[fault-tolerance]", "machines = 2", "zones = 0", "regions = 0", "[bounds]",
        ]
        lines += [f"{key} = {json.dumps(value)}" for key, value in BOUNDS.items()]
        self.settings.write_text("\n".join(lines) + "\n", encoding="utf-8")
        environment = {
            "PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"), "HICKORYREEL_CONFIG": str(self.settings),
        }
        with open(self.log_path, "ab") as output:
            self.process = subprocess.Popen(
                d.command_of(self.role), cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=output, stderr=subprocess.STDOUT)
        d.processes.append(self.process)
        d.record(f"{self.name}: started at {self.ip}, bootstrap={bootstrap}")

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)
            self.deployment.record(f"{self.name}: {signal.Signals(number).name}")

    async def kill(self, wipe=False):
        self.signal(signal.SIGKILL)
        await asyncio.to_thread(self.process.wait)
        if wipe:
            shutil.rmtree(self.data)
            self.deployment.record(f"{self.name}: its disk is lost")

    async def terminate(self):
        """SIGTERM, and SIGKILL after the grace time."""
        self.signal(signal.SIGTERM)
        try:
            await asyncio.to_thread(self.process.wait, BOUNDS["grace-s"])
        except subprocess.TimeoutExpired:
            await self.kill()
        self.deployment.record(f"{self.name}: ended with {self.process.returncode}")

    def log_lines(self):
        """The process's own log lines, as objects."""
        lines = []
        if self.log_path.exists():
            for line in self.log_path.read_text(encoding="utf-8", errors="replace").splitlines():
                try:
                    lines.append(json.loads(line))
                except ValueError:
                    pass
        return lines


class Deployment:
    """Machines of the system, which this process starts and ends."""

    def __init__(self, record):
        self.record = record
        self.prefix, port = free_addresses()
        self.control_port, self.front_port, self.ready_port = port, port + 1, port + 2
        self.engine_port, self.link_port = port + 3, port + 4
        self.folder = Path(tempfile.mkdtemp(prefix="hickoryreel-review-"))
        self.processes = []
        self.machines = {}
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]

    def role_of(self, machine_class):
        return next(name for name, role in self.roles.items() if role["on"] == machine_class)

    def command_of(self, machine_class):
        command = self.roles[self.role_of(machine_class)]["run"].split()
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is not built")
        return command

    def machine(self, name, role):
        machine = Machine(self, name, role, len(self.machines) + 1)
        self.machines[name] = machine
        return machine

    def cores(self):
        return [m for m in self.machines.values() if m.role == "core" and m.is_running()]

    def engine_ip(self, number):
        return f"{self.prefix}.{100 + number}"

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            print(f"kept {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers, until_close):
    """Returns the body and whether it is complete."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        try:
            while True:
                size = int((await reader.readline()).strip() or b"x", 16)
                data = await reader.readexactly(size)
                await reader.readline()
                if size == 0:
                    return body, True
                body += data
        except (ValueError, OSError, asyncio.IncompleteReadError):
            return body, False
    if "content-length" in headers:
        try:
            return await reader.readexactly(int(headers["content-length"])), True
        except (OSError, asyncio.IncompleteReadError) as cause:
            return getattr(cause, "partial", b""), False
    return (await reader.read(), True) if until_close else (b"", True)


async def call(address, method, path, headers=(), body=b"", timeout=1.0):
    """One call on a new channel. Returns the answer, or None without one."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            lines += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode("latin-1") + body)
            first, received = await read_head(reader)
            answer_body, complete = await read_body(reader, received, True)
            return Answer(int(first.split()[1]), received, answer_body, complete)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, IndexError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Operator:
    """Sends orders as PROTOCOL.md says: to any node, again after a failure, with a backoff."""

    def __init__(self, deployment):
        self.deployment, self.record = deployment, deployment.record

    async def order(self, path, body, what, limit_s=10.0, lost_acks=0):
        """Sends an order until it is answered clearly. Returns the status, or None. The first
        `lost_acks` answers are lost on their way."""
        text, until, pause = json.dumps(body).encode(), time.monotonic() + limit_s, 0.1
        headers = [("Host", "control"), ("Content-Type", "application/json")]
        while time.monotonic() < until:
            core = random.choice(self.deployment.cores())
            self.record(f"operator: sends {what} to {core.name}")
            sent_at = time.monotonic()
            answer = await call(core.control, "POST", path, headers, text)
            status = answer.status if answer else None
            if lost_acks > 0:
                lost_acks, status = lost_acks - 1, None
                await asyncio.sleep(max(0.0, sent_at + 1.0 - time.monotonic()))
            self.record(f"operator: {what}: {status or 'no answer'} from {core.name}")
            if status is not None and status < 500 and status not in (408, 429):
                return status
            await asyncio.sleep(pause)
            pause = min(pause * 1.5, 1.0)
        return None

    async def put(self, configuration, limit_s=10.0, lost_acks=0):
        what, path = f"configuration {configuration['version']}", "/hickoryreel/config/put"
        return await self.order(path, configuration, what, limit_s, lost_acks)

    async def start_roll_out(self, service, target, duration_s):
        body = {"service": service, "target": target, "duration-s": duration_s}
        return await self.order("/hickoryreel/rollouts/start", body, f"roll-out {target}")

    async def get(self, core):
        """Reads the configuration from one node: its version, or None."""
        answer = await call(core.control, "GET", "/hickoryreel/config/get", [("Host", "control")])
        if answer is None or answer.status != 200:
            self.record(f"operator: reads at {core.name}: {answer.status if answer else 'no answer'}")
            return None
        version = json.loads(answer.body)["version"]
        self.record(f"operator: reads at {core.name}: version {version}")
        return version


class Run:
    """A request that an engine began to work on."""

    def __init__(self, at, engine, headers, path):
        self.at, self.engine, self.headers, self.path = at, engine, headers, path


class Engine:
    """A sound engine: announces itself, answers requests that name it, and records its runs."""

    def __init__(self, deployment, number, service, version="v1", work_s=0.05, slots=64):
        self.deployment, self.record = deployment, deployment.record
        self.id = f"i-{number:02}{random.randrange(16 ** 6):06x}"
        self.ip, self.port = deployment.engine_ip(number), deployment.engine_port
        self.service, self.version, self.slots = service, version, slots
        self.work_s, self.born, self.sequence = work_s, int(time.time() * 1000), 0
        self.runs, self.running, self.writers = [], set(), set()
        self.server = self.beats = None
        self.state = "ready"

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, limit=1 << 20, backlog=512)
        self.beats = asyncio.create_task(self.announce_forever())
        self.record(f"engine {self.id}: started, {self.service} {self.version} at {self.ip}")

    async def announce(self):
        """One status report, to the next node after a failure. Returns whether it was acked."""
        self.sequence += 1
        body = json.dumps({
            "service": self.service, "address": f"{self.ip}:{self.port}", "zone": "attica-a",
            "version": self.version, "slots": self.slots, "state": self.state, "cold-left-ms": 0,
            "seq": self.sequence, "born": self.born}).encode()
        path = f"/hickoryreel/instances/{self.id}/heartbeat"
        headers = [("Host", "control"), ("Content-Type", "application/json")]
        cores = self.deployment.cores()
        random.shuffle(cores)
        for core in cores:
            answer = await call(core.control, "POST", path, headers, body)
            if answer is not None and 200 <= answer.status < 300:
                return True
        return False

    async def announce_forever(self):
        while True:
            await self.announce()
            await asyncio.sleep(1.2)

    async def leave(self):
        """Deregisters and exits, as after a drain. Returns the ids of the requests in work."""
        self.beats.cancel()
        for core in self.deployment.cores():
            path = f"/hickoryreel/instances/{self.id}/deregister"
            answer = await call(core.control, "POST", path, [("Host", "control")], b"{}")
            if answer is not None and 200 <= answer.status < 300:
                break
        self.server.close()
        cut_off = set(self.running)
        for writer in self.writers:
            writer.transport.abort()
        self.record(f"engine {self.id}: exits with {len(cut_off)} requests in work")
        return cut_off

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body, complete = await read_body(reader, headers, False)
                if not complete:
                    return
                method, path, _ = first.split()
                await self.answer(method, path, headers, body, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def head(self, status, headers, extra):
        lines = [f"HTTP/1.1 {status}", f"Request-Id: {headers.get('request-id', '')}"] + extra
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    async def answer(self, method, path, headers, body, writer):
        if headers.get("target-instance", self.id) != self.id:
            extra = ["Not-Executed: 1", "Content-Length: 0"]
            writer.write(self.head("421 Misdirected Request", headers, extra))
            return await writer.drain()
        self.runs.append(Run(self.record.now(), self, headers, path))
        self.record(f"engine {self.id} ({self.version}): runs {headers.get('request-id')} {path}, "
                    f"Tenant {headers.get('tenant', '-')}, "
                    f"Authorization {headers.get('authorization', '-')}")
        request_id = headers.get("request-id")
        self.running.add(request_id)
        await asyncio.sleep(self.work_s)
        self.running.discard(request_id)
        text = f"answer to {headers.get('request-id')}".encode()
        extra = [f"Response-Seal: seal-{headers.get('request-id')}",
                 f"Content-Length: {len(text)}"]
        writer.write(self.head("200 OK", headers, extra) + text)
        await writer.drain()


class Client:
    """Sends requests, each on a new channel, and records the answers."""

    def __init__(self, record):
        self.record, self.count = record, 0

    async def send(self, machine, host, path, method="GET", key=None, body=b"", deadline_ms=3000,
                   extra=()):
        self.count += 1
        request_id = f"{self.count:08x}{random.randrange(16 ** 8):08x}"
        headers = [("Host", host), ("Request-Id", request_id), ("Deadline-Ms", deadline_ms)]
        if key:
            headers.append(("Authorization", f"Bearer {key}"))
        headers += list(extra)
        self.record(f"client: sends {request_id} {method} {path} to {machine.name}, key {key}")
        answer = await call(machine.front, method, path, headers, body, deadline_ms / 1000)
        result = answer.status if answer else "no answer"
        self.record(f"client: {request_id}: {result}")
        return request_id, answer


async def start_deployment(record, cores=5, edges=1):
    """Starts the machines. The first three cores are the seeds."""
    deployment = Deployment(record)
    try:
        core = [deployment.machine(f"core-{number + 1}", "core") for number in range(cores)]
        edge = [deployment.machine(f"edge-{number + 1}", "edge") for number in range(edges)]
        for machine in core + edge:
            machine.start(True, core[:3])
        return deployment, core, edge
    except BaseException:
        deployment.close()
        raise


async def until(condition, limit_s, what):
    """Waits for an awaitable condition."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if await condition():
            return
        await asyncio.sleep(0.1)
    raise CannotRun(f"{what} did not happen within {limit_s} s")


async def until_ready(edge):
    async def ready():
        address = (edge.ip, edge.deployment.ready_port)
        answer = await call(address, "GET", "/hickoryreel/readyz", [("Host", "ready")])
        return answer is not None and answer.status == 200
    await until(ready, 15, f"readiness of {edge.name}")


def configuration(version, routes, services, tenants=None):
    """A complete configuration in the platform's format."""
    result = {
        "version": version, "routes": routes,
        "services": [{"name": name, "health-path": "/healthz", "max-connections": 370,
                      "protocol": "h1", "tls": False} for name in services],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    }
    if tenants is not None:
        result["tenants"] = tenants
    return result


def route(name, prefix, service, kind="safe", public=False, timeout_ms=3000, **more):
    return {
        "name": name, "host": "review.example", "path-prefix": prefix, "route-type": kind,
        "timeout-ms": timeout_ms, "target-latency-ms": 300, "priority": 2, "service": service,
        "max-attempts": 2, "public": public, "session-affinity": False, **more}


def main(folder, scenario):
    """Runs a scenario: it returns the breaks of the rule. Exits with 1, 0 or 2."""
    folder = Path(folder).resolve()
    record = Record(folder)
    trouble = not os.environ.get("TROUBLE", "1").startswith("0")
    record(f"trouble: {trouble}")
    held = []

    async def run():
        async with asyncio.timeout(112):
            return await scenario(record, trouble, held)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(2))
    code = 2
    try:
        breaks = asyncio.run(run())
        for text in breaks:
            record(f"BROKEN: {text}")
        record(f"breaks: {len(breaks)}")
        print(f"{len(breaks)} breaks" + "".join(f"\n  {text}" for text in breaks[:5]))
        code = 1 if breaks else 0
    except Exception as cause:  # An error of the case itself must not look like a broken rule.
        record(f"cannot run: {cause!r}")
        print(f"cannot run: {cause!r}", file=sys.stderr)
    finally:
        for deployment in held:
            deployment.close()
    sys.exit(code)
