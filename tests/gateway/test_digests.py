"""Digests of a failure domain, from which each router subtracts its own contribution."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.digests import NO_CONTRIBUTION, ContributionHistory, DigestTotals
from jacinthcove.gateway.loadreports import REFRESH_MS
from tests.gateway.samples import record
from tests.gateway.test_loadexchange import Fleet, begin


@pytest.fixture
def clock():
    return ManualClock()


def member(fleet, number=0):
    """Return a router of domain a that is not its collector."""
    collector = fleet.collector("a")
    return [item for item in fleet.same_domain(collector) if item is not collector][number]


def others_running(exchange):
    load = exchange.registry.states["t1"].load
    return load.running - len(load.own)


def test_own_requests_that_end_while_a_digest_is_in_transit_are_not_counted(clock):
    fleet = Fleet(clock)
    one = member(fleet)
    begin(one)
    fleet.collector("a").on_share(one.members.me.id, one.report_to_collector())
    one.registry.states["t1"].load.end("q1")
    one.on_bundle(one.collector_id, fleet.collector("a").same_domain_bundle())
    assert one.registry.states["t1"].load.running == 0


def test_the_contribution_subtracted_is_that_of_the_report_in_the_digest(clock):
    fleet = Fleet(clock)
    one, other = member(fleet, 0), member(fleet, 1)
    begin(one)
    begin(other)
    for exchange in (one, other):
        fleet.collector("a").on_share(exchange.members.me.id, exchange.report_to_collector())
    begin(one, "q2")
    one.report_to_collector()
    one.on_bundle(one.collector_id, fleet.collector("a").same_domain_bundle())
    assert others_running(one) == 1


def test_a_lost_digest_is_made_up_for_by_the_next_refresh(clock):
    fleet = Fleet(clock)
    begin(member(fleet, 1))
    fleet.round()
    begin(member(fleet, 2))
    for exchange in fleet.same_domain(fleet.collector("a")):
        share = exchange.report_to_collector()
        if exchange is not fleet.collector("a") and share is not None:
            fleet.collector("a").on_share(exchange.members.me.id, share)
    fleet.collector("a").same_domain_bundle()
    clock.advance(REFRESH_MS)
    fleet.round()
    assert others_running(member(fleet, 0)) == 2


def test_a_duplicate_or_delayed_digest_is_ignored(clock):
    fleet = Fleet(clock)
    one, other = member(fleet, 0), member(fleet, 1)
    begin(other)
    fleet.collector("a").on_share(other.members.me.id, other.report_to_collector())
    late = fleet.collector("a").same_domain_bundle()
    other.registry.states["t1"].load.end("q1")
    fleet.collector("a").on_share(other.members.me.id, other.report_to_collector())
    newest = fleet.collector("a").same_domain_bundle()
    for bundle in (newest, late, newest):
        one.on_bundle(one.collector_id, bundle)
    assert others_running(one) == 0


def test_the_digest_of_a_new_collector_replaces_that_of_the_previous_one(clock):
    fleet = Fleet(clock)
    one = member(fleet)
    totals = DigestTotals(one.registry, one.ledger)
    fleet.round()
    begin(member(fleet, 1))
    fleet.round()
    digest = fleet.collector("a").same_domain_bundle().digest
    digest.targets.add(target_id="t1", running=3)
    totals.apply("a@x", digest, NO_CONTRIBUTION, clock.now())
    totals.apply("a@y", digest, NO_CONTRIBUTION, clock.now())
    assert set(one.registry.states["t1"].load.peers) & {"a@x", "a@y"} == {"a@y"}


def test_idle_targets_keep_no_totals(clock):
    fleet = Fleet(clock)
    one = member(fleet)
    begin(member(fleet, 1))
    fleet.round()
    assert others_running(one) == 1
    member(fleet, 1).registry.states["t1"].load.end("q1")
    fleet.round()
    assert others_running(one) == 0
    assert not one.digest_totals.load_totals


def test_a_report_dropped_from_the_history_has_no_contribution():
    assert ContributionHistory().find(3) is NO_CONTRIBUTION


def test_a_router_that_reported_directly_is_not_counted_twice(clock):
    fleet = Fleet(clock)
    one, other = member(fleet, 0), member(fleet, 1)
    begin(other)
    one.on_share(other.members.me.id, other.reporter.report(other.same_domain))
    assert others_running(one) == 1
    fleet.collector("a").on_share(other.members.me.id, other.report_to_collector())
    one.on_bundle(one.collector_id, fleet.collector("a").same_domain_bundle())
    assert others_running(one) == 1


def test_a_router_without_changes_sends_nothing_until_the_refresh_period(clock):
    fleet = Fleet(clock)
    one = member(fleet)
    assert one.report_to_collector() is not None
    clock.advance(REFRESH_MS - 1)
    assert one.report_to_collector() is None
    clock.advance(1)
    assert one.report_to_collector() is not None


def decoded_entries(clock, size, busy):
    """Return the load entries that a router decodes in a round in which `busy` targets change."""
    fleet = Fleet(clock, size)
    for exchange in fleet.exchanges.values():
        for number in range(2, busy + 1):
            exchange.registry.put(record(f"t{number}"), 1)
    fleet.round()
    for exchange in fleet.same_domain(fleet.collector("a")):
        for number in range(1, busy + 1):
            exchange.registry.states[f"t{number}"].load.begin(f"q{number}", 10, 10)
    collector = fleet.collector("a")
    for exchange in fleet.same_domain(collector):
        if exchange is not collector:
            collector.on_share(exchange.members.me.id, exchange.report_to_collector())
    return len(collector.same_domain_bundle().digest.targets)


@pytest.mark.parametrize("size", [15, 50, 150])
def test_the_entries_a_router_decodes_do_not_grow_with_the_number_of_routers(clock, size):
    assert decoded_entries(clock, size, 20) == 20
