"""Connections of callers to the HTTP server of a router."""

import contextlib
import socket
from typing import Any

import gevent.socket

from jacinthcove.ingress.handler import BoundedHandler

# The kernel drops the connection of a caller that leaves sent data unacknowledged for this long, so
# that an unresponsive or very slow caller does not occupy a target's slot.
UNACKNOWLEDGED_TIMEOUT_MS = 15_000


class CallerHandler(BoundedHandler):
    """A caller's connection: sets the socket options that streaming needs."""

    response_length: int
    # While the head of a response is being written: what to send, together with the first data.
    held_back: bytearray | None = None

    def handle_admitted(self) -> None:
        """Serve the requests of the connection, one after another."""
        tcp = gevent.socket.IPPROTO_TCP
        self.socket.setsockopt(tcp, gevent.socket.TCP_NODELAY, 1)
        self.socket.setsockopt(tcp, gevent.socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
        connections = self.server.application.connections
        connections.add(self)
        try:
            super().handle_admitted()
        finally:
            connections.discard(self)

    def closes_connection(self) -> bool:
        """Return whether the connection closes after the response."""
        return bool(self.server.application.closes_connections())

    def start_response(self, status: str, headers: list[Any], exc_info: Any = None) -> Any:
        """Start a response; adds `Connection: close` if callers should use other routers."""
        if self.closes_connection():
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def _write_with_headers(self, data: bytes) -> None:
        """Send the head and the first data at once, because each send is a system call."""
        self.held_back = held_back = bytearray()
        try:
            super()._write_with_headers(data)
        finally:
            self.held_back = None
        self._sendall(held_back)

    def _sendall(self, data: bytes | bytearray) -> None:
        if self.held_back is not None:
            self.held_back += data
            return
        sent = self._send_at_once(data)
        self.response_length += sent
        if sent < len(data):
            super()._sendall(memoryview(data)[sent:])

    def _send_at_once(self, data: bytes | bytearray) -> int:
        """Send what fits the send buffer; return the number of bytes, 0 after an error.

        The server's own method asks for the size of the buffer first, a system call for each event.
        """
        try:
            return int(self.socket._sock.send(data))
        except OSError:
            return 0

    def close_if_idle(self) -> None:
        """Close the connection unless a request is running or has already arrived."""
        if self.idle:
            # Bytes that have already arrived stay readable, so a request among them still gets its
            # response. Shutting down gevent's own socket would make the pending read fail instead.
            with (
                contextlib.suppress(OSError),
                socket.fromfd(
                    self.socket.fileno(), self.socket.family, self.socket.type
                ) as duplicate,
            ):
                duplicate.shutdown(socket.SHUT_RD)
