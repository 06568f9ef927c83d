"""How the load of the engines is read, for few engines and for many."""

from random import Random

import pytest

from jacinthcove.capacity.engineload import LIST_PERIOD_MS, MANY_ENGINES, MAX_SAMPLED_ENGINES
from jacinthcove.capacity.gauges import show_capacity
from jacinthcove.clock import ManualClock
from jacinthcove.gateway.targetrecord import ListedTarget, TargetRecord
from jacinthcove.lab.scenarios import SCENARIOS
from jacinthcove.lab.simulation import SERVICE, LabFleet, LabRouter
from jacinthcove.observe.metrics import Metrics
from jacinthcove.store.kinds import Gap

SLOTS = LabFleet().capacity.slots


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def router(clock):
    return LabRouter("r1", "a", clock, SCENARIOS["calm"].load, LabFleet(), Random(1))


def register(router, count, **fields):
    entries = [
        ListedTarget(TargetRecord(f"t{n}", SERVICE, f"t{n}:80", "a", "v1", SLOTS, **fields), 1)
        for n in range(count)
    ]
    router.registry.replace_all(entries, Gap.NONE)


def load_of(router):
    return router.ledger.engine_loads.engine_load()


def test_paused_cold_and_leaving_engines_are_not_ready(router, clock):
    """Engines crash and return cold: counting them would admit more than the others can do."""
    register(router, 5)
    states = router.registry.states
    states["t0"].paused_until = states["t1"].unreachable_until = clock.now() + 100
    states["t2"].cold_until = clock.now() + 100
    assert load_of(router).ready == 2
    clock.advance(100)
    assert load_of(router).ready == 5
    register(router, 5, leaving=True)
    assert load_of(router).ready == 0


def test_engines_with_a_queue_or_few_free_slots_have_a_backlog(router):
    """A crowd: the share follows what begins only while the engines have more than they can do."""
    register(router, 4)
    states = router.registry.states
    states["t0"].load.begin("long", 100_000, 10)
    for number in range(SLOTS * 6 // 10 + 1):
        states["t1"].load.begin(f"r{number}", 0, 10)
    states["t2"].load.begin("short", 100, 10)
    assert load_of(router).backlogged == 0.5


def test_each_engine_of_many_is_sampled_in_turn(router):
    """A large fleet: reports about a few engines only would hide the backlog of the others."""
    count = 2 * MAX_SAMPLED_ENGINES
    register(router, count)
    for number in range(MAX_SAMPLED_ENGINES):
        router.registry.by_service[SERVICE][number].load.begin("long", 100_000, 10)
    assert [load_of(router).backlogged for _ in range(4)] == [1.0, 0.0, 1.0, 0.0]


def test_many_engines_are_listed_once_in_a_period(router, clock):
    """10,000 engines: listing them in each tick would take 4 % of a core."""
    register(router, MANY_ENGINES)
    assert load_of(router).ready == MANY_ENGINES
    register(router, MANY_ENGINES - 100)
    assert load_of(router).ready == MANY_ENGINES
    clock.advance(LIST_PERIOD_MS)
    assert load_of(router).ready == MANY_ENGINES - 100


def test_operators_see_the_capacity_in_the_metrics(router):
    """Without it a level that is too low looks like a shortage of engines."""
    metrics = Metrics()
    show_capacity(metrics, router.ledger)
    register(router, 3)
    router.ledger.tick()
    assert "jacinthcove_engines_ready 3" in metrics.render()
