"""Compares the time to the first event of each version with the time that its load explains.

A slow version that gets a small share of the requests has idle targets, which respond as fast as
the busy targets of the old version. So versions are compared by slowdown, the time to the first
event divided by the expected time. Requests that still wait for their first event count as well,
because the responses that have started are the fast ones.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from jacinthcove.mesh import mesh_pb2 as pb

# Shorter waits depend on the network and on the engine's step, not on the load.
MIN_EXPECTED_MS = 30.0
# Two slowdowns in one bucket differ by less than the square root of two.
BUCKETS_PER_DOUBLING = 2
BUCKETS = 16
# The first bucket ends at this slowdown.
FIRST_BUCKET_SLOWDOWN = 0.25
# A broken request without an event that waited this many times the expected time counts as slow.
OVERDUE_SLOWDOWN = 4.0
# The results that a comparison needs of each version.
MIN_COMPARED = 15
# Standard deviations above chance from which a difference is significant, or likely.
SIGNIFICANT_DEVIATIONS = 3.5
LIKELY_DEVIATIONS = 0.5


def slowdown(waited_ms: float, expected_ms: float) -> float:
    """Return how many times the expected time a request waited."""
    return waited_ms / max(MIN_EXPECTED_MS, expected_ms)


def bucket_of(ratio: float) -> int:
    """Return the bucket of a slowdown."""
    if ratio <= FIRST_BUCKET_SLOWDOWN:
        return 0
    doublings = math.log2(ratio / FIRST_BUCKET_SLOWDOWN)
    return min(BUCKETS - 1, 1 + int(BUCKETS_PER_DOUBLING * doublings))


@dataclass(frozen=True)
class FirstEventCounts:
    """Counts of requests to a version: sent, failed, and the rest by slowdown bucket."""

    sent: int = 0
    failed: int = 0
    slowdowns: tuple[int, ...] = (0,) * BUCKETS

    @property
    def resolved(self) -> int:
        """Return the number of requests whose outcome is known."""
        return self.failed + sum(self.slowdowns)

    def resolved_fraction(self) -> float:
        """Return the fraction of the requests whose outcome is known, 1 if none was sent."""
        return min(1.0, self.resolved / self.sent) if self.sent else 1.0

    def plus(self, other: "FirstEventCounts") -> "FirstEventCounts":
        """Return the sum of both counts."""
        pairs = zip(self.slowdowns, other.slowdowns, strict=True)
        return FirstEventCounts(
            self.sent + other.sent, self.failed + other.failed, tuple(a + b for a, b in pairs)
        )


@dataclass(frozen=True)
class Comparison:
    """How likely the new version is slower than the old one.

    `probability` is that of a new result being slower than an old one, 0.5 if the versions are
    equal. `deviations` is how many standard deviations it lies above 0.5.
    """

    probability: float = 0.5
    deviations: float = 0.0

    def is_significant(self, probability: float) -> bool:
        """Return whether the difference is significant and its probability at least this."""
        return self.deviations >= SIGNIFICANT_DEVIATIONS and self.probability >= probability

    @property
    def is_likely_slower(self) -> bool:
        """Return whether the new version looks slower."""
        return self.deviations >= LIKELY_DEVIATIONS


def compare(new: FirstEventCounts, old: FirstEventCounts) -> Comparison:
    """Compare slowdowns by rank (Mann-Whitney), so that single outliers have little weight."""
    new_total, old_total = sum(new.slowdowns), sum(old.slowdowns)
    if new_total < MIN_COMPARED or old_total < MIN_COMPARED:
        return Comparison()
    slower_pairs, old_below = 0.0, 0
    for new_count, old_count in zip(new.slowdowns, old.slowdowns, strict=True):
        slower_pairs += new_count * (old_below + old_count / 2)
        old_below += old_count
    probability = slower_pairs / (new_total * old_total)
    standard_deviation = math.sqrt((new_total + old_total + 1) / (12 * new_total * old_total))
    return Comparison(probability, (probability - 0.5) / standard_deviation)


@dataclass(frozen=True)
class FirstEventKey:
    """One version on one route of a service, in one step of a rollout."""

    rollout_id: str
    step: int
    route: str
    version: str


class FirstEventLog:
    """The counts of this router; they only rise while their rollout is active."""

    def __init__(self) -> None:
        self.by_key: dict[FirstEventKey, FirstEventCounts] = {}

    def record_sent(self, key: FirstEventKey) -> None:
        """Count a request sent to a version."""
        self._add_counts(key, FirstEventCounts(sent=1))

    def record_failed(self, key: FirstEventKey) -> None:
        """Count a request that ended without an event and is no evidence about the speed."""
        self._add_counts(key, FirstEventCounts(failed=1))

    def record_slowdown(self, key: FirstEventKey, ratio: float) -> None:
        """Count a request whose first event arrived, or that waited too long for it."""
        bucket = bucket_of(ratio)
        self._add_counts(
            key, FirstEventCounts(slowdowns=tuple(int(n == bucket) for n in range(BUCKETS)))
        )

    def retain_only(self, rollout_ids: set[str]) -> None:
        """Drop the counts of all other rollouts."""
        self.by_key = {
            key: item for key, item in self.by_key.items() if key.rollout_id in rollout_ids
        }

    def to_messages(self) -> list[pb.FirstEvents]:
        """Return all counts as mesh messages."""
        return [
            pb.FirstEvents(
                order=key.rollout_id,
                step=key.step,
                route=key.route,
                version=key.version,
                sent=item.sent,
                failed=item.failed,
                slowdowns=item.slowdowns,
            )
            for key, item in self.by_key.items()
        ]

    def _add_counts(self, key: FirstEventKey, counts: FirstEventCounts) -> None:
        self.by_key[key] = self.by_key.get(key, FirstEventCounts()).plus(counts)


class FleetFirstEvents:
    """The counts of all routers: the newest report of each incarnation of a router."""

    def __init__(self) -> None:
        self.latest: dict[tuple[str, int], dict[FirstEventKey, FirstEventCounts]] = {}

    def merge_report(
        self, router: str, incarnation: int, messages: Iterable[pb.FirstEvents]
    ) -> None:
        """Merge the report of a router; older counts and unknown bucket layouts are ignored."""
        counts_by_key = self.latest.setdefault((router, incarnation), {})
        for message in messages:
            key = FirstEventKey(message.order, message.step, message.route, message.version)
            item = FirstEventCounts(message.sent, message.failed, tuple(message.slowdowns))
            previous = counts_by_key.get(key)
            if len(item.slowdowns) == BUCKETS and (previous is None or item.sent >= previous.sent):
                counts_by_key[key] = item

    def retain_only(self, rollout_ids: set[str]) -> None:
        """Drop the counts of all other rollouts."""
        for router, counts_by_key in self.latest.items():
            self.latest[router] = {
                key: v for key, v in counts_by_key.items() if key.rollout_id in rollout_ids
            }

    def routes(self, rollout_id: str) -> list[str]:
        """Return the routes that have counts for a rollout."""
        keys = (key for counts_by_key in self.latest.values() for key in counts_by_key)
        return sorted({key.route for key in keys if key.rollout_id == rollout_id})

    def total(
        self, rollout_id: str, version: str, step: int | None = None, route: str | None = None
    ) -> FirstEventCounts:
        """Return the sum over all routers; None for `step` or `route` sums over all of them."""
        total = FirstEventCounts()
        for counts_by_key in self.latest.values():
            for key, item in counts_by_key.items():
                selected = step in (None, key.step) and route in (None, key.route)
                if key.rollout_id == rollout_id and key.version == version and selected:
                    total = total.plus(item)
        return total
