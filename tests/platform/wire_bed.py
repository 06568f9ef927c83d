"""A test bed: a gateway on real sockets with scripted targets."""

import gevent
from gevent.server import StreamServer

from jacinthcove.bytebudget import ByteBudget
from jacinthcove.clock import SystemClock
from jacinthcove.coldstart.startcheck import StartCheck
from jacinthcove.gateway.activeconfig import ActiveConfig
from jacinthcove.gateway.admission import Admission
from jacinthcove.gateway.application import GatewayApplication
from jacinthcove.gateway.attempts import AttemptObservers, AttemptRecorder
from jacinthcove.gateway.crashevidence import FirstEvents
from jacinthcove.gateway.crashexaminer import CrashExaminer
from jacinthcove.gateway.crashwitness import CrashWitness
from jacinthcove.gateway.fleetquota import FleetQuota
from jacinthcove.gateway.forward import Forwarder
from jacinthcove.gateway.model import (
    CallerLimits,
    EngineCapacity,
    GatewayService,
    HttpRoute,
    RetrySafety,
    RoutingConfig,
    ServiceShare,
)
from jacinthcove.gateway.placement import Placement
from jacinthcove.gateway.quarantine import Quarantine
from jacinthcove.gateway.raterule import ColdRateLimit
from jacinthcove.gateway.retrybudget import WindowedRetryBudget
from jacinthcove.gateway.rollouts import Rollouts
from jacinthcove.gateway.server import GatewayServer
from jacinthcove.gateway.shares import ShareLedger
from jacinthcove.gateway.targetrates import TargetRates
from jacinthcove.gateway.targetrecord import TargetRecord
from jacinthcove.gateway.targets import TargetRegistry
from jacinthcove.ingress.account import BodyAccount
from jacinthcove.observe.decisions import DecisionLog
from jacinthcove.observe.metrics import Metrics
from jacinthcove.platform import names
from jacinthcove.platform.codec import PlatformCodec
from jacinthcove.platform.startreport import ReportReader
from jacinthcove.targets.pool import ConnectionPool

HOST = "desk.example"
KEY = "key-of-small"
TIMEOUT_MS = 700
ANSWER_BYTES = 50 * 1024 * 1024
BODY_BYTES = 40 * 1024 * 1024
SMALL_BODY_BYTES = 4 * 1024 * 1024


def route(name, kind, attempts=1, resumable=False, service="ledger"):
    return HttpRoute(
        name=name,
        host=HOST,
        path_prefix=f"/{name}/",
        retry_safety=kind,
        timeout_ms=TIMEOUT_MS,
        latency_goal_ms=400,
        services=(ServiceShare(service, 1.0),),
        max_attempts=attempts,
        resumable=resumable,
    )


ROUTES = (
    route("publish", RetrySafety.UNSAFE),
    route("publish2", RetrySafety.UNSAFE, attempts=2),
    route("status", RetrySafety.SAFE, attempts=2),
    route("draft", RetrySafety.STREAM, service="models"),
    route("ask", RetrySafety.STREAM, attempts=2, resumable=True, service="models"),
)


class ScriptedTarget:
    """Serves one request per connection by `script(target, sock, head)`.

    `seen` holds the head and `bodies` the body of each request received.
    """

    def __init__(self, id, service, script):
        self.id = id
        self.service = service
        self.script = script
        self.seen = []
        self.bodies = []
        self.closed_by_peer = gevent.event.Event()
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server_port}"

    def record(self, **fields):
        values = {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "failure_domain": "a",
            "version": "v1",
            "slots": 6,
        } | fields
        return TargetRecord(**values)

    def close(self):
        self.server.stop(timeout=0.1)

    def _serve(self, sock, _):
        data = b""
        while b"\r\n\r\n" not in data:
            part = sock.recv(65_536)
            if not part:
                return
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        text = head.decode("latin-1")
        length = int(header(text, "Content-Length") or 0)
        while len(body) < length:
            body += sock.recv(65_536)
        self.seen.append(text)
        self.bodies.append(body)
        self.script(self, sock, text)


def header(head, name):
    """Return the value of a header in a request head, or None if it is absent."""
    for line in head.split("\r\n")[1:]:
        field, _, value = line.partition(":")
        if field.lower() == name.lower():
            return value.strip()
    return None


def response(head, body=b"published", status="200 OK", extra="", id=None, length=None):
    """Return a signed response to the request with `head`."""
    attempt = id or header(head, names.ATTEMPT_ID)
    size = len(body) if length is None else length
    return (
        f"HTTP/1.1 {status}\r\n{names.ATTEMPT_ID}: {attempt}\r\n{names.SIGNATURE}: s1\r\n"
        f"{extra}Content-Length: {size}\r\n\r\n"
    ).encode() + body


def not_run(head, status="503 Service Unavailable", extra=""):
    """Return the response of a target that did not execute the request."""
    return (f"HTTP/1.1 {status}\r\n{names.NOT_RUN}: 1\r\n{extra}Content-Length: 0\r\n\r\n").encode()


def responds_with(make):
    """Return a script that sends the bytes `make(head)` and closes the connection."""

    def script(target, sock, head):
        sock.sendall(make(head))

    return script


def stream_head(head, extra=""):
    """Return the head of a signed event stream."""
    return (
        f"HTTP/1.1 200 OK\r\n{names.ATTEMPT_ID}: {header(head, names.ATTEMPT_ID)}\r\n"
        f"{names.SIGNATURE}: s1\r\n{extra}Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data):
    """Return one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number):
    """Return one event of a stream."""
    return b"id: %d\ndata: w%d\n\n" % (number, number)


class Recorder(AttemptRecorder):
    """Records the end of each attempt and the action that followed it."""

    attempts = ()

    def on_step_chosen(self, forwarding, attempt, step):
        self.attempts = (*self.attempts, (attempt.end, step))


class NoStore:
    """A store of quarantined parts that keeps nothing."""

    def put(self, part):
        pass

    def delete(self, part):
        pass


class GatewayTestBed:
    """A gateway with the routes of `ROUTES`; `add` registers a scripted target."""

    def __init__(self, limits=None):
        clock = SystemClock()
        self.metrics = Metrics()
        self.decisions = DecisionLog(clock, self.metrics, lines_per_s=10_000)
        self.active_config = ActiveConfig(clock, 60_000, 60_000)
        self.registry = TargetRegistry(clock)
        self.refused = None
        quota = FleetQuota(clock, "r1")
        quota.set_routers(["r1"])
        self.admission = Admission(
            clock,
            self.registry,
            Placement("a"),
            ShareLedger(clock, 4_000),
            TargetRates(clock, quota, ColdRateLimit(1.0, 0.0), self.registry.stated_limits),
            self.decisions,
            Rollouts(clock, self.registry),
        )
        self.recorder = Recorder(clock, self.admission.rollouts, self.active_config, self.decisions)
        self.active_config.listeners.append(self.admission.configure)
        self.connections = ConnectionPool(clock, self.metrics)
        self.quarantine = Quarantine(clock)
        self.examiner = CrashExaminer(clock, FirstEvents(clock), self.quarantine, NoStore())
        witness = CrashWitness(self.examiner.first_events, self.quarantine, self.examiner)
        self.answer_bytes = ByteBudget(ANSWER_BYTES)
        self.body_bytes = BodyAccount(clock, BODY_BYTES, SMALL_BODY_BYTES)
        forwarder = Forwarder(
            clock,
            PlatformCodec(),
            self.admission,
            WindowedRetryBudget(clock, 10_000, 0.2, lambda: 50),
            self.connections,
            lambda request: self.active_config.require_fresh(request.workspace),
            AttemptObservers(self.recorder, witness),
            self.answer_bytes,
            StartCheck(self.registry, self.admission.rates.cold, ReportReader(), self.metrics),
        )
        self.application = GatewayApplication(
            clock,
            self.active_config,
            PlatformCodec(),
            forwarder,
            self.metrics,
            self.decisions,
            lambda request: self.refused,
            self.body_bytes,
        )
        self.server = GatewayServer("127.0.0.1:0", self.application)
        self.targets = []
        self.active_config.apply(
            RoutingConfig(
                1,
                ROUTES,
                {
                    "ledger": GatewayService("ledger"),
                    "models": GatewayService("models", engine=EngineCapacity(8, 100_000)),
                },
                limits or CallerLimits(header_timeout_ms=300, max_header_bytes=2_048,
                                       max_body_bytes=4_096, idle_timeout_ms=1_000),
                {KEY: "small"},
            ),
            1,
        )  # fmt: skip
        self.active_config.confirm(clock.boot())

    @property
    def attempts(self):
        return list(self.recorder.attempts)

    def start(self):
        self.server.start()

    def close(self):
        self.server.server.stop(timeout=0.1)
        self.connections.close()
        for target in self.targets:
            target.close()

    def add(self, id, service, script, **fields):
        target = ScriptedTarget(id, service, script)
        self.targets.append(target)
        self.registry.put(target.record(**fields), 1)
        return target

    def connect(self):
        sock = gevent.socket.create_connection(("127.0.0.1", self.server.server.server_port))
        sock.settimeout(5)
        return sock

    def send(self, path, body=b"{}", method="POST", extra="", id="q1", key=KEY):
        """Send one request on a new connection and return the connection."""
        sock = self.connect()
        sock.sendall(request(path, body, method, extra, id, key))
        return sock

    def call(self, *args, **fields):
        """Send one request and return what `read_response` returns."""
        return read_response(self.send(*args, **fields))


def request(path, body=b"{}", method="POST", extra="", id="q1", key=KEY):
    """Return the bytes of a caller's request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"{names.ATTEMPT_ID}: {id}"]
    if key:
        lines.append(f"{names.AUTHORIZATION}: Token {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n" + extra + "\r\n").encode() + body


def read_response(sock):
    """Return status, headers and body of one response; status is 0 without one.

    The body is None if it is incomplete.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(65_536)
        if not part:
            return 0, {}, None
        data += part
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:])
    }
    status = int(lines[0].split()[1])
    if "content-length" in headers:
        return status, headers, _read_length(sock, rest, int(headers["content-length"]))
    return status, headers, _read_chunks(sock, rest)


def _read_length(sock, data, length):
    while len(data) < length:
        part = sock.recv(65_536)
        if not part:
            return None
        data += part
    return data


def _read_chunks(sock, data):
    body = b""
    while True:
        while b"\r\n" not in data:
            part = sock.recv(65_536)
            if not part:
                return None
            data += part
        size, _, data = data.partition(b"\r\n")
        length = int(size, 16)
        while len(data) < length + 2:
            part = sock.recv(65_536)
            if not part:
                return None
            data += part
        if not length:
            return body
        body += data[:length]
        data = data[length + 2 :]
