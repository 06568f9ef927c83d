"""How late the event loop of this router is, its queue of greenlets that are due included.

Answers the load of a slow VM that gets more callers than it can read: they leave before it comes to
them, and what it still sends on for them is lost work. A late router refuses at once, so that they
find another one.
"""

from collections.abc import Callable

import gevent

from jacinthcove.background import BackgroundTask
from jacinthcove.clock import Clock

PERIOD_MS = 250
# The delay is the largest of this many periods.
KEPT_PERIODS = 2
# Above this delay new requests are refused: half of the time after which callers leave unread
# requests, as the answer has to come back as well.
REFUSING_DELAY_MS = 500
# Above this delay the directory sends no more callers here.
LATE_DELAY_MS = 150


class LoopDelay:
    """Measures by how much a timer of its own is late; `on_sample` is told each delay in ms."""

    def __init__(self, clock: Clock, on_sample: Callable[[float], None] = lambda delay: None):
        self.clock = clock
        self.on_sample = on_sample
        self.due_at = 0
        self.recent: list[int] = []
        self.task = BackgroundTask(self._run)

    def start(self) -> None:
        """Start to measure."""
        self.task.start()

    def close(self) -> None:
        """Stop measuring."""
        self.task.close()

    def delay_ms(self) -> int:
        """Return the delay of the last periods, the present one included."""
        overdue = self.clock.now() - self.due_at if self.due_at else 0
        return max([overdue, *self.recent, 0])

    def is_late(self) -> bool:
        """Return whether this router has more to do than it keeps up with."""
        return self.delay_ms() > LATE_DELAY_MS

    def refuses(self) -> bool:
        """Return whether all requests should go elsewhere."""
        return self.delay_ms() > REFUSING_DELAY_MS

    def refused_part(self) -> float:
        """Return the part of the new requests that should go elsewhere.

        It rises with the delay, as a router that refuses all or nothing is idle or late by turns.
        """
        beyond = self.delay_ms() - LATE_DELAY_MS
        return min(1.0, max(0.0, beyond / (REFUSING_DELAY_MS - LATE_DELAY_MS)))

    def sample(self) -> None:
        """Take the delay of the timer that has just fired, and set the next."""
        now = self.clock.now()
        if self.due_at:
            self.recent = [*self.recent, max(0, now - self.due_at)][-KEPT_PERIODS:]
            self.on_sample(self.recent[-1])
        self.due_at = now + PERIOD_MS

    def _run(self) -> None:
        while True:
            # Timers come first in each turn of the loop; this waits for what was due before.
            gevent.sleep(0)
            self.sample()
            gevent.sleep(PERIOD_MS / 1000)
