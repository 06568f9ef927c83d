"""An HTTP server whose connections are bounded."""

import socket
from typing import Any

from gevent.pywsgi import WSGIServer

from jacinthcove.address import split_address
from jacinthcove.ingress.gate import Gate
from jacinthcove.ingress.handler import BoundedHandler

DEFAULT_BACKLOG = 256


# Connections accepted before those that have to give way are closed.
MAX_ACCEPTED_AT_ONCE = 16


class BoundedServer(WSGIServer):
    """Serves a WSGI application at `listen`; `gate` limits its connections.

    Accepted sockets inherit the size of the receive buffer, as unread bytes take memory too.
    """

    def __init__(
        self,
        listen: str,
        application: Any,
        gate: Gate,
        handler_class: type[BoundedHandler] = BoundedHandler,
        backlog: int = DEFAULT_BACKLOG,
    ):
        self.gate = gate
        super().__init__(
            split_address(listen),
            application,
            handler_class=handler_class,
            log=None,
            error_log=None,
            backlog=backlog,
        )

    max_accept = MAX_ACCEPTED_AT_ONCE

    def init_socket(self) -> None:
        """Open the listening socket."""
        super().init_socket()
        size = self.gate.receive_buffer_bytes
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
