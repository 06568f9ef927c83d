"""Fair shares that follow the measured capacity of the engines."""

import pytest

from jacinthcove.capacity.engineload import EngineLoad
from jacinthcove.clock import ManualClock
from jacinthcove.gateway.shares import MAX_HEADROOM, ShareLedger, Standing
from jacinthcove.gateway.workspaceusage import TICK_MS

WINDOW_MS = 4_000
WINDOW_TICKS = WINDOW_MS // TICK_MS
BACKLOG = EngineLoad(10, 1.0)
IDLE = EngineLoad(10, 0.0)


class FixedEngineLoad:
    """Engines whose load a test sets."""

    def __init__(self):
        self.load = BACKLOG

    def engine_load(self):
        return self.load


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def engines():
    return FixedEngineLoad()


@pytest.fixture
def ledger(clock, engines):
    result = ShareLedger(clock, WINDOW_MS)
    result.engine_loads = engines
    return result


def run(ledger, clock, ticks, late=False, **tokens):
    """Let each workspace ask for tokens and begin some of them in each of `ticks` ticks."""
    for _ in range(ticks):
        for workspace, (asked, begun) in tokens.items():
            ledger.record_demand(workspace, asked)
            ledger.record_admission(workspace, begun)
            ledger.begin(workspace, begun, late)
        clock.advance(TICK_MS)
        ledger.tick()


def test_the_share_does_not_fall_with_what_was_let_through(ledger, clock, engines):
    """The loop of a day of high load: less is let through, less begins, the share falls further.

    The engines are empty meanwhile, so the share must stay at what they can do.
    """
    run(ledger, clock, 2 * WINDOW_TICKS, hot=(10_000, 2_000), small=(100, 100))
    before = ledger.fair_share
    engines.load = IDLE
    for begun in (1_500, 1_000, 500):
        run(ledger, clock, WINDOW_TICKS, hot=(10_000, begun), small=(100, 100))
        assert ledger.fair_share >= 0.95 * before


def test_late_answers_of_a_crowd_do_not_cut_the_headroom_of_idle_engines(ledger, clock, engines):
    """What waited in the crowd starts late after it, when requests need no longer be held back."""
    run(ledger, clock, WINDOW_TICKS, late=True, hot=(10_000, 2_000))
    assert ledger.headroom < 1
    engines.load = IDLE
    run(ledger, clock, 3 * WINDOW_TICKS, late=True, hot=(10_000, 2_000))
    assert ledger.headroom == MAX_HEADROOM


def test_what_begins_is_the_capacity_while_engines_have_a_backlog(ledger, clock):
    """Engines become slow under load: a share from their earlier rate would fill their queues."""
    run(ledger, clock, 2 * WINDOW_TICKS, hot=(10_000, 2_000))
    run(ledger, clock, WINDOW_TICKS, hot=(10_000, 800))
    assert ledger.fair_share == 800 * WINDOW_TICKS


def test_nobody_is_over_its_share_before_the_first_answers_are_due(ledger, clock):
    """A start at full load: nothing has begun, which says nothing of what the engines can do."""
    ticks = WINDOW_TICKS // 2 - 1
    for _ in range(ticks):
        ledger.record_demand("hot", 10_000)
        ledger.record_admission("hot", 10_000)
        run(ledger, clock, 1, small=(100, 0))
        assert ledger.standing("hot") is Standing.WITHIN
        assert ledger.admitted_fraction("hot") == 1.0
    run(ledger, clock, 1, hot=(10_000, 500))
    assert ledger.standing("hot") is Standing.OVER
