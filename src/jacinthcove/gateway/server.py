"""The HTTP server of the gateway: strict requests, callers that leave, graceful stop."""

import contextlib
import io
import re
import socket
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import gevent
import gevent.socket
from gevent.pywsgi import WSGIServer

from jacinthcove.address import split_address
from jacinthcove.errors import JacinthcoveError
from jacinthcove.gateway.codec import Headers, RawRequest
from jacinthcove.gateway.model import CallerLimits
from jacinthcove.router.connection import CallerHandler

READ_EVENT = 1
BACKLOG = 1_024
# Empty lines before a request line are skipped up to this number.
MAX_EMPTY_LINES = 2
_TOKEN = re.compile(rb"^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$")
_CLOSE = b"HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
_REASONS = {400: b"Bad Request", 408: b"Request Timeout", 413: b"Content Too Large",
            431: b"Request Header Fields Too Large"}  # fmt: skip


class CallerGone(JacinthcoveError):  # noqa: N818 - names an outcome
    """The caller closed its connection."""


class MalformedRequest(JacinthcoveError):  # noqa: N818
    """Bytes that are no acceptable request; the connection ends with `status`."""

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


def parse_headers(block: bytes) -> Headers:
    """Return the header fields of a request in order; raises `MalformedRequest(400)`."""
    fields = []
    for line in block.split(b"\r\n"):
        if not line:
            continue
        name, colon, value = line.partition(b":")
        if not colon or not _TOKEN.match(name):
            raise MalformedRequest(400, "a header field is malformed")
        if any(byte in value for byte in (b"\r", b"\n", b"\0")):
            raise MalformedRequest(400, "a header field has a control character")
        fields.append((name.decode("latin-1"), value.strip(b" \t").decode("latin-1")))
    _check_framing(fields)
    return tuple(fields)


def _check_framing(fields: list[tuple[str, str]]) -> None:
    """Refuse what two parsers could read as different requests."""
    lengths = [value for name, value in fields if name.lower() == "content-length"]
    codings = [value for name, value in fields if name.lower() == "transfer-encoding"]
    hosts = [value for name, value in fields if name.lower() == "host"]
    if len(hosts) != 1:
        raise MalformedRequest(400, "a request needs exactly one host")
    if len(lengths) > 1 or any(not re.fullmatch(r"[0-9]{1,18}", value) for value in lengths):
        raise MalformedRequest(400, "the content length is unclear")
    if codings and (lengths or [value.lower() for value in codings] != ["chunked"]):
        raise MalformedRequest(400, "the transfer coding is unclear")


class GatewayHandler(CallerHandler):
    """A connection of a caller with the limits of the configuration."""

    header_block = b""
    rfile: Any

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        return self.server.application.limits()

    def handle_one_request(self) -> Any:
        """Serve one request; a malformed one ends the connection."""
        try:
            return super().handle_one_request()
        except MalformedRequest as error:
            self.server.application.on_malformed(error)
            return str(error.status), _CLOSE % (error.status, _REASONS[error.status])

    def read_requestline(self) -> str:
        """Wait for the next request within the idle limit and read its whole head."""
        return self._read_head() if self._arrives() else ""

    def _arrives(self) -> bool:
        self.idle = True
        try:
            with gevent.Timeout(self.limits.idle_timeout_ms / 1000, False):
                return bool(self.rfile.peek(1))
        finally:
            self.idle = False
        return False

    def _read_head(self) -> str:
        with gevent.Timeout(
            self.limits.header_timeout_ms / 1000,
            MalformedRequest(408, "the header did not arrive in time"),
        ):
            return self._read_lines()

    def _read_lines(self) -> str:
        limit = self.limits.max_header_bytes
        request_line = b""
        for _ in range(MAX_EMPTY_LINES + 1):
            request_line = self._read_line(limit)
            if request_line not in (b"\r\n", b"\n"):
                break
        block = bytearray()
        while True:
            line = self._read_line(limit - len(request_line) - len(block))
            if not line:
                return ""
            if line == b"\r\n":
                break
            block += line
        self.header_block = bytes(block)
        return request_line.decode("latin-1")

    def _read_line(self, limit: int) -> bytes:
        line: bytes = self.rfile.readline(max(1, limit) + 1)
        if len(line) > limit:
            raise MalformedRequest(431, "the header is too large")
        if line and not line.endswith(b"\n"):
            return b""
        return line

    def read_request(self, raw_requestline: str) -> Any:
        """Parse the head that was read before."""
        self.raw_headers = parse_headers(self.header_block)
        words = raw_requestline.rstrip("\r\n").split(" ")
        if len(words) != 3 or not words[1].startswith("/") or "#" in words[1]:
            raise MalformedRequest(400, "the request line is malformed")
        stream, self.rfile = self.rfile, io.BytesIO(self.header_block + b"\r\n")
        try:
            return super().read_request(raw_requestline)
        except ValueError as error:
            raise MalformedRequest(400, str(error)) from error
        finally:
            self.rfile = stream

    def get_environ(self) -> dict[str, Any]:
        """Return the environment with this connection in it."""
        environ: dict[str, Any] = super().get_environ()
        environ["jacinthcove.connection"] = self
        return environ

    def read_body(self) -> bytes:
        """Return the whole body; raises `MalformedRequest` or `CallerGone`."""
        limit = self.limits.max_body_bytes
        if self.content_length is not None and self.content_length > limit:
            raise MalformedRequest(413, "the body is too large")
        expected = self.content_length
        slow = MalformedRequest(408, "the body did not arrive in time")
        try:
            with gevent.Timeout(self.limits.idle_timeout_ms / 1000, slow):
                body: bytes = self.wsgi_input.read(limit + 1)
        except OSError as error:
            raise CallerGone(str(error)) from error
        if len(body) > limit:
            raise MalformedRequest(413, "the body is too large")
        if expected is not None and len(body) < expected:
            raise CallerGone("the body broke off")
        return body

    def raw_request(self, body: bytes) -> RawRequest:
        """Return the request as it arrived."""
        return RawRequest(self.command, self.path, self.raw_headers, body)

    @contextlib.contextmanager
    def watch_caller(self) -> Iterator[None]:
        """Raise `CallerGone` in this greenlet as soon as the caller closes its connection."""
        greenlet = gevent.getcurrent()
        watcher = gevent.get_hub().loop.io(self.socket.fileno(), READ_EVENT)

        def on_readable() -> None:
            watcher.stop()
            if self.has_left():
                greenlet.kill(CallerGone("the caller closed its connection"), block=False)

        watcher.start(on_readable)
        try:
            yield
        finally:
            watcher.stop()
            watcher.close()

    def has_left(self) -> bool:
        """Return whether the caller has closed its connection."""
        try:
            # A duplicate of the descriptor is not needed: peeking does not block here.
            return not self.socket._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def drop(self) -> None:
        """End the connection without completing what was begun."""
        self.close_connection = True

    def log_error(self, msg: str, *args: Any) -> None:
        """Leave malformed requests to the application's log."""


class GatewayServer:
    """Listens for callers; `application` has the members that `GatewayHandler` uses."""

    def __init__(self, listen: str, application: Any):
        self.application = application
        self.server = WSGIServer(
            split_address(listen),
            application,
            handler_class=GatewayHandler,
            log=None,
            error_log=None,
            backlog=BACKLOG,
        )

    def start(self) -> None:
        """Accept connections."""
        self.server.start()

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections go on.

        Connections that wait to be accepted would be reset with the socket, so they are served.
        """
        if self.server.closed:
            return
        for _ in range(BACKLOG):
            accepted = self.server.do_read()
            if accepted is None:
                break
            self.server.do_handle(*accepted)
        self.server.close()

    def busy(self) -> bool:
        """Return whether a connection has a request that was begun and not answered."""
        return any(not connection.idle for connection in self.application.connections)

    def close_idle(self) -> None:
        """End connections on which no request is under way."""
        for connection in list(self.application.connections):
            connection.close_if_idle()


class CallerSink:
    """Writes one answer to a caller; a leaving router ends the connection after it."""

    def __init__(self, start_response: Callable[..., Any], has_left: Callable[[], bool]):
        self.start_response = start_response
        self.has_left = has_left
        self.write_part: Callable[[bytes], Any] | None = None
        self.result: Iterable[bytes] = ()
        self.answered = False

    @property
    def begun(self) -> bool:
        """Return whether the caller has been sent a part of the answer."""
        return self.answered

    def check_caller(self) -> None:
        """Raise `CallerGone` if the caller has closed its connection."""
        if self.has_left():
            raise CallerGone("the caller closed its connection")

    def begin(self, status: int, reason: str, headers: Headers) -> None:
        """Send the head of a stream."""
        self.answered = True
        self.write_part = self.start_response(f"{status} {reason}", list(headers))

    def write(self, data: bytes) -> None:
        """Send a part of a stream; raises `CallerGone`."""
        assert self.write_part is not None
        try:
            self.write_part(data)
        except OSError as error:
            raise CallerGone(str(error)) from error

    def whole(self, status: int, reason: str, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        self.answered = True
        fields = [(name, value) for name, value in headers if name.lower() != "content-length"]
        fields.append(("Content-Length", str(len(body))))
        self.start_response(f"{status} {reason}", fields)
        self.result = [body]
