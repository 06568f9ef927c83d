"""Pool of idle keep-alive connections to targets.

A new connection costs a handshake, and a target allows only a limited number of connections. Only a
connection whose last response was complete enters the pool. It is reused only if nothing has
arrived on it since then; a byte, a close or a reset discards it.
"""

import socket
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import gevent

from jacinthcove.background import BackgroundTask, run_step
from jacinthcove.clock import Clock
from jacinthcove.observe.metrics import Metrics

# Time before reuse. A duplicate response or extra bytes after a response arrive within it, and then
# the connection is discarded.
REUSE_DELAY_MS = 20
# The fraction of the target's keep-alive time in which a connection is reused, so that the target
# does not close it while a request is on its way.
KEEP_ALIVE_FRACTION = 0.5
# A connection can die without a close or a reset, which is more likely the longer it is idle.
MAX_IDLE_MS = 4_000
MAX_IDLE_PER_TARGET = 64
SWEEP_MS = 1_000


@dataclass(frozen=True)
class TargetKey:
    """Identifies one start of a target; a later target at the same address has another key."""

    id: str
    started_at: int
    address: str


@dataclass(frozen=True)
class IdleConnection:
    """A connection that is idle since `idle_at` and expires at `expires_at`, both in boot ms.

    `start_confirmed`: it was shown to lead to the start of the target that its key names.
    """

    sock: Any
    idle_at: int
    expires_at: int
    start_confirmed: bool = False


def has_nothing_to_read(sock: Any) -> bool:
    """Return whether an idle connection has no bytes to read and is not closed or reset."""
    sock.settimeout(0.0)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


class ConnectionPool:
    """The idle connections of one router, by target."""

    def __init__(self, clock: Clock, metrics: Metrics):
        self.clock = clock
        self.opened = metrics.counter("target_connections_total", kind="new")
        self.reused = metrics.counter("target_connections_total", kind="reused")
        self.discarded = metrics.counter("target_connections_total", kind="discarded")
        self.idle: dict[TargetKey, list[IdleConnection]] = {}
        self.task = BackgroundTask(self._run)

    def start(self) -> None:
        """Start closing expired connections in the background."""
        self.task.start()

    def close(self) -> None:
        """Close all idle connections."""
        self.task.close()
        for connections in self.idle.values():
            for connection in connections:
                connection.sock.close()
        self.idle.clear()

    def acquire(self, key: TargetKey) -> IdleConnection | None:
        """Return the most recently used reusable connection, or None if there is none."""
        now = self.clock.boot()
        connections = self.idle.get(key, [])
        for connection in self._reusable(connections, now):
            connections.remove(connection)
            if now < connection.expires_at and has_nothing_to_read(connection.sock):
                self.reused.add()
                return connection
            self._discard(connection)
        self.opened.add()
        return None

    def release(
        self, key: TargetKey, sock: Any, keep_alive_ms: int, start_confirmed: bool = False
    ) -> None:
        """Put a connection back for `keep_alive_ms` at most, or close it if it cannot be reused."""
        connections = self.idle.setdefault(key, [])
        usable_ms = min(MAX_IDLE_MS, int(KEEP_ALIVE_FRACTION * keep_alive_ms))
        if usable_ms <= REUSE_DELAY_MS or len(connections) >= MAX_IDLE_PER_TARGET:
            sock.close()
            return
        now = self.clock.boot()
        connections.append(IdleConnection(sock, now, now + usable_ms, start_confirmed))

    def sweep(self) -> None:
        """Close the expired connections."""
        now = self.clock.boot()
        for key, connections in list(self.idle.items()):
            for connection in [
                connection for connection in connections if connection.expires_at <= now
            ]:
                connections.remove(connection)
                connection.sock.close()
            if not connections:
                del self.idle[key]

    def _reusable(self, connections: list[IdleConnection], now: int) -> Iterator[IdleConnection]:
        return (
            connection
            for connection in reversed(connections.copy())
            if now - connection.idle_at >= REUSE_DELAY_MS
        )

    def _discard(self, connection: IdleConnection) -> None:
        self.discarded.add()
        connection.sock.close()

    def _run(self) -> None:
        while True:
            gevent.sleep(SWEEP_MS / 1000)
            run_step(self.sweep)
