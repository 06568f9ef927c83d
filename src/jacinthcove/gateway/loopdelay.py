"""Measures the event loop lag of this router, including the queue of greenlets ready to run.

A slow VM may get more requests than it can read: callers disconnect before it reads theirs, and
forwarding these requests is wasted work. So a late router rejects requests at once, and callers try
another router.
"""

from collections.abc import Callable

import gevent

from jacinthcove.background import BackgroundTask, run_step
from jacinthcove.clock import Clock

PERIOD_MS = 250
# The delay is the maximum over this many periods.
WINDOW_PERIODS = 2
# Above this delay all new requests are rejected: half of the time after which callers give up on
# unread requests, because the response takes time as well.
REJECT_ALL_DELAY_MS = 500
# Above this delay a growing fraction of requests is rejected, and the directory names this router
# to no more callers.
LATE_DELAY_MS = 150


class LoopDelay:
    """Measures how late its own timer fires; `on_sample` is called with each delay in ms."""

    def __init__(self, clock: Clock, on_sample: Callable[[float], None] = lambda delay: None):
        self.clock = clock
        self.on_sample = on_sample
        self.due_at = 0
        self.recent: list[int] = []
        self.task = BackgroundTask(self._run)

    def start(self) -> None:
        """Start the timer in a greenlet of its own."""
        self.task.start()

    def close(self) -> None:
        """Stop the timer; `delay_ms` grows from then on."""
        self.task.close()

    def delay_ms(self) -> int:
        """Return the maximum delay of the last periods and of a timer that is overdue now."""
        overdue = self.clock.now() - self.due_at if self.due_at else 0
        return max([overdue, *self.recent, 0])

    def is_late(self) -> bool:
        """Return whether this router is falling behind, so that it should get no new callers."""
        return self.delay_ms() > LATE_DELAY_MS

    def rejects_all(self) -> bool:
        """Return whether all new requests should be rejected."""
        return self.delay_ms() > REJECT_ALL_DELAY_MS

    def rejected_fraction(self) -> float:
        """Return the fraction of new requests to reject, from 0 to 1.

        It rises with the delay: a router that rejects all or nothing alternates between idle and
        late.
        """
        excess_ms = self.delay_ms() - LATE_DELAY_MS
        return min(1.0, max(0.0, excess_ms / (REJECT_ALL_DELAY_MS - LATE_DELAY_MS)))

    def sample(self) -> None:
        """Record the delay of the timer that has just fired, and set when it is due next."""
        now = self.clock.now()
        if self.due_at:
            self.recent = [*self.recent, max(0, now - self.due_at)][-WINDOW_PERIODS:]
            self.on_sample(self.recent[-1])
        self.due_at = now + PERIOD_MS

    def _run(self) -> None:
        while True:
            # The loop runs timers before ready greenlets. This yields, so that the delay includes
            # the greenlets that were ready before.
            gevent.sleep(0)
            run_step(self.sample)
            gevent.sleep(PERIOD_MS / 1000)
