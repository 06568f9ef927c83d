"""The rate limit of a cold target holds for all routers together, also when routers are added."""

from random import Random

import pytest

from jacinthcove.bytebudget import ByteBudget
from jacinthcove.clock import ManualClock
from jacinthcove.coldstart.turnedcold import COLD_WINDOW_MS
from jacinthcove.gateway.admission import Admission
from jacinthcove.gateway.fleetquota import SETTLE_MS, FleetQuota
from jacinthcove.gateway.forward import Forwarder
from jacinthcove.gateway.placement import Placement
from jacinthcove.gateway.ratelimiter import TargetRateLimiter
from jacinthcove.gateway.raterule import ColdRateLimit
from jacinthcove.gateway.retrybudget import WindowedRetryBudget
from jacinthcove.gateway.rollouts import Rollouts
from jacinthcove.gateway.shares import ShareLedger
from jacinthcove.gateway.targetrates import TargetRates
from jacinthcove.gateway.targets import TargetRegistry
from jacinthcove.observe.decisions import DecisionLog
from jacinthcove.observe.metrics import Metrics
from jacinthcove.targets.sockets import TargetUnreachable
from tests.gateway.samples import config, record, request

# Requests per second that a cold target can serve, and the limit that the routers divide.
ALLOWED_PER_S = 7.8 * 1.5 + 5
RATE_PER_S = ALLOWED_PER_S * 0.8
STEP_MS = 20
MAX_LEARN_MS = 3_200


def max_per_second(times):
    return max(sum(at <= other < at + 1_000 for other in times) for at in times)


@pytest.mark.parametrize(("before", "added"), [(81, 15), (8, 1), (30, 30)])
def test_added_routers_do_not_exceed_the_limit_of_a_cold_target(before, added):
    rng = Random(before)
    old = sorted(f"r{number}" for number in range(before))
    new = sorted(old + [f"r{number}x" for number in range(added)])
    clock = ManualClock()
    limits = {router: TargetRateLimiter(clock, COLD_WINDOW_MS) for router in new}
    quotas = {router: FleetQuota(clock, router) for router in new}
    learns_at = {r: rng.uniform(0, MAX_LEARN_MS) if r in old else SETTLE_MS for r in new}
    sent = []
    for time in range(-2_000, 14_000, STEP_MS):
        for router, limit in limits.items():
            if time >= learns_at[router] or router in old:
                quotas[router].set_routers(new if time >= learns_at[router] else old)
            quota = quotas[router].quota("t1", RATE_PER_S)
            if limit.allows("t1", quota) and limit.allows_send("t1", quota):
                limit.record_sent("t1")
                sent.append(time)
        clock.advance(STEP_MS)
    assert max_per_second(sent) <= ALLOWED_PER_S
    assert sum(time >= 12_000 for time in sent) >= int(RATE_PER_S)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def forwarder(clock):
    """A forwarder of one of 14 routers, with a quota of one request per second to a cold target."""
    registry = TargetRegistry(clock)
    rollouts = Rollouts(clock, registry)
    quotas = FleetQuota(clock, "r1")
    quotas.set_routers(f"r{number}" for number in range(14))
    admission = Admission(
        clock,
        registry,
        Placement("a"),
        ShareLedger(clock, 4_000),
        TargetRates(clock, quotas, ColdRateLimit(1.0, 0.0), registry.stated_limits),
        DecisionLog(clock, Metrics()),
        rollouts,
    )
    admission.configure(config())
    budget = WindowedRetryBudget(clock, 10_000, 0.2, lambda: 0)
    return Forwarder(
        clock, None, admission, budget, None, lambda asked: None, None, ByteBudget(0), None
    )


def decide(admission, asked):
    return admission.decide(admission.begin(asked, "models", frozenset()))


def test_a_delayed_request_counts_when_it_is_sent(clock, forwarder):
    admission = forwarder.admission
    admission.registry.put(record(cold_for_ms=10_000), 1)
    first, second = request(clock, "q1"), request(clock, "q2")
    target = decide(admission, first).target
    clock.advance(1_300)
    assert decide(admission, second) is None
    forwarder.check_may_send(first, target)
    assert decide(admission, second) is None
    clock.advance(1_200)
    assert decide(admission, second).target is target


def test_requests_not_sent_yet_are_limited_when_their_target_turns_cold(clock, forwarder):
    admission = forwarder.admission
    admission.registry.put(record(), 1)
    first, second = request(clock, "q1"), request(clock, "q2")
    target = decide(admission, first).target
    assert decide(admission, second).target is target
    admission.registry.put(record(cold_for_ms=10_000), 2)
    forwarder.check_may_send(first, target)
    with pytest.raises(TargetUnreachable):
        forwarder.check_may_send(second, target)


def test_requests_to_a_warm_target_count_when_it_turns_cold(clock, forwarder):
    admission = forwarder.admission
    admission.registry.put(record(), 1)
    first, second = request(clock, "q1"), request(clock, "q2")
    forwarder.check_may_send(first, decide(admission, first).target)
    admission.registry.put(record(cold_for_ms=10_000), 2)
    assert decide(admission, second) is None
    clock.advance(COLD_WINDOW_MS)
    assert decide(admission, second) is not None
