"""The registry of known targets."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.departed import HELD_MS
from jacinthcove.gateway.drains import KEPT_MS
from jacinthcove.gateway.targetrecord import ListedTarget
from jacinthcove.gateway.targets import (
    LAPSED_GRACE_MS,
    UNREACHABLE_MAX_PAUSE_MS,
    UNREACHABLE_PAUSE_MS,
    TargetRegistry,
)
from jacinthcove.store.kinds import Gap
from tests.gateway.samples import record, target


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def registry(clock):
    registry = TargetRegistry(clock)
    registry.replace_all(listed(5, record("t1"), record("t2", failure_domain="b")), Gap.NONE)
    return registry


def listed(revision, *records):
    return [ListedTarget(item, revision) for item in records]


def usable(registry):
    return [state.record.id for state in registry.usable("models")]


def test_a_leaving_target_gets_no_new_requests(registry):
    chosen = registry.states["t1"]
    registry.put(record("t1", leaving=True), 6)
    assert usable(registry) == ["t2"]
    assert not registry.may_send(chosen)


def test_a_removed_target_gets_no_new_requests(registry):
    chosen = registry.states["t1"]
    registry.delete("t1", False)
    assert usable(registry) == ["t2"]
    assert not registry.may_send(chosen)


def test_a_drained_failure_domain_gets_no_requests_until_it_returns(registry):
    registry.drained.replace(frozenset(("b",)), Gap.NONE)
    assert usable(registry) == ["t1"]
    registry.drained.replace(frozenset(), Gap.NONE)
    assert usable(registry) == ["t1", "t2"]


def test_a_drain_that_an_older_copy_lacks_is_kept_until_it_is_written_again(registry, clock):
    registry.drained.add("b")
    registry.drained.replace(frozenset(), Gap.OLDER_COPY)
    clock.advance(KEPT_MS - 1)
    assert usable(registry) == ["t1"]
    registry.drained.add("b")
    clock.advance(KEPT_MS)
    assert usable(registry) == ["t1"]


@pytest.mark.parametrize("again", [True, False])
def test_a_domain_returns_after_an_older_copy_when_its_drain_ends(registry, clock, again):
    registry.drained.add("b")
    registry.drained.replace(frozenset(), Gap.OLDER_COPY)
    if again:
        registry.drained.add("b")
        registry.drained.remove("b")
    else:
        clock.suspend(KEPT_MS)
    assert usable(registry) == ["t1", "t2"]


def test_a_target_that_left_is_not_used_because_an_older_copy_lists_it(registry, clock):
    registry.delete("t1", False)
    copy = listed(5, record("t1"), record("t2", failure_domain="b"))
    registry.replace_all(copy, Gap.OLDER_COPY)
    clock.advance(HELD_MS - 1)
    registry.expire()
    assert usable(registry) == ["t2"]
    registry.delete("t1", False)
    clock.advance(HELD_MS)
    registry.expire()
    assert usable(registry) == ["t2"]


@pytest.mark.parametrize("written", [True, False])
def test_a_target_of_an_older_copy_that_is_alive_is_used_again(registry, clock, written):
    registry.delete("t1", False)
    registry.replace_all(listed(5, record("t1")), Gap.OLDER_COPY)
    if written:
        registry.put(record("t1"), 6)
    else:
        clock.advance(HELD_MS)
        registry.expire()
    assert "t1" in usable(registry)


@pytest.mark.parametrize("fields", [{"started_at": 8}, {}])
def test_an_older_copy_does_not_make_a_leaving_target_ready(registry, fields):
    """Only another start of the target is ready again."""
    registry.put(record("t1", started_at=7), 5)
    registry.put(record("t1", started_at=7, leaving=True), 6)
    registry.replace_all(listed(5, record("t1", **({"started_at": 7} | fields))), Gap.OLDER_COPY)
    assert ("t1" in usable(registry)) == bool(fields)


def test_a_target_that_an_older_copy_lacks_stays_usable_until_it_writes_again(registry, clock):
    registry.replace_all(listed(4, record("t2", failure_domain="b")), Gap.OLDER_COPY)
    assert usable(registry) == ["t1", "t2"]
    clock.advance(LAPSED_GRACE_MS)
    assert usable(registry) == ["t2"]


def test_an_entry_that_lapsed_in_a_store_outage_has_a_grace_period(registry, clock):
    registry.replace_all(listed(9, record("t2", failure_domain="b")), Gap.OUTAGE)
    assert usable(registry) == ["t1", "t2"]
    clock.advance(LAPSED_GRACE_MS)
    assert usable(registry) == ["t2"]
    registry.expire()
    assert "t1" not in registry.states


def test_the_grace_period_ends_while_the_vm_is_suspended(registry, clock):
    registry.replace_all(listed(9, record("t2", failure_domain="b")), Gap.OUTAGE)
    clock.suspend(LAPSED_GRACE_MS)
    assert usable(registry) == ["t2"]


def test_a_target_stays_usable_when_its_entry_returns_in_the_grace_period(registry, clock):
    registry.replace_all([], Gap.OUTAGE)
    registry.put(record("t1"), 10)
    clock.advance(LAPSED_GRACE_MS)
    assert usable(registry) == ["t1"]


def test_a_leaving_target_has_no_grace_period(registry):
    registry.put(record("t1", leaving=True), 6)
    registry.replace_all([], Gap.OUTAGE)
    assert "t1" not in registry.states


def test_a_target_at_a_new_address_starts_without_load(registry):
    registry.states["t1"].load.begin("q1", 10, 10)
    registry.put(record("t1", address="10.0.0.9:80"), 7)
    assert registry.states["t1"].load.running == 0


def test_a_restarted_target_is_cold_and_has_no_cached_parts(registry):
    registry.states["t1"].recent_parts["doc"] = 1
    registry.put(record("t1", started_at=77, cold_for_ms=3_000), 7)
    state = registry.states["t1"]
    assert state.recent_parts == {}
    assert state.cold_until > registry.clock.now()


def test_a_target_that_announced_leaving_is_not_used_until_it_returns(registry):
    registry.mark_leaving("t1", 0)
    registry.put(record("t1", cold_for_ms=5), 7)
    assert usable(registry) == ["t2"]
    registry.put(record("t1", leaving=True), 8)
    registry.put(record("t1"), 9)
    assert usable(registry) == ["t1", "t2"]


def test_a_removed_entry_that_returns_is_still_leaving(registry):
    registry.mark_leaving("t1", 0)
    registry.delete("t1", False)
    registry.put(record("t1"), 9)
    assert usable(registry) == ["t2"]


def test_a_service_is_paused_until_the_first_pause_of_a_target_ends(registry, clock):
    registry.states["t1"].pause_for(clock.now(), 900)
    assert registry.paused_for_ms("models") == 0
    assert not registry.may_send(registry.states["t1"])
    registry.states["t2"].pause_for(clock.now(), 400)
    assert registry.paused_for_ms("models") == 400
    clock.advance(400)
    assert registry.may_send(registry.states["t2"])


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
    registry = TargetRegistry(clock)
    registry.put(record("old", address="10.0.0.1:80", started_at=100), 1)
    registry.put(record("new", address="10.0.0.1:80", started_at=200), 2)
    registry.put(record("other", address="10.0.0.2:80", started_at=50), 3)
    assert [state.record.id for state in registry.usable("models")] == ["new", "other"]
    registry.delete("new", False)
    assert [state.record.id for state in registry.usable("models")] == ["old", "other"]


def test_reused_address_does_not_bring_a_former_target_back(clock):
    registry = TargetRegistry(clock)
    registry.put(record("t1", started_at=1_000), 1)
    registry.record_start("t1", 9_000, 3_000)
    registry.put(record("t2", started_at=9_000), 2)
    assert usable(registry) == ["t2"]


def test_restarted_target_is_not_superseded_by_itself(clock):
    registry = TargetRegistry(clock)
    registry.put(record("t1", started_at=1_000, leaving=True), 1)
    registry.record_start("t1", 9_000, 3_000)
    assert usable(registry) == ["t1"]
    registry.put(record("t1", started_at=1_000, leaving=True), 2)
    assert [state.record.started_at for state in registry.usable("models")] == [9_000]
    registry.put(record("t1", started_at=9_000), 3)
    registry.put(record("t1", started_at=12_000, cold_for_ms=500), 4)
    assert [state.record.started_at for state in registry.usable("models")] == [12_000]


@pytest.mark.parametrize("left_ms", [0, 2_000])
def test_restarted_target_is_cold_no_longer_than_its_entry_says(clock, left_ms):
    registry = TargetRegistry(clock)
    registry.put(record("t1", started_at=1_000), 1)
    registry.record_start("t1", 9_000, 3_000)
    clock.advance(500)
    registry.put(record("t1", started_at=9_000, cold_for_ms=left_ms), 2)
    assert max(0, registry.states["t1"].cold_until - clock.now()) == left_ms


def test_entry_counts_again_when_a_target_names_the_start_in_it(clock):
    registry = TargetRegistry(clock)
    registry.put(record("t1", started_at=1_000), 1)
    registry.record_start("t1", 900, 3_000)
    registry.record_start("t1", 1_000, 3_000)
    registry.put(record("t1", started_at=1_000, leaving=True), 2)
    assert usable(registry) == []


def test_entry_of_an_earlier_start_is_outdated_however_often_the_target_restarted(clock):
    registry = TargetRegistry(clock)
    registry.put(record("t1", started_at=1_000), 1)
    registry.record_start("t1", 2_000, 3_000)
    registry.record_start("t1", 3_000, 3_000)
    for revision, started_at in ((1, 1_000), (2, 2_000)):
        registry.put(record("t1", started_at=started_at), revision)
        assert registry.states["t1"].record.started_at == 3_000


def test_removed_target_of_an_older_copy_is_held_back_after_it_named_a_start(clock):
    registry = TargetRegistry(clock)
    registry.put(record("t1", started_at=1_000), 1)
    registry.record_start("t1", 2_000, 3_000)
    registry.delete("t1", False)
    registry.replace_all(listed(1, record("t1", started_at=1_000)), Gap.OLDER_COPY)
    assert usable(registry) == []


def test_restarted_target_keeps_nothing_of_its_former_start(clock):
    registry = TargetRegistry(clock)
    registry.put(record("t1", started_at=1_000), 1)
    state = registry.states["t1"]
    state.load.begin("q1", 100, 100)
    state.record_parts(["p"], own=True)
    state.record_result(True)
    state.record_full(clock.now(), 0.5)
    registry.mark_leaving("t1", 1_000)
    registry.record_start("t1", 2_000, 3_000)
    assert usable(registry) == ["t1"]
    assert state.load.running == 0
    assert not state.recent_parts
    assert not state.sent_parts
    assert state.error_rate == 0
    assert registry.may_send(state)
