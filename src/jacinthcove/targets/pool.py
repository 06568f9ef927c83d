"""Connections to targets that wait for their next request.

Answers what a connection costs: a handshake before each request, and one of the channels that a
target allows. Only a connection whose last answer was complete comes here. It is taken again only
while nothing has arrived on it since; a byte, an end or a reset discards it.
"""

import socket
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import gevent

from jacinthcove.background import BackgroundTask
from jacinthcove.clock import Clock
from jacinthcove.observe.metrics import Metrics

# A second copy of an answer or bytes after it have come by then, and the connection is discarded.
REST_MS = 20
# The part of the time kept by the target that is used, so that its close crosses no request.
KEEP_PART = 0.5
# A connection may go silent for good without an end; the longer it waits, the likelier.
MAX_IDLE_MS = 4_000
MAX_IDLE_PER_TARGET = 64
SWEEP_MS = 1_000


@dataclass(frozen=True)
class TargetKey:
    """One start of a target; a target that follows it at the same address has another key."""

    id: str
    started_at: int
    address: str


@dataclass(frozen=True)
class IdleConnection:
    """A connection that waits since `idle_at` and is not used after `expires_at`, both boot ms."""

    sock: Any
    idle_at: int
    expires_at: int


def is_quiet(sock: Any) -> bool:
    """Return whether nothing has arrived on an idle connection, not even its end."""
    sock.settimeout(0.0)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


class ConnectionPool:
    """The idle connections of a router by target."""

    def __init__(self, clock: Clock, metrics: Metrics):
        self.clock = clock
        self.opened = metrics.counter("target_connections_total", kind="new")
        self.reused = metrics.counter("target_connections_total", kind="reused")
        self.discarded = metrics.counter("target_connections_total", kind="discarded")
        self.idle: dict[TargetKey, list[IdleConnection]] = {}
        self.task = BackgroundTask(self._run)

    def start(self) -> None:
        """Start to close connections that have waited too long."""
        self.task.start()

    def close(self) -> None:
        """Close all idle connections."""
        self.task.close()
        for waiting in self.idle.values():
            for item in waiting:
                item.sock.close()
        self.idle.clear()

    def take(self, key: TargetKey) -> Any | None:
        """Return the connection that was used last and has rested, or None."""
        now = self.clock.boot()
        waiting = self.idle.get(key, [])
        for item in self._rested(waiting, now):
            waiting.remove(item)
            if now < item.expires_at and is_quiet(item.sock):
                self.reused.add()
                return item.sock
            self._discard(item)
        self.opened.add()
        return None

    def give(self, key: TargetKey, sock: Any, keep_alive_ms: int) -> None:
        """Take back a connection that the target keeps for `keep_alive_ms`, or close it."""
        waiting = self.idle.setdefault(key, [])
        usable_ms = min(MAX_IDLE_MS, int(KEEP_PART * keep_alive_ms))
        if usable_ms <= REST_MS or len(waiting) >= MAX_IDLE_PER_TARGET:
            sock.close()
            return
        now = self.clock.boot()
        waiting.append(IdleConnection(sock, now, now + usable_ms))

    def sweep(self) -> None:
        """Close the connections that are not used any more."""
        now = self.clock.boot()
        for key, waiting in list(self.idle.items()):
            for item in [item for item in waiting if item.expires_at <= now]:
                waiting.remove(item)
                item.sock.close()
            if not waiting:
                del self.idle[key]

    def _rested(self, waiting: list[IdleConnection], now: int) -> Iterator[IdleConnection]:
        return (item for item in reversed(waiting.copy()) if now - item.idle_at >= REST_MS)

    def _discard(self, item: IdleConnection) -> None:
        self.discarded.add()
        item.sock.close()

    def _run(self) -> None:
        while True:
            gevent.sleep(SWEEP_MS / 1000)
            self.sweep()
