"""Until when targets are cold, as they said themselves, in their entries or to other routers.

What a target says counts from the moment at which a router first hears of it, which is never too
early. It counts once, however often a list or another router repeats it: otherwise each repetition
would make the time longer.
"""

from dataclasses import dataclass, replace

import structlog

from jacinthcove.clock import Clock

log = structlog.get_logger()

# Above these numbers the oldest are removed.
MAX_TARGETS = 16_384
MAX_STATEMENTS = 32


@dataclass(frozen=True)
class ColdStatement:
    """The start of a target at `started_at` (wall ms) said that it is cold for `cold_ms`.

    `revision` is that of the entry which said so, 0 if the target itself did. A store that came
    back from an older copy gives revisions out again, so `cold_ms` is part of what identifies it.
    """

    started_at: int
    revision: int
    cold_ms: int


@dataclass(frozen=True)
class ColdTime:
    """A statement, and the monotonic ms until which it holds at this router.

    `reported`: another router reported it.
    """

    statement: ColdStatement
    until: int
    reported: bool


class ColdTimes:
    """What the last known start of each target said about its coldness."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.by_target: dict[str, dict[ColdStatement, ColdTime]] = {}

    def record(self, target_id: str, statement: ColdStatement, left_ms: int, source: str) -> None:
        """Record that a target is cold for `left_ms` from now on, unless that is known already.

        `source` is where this router has it from, for the log.
        """
        known = self.by_target.get(target_id, {})
        if any(item.started_at != statement.started_at for item in known):
            known = {}
        if not statement.revision and any(item.revision for item in known):
            # The entry says more exactly how long this start is cold.
            return
        if statement.revision:
            known = {item: time for item, time in known.items() if item.revision}
        if statement not in known:
            self._log(target_id, statement, left_ms, source)
            known[statement] = ColdTime(statement, self.clock.now() + left_ms, False)
            self._keep(target_id, known)

    def record_report(self, target_id: str, statement: ColdStatement, left_ms: int) -> None:
        """Record what another router reports; an earlier start than the known one is ignored."""
        known = self.by_target.get(target_id, {})
        if any(item.started_at > statement.started_at for item in known):
            return
        self.record(target_id, statement, left_ms, "report")
        known = self.by_target[target_id]
        if statement in known:
            known[statement] = replace(known[statement], reported=True)

    def find(self, target_id: str, started_at: int) -> ColdTime | None:
        """Return what holds longest for a start of a target, None if it is not known to be cold."""
        known = self.by_target.get(target_id)
        if known is None:
            return None
        now = self.clock.now()
        cold = (item for item in known.values() if item.until > now)
        same = (item for item in cold if item.statement.started_at == started_at)
        return max(same, key=lambda item: item.until, default=None)

    def until(self, target_id: str, started_at: int) -> int:
        """Return the monotonic ms until which a start of a target is cold, 0 if it is not known."""
        found = self.find(target_id, started_at)
        return found.until if found is not None else 0

    def _keep(self, target_id: str, known: dict[ColdStatement, ColdTime]) -> None:
        if len(known) > MAX_STATEMENTS:
            del known[next(iter(known))]
        self.by_target.pop(target_id, None)
        self.by_target[target_id] = known
        if len(self.by_target) > MAX_TARGETS:
            del self.by_target[next(iter(self.by_target))]

    def _log(self, target_id: str, statement: ColdStatement, left_ms: int, source: str) -> None:
        if self.find(target_id, statement.started_at) is None:
            log.info(
                "target_cold",
                target=target_id,
                source=source,
                left_ms=left_ms,
                said_ms=statement.cold_ms,
                revision=statement.revision,
                started_at=statement.started_at,
            )
