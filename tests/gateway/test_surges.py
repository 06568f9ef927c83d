"""Many routers that learn of each other's requests late, and one target with few places."""

from random import Random

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.surges import EPOCH_MS, HALF_LIFE_MS, LEAST_PART, Surges

PLACES = 12


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def surges(clock):
    return Surges(clock)


def let_through(surges, free, count=2_000):
    return sum(surges.lets(f"q{number}", "t1", free) for number in range(count)) / count


def surge(surges, clock, least, most):
    surges.note(least, PLACES)
    clock.advance(200)
    surges.note(most, PLACES)


def test_everything_is_let_through_before_a_surge(surges):
    surges.note(11, PLACES)
    assert let_through(surges, 1) == 1.0


def test_after_a_surge_as_many_are_let_through_as_there_are_places(surges, clock):
    surge(surges, clock, 9, 33)
    assert let_through(surges, 3) == pytest.approx(3 / 24, abs=0.03)
    assert let_through(surges, 0) == pytest.approx(LEAST_PART, abs=0.02)
    assert let_through(surges, PLACES * 2) == 1.0


def test_a_request_that_asks_again_at_once_hears_the_same(surges, clock):
    surge(surges, clock, 9, 33)
    clock.advance(EPOCH_MS - clock.now() % EPOCH_MS)
    asked = [surges.lets("q1", "t1", 3) for _ in range(20)]
    clock.advance(EPOCH_MS - 1)
    assert {*asked, surges.lets("q1", "t1", 3)} == {asked[0]}


def test_a_surge_is_forgotten(surges, clock):
    surge(surges, clock, 9, 33)
    clock.advance(4 * HALF_LIFE_MS)
    assert let_through(surges, 3) == 1.0


def test_what_was_held_back_counts_as_demand(surges, clock):
    surge(surges, clock, 8, 32)
    before = surges.part(4)
    clock.advance(600)
    surge(surges, clock, 8, 12)
    assert surges.part(4) <= 1.5 * before


def most_at_once(clock, thinned, routers=28, late_ms=250, run_ms=2_000):
    """Return the most requests at the target, after some seconds, when all routers want it."""
    rng = Random(1)
    surges = Surges(clock)
    ends, history, most = [], [0] * (late_ms // 10), 0
    for step in range(1_500):
        ends = [end for end in ends if end > step * 10]
        known = history[-(late_ms // 10)]
        if step % 20 == 0:
            surges.note(known, PLACES)
        free = PLACES - known
        for router in range(routers):
            if rng.random() < 0.1 and free > 0:
                name = f"q{step}-{router}"
                if not thinned or surges.lets(name, "t1", free):
                    ends.append(step * 10 + rng.uniform(0.5, 1.5) * run_ms)
        history.append(len(ends))
        clock.advance(10)
        if step > 300:
            most = max(most, len(ends))
    return most


def test_few_places_are_not_taken_by_all_routers_at_once(clock):
    assert most_at_once(clock, thinned=False) > 4 * PLACES
    assert most_at_once(clock, thinned=True) < 2 * PLACES
