"""Digests of a failure domain: each router takes its own part out of the sum."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.digests import NOTHING, DigestView, OwnHistory
from jacinthcove.gateway.loadreports import REFRESH_MS
from tests.gateway.samples import record
from tests.gateway.test_loadexchange import Fleet, begin


@pytest.fixture
def clock():
    return ManualClock()


def member(fleet, number=0):
    """Return a router of domain a that does not collect."""
    collector = fleet.collector("a")
    return [item for item in fleet.near(collector) if item is not collector][number]


def others_running(exchange):
    load = exchange.registry.states["t1"].load
    return load.running - len(load.own)


def test_requests_that_end_while_a_digest_is_under_way_are_not_counted(clock):
    fleet = Fleet(clock)
    one = member(fleet)
    begin(one)
    fleet.collector("a").on_share(one.members.me.id, one.report())
    one.registry.states["t1"].load.end("q1")
    one.on_bundle(one.collector_id, fleet.collector("a").bundle())
    assert one.registry.states["t1"].load.running == 0


def test_the_own_part_is_that_of_the_report_which_went_in(clock):
    fleet = Fleet(clock)
    one, other = member(fleet, 0), member(fleet, 1)
    begin(one)
    begin(other)
    for exchange in (one, other):
        fleet.collector("a").on_share(exchange.members.me.id, exchange.report())
    begin(one, "q2")
    one.report()
    one.on_bundle(one.collector_id, fleet.collector("a").bundle())
    assert others_running(one) == 1


def test_a_lost_digest_costs_one_period(clock):
    fleet = Fleet(clock)
    begin(member(fleet, 1))
    fleet.round()
    begin(member(fleet, 2))
    for exchange in fleet.near(fleet.collector("a")):
        share = exchange.report()
        if exchange is not fleet.collector("a") and share is not None:
            fleet.collector("a").on_share(exchange.members.me.id, share)
    fleet.collector("a").bundle()
    clock.advance(REFRESH_MS)
    fleet.round()
    assert others_running(member(fleet, 0)) == 2


def test_a_digest_that_comes_twice_or_late_changes_nothing(clock):
    fleet = Fleet(clock)
    one, other = member(fleet, 0), member(fleet, 1)
    begin(other)
    fleet.collector("a").on_share(other.members.me.id, other.report())
    late = fleet.collector("a").bundle()
    other.registry.states["t1"].load.end("q1")
    fleet.collector("a").on_share(other.members.me.id, other.report())
    newest = fleet.collector("a").bundle()
    for bundle in (newest, late, newest):
        one.on_bundle(one.collector_id, bundle)
    assert others_running(one) == 0


def test_the_digest_of_another_collector_replaces_the_one_before(clock):
    fleet = Fleet(clock)
    one = member(fleet)
    view = DigestView(one.registry, one.ledger)
    fleet.round()
    begin(member(fleet, 1))
    fleet.round()
    digest = fleet.collector("a").bundle().digest
    digest.targets.add(target_id="t1", running=3)
    view.take("a@x", digest, NOTHING, clock.now())
    view.take("a@y", digest, NOTHING, clock.now())
    assert set(one.registry.states["t1"].load.peers) & {"a@x", "a@y"} == {"a@y"}


def test_targets_without_work_leave_nothing_behind(clock):
    fleet = Fleet(clock)
    one = member(fleet)
    begin(member(fleet, 1))
    fleet.round()
    assert others_running(one) == 1
    member(fleet, 1).registry.states["t1"].load.end("q1")
    fleet.round()
    assert others_running(one) == 0
    assert not one.digests.sums


def test_a_report_that_is_no_longer_kept_has_no_own_part():
    assert OwnHistory().find(3) is NOTHING


def test_a_router_that_told_the_others_itself_is_not_counted_twice(clock):
    fleet = Fleet(clock)
    one, other = member(fleet, 0), member(fleet, 1)
    begin(other)
    one.on_share(other.members.me.id, other.reporter.own(other.near))
    assert others_running(one) == 1
    fleet.collector("a").on_share(other.members.me.id, other.report())
    one.on_bundle(one.collector_id, fleet.collector("a").bundle())
    assert others_running(one) == 1


def test_a_router_without_news_is_silent_until_it_is_time_to_repeat(clock):
    fleet = Fleet(clock)
    one = member(fleet)
    assert one.report() is not None
    clock.advance(REFRESH_MS - 1)
    assert one.report() is None
    clock.advance(1)
    assert one.report() is not None


def entries_for_one(clock, size, busy):
    """Return the load entries that a router decodes in a round in which `busy` targets change."""
    fleet = Fleet(clock, size)
    for exchange in fleet.exchanges.values():
        for number in range(2, busy + 1):
            exchange.registry.put(record(f"t{number}"), 1)
    fleet.round()
    for exchange in fleet.near(fleet.collector("a")):
        for number in range(1, busy + 1):
            exchange.registry.states[f"t{number}"].load.begin(f"q{number}", 10, 10)
    collector = fleet.collector("a")
    for exchange in fleet.near(collector):
        if exchange is not collector:
            collector.on_share(exchange.members.me.id, exchange.report())
    return len(collector.bundle().digest.targets)


@pytest.mark.parametrize("size", [15, 50, 150])
def test_what_a_router_decodes_does_not_grow_with_the_routers(clock, size):
    assert entries_for_one(clock, size, 20) == 20
