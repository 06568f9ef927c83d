"""Decides when a router may call a store of which no other router has recent word.

Answers the load of an outage in a large failure domain. Deputies of the relay router may call at
once. The others may do so at random times, about `OTHERS_PERIOD_MS` apart in their failure domain,
because one of them may be the only router that the store serves.
"""

import random

from jacinthcove.clock import Clock
from jacinthcove.store.relayroles import RelayRoles

MIN_PAUSE_MS = 50
MAX_PAUSE_MS = 1_000
OTHERS_PERIOD_MS = 500
# A router to which the store replied may call it again for this time.
SERVED_MS = 5_000


class LastResort:
    """The kinds of which this router finds no recent word, and its next call to the store."""

    def __init__(self, clock: Clock, roles: RelayRoles):
        self.clock = clock
        self.roles = roles
        # By kind without word: the pause before other routers are asked again.
        self.pauses_ms: dict[str, int] = {}
        # When the store may be called; None while other routers have word of all kinds.
        self.call_at: int | None = None
        self.served_at: int | None = None

    def reason(self, deputies_may: bool) -> str | None:
        """Return why this router may call the store now, None if it may not yet."""
        if self.roles.own_id() in self.roles.deputies():
            return "deputy" if deputies_may else None
        now, period_ms = self.clock.now(), self.period_ms()
        if self.served_at is None or now - self.served_at >= SERVED_MS:
            if self.call_at is None:
                self.call_at = now + round(random.uniform(0.05, 1.0) * period_ms)
            if now < self.call_at:
                return None
            self.call_at = now + round(random.uniform(0.5, 1.0) * period_ms)
        return "no_router_knows"

    def period_ms(self) -> int:
        """Return the time in which each router of this failure domain may call about once."""
        return OTHERS_PERIOD_MS * self.roles.domain_size()

    def next_pause_ms(self, kind: str) -> float:
        """Record that no router has word of a kind; return the pause before the next question."""
        pause_ms = self.pauses_ms.get(kind, MIN_PAUSE_MS)
        self.pauses_ms[kind] = min(2 * pause_ms, MAX_PAUSE_MS)
        return pause_ms * random.uniform(0.5, 1.0)

    def record_served(self) -> None:
        """Record that the store replied to this router."""
        self.served_at = self.clock.now()

    def record_word(self, kind: str) -> None:
        """Record that there is word of a kind."""
        self.pauses_ms.pop(kind, None)
        if not self.pauses_ms:
            self.call_at = None
