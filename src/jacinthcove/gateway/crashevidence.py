"""Finds what crashes engines, from the requests that engines had when they crashed.

Requests bear marks: their shared prompt parts, and a digest of the whole request. An engine that
begins to write an answer on a deadly part, or to a deadly request, crashes, so no answer on that
mark ever begins. A mark is suspect if requests with it waited for their answer at engines that
crashed one after the other, and no answer on it has begun since the first of these crashes. Engines
that crash at the same time have another cause in common, unless the same request broke off at one
before it was sent to the other.

Marks that came only together cannot be told apart, so they are suspect as a combination. Sound
requests with one of them are still served, and a crash by one of them alone singles it out.
"""

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from jacinthcove.clock import Clock
from jacinthcove.gateway.crashmarks import Combination, is_digest

# Crashes after which a mark is suspect, and the time in which several count as one. That time is
# short for digests: the same request is rarely at several engines that lose power together.
SUSPECT_CRASHES = 3
SAME_CRASH_MS = 100
SAME_CRASH_OF_REQUEST_MS = 20
# Older crashes do not count.
EVIDENCE_TTL_MS = 600_000
MAX_MARKS = 16_384
MAX_VICTIMS = 4_096


@dataclass(frozen=True)
class EngineStart:
    """One start of an engine; `started_at` is in wall ms, 0 if unknown."""

    target_id: str
    started_at: int


@dataclass(frozen=True)
class WaitingRequest:
    """The marks of a request that waited for its answer at an engine that crashed.

    `broke_off_at` are the ids of the targets at which the same request had broken off before.
    """

    marks: Combination
    broke_off_at: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Victim:
    """A request that waited for its answer at an engine that crashed.

    `marks` are without those on which an answer has begun since. `crashed_at` is in monotonic ms.
    """

    engine: EngineStart
    marks: Combination
    broke_off_at: frozenset[str]
    crashed_at: int


@dataclass(frozen=True)
class Crash:
    """A crash of an engine with a suspect mark, at `at` (monotonic ms).

    `broke_off_at` are the targets at which requests with the mark had broken off before.
    """

    target_id: str
    at: int
    broke_off_at: frozenset[str] = frozenset()


class FirstEvents:
    """When an answer on a mark last began, for the marks of requests of this router."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.begun_at: dict[str, int] = {}
        self.last_begun_at: int | None = None

    def record(self, marks: Iterable[str]) -> None:
        """Record that an answer on these marks has begun."""
        now = self.last_begun_at = self.clock.now()
        for mark in marks:
            self.begun_at.pop(mark, None)
            self.begun_at[mark] = now
        while len(self.begun_at) > MAX_MARKS:
            del self.begun_at[next(iter(self.begun_at))]

    def begun_since(self, mark: str, time: int) -> bool:
        """Return whether an answer on a mark has begun at `time` (monotonic ms) or later."""
        begun_at = self.begun_at.get(mark)
        return begun_at is not None and begun_at >= time

    def any_begun_since(self, time: int) -> bool:
        """Return whether any answer has begun at `time` (monotonic ms) or later."""
        return self.last_begun_at is not None and self.last_begun_at >= time


class CrashEvidence:
    """The requests that waited at crashed engines, over all routers that report here."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.victims: deque[Victim] = deque(maxlen=MAX_VICTIMS)

    def record(
        self, engine: EngineStart, requests: Iterable[WaitingRequest], crashed_at: int
    ) -> None:
        """Record that an engine crashed at `crashed_at` (monotonic ms) with these requests."""
        self.victims += [
            Victim(engine, item.marks, item.broke_off_at, crashed_at)
            for item in requests
            if item.marks
        ]

    def clear(self, cleared: Iterable[str]) -> None:
        """Drop marks on which an answer has begun."""
        cleared = frozenset(cleared)
        remaining = (replace(item, marks=item.marks - cleared) for item in self.victims)
        self.victims = deque((item for item in remaining if item.marks), MAX_VICTIMS)

    def suspects(self, known: Collection[Combination] = ()) -> list[str]:
        """Return the suspect marks, those with the most crashes first.

        A crash at which a request had all marks of a `known` combination is explained by it. It
        counts only against marks of known combinations that also have a crash without explanation.
        """
        since = self.clock.now() - EVIDENCE_TTL_MS
        recent = [item for item in self.victims if item.crashed_at >= since]
        explained = {
            item.engine for item in self.victims if any(found <= item.marks for found in known)
        }
        known_marks = frozenset().union(*known)
        unexplained: set[str] = set()
        crashes: dict[str, dict[EngineStart, Crash]] = {}
        crashed_at: dict[EngineStart, int] = {}
        for item in recent:
            # A late router may report the same crash again.
            at = crashed_at[item.engine] = min(
                item.crashed_at, crashed_at.get(item.engine, item.crashed_at)
            )
            counted = item.marks & known_marks if item.engine in explained else item.marks
            for mark in counted:
                found = crashes.setdefault(mark, {})
                found[item.engine] = _merged(found.get(item.engine), item, at)
            if item.engine not in explained:
                unexplained |= item.marks
        counts = {
            mark: count_separate(found.values(), same_crash_ms(mark))
            for mark, found in crashes.items()
            if len(found) >= SUSPECT_CRASHES and mark in unexplained
        }
        suspects = [mark for mark, count in counts.items() if count >= SUSPECT_CRASHES]
        return sorted(suspects, key=lambda mark: (-counts[mark], mark))

    def combination(self, mark: str) -> Combination:
        """Return a suspect mark with those marks that all requests with it had."""
        return frozenset.intersection(*(item.marks for item in self.victims if mark in item.marks))

    def age_ms(self, mark: str) -> int:
        """Return the time since the first crash of a suspect mark."""
        first = min(item.crashed_at for item in self.victims if mark in item.marks)
        return self.clock.now() - first


def _merged(crash: Crash | None, victim: Victim, at: int) -> Crash:
    """Return a crash with what one more of its victims tells."""
    before = crash.broke_off_at if crash is not None else frozenset()
    return Crash(victim.engine.target_id, at, before | victim.broke_off_at)


def same_crash_ms(mark: str) -> int:
    """Return the time in which crashes under a mark count as one."""
    return SAME_CRASH_OF_REQUEST_MS if is_digest(mark) else SAME_CRASH_MS


def count_separate(crashes: Iterable[Crash], same_ms: int) -> int:
    """Return the number of crashes, of which those within `same_ms` count as one.

    A crash counts by itself if a request had broken off at the one before it was sent on.
    """
    count, last = 0, None
    same: set[str] = set()
    for crash in sorted(crashes, key=lambda item: item.at):
        if last is None or crash.at - last >= same_ms or crash.broke_off_at & same:
            count, last, same = count + 1, crash.at, set()
        same.add(crash.target_id)
    return count
