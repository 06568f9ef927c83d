"""Which objects of other writers are kept, and what the others cost."""

import pytest
from structlog.testing import capture_logs
from test_platform_decode import ENTRY

from jacinthcove.clock import SystemClock
from jacinthcove.entries import screen as screens
from jacinthcove.entries.screen import KeptList, KindRule, ObjectScreen, object_bytes
from jacinthcove.gateway.targets import TargetRegistry
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.platform.followers import TargetFollower
from jacinthcove.platform.kindrules import VALUE_BYTES, kind_rules
from jacinthcove.platform.names import (
    CONFIG_KIND,
    DRAINED_DOMAINS_KIND,
    QUARANTINE_KIND,
    ROLLOUTS_KIND,
    ROUTERS_KIND,
    TARGETS_KIND,
)
from jacinthcove.store.changelog import ChangeLog
from jacinthcove.store.kinds import Change, KindObject, Listing, StoreRevision, WatchResult
from jacinthcove.store.kindwatch import KindWatch
from jacinthcove.store.relaycodec import decode_result, encode_result

MEMORY_MB = 160
ROLLOUT = {"service": "models", "to": "v2", "duration_s": 5}
ODD = {
    "a target with a list as its service": (TARGETS_KIND, {**ENTRY, "service": [1]}, None),
    "a target without a state": (TARGETS_KIND, {"service": "models"}, None),
    "a target with a long version": (TARGETS_KIND, {**ENTRY, "version": "v" * 2_000}, None),
    "a rollout to a number": (ROLLOUTS_KIND, {**ROLLOUT, "to": 7}, None),
    "a configuration of another name": (CONFIG_KIND, {"version": 7}, None),
    "parts of a combination that are numbers": (QUARANTINE_KIND, {"parts": [1]}, None),
    "a combination without parts": (QUARANTINE_KIND, {"parts": []}, None),
    "a router that is a text": (ROUTERS_KIND, "r-1", None),
}


@pytest.fixture
def screen():
    return ObjectScreen(kind_rules(MEMORY_MB))


def odd_count(screen, kind):
    return screen.metrics.counter("store_objects_odd_total", kind=kind).value


@pytest.mark.parametrize("what", sorted(ODD))
def test_odd_object_is_counted_and_not_kept(screen, what):
    kind, spec, status = ODD[what]
    assert screen.admit(kind, KindObject("x-1", 5, spec, status)) is None
    assert odd_count(screen, kind) == 1


def test_rollout_with_a_list_as_its_state_does_not_stop_the_others(screen):
    """It raised an error that no reader of the kind expected, so the kind was listed for ever."""
    item = KindObject("models", 5, ROLLOUT, {"to": "v2", "state": ["running"]})
    assert screen.admit(ROLLOUTS_KIND, item) is not None


def test_evacuation_is_kept_by_its_name_whatever_it_holds(screen):
    item = screen.admit(DRAINED_DOMAINS_KIND, KindObject("a", 5, [[1]] * 1_000))
    assert item == KindObject("a", 5, None)


def test_only_what_routers_read_of_a_target_is_kept(screen):
    item = screen.admit(TARGETS_KIND, KindObject("i-1", 5, {**ENTRY, "more": [[]] * 9_000}))
    assert object_bytes(item) < 1_000


def test_many_odd_objects_write_few_log_lines(screen):
    with capture_logs() as lines:
        for number in range(5_000):
            screen.admit(TARGETS_KIND, KindObject(f"x-{number}" + "n" * 900, 5, None))
    assert len(lines) == screens.MAX_LOGGED
    assert max(len(str(line)) for line in lines) < 500
    assert odd_count(screen, TARGETS_KIND) == 5_000


def test_many_sound_objects_are_kept_up_to_the_limit_of_their_kind():
    screen = ObjectScreen({TARGETS_KIND: KindRule(kept_bytes=50_000)})
    kept = KeptList(screen, TARGETS_KIND)
    for number in range(1_000):
        kept.add(KindObject(f"i-{number}", 5, ENTRY))
    assert 10 < len(kept.objects) < 100
    assert odd_count(screen, TARGETS_KIND) == 1_000 - len(kept.objects)


class Writer:
    """A source that lists one target, and then has a change for each of many others."""

    def __init__(self, changes):
        self.changes = changes

    def list_all(self, kind):
        return Listing((KindObject("i-known", 1, ENTRY),), StoreRevision(1, 1))

    def watch(self, kind, revision, wait_ms):
        return WatchResult(self.changes, StoreRevision(1, revision.number + len(self.changes)))


def follow(changes, kept_bytes):
    """Return the registry of a router that has followed `changes` with room for `kept_bytes`."""
    clock = SystemClock()
    registry = TargetRegistry(clock)
    log = ChangeLog(clock, kept_bytes)
    watch = KindWatch(Writer(changes), clock, TARGETS_KIND, 100, TargetFollower(registry), log)
    watch._list_or_watch()
    watch._list_or_watch()
    return registry, log


def test_written_targets_beyond_the_limit_do_not_push_out_those_that_are_known():
    changes = [Change(KindObject(f"i-{n}", 2 + n, ENTRY), False) for n in range(500)]
    changes.append(Change(KindObject("i-known", 600, {**ENTRY, "version": "v9"}), False))
    registry, log = follow(changes, 20_000)
    assert registry.states["i-known"].record.version == "v9"
    assert 5 < len(registry.states) < 50
    assert log.snapshot.kept_bytes <= 20_000
    assert set(log.snapshot.objects) == set(registry.states)


def test_target_whose_entry_becomes_odd_is_used_no_more(screen):
    change = screen.admit_change(TARGETS_KIND, Change(KindObject("i-known", 9, {}), False))
    registry, log = follow([change], 20_000)
    assert not registry.states
    assert not log.snapshot.objects


def test_large_value_from_another_router_is_not_decoded(screen):
    """A router of an earlier version passes on what it has read."""
    spec = b'{"service":[' + b"[]," * VALUE_BYTES + b"1]}"
    good = pb.StoreChange(name="a", revision=2, spec=b"null", status=b"null")
    odd = pb.StoreChange(name="i-1", revision=3, spec=spec, status=b"null")
    news = pb.StoreNews(revision=3, era=1, changes=[odd])
    result = decode_result(news, TARGETS_KIND, screen)
    assert result.changes == [Change(KindObject("i-1", 3, None), True, odd=True)]
    news = pb.StoreNews(revision=3, era=1, changes=[good])
    assert not decode_result(news, DRAINED_DOMAINS_KIND, screen).changes[0].deleted


def test_routers_pass_on_the_name_of_an_odd_object(screen):
    odd = screen.admit_change(TARGETS_KIND, Change(KindObject("i-1", 3, {"a": "b" * 999}), False))
    news = encode_result(WatchResult([odd], StoreRevision(1, 3), relay_age_ms=0))
    assert news.ByteSize() < 100
    assert decode_result(news, TARGETS_KIND, screen).changes == [odd]
