"""A target is cold as long as it said, however often a router hears of it, and never shorter."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jacinthcove.clock import ManualClock
from jacinthcove.coldstart.coldtimes import ColdStatement
from jacinthcove.gateway.departed import HELD_MS
from jacinthcove.gateway.targetrecord import ListedTarget
from jacinthcove.gateway.targets import LAPSED_GRACE_MS, TargetRegistry
from jacinthcove.store.kinds import Gap
from tests.gateway.samples import record

COLD_MS = 3_000


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def registry(clock):
    found = TargetRegistry(clock)
    found.put(record("t1", started_at=77), 5)
    return found


def cold_left_ms(registry):
    return registry.states["t1"].cold_until - registry.clock.now()


def cold_entry(revision=6, cold_ms=COLD_MS):
    return ListedTarget(record("t1", started_at=77, cold_for_ms=cold_ms), revision)


@pytest.mark.parametrize("gap", list(Gap))
def test_repeated_list_does_not_make_a_target_cold_again(registry, clock, gap):
    registry.put(cold_entry().record, 6)
    clock.advance(2_000)
    registry.replace_all([cold_entry()], gap)
    assert cold_left_ms(registry) == COLD_MS - 2_000


def test_entry_of_an_older_copy_does_not_make_a_warm_target_cold_again(registry, clock):
    registry.put(cold_entry(6, 3_000).record, 6)
    clock.advance(1_000)
    registry.put(cold_entry(8, 2_000).record, 8)
    clock.advance(2_500)
    registry.put(record("t1", started_at=77), 9)
    registry.replace_all([cold_entry(6, 3_000)], Gap.OLDER_COPY)
    assert cold_left_ms(registry) <= 0


def test_target_that_lapsed_and_returns_is_cold_no_longer_than_before(registry, clock):
    registry.put(cold_entry().record, 6)
    registry.replace_all([], Gap.OUTAGE)
    clock.advance(LAPSED_GRACE_MS)
    registry.expire()
    assert "t1" not in registry.states
    registry.put(cold_entry().record, 6)
    assert cold_left_ms(registry) == COLD_MS - LAPSED_GRACE_MS


def test_entry_held_back_after_an_older_copy_does_not_make_a_target_cold_again(registry, clock):
    registry.put(cold_entry().record, 6)
    registry.delete("t1", False)
    registry.replace_all([cold_entry()], Gap.OLDER_COPY)
    clock.advance(HELD_MS)
    registry.expire()
    assert cold_left_ms(registry) <= 0


def test_target_whose_entry_was_removed_stays_cold(registry, clock):
    registry.put(cold_entry().record, 6)
    registry.delete("t1", False)
    clock.advance(500)
    registry.put(record("t1", started_at=77), 8)
    assert cold_left_ms(registry) == COLD_MS - 500


def test_number_of_a_lost_write_given_out_again_makes_a_target_cold(registry, clock):
    registry.put(cold_entry(6, 1_000).record, 6)
    clock.advance(1_000)
    registry.replace_all([cold_entry(6, 3_000)], Gap.OLDER_COPY)
    assert cold_left_ms(registry) == 3_000


@given(
    writes=st.lists(st.tuples(st.integers(0, 4_000), st.integers(1, 5_000)), min_size=1),
    delays=st.lists(st.integers(0, 3_000), min_size=1),
    relists=st.lists(st.integers(0, 20_000)),
)
def test_target_is_never_cold_for_a_shorter_time_than_it_said(writes, delays, relists):
    clock = ManualClock()
    registry = TargetRegistry(clock)
    begin, time, cold_until = clock.now(), 0, {}
    events = []
    for number, (pause_ms, cold_ms) in enumerate(writes):
        time += pause_ms
        cold_until[number] = time + cold_ms
        # Entries arrive in order, each of them with a delay.
        arrives = max([time + delays[number % len(delays)], *(at for at, _ in events)])
        events.append((arrives, ListedTarget(record("t1", cold_for_ms=cold_ms), number + 1)))
    last = None
    for at, entry in sorted(events + [(at, None) for at in relists], key=lambda item: item[0]):
        clock.advance(max(0, begin + at - clock.now()))
        if entry is not None:
            registry.put(entry.record, entry.revision)
            last = entry
        elif last is not None:
            # A list may come through another router, and be older than the watch before it.
            registry.replace_all([last], Gap.OUTAGE)
        if last is not None:
            heard = max(cold_until[number] for number in range(last.revision))
            assert registry.states["t1"].cold_until - begin >= heard
            said = max(at + item.record.cold_for_ms for at, item in events)
            assert registry.states["t1"].cold_until - begin <= said


def test_outdated_entry_that_leaves_does_not_end_the_start_after_it(registry):
    registry.record_start("t1", 99, COLD_MS)
    registry.put(record("t1", started_at=77, leaving=True), 6)
    registry.put(record("t1", started_at=99), 7)
    assert not registry.states["t1"].record.leaving


def test_usual_cold_time_that_others_report_does_not_extend_what_the_entry_says(clock, registry):
    registry.record_start("t1", 99, COLD_MS)
    registry.put(record("t1", started_at=99, cold_for_ms=500), 6)
    clock.advance(500)
    registry.record_cold_report("t1", ColdStatement(99, 0, COLD_MS), 2_000)
    state = registry.states["t1"]
    assert state.cold_until <= clock.now()
    assert state.quiet_until == 0
