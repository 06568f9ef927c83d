"""A client's connection to any HTTP server of the process, within limits.

Head, body and what is dropped of a refused body are bounded in size, time and work. A connection
that is closed before its request was read whole is drained for a moment, as the client may lose the
answer otherwise.
"""

import contextlib
import io
import socket
from typing import Any

import gevent
import structlog
from gevent.pywsgi import WSGIHandler, _InvalidClientInput

from jacinthcove.gateway.callererrors import MalformedRequest
from jacinthcove.gateway.model import CallerLimits
from jacinthcove.ingress.body import CONTINUE, BodyBrokenError, ChunkedBody, RequestBody
from jacinthcove.ingress.connections import Stage
from jacinthcove.ingress.gate import Gate
from jacinthcove.ingress.limits import LARGE_RECEIVE_BUFFER_BYTES
from jacinthcove.ingress.pacing import PacedSocket

log = structlog.get_logger()

BUFFER_BYTES = 8_192
# Empty lines before a request line are skipped up to this number.
MAX_EMPTY_LINES = 2
# The rest of a refused body is dropped until it has not gone on for this long. A client that sends
# all before it reads would lose its answer if the connection ended earlier.
DROPPING_STALL_MS = 3_000
# A connection that is closed with an unread body is read without decoding for this long.
DRAIN_MS = 500
DRAIN_BYTES = 16_384
# After so many bytes without a wait, other connections get their turn.
BYTES_PER_TURN = 65_536
_ERROR_RESPONSE = b"HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
_REASONS = {400: b"Bad Request", 408: b"Request Timeout", 413: b"Content Too Large",
            431: b"Request Header Fields Too Large"}  # fmt: skip
# For listeners without a configuration. Their clients may keep connections for a minute.
_DEFAULT_LIMITS = CallerLimits(
    max_header_bytes=32_768, header_timeout_ms=5_000, idle_timeout_ms=75_000
)


class BoundedInput:
    """The body of a request in the form that the WSGI server and its applications expect."""

    def __init__(self, handler: "BoundedHandler", body: RequestBody | ChunkedBody):
        self.handler = handler
        self.body = body
        self.rest = b""
        self.read_bytes = 0
        self.turn_bytes = 0
        self.abandoned = False
        self.has_begun = False
        # Whether the client waits to be told to send the body.
        self.must_continue = False

    @property
    def is_complete(self) -> bool:
        """Return whether nothing of the body is left on the connection."""
        return self.body.is_complete

    def read_piece(self) -> bytes:
        """Return some bytes of the body, none at its end; raises `OSError`."""
        if not self.has_begun:
            self.has_begun = True
            self.handler.connections.move(self.handler, Stage.READING)
        if self.must_continue:
            self.must_continue = False
            self.handler.socket.sendall(CONTINUE)
        if self.turn_bytes >= BYTES_PER_TURN:
            # Before the next piece is in memory, as many connections may wait here.
            self.turn_bytes = 0
            gevent.sleep(0)
        piece = self.body.read_piece()
        if self.body.is_complete:
            # From here on the request may run, so it must not be refused for others.
            self.handler.connections.move(self.handler, Stage.BUSY)
        self.read_bytes += len(piece)
        self.turn_bytes += len(piece)
        return piece

    def read(self, size: int = -1) -> bytes:
        """Return `size` bytes, fewer at the end of the body, or all of it.

        A body beyond the limit is cut there; one that does not arrive in time ends with `OSError`.
        """
        limits = self.handler.limits
        wanted = limits.max_body_bytes + 1 if size < 0 else size
        timed_out = BodyBrokenError("the body did not arrive in time")
        found = bytearray(self.rest)
        try:
            with gevent.Timeout(limits.idle_timeout_ms / 1000, timed_out):
                while len(found) < wanted and (piece := self.read_piece()):
                    found += piece
        except MalformedRequest as error:
            # The server answers 400 and closes the connection.
            self.abandoned = True
            raise _InvalidClientInput(str(error)) from error
        self.rest = bytes(found[wanted:])
        return bytes(found[:wanted])

    def _discard(self) -> None:
        """Deal with an unread body; the WSGI server calls this after the response."""
        self.finish()

    def finish(self) -> None:
        """Drop what is left of the body, or close the connection if that takes too long."""
        if self.is_complete or self.abandoned:
            return
        if self.handler.close_connection or self.must_continue:
            self.abandon()
            return
        self.drop()

    def drop(self) -> None:
        """Read the rest without keeping it, so that the connection can be used again.

        Abandons it if it takes too long or costs too much.
        """
        try:
            with gevent.Timeout(self.handler.limits.idle_timeout_ms / 1000, False):
                while self._drop_piece():
                    pass
        except (OSError, MalformedRequest):
            pass
        if not self.is_complete:
            self.abandon()

    def _drop_piece(self) -> bool:
        """Drop some bytes; return whether there may be more that are worth waiting for."""
        if self.read_bytes > self.handler.limits.max_body_bytes:
            return False
        if isinstance(self.body, ChunkedBody) and self.body.has_small_chunks:
            return False
        with gevent.Timeout(DROPPING_STALL_MS / 1000, False):
            return bool(self.read_piece())
        return False

    def abandon(self) -> None:
        """Close the connection after this request and let the client read its answer first."""
        self.abandoned = True
        self.handler.close_connection = True
        try:
            sock = self.handler.socket._sock
            sock.shutdown(socket.SHUT_WR)
            drained = 0
            with gevent.Timeout(DRAIN_MS / 1000, False):
                while drained < self.handler.limits.max_body_bytes:
                    count = len(self.handler.socket.recv(DRAIN_BYTES))
                    if not count:
                        break
                    drained += count
                    gevent.sleep(0)
        except OSError:
            pass


class BoundedHandler(WSGIHandler):
    """A connection whose heads and bodies are read within `limits`."""

    header_block = b""
    given_up = False
    # Whether the connection waits for a request.
    idle = False
    gate: Gate
    rfile: Any

    def __init__(self, sock: Any, address: Any, server: Any, rfile: Any = None):
        self.paced = PacedSocket(sock)
        super().__init__(
            sock, address, server, rfile or io.BufferedReader(self.paced, BUFFER_BYTES)
        )
        self.address = address[0] if isinstance(address, tuple) else ""
        self.greenlet: Any = None

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        return _DEFAULT_LIMITS

    @property
    def connections(self) -> Any:
        """Return the table of the connections to this server."""
        return self.server.gate.connections

    def handle(self) -> None:
        """Serve the requests of the connection, unless there are too many connections."""
        self.greenlet = gevent.getcurrent()
        if not self.server.gate.admit(self):
            self.close_now()
            return
        try:
            self.handle_admitted()
        finally:
            self.connections.release(self)

    def handle_admitted(self) -> None:
        """Serve the requests of the connection."""
        super().handle()

    def enlarge_receive_buffer(self) -> None:
        """Let more of a request arrive before it is read."""
        with contextlib.suppress(OSError):
            size = max(self.server.gate.receive_buffer_bytes, LARGE_RECEIVE_BUFFER_BYTES)
            self.socket._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def close_now(self) -> None:
        """Close the connection without an answer."""
        self.rfile.close()
        self.socket.close()

    def give_up(self) -> None:
        """Close the connection at once; the table calls this while it waits for a request."""
        # A request whose head has arrived meanwhile is not served, so this never ends one that is.
        self.given_up = True
        self.socket.close()
        self.greenlet.kill(block=False)

    def stop_reading(self) -> None:
        """Let the reader of the body find the end of the connection, so that it refuses."""
        self.given_up = True
        self.close_connection = True
        with contextlib.suppress(OSError):
            self.socket._sock.shutdown(socket.SHUT_RD)

    def handle_one_request(self) -> Any:
        """Serve one request; a malformed one closes the connection."""
        try:
            return super().handle_one_request()
        except MalformedRequest as error:
            self.record_malformed(error)
            return str(error.status), _ERROR_RESPONSE % (error.status, _REASONS[error.status])

    def record_malformed(self, error: MalformedRequest) -> None:
        """Count a request that could not be parsed."""
        self.server.gate.count_refusal("malformed", error.status)

    def read_requestline(self) -> str:
        """Wait for the next request within the idle timeout and read its whole head."""
        self.paced.begin_message()
        line = self._read_head() if self._wait_for_request() else ""
        if self.given_up:
            return ""
        self.connections.move(self, Stage.BUSY)
        return line

    def _wait_for_request(self) -> bool:
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

    def MessageClass(self, file: Any, seekable: int) -> Any:  # noqa: N802
        """Parse the fields that `read_requestline` has read; the server calls this."""
        del file
        return super().MessageClass(io.BytesIO(self.header_block + b"\r\n"), seekable)

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with a body that is read within the limits."""
        environ: dict[str, Any] = super().get_environ()
        body: RequestBody | ChunkedBody
        if self.headers.get("transfer-encoding", "").lower() == "chunked":
            turns = self.server.gate.decoding_turns
            body = ChunkedBody(self.rfile, self.limits.max_header_bytes, turns)
        else:
            body = RequestBody(self.rfile, self.content_length or 0)
        self.wsgi_input = environ["wsgi.input"] = BoundedInput(self, body)
        self.wsgi_input.must_continue = environ.get("HTTP_EXPECT") == "100-continue"
        return environ

    def handle_one_response(self) -> None:
        """Produce the response; the connection waits for another request then."""
        super().handle_one_response()
        self.connections.move(self, Stage.KEPT)
