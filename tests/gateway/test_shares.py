"""Fair shares under pressure."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.shares import TICK_MS, ShareLedger, Standing, Use, fair_level

WINDOW_MS = 4_000


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def ledger(clock):
    return ShareLedger(clock, WINDOW_MS)


def run(ledger, clock, ticks, **uses):
    """Let each workspace ask for and get tokens in each of `ticks` periods."""
    for _ in range(ticks):
        for workspace, (asked, admitted) in uses.items():
            ledger.ask(workspace, asked)
            ledger.admit(workspace, admitted)
        clock.advance(TICK_MS)
        ledger.tick()


@pytest.mark.parametrize(
    ("demands", "capacity", "level"),
    [
        ([10, 10], 30, float("inf")),
        ([10, 90], 50, 40),
        ([60, 60, 60], 90, 30),
        ([], 5, float("inf")),
    ],
)
def test_fair_level_is_max_min(demands, capacity, level):
    assert fair_level(demands, capacity) == level


def test_without_pressure_everyone_is_within(ledger, clock):
    run(ledger, clock, 8, large=(1_000, 1_000), small=(10, 10))
    assert ledger.standing("large") is Standing.WITHIN


def test_a_flood_is_over_and_what_it_displaces_is_behind(ledger, clock):
    run(ledger, clock, 8, flood=(10_000, 900), small=(100, 20), modest=(50, 50))
    assert ledger.standing("flood") is Standing.OVER
    assert ledger.standing("small") is Standing.BEHIND
    assert ledger.standing("modest") is Standing.WITHIN


def test_a_flood_that_gets_nothing_is_behind_too(ledger, clock):
    run(ledger, clock, 8, flood=(10_000, 0), small=(500, 400))
    assert ledger.standing("flood") is Standing.BEHIND


def test_reports_of_others_count_once(ledger, clock):
    ledger.on_report("r2", "flood", Use())
    for _ in range(2):
        ledger.on_report("r2", "flood", Use(10_000, 900))
    run(ledger, clock, 1, small=(100, 10))
    assert (ledger.recent["flood"].asked, ledger.recent["flood"].admitted) == (10_000, 900)


def test_what_targets_turn_away_was_not_given(ledger, clock):
    ledger.on_report("r2", "flood", Use())
    for _ in range(8):
        ledger.take_back("small", 90)
        run(ledger, clock, 1, flood=(10_000, 900), small=(100, 100))
    assert ledger.standing("small") is Standing.BEHIND
    ledger.on_report("r2", "flood", Use(0, 7_200, 7_200))
    run(ledger, clock, 1)
    assert ledger.recent["flood"].given == 7_200


def test_the_window_forgets(ledger, clock):
    run(ledger, clock, 4, flood=(10_000, 900), small=(100, 10))
    run(ledger, clock, WINDOW_MS // TICK_MS + 1)
    assert ledger.standing("flood") is Standing.WITHIN
