"""Writes decisions to the log at a limited rate."""

from typing import Any

import structlog

from jacinthcove.clock import Clock
from jacinthcove.observe.metrics import Metrics

log = structlog.get_logger()

LINES_PER_S = 40
# One in this many plain successes is logged. All failures and refusals are, up to the rate limit.
SUCCESS_SAMPLE = 16


class DecisionLog:
    """Logs decisions up to `lines_per_s`, with bursts of one second, and counts the others."""

    def __init__(self, clock: Clock, metrics: Metrics, lines_per_s: int = LINES_PER_S):
        self.clock = clock
        self.metrics = metrics
        self.lines_per_s = lines_per_s
        self.allowance = float(lines_per_s)
        self.refilled_at = clock.now()
        self.suppressed = 0
        self.successes = 0
        self.dropped = metrics.counter(
            "log_lines_dropped_total", "decisions that were counted instead of written"
        )

    def log_success(self, event: str, **fields: Any) -> None:
        """Log one in `SUCCESS_SAMPLE` plain successes."""
        self.successes += 1
        if self.successes % SUCCESS_SAMPLE == 1:
            self.log_decision(event, **fields)

    def log_decision(self, event: str, **fields: Any) -> None:
        """Log a decision, or only count it when the rate limit is reached."""
        now = self.clock.now()
        refilled = (now - self.refilled_at) * self.lines_per_s / 1000
        self.allowance = min(float(self.lines_per_s), self.allowance + refilled)
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
