"""Which shared parts an engine still keeps: least recently used ones go first."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.keptparts import (
    KEPT_PART,
    PartSizes,
    Turnover,
    kept_tokens,
    room_for_parts,
)
from jacinthcove.gateway.model import EngineShape, PromptPart, PromptShape
from jacinthcove.gateway.placement import Placement
from jacinthcove.gateway.shares import Standing
from tests.gateway.samples import GOAL_MS, request, target

SHAPE = EngineShape(slots=8, memory_tokens=100_000)
ROOM = int(KEPT_PART * SHAPE.memory_tokens)
NOTHING_ELSE = Turnover()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def sizes():
    return PartSizes()


def prompt(key, tokens, own=500):
    return PromptShape(tokens + own, 100, (PromptPart(key, tokens), PromptPart("own", own)))


def kept(item, wanted, sizes, clock, turnover=NOTHING_ELSE):
    room = room_for_parts(SHAPE, item.load.memory_tokens)
    return kept_tokens(wanted, item, room, sizes, turnover)


def use(item, sizes, clock, *prompts):
    for one in prompts:
        sizes.note(one)
        item.note_parts([part.id for part in one.parts[:-1]])
        clock.advance(10)


def test_a_part_is_kept_while_what_came_after_it_fits(clock, sizes):
    item = target(clock)
    first = prompt("first", 20_000)
    use(item, sizes, clock, first, prompt("b", 30_000), prompt("c", 30_000))
    assert kept(item, first, sizes, clock) == 20_000
    use(item, sizes, clock, prompt("d", 20_000))
    assert kept(item, first, sizes, clock) == 0


def test_a_part_that_is_used_again_stays(clock, sizes):
    item = target(clock)
    first = prompt("first", 20_000)
    use(item, sizes, clock, first, prompt("b", 40_000), first, prompt("c", 40_000))
    assert kept(item, first, sizes, clock) == 20_000
    assert kept(item, prompt("b", 40_000), sizes, clock) == 0


def test_tokens_of_single_requests_push_parts_out(clock, sizes):
    item = target(clock)
    first = prompt("first", 20_000)
    use(item, sizes, clock, first)
    turnover = Turnover.of_fleet(60_000, 6)
    clock.advance(6_000)
    assert kept(item, first, sizes, clock, turnover) == 20_000
    clock.advance(2_000)
    assert kept(item, first, sizes, clock, turnover) == 0


def test_an_unknown_rate_counts_as_none(clock, sizes):
    assert Turnover.of_fleet(float("inf"), 6) == Turnover.of_fleet(60_000, 0) == NOTHING_ELSE


def test_running_requests_take_memory_from_parts(clock, sizes):
    item = target(clock)
    first = prompt("first", 20_000)
    use(item, sizes, clock, first)
    item.load.begin("q1", 0, ROOM - 20_000)
    assert kept(item, first, sizes, clock) == 20_000
    item.load.begin("q2", 0, 1_000)
    assert kept(item, first, sizes, clock) == 0


def test_a_part_is_of_use_only_with_all_parts_before_it(clock, sizes):
    item = target(clock)
    parts = (PromptPart("a", 1_000), PromptPart("b", 2_000), PromptPart("own", 10))
    chain = PromptShape(3_010, 10, parts)
    sizes.note(chain)
    item.note_parts(["b"])
    assert kept(item, chain, sizes, clock) == 0
    item.note_parts(["a"])
    assert kept(item, chain, sizes, clock) == 3_000


def test_parts_that_only_others_have_seen_count_with_the_mean(clock, sizes):
    item = target(clock)
    first = prompt("first", 30_000)
    use(item, sizes, clock, first)
    item.note_parts(["x", "y"])
    assert kept(item, first, sizes, clock) == 30_000
    item.note_parts(["z"])
    assert kept(item, first, sizes, clock) == 0


def test_known_sizes_are_bounded(sizes, monkeypatch):
    monkeypatch.setattr("jacinthcove.gateway.keptparts.MAX_SIZES", 3)
    for number in range(10):
        sizes.note(prompt(f"p{number}", 100 * number))
    assert len(sizes.known) == 3
    assert sizes.tokens("p0") == sum(sizes.known.values()) / 3 == 800


def test_a_request_for_an_evicted_part_counts_as_the_long_one_that_it_is(clock):
    """A working set beyond the memory: what must be read again takes its time at the engine."""
    placement = Placement("a")
    item = target(clock)
    first = prompt("first", 20_000)

    def choose(wanted):
        asked = request(clock, prompt=wanted)
        found = placement.choose_engine(
            asked, [item], SHAPE, GOAL_MS, Standing.WITHIN, clock.now(), (), 1_000
        )
        item.note_parts([part.id for part in wanted.parts[:-1]])
        return found

    assert choose(first).unread_tokens == 20_500
    assert choose(first).unread_tokens == 500
    for key in "bcd":
        choose(prompt(key, 30_000))
    assert choose(first).unread_tokens == 20_500


def test_the_order_of_parts_follows_what_is_used(clock, sizes):
    item = target(clock)
    first, second = prompt("first", 50_000), prompt("second", 50_000)
    use(item, sizes, clock, first, second)
    assert kept(item, second, sizes, clock) == 50_000
    assert kept(item, first, sizes, clock) == 0
    use(item, sizes, clock, first)
    assert kept(item, first, sizes, clock) == 50_000
    assert kept(item, second, sizes, clock) == 0
    assert kept_tokens(second, item, 10 * ROOM, sizes, NOTHING_ELSE) == 50_000
    item.merge_parts({"late": clock.now()})
    assert kept_tokens(prompt("late", 10), item, 10 * ROOM, sizes, NOTHING_ELSE) == 10
