"""The HTTP server of the gateway: strict parsing, caller disconnects, graceful stop."""

import contextlib
import re
import socket
from contextlib import AbstractContextManager
from typing import Any

import gevent
import structlog

from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.callererrors import BodyNotRead, CallerDisconnected, MalformedRequest
from jacinthcove.gateway.codec import Headers, RawRequest
from jacinthcove.gateway.disconnects import has_disconnected, watch_disconnect
from jacinthcove.gateway.handovermessages import (
    PassedOn,
    is_passed_on,
    may_pass_on,
    take_mark,
)
from jacinthcove.gateway.model import CallerLimits
from jacinthcove.gateway.shedding import (
    answer_whole_request,
    await_whole_request,
    peek_whole_request,
)
from jacinthcove.ingress.account import HeldBody
from jacinthcove.ingress.connections import Stage
from jacinthcove.ingress.gate import Gate
from jacinthcove.ingress.listener import ignore_new_connections
from jacinthcove.ingress.server import BoundedServer
from jacinthcove.router.connection import CallerHandler

log = structlog.get_logger()

BACKLOG = 1_024
# The longest time between the first two packets of a caller's new connection.
HANDSHAKE_MS = 20
# A body of which so much has found room may arrive faster.
LARGE_BODY_BYTES = 256 * 1024
_FIELD_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
# Control characters other than the line ends.
_STRAY_CONTROL = re.compile(r"\0|\r(?!\n)|(?<!\r)\n")


def parse_headers(block: bytes) -> Headers:
    """Return the header fields of a request in order; raises `MalformedRequest(400)`."""
    text = block.decode("latin-1")
    if _STRAY_CONTROL.search(text):
        raise MalformedRequest(400, "a header field has a control character")
    fields = []
    for line in text.split("\r\n"):
        if not line:
            continue
        name, colon, value = line.partition(":")
        if not colon or not _FIELD_NAME.match(name):
            raise MalformedRequest(400, "a header field is malformed")
        fields.append((name, value.strip(" \t")))
    _check_framing(fields)
    return tuple(fields)


def _check_framing(fields: list[tuple[str, str]]) -> None:
    """Refuse ambiguous framing, which two parsers could read as different requests."""
    found: dict[str, list[str]] = {}
    for name, value in fields:
        found.setdefault(name.lower(), []).append(value)
    lengths, codings = found.get("content-length", []), found.get("transfer-encoding", [])
    if len(found.get("host", [])) != 1:
        raise MalformedRequest(400, "a request needs exactly one host")
    if len(lengths) > 1 or any(not re.fullmatch(r"[0-9]{1,18}", value) for value in lengths):
        raise MalformedRequest(400, "the content length is unclear")
    if codings and (lengths or [value.lower() for value in codings] != ["chunked"]):
        raise MalformedRequest(400, "the transfer coding is unclear")


class RequestHeaders:
    """Header fields in the form that the WSGI server expects, so that it parses them no more.

    Of the fields it copies to the environment, it needs only those in `ENVIRON_FIELDS`.
    """

    ENVIRON_FIELDS = ("expect", "transfer-encoding")
    status = ""

    def __init__(self, fields: Headers):
        self.values = {name.lower(): value for name, value in fields}
        self.typeheader = self.values.get("content-type")

    @property
    def headers(self) -> list[str]:
        """Return the lines that the server copies to the environment."""
        return [
            f"{name}: {self.values[name]}" for name in self.ENVIRON_FIELDS if name in self.values
        ]

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the value of a field, or `default` if it is absent."""
        return self.values.get(name.lower(), default)

    def getheader(self, name: str) -> str | None:
        """Return the value of a field, or None if it is absent."""
        return self.get(name)

    def __delitem__(self, name: str) -> None:
        del self.values[name.lower()]


class GatewayHandler(CallerHandler):
    """A caller's connection, with the limits of the configuration."""

    raw_headers: Headers = ()
    # Whether it has been decided already that the next request is not refused for lateness.
    passed_early_check = False
    # Whether the body of the request is in the buffer.
    has_arrived = False
    # What another router says of the request that it passed on, None if none did.
    passed_on: PassedOn | None = None
    rfile: Any

    def handle_admitted(self) -> None:
        """Serve the requests of the connection; the first one may be passed on or refused."""
        if self._pass_on():
            return
        refusal = self.server.application.early_refusal() or self._helper_refusal()
        self.passed_early_check = refusal is None
        if refusal is None or not self._shed(refusal):
            super().handle_admitted()

    def _pass_on(self) -> bool:
        """Let another router answer the first request; return False if this one has to."""
        application = self.server.application
        if not application.passes_on():
            return False
        self.enlarge_receive_buffer()
        try:
            data = await_whole_request(self.socket)
        except OSError:
            return False
        if data is None or self.given_up or not may_pass_on(data):
            return False
        self.connections.move(self, Stage.BUSY)
        application.connections.add(self)
        try:
            if not application.pass_on(self.socket, data):
                return False
        finally:
            application.connections.discard(self)
            self.connections.move(self, Stage.NEW)
        self.close_now()
        return True

    def _helper_refusal(self) -> RequestRefused | None:
        """Return why this router refuses a first request that another router passed on, or None."""
        refusal = self.server.application.helper_refusal()
        if refusal is None:
            return None
        try:
            data = peek_whole_request(self.socket)
        except OSError:
            return None
        return refusal if data is not None and is_passed_on(data) else None

    def _shed(self, refusal: RequestRefused) -> bool:
        """Refuse the first request and close the connection; return False if it is not whole."""
        application = self.server.application
        try:
            head, body = application.encode_refusal(refusal)
            if not answer_whole_request(self.socket, head, body):
                return False
        except OSError as error:
            log.debug("shed_failed", reason=str(error))
        self.close_now()
        application.record_shed(refusal)
        return True

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        return self.server.application.limits()

    def record_malformed(self, error: MalformedRequest) -> None:
        """Count and log a request that could not be parsed."""
        self.server.application.record_malformed(error)

    def read_request(self, raw_requestline: str) -> Any:
        """Parse the request head that `read_requestline` has read."""
        headers = parse_headers(self.header_block)
        self.raw_headers, self.passed_on = take_mark(headers)
        parts = raw_requestline.rstrip("\r\n").split(" ")
        if len(parts) != 3 or not parts[1].startswith("/") or "#" in parts[1]:
            raise MalformedRequest(400, "the request line is malformed")
        try:
            return super().read_request(raw_requestline)
        except ValueError as error:
            raise MalformedRequest(400, str(error)) from error

    def MessageClass(self, file: Any, seekable: int) -> RequestHeaders:  # noqa: N802
        """Return the fields that `read_request` has parsed; the server calls this to parse them."""
        del file, seekable
        return RequestHeaders(self.raw_headers)

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment, extended by this connection."""
        environ: dict[str, Any] = super().get_environ()
        environ["jacinthcove.connection"] = self
        return environ

    def check_size(self) -> None:
        """Raise `MalformedRequest` if the body says that it is too large."""
        if (self.content_length or 0) > self.limits.max_body_bytes:
            raise MalformedRequest(413, "the body is too large")

    def has_whole_request(self) -> bool:
        """Return whether the body has arrived with the head, as that of most requests."""
        self.has_arrived = False
        if self.wsgi_input.is_complete:
            return True
        if self.content_length is None:
            return False
        self.paced.offline = True
        try:
            self.has_arrived = len(self.rfile.peek(1)) >= self.content_length
        finally:
            self.paced.offline = False
        return self.has_arrived

    def has_unread_body(self) -> bool:
        """Return whether some of the body was not read."""
        return not self.wsgi_input.is_complete

    def read_body(self, kept: HeldBody) -> bytes:
        """Return the whole body, counted in `kept`.

        Raises `MalformedRequest`, `CallerDisconnected`, or `BodyNotRead` if it does not fit or had
        to give way to others.
        """
        if self.wsgi_input.is_complete:
            return b""
        if not kept.reserve(self.content_length or 0):
            raise BodyNotRead()
        if self.has_arrived:
            kept.finish()
            self.wsgi_input.has_begun = True
            return bytes(self.wsgi_input.read_piece())
        timed_out = MalformedRequest(408, "the body did not arrive in time")
        body = bytearray()
        kept.on_evicted = lambda: self._drop_received(body)
        try:
            with gevent.Timeout(self.limits.idle_timeout_ms / 1000, timed_out):
                return self._read_pieces(body, kept)
        except OSError as error:
            if kept.evicted or self.given_up:
                self.abort()
                raise BodyNotRead() from error
            raise CallerDisconnected(str(error)) from error
        finally:
            # A traceback would keep what has arrived while the rest is dropped.
            body.clear()
            kept.finish()

    def _drop_received(self, body: bytearray) -> None:
        """Drop what was received of a body and wake its reader."""
        body.clear()
        with contextlib.suppress(OSError):
            self.socket._sock.shutdown(socket.SHUT_RD)

    def _read_pieces(self, body: bytearray, kept: HeldBody) -> bytes:
        limit = self.limits.max_body_bytes
        while piece := self.wsgi_input.read_piece():
            if len(body) + len(piece) > limit:
                raise MalformedRequest(413, "the body is too large")
            if self.given_up:
                raise BodyNotRead()
            if not body and self.wsgi_input.is_complete and not kept.evicted:
                return bytes(piece)
            body += piece
            if not kept.reserve(len(body)):
                if kept.evicted:
                    self.abort()
                raise BodyNotRead()
            if len(body) - len(piece) < LARGE_BODY_BYTES <= len(body):
                self.enlarge_receive_buffer()
            kept.record_progress(len(body))
            del piece
        if kept.evicted:
            self.abort()
            raise BodyNotRead()
        return bytes(body)

    def discard_body(self) -> None:
        """Read the rest of the body without keeping it, so that the connection can be used again.

        Closes the connection after this request if the body does not arrive or is not sent before
        the caller is told to send it.
        """
        self.wsgi_input.finish()

    def raw_request(self, body: bytes) -> RawRequest:
        """Return the request as received, with `body`."""
        return RawRequest(self.command, self.path, self.raw_headers, body)

    def watch_disconnect(self) -> AbstractContextManager[None]:
        """Raise `CallerDisconnected` in this greenlet when the caller closes its connection."""
        error = CallerDisconnected("the caller closed its connection")
        return watch_disconnect(self.socket, error)

    def has_disconnected(self) -> bool:
        """Return whether the caller has closed its connection."""
        return has_disconnected(self.socket)

    def closes_connection(self) -> bool:
        """Return whether the connection closes after the response, as always if passed on."""
        return self.passed_on is not None or super().closes_connection()

    def abort(self) -> None:
        """Close the connection after this request, even if its response is incomplete."""
        self.close_connection = True

    def log_error(self, msg: str, *args: Any) -> None:
        """Do nothing: the application logs malformed requests."""


class GatewayServer:
    """Listens for callers; `application` has the members that `GatewayHandler` uses."""

    def __init__(self, listen: str, application: Any, gate: Gate | None = None):
        self.application = application
        self.server = BoundedServer(
            listen, application, gate or Gate("callers"), GatewayHandler, BACKLOG
        )

    def start(self) -> None:
        """Start to accept connections."""
        self.server.start()

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay open.

        Closing the socket would reset the connections in its backlog, so they are accepted first,
        and no others are let into it.
        """
        if self.server.closed:
            return
        ignore_new_connections(self.server.socket)
        # Connections that callers have begun to open get into the backlog meanwhile.
        gevent.sleep(HANDSHAKE_MS / 1000)
        for _ in range(BACKLOG):
            accepted = self.server.do_read()
            if accepted is None:
                break
            self.server.do_handle(*accepted)
        self.server.close()

    def busy(self) -> bool:
        """Return whether any connection has a request in flight."""
        return any(not connection.idle for connection in self.application.connections)

    def close_idle(self) -> None:
        """Close connections that have no request in flight."""
        for connection in list(self.application.connections):
            connection.close_if_idle()
