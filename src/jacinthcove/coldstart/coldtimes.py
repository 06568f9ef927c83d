"""Until when targets are cold, as they said themselves, in their entries or to other routers.

What a target says counts from the moment at which a router first hears of it, which is never too
early. It counts once, however often a list or another router repeats it: otherwise each repetition
would make the time longer.
"""

from dataclasses import dataclass

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
    """A statement, and the monotonic ms until which it holds at this router."""

    statement: ColdStatement
    until: int


class ColdTimes:
    """What the last known start of each target said about its coldness."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.by_target: dict[str, dict[ColdStatement, int]] = {}

    def record(self, target_id: str, statement: ColdStatement, left_ms: int, source: str) -> None:
        """Record that a target is cold for `left_ms` from now on, unless that is known already.

        `source` is where this router has it from, for the log.
        """
        known = self.by_target.get(target_id, {})
        if any(item.started_at != statement.started_at for item in known):
            known = {}
        if statement in known:
            return
        cold_before = max(known.values(), default=0) > self.clock.now()
        known[statement] = self.clock.now() + left_ms
        if len(known) > MAX_STATEMENTS:
            del known[next(iter(known))]
        self.by_target.pop(target_id, None)
        self.by_target[target_id] = known
        if len(self.by_target) > MAX_TARGETS:
            del self.by_target[next(iter(self.by_target))]
        if not cold_before:
            log.info(
                "target_cold",
                target=target_id,
                source=source,
                left_ms=left_ms,
                said_ms=statement.cold_ms,
                revision=statement.revision,
                started_at=statement.started_at,
            )

    def until(self, target_id: str, started_at: int) -> int:
        """Return the monotonic ms until which a start of a target is cold, 0 if it is not known."""
        known = self.by_target.get(target_id, {})
        return max((u for item, u in known.items() if item.started_at == started_at), default=0)
