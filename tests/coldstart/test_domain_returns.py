"""Targets that became cold in a drained failure domain are spared when it returns."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.drains import KEPT_MS
from jacinthcove.gateway.targets import TargetRegistry
from jacinthcove.platform.followers import DrainFollower, TargetFollower
from jacinthcove.store.kinds import Change, Gap, KindObject, Listing, StoreRevision
from tests.coldstart.restart_bed import (
    ALLOWED_PER_S,
    COLD_MS,
    STEP_MS,
    TARGET,
    Router,
    Start,
    fleet_quotas,
)
from tests.gateway.samples import record

DRAIN = KindObject("a", 3, {})
RETURN = Change(DRAIN, deleted=True)
# When the target becomes cold, and when its domain returns.
COLD_AT_MS = 500
RETURN_AT_MS = 700


class ReturningRouter(Router):
    """A router that watches the drains and the targets apart, each with delays of its own."""

    def __init__(self, id, clock, quota, start, drain_lag_ms, watch_ms, age_ms):
        super().__init__(id, clock, quota, start)
        self.drains = DrainFollower(self.registry.drained)
        self.targets = TargetFollower(self.registry)
        self.drains.on_change(Change(DRAIN, deleted=False), False)
        self.begin = clock.now()
        self.return_known_at = self.begin + RETURN_AT_MS + drain_lag_ms
        self.watch_ms, self.age_ms = watch_ms, age_ms

    def follow(self, entry):
        now = self.clock.now()
        if now == self.return_known_at:
            self.drains.on_change(RETURN, False)
        if (now - self.begin) % self.watch_ms < STEP_MS:
            known_at = now - self.age_ms
            if known_at >= self.begin + COLD_AT_MS:
                self.registry.put(entry, 4)
            self.targets.on_confirmed(known_at)

    def try_request(self, start):
        if not self.registry.usable("models"):
            return
        id = self.choose()
        if id is None:
            return
        connection = self.open(start)
        if not self.send(id, connection):
            self.rates.cancel(id, self.target)
        self.connections.append(connection)


def play(size, lags, until_ms=6_000, load_per_s=60.0, seed=1):
    """Return the most requests in one second at the target while it was cold."""
    clock, rng = ManualClock(), Random(seed)
    begin = clock.now()
    start = Start(begin - 60_000, 1 << 60, False)
    routers = [
        ReturningRouter(id, clock, quota, start, *lags[number % len(lags)])
        for number, (id, quota) in enumerate(fleet_quotas(size).items())
    ]
    entry = record(TARGET, started_at=start.started_at, cold_for_ms=COLD_MS)
    while clock.now() < begin + until_ms:
        for router in routers:
            router.follow(entry)
        asked = load_per_s * STEP_MS / 1_000
        for _ in range(int(asked) + (rng.random() < asked % 1)):
            rng.choice(routers).try_request(start)
        clock.advance(STEP_MS)
    cold_until = begin + COLD_AT_MS + COLD_MS
    times = [at for at in start.arrivals if at < cold_until]
    most = max((sum(at <= other < at + 1_000 for other in times) for at in times), default=0)
    return most, start.arrivals, begin


LAGS = st.tuples(
    st.integers(0, 40).map(lambda steps: steps * STEP_MS),
    st.sampled_from([100, 250, 1_000, 3_000]),
    st.sampled_from([0, 50, 600, 2_000]),
)


@given(st.sampled_from([8, 81]), st.lists(LAGS, min_size=1, max_size=8))
def test_return_known_before_the_entries_does_not_flood_a_cold_target(size, lags):
    most, _, _ = play(size, lags)
    assert most <= ALLOWED_PER_S


def test_return_known_before_the_entries_does_not_flood_a_cold_target_at_300_routers():
    most, _, _ = play(300, [(0, 1_000, 0), (100, 3_000, 600), (200, 250, 2_000)])
    assert most <= ALLOWED_PER_S


def test_warm_domain_gets_its_load_back_with_the_first_word_of_its_targets():
    _, arrivals, begin = play(8, [(0, 250, 0)], until_ms=12_000)
    warm_from = begin + COLD_AT_MS + COLD_MS + 500
    assert sum(warm_from <= at < warm_from + 1_000 for at in arrivals) >= 50


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def registry(clock):
    found = TargetRegistry(clock)
    DrainFollower(found.drained).on_change(Change(DRAIN, deleted=False), False)
    return found


def test_old_word_of_another_router_does_not_confirm_a_return(clock, registry):
    DrainFollower(registry.drained).on_change(RETURN, False)
    clock.advance(1_000)
    TargetFollower(registry).on_confirmed(clock.boot() - 1_001)
    assert registry.drained.returns.is_pending("a")
    TargetFollower(registry).on_confirmed(clock.boot() - 1_000)
    assert not registry.drained.returns.is_pending("a")


@pytest.mark.parametrize("gap", [Gap.NONE, Gap.OUTAGE])
def test_return_that_a_list_shows_waits_for_word_of_the_targets(clock, registry, gap):
    listing = Listing((), StoreRevision(1, 9))
    DrainFollower(registry.drained).on_list(listing, gap)
    assert registry.drained.returns.is_pending("a")
    assert not registry.drained.returns.is_pending("b")


def test_drain_that_an_older_copy_lacks_returns_when_it_is_no_longer_kept(clock, registry):
    DrainFollower(registry.drained).on_list(Listing((), StoreRevision(2, 1)), Gap.OLDER_COPY)
    TargetFollower(registry).on_confirmed(clock.boot())
    clock.advance(KEPT_MS)
    assert "a" not in registry.drained
    assert registry.drained.returns.is_pending("a")
    TargetFollower(registry).on_confirmed(clock.boot())
    assert not registry.drained.returns.is_pending("a")
