"""Targets of the soak: they answer as the protocol says, misbehave on order, and keep records."""

import random
import socket
import time
from dataclasses import dataclass
from pathlib import PurePosixPath

import gevent
import orjson

from jacinthcove.platform import names
from soak.history import Arrival, History
from soak.proxy import Proxy
from tests.platform.wire_bed import ScriptedTarget, chunk, header, not_run, response, stream_head

STREAM_EVENTS = 12
STREAM_ROUTES = ("draft", "ask")
WORK_S = 0.02
EVENT_S = 0.03
EVENT_END = b"\n\n"
SLOW_FACTOR = 8
KEEP_ALIVE = "Keep-Alive: timeout=5\r\n"
# Time for which every second refusal wants nothing more.
REFUSES_FOR_S = 0.6


@dataclass
class Behaviour:
    """Parts of the requests that go wrong, each drawn on its own."""

    fail: float = 0.0
    refuse: float = 0.0
    reset: float = 0.0
    truncate: float = 0.0
    garble: float = 0.0
    lose: float = 0.0
    slow: float = 0.0


def stream_body(id: str) -> bytes:
    """Return the whole stream of a request; every run makes the same one."""
    return b"".join(event(id, number) for number in range(1, STREAM_EVENTS + 1))


def event(id: str, number: int) -> bytes:
    """Return one event of a request's stream."""
    return f"id: {number}\ndata: {id}-{number}".encode() + EVENT_END


class SoakServer(ScriptedTarget):
    """Listens for one start of a target."""

    def serve_next(self, sock: socket.socket) -> None:
        """Serve another request on a connection."""
        self._serve(sock, None)


class SoakTarget:
    """A target behind a proxy of its own; `born` is the wall ms of its present start."""

    def __init__(
        self, id: str, service: str, domain: str, version: str, history: History, seed: int
    ):
        self.id = id
        self.service = service
        self.failure_domain = domain
        self.version = version
        self.history = history
        self.rng = random.Random(seed)
        self.behaviour = Behaviour()
        self.born = time.time_ns() // 1_000_000
        self.server = SoakServer(id, service, self._script)
        self.proxy = Proxy(self.server.address, random.Random(seed + 1))
        self.leaving = False
        self.running = True

    def entry(self, cold_ms: int = 0) -> dict:
        """Return the entry of this target in the store."""
        return {
            "service": self.service,
            "address": self.proxy.address,
            "zone": self.failure_domain,
            "version": self.version,
            "slots": 16,
            "state": "draining" if self.leaving else "ready",
            "cold_left_ms": cold_ms,
            "sequence": 1,
            "born": self.born,
        }

    @property
    def _extra(self) -> str:
        """Return the header by which a target that leaves says so in its answers."""
        return f"{names.LEAVING}: {names.LEAVING_YES}\r\n" if self.leaving else ""

    def close(self) -> None:
        """Stop at once, as a crash does."""
        self.proxy.close()
        self.server.close()

    def end(self) -> None:
        """End this start: its connections are reset, and nothing listens at its address."""
        self.running = False
        self.proxy.stop_listening()
        self.server.close()

    def start_again(self) -> None:
        """Listen at the same address under the same id, without registering."""
        self.born = time.time_ns() // 1_000_000
        self.server = SoakServer(self.id, self.service, self._script)
        self.proxy.listen_again(self.server.address)
        self.running = True

    def _script(self, server: SoakServer, sock: socket.socket, head: str) -> None:
        if head.startswith(f"GET {names.REPORT_PATH} "):
            body = orjson.dumps({"born": self.born})
            report_head = f"HTTP/1.1 200 OK\r\n{KEEP_ALIVE}Content-Length: {len(body)}\r\n\r\n"
            sock.sendall(report_head.encode() + body)
            server.serve_next(sock)
            return
        draw = self.rng.random
        arrival = Arrival(
            header(head, names.ATTEMPT_ID) or "",
            PurePosixPath(head.split(" ")[1]).parts[1],
            header(head, names.WORKSPACE) or "",
            self.id,
            self.service,
            self.failure_domain,
            self.history.now(),
            ran=False,
            born=self.born,
        )
        expected = header(head, names.EXPECTED_TARGET)
        if expected not in (None, self.id):
            sock.sendall(not_run(head, "421 Misdirected Request"))
            return
        self.history.arrivals.append(arrival)
        if draw() < self.behaviour.refuse:
            wish = f"{names.RETRY_AFTER}: {REFUSES_FOR_S}\r\n" if draw() < 0.5 else ""
            sock.sendall(not_run(head, extra=self._extra + wish))
            return
        arrival.ran = True
        try:
            self._run(arrival, sock, head)
        except OSError:
            # The router closed the connection.
            arrival.spoiled = True

    def _run(self, arrival: Arrival, sock: socket.socket, head: str) -> None:
        draw = self.rng.random
        slow = SLOW_FACTOR if draw() < self.behaviour.slow else 1
        gevent.sleep(WORK_S * slow)
        if draw() < self.behaviour.reset + self.behaviour.lose:
            arrival.spoiled = True
            return
        if arrival.route in STREAM_ROUTES:
            self._stream(arrival, sock, head, slow)
            return
        failed = draw() < self.behaviour.fail
        arrival.body = f"{arrival.id} done by {self.id}".encode()
        data = response(head, arrival.body, "500 Failed" if failed else "200 OK", self._extra)
        if draw() < self.behaviour.truncate:
            arrival.spoiled = True
            data = data[:-3]
        elif draw() < self.behaviour.garble:
            arrival.spoiled = True
            data += response(head, b"second answer", id="another")
        sock.sendall(data)

    def _stream(self, arrival: Arrival, sock: socket.socket, head: str, slow: int) -> None:
        draw = self.rng.random
        if draw() < self.behaviour.fail:
            sock.sendall(response(head, b"failed", "500 Failed", self._extra))
            return
        first = int(header(head, names.LAST_EVENT_ID) or 0) + 1
        broken_at = 0
        if draw() < self.behaviour.truncate:
            broken_at = self.rng.randint(first, STREAM_EVENTS)
            arrival.spoiled = True
        sock.sendall(stream_head(head, self._extra))
        for number in range(first, STREAM_EVENTS + 1):
            data = event(arrival.id, number)
            if number == broken_at:
                sock.sendall(chunk(data)[: len(data) // 2])
                return
            sock.sendall(chunk(data))
            gevent.sleep(EVENT_S * slow)
        sock.sendall(b"0\r\n\r\n")
        arrival.body = stream_body(arrival.id)
