"""Limits the calls of a router to a store that fails.

Answers the load of an outage: every router and kind that tried again by itself made thousands of
calls in some seconds. After a failed call, only one call of this router is under way, after a pause
that grows with each failure, until one succeeds.
"""

import random
from collections.abc import Callable
from typing import TypeVar

from jacinthcove.clock import Clock
from jacinthcove.errors import StoreUnavailable
from jacinthcove.store.kinds import HistoryGone

MIN_PAUSE_MS = 40
MAX_DOUBLINGS = 6
# A kind that has not failed itself waits this long for the call of another kind, before it counts
# as failed and has to be listed again.
MAX_WAIT_MS = 250
# Longest pauses. A relay router's is far below all bounds on the age of state.
RELAY_PAUSE_MS = 600
DEPUTY_PAUSE_MS = 1_500

T = TypeVar("T")


def longest_pause_ms(reason: str, others_ms: int) -> int:
    """Return the longest pause of a router that calls the store for a reason."""
    if reason == "relay":
        return RELAY_PAUSE_MS
    return DEPUTY_PAUSE_MS if reason == "deputy" else max(RELAY_PAUSE_MS, others_ms)


class StoreGate:
    """Lets calls to the store through, and keeps those apart that follow a failure."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.failures = 0
        self.failed_at = 0
        self.next_call_at = 0
        self.is_probing = False

    def is_open(self) -> bool:
        """Return whether a call would be made now."""
        if not self.failures:
            return True
        return not self.is_probing and self.clock.now() >= self.next_call_at

    def call(self, operation: Callable[[], T], max_pause_ms: int) -> T:
        """Make a call; raises `StoreUnavailable` if the pause after a failure lasts too long."""
        ends_at = self.clock.now() + MAX_WAIT_MS
        while not self.is_open() and self.clock.now() < ends_at:
            self.clock.sleep(min(MIN_PAUSE_MS, ends_at - self.clock.now()))
        if not self.is_open():
            raise StoreUnavailable("the store failed, and is called again after a pause")
        began_at = self.clock.now()
        probes = self.failures > 0
        self.is_probing = self.is_probing or probes
        try:
            result = operation()
        except HistoryGone:
            self.failures = 0
            raise
        except StoreUnavailable:
            self._record_failure(began_at, max_pause_ms)
            raise
        finally:
            if probes:
                self.is_probing = False
        self.failures = 0
        return result

    def _record_failure(self, began_at: int, max_pause_ms: int) -> None:
        """Lengthen the pause, except for a call that began before the last failure."""
        if self.failures and began_at < self.failed_at:
            return
        pause_ms = min(max_pause_ms, MIN_PAUSE_MS << min(self.failures, MAX_DOUBLINGS))
        self.failures += 1
        self.failed_at = self.clock.now()
        self.next_call_at = self.failed_at + round(pause_ms * random.uniform(0.5, 1.0))
