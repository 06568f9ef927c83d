"""The targets that one choice compares in fleets with many targets."""

from random import Random
from unittest import mock

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway import placement as placement_module
from jacinthcove.gateway.placement import Placement
from jacinthcove.gateway.sampling import (
    MAX_COMPARED,
    SAME_DOMAIN_SAMPLE,
    SAMPLE_SIZE,
    sample_targets,
)
from jacinthcove.gateway.shares import Standing
from tests.gateway.samples import GOAL_MS, SHAPE, prompt, request, target


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def many(clock):
    return [target(clock, f"t{n:03}", failure_domain="abc"[n % 3]) for n in range(140)]


def choose(targets, clock, rng_seed=1, **fields):
    placement = Placement("a", rng=Random(rng_seed))
    return placement.choose_engine(
        request(clock, **fields), targets, SHAPE, GOAL_MS, Standing.WITHIN, clock.now()
    )


def test_a_choice_among_many_targets_costs_no_more_than_among_a_few(clock, many):
    with mock.patch.object(
        placement_module, "has_capacity", side_effect=placement_module.has_capacity
    ) as compared:
        choose(many, clock)
    # The owner of the prompt's parts is compared as well.
    assert compared.call_count <= MAX_COMPARED + 1


def test_all_targets_of_a_small_fleet_are_compared(many):
    few = many[:MAX_COMPARED]
    assert sample_targets(few, "doc", "a", Random(1)) == few


def test_a_holder_of_the_parts_is_chosen_among_many_targets(clock, many):
    many[77].record_parts(["doc"])
    assert {choose(many, clock, seed).target.record.id for seed in range(20)} == {"t077"}


def test_all_routers_choose_the_same_owner_for_new_parts_among_many_targets(clock, many):
    assert len({choose(many, clock, seed).target.record.id for seed in range(20)}) == 1


def test_requests_without_shared_parts_spread_over_many_targets(clock, many):
    alone = prompt(shared=0)
    chosen = {choose(many, clock, seed, prompt=alone).target.record.id for seed in range(60)}
    assert len(chosen) >= 20


def test_most_compared_targets_are_in_the_failure_domain_of_the_router(many):
    sampled = sample_targets(many, "", "b", Random(1))
    assert sum(item.record.failure_domain == "b" for item in sampled) == SAME_DOMAIN_SAMPLE


def test_targets_of_other_domains_are_compared_when_those_of_the_own_one_are_gone(many):
    others = [item for item in many if item.record.failure_domain != "b"]
    assert len(sample_targets(others, "", "b", Random(1))) == SAMPLE_SIZE
    same = [item for item in many if item.record.failure_domain == "b"]
    assert len(sample_targets(same, "", "b", Random(1))) == SAMPLE_SIZE
