"""Stand-ins of the platform for the review's scripts: store, engines, requesters, router processes.

Everything runs on loopback addresses and the real clock. The store and the engines follow
PROTOCOL.md; a case changes only what its disturbance changes.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
KEY = "asnmgkcuyj8pjbvk9m68"
TENANT = "hule930"
MEMORY_MB = 300
GRACE_S = 8
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
    "tokens_per_s": 215_000,
}
SETTINGS = """node={node}
role=router
machine_class=front
serves=front,directory
ip={ip}
zone={zone}
region=here
zones.zone-a=here
zones.zone-b=here
listen.front={ip}:{front}
listen.ready={ip}:{ready}
listen.directory={ip}:{directory}
internal_ports={mesh},{mesh_end}
seeds=
bootstrap=true
limits.memory_mb={memory_mb}
limits.max_fds=4100
discovery=platform
entry=directory
heartbeat_ms=1200
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=5000
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_slack=56
bounds.expose_share=0.1
bounds.expose_slack=50
bounds.rollback_ms=5000
bounds.cold_over=1.5
bounds.cold_slack=5
bounds.evacuate_ms=5000
bounds.recover_s=12
bounds.pass_ms=120
bounds.retry_after_s=10
bounds.quota_window_s=4
bounds.ttl_max_s=5
platform.address={store}
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
"""


class CannotRun(Exception):
    """The case could not be played (exit code 2)."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def write(self, what, **fields):
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {what} {text}\n")
        self.file.flush()


def ip_for(number):
    """Return a loopback address of this process, so that the fixed metrics port is free."""
    return f"127.{1 + os.getpid() % 200}.{1 + os.getpid() // 200 % 250}.{number}"


def free_ports(ip, count):
    """Return free ports of an address."""
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


async def read_head(reader):
    """Return the first line and the header fields (lower case) of a message, None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


class Store:
    """The platform's store: objects by kind and name, long polling, conditional writes."""

    PAGE = 500

    def __init__(self, ip):
        self.ip = ip
        self.revision = 1
        # (kind, name) to [metadata, spec as JSON text, status as JSON text]
        self.objects = {}
        # (revision, kind, JSON text of the event)
        self.history = []
        self.changed = asyncio.Event()
        self.server = None
        self.port = 0

    async def start(self):
        """Start to listen."""
        self.server = await asyncio.start_server(self._serve, self.ip, 0, limit=4 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        """Return ip:port."""
        return f"{self.ip}:{self.port}"

    def put(self, kind, name, spec, raw=False):
        """Write an object as the operator or an engine does; `raw`: `spec` is JSON text."""
        text = spec if raw else json.dumps(spec)
        old = self.objects.get((kind, name))
        if old is not None and old[1] == text:
            return
        self._store(kind, name, text, old[2] if old else "null")

    def delete(self, kind, name):
        """Remove an object."""
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._event(kind, self._text(item), True)

    def _store(self, kind, name, spec, status):
        self.revision += 1
        old = self.objects.get((kind, name))
        meta = {
            "name": name,
            "revision": self.revision,
            "created_rev": old[0]["created_rev"] if old else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        item = self.objects[kind, name] = [meta, spec, status]
        self._event(kind, self._text(item), False)
        return item

    def _event(self, kind, text, deleted):
        flag = "true" if deleted else "false"
        event = f'{{"deleted":{flag},"object":{text}}}'
        self.history.append((self.revision, time.monotonic(), kind, event))
        while self.history and self.history[0][1] < time.monotonic() - 20:
            self.history.pop(0)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    @staticmethod
    def _text(item):
        return f'{{"metadata":{json.dumps(item[0])},"spec":{item[1]},"status":{item[2]}}}'

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                status, text = await self._answer(line, body)
                data = text.encode("utf-8", "surrogateescape")
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, line, body):
        method, target, _ = line.split(" ")
        path, _, query_text = target.partition("?")
        query = {k: v[0] for k, v in urllib.parse.parse_qs(query_text).items()}
        kind, _, name = path.removeprefix("/-/objects/").partition("/")
        status_write = name.endswith("/status")
        name = urllib.parse.unquote(name.removesuffix("/status"))
        if method == "GET" and name:
            item = self.objects.get((kind, name))
            return (200, self._text(item)) if item else (404, "{}")
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        if method == "GET":
            return 200, self._list(kind, query.get("after_rev", ""))
        return self._write(method, kind, name, status_write, json.loads(body or b"{}"), query)

    def _list(self, kind, after):
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        page, size = [], 0
        for name in names:
            text = self._text(self.objects[kind, name])
            if page and (len(page) >= self.PAGE or size + len(text) > 1_048_576):
                break
            page.append(text)
            size += len(text)
        more = "true" if len(page) < len(names) else "false"
        return f'{{"items":[{",".join(page)}],"has_more":{more},"current_rev":{self.revision}}}'

    async def _watch(self, kind, since, wait_ms):
        ends_at = time.monotonic() + min(wait_ms, 30_000) / 1000
        if self.history and since < self.history[0][0] - 1:
            return 410, "{}"
        while True:
            events = [text for at, _, k, text in self.history if at > since and k == kind]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                text = f'{{"events":[{",".join(events)}],"current_rev":{self.revision}}}'
                return 200, text
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def _write(self, method, kind, name, status_write, data, query):
        meta = data.get("metadata", {})
        name = name or meta.get("name", "")
        old = self.objects.get((kind, name))
        if method == "POST":
            if old is not None:
                return 409, self._text(old)
            return 201, self._text(self._store(kind, name, json.dumps(data.get("spec")), "null"))
        if old is None:
            return 404, "{}"
        expected = meta.get("revision", query.get("revision"))
        if expected is not None and int(expected) != old[0]["revision"]:
            return 409, self._text(old)
        if method == "DELETE":
            self.delete(kind, name)
            return 200, "{}"
        spec = old[1] if status_write else json.dumps(data.get("spec"))
        status = json.dumps(data.get("status")) if status_write else old[2]
        if (spec, status) == (old[1], old[2]):
            return 200, self._text(old)
        return 200, self._text(self._store(kind, name, spec, status))


class SilentProxy:
    """Passes bytes between the routers and the store until its open channels fall silent."""

    def __init__(self, bed):
        self.bed = bed
        self.server = None
        self.port = 0
        self.generation = 0
        # Called with the head of each request that a router sends.
        self.on_request = lambda line: None

    @property
    def address(self):
        """Return ip:port."""
        return f"{self.bed.ip}:{self.port}"

    async def start(self):
        """Start to listen."""
        self.server = await asyncio.start_server(self._serve, self.bed.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def silence(self):
        """Let the open channels go silent for good, without a reset; new ones work."""
        self.generation += 1
        self.bed.record.write("channels_silent")

    async def _serve(self, reader, writer):
        generation = self.generation
        store_reader, store_writer = await asyncio.open_connection(
            self.bed.ip, self.bed.store.port
        )
        await asyncio.gather(
            self._pass(generation, reader, store_writer, True),
            self._pass(generation, store_reader, writer, False),
        )

    async def _pass(self, generation, reader, writer, to_store):
        try:
            while data := await reader.read(65_536):
                if generation != self.generation:
                    continue
                if to_store:
                    self.on_request(data.split(b"\r\n", 1)[0].decode("latin-1"))
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            if generation == self.generation:
                writer.close()


class Engine:
    """An engine: runs each request that it is meant for, after `work_s`, and records the run.

    `answer` may be replaced by a case. A run ends early if the channel is closed.
    """

    def __init__(self, bed, name, service, work_s=0.05, slots=64, zone="zone-a"):
        self.bed = bed
        self.name = name
        self.service = service
        self.work_s = work_s
        self.slots = slots
        self.zone = zone
        # When each request arrived, in seconds since the start of the case.
        self.arrivals = []
        self.ip = bed.ip
        self.port = 0
        self.server = None
        self.born = int(time.time() * 1000)
        self.runs = []
        self.heads = []
        # A leaving engine says so in all its answers.
        self.leaving = False

    async def start(self):
        """Start to listen and register in the store."""
        self.server = await asyncio.start_server(self._serve, self.ip, 0, limit=8 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()

    def entry(self, **fields):
        """Return the entry in the store."""
        return {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "born": self.born,
            "sequence": 1,
        } | fields

    def register(self, **fields):
        """Write the entry."""
        self.bed.store.put("servers", self.name, self.entry(**fields))

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                if not await self._one(head, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _one(self, head, reader, writer):
        line, fields = head
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        attempt = fields.get("x-attempt-id", "")
        if fields.get("x-expect-instance", self.name) != self.name:
            writer.write(b"HTTP/1.1 421 x\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
            return True
        self.heads.append((line, fields))
        self.arrivals.append((self.bed.record.now(), attempt))
        return await self.answer(line, fields, body, reader, writer, attempt)

    def begin(self, attempt):
        """Record that a request begins to run."""
        self.runs.append(attempt)
        self.bed.record.write("runs", id=attempt, engine=self.name)

    async def answer(self, line, fields, body, reader, writer, attempt):
        """Run the request and answer; return whether the channel stays open."""
        self.begin(attempt)
        await asyncio.sleep(self.work_s)
        text = f"done {attempt}".encode()
        leaving = "Server-Leaving: 1\r\n" if self.leaving else ""
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: s.{attempt}\r\n"
            f"{leaving}Content-Length: {len(text)}\r\n\r\n".encode()
            + text
        )
        await writer.drain()
        return True


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(self, bed, number, zone="zone-a"):
        self.bed = bed
        self.number = number
        self.ip = ip_for(10 + number)
        self.front, self.ready, self.directory, self.mesh = free_ports(self.ip, 4)
        self.settings = bed.folder / f"router-{number}.conf"
        self.settings.write_text(
            SETTINGS.format(
                node=f"front-{number}",
                ip=self.ip,
                zone=zone,
                front=self.front,
                ready=self.ready,
                directory=self.directory,
                mesh=self.mesh,
                mesh_end=self.mesh + 1,
                store=bed.store_address or bed.store.address,
                memory_mb=MEMORY_MB,
            )
        )
        self.log = bed.folder / f"router-{number}.log"
        self.process = None
        self.most_mb = 0.0

    def launch(self):
        """Start the process."""
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "deploy/router.py"],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "JACINTHCOVE_NODE_FILE": str(self.settings),
                },
            )
        self.bed.processes.append(self.process)
        self.bed.record.write("router_started", router=self.number, pid=self.process.pid)

    def signal(self, number):
        """Send a signal to the process that this object started."""
        if self.process.poll() is None:
            self.process.send_signal(number)
            self.bed.record.write("signal", router=self.number, signal=number.name)

    def memory_mb(self):
        """Return the resident memory of the process in MB, 0 if it has ended."""
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    mb = int(line.split()[1]) / 1024
                    self.most_mb = max(self.most_mb, mb)
                    return mb
        except OSError:
            pass
        return 0.0

    async def is_ready(self):
        """Return whether the platform's check gets a 200."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self, within_s=25):
        """Wait until the router is ready."""
        ends_at = time.monotonic() + within_s
        while time.monotonic() < ends_at:
            if self.process.poll() is not None:
                raise CannotRun(f"router {self.number} ended at the start")
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"router {self.number} did not become ready")

    async def enforce_memory(self):
        """Kill the process when it exceeds `memory_mb`, as the platform does."""
        while self.process.poll() is None:
            if self.memory_mb() > MEMORY_MB:
                self.bed.record.write(
                    "memory_exceeded", router=self.number, mb=round(self.most_mb), limit=MEMORY_MB
                )
                self.process.kill()
                return
            await asyncio.sleep(0.01)


class Answer:
    """What a requester got: `status` 0 if the channel ended without a complete answer."""

    def __init__(self, status=0, fields=None, body=b"", complete=False):
        self.status = status
        self.fields = fields or {}
        self.body = body
        self.complete = complete


class Channel:
    """A requester's kept channel to a router."""

    def __init__(self, bed, router):
        self.bed = bed
        self.router = router
        self.reader = self.writer = None
        bed.channels.append(self)

    async def open(self):
        """Connect."""
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.router.ip, self.router.front, limit=8 << 20), 1
        )

    def close(self):
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def send(self, path, attempt, method="POST", body=b"{}", deadline_ms=2_500, extra=(),
                   paced_s=0.0):  # fmt: skip
        """Send one request; `paced_s` spreads the body over that time."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {attempt}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"Authorization: Token {KEY}",
            *extra,
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        if paced_s:
            steps = max(1, int(paced_s / 0.05))
            size = -(-len(body) // steps)
            for start in range(0, len(body), size):
                self.writer.write(body[start : start + size])
                await self.writer.drain()
                await asyncio.sleep(paced_s / steps)
        else:
            self.writer.write(body)
        await self.writer.drain()

    async def receive(self, within_s=20):
        """Return the answer."""
        try:
            return await asyncio.wait_for(self._receive(), within_s)
        except TimeoutError:
            return Answer()
        except (ConnectionError, asyncio.IncompleteReadError):
            return Answer()

    async def _receive(self):
        head = await read_head(self.reader)
        if head is None:
            return Answer()
        line, fields = head
        status = int(line.split(" ")[1])
        if "content-length" in fields:
            body = await self.reader.readexactly(int(fields["content-length"]))
            return Answer(status, fields, body, True)
        body = b""
        while True:
            size = int((await self.reader.readline()).split(b";")[0] or b"x", 16)
            body += await self.reader.readexactly(size)
            await self.reader.readexactly(2)
            if not size:
                return Answer(status, fields, body, True)


class Bed:
    """One play of a case: a store, engines and routers, with clean-up of all that was started."""

    def __init__(self, folder):
        self.case = Path(folder)
        self.record = Record(self.case / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="jacinthcove-review-"))
        self.ip = ip_for(1)
        self.processes = []
        self.channels = []
        self.routers = []
        self.engines = []
        self.store = Store(self.ip)
        # Where the routers reach the store, if not directly.
        self.store_address = ""
        self.version = 0
        self.routes = []
        self.services = []

    async def start(self, routers=1):
        """Start the store, then the routers; engines and the first desired state come before."""
        for number in range(1, routers + 1):
            router = Router(self, number)
            self.routers.append(router)
            router.launch()
        for router in self.routers:
            await router.wait_ready()

    async def add_engine(self, name, service, **options):
        """Start an engine."""
        engine = options.pop("make", Engine)(self, name, service, **options)
        await engine.start()
        self.engines.append(engine)
        return engine

    def config(self, **fields):
        """Write the next desired state."""
        self.version += 1
        self.store.put(
            "config",
            "main",
            {
                "version": self.version,
                "routes": self.routes,
                "services": self.services,
                "limits": LIMITS,
                "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
            }
            | fields,
        )
        self.record.write("desired_state", version=self.version)

    def close(self):
        """Close the channels and end every process that was started."""
        for channel in self.channels:
            channel.close()
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class KeptCallers:
    """Requesters that send one unsafe request after another on a kept channel each.

    `lost` holds the requests that an engine had begun to run and whose channel was closed without
    a complete answer; `unread` those that no engine had begun to run.
    """

    def __init__(self, bed, router, count, path, pause_s=0.0, deadline_ms=2_500):
        self.bed = bed
        self.router = router
        self.count = count
        self.path = path
        self.pause_s = pause_s
        self.deadline_ms = deadline_ms
        self.sent = self.answered = 0
        self.lost = []
        self.unread = []
        self.stopped = False
        self.tasks = []

    def start(self):
        """Start all requesters."""
        self.tasks = [asyncio.ensure_future(self._run(n)) for n in range(self.count)]

    async def stop(self):
        """Stop the requesters."""
        # A cancelled `wait_for` may still return a result, so a flag ends the loops as well.
        self.stopped = True
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _run(self, number):
        channel = Channel(self.bed, self.router)
        await channel.open()
        turn = 0
        while not self.stopped:
            turn += 1
            attempt = f"kept-{number}-{turn}"
            try:
                await channel.send(self.path, attempt, deadline_ms=self.deadline_ms)
            except ConnectionError:
                return
            self.sent += 1
            answer = await channel.receive()
            self.bed.record.write("answer", id=attempt, status=answer.status)
            if not answer.complete:
                began = any(attempt in engine.runs for engine in self.bed.engines)
                (self.lost if began else self.unread).append(attempt)
                return
            self.answered += 1
            await asyncio.sleep(self.pause_s)


def route(name, kind, service, timeout_ms=2_500, attempts=1, goal_ms=200, **fields):
    """Return a route of the desired state."""
    return {
        "name": f"r-{name}",
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": goal_ms,
        "priority": 1,
        "service": service,
        "max_attempts": attempts,
        "anonymous": False,
        "sticky": False,
        "can_resume": False,
    } | fields


def plain_service(name):
    """Return a plain service of the desired state."""
    return {"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1",
            "tls": False, "cold_s": 0.0, "cold_per_s": 0.0}  # fmt: skip


def play(folder, case):
    """Play `case(bed)`, an async function that returns whether the rule held; exit accordingly."""

    async def run():
        bed = Bed(folder)
        try:
            await bed.store.start()
            held = await case(bed)
            bed.record.write("held" if held else "broken")
            return 0 if held else 1
        except CannotRun as error:
            bed.record.write("cannot_run", reason=str(error))
            print(f"cannot run: {error}", file=sys.stderr)
            return 2
        finally:
            bed.close()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = asyncio.run(run())
    sys.stderr.flush()
    # Everything that was started has ended; open sockets of the stand-ins need no clean-up.
    os._exit(code)
