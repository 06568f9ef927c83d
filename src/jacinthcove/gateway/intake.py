"""Bounds the work that this router takes from its callers: it passes on or refuses what is beyond.

The callers of one workspace may all come to one router, whatever the directory names to them. It
serves what its processor time allows, and routers with room serve the rest. Only where no router
has room is a request refused.
"""

import random
from collections.abc import Callable

import gevent

from jacinthcove.background import BackgroundTask, run_step
from jacinthcove.codes import ResultCode
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.activeconfig import RETRY_ELSEWHERE_MS
from jacinthcove.gateway.loopdelay import LoopDelay

PERIOD_MS = 100
# The part of the time in which the event loop of a router may work.
MAX_WORK_FRACTION = 0.8
# The served fraction of new requests grows by this factor in a period at most, and from this value.
MAX_GROWTH = 1.25
MIN_SERVED_FRACTION = 0.05


class Intake:
    """Decides which new requests this router serves, passes on and refuses.

    `take_work_fraction` returns the part of the time since its last call in which the loop worked.
    """

    def __init__(
        self,
        loop_delay: LoopDelay,
        take_work_fraction: Callable[[], float],
        rng: random.Random | None = None,
    ):
        self.loop_delay = loop_delay
        self.take_work_fraction = take_work_fraction
        self.rng = rng or random.Random()
        # The fraction of new requests for which no other router is sought.
        self.served_fraction = 1.0
        self.task = BackgroundTask(self._run)

    def start(self) -> None:
        """Start to adjust the served fraction in a greenlet of its own."""
        self.task.start()

    def close(self) -> None:
        """Stop adjusting the served fraction."""
        self.task.close()

    @property
    def passed_fraction(self) -> float:
        """Return the fraction of new requests for which another router is sought."""
        return 1.0 - self.served_fraction

    def is_full(self) -> bool:
        """Return whether this router has no room for the requests of others."""
        return self.served_fraction < 1.0 or self.loop_delay.is_late()

    def passes_on(self) -> bool:
        """Return whether another router should serve the next request, if one has room.

        A router that is so late that its callers may have left passes nothing on.
        """
        return self.rng.random() < self.passed_fraction and not self.loop_delay.rejects_all()

    def refusal(self) -> RequestRefused | None:
        """Return a refusal for the requests that a late router has to reject, at random."""
        rejected = self.rng.random() < self.loop_delay.rejected_fraction()
        return self._late_refusal() if rejected else None

    def helper_refusal(self) -> RequestRefused | None:
        """Return a refusal for requests of other routers, which took this one for idle, or None."""
        return self._late_refusal() if self.loop_delay.is_late() else None

    def check_may_send(self) -> None:
        """Raise `RequestRefused` if this router is so late that it has old news of its callers."""
        if self.loop_delay.rejects_all():
            raise self._late_refusal()

    def sample(self) -> None:
        """Adjust the served fraction to the work of the last period."""
        work = self.take_work_fraction()
        if self.loop_delay.is_late():
            self.served_fraction = 0.0
            return
        growth = min(MAX_GROWTH, MAX_WORK_FRACTION / work) if work > 0 else MAX_GROWTH
        self.served_fraction = min(1.0, max(MIN_SERVED_FRACTION, self.served_fraction) * growth)

    def _late_refusal(self) -> RequestRefused:
        message = f"the router is {self.loop_delay.delay_ms()} ms late"
        return RequestRefused(ResultCode.OVERLOADED, message, RETRY_ELSEWHERE_MS)

    def _run(self) -> None:
        while True:
            gevent.sleep(PERIOD_MS / 1000)
            run_step(self.sample)
