"""Measures the part of the time in which the event loop of this router works.

The delay of the loop shows an overload only after it has lasted a while. The part of the time in
which the loop does not wait for events rises before that.
"""

import time

import gevent

LOWEST_PRIORITY = -2
HIGHEST_PRIORITY = 2


class LoopWork:
    """The time that the event loop works and waits, since the last call of `take_fraction`."""

    def __init__(self) -> None:
        loop = gevent.get_hub().loop
        # gevent switches to ready greenlets right before the wait, in a watcher of priority 0.
        self.before_wait = loop.prepare()
        self.before_wait.priority = LOWEST_PRIORITY
        self.after_wait = loop.check()
        self.after_wait.priority = HIGHEST_PRIORITY
        self.worked_s = 0.0
        self.waited_s = 0.0
        self.changed_at = time.monotonic()

    def start(self) -> None:
        """Start to measure."""
        self.changed_at = time.monotonic()
        self.before_wait.start(self._end_work)
        self.after_wait.start(self._end_wait)

    def close(self) -> None:
        """Stop measuring."""
        for watcher in (self.before_wait, self.after_wait):
            watcher.stop()
            watcher.close()

    def take_fraction(self) -> float:
        """Return the part of the time since the last call in which the loop worked, 0 to 1."""
        self._end_work()
        total_s = self.worked_s + self.waited_s
        fraction = self.worked_s / total_s if total_s > 0 else 0.0
        self.worked_s = self.waited_s = 0.0
        return fraction

    def _end_work(self) -> None:
        now = time.monotonic()
        self.worked_s += now - self.changed_at
        self.changed_at = now

    def _end_wait(self) -> None:
        now = time.monotonic()
        self.waited_s += now - self.changed_at
        self.changed_at = now
