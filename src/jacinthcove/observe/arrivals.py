"""Logs the arrivals of requests, from which the bound of an ideal queue is computed."""

from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from jacinthcove.clock import Clock
from jacinthcove.observe.idealqueue import ARRIVED, Arrival

log = structlog.get_logger()

PERIOD_MS = 1_000
# Further requests of the same period are only counted.
MAX_REQUESTS = 200


@dataclass(frozen=True)
class EngineStats:
    """The number of usable engines that a router knows, and their mean prefill speed."""

    engines: int = 0
    tokens_per_ms: float = 0.0


@dataclass
class ArrivalLog:
    """Collects requests to engines and writes at most one line per second while they arrive."""

    clock: Clock
    engine_stats: Callable[[], EngineStats]
    requests: list[Arrival] = field(default_factory=list)
    omitted: int = 0

    def record_arrival(self, tokens: int, goal_ms: int) -> None:
        """Record a request that arrives now with `tokens` prompt tokens outside shared parts."""
        now = self.clock.now()
        if self.requests and now - self.requests[0].at_ms >= PERIOD_MS:
            self.write()
        if len(self.requests) < MAX_REQUESTS:
            self.requests.append(Arrival(now, tokens, goal_ms))
        else:
            self.omitted += 1

    def close(self) -> None:
        """Write the requests that were not written yet."""
        if self.requests:
            self.write()

    def write(self) -> None:
        """Write a line with the requests so far; their times are ms before the line."""
        now, stats = self.clock.now(), self.engine_stats()
        # Taken first, so that an error with one request does not come back with each later one.
        requests, self.requests = self.requests, []
        omitted, self.omitted = self.omitted, 0
        log.info(
            ARRIVED,
            requests=[(now - item.at_ms, item.tokens, item.goal_ms) for item in requests],
            uncounted=omitted,
            engines=stats.engines,
            tokens_per_ms=round(stats.tokens_per_ms, 1),
        )
