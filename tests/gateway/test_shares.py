"""Max-min fair sharing between workspaces when capacity is short."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.shares import (
    LATE_FRACTION,
    MAX_HEADROOM,
    MIN_HEADROOM,
    ShareLedger,
    Standing,
    max_min_share,
)
from jacinthcove.gateway.workspaceusage import (
    RECENT_TICKS,
    TICK_MS,
    USAGE_TTL_MS,
    WorkspaceUsage,
    decode_usage,
    encode_usage,
)

WINDOW_MS = 4_000


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def ledger(clock):
    return ShareLedger(clock, WINDOW_MS)


def run(ledger, clock, ticks, **tokens):
    """Let each workspace ask for and be given tokens in each of `ticks` ticks."""
    for _ in range(ticks):
        for workspace, (asked, admitted) in tokens.items():
            ledger.record_demand(workspace, asked)
            ledger.record_admission(workspace, admitted)
            ledger.begin(workspace, admitted, False)
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
def test_the_fair_share_is_max_min(demands, capacity, level):
    assert max_min_share(demands, capacity) == level


def test_every_workspace_is_within_its_share_while_capacity_suffices(ledger, clock):
    run(ledger, clock, 8, large=(1_000, 1_000), small=(10, 10))
    assert ledger.standing("large") is Standing.WITHIN


def test_a_flood_is_over_its_share_and_the_workspace_it_displaces_is_behind(ledger, clock):
    run(ledger, clock, 8, flood=(10_000, 900), small=(100, 20), modest=(50, 50))
    assert ledger.standing("flood") is Standing.OVER
    assert ledger.standing("small") is Standing.BEHIND
    assert ledger.standing("modest") is Standing.WITHIN


def test_a_flood_that_is_given_nothing_is_behind_its_share(ledger, clock):
    run(ledger, clock, 8, flood=(10_000, 0), small=(500, 400))
    assert ledger.standing("flood") is Standing.BEHIND


def test_a_repeated_report_of_a_router_counts_once(ledger, clock):
    for _ in range(2):
        ledger.others.update("r2", {"flood": WorkspaceUsage(10_000, 900)})
    run(ledger, clock, 1, small=(100, 10))
    assert (ledger.window_usage["flood"].asked, ledger.window_usage["flood"].given) == (10_000, 900)


def test_the_usage_of_a_silent_router_expires(ledger, clock):
    ledger.others.update("r2", {"flood": WorkspaceUsage(10_000, 900)})
    run(ledger, clock, USAGE_TTL_MS // TICK_MS + 1, small=(100, 10))
    assert "flood" not in ledger.window_usage


def test_a_restarted_router_replaces_its_earlier_usage(ledger, clock):
    ledger.others.update("r2", {"flood": WorkspaceUsage(10_000, 900)})
    ledger.others.update("r2", {"flood": WorkspaceUsage(40, 10)})
    run(ledger, clock, 1, small=(100, 10))
    assert ledger.window_usage["flood"].asked == 40


def test_tokens_that_targets_reject_do_not_count_as_given(ledger, clock):
    for _ in range(8):
        ledger.record_demand("small", 100)
        ledger.record_admission("small", 100)
        ledger.record_rejection("small", 90)
        run(ledger, clock, 1, flood=(10_000, 900))
    assert ledger.standing("small") is Standing.BEHIND
    assert ledger.window_usage["small"].given == 80


def test_a_workspace_whose_requests_queue_at_the_engines_is_behind(ledger, clock):
    for _ in range(8):
        ledger.record_demand("small", 100)
        ledger.record_admission("small", 100)
        run(ledger, clock, 1, flood=(10_000, 900))
    assert ledger.standing("small") is Standing.BEHIND


def test_requests_queued_at_the_engines_do_not_count_as_capacity(ledger, clock):
    for _ in range(8):
        for workspace, tokens in (("flood", 10_000), ("small", 100)):
            ledger.record_demand(workspace, tokens)
            ledger.record_admission(workspace, tokens)
            ledger.begin(workspace, tokens // 10, True)
        clock.advance(TICK_MS)
        ledger.tick()
    assert ledger.fair_share < 10_000
    assert ledger.standing("flood") is Standing.OVER


def overload(ledger, clock, ticks, late):
    for _ in range(ticks):
        ledger.record_demand("flood", 10_000)
        ledger.record_admission("flood", 2_000)
        ledger.begin("flood", 2_000, late)
        run(ledger, clock, 1, small=(100, 100))


def test_a_flood_is_cut_below_its_share_while_responses_are_late(ledger, clock):
    overload(ledger, clock, 16, late=True)
    part = ledger.admitted_fraction("flood")
    assert part * ledger.window_usage["flood"].asked == pytest.approx(
        MIN_HEADROOM * ledger.fair_share
    )
    assert ledger.admitted_fraction("small") == 1.0


@pytest.mark.parametrize(
    ("given", "standing", "multiple"),
    [(450, Standing.WITHIN, 1.0), (300, Standing.BEHIND, 2.0)],
)
def test_a_flood_below_its_share_is_not_let_in_whole_by_all_routers_at_once(
    ledger, clock, given, standing, multiple
):
    run(ledger, clock, 8, flood=(10_000, given), other=(10_000, 700), small=(10, 10))
    ledger.headroom = MIN_HEADROOM
    assert ledger.standing("flood") is standing
    expected = multiple * ledger.fair_share
    assert ledger.admitted_fraction("flood") * 8 * 10_000 == pytest.approx(expected)
    assert ledger.admitted_fraction("small") == 1.0


def test_a_flood_may_use_spare_capacity_while_responses_are_in_time(ledger, clock):
    overload(ledger, clock, 16, late=True)
    before = ledger.admitted_fraction("flood")
    overload(ledger, clock, RECENT_TICKS + 10, late=False)
    assert 1.5 * before < ledger.admitted_fraction("flood")
    overload(ledger, clock, 60, late=False)
    assert ledger.headroom == MAX_HEADROOM


def test_a_few_late_responses_do_not_cut_the_headroom(ledger, clock):
    for number in range(40):
        ledger.begin("small", 100, number % int(1 / LATE_FRACTION + 1) == 0)
        run(ledger, clock, 1)
    assert ledger.headroom == MAX_HEADROOM


def test_usage_survives_encoding_except_for_negative_counts():
    assert decode_usage(encode_usage("small", WorkspaceUsage(5, 4, 3, 2, 1))) == WorkspaceUsage(
        5, 4, 3, 2, 1
    )
    assert decode_usage(encode_usage("small", WorkspaceUsage(5, -4))) == WorkspaceUsage(5, 0)


def test_usage_older_than_the_window_is_dropped(ledger, clock):
    run(ledger, clock, 4, flood=(10_000, 900), small=(100, 10))
    run(ledger, clock, WINDOW_MS // TICK_MS + 1)
    assert ledger.standing("flood") is Standing.WITHIN


def test_a_refusal_can_tell_how_old_the_reports_were(ledger, clock):
    """Without it, a share that follows old reports could not be told from a wrong one."""
    assert ledger.others.oldest_ms() == 0
    ledger.others.replace("a", {})
    clock.advance(300)
    ledger.others.replace("b", {})
    assert ledger.others.oldest_ms() == 300
