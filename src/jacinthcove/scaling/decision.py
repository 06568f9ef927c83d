"""The number of engines that a service should have in each failure domain.

Load: a service whose demand doubles within seconds while new engines take `boot_ms` to serve, and
falls again later; engines that crash for some seconds; failure domains that are lost or drained. An
engine for a whole day costs about a thousandth of the day's value, and work refused for lack of
engines cost up to 30 % of it, so a shortage is answered in little more than a second, in one step,
and engines are given back slowly.
"""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from jacinthcove.gateway.model import ScalingBounds

# Demand above the engines for this time is no burst. Rates are averages of the last second, so a
# burst of half a second shows for 1.2 s.
SHORTAGE_MS = 1_250
# The engines are short while less than this fraction of what is asked begins, more than this
# fraction of the answers is late, or more than this fraction of the slots is used.
BEGUN_FRACTION = 0.85
LATE_FRACTION = 0.25
HIGH_USE = 0.85
# Engines for this use of their slots are enough where their rate is not known.
TARGET_USE = 0.6
# A lasting shortage at engines that have work orders at least this multiple of what serves.
MIN_RAISE = 1.15
MIN_RAISE_USE = 0.3
# Engines ordered above the demand.
SPARE_FRACTION = 1.1
# The trend of the demand adds at most this fraction to it.
MAX_TREND_FRACTION = 0.5
# The highest rate per engine that was measured falls by this part each second of a shortage, where
# what begins shows the rate. In a calm time it would fall with the demand.
RATE_DECAY_PER_S = 0.03
# What a cold engine serves, as a part of a warm one.
COLD_VALUE = 0.5
# The rates of the last second.
RECENT_MS = 1_000
# The demand before the loss of a failure domain is the highest of this time.
CALM_MS = 10_000
# Engines are given back after low use for this many boot times, one per domain each boot time.
LOW_BOOT_TIMES = 3


@dataclass(frozen=True)
class DomainEngines:
    """The engines of a service in one failure domain.

    `ready` engines serve at their full rate, `cold` ones not yet. `leaving` ones get no new work,
    and `lost` ones do not answer. Of a drained domain no engine counts as capacity.
    """

    ready: int = 0
    cold: int = 0
    leaving: int = 0
    lost: int = 0
    drained: bool = False
    running: int = 0
    slots: int = 0

    @property
    def existing(self) -> int:
        """Return the engines that the platform counts."""
        return self.ready + self.cold + self.lost

    @property
    def serves(self) -> bool:
        """Return whether the domain has engines that take work."""
        return not self.drained and self.ready + self.cold > 0

    @property
    def capacity(self) -> float:
        """Return the warm engines that would serve as much."""
        return self.ready + COLD_VALUE * self.cold if self.serves else 0.0


@dataclass(frozen=True)
class Demand:
    """What callers ask of a service, in tokens per second.

    `asked` is the mean of the last `window_ms` and counts each request once as far as the routers
    know. `begun` and `late_fraction` are those of the last second. `complete` is False while
    reports of many routers are missing.
    """

    asked: float = 0.0
    begun: float = 0.0
    late_fraction: float = 0.0
    complete: bool = True
    window_ms: int = 4_000


@dataclass(frozen=True)
class Observation:
    """What is known of a service at one moment (boot ms)."""

    at: int
    domains: Mapping[str, DomainEngines]
    demand: Demand


@dataclass(frozen=True)
class _Sample:
    at: int
    capacity: float
    asked: float
    # Engines that the demand needs.
    need: float


class ScalingDecision:
    """Decides for one service; `decide` is called a few times per second.

    `existing` are the engines by failure domain from which a new holder starts.
    """

    def __init__(self, bounds: ScalingBounds, existing: Mapping[str, int]):
        self.bounds = bounds
        self.desired = dict(existing)
        # Domains for which this decision has set the number.
        self.ordered: set[str] = set()
        self.samples: deque[_Sample] = deque()
        # Tokens per second of one engine under full load, 0 while unknown.
        self.rate = 0.0
        self.contended_since: int | None = None
        self.short_since: int | None = None
        self.changed_at: int | None = None
        self.calm_need = 0.0

    def decide(self, seen: Observation) -> dict[str, int]:
        """Return the desired number of engines by failure domain."""
        for domain, engines in seen.domains.items():
            known = self.desired.get(domain, 0)
            if domain not in self.ordered and engines.existing > known:
                self.desired[domain] = engines.existing
        live = [domain for domain in sorted(self.desired) if _serves(seen, domain)]
        if not live:
            return self.desired
        capacity = sum(seen.domains[domain].capacity for domain in live)
        use = _use(seen, live)
        asked = self._recent_asked(seen)
        contended = _is_contended(seen.demand, asked)
        self._learn_rate(seen, capacity, contended)
        by_rate = self._need_by_rate(seen, asked)
        need = max(by_rate, capacity * use / TARGET_USE)
        self._record(_Sample(seen.at, capacity, seen.demand.asked, need))
        whole = len(live) == len(self.desired)
        if whole:
            self.calm_need = max(item.need for item in self._since(seen.at - CALM_MS))
        target = by_rate if use <= HIGH_USE else need
        short = contended or use > HIGH_USE
        if short and use >= MIN_RAISE_USE:
            target = max(target, capacity * MIN_RAISE)
        if not whole:
            target = max(target, self.calm_need)
        if self._raise(seen.at, live, target) or short:
            return self.desired
        if whole and seen.demand.complete:
            self._lower(seen.at, live)
        return self.desired

    def _recent_asked(self, seen: Observation) -> float:
        """Return what was asked per second in the last second.

        The window has gained that second since, and has lost the one before it. What it lost is
        taken from the means of then, the lower of two, because a burst is in one of them only.
        """
        window_ms = seen.demand.window_ms
        before = self._asked_at(seen.at - RECENT_MS)
        lost = self._asked_at(seen.at - window_ms)
        if before is None or lost is None:
            return seen.demand.asked
        earlier = self._asked_at(seen.at - 2 * window_ms)
        gained = (seen.demand.asked - before) * window_ms / RECENT_MS
        return max(0.0, gained + (lost if earlier is None else min(lost, earlier)))

    def _asked_at(self, time: int) -> float | None:
        """Return the mean demand as it was at a time, or None if that is too long ago."""
        before = [item.asked for item in self.samples if item.at <= time]
        return before[-1] if before else None

    def _learn_rate(self, seen: Observation, capacity: float, contended: bool) -> None:
        """Measure what an engine begins per second, which is its rate while there is too much."""
        recent = self._since(seen.at - RECENT_MS)
        mean = (sum(item.capacity for item in recent) + capacity) / (len(recent) + 1)
        measured = seen.demand.begun / mean
        # In its first moment a shortage still has what began before it.
        if contended and self.contended_since is None:
            self.contended_since = seen.at
        elif not contended:
            self.contended_since = None
        lasts = self.contended_since is not None and seen.at - self.contended_since >= SHORTAGE_MS
        if lasts and self.samples:
            elapsed_s = (seen.at - self.samples[-1].at) / 1_000
            self.rate *= max(0.0, 1 - RATE_DECAY_PER_S * elapsed_s)
        if lasts or self.rate:
            self.rate = max(self.rate, measured)

    def _need_by_rate(self, seen: Observation, asked: float) -> float:
        """Return the engines for the demand when engines ordered now will serve."""
        if not self.rate:
            return 0.0
        window_ms = seen.demand.window_ms
        before = self._asked_at(seen.at - window_ms)
        earlier = self._asked_at(seen.at - 2 * window_ms)
        trend = 0.0
        if before is not None and earlier is not None:
            # A step of the demand is no trend: it rises in one of two windows only.
            rise = min(seen.demand.asked - before, before - earlier) / window_ms
            trend = max(0.0, min(MAX_TREND_FRACTION * asked, rise * self.bounds.boot_ms))
        return SPARE_FRACTION * (asked + trend) / self.rate

    def _raise(self, now: int, live: list[str], target: float) -> bool:
        """Order more where the demand has been above the engines for long enough."""
        each = min(self.bounds.max_engines, math.ceil(target / len(live)))
        below = [domain for domain in live if self.desired[domain] < each]
        if not below:
            self.short_since = None
            return False
        if self.short_since is None:
            self.short_since = now
        if now - self.short_since >= SHORTAGE_MS:
            for domain in below:
                self._set(domain, each, now)
        return True

    def _lower(self, now: int, live: list[str]) -> None:
        """Give one engine per domain back after low use for long enough."""
        low_ms = LOW_BOOT_TIMES * self.bounds.boot_ms
        since = self._since(now - low_ms)
        if self.samples[0].at > now - low_ms:
            return
        # Engines that were ordered stay for the same time, and each step waits for the last one.
        lowered = self.changed_at is not None and now - self.changed_at < low_ms
        if lowered:
            return
        peak = max(item.need for item in since)
        each = max(self.bounds.min_engines, math.ceil(SPARE_FRACTION * peak / len(live)))
        for domain in live:
            if self.desired[domain] > each:
                self._set(domain, self.desired[domain] - 1, now)
        if self.changed_at == now:
            self.changed_at = now - low_ms + self.bounds.boot_ms

    def _set(self, domain: str, number: int, now: int) -> None:
        bounds = self.bounds
        self.desired[domain] = max(bounds.min_engines, min(bounds.max_engines, number))
        self.ordered.add(domain)
        self.changed_at = now

    def _record(self, sample: _Sample) -> None:
        self.samples.append(sample)
        kept_ms = max(CALM_MS, LOW_BOOT_TIMES * self.bounds.boot_ms)
        while len(self.samples) > 1 and self.samples[1].at <= sample.at - kept_ms:
            self.samples.popleft()

    def _since(self, time: int) -> list[_Sample]:
        return [item for item in self.samples if item.at > time]


def _serves(seen: Observation, domain: str) -> bool:
    engines = seen.domains.get(domain)
    return engines is not None and engines.serves


def _use(seen: Observation, live: list[str]) -> float:
    slots = sum(seen.domains[domain].slots for domain in live)
    return sum(seen.domains[domain].running for domain in live) / slots if slots else 0.0


def _is_contended(demand: Demand, asked: float) -> bool:
    """Return whether the engines begin less than is asked, or begin it late."""
    if not asked or not demand.begun:
        return False
    return demand.begun < BEGUN_FRACTION * asked or demand.late_fraction > LATE_FRACTION
