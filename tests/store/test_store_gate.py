"""Calls to a store that fails must become rare, and normal again at its first reply."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.errors import StoreUnavailable
from jacinthcove.store.kinds import HistoryGone
from jacinthcove.store.storegate import MAX_WAIT_MS, StoreGate

MAX_PAUSE_MS = 600


class Outage:
    """Counts the calls and fails with `error`, if there is one."""

    def __init__(self):
        self.calls = 0
        self.error = StoreUnavailable("away")

    def __call__(self):
        self.calls += 1
        if self.error is not None:
            raise self.error
        return "reply"


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def gate(clock):
    return StoreGate(clock)


def test_five_kinds_that_retry_make_few_calls(gate, clock):
    outage = Outage()
    ends_at = clock.now() + 8_000
    while clock.now() < ends_at:
        for _ in range(5):
            with pytest.raises(StoreUnavailable):
                gate.call(outage, MAX_PAUSE_MS)
        clock.advance(100)
    assert 8 <= outage.calls <= 35


def test_first_reply_ends_the_pauses(gate, clock):
    outage = Outage()
    for _ in range(8):
        with pytest.raises(StoreUnavailable):
            gate.call(outage, MAX_PAUSE_MS)
    outage.error = None
    clock.advance(MAX_PAUSE_MS)
    assert gate.call(outage, MAX_PAUSE_MS) == "reply"
    assert gate.is_open()


def test_kind_that_did_not_fail_waits_for_a_short_pause(gate):
    """If it failed at once, one bad kind would make all others be listed again."""
    outage = Outage()
    with pytest.raises(StoreUnavailable):
        gate.call(outage, MAX_PAUSE_MS)
    outage.error = None
    assert gate.call(outage, MAX_PAUSE_MS) == "reply"


def test_only_one_call_is_under_way_after_a_failure(gate, clock):
    """All kinds that probe a silent store together would take its time-out for each."""
    outage = Outage()
    with pytest.raises(StoreUnavailable):
        gate.call(outage, MAX_PAUSE_MS)
    clock.advance(MAX_PAUSE_MS)

    def probe():
        with pytest.raises(StoreUnavailable):
            gate.call(outage, MAX_PAUSE_MS)
        return "reply"

    assert gate.call(probe, MAX_PAUSE_MS) == "reply"
    assert outage.calls == 1


def test_lost_history_is_a_reply(gate):
    """A pause would delay the list that is needed."""
    outage = Outage()
    outage.error = HistoryGone("gone")
    with pytest.raises(HistoryGone):
        gate.call(outage, MAX_PAUSE_MS)
    assert gate.is_open()


def test_a_probe_that_is_killed_does_not_close_the_gate_for_good(gate, clock):
    outage = Outage()
    with pytest.raises(StoreUnavailable):
        gate.call(outage, MAX_PAUSE_MS)
    clock.advance(MAX_PAUSE_MS)
    outage.error = KeyboardInterrupt()
    with pytest.raises(KeyboardInterrupt):
        gate.call(outage, MAX_PAUSE_MS)
    clock.advance(MAX_PAUSE_MS + MAX_WAIT_MS)
    assert gate.is_open()
