"""The choice of the router that serves a request in place of another one."""

import random

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.directory import Candidate
from jacinthcove.gateway.helpers import LOOKUP_TTL_MS, Helpers

MY_REQUESTS = 100


def candidate(number, open_requests=0, domain="a"):
    return Candidate(f"r{number}", f"10.0.0.{number}:80", domain, open_requests)


@pytest.fixture
def make():
    def make(*candidates):
        clock = ManualClock()
        known = [candidate(0, MY_REQUESTS), *candidates]
        return Helpers(clock, "r0", "a", lambda: known, random.Random(1))

    return make


def chosen(helpers, passed_on=None):
    found = [helpers.choose(MY_REQUESTS, passed_on or {}) for _ in range(60)]
    return {item and item.router for item in found}


def test_a_router_never_helps_itself(make):
    assert chosen(make()) == {None}


def test_helpers_are_of_the_same_failure_domain_while_it_has_several(make):
    assert chosen(make(candidate(1), candidate(2), candidate(3, domain="b"))) == {"r1", "r2"}
    assert chosen(make(candidate(1), candidate(3, domain="b"))) == {"r1", "r3"}


def test_requests_are_spread_and_avoid_the_busiest_router(make):
    found = chosen(make(*(candidate(number, number) for number in range(1, 9))))
    assert len(found) == 7
    assert "r8" not in found


def test_nothing_is_passed_on_in_a_fleet_without_room(make):
    assert chosen(make(candidate(1, 60), candidate(2, 90))) == {None}


def test_requests_that_a_router_passed_on_do_not_make_its_helper_look_full(make):
    passed_on = {"r1": set(range(55)), "r2": set(range(55))}
    assert chosen(make(candidate(1, 60), candidate(2, 60)), passed_on) == {"r1", "r2"}


def test_a_router_that_cannot_be_reached_is_left_out_for_a_while(make):
    helpers = make(candidate(1), candidate(2))
    helpers.choose(MY_REQUESTS, {})
    helpers.record_unreachable("r1")
    assert chosen(helpers) == {"r2"}
    helpers.clock.advance(LOOKUP_TTL_MS)
    assert chosen(helpers) == {"r1", "r2"}
