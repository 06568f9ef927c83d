"""Request rates by service, from which the time that a move needs is foretold."""

from collections import Counter
from collections.abc import Sequence

from jacinthcove.clock import Clock
from jacinthcove.config.model import MoveStep
from jacinthcove.moves.split import FIRST_STEP_MAX_SHARE

RATE_WINDOW_MS = 10_000
# A step also takes the spread of the configuration, the gathering of evidence and one request.
STEP_OVERHEAD_MS = 3_000
# Targets warm up and queues build only under the full share, so a fault under load takes a while
# to show. The last step lasts at least this part of the time of the move, but no longer than a
# minute.
LAST_STEP_PART = 0.2
LAST_STEP_MAX_MS = 60_000


class RequestRates:
    """Counts requests in windows; the rate is that of the last whole window."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.began_at = clock.now()
        self.counts: Counter[str] = Counter()
        self.last: dict[str, float] = {}

    def count(self, service: str) -> None:
        """Count one request."""
        self._turn()
        self.counts[service] += 1

    def per_second(self) -> dict[str, float]:
        """Return the rates by service."""
        self._turn()
        return dict(self.last)

    def _turn(self) -> None:
        elapsed_ms = self.clock.now() - self.began_at
        if elapsed_ms < RATE_WINDOW_MS:
            return
        self.last = {name: 1000 * count / elapsed_ms for name, count in self.counts.items()}
        self.counts.clear()
        self.began_at = self.clock.now()


def last_step_ms(whole_ms: float) -> float:
    """Return the least duration of the last step of a move with `whole_ms` until its deadline."""
    return min(LAST_STEP_PART * whole_ms, LAST_STEP_MAX_MS)


def needed_ms(steps: Sequence[MoveStep], rate: float, whole_ms: float) -> float:
    """Return the least time that `steps` take at `rate` requests/s of the service."""
    total = last_step_ms(whole_ms)
    for number, step in enumerate(steps):
        share = min(step.share, FIRST_STEP_MAX_SHARE) if number == 0 else step.share
        total += STEP_OVERHEAD_MS + 1000 * step.min_requests / max(share * rate, 1e-9)
    return total


def pace_warnings(steps: Sequence[MoveStep], rate: float | None, left_ms: int) -> list[str]:
    """Return a warning if the steps cannot end in time; `rate` is None while it is unknown."""
    if rate is None:
        return []
    if rate <= 0:
        return ["the service has no requests now, without which no step ends"]
    needed = needed_ms(steps, rate, left_ms)
    if needed <= left_ms:
        return []
    return [
        f"the steps need at least {needed / 1000:.0f} s at the present {rate:.1f} requests/s,"
        f" but the deadline leaves {left_ms / 1000:.0f} s; lower min_requests or allow more time"
    ]
