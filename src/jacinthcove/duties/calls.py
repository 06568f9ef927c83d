"""The calls that only the holder of the duties makes, and how often it may make them."""

from collections.abc import Callable, Mapping
from typing import Protocol

from jacinthcove.clock import Clock
from jacinthcove.duties.lease import Grant
from jacinthcove.errors import JacinthcoveError

# This part of the calls allowed to all routers is used: during a change of the holder two routers
# may call within one second.
RATE_FRACTION = 0.4
FIRST_PAUSE_MS = 250
MAX_PAUSE_MS = 4_000

# Returns the grant for a call that is about to be sent, or None if it must not be sent.
Guard = Callable[[], Grant | None]


class DutyCallFailed(JacinthcoveError):  # noqa: N818 - names an outcome
    """A call was not answered with success; unless it was `not_sent` it may have taken effect.

    `answered` means that the platform was reached and answered something else.
    """

    def __init__(self, message: str, not_sent: bool = False, answered: bool = False):
        super().__init__(message)
        self.not_sent = not_sent
        self.answered = answered


class DutyCalls(Protocol):
    """Makes the calls; each raises `DutyCallFailed`.

    The guard is called between the opening of the connection and the send, without a pause after
    it, because a frozen router must not send under a grant from before.
    """

    def report_usage(self, guard: Guard, window: int, counts: Mapping[str, int]) -> None:
        """Report the requests of a window by workspace."""

    def order_engines(self, guard: Guard, service: str, domain: str, desired: int) -> None:
        """Order the number of engines of a service in a failure domain."""


class CallBudget:
    """Spaces the calls of one router evenly, at part of the rate allowed to all routers."""

    def __init__(self, clock: Clock, per_s: float):
        self.clock = clock
        self.per_s = per_s
        self.next_at = 0.0

    def try_take(self) -> bool:
        """Return whether a call may be made now, and count it."""
        now = self.clock.boot()
        if now < self.next_at or self.per_s <= 0:
            return False
        self.next_at = now + 1_000 / (self.per_s * RATE_FRACTION)
        return True


class Backoff:
    """The pause after failed calls, which doubles up to a maximum."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.pause_ms = 0
        self.until = 0
        # Boot ms since when no call has been answered at all, None if the last one was.
        self.silent_since: int | None = None

    def is_over(self) -> bool:
        """Return whether a call may be made."""
        return self.clock.boot() >= self.until

    def silent_ms(self) -> int:
        """Return for how long no call has been answered."""
        return 0 if self.silent_since is None else self.clock.boot() - self.silent_since

    def record_failure(self, answered: bool) -> None:
        """Begin the next pause."""
        now = self.clock.boot()
        self.pause_ms = min(MAX_PAUSE_MS, max(FIRST_PAUSE_MS, 2 * self.pause_ms))
        self.until = now + self.pause_ms
        if answered:
            self.silent_since = None
        elif self.silent_since is None:
            self.silent_since = now

    def record_success(self) -> None:
        """Make no pause after this call."""
        self.pause_ms = self.until = 0
        self.silent_since = None
