"""A target that turns cold while it runs gets no quota on top of what was sent to it before."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jacinthcove.clock import ManualClock
from jacinthcove.coldstart.turnedcold import KNOWN_EVERYWHERE_MS, QUIET_MS
from jacinthcove.gateway.collectors import MAX_DIRECT_ROUTERS
from jacinthcove.gateway.loadexchange import BUNDLE_PERIOD_MS, CROSS_DOMAIN_BUNDLE_PERIOD_MS
from jacinthcove.gateway.loadreports import CROSS_DOMAIN_PERIOD_MS, PERIOD_MS
from tests.coldstart.restart_bed import (
    ALLOWED_PER_S,
    STEP_MS,
    TARGET,
    Router,
    Start,
    fleet_quotas,
)
from tests.gateway.exchange_bed import Fleet
from tests.gateway.samples import record

WARM_MS = 2_000
COLD_MS = 4_000
# What routers that know of the coldness would send if they could.
OFFERED_PER_S = 60.0


def most_per_second(times):
    return max((sum(at <= other < at + 1_000 for other in times) for at in times), default=0)


class Run:
    """A warm target that turns cold; `lags_ms` are from its turn to each router's knowledge.

    Routers that do not know of it yet send `load_per_s` together, `busy_routers` of them.
    """

    def __init__(self, size, lags_ms, load_per_s, busy_routers=None, seed=1):
        self.clock, self.rng = ManualClock(), Random(seed)
        self.begin = self.clock.now()
        self.turn_at = self.begin + WARM_MS
        self.start = Start(self.begin - 60_000, 1 << 60, False)
        quotas = fleet_quotas(size).items()
        self.routers = [Router(id, self.clock, quota, self.start) for id, quota in quotas]
        self.known_at = [self.turn_at + lags_ms[n % len(lags_ms)] for n in range(size)]
        self.busy_routers = busy_routers or size
        self.load_per_s = load_per_s
        self.sent_warm, self.sent_cold, self.sent_after = [], [], []

    def play(self, cold_ms=COLD_MS, until_ms=WARM_MS + COLD_MS + 2_000):
        entry = record(TARGET, started_at=self.start.started_at, cold_for_ms=cold_ms)
        while self.clock.now() < self.begin + until_ms:
            now = self.clock.now()
            for number, router in enumerate(self.routers):
                if now - STEP_MS < self.known_at[number] <= now:
                    router.registry.put(entry, 2)
            for _ in range(self._count(self.load_per_s)):
                self._request(self.rng.randrange(self.busy_routers), knows=False)
            for _ in range(self._count(OFFERED_PER_S)):
                self._request(self.rng.randrange(len(self.routers)), knows=True)
            self.clock.advance(STEP_MS)

    def _count(self, per_s):
        """Return how many requests come in this step at an even rate."""
        passed_ms = self.clock.now() - self.begin
        return int(per_s * (passed_ms + STEP_MS) / 1_000) - int(per_s * passed_ms / 1_000)

    def _request(self, number, knows):
        router, now = self.routers[number], self.clock.now()
        if knows != (now >= self.known_at[number]) or (id := router.choose()) is None:
            return
        connection = router.open(self.start)
        sent = router.send(id, connection)
        router.connections.append(connection)
        if not sent:
            router.rates.cancel(id, router.target)
        elif now < self.known_at[number]:
            self.sent_warm.append(now)
        elif router.target.cold_until > now:
            self.sent_cold.append(now)
        else:
            self.sent_after.append(now)

    def most_while_cold(self):
        warm = [at for at in self.sent_warm if at >= self.turn_at]
        return most_per_second(warm + self.sent_cold), most_per_second(warm)


@given(
    size=st.sampled_from([8, 81]),
    first_ms=st.integers(0, 1_000),
    spreads_ms=st.lists(st.integers(0, KNOWN_EVERYWHERE_MS), min_size=1, max_size=20),
    load_per_s=st.sampled_from([5.0, 12.0, 30.0]),
    busy_routers=st.sampled_from([None, 1, 5]),
    seed=st.integers(0, 1_000),
)
def test_quotas_do_not_add_to_what_a_target_that_turned_cold_was_sent_before(
    size, first_ms, spreads_ms, load_per_s, busy_routers, seed
):
    run = Run(size, [first_ms + ms for ms in spreads_ms], load_per_s, busy_routers, seed)
    run.play()
    most, most_warm = run.most_while_cold()
    assert most <= max(ALLOWED_PER_S, most_warm)


@pytest.mark.parametrize("busy_routers", [None, 3])
@pytest.mark.parametrize("load_per_s", [16.0, 23.0])
@pytest.mark.parametrize("size", [8, 81, 300])
def test_target_that_turned_cold_is_not_flooded_if_its_warm_load_until_all_know_is_allowed(
    size, load_per_s, busy_routers
):
    # Warm load times the age of the knowledge, at most a second, is within the rule.
    spread_ms = min(KNOWN_EVERYWHERE_MS, int(1_000 * (ALLOWED_PER_S - 1) / load_per_s))
    lags_ms = [spread_ms - ms % (spread_ms + 1) for ms in range(0, 9_000, 97)]
    run = Run(size, lags_ms, load_per_s, busy_routers)
    run.play()
    most, _ = run.most_while_cold()
    assert most <= ALLOWED_PER_S


def test_target_that_turned_cold_gets_its_cold_rate_after_the_quiet_time():
    run = Run(8, [0, 300], 30.0)
    run.play()
    since = run.turn_at + 300 + QUIET_MS
    assert most_per_second([at for at in run.sent_cold if at < since + 1_150]) >= 13


def test_target_that_turns_warm_within_the_quiet_time_gets_its_load_at_once():
    run = Run(8, [0], 30.0)
    run.play(cold_ms=500)
    warm_at = run.turn_at + 500
    assert sum(warm_at <= at < warm_at + 1_000 for at in run.sent_after) >= 25


@pytest.fixture
def router():
    clock = ManualClock()
    start = Start(clock.now() - 60_000, 1 << 60, False)
    return Router("r0", clock, fleet_quotas(1)["r0"], start)


def test_restarted_target_is_used_without_a_quiet_time(router):
    router.registry.put(record(TARGET, started_at=99_000_000, cold_for_ms=COLD_MS), 2)
    assert router.choose() is not None


def test_entry_of_a_restart_that_a_connection_showed_starts_no_quiet_time(router):
    router.registry.record_start(TARGET, 99_000_000, COLD_MS)
    router.clock.advance(300)
    router.registry.put(record(TARGET, started_at=99_000_000, cold_for_ms=COLD_MS), 2)
    assert router.choose() is not None


def test_restart_ends_the_quiet_time_of_the_start_before(router):
    known = router.target.record
    router.registry.put(record(TARGET, started_at=known.started_at, cold_for_ms=COLD_MS), 2)
    assert router.choose() is None
    router.registry.put(record(TARGET, started_at=99_000_000, cold_for_ms=COLD_MS), 3)
    assert router.choose() is not None


def test_target_of_a_drained_domain_is_used_without_a_quiet_time(router):
    known = router.target.record
    router.registry.drained.add(known.failure_domain)
    cold = record(TARGET, started_at=known.started_at, cold_for_ms=COLD_MS)
    router.registry.put(cold, 2)
    router.registry.drained.remove(known.failure_domain)
    assert router.choose() is not None


@pytest.mark.parametrize("size", [MAX_DIRECT_ROUTERS, 4])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_routers_in_touch_know_of_a_cold_target_within_the_time_for_it(size, seed):
    clock, rng = ManualClock(), Random(seed)
    fleet = Fleet(clock, size)
    exchanges = list(fleet.exchanges.values())
    for exchange in exchanges:
        exchange.registry.put(record("t1", started_at=77), 5)
    # The first reports are not part of it.
    for _ in range(3):
        fleet.round()
    direct = exchanges[0].collector_in_use() is None
    near_ms = PERIOD_MS if direct else BUNDLE_PERIOD_MS
    far_ms = CROSS_DOMAIN_PERIOD_MS if direct else CROSS_DOMAIN_BUNDLE_PERIOD_MS
    phases = [(rng.randrange(near_ms), rng.randrange(far_ms)) for _ in exchanges]
    knows = exchanges[rng.randrange(len(exchanges))]
    knows.registry.put(record("t1", started_at=77, cold_for_ms=COLD_MS), 6)
    for time in range(KNOWN_EVERYWHERE_MS):
        for exchange, (near, far) in zip(exchanges, phases, strict=True):
            if time % near_ms == near:
                exchange.send_same_domain()
            if time % far_ms == far:
                exchange.send_cross_domain()
        clock.advance(1)
    known = [exchange.registry.states["t1"].cold_until > clock.now() for exchange in exchanges]
    assert all(known)
