"""Connections to targets: connecting, and detection of stalled connections."""

import socket
import time
from collections.abc import Callable
from typing import Any

import gevent
import gevent.socket
from gevent.hub import Waiter

from jacinthcove.address import split_address
from jacinthcove.errors import NotAdmitted, TargetFailed

CONNECT_TIMEOUT_MS = 1_000
IDLE_INTERVAL_MS = 1_000
READ_EVENT = 1
# The kernel drops a connection whose sent data stays unacknowledged for this long.
UNACKNOWLEDGED_TIMEOUT_MS = 10_000


class TargetUnreachable(NotAdmitted):
    """No connection to the target could be opened, so it received nothing."""


class TargetNotListening(TargetUnreachable):
    """No process listens at the address of the target."""


class TargetStalled(TargetFailed):
    """The target sent no data or made no progress for the stall timeout."""


def ignore_idle() -> None:
    """Idle callback that does nothing."""


def connect(address: str, timeout_ms: int | None = None) -> Any:
    """Open a connection to `ip:port`; raises `TargetUnreachable` if that fails.

    It may take `timeout_ms`, `CONNECT_TIMEOUT_MS` by default.
    """
    sock = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_STREAM)
    try:
        sock.settimeout((timeout_ms or CONNECT_TIMEOUT_MS) / 1000)
        sock.connect(split_address(address))
        sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
        sock.setsockopt(
            gevent.socket.IPPROTO_TCP, gevent.socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
        )
    except OSError as error:
        sock.close()
        refused = isinstance(error, ConnectionRefusedError)
        failure = TargetNotListening if refused else TargetUnreachable
        raise failure(f"cannot connect to {address}: {error}") from error
    return sock


class StallDetectingSocket:
    """A socket whose `recv` calls `on_idle` at intervals and raises after the stall timeout.

    Bytes count as progress until `mark_progress` is called. From then on only these calls count, so
    that a target which sends a byte now and then stalls like a silent one.

    All reads share one timer, and each read waits before it reads, because the next token has
    rarely arrived yet. A gevent socket with a timeout instead tries to read first, fails and
    creates a `Timeout` per token.
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
        self.last_progress_at: float | None = None
        self.last_idle_call_at = 0.0
        self.closed = False

    def mark_progress(self) -> None:
        """Record that the received bytes were progress of the response."""
        self.last_progress_at = self.last_idle_call_at = time.monotonic()

    def recv(self, size: int) -> bytes:
        """Receive bytes; raises `TargetStalled` after `stall_ms` without bytes or progress."""
        if self.last_progress_at is not None:
            self._check_progress(self.last_progress_at)
        waited_ms = 0
        while True:
            ready = self._wait()
            try:
                # After a process pause the timer can fire first although bytes have arrived.
                return self.sock.recv(size)
            except BlockingIOError:
                if ready:
                    continue
            waited_ms += self.interval_ms
            if waited_ms >= self.stall_ms:
                raise TargetStalled(f"no data for {self.stall_ms} ms")
            self.on_idle()

    def _check_progress(self, last_progress_at: float) -> None:
        now = time.monotonic()
        if (now - self.last_idle_call_at) * 1_000 >= self.interval_ms:
            self.last_idle_call_at = now
            self.on_idle()
        # Readable bytes may have arrived while this process was paused, and may be progress.
        if (now - last_progress_at) * 1_000 >= self.stall_ms and not self._has_readable_bytes():
            raise TargetStalled(f"no progress for {self.stall_ms} ms")

    def _has_readable_bytes(self) -> bool:
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return False

    def _wait(self) -> bool:
        """Wait until bytes can be read (True) or the idle interval is over (False)."""
        waiter = Waiter(self.hub)
        self.readable.start(waiter.switch, True)
        # `start` would resume with the time that remained at the last stop.
        self.timer.again(waiter.switch, False, update=False)
        try:
            return waiter.get()
        finally:
            self.readable.stop()
            self.timer.stop()

    def detach(self) -> Any:
        """Stop the stall detection and return the underlying socket, which stays open."""
        self.closed = True
        self.readable.close()
        self.timer.close()
        return self.sock

    def close(self) -> None:
        """Close the connection."""
        if not self.closed:
            self.detach().close()
