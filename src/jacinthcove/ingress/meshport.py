"""Bounds the connections to the mesh's port that have not shown the fleet key.

The load that it answers: clients that connect to the port and stay silent, or reconnect without
end. All code here runs on the asyncio loop of the mesh.
"""

import asyncio
from collections.abc import Sequence
from typing import Any

from grpclib.protocol import H2Protocol
from grpclib.server import Server

# A router that dials sends its signed metadata at once.
AUTHENTICATION_TIMEOUT_S = 3.0
# After a start or a healed link, this many routers may dial one at the same moment.
MAX_UNAUTHENTICATED = 256


class UnauthenticatedConnections:
    """Closes connections without an authenticated stream after a time, the oldest beyond a number.

    `refused` counts those that it closed.
    """

    def __init__(
        self,
        limit: int = MAX_UNAUTHENTICATED,
        timeout_s: float = AUTHENTICATION_TIMEOUT_S,
    ):
        self.limit = limit
        self.timeout_s = timeout_s
        self.timers: dict[Any, asyncio.TimerHandle] = {}
        self.refused = 0

    def add(self, transport: Any) -> None:
        """Add a new connection."""
        if len(self.timers) >= self.limit:
            self._refuse(next(iter(self.timers)))
        loop = asyncio.get_running_loop()
        self.timers[transport] = loop.call_later(self.timeout_s, self._refuse, transport)

    def remove(self, transport: Any) -> None:
        """Forget a connection that is authenticated or closed."""
        timer = self.timers.pop(transport, None)
        if timer is not None:
            timer.cancel()

    def _refuse(self, transport: Any) -> None:
        self.refused += 1
        self.remove(transport)
        transport.abort()


class GuardedProtocol(H2Protocol):
    """A connection that is known to `UnauthenticatedConnections` from its start to its end."""

    transport: Any = None
    unauthenticated: UnauthenticatedConnections

    def connection_made(self, transport: Any) -> None:
        """Add the connection."""
        self.transport = transport
        super().connection_made(transport)
        self.unauthenticated.add(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection."""
        self.unauthenticated.remove(self.transport)
        super().connection_lost(exc)


class MeshServer(Server):
    """A gRPC server that closes connections which do not authenticate."""

    def __init__(self, services: Sequence[Any]):
        super().__init__(services)
        self.unauthenticated = UnauthenticatedConnections()

    def record_authenticated(self, stream: Any) -> None:
        """Record that the connection of a gRPC stream belongs to a router of the fleet."""
        # grpclib has no public way to the connection of a stream; it is None after a loss.
        transport = getattr(stream._stream.connection, "_transport", None)
        if transport is not None:
            self.unauthenticated.remove(transport)

    def _protocol_factory(self) -> H2Protocol:
        plain = super()._protocol_factory()
        protocol = GuardedProtocol(plain.handler, plain.config, plain.h2_config)
        protocol.unauthenticated = self.unauthenticated
        return protocol
