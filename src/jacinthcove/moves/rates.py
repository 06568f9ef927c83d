"""Request rates by service, and an estimate of the time that a move needs at such a rate."""

from collections import Counter
from collections.abc import Sequence

from jacinthcove.clock import Clock
from jacinthcove.config.model import MoveStep
from jacinthcove.moves.split import FIRST_STEP_MAX_SHARE

RATE_WINDOW_MS = 10_000
# Time per step to distribute the configuration, run one request and collect the evidence.
STEP_OVERHEAD_MS = 3_000
# Targets warm up and queues build only at the full share, so a fault under load takes a while to
# appear. The last step therefore lasts at least this fraction of the move, but at most a minute.
LAST_STEP_FRACTION = 0.2
LAST_STEP_MAX_MS = 60_000


class RequestRates:
    """Counts requests in windows of 10 s; the rate is that of the last complete window."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.began_at = clock.now()
        self.counts: Counter[str] = Counter()
        self.last_rates: dict[str, float] = {}

    def count(self, service: str) -> None:
        """Count one request to `service`."""
        self._roll_window()
        self.counts[service] += 1

    def per_second(self) -> dict[str, float]:
        """Return the requests per second by service."""
        self._roll_window()
        return dict(self.last_rates)

    def _roll_window(self) -> None:
        elapsed_ms = self.clock.now() - self.began_at
        if elapsed_ms < RATE_WINDOW_MS:
            return
        self.last_rates = {name: 1000 * count / elapsed_ms for name, count in self.counts.items()}
        self.counts.clear()
        self.began_at = self.clock.now()


def min_last_step_ms(total_ms: float) -> float:
    """Return the minimum duration of the last step of a move that may take `total_ms`."""
    return min(LAST_STEP_FRACTION * total_ms, LAST_STEP_MAX_MS)


def min_duration_ms(steps: Sequence[MoveStep], rate: float, total_ms: float) -> float:
    """Return the minimum duration of `steps` at `rate` requests/s of the service."""
    total = min_last_step_ms(total_ms)
    for number, step in enumerate(steps):
        share = min(step.share, FIRST_STEP_MAX_SHARE) if number == 0 else step.share
        total += STEP_OVERHEAD_MS + 1000 * step.min_requests / max(share * rate, 1e-9)
    return total


def deadline_warnings(
    steps: Sequence[MoveStep], rate: float | None, remaining_ms: int
) -> list[str]:
    """Return a warning if the steps cannot end in time; a `rate` of None means unknown."""
    if rate is None:
        return []
    if rate <= 0:
        return ["the service has no requests now, without which no step ends"]
    needed = min_duration_ms(steps, rate, remaining_ms)
    if needed <= remaining_ms:
        return []
    return [
        f"the steps need at least {needed / 1000:.0f} s at the present {rate:.1f} requests/s, but"
        f" the deadline leaves {remaining_ms / 1000:.0f} s; lower min_requests or allow more time"
    ]
