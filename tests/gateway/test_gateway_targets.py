"""The registry of known targets."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.targets import (
    LAPSED_GRACE_MS,
    UNREACHABLE_MAX_PAUSE_MS,
    UNREACHABLE_PAUSE_MS,
    TargetRegistry,
)
from tests.gateway.samples import record, target


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def book(clock):
    book = TargetRegistry(clock)
    book.replace_all([record("t1"), record("t2", failure_domain="b")], 5, False)
    return book


def usable(book):
    return [state.record.id for state in book.usable("models")]


def test_a_leaving_target_gets_no_new_requests(book):
    chosen = book.states["t1"]
    book.put(record("t1", leaving=True), 6)
    assert usable(book) == ["t2"]
    assert not book.may_send(chosen)


def test_a_removed_target_gets_no_new_requests(book):
    chosen = book.states["t1"]
    book.delete("t1", False)
    assert usable(book) == ["t2"]
    assert not book.may_send(chosen)


def test_a_drained_failure_domain_gets_no_requests_until_it_returns(book):
    book.set_drained(frozenset(("b",)))
    assert usable(book) == ["t1"]
    book.set_drained(frozenset())
    assert usable(book) == ["t1", "t2"]


def test_an_entry_that_lapsed_in_a_store_outage_has_a_grace_period(book, clock):
    book.replace_all([record("t2", failure_domain="b")], 9, True)
    assert usable(book) == ["t1", "t2"]
    clock.advance(LAPSED_GRACE_MS)
    assert usable(book) == ["t2"]
    book.expire()
    assert "t1" not in book.states


def test_the_grace_period_ends_while_the_vm_is_suspended(book, clock):
    book.replace_all([record("t2", failure_domain="b")], 9, True)
    clock.suspend(LAPSED_GRACE_MS)
    assert usable(book) == ["t2"]


def test_a_target_stays_usable_when_its_entry_returns_in_the_grace_period(book, clock):
    book.replace_all([], 9, True)
    book.put(record("t1"), 10)
    clock.advance(LAPSED_GRACE_MS)
    assert usable(book) == ["t1"]


def test_a_leaving_target_has_no_grace_period(book):
    book.put(record("t1", leaving=True), 6)
    book.replace_all([], 9, True)
    assert "t1" not in book.states


def test_a_target_at_a_new_address_starts_without_load(book):
    book.states["t1"].load.begin("q1", 10, 10)
    book.put(record("t1", address="10.0.0.9:80"), 7)
    assert book.states["t1"].load.running == 0


def test_a_restarted_target_is_cold_and_has_no_cached_parts(book):
    book.states["t1"].recent_parts["doc"] = 1
    book.put(record("t1", started_at=77, cold_for_ms=3_000), 7)
    state = book.states["t1"]
    assert state.recent_parts == {}
    assert state.cold_until > book.clock.now()


def test_a_target_that_announced_leaving_is_not_used_until_it_returns(book):
    book.mark_leaving("t1", 0)
    book.put(record("t1", cold_for_ms=5), 7)
    assert usable(book) == ["t2"]
    book.put(record("t1", leaving=True), 8)
    book.put(record("t1"), 9)
    assert usable(book) == ["t1", "t2"]


def test_a_removed_entry_that_returns_is_still_leaving(book):
    book.mark_leaving("t1", 0)
    book.delete("t1", False)
    book.put(record("t1"), 9)
    assert usable(book) == ["t2"]


def test_a_service_is_paused_until_the_first_pause_of_a_target_ends(book, clock):
    book.states["t1"].pause_for(clock.now(), 900)
    assert book.paused_for_ms("models") == 0
    assert not book.may_send(book.states["t1"])
    book.states["t2"].pause_for(clock.now(), 400)
    assert book.paused_for_ms("models") == 400
    clock.advance(400)
    assert book.may_send(book.states["t2"])


def test_the_pause_of_a_target_grows_with_each_failed_connection(clock):
    state = target(clock)
    state.record_connect_failure(clock.now())
    assert state.unreachable_until - clock.now() == UNREACHABLE_PAUSE_MS
    for _ in range(9):
        state.record_connect_failure(clock.now())
    assert state.unreachable_until - clock.now() == UNREACHABLE_MAX_PAUSE_MS
    state.record_result(False)
    assert state.unreachable_until == 0


def test_a_target_with_a_later_start_at_the_same_address_replaces_an_entry(clock):
    book = TargetRegistry(clock)
    book.put(record("old", address="10.0.0.1:80", started_at=100), 1)
    book.put(record("new", address="10.0.0.1:80", started_at=200), 2)
    book.put(record("other", address="10.0.0.2:80", started_at=50), 3)
    assert [state.record.id for state in book.usable("models")] == ["new", "other"]
    book.delete("new", False)
    assert [state.record.id for state in book.usable("models")] == ["old", "other"]
