"""Log lines of decisions at a bounded rate."""

from typing import Any

import structlog

from jacinthcove.clock import Clock
from jacinthcove.observe.metrics import Metrics

log = structlog.get_logger()

LINES_PER_S = 40
# One line in this many plain successes; failures and refusals are always written up to the rate.
SUCCESS_SAMPLE = 16


class DecisionLog:
    """Writes decisions until the rate is used up, and counts the rest."""

    def __init__(self, clock: Clock, metrics: Metrics, lines_per_s: int = LINES_PER_S):
        self.clock = clock
        self.lines_per_s = lines_per_s
        self.allowance = float(lines_per_s)
        self.refilled_at = clock.now()
        self.suppressed = 0
        self.successes = 0
        self.dropped = metrics.counter(
            "log_lines_dropped_total", "decisions that were counted instead of written"
        )

    def success(self, event: str, **fields: Any) -> None:
        """Write one in `SUCCESS_SAMPLE` plain successes."""
        self.successes += 1
        if self.successes % SUCCESS_SAMPLE == 1:
            self.note(event, **fields)

    def note(self, event: str, **fields: Any) -> None:
        """Write a line, or count it when the rate is used up."""
        now = self.clock.now()
        refill = (now - self.refilled_at) * self.lines_per_s / 1000
        self.allowance = min(float(self.lines_per_s), self.allowance + refill)
        self.refilled_at = now
        if self.allowance < 1:
            self.suppressed += 1
            self.dropped.add()
            return
        self.allowance -= 1
        if self.suppressed:
            fields["suppressed_before"] = self.suppressed
            self.suppressed = 0
        log.info(event, **fields)
