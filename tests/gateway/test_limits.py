"""Limits that hold over all routers: cold targets and the retry budget."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.coldlimit import WINDOW_MS, ColdLimit
from jacinthcove.gateway.retrybudget import WindowedRetryBudget


@pytest.fixture
def clock():
    return ManualClock()


@pytest.mark.parametrize(("rate", "routers"), [(26.0, 8), (20.8, 8), (26.0, 88), (3.0, 1)])
def test_parts_of_all_routers_add_up_to_the_rate(clock, rate, routers):
    limit = ColdLimit(clock)
    for target in ("t1", "t2", "t3"):
        parts = [limit.part(target, rate, routers, rank) for rank in range(routers)]
        assert sum(parts) == int(rate)
        assert max(parts) - min(parts) <= 1


def test_every_router_of_a_large_fleet_has_cold_targets_to_send_to(clock):
    limit = ColdLimit(clock)
    targets = [f"t{number}" for number in range(30)]
    for rank in range(88):
        assert sum(limit.part(target, 23.0, 88, rank) for target in targets) >= 1


def test_no_second_holds_more_than_the_limit(clock):
    limit = ColdLimit(clock)
    sent = []
    for _ in range(4_000):
        if limit.allows("t1", 3):
            limit.note("t1")
            sent.append(clock.now())
        clock.advance(1)
    assert len(sent) > 9
    assert all(sum(at <= other < at + 1_000 for other in sent) <= 3 for at in sent)


def test_sends_to_a_warm_target_count_when_it_turns_cold(clock):
    limit = ColdLimit(clock)
    for _ in range(5):
        limit.note("t1")
    assert not limit.allows("t1", 3)
    clock.advance(WINDOW_MS)
    assert limit.allows("t1", 3)


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
