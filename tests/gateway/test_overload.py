"""Routers that the directory leaves out because they are overloaded."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.overload import (
    MIN_OPEN_REQUESTS,
    OVERLOAD_FACTOR,
    OVERLOAD_PATIENCE_MS,
    RELIEF_MS,
    START_MS,
    CallerRelief,
    overloaded,
)


def test_a_router_with_far_more_callers_than_the_others_is_overloaded():
    assert overloaded({"r1": 400, "r2": 20, "r3": 30, "r4": 25}) == {"r1"}


def test_no_router_is_overloaded_by_a_high_but_even_load():
    assert not overloaded({f"r{n}": 900 + n for n in range(8)})


def test_no_router_is_overloaded_by_few_callers():
    assert not overloaded({"r1": MIN_OPEN_REQUESTS, "r2": 1, "r3": 1, "r4": 0})


def test_the_limit_follows_the_median():
    others = {f"r{n}": 100 for n in range(6)}
    assert not overloaded(others | {"r9": int(100 * OVERLOAD_FACTOR)})
    assert overloaded(others | {"r9": int(100 * OVERLOAD_FACTOR) + 1}) == {"r9"}


def test_most_routers_stay_in_the_directory():
    loads = {"r1": 900, "r2": 800, "r3": 700} | {f"r{n}": 1 for n in range(4, 9)}
    assert overloaded(loads) == {"r1", "r2"}
    assert not overloaded({"r1": 900, "r2": 1})
    assert not overloaded({})


def test_a_late_router_is_left_out_with_few_callers_too():
    loads = {"r1": 12, "r2": 10, "r3": 11, "r4": 1}
    assert overloaded(loads, {"r1"}) == {"r1"}


def test_at_most_a_third_of_the_routers_is_left_out_when_most_are_late():
    loads = {f"r{n}": 10 + n for n in range(9)}
    late = {f"r{n}" for n in range(8)}
    assert overloaded(loads, late) == {"r7", "r6", "r5"}


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def relief(clock):
    relief = CallerRelief(clock)
    clock.advance(START_MS)
    return relief


def sample(relief, clock, overloaded, for_ms):
    for _ in range(for_ms // 250):
        relief.sample(overloaded)
        clock.advance(250)


def test_a_router_to_which_a_balancer_keeps_a_workspace_passes_it_on(relief, clock):
    sample(relief, clock, True, OVERLOAD_PATIENCE_MS + 250)
    assert relief.is_relieved()


def test_a_short_delay_does_not_move_callers(relief, clock):
    for _ in range(5):
        sample(relief, clock, True, OVERLOAD_PATIENCE_MS)
        sample(relief, clock, False, 250)
    assert not relief.is_relieved()


def test_callers_do_not_return_as_soon_as_the_router_has_recovered(relief, clock):
    sample(relief, clock, True, OVERLOAD_PATIENCE_MS + 250)
    sample(relief, clock, False, RELIEF_MS - 500)
    assert relief.is_relieved()
    sample(relief, clock, False, 500)
    assert not relief.is_relieved()


def test_the_start_of_a_fleet_does_not_make_its_routers_unready(clock):
    relief = CallerRelief(clock)
    sample(relief, clock, True, START_MS)
    assert not relief.is_relieved()
