"""Finds the prompt parts that crash engines, from the requests that engines had when they crashed.

An engine that begins to write an answer on such a part crashes, so no answer on it ever begins. A
part is suspect if requests with it waited for their first event at engines that crashed one after
the other, and no answer on it has begun since the first of these crashes. Engines that crash at the
same time have another cause in common.

Parts that came only together cannot be told apart, so they are suspect as a combination. Sound
requests with one of them are still served, and a crash by one of them alone singles it out.
"""

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from jacinthcove.clock import Clock

Combination = frozenset[str]

# Crashes after which a part is suspect, and the time in which several count as one.
SUSPECT_CRASHES = 3
SAME_CRASH_MS = 100
# Older crashes do not count.
EVIDENCE_TTL_MS = 600_000
MAX_PARTS = 16_384
MAX_VICTIMS = 4_096


@dataclass(frozen=True)
class EngineStart:
    """One start of an engine; `started_at` is in wall ms, 0 if unknown."""

    target_id: str
    started_at: int


@dataclass(frozen=True)
class Victim:
    """A request that waited for its first event at an engine that crashed.

    `parts` are its shared prompt parts without those on which an answer has begun since.
    `reported_at` is in monotonic ms.
    """

    engine: EngineStart
    parts: Combination
    reported_at: int


class FirstEvents:
    """When an answer on a part last began, for the parts in requests of this router."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.begun_at: dict[str, int] = {}
        self.last_begun_at: int | None = None

    def record(self, parts: Iterable[str]) -> None:
        """Record that an answer on these parts has begun."""
        now = self.last_begun_at = self.clock.now()
        for part in parts:
            self.begun_at.pop(part, None)
            self.begun_at[part] = now
        while len(self.begun_at) > MAX_PARTS:
            del self.begun_at[next(iter(self.begun_at))]

    def begun_since(self, part: str, time: int) -> bool:
        """Return whether an answer on a part has begun at `time` (monotonic ms) or later."""
        begun_at = self.begun_at.get(part)
        return begun_at is not None and begun_at >= time

    def any_begun_since(self, time: int) -> bool:
        """Return whether any answer has begun at `time` (monotonic ms) or later."""
        return self.last_begun_at is not None and self.last_begun_at >= time


class CrashEvidence:
    """The requests that waited at crashed engines, over all routers that report here."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.victims: deque[Victim] = deque(maxlen=MAX_VICTIMS)

    def record(self, engine: EngineStart, requests: Iterable[Iterable[str]]) -> None:
        """Record a crash of an engine and the shared parts of each request that waited there."""
        now = self.clock.now()
        self.victims += [Victim(engine, frozenset(parts), now) for parts in requests if parts]

    def clear(self, cleared: Iterable[str]) -> None:
        """Drop parts on which an answer has begun."""
        cleared = frozenset(cleared)
        remaining = (
            Victim(item.engine, item.parts - cleared, item.reported_at) for item in self.victims
        )
        self.victims = deque((item for item in remaining if item.parts), MAX_VICTIMS)

    def suspects(self, known: Collection[Combination] = ()) -> list[str]:
        """Return the suspect parts, those with the most crashes first.

        A crash at which a request had all parts of a `known` combination is explained by it. It
        counts only against parts of known combinations that also have a crash without explanation.
        """
        since = self.clock.now() - EVIDENCE_TTL_MS
        explained = {
            item.engine for item in self.victims if any(found <= item.parts for found in known)
        }
        known_parts = frozenset().union(*known)
        crashed_at: dict[EngineStart, int] = {}
        engines: dict[str, set[EngineStart]] = {}
        unexplained: set[str] = set()
        for item in self.victims:
            if item.reported_at < since:
                continue
            # The oldest report comes first; a late router may report the same crash again.
            crashed_at.setdefault(item.engine, item.reported_at)
            counted = item.parts & known_parts if item.engine in explained else item.parts
            for part in counted:
                engines.setdefault(part, set()).add(item.engine)
            if item.engine not in explained:
                unexplained |= item.parts
        counts = {
            part: count_separate(crashed_at[engine] for engine in found)
            for part, found in engines.items()
            if len(found) >= SUSPECT_CRASHES and part in unexplained
        }
        suspects = [part for part, count in counts.items() if count >= SUSPECT_CRASHES]
        return sorted(suspects, key=lambda part: (-counts[part], part))

    def combination(self, part: str) -> Combination:
        """Return a suspect part with those parts that were in all requests with it."""
        return frozenset.intersection(*(item.parts for item in self.victims if part in item.parts))

    def age_ms(self, part: str) -> int:
        """Return the time since the first crash of a suspect part."""
        first = min(item.reported_at for item in self.victims if part in item.parts)
        return self.clock.now() - first


def count_separate(times: Iterable[int]) -> int:
    """Return the number of crashes, of which those within `SAME_CRASH_MS` count as one."""
    count, last = 0, None
    for time in sorted(times):
        if last is None or time - last >= SAME_CRASH_MS:
            count, last = count + 1, time
    return count
