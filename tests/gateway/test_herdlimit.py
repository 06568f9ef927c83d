"""Many routers with delayed reports of each other's requests, and one target with few slots."""

from random import Random

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.herdlimit import EPOCH_MS, HALF_LIFE_MS, MIN_FRACTION, HerdLimiter

SLOTS = 12


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def limiter(clock):
    return HerdLimiter(clock)


def admitted_fraction(limiter, free, count=2_000):
    return sum(limiter.admits(f"q{number}", "t1", free) for number in range(count)) / count


def herd(limiter, clock, least, most):
    limiter.record_running(least, SLOTS)
    clock.advance(200)
    limiter.record_running(most, SLOTS)


def test_all_requests_are_admitted_before_a_herd(limiter):
    limiter.record_running(11, SLOTS)
    assert admitted_fraction(limiter, 1) == 1.0


def test_after_a_herd_as_many_requests_are_admitted_as_slots_are_free(limiter, clock):
    herd(limiter, clock, 9, 33)
    assert admitted_fraction(limiter, 3) == pytest.approx(3 / 24, abs=0.03)
    assert admitted_fraction(limiter, 0) == pytest.approx(MIN_FRACTION, abs=0.02)
    assert admitted_fraction(limiter, SLOTS * 2) == 1.0


def test_an_immediate_retry_gets_the_same_decision(limiter, clock):
    herd(limiter, clock, 9, 33)
    clock.advance(EPOCH_MS - clock.now() % EPOCH_MS)
    asked = [limiter.admits("q1", "t1", 3) for _ in range(20)]
    clock.advance(EPOCH_MS - 1)
    assert {*asked, limiter.admits("q1", "t1", 3)} == {asked[0]}


def test_the_demand_of_a_herd_decays(limiter, clock):
    herd(limiter, clock, 9, 33)
    clock.advance(4 * HALF_LIFE_MS)
    assert admitted_fraction(limiter, 3) == 1.0


def test_requests_that_were_not_admitted_count_as_demand(limiter, clock):
    herd(limiter, clock, 8, 32)
    before = limiter.fraction(4)
    clock.advance(600)
    herd(limiter, clock, 8, 12)
    assert limiter.fraction(4) <= 1.5 * before


def max_in_flight(clock, limited, routers=28, late_ms=250, run_ms=2_000):
    """Return the maximum of requests at the target, after some seconds, when all routers use it."""
    rng = Random(1)
    limiter = HerdLimiter(clock)
    ends, history, most = [], [0] * (late_ms // 10), 0
    for step in range(1_500):
        ends = [end for end in ends if end > step * 10]
        known = history[-(late_ms // 10)]
        if step % 20 == 0:
            limiter.record_running(known, SLOTS)
        free = SLOTS - known
        for router in range(routers):
            if rng.random() < 0.1 and free > 0:
                name = f"q{step}-{router}"
                if not limited or limiter.admits(name, "t1", free):
                    ends.append(step * 10 + rng.uniform(0.5, 1.5) * run_ms)
        history.append(len(ends))
        clock.advance(10)
        if step > 300:
            most = max(most, len(ends))
    return most


def test_routers_do_not_all_use_the_same_few_free_slots(clock):
    assert max_in_flight(clock, limited=False) > 4 * SLOTS
    assert max_in_flight(clock, limited=True) < 2 * SLOTS
