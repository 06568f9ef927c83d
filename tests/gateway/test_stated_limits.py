"""The limit that a target states holds for all routers together, also when some do not know it."""

from dataclasses import dataclass, field
from random import Random

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.coldstart.turnedcold import COLD_WINDOW_MS
from jacinthcove.gateway.fleetquota import SETTLE_MS, FleetQuota
from jacinthcove.gateway.ratelimiter import TargetRateLimiter
from jacinthcove.gateway.raterule import ColdRateLimit
from jacinthcove.gateway.statedlimits import LIFTED_TTL_MS, LIMIT_TTL_MS, StatedLimits
from jacinthcove.gateway.targetrates import TargetRates
from tests.gateway.exchange_bed import Fleet, load_exchange
from tests.gateway.samples import target

STEP_MS = 20
# Routers learn of an added one within this time.
MAX_LEARN_MS = 3_200
MAX_REPORT_DELAY_MS = 300
REPORT_LOSS = 0.1
# From this time after a target first stated its limit, no 4 s may exceed what its users allow.
CONTACT_MS = 3_000
NAMED_AT, LIFTED_AT, ENDS_AT = 4_000, 24_000, 30_000
# Requests that each router would send to the target in each step.
DEMAND = 0.1


def allowed(per_s):
    return 1.5 * 4 * per_s + 5


@dataclass
class Router:
    """One router's view of the target, and its requests that wait for a response."""

    clock: ManualClock
    id: str
    starts_at: int
    learns_at: int
    counted_from: int
    pending: list = field(default_factory=list)

    def __post_init__(self):
        self.quotas = FleetQuota(self.clock, self.id)
        self.limits = StatedLimits(self.clock)
        self.rates = TargetRates(self.clock, self.quotas, ColdRateLimit(1, 0), self.limits)

    def restart(self, now):
        self.pending.clear()
        self.starts_at, self.counted_from = now + 500, now + 500 + COLD_WINDOW_MS
        self.__post_init__()


class Play:
    """Routers that send to one target, some of which are added or killed on the way."""

    def __init__(self, per_s, routers, added=0, killed=()):
        self.rng = Random(routers)
        self.per_s = per_s
        self.clock = ManualClock(now_ms=1_000_000)
        self.target = target(self.clock)
        self.old = [f"r{number}" for number in range(routers)]
        self.all = self.old + [f"x{number}" for number in range(added)]
        self.killed = killed
        self.routers = [
            Router(self.clock, id, 0, self.rng.uniform(8_000, 8_000 + MAX_LEARN_MS), 0)
            for id in self.old
        ]
        self.routers += [
            Router(self.clock, id, 8_000, 8_000, 8_000 + SETTLE_MS) for id in self.all[routers:]
        ]
        self.reports = []
        self.sent = []

    def run(self):
        for now in range(0, ENDS_AT, STEP_MS):
            if now in self.killed:
                for router in self.rng.sample(
                    self.routers[: len(self.old)], len(self.old) * 3 // 8
                ):
                    router.restart(now)
            for router in self.routers:
                if now >= router.starts_at:
                    self.step(router, now)
            self.deliver(now)
            self.clock.advance(STEP_MS)

    def step(self, router, now):
        if now >= router.counted_from:
            router.quotas.set_routers(self.all if now >= router.learns_at else self.old)
        for sent_at, answered_at in list(router.pending):
            if answered_at <= now:
                router.pending.remove((sent_at, answered_at))
                said = self.per_s if NAMED_AT <= now < LIFTED_AT else None
                router.limits.record_response("t1", 0, said, sent_at)
        if self.rng.random() < DEMAND and router.rates.allows(self.target):
            id = f"q{now}"
            router.rates.reserve(id, self.target)
            if router.rates.try_send(id, self.target):
                self.sent.append(now)
                answered_at = now + self.rng.uniform(40, 400)
                router.pending.append((self.clock.now(), answered_at))
        known = router.limits.find("t1", 0)
        if now % 200 == 0 and known is not None:
            age = self.clock.now() - known.said_at
            for other in self.routers:
                if other is not router and self.rng.random() > REPORT_LOSS:
                    due = now + self.rng.uniform(0, MAX_REPORT_DELAY_MS)
                    self.reports.append((due, other, known.per_s, age))

    def deliver(self, now):
        due = [item for item in self.reports if item[0] <= now]
        self.reports = [item for item in self.reports if item[0] > now]
        for _, receiver, per_s, age in due:
            receiver.limits.record_report("t1", 0, per_s, age)

    def most_in_4_s(self):
        counted = [at for at in self.sent if NAMED_AT + 1_000 <= at < LIFTED_AT]
        ends = [at for at in counted if at >= NAMED_AT + CONTACT_MS]
        return max(sum(end - 4_000 < at <= end for at in counted) for end in ends)

    def in_second_half(self):
        middle = (NAMED_AT + LIFTED_AT) // 2
        return sum(middle <= at < LIFTED_AT for at in self.sent) / (LIFTED_AT - middle) * 1_000


@pytest.mark.parametrize(
    ("per_s", "routers", "added", "killed"),
    [
        (7.3, 8, 0, ()),
        (10.0, 8, 2, (11_000,)),
        (1.6, 8, 1, (9_000, 15_000)),
        (1.6, 7, 0, (9_000,)),
        (7.3, 81, 15, ()),
        (2.6, 30, 30, (15_000,)),
        (0.1, 8, 0, ()),
        (0.0, 8, 2, ()),
    ],
)
def test_all_routers_together_keep_to_the_limit_that_a_target_states(per_s, routers, added, killed):
    play = Play(per_s, routers, added, killed)
    play.run()
    assert play.most_in_4_s() <= allowed(per_s)
    assert play.in_second_half() >= 0.7 * int(4 * per_s) / 4
    assert {router.limits.per_s("t1", 0) for router in play.routers} == {None}


@pytest.fixture
def clock():
    return ManualClock(now_ms=1_000_000)


@pytest.fixture
def limits(clock):
    return StatedLimits(clock)


def test_a_response_that_was_on_its_way_does_not_lift_a_limit(clock, limits):
    sent_at = clock.now()
    clock.advance(100)
    limits.record_response("t1", 0, 7.3, sent_at)
    limits.record_response("t1", 0, None, sent_at)
    assert limits.per_s("t1", 0) == 7.3
    clock.advance(1)
    limits.record_response("t1", 0, None, clock.now())
    assert limits.per_s("t1", 0) is None


def test_a_limit_ends_with_the_start_of_the_target_that_stated_it(limits):
    limits.record_response("t1", 5, 7.3, 0)
    assert (limits.per_s("t1", 5), limits.per_s("t1", 6)) == (7.3, None)
    limits.record_report("t1", 6, 2.0, 0)
    limits.record_report("t1", 5, 9.0, 0)
    assert limits.per_s("t1", 6) == 2.0


def test_an_older_report_does_not_replace_what_a_target_said_since(clock, limits):
    limits.record_response("t1", 0, 7.3, clock.now())
    limits.record_report("t1", 0, None, 50)
    assert limits.per_s("t1", 0) == 7.3
    clock.advance(100)
    limits.record_report("t1", 0, None, 50)
    limits.record_report("t1", 0, 7.3, 90)
    assert limits.per_s("t1", 0) is None


def test_a_statement_is_forgotten_in_time(clock, limits):
    limits.record_response("t1", 0, 7.3, 0)
    clock.advance(LIMIT_TTL_MS - 1)
    assert limits.per_s("t1", 0) == 7.3
    limits.record_response("t1", 0, None, clock.now())
    clock.advance(LIFTED_TTL_MS)
    assert limits.find("t1", 0) is None
    assert not limits.by_target


def test_a_lifted_limit_is_reported_until_all_routers_know_it(clock):
    sender, receiver = load_exchange(clock), load_exchange(clock)
    for limits in (sender.registry.stated_limits, receiver.registry.stated_limits):
        limits.record_response("t1", 0, 7.3, clock.now())
    clock.advance(100)
    sender.registry.stated_limits.record_response("t1", 0, None, clock.now())
    receiver.take("r2", sender.reporter.report(sender.same_domain))
    assert receiver.registry.stated_limits.per_s("t1", 0) is None


def test_routers_of_a_large_fleet_learn_of_limits_through_their_collectors(clock):
    fleet = Fleet(clock)
    heard = fleet.exchanges["a3"].registry.stated_limits
    heard.record_response("t1", 0, 7.3, clock.now())
    for _ in range(3):
        fleet.round()
    known = {e.registry.stated_limits.per_s("t1", 0) for e in fleet.exchanges.values()}
    assert known == {7.3}
    heard.record_response("t1", 0, None, clock.now())
    for _ in range(3):
        fleet.round()
    known = {e.registry.stated_limits.per_s("t1", 0) for e in fleet.exchanges.values()}
    assert known == {None}


def test_a_blocked_target_says_when_it_allows_another_request(clock):
    limiter = TargetRateLimiter(clock, 4_000)
    assert limiter.blocked_ms("t1", 1) == 0
    limiter.record_sent("t1")
    clock.advance(1_500)
    assert (limiter.blocked_ms("t1", 1), limiter.blocked_ms("t2", 0)) == (2_500, 4_000)
