"""Fleet-wide limits: the rate limit of cold targets and the retry budget."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.coldstart.turnedcold import COLD_WINDOW_MS
from jacinthcove.gateway.fleetquota import SETTLE_MS, FleetQuota
from jacinthcove.gateway.ratelimiter import TargetRateLimiter
from jacinthcove.gateway.retrybudget import WindowedRetryBudget


@pytest.fixture
def clock():
    return ManualClock()


def fleet_quotas(clock, routers):
    names = [f"r{number}" for number in range(routers)]
    quotas = [FleetQuota(clock, name) for name in names]
    for item in quotas:
        item.set_routers(names)
    return quotas


@pytest.mark.parametrize(("rate", "routers"), [(26.0, 8), (20.8, 8), (26.0, 88), (3.0, 1)])
def test_the_quotas_of_all_routers_add_up_to_the_rate(clock, rate, routers):
    fleet = fleet_quotas(clock, routers)
    for target in ("t1", "t2", "t3"):
        quotas = [item.quota(target, rate) for item in fleet]
        assert sum(quotas) == int(rate)
        assert max(quotas) - min(quotas) <= 1


def test_every_router_of_a_large_fleet_may_send_to_some_cold_targets(clock):
    targets = [f"t{number}" for number in range(30)]
    for item in fleet_quotas(clock, 88):
        assert sum(item.quota(target, 23.0) for target in targets) >= 1


def test_a_router_that_knows_no_fleet_has_no_quota(clock):
    quotas = FleetQuota(clock, "r1")
    assert (quotas.quota("t1", 26.0), quotas.even_quota(161.0), quotas.routers) == (0, 0, 0)


def test_a_quota_grows_only_after_the_other_routers_know_the_change(clock):
    quotas = FleetQuota(clock, "r0")
    quotas.set_routers(["r0", "r1", "r2", "r3"])
    quotas.set_routers(["r0"])
    assert (quotas.quota("t1", 8.0), quotas.even_quota(8.0)) == (2, 2)
    clock.advance(SETTLE_MS)
    assert (quotas.quota("t1", 8.0), quotas.even_quota(8.0)) == (8, 8)


def test_no_second_has_more_requests_than_the_limit(clock):
    limit = TargetRateLimiter(clock, COLD_WINDOW_MS)
    sent = []
    for _ in range(4_000):
        if limit.allows("t1", 3) and limit.allows_send("t1", 3):
            limit.record_sent("t1")
            sent.append(clock.now())
        clock.advance(1)
    assert len(sent) > 9
    assert all(sum(at <= other < at + 1_000 for other in sent) <= 3 for at in sent)


def test_sends_to_a_warm_target_count_when_it_turns_cold(clock):
    limit = TargetRateLimiter(clock, COLD_WINDOW_MS)
    for _ in range(5):
        limit.record_sent("t1")
    assert not limit.allows("t1", 3)
    assert not limit.allows_send("t1", 3)
    clock.advance(COLD_WINDOW_MS)
    assert limit.allows("t1", 3)


def test_a_cancelled_reservation_allows_another_request(clock):
    limit = TargetRateLimiter(clock, COLD_WINDOW_MS)
    limit.reserve("t1", "q1")
    assert not limit.allows("t1", 1)
    limit.cancel("t1", "q1")
    assert limit.allows("t1", 1)


def test_requests_before_a_suspension_allow_no_retries_after_it(clock):
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
