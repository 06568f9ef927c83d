"""The requests per second that targets say they take from all routers together.

A target states its limit in its responses, and a response without one lifts it. Routers that get no
response of the target learn of both from the load reports of others. What was said last counts.
"""

from dataclasses import dataclass

import structlog

from jacinthcove.clock import Clock

log = structlog.get_logger()

# A limit that no response has repeated for this time is forgotten.
LIMIT_TTL_MS = 60_000
# Other routers are told for this time that a limit was lifted.
LIFTED_TTL_MS = 15_000


@dataclass(frozen=True)
class StatedLimit:
    """What the start of a target at `started_at` (wall ms) said at `said_at` (monotonic ms).

    `per_s` is None if it lifted its limit.
    """

    started_at: int
    per_s: float | None
    said_at: int


class StatedLimits:
    """The last statement of each target that has stated a limit."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.by_target: dict[str, StatedLimit] = {}

    def record_response(
        self, target_id: str, started_at: int, per_s: float | None, sent_at: int
    ) -> None:
        """Record the limit in a response to a request that was sent at `sent_at`, None without one.

        A response that was on its way when another one stated the limit does not lift it.
        """
        if per_s is not None:
            self._record(target_id, StatedLimit(started_at, per_s, self.clock.now()))
            return
        known = self._known(target_id, started_at)
        if known is not None and known.per_s is not None and sent_at > known.said_at:
            self._record(target_id, StatedLimit(started_at, None, sent_at))

    def record_report(
        self, target_id: str, started_at: int, per_s: float | None, age_ms: int
    ) -> None:
        """Record what a target said to another router `age_ms` ago."""
        said_at = self.clock.now() - age_ms
        known = self.by_target.get(target_id)
        if known is None or (started_at, said_at) > (known.started_at, known.said_at):
            self._record(target_id, StatedLimit(started_at, per_s, said_at))

    def find(self, target_id: str, started_at: int) -> StatedLimit | None:
        """Return the last statement of a target's start, None if there is none or it is too old."""
        known = self._known(target_id, started_at)
        if known is None:
            return None
        ttl_ms = LIFTED_TTL_MS if known.per_s is None else LIMIT_TTL_MS
        if self.clock.now() - known.said_at < ttl_ms:
            return known
        del self.by_target[target_id]
        return None

    def per_s(self, target_id: str, started_at: int) -> float | None:
        """Return the limit of a target, None if it has none."""
        if not self.by_target:
            return None
        known = self.find(target_id, started_at)
        return known.per_s if known is not None else None

    def _known(self, target_id: str, started_at: int) -> StatedLimit | None:
        known = self.by_target.get(target_id)
        return known if known is not None and known.started_at == started_at else None

    def _record(self, target_id: str, limit: StatedLimit) -> None:
        known = self._known(target_id, limit.started_at)
        self.by_target[target_id] = limit
        if known is None or known.per_s != limit.per_s:
            log.info("target_limit", target=target_id, per_s=limit.per_s)
