"""Routers tell each other which targets are cold."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.collectors import MAX_DIRECT_ROUTERS
from jacinthcove.gateway.loadreports import REFRESH_MS, ReceiverGroup
from tests.gateway.exchange_bed import Fleet, load_exchange
from tests.gateway.samples import record

COLD_MS = 3_000
STARTED_AT = 77
LATER_START = 99


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture(params=[MAX_DIRECT_ROUTERS, 4], ids=["collectors", "direct"])
def fleet(clock, request):
    """Two failure domains whose routers know a warm target."""
    found = Fleet(clock, request.param)
    for exchange in found.exchanges.values():
        exchange.registry.put(record("t1", started_at=STARTED_AT), 5)
    return found


def cold_left_ms(exchange):
    return exchange.registry.states["t1"].cold_until - exchange.clock.now()


def tell(exchange, started_at=STARTED_AT, revision=6):
    entry = record("t1", started_at=started_at, cold_for_ms=COLD_MS)
    exchange.registry.put(entry, revision)


def test_all_routers_learn_that_a_target_is_cold_from_the_one_that_knows(fleet):
    tell(fleet.exchanges["a3"])
    for _ in range(3):
        fleet.round()
    left = [cold_left_ms(exchange) for exchange in fleet.exchanges.values()]
    assert all(COLD_MS - 3 * 150 <= each <= COLD_MS for each in left)


def test_repeated_reports_do_not_make_a_target_cold_for_longer(fleet, clock):
    tell(fleet.exchanges["a3"])
    begin = clock.now()
    while clock.now() < begin + 2 * COLD_MS:
        fleet.round()
    ends = [exchange.registry.states["t1"].cold_until for exchange in fleet.exchanges.values()]
    assert begin + COLD_MS <= min(ends) <= max(ends) <= begin + COLD_MS + 3 * 150


def test_entry_after_a_report_of_it_does_not_make_a_target_cold_for_longer(fleet, clock):
    tell(fleet.exchanges["a3"])
    for _ in range(3):
        fleet.round()
    clock.advance(2_000)
    late = fleet.exchanges["b2"]
    tell(late)
    assert cold_left_ms(late) <= COLD_MS - 2_000


def test_later_start_that_another_router_reports_is_a_restart(fleet):
    tell(fleet.exchanges["a3"], LATER_START)
    for _ in range(3):
        fleet.round()
    states = [exchange.registry.states["t1"] for exchange in fleet.exchanges.values()]
    assert {state.record.started_at for state in states} == {LATER_START}
    assert all(cold_left_ms(exchange) > 0 for exchange in fleet.exchanges.values())


def test_start_that_another_router_still_takes_for_the_present_one_is_not_a_restart(fleet):
    for name, exchange in fleet.exchanges.items():
        tell(exchange, STARTED_AT if name == "a3" else LATER_START)
    fleet.round()
    others = [each for name, each in fleet.exchanges.items() if name != "a3"]
    known = {exchange.registry.states["t1"].record.started_at for exchange in others}
    assert known == {LATER_START}


def test_start_of_a_target_whose_clock_was_set_back_is_not_taken_for_an_old_one(clock):
    sender, receiver = load_exchange(clock), load_exchange(clock)
    tell(sender, LATER_START)
    receiver.registry.put(record("t1", started_at=LATER_START), 5)
    receiver.registry.put(record("t1", started_at=STARTED_AT), 7)
    receiver.take("r2", sender.reporter.report(sender.same_domain))
    assert receiver.registry.states["t1"].record.started_at == STARTED_AT


def test_router_that_hears_of_a_cold_target_before_its_entry_counts_it_as_cold(clock):
    sender, receiver = load_exchange(clock), load_exchange(clock)
    tell(sender)
    receiver.registry.delete("t1", False)
    receiver.take("r2", sender.reporter.report(sender.same_domain))
    receiver.registry.put(record("t1", started_at=STARTED_AT), 5)
    assert cold_left_ms(receiver) == COLD_MS


def test_report_names_an_idle_target_only_while_it_is_cold(clock):
    sender, group = load_exchange(clock), ReceiverGroup()
    assert not sender.reporter.report(group).targets
    tell(sender)
    assert len(sender.reporter.report(group).targets) == 1
    clock.advance(100)
    assert not sender.reporter.report(group).targets
    clock.advance(REFRESH_MS)
    assert len(sender.reporter.report(group).targets) == 1
    clock.advance(COLD_MS)
    sender.reporter.report(group)
    for _ in range(3):
        clock.advance(REFRESH_MS)
        assert not sender.reporter.report(group).targets


def test_members_do_not_repeat_to_their_collector_what_its_digest_says(clock):
    fleet = Fleet(clock)
    tell(fleet.exchanges["a3"])
    for _ in range(3):
        fleet.round()
    for _ in range(3):
        clock.advance(REFRESH_MS)
        for exchange in fleet.exchanges.values():
            if exchange.collector_in_use() != exchange.members.me.id:
                assert not exchange.reporter.report(exchange.collector_group).targets


def test_usual_cold_time_that_others_report_does_not_replace_that_of_the_entry(clock):
    sender, receiver = load_exchange(clock), load_exchange(clock)
    sender.registry.record_start("t1", LATER_START, COLD_MS)
    receiver.registry.put(record("t1", started_at=LATER_START, cold_for_ms=500), 7)
    receiver.take("r2", sender.reporter.report(sender.same_domain))
    assert cold_left_ms(receiver) == 500


def test_entry_ends_the_usual_cold_time_that_others_reported(clock):
    sender, receiver = load_exchange(clock), load_exchange(clock)
    for exchange in (sender, receiver):
        exchange.registry.put(record("t1", started_at=STARTED_AT), 5)
    sender.registry.record_start("t1", LATER_START, COLD_MS)
    receiver.take("r2", sender.reporter.report(sender.same_domain))
    assert cold_left_ms(receiver) == COLD_MS
    receiver.registry.put(record("t1", started_at=LATER_START, cold_for_ms=500), 7)
    receiver.take("r2", sender.reporter.report(ReceiverGroup()))
    assert cold_left_ms(receiver) == 500
