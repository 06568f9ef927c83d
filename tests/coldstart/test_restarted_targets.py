"""A target that starts again under its id is spared, however late routers know of it."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.fleetquota import FleetQuota
from tests.coldstart.restart_bed import ALLOWED_PER_S, COLD_MS, Play, Router, Start

VIEW_LAG_MS = st.one_of(st.integers(0, 300), st.integers(0, 6_000))


@st.composite
def plays(draw, sizes=(8, 81)):
    routers = draw(st.sampled_from(sizes))
    down_at = draw(st.integers(500, 1_500))
    play = Play(
        routers,
        load_per_s=draw(st.sampled_from((12.0, 30.0, 60.0))),
        entry_lag_ms=draw(st.integers(0, 1_300)),
        view_lags_ms=draw(st.lists(VIEW_LAG_MS, min_size=routers, max_size=routers)),
        seed=draw(st.integers(0, 1_000)),
        down_at=down_at,
        up_at=down_at + draw(st.sampled_from((50, 400, 1_200, 4_000))),
    )
    play.max_delay_ms = draw(st.sampled_from((0, 200, 1_500)))
    for number in draw(st.lists(st.integers(0, routers - 1), max_size=4)):
        play.frozen_until[number] = play.second.at + draw(st.integers(-500, 4_000))
    return play


@given(plays())
def test_restart_under_the_same_id_does_not_flood_the_cold_target(play):
    play.run(10_000)
    assert play.most_while_cold() <= ALLOWED_PER_S


@pytest.mark.parametrize("seed", [1, 2])
def test_restart_does_not_flood_the_cold_target_in_a_fleet_of_300_routers(seed):
    lags = [(number * 37 + seed * 501) % 5_000 for number in range(300)]
    play = Play(300, 60.0, 600, lags, seed, down_at=1_000, up_at=2_200)
    play.max_delay_ms = 300
    play.run(7_000)
    assert play.most_while_cold() <= ALLOWED_PER_S


def test_warm_target_gets_its_load_at_once():
    play = Play(81, 60.0, 200, [300] * 81, 1, down_at=1_000, up_at=2_000)
    play.run(9_000)
    second = play.second
    warm_at = second.at + COLD_MS + 700
    served = sum(warm_at <= at < warm_at + 1_000 for at in second.arrivals)
    assert served >= 50


def test_report_of_an_ended_start_that_is_read_late_does_not_bring_it_back():
    clock = ManualClock()
    quota = FleetQuota(clock, "r1")
    first = Start(clock.now() - 60_000, clock.now(), False)
    second = Start(clock.now() + 500, 1 << 60, True)
    router = Router("r1", clock, quota, first)
    router.registry.put(second.record(second.at), 2)
    starts, target = router.starts, router.target
    assert not starts.record_read(target, first.started_at, first.started_at)
    assert target.record.started_at == second.started_at


def test_report_of_what_listens_at_a_former_address_says_nothing_of_the_target():
    clock = ManualClock()
    first = Start(clock.now() - 60_000, clock.now(), False)
    router = Router("r1", clock, FleetQuota(clock, "r1"), first)
    former = router.target
    moved = replace(first.record(), address="10.0.0.9:80", started_at=2_000_000)
    router.registry.put(moved, 2)
    assert not router.starts.record_read(former, first.started_at, 1_999_000)
    router.registry.put(replace(moved, leaving=True), 3)
    assert router.target.record.started_at == 2_000_000
    assert not router.registry.usable("models")
