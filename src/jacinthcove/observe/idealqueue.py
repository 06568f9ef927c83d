"""Computes how many requests an ideal queue could have answered within their latency goals.

All engines are modelled as one that prefills at the sum of their speeds, knows each request from
the moment at which the queue was last empty, has all shared parts cached, and generates output at
no cost. No real queue does better, so the result is an upper bound. Requests that this queue loses
exceed the capacity; further losses of the routers can be avoided.
"""

import heapq
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from jacinthcove.observe.loglines import LogLine

ARRIVED = "requests_arrived"


@dataclass(frozen=True)
class Arrival:
    """A request to an engine; times are ms, `tokens` are its prompt tokens outside shared parts."""

    at_ms: float
    tokens: int
    goal_ms: float


@dataclass(frozen=True)
class Capacity:
    """The prompt tokens that all engines together prefill per ms, from `from_ms` on."""

    from_ms: float
    tokens_per_ms: float


class CumulativeCapacity:
    """The prompt tokens that the engines can prefill up to a time."""

    def __init__(self, capacities: Sequence[Capacity]):
        self.capacities = sorted(capacities, key=lambda item: item.from_ms)
        self.tokens_before = [0.0]
        for item, following in zip(self.capacities, self.capacities[1:], strict=False):
            tokens = (following.from_ms - item.from_ms) * item.tokens_per_ms
            self.tokens_before.append(self.tokens_before[-1] + tokens)

    def tokens_until(self, at_ms: float) -> float:
        """Return the tokens from the first capacity's time until `at_ms`."""
        total = 0.0
        for item, tokens_before in zip(self.capacities, self.tokens_before, strict=False):
            if item.from_ms > at_ms:
                break
            total = tokens_before + (at_ms - item.from_ms) * item.tokens_per_ms
        return total


def max_within_goal(arrivals: Iterable[Arrival], capacities: Sequence[Capacity]) -> int:
    """Return how many of the requests an ideal queue answers within their goals."""
    capacity = CumulativeCapacity(capacities)
    answered = 0
    busy_period: list[tuple[float, int]] = []
    begin = end = 0.0
    for arrival in sorted(arrivals, key=lambda item: item.at_ms):
        now = capacity.tokens_until(arrival.at_ms)
        deadline = capacity.tokens_until(arrival.at_ms + arrival.goal_ms)
        if now + arrival.tokens > deadline:
            continue
        if now >= end:
            answered += _max_jobs_on_time(busy_period)
            busy_period, begin, end = [], now, now
        busy_period.append((deadline - begin, arrival.tokens))
        end += arrival.tokens
    return answered + _max_jobs_on_time(busy_period)


def _max_jobs_on_time(jobs: list[tuple[float, int]]) -> int:
    """Return how many jobs (deadline, work) one machine finishes on time (Moore-Hodgson)."""
    total = 0.0
    chosen: list[int] = []
    for deadline, work in sorted(jobs):
        total += work
        heapq.heappush(chosen, -work)
        if total > deadline:
            total += heapq.heappop(chosen)
    return len(chosen)


def arrivals_from_lines(lines: Iterable[LogLine]) -> list[Arrival]:
    """Return the requests from the arrival lines of routers."""
    return [
        Arrival(at * 1000 - before_ms, tokens, goal_ms)
        for at, line in lines
        if line.get("event") == ARRIVED
        for before_ms, tokens, goal_ms in line["requests"]
    ]


def capacities_from_lines(lines: Iterable[LogLine], period_ms: float = 1_000) -> list[Capacity]:
    """Return the prefill capacity of the engines in each period.

    Routers learn of engines and of their speed at different times. So the largest number that any
    router knew in a period counts, at the highest speed of all periods.
    """
    engines: dict[int, int] = {}
    speed = 0.0
    for at, line in lines:
        if line.get("event") == ARRIVED:
            period = int(at * 1000 // period_ms)
            engines[period] = max(engines.get(period, 0), line["engines"])
            speed = max(speed, line["tokens_per_ms"])
    return [Capacity(period * period_ms, speed * count) for period, count in engines.items()]
