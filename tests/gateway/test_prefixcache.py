"""Estimate of the cached shared parts of an engine, which evicts the least recently used first."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.model import EngineCapacity, PromptPart, PromptShape
from jacinthcove.gateway.placement import Placement
from jacinthcove.gateway.prefixcache import (
    CACHE_FRACTION,
    FillRate,
    PartSizes,
    cache_capacity_tokens,
    cached_tokens,
)
from jacinthcove.gateway.shares import Standing
from tests.gateway.samples import GOAL_MS, request, target

SHAPE = EngineCapacity(slots=8, memory_tokens=100_000)
CAPACITY = int(CACHE_FRACTION * SHAPE.memory_tokens)
NO_FILL = FillRate()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def sizes():
    return PartSizes()


def prompt(key, tokens, own=500):
    return PromptShape(tokens + own, 100, (PromptPart(key, tokens), PromptPart("own", own)))


def cached(item, wanted, sizes, clock, fill_rate=NO_FILL):
    capacity = cache_capacity_tokens(SHAPE, item.load.memory_tokens)
    return cached_tokens(wanted, item, capacity, sizes, fill_rate)


def use(item, sizes, clock, *prompts):
    for one in prompts:
        sizes.record_prompt(one)
        item.record_parts([part.id for part in one.parts[:-1]])
        clock.advance(10)


def test_a_part_is_cached_while_the_parts_used_after_it_fit(clock, sizes):
    item = target(clock)
    first = prompt("first", 20_000)
    use(item, sizes, clock, first, prompt("b", 30_000), prompt("c", 30_000))
    assert cached(item, first, sizes, clock) == 20_000
    use(item, sizes, clock, prompt("d", 20_000))
    assert cached(item, first, sizes, clock) == 0


def test_a_part_that_is_used_again_stays_cached(clock, sizes):
    item = target(clock)
    first = prompt("first", 20_000)
    use(item, sizes, clock, first, prompt("b", 40_000), first, prompt("c", 40_000))
    assert cached(item, first, sizes, clock) == 20_000
    assert cached(item, prompt("b", 40_000), sizes, clock) == 0


def test_unshared_tokens_evict_parts(clock, sizes):
    item = target(clock)
    first = prompt("first", 20_000)
    use(item, sizes, clock, first)
    fill_rate = FillRate.per_engine(60_000, 6)
    clock.advance(6_000)
    assert cached(item, first, sizes, clock, fill_rate) == 20_000
    clock.advance(2_000)
    assert cached(item, first, sizes, clock, fill_rate) == 0


def test_an_unknown_rate_counts_as_zero(clock, sizes):
    assert FillRate.per_engine(float("inf"), 6) == FillRate.per_engine(60_000, 0) == NO_FILL


def test_running_requests_reduce_the_cache_capacity(clock, sizes):
    item = target(clock)
    first = prompt("first", 20_000)
    use(item, sizes, clock, first)
    item.load.begin("q1", 0, CAPACITY - 20_000)
    assert cached(item, first, sizes, clock) == 20_000
    item.load.begin("q2", 0, 1_000)
    assert cached(item, first, sizes, clock) == 0


def test_a_part_counts_only_if_all_parts_before_it_are_cached(clock, sizes):
    item = target(clock)
    parts = (PromptPart("a", 1_000), PromptPart("b", 2_000), PromptPart("own", 10))
    chain = PromptShape(3_010, 10, parts)
    sizes.record_prompt(chain)
    item.record_parts(["b"])
    assert cached(item, chain, sizes, clock) == 0
    item.record_parts(["a"])
    assert cached(item, chain, sizes, clock) == 3_000


def test_parts_of_unknown_size_count_with_the_mean_size(clock, sizes):
    item = target(clock)
    first = prompt("first", 30_000)
    use(item, sizes, clock, first)
    item.record_parts(["x", "y"])
    assert cached(item, first, sizes, clock) == 30_000
    item.record_parts(["z"])
    assert cached(item, first, sizes, clock) == 0


def test_the_number_of_known_sizes_is_limited(sizes, monkeypatch):
    monkeypatch.setattr("jacinthcove.gateway.prefixcache.MAX_KNOWN_PARTS", 3)
    for number in range(10):
        sizes.record_prompt(prompt(f"p{number}", 100 * number))
    assert len(sizes.known) == 3
    assert sizes.tokens("p0") == sum(sizes.known.values()) / 3 == 800


def test_a_request_for_an_evicted_part_counts_all_its_tokens(clock):
    """The shared prompts exceed the memory, and an evicted part must be prefilled again."""
    placement = Placement("a")
    item = target(clock)
    first = prompt("first", 20_000)

    def choose(wanted):
        asked = request(clock, prompt=wanted)
        found = placement.choose_engine(
            asked, [item], SHAPE, GOAL_MS, Standing.WITHIN, clock.now(), (), 1_000
        )
        item.record_parts([part.id for part in wanted.parts[:-1]])
        return found

    assert choose(first).unread_tokens == 20_500
    assert choose(first).unread_tokens == 500
    for key in "bcd":
        choose(prompt(key, 30_000))
    assert choose(first).unread_tokens == 20_500


def test_the_reuse_distances_follow_the_use_of_parts(clock, sizes):
    item = target(clock)
    first, second = prompt("first", 50_000), prompt("second", 50_000)
    use(item, sizes, clock, first, second)
    assert cached(item, second, sizes, clock) == 50_000
    assert cached(item, first, sizes, clock) == 0
    use(item, sizes, clock, first)
    assert cached(item, first, sizes, clock) == 50_000
    assert cached(item, second, sizes, clock) == 0
    assert cached_tokens(second, item, 10 * CAPACITY, sizes, NO_FILL) == 50_000
    item.merge_parts({"late": clock.now()})
    assert cached_tokens(prompt("late", 10), item, 10 * CAPACITY, sizes, NO_FILL) == 10
