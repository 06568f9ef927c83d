"""Limits that hold over all routers: cold targets and the retry budget."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.coldlimit import WINDOW_MS, ColdLimit
from jacinthcove.gateway.fleetparts import SETTLE_MS, FleetParts
from jacinthcove.gateway.retrybudget import WindowedRetryBudget


@pytest.fixture
def clock():
    return ManualClock()


def fleet_parts(clock, routers):
    names = [f"r{number}" for number in range(routers)]
    parts = [FleetParts(clock, name) for name in names]
    for item in parts:
        item.note(names)
    return parts


@pytest.mark.parametrize(("rate", "routers"), [(26.0, 8), (20.8, 8), (26.0, 88), (3.0, 1)])
def test_parts_of_all_routers_add_up_to_the_rate(clock, rate, routers):
    fleet = fleet_parts(clock, routers)
    for target in ("t1", "t2", "t3"):
        parts = [item.part(target, rate) for item in fleet]
        assert sum(parts) == int(rate)
        assert max(parts) - min(parts) <= 1


def test_every_router_of_a_large_fleet_has_cold_targets_to_send_to(clock):
    targets = [f"t{number}" for number in range(30)]
    for item in fleet_parts(clock, 88):
        assert sum(item.part(target, 23.0) for target in targets) >= 1


def test_a_router_that_knows_no_others_has_no_part(clock):
    parts = FleetParts(clock, "r1")
    assert (parts.part("t1", 26.0), parts.even_part(161.0), parts.routers) == (0, 0, 0)


def test_a_part_grows_only_when_the_others_know_why(clock):
    parts = FleetParts(clock, "r0")
    parts.note(["r0", "r1", "r2", "r3"])
    parts.note(["r0"])
    assert (parts.part("t1", 8.0), parts.even_part(8.0)) == (2, 2)
    clock.advance(SETTLE_MS)
    assert (parts.part("t1", 8.0), parts.even_part(8.0)) == (8, 8)


def test_no_second_holds_more_than_the_limit(clock):
    limit = ColdLimit(clock)
    sent = []
    for number in range(4_000):
        if limit.allows("t1", 3) and limit.send("t1", f"q{number}", 3):
            sent.append(clock.now())
        clock.advance(1)
    assert len(sent) > 9
    assert all(sum(at <= other < at + 1_000 for other in sent) <= 3 for at in sent)


def test_sends_to_a_warm_target_count_when_it_turns_cold(clock):
    limit = ColdLimit(clock)
    for number in range(5):
        assert limit.send("t1", f"q{number}", None)
    assert not limit.allows("t1", 3)
    assert not limit.send("t1", "q5", 3)
    clock.advance(WINDOW_MS)
    assert limit.allows("t1", 3)


def test_a_choice_that_is_not_sent_leaves_room_for_another(clock):
    limit = ColdLimit(clock)
    limit.choose("t1", "q1")
    assert not limit.allows("t1", 1)
    limit.forget("t1", "q1")
    assert limit.allows("t1", 1)


def test_requests_before_a_suspension_earn_no_repeats_after_it(clock):
    budget = WindowedRetryBudget(clock, 10_000, 0.2, lambda: 0)
    for _ in range(50):
        budget.request("models")
    assert budget.take("models")
    clock.suspend(10_000)
    assert not budget.take("models")


def test_retry_budget_is_a_ratio_of_the_window_plus_a_slack(clock):
    budget = WindowedRetryBudget(clock, 10_000, 0.2, lambda: 5)
    for _ in range(50):
        budget.request("models")
    assert sum(budget.take("models") for _ in range(100)) == 15
    assert not budget.take("models")
    clock.advance(10_000)
    assert sum(budget.take("models") for _ in range(100)) == 5
    assert budget.take("ledger")
