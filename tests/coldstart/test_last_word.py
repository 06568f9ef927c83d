"""A router that hears of no targets may not take one for warm."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.coldstart.lastword import MAX_SILENCE_MS
from jacinthcove.gateway.fleetquota import FleetQuota
from jacinthcove.gateway.targetrates import TargetRates
from jacinthcove.gateway.targets import TargetRegistry
from jacinthcove.platform.followers import TargetFollower
from tests.coldstart.restart_bed import ALLOWED_PER_S, COLD_RATE_LIMIT, SERVICES
from tests.gateway.samples import record

CUT_OFF = 3
LOAD_PER_S = 40


class Router:
    def __init__(self, clock, id, routers):
        self.clock = clock
        self.registry = TargetRegistry(clock)
        quota = FleetQuota(clock, id)
        quota.set_routers(routers)
        self.rates = TargetRates(
            clock,
            quota,
            COLD_RATE_LIMIT,
            self.registry.stated_limits,
            self.registry.drained.returns,
            self.registry.last_word,
        )
        self.rates.cold.services = SERVICES
        self.registry.put(record("t1", started_at=1), 1)
        TargetFollower(self.registry).on_confirmed(clock.boot())

    def try_send(self, id):
        target = self.registry.states["t1"]
        if not self.rates.allows(target):
            return False
        self.rates.reserve(id, target)
        return self.rates.try_send(id, target, start_confirmed=True)


@pytest.mark.parametrize("routers", [8, 81, 300])
def test_routers_that_are_cut_off_do_not_flood_a_target_that_turns_cold(routers):
    clock = ManualClock()
    ids = [f"r{number}" for number in range(routers)]
    cut_off = [Router(clock, id, ids) for id in ids[:CUT_OFF]]
    clock.advance(MAX_SILENCE_MS + 1)
    sent = 0
    for number in range(LOAD_PER_S):
        sent += cut_off[number % CUT_OFF].try_send(f"q{number}")
        clock.advance(1_000 // LOAD_PER_S)
    assert sent <= ALLOWED_PER_S * CUT_OFF / routers + CUT_OFF


@pytest.mark.parametrize("size", [1, 2])
def test_word_of_others_or_no_others_keeps_targets_warm(size):
    clock = ManualClock()
    router = Router(clock, "r1", [f"r{number + 1}" for number in range(size)])
    clock.advance(MAX_SILENCE_MS + 1)
    if size > 1:
        router.registry.last_word.record(clock.boot())
    assert all(router.try_send(f"q{number}") for number in range(LOAD_PER_S))
