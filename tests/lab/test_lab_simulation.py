"""Tests of router decisions in simulations: goals met, tokens prefilled and copied."""

from dataclasses import replace
from unittest import mock

import pytest

from jacinthcove.gateway import admission, placement, prefixcache
from jacinthcove.lab.scenarios import KINDS, SCENARIOS, SMALL_KINDS, Scenario, scaled
from jacinthcove.lab.simulation import LabFleet, Simulation
from jacinthcove.lab.traffic import HotWorkspace, Traffic

SEEDS = (1, 2)
DURATION_MS = 12_000


def simulate(scenario, seed, duration_ms=DURATION_MS):
    return Simulation(scenario.load, scenario.fleet, seed, duration_ms).run()


def goal_fraction(scenario, duration_ms=DURATION_MS):
    return sum(simulate(scenario, seed, duration_ms).all.goal_fraction for seed in SEEDS) / len(
        SEEDS
    )


@pytest.fixture(scope="module")
def busy_goal_fraction():
    return goal_fraction(SCENARIOS["busy"])


def test_a_seed_gives_the_same_results():
    first, second = (simulate(SCENARIOS["calm"], 3, 4_000) for _ in range(2))
    assert first == second
    assert simulate(SCENARIOS["calm"], 4, 4_000) != first


def test_every_call_has_one_outcome():
    scenario = SCENARIOS["engines-lost"]
    calls = list(Traffic(scenario.load, 1).calls(DURATION_MS))
    assert simulate(scenario, 1).all.call_count == len(calls)


def test_goals_are_met_while_the_engines_have_headroom():
    assert goal_fraction(SCENARIOS["calm"]) >= 0.95
    assert goal_fraction(SCENARIOS["roomy"]) >= 0.95


def test_cached_parts_that_fit_are_rarely_prefilled_again():
    results = simulate(SCENARIOS["roomy"], 1)
    assert results.prefilled_again_tokens <= 0.02 * results.prefilled_tokens


def test_evicted_parts_count_as_uncached_at_admission():
    """A hot workspace overflows the prefix caches.

    A router that counts every part an engine has received as cached meets fewer goals.
    """

    def all_received_parts(prompt, target, capacity, sizes, fill_rate):
        received = bool(prompt.parts) and prompt.parts[0].id in target.recent_parts
        return prompt.input_tokens - prompt.own_tokens if received else 0

    scenario = SCENARIOS["hot-workspace"]
    expected = goal_fraction(scenario, 18_000)
    with mock.patch.object(placement, "cached_tokens", all_received_parts):
        assert goal_fraction(scenario, 18_000) < expected - 0.03


def test_waiting_for_a_holder_saves_copies_without_missing_goals():
    """While the queues at holders are short, copies to other engines would fill the caches."""
    scenario = SCENARIOS["hot-workspace"]
    # Covers the whole time in which the workspace is hot, and the recovery.
    with_wait = [simulate(scenario, seed, 22_000) for seed in SEEDS]
    never_wait = mock.patch.object(
        admission.Admission, "_waits_for_holder", lambda self, choice, give_up_at: False
    )
    with never_wait:
        without_wait = [simulate(scenario, seed, 22_000) for seed in SEEDS]
    copied = sum(results.copied_tokens for results in with_wait)
    assert copied < sum(results.copied_tokens for results in without_wait)
    in_goal = sum(results.all.in_goal for results in with_wait)
    assert in_goal >= 0.99 * sum(results.all.in_goal for results in without_wait)


def test_short_retry_after_lets_more_refused_callers_meet_their_goal():
    """A short queue refuses some callers although a slot is free a moment later."""
    scenario = SCENARIOS["one-domain"]
    early_retries = goal_fraction(scenario, 18_000)
    late_retries = (
        mock.patch.object(admission, "RETRY_AFTER_MIN_FRACTION", 1.0),
        mock.patch.object(admission, "RETRY_AFTER_MAX_FRACTION", 2.5),
    )
    with late_retries[0], late_retries[1]:
        assert goal_fraction(scenario, 18_000) < early_retries


def test_a_hot_workspace_does_not_slow_down_the_others():
    load = scaled(SMALL_KINDS, 2.0, skew=0.0, workspaces=8)
    hot = replace(load, hot=(HotWorkspace(0, 8.0, 2_000, DURATION_MS),))
    fleet = LabFleet(engines=6)
    without_hot = simulate(Scenario(load, fleet), 1)
    with_hot = simulate(Scenario(hot, fleet), 1)
    others = [f"w{number}" for number in range(1, 8)]
    before = sum(without_hot.by_workspace[name].goal_fraction for name in others) / len(others)
    after = sum(with_hot.by_workspace[name].goal_fraction for name in others) / len(others)
    assert after >= before - 0.1
    assert with_hot.by_workspace["w0"].in_goal >= without_hot.by_workspace["w0"].in_goal


@pytest.mark.parametrize("factor", [0.5, 2.0])
@pytest.mark.parametrize(
    ("module", "name"),
    [
        (placement, "FETCH_WEIGHT"),
        (placement, "PREFILL_AGAIN_WEIGHT"),
        (placement, "CROSSING_MS_PER_KB"),
        (placement, "UTILIZATION_COST_MS"),
        (prefixcache, "CACHE_FRACTION"),
    ],
)
def test_no_weight_is_overfitted_to_a_load(busy_goal_fraction, module, name, factor):
    """Half or twice a weight may lower the fraction of met goals by 0.03 at most."""
    value = getattr(module, name) * factor
    if name == "CACHE_FRACTION":
        value = 0.7 if factor < 1 else 1.0
    with mock.patch.object(module, name, value):
        assert goal_fraction(SCENARIOS["busy"]) >= busy_goal_fraction - 0.03


def test_request_kinds_occur_at_their_rates():
    calls = list(Traffic(scaled(KINDS, 1.0), 1).calls(30_000))
    for kind in KINDS:
        count = sum(call.kind.name == kind.name for call in calls)
        assert count == pytest.approx(30 * kind.per_s, rel=0.15)
