"""Connections of callers to an HTTP server of the router."""

import contextlib
import socket
from typing import Any

import gevent.socket
from gevent.pywsgi import WSGIHandler

# A caller's connection is dropped when sent data stays unacknowledged for this long, so that a
# silent or very slow caller does not hold a target's slot.
UNACKNOWLEDGED_TIMEOUT_MS = 15_000


class CallerHandler(WSGIHandler):
    """A connection of a caller with the socket options that streaming needs."""

    idle = False

    def handle(self) -> None:
        """Serve the connection."""
        tcp = gevent.socket.IPPROTO_TCP
        self.socket.setsockopt(tcp, gevent.socket.TCP_NODELAY, 1)
        self.socket.setsockopt(tcp, gevent.socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
        connections = self.server.application.connections
        connections.add(self)
        try:
            super().handle()
        finally:
            connections.discard(self)

    def read_requestline(self) -> str:
        """Wait for the next request of the connection."""
        self.idle = True
        try:
            return super().read_requestline()
        finally:
            self.idle = False

    def start_response(self, status: str, headers: list[Any], exc_info: Any = None) -> Any:
        """Begin a response, which ends the connection if callers should go to other routers."""
        if self.server.application.closes_connections():
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def end_if_idle(self) -> None:
        """Close the connection unless a request is under way or has already arrived."""
        if self.idle:
            # What has arrived can still be read, so such a request gets its answer. The shutdown of
            # gevent's own socket would make the waiting read fail instead.
            with (
                contextlib.suppress(OSError),
                socket.fromfd(
                    self.socket.fileno(), self.socket.family, self.socket.type
                ) as duplicate,
            ):
                duplicate.shutdown(socket.SHUT_RD)
