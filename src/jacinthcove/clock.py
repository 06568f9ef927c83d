"""Clocks in milliseconds, with a manual one for tests."""

import time
from typing import Protocol

import gevent
from gevent.event import Event


class Clock(Protocol):
    """A source of monotonic, wall-clock and boot time in milliseconds."""

    def now(self) -> int:
        """Return monotonic milliseconds, which do not count while the VM is suspended."""

    def wall(self) -> int:
        """Return milliseconds since the Unix epoch."""

    def boot(self) -> int:
        """Return milliseconds since boot, which also count while the VM is suspended."""

    def sleep(self, duration_ms: float) -> None:
        """Block the calling greenlet for `duration_ms`."""

    def wait(self, event: Event, duration_ms: float) -> bool:
        """Block until `event` is set, for at most `duration_ms`; return whether it is set."""


class SystemClock:
    """The operating system's clocks."""

    def now(self) -> int:
        """Return monotonic milliseconds, which do not count while the VM is suspended."""
        return time.monotonic_ns() // 1_000_000

    def wall(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000

    def boot(self) -> int:
        """Return milliseconds since boot, which also count while the VM is suspended."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def sleep(self, duration_ms: float) -> None:
        """Block the calling greenlet for `duration_ms`."""
        gevent.sleep(duration_ms / 1000)

    def wait(self, event: Event, duration_ms: float) -> bool:
        """Block until `event` is set, for at most `duration_ms`; return whether it is set."""
        return event.wait(duration_ms / 1000)


class ManualClock:
    """A clock for tests that advances only through its methods."""

    def __init__(self, now_ms: int = 1_000, wall_ms: int = 1_700_000_000_000):
        self.now_ms = now_ms
        self.wall_ms = wall_ms
        self.suspended_ms = 0

    def now(self) -> int:
        """Return the current manual time in milliseconds."""
        return self.now_ms

    def wall(self) -> int:
        """Return the current manual wall-clock time in milliseconds."""
        return self.wall_ms

    def boot(self) -> int:
        """Return the current manual time plus the time spent suspended."""
        return self.now_ms + self.suspended_ms

    def suspend(self, duration_ms: int) -> None:
        """Advance the wall and boot clocks but not the monotonic one, as a suspended VM does."""
        self.suspended_ms += duration_ms
        self.wall_ms += duration_ms

    def sleep(self, duration_ms: float) -> None:
        """Advance the time instead of blocking."""
        self.advance(int(duration_ms))

    def wait(self, event: Event, duration_ms: float) -> bool:
        """Advance the time unless `event` is set; return whether it is set."""
        if not event.is_set():
            self.sleep(duration_ms)
        return event.is_set()

    def advance(self, duration_ms: int) -> None:
        """Advance all clocks by `duration_ms`."""
        self.now_ms += duration_ms
        self.wall_ms += duration_ms
