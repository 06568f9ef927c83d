"""HTTP requests to targets with a strict answer to whether a request was sent.

Every request uses a fresh connection: a pooled one may have gone silent, and a failure on it could
not be told apart from a failure after the target had received the request.
"""

import contextlib
import socket
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import gevent
import gevent.socket
import orjson
from gevent.hub import Waiter
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from jacinthcove.address import split_address
from jacinthcove.errors import NotAdmitted, TargetFailed

CONNECT_TIMEOUT_MS = 1_000
IDLE_INTERVAL_MS = 1_000
READ_EVENT = 1
RECEIVE_BYTES = 65_536
# Bytes of an answer that are not its body: the head with interim ones, chunk lines, trailers.
MAX_FRAMING_BYTES = 32_768
# Short chunks have more framing than body.
MAX_FRAMING_PER_BODY_BYTE = 16
# Body bytes that wait to be taken; a whole answer is taken at its end.
MAX_WAITING_BODY_BYTES = 8 * 1024 * 1024
# An event is one token; a target that sends more without a blank line does not speak the protocol.
MAX_EVENT_BYTES = 1_000_000
# The kernel drops a connection whose sent data stays unacknowledged for this long.
UNACKNOWLEDGED_TIMEOUT_MS = 10_000


class TargetUnreachable(NotAdmitted):
    """No connection to the target could be made, so it received nothing."""


class TargetStalled(TargetFailed):
    """The target sent nothing for the stall timeout."""


def ignore_idle() -> None:
    """Do nothing in a pause of the target."""


class TargetResponse(HTTPSocketResponse):
    """A response whose body can be taken as it arrives.

    The library only reads lines or fixed lengths, which costs a search and a copy per token. It
    also takes bytes after a complete response for the start of the next one and then forgets the
    first; here they are dropped and noted in `extra`.

    What a faulty target sends without end is bounded: the bytes that are not body, and the body
    bytes that wait to be taken.
    """

    final_status = 0
    extra = False
    fed_bytes = 0
    body_bytes = 0

    def get_code(self) -> int:
        """Return the status of the response, not that of bytes after it."""
        return self.final_status or super().get_code()

    def feed(self, data: str | bytes) -> None:
        """Parse received bytes.

        Raises `HTTPParseError` before the response is complete, also when it exceeds a bound.
        """
        self.fed_bytes += len(data)
        try:
            super().feed(data)
        except HTTPParseError:
            if not self._ended():
                raise
            self.extra = True
        if not self._ended():
            self._check_bounds()

    def _check_bounds(self) -> None:
        framing = self.fed_bytes - self.body_bytes
        if framing > MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * self.body_bytes:
            raise HTTPParseError(f"the answer has {framing} bytes beside its body")
        if len(self._body_buffer) > MAX_WAITING_BODY_BYTES:
            raise HTTPParseError(f"the answer is longer than {MAX_WAITING_BODY_BYTES} bytes")

    def _ended(self) -> bool:
        return bool(self.final_status) and self.message_complete

    def _on_message_begin(self) -> None:
        if self._ended():
            self.extra = True
        else:
            super()._on_message_begin()

    def _on_header_field(self, string: str) -> None:
        if not self.extra:
            super()._on_header_field(string)

    def _on_header_value(self, string: str) -> None:
        if not self.extra:
            super()._on_header_value(string)

    def _on_headers_complete(self) -> int | bool | None:
        if self.extra:
            return None
        if super().get_code() >= 200:
            self.final_status = super().get_code()
        return super()._on_headers_complete()

    def _on_body(self, buf: bytearray) -> None:
        if not self.extra:
            self.body_bytes += len(buf)
            super()._on_body(buf)

    def note_progress(self) -> None:
        """Count time without progress from now on, whatever bytes arrive meanwhile."""
        if isinstance(self._sock, StallingSocket):
            self._sock.note_progress()

    def receive(self) -> bytes:
        """Return the body bytes that are there, waiting for the first; empty at the end."""
        buffer = self._body_buffer
        while not buffer:
            if self.message_complete or self._sock is None:
                return b""
            self.feed(self._sock.recv(self.block_size))
        data = bytes(buffer)
        buffer.clear()
        return data


class StallingSocket:
    """A socket whose `recv` reports idle intervals and gives up after the stall timeout.

    Bytes count as progress until `note_progress` is called. From then on only its calls do, so that
    a target which sends a byte now and then stalls like a silent one.

    One timer serves all reads, and each read waits first, because the next token is hardly ever
    there yet. A gevent socket with a timeout instead tries to read, fails and makes a `Timeout`
    per token.
    """

    def __init__(self, sock: Any, stall_ms: int, on_idle: Callable[[], None]):
        self.sock = sock
        self.stall_ms = stall_ms
        self.on_idle = on_idle
        sock.settimeout(0.0)
        self.hub = gevent.get_hub()
        self.interval_ms = min(IDLE_INTERVAL_MS, stall_ms)
        self.readable = self.hub.loop.io(sock.fileno(), READ_EVENT)
        self.timer = self.hub.loop.timer(self.interval_ms / 1000, self.interval_ms / 1000)
        self.progress_at: float | None = None
        self.idle_at = 0.0
        self.closed = False

    def note_progress(self) -> None:
        """Note that what arrived brought the answer forward."""
        self.progress_at = self.idle_at = time.monotonic()

    def recv(self, size: int) -> bytes:
        """Receive bytes; raises `TargetStalled` when none arrive for `stall_ms`."""
        if self.progress_at is not None:
            self._check_progress(self.progress_at)
        waited_ms = 0
        while True:
            ready = self._wait()
            try:
                # After a pause of this process the timer can win although bytes are there.
                return self.sock.recv(size)
            except BlockingIOError:
                if ready:
                    continue
            waited_ms += self.interval_ms
            if waited_ms >= self.stall_ms:
                raise TargetStalled(f"no data for {self.stall_ms} ms")
            self.on_idle()

    def _check_progress(self, progress_at: float) -> None:
        now = time.monotonic()
        if (now - self.idle_at) * 1_000 >= self.interval_ms:
            self.idle_at = now
            self.on_idle()
        # Bytes that wait came while this process was paused and may hold the progress.
        if (now - progress_at) * 1_000 >= self.stall_ms and not self._has_bytes():
            raise TargetStalled(f"no progress for {self.stall_ms} ms")

    def _has_bytes(self) -> bool:
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return False

    def _wait(self) -> bool:
        """Wait until bytes can be read (True) or the idle interval is over (False)."""
        waiter = Waiter(self.hub)
        self.readable.start(waiter.switch, True)
        # `start` would continue with the time that was left at the last stop.
        self.timer.again(waiter.switch, False, update=False)
        try:
            return waiter.get()
        finally:
            self.readable.stop()
            self.timer.stop()

    def close(self) -> None:
        """Close the connection."""
        if not self.closed:
            self.closed = True
            self.readable.close()
            self.timer.close()
            self.sock.close()


@dataclass(frozen=True)
class TargetRequest:
    """One HTTP request to a target at `address` (`ip:port`)."""

    address: str
    method: str
    path: str
    body: bytes = b""
    stall_ms: int = 5_000
    on_idle: Callable[[], None] = ignore_idle


def connect(address: str) -> Any:
    """Open a connection; raises `TargetUnreachable`."""
    sock = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_STREAM)
    try:
        sock.settimeout(CONNECT_TIMEOUT_MS / 1000)
        sock.connect(split_address(address))
        sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
        sock.setsockopt(
            gevent.socket.IPPROTO_TCP, gevent.socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
        )
    except OSError as error:
        sock.close()
        raise TargetUnreachable(f"cannot connect to {address}: {error}") from error
    return sock


def _head(request: TargetRequest) -> bytes:
    return (
        f"{request.method} {request.path} HTTP/1.1\r\nHost: {request.address}\r\n"
        f"Connection: close\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(request.body)}\r\n\r\n"
    ).encode()


@contextlib.contextmanager
def open_response(request: TargetRequest) -> Iterator[TargetResponse]:
    """Send `request` and yield the response once its headers are read.

    Raises `TargetUnreachable` or `NotAdmitted` when the target did not take the request, and
    `TargetFailed` when it may have.
    """
    sock = connect(request.address)
    stalling = None
    try:
        try:
            sock.sendall(_head(request) + request.body)
            stalling = StallingSocket(sock, request.stall_ms, request.on_idle)
            response = TargetResponse(stalling, block_size=RECEIVE_BYTES, method=request.method)
        except (OSError, HTTPParseError) as error:
            raise TargetFailed(f"{request.address} broke off: {error}") from error
        _check_status(request, response)
        yield response
    finally:
        (stalling or sock).close()


def _check_status(request: TargetRequest, response: HTTPSocketResponse) -> None:
    status = response.status_code
    if status == 503 and response.get("X-Not-Admitted") == "1":
        raise NotAdmitted(f"{request.address} did not admit the request")
    if status >= 500:
        raise TargetFailed(f"{request.address} answered {status}")


@dataclass(frozen=True)
class WholeAnswer:
    """A complete answer of a target."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Return the decoded body; raises `TargetFailed` if it is not JSON."""
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError as error:
            raise TargetFailed("the target's answer is not JSON") from error


def fetch(request: TargetRequest) -> WholeAnswer:
    """Send `request` and read the whole answer; raises as `open_response` does.

    The whole answer has to arrive within `stall_ms`, as it is of no use before.
    """
    late = TargetStalled(f"no whole answer within {request.stall_ms} ms")
    with gevent.Timeout(request.stall_ms / 1000, late), open_response(request) as response:
        try:
            body = response.read()
        except (OSError, HTTPParseError) as error:
            raise TargetFailed(f"{request.address} broke off: {error}") from error
        if not response.message_complete:
            raise TargetFailed(f"{request.address} broke off before the end of its answer")
        return WholeAnswer(response.status_code, bytes(body))


def read_events(response: TargetResponse) -> Iterator[list[bytes]]:
    """Yield the server-sent events that arrive together, without blank lines, to the body's end.

    An event that is cut off before its blank line is not yielded.
    """
    rest = b""
    while True:
        try:
            data = response.receive()
        except (OSError, HTTPParseError) as error:
            raise TargetFailed(f"the stream broke off: {error}") from error
        if not data:
            return
        *events, rest = (rest + data).split(b"\n\n")
        if len(rest) > MAX_EVENT_BYTES:
            raise TargetFailed(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        if events:
            yield events
