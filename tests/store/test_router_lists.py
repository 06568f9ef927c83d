"""A list from another router must be complete, recent, and no older than what was known."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.errors import PeerUnavailable, StoreUnavailable
from jacinthcove.mesh.kinds import STORE_LIST_PULL
from jacinthcove.store import snapshot
from jacinthcove.store.changelog import ChangeLog
from jacinthcove.store.kinds import Change, KindObject, Listing, StoreRevision
from jacinthcove.store.listings import pull_listing
from jacinthcove.store.otherrouters import OtherRouters
from jacinthcove.store.relayroles import RelayRoles
from jacinthcove.store.relayservice import RelayService
from jacinthcove.store.startwait import FIRST_START_LIMIT_MS, RESTART_LIMIT_MS, StartWait

KIND = "things"
NOTHING = StoreRevision(0, 0)
MAX_AGE_MS = 2_000


def at(number, era=1):
    return StoreRevision(era, number)


def items(count):
    return [KindObject(f"n{number:03}", number + 1, {"x": number}) for number in range(count)]


class Answering:
    """Peers of which one answers from a log; `between` runs before each page but the first."""

    def __init__(self, clock):
        self.clock = clock
        self.log = ChangeLog(clock)
        self.service = RelayService(clock, {KIND: self.log})
        self.pages = 0
        self.between = lambda: None
        self.silent = set()

    def call(self, router, kind, message, timeout_ms):
        if router in self.silent:
            raise PeerUnavailable(router)
        assert kind == STORE_LIST_PULL
        if self.pages:
            self.between()
        self.pages += 1
        return self.service.serve_list("me", message)

    def hold(self, objects, revision):
        self.log.snapshot.replace(Listing(tuple(objects), revision), self.clock.boot())


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def other(clock):
    return Answering(clock)


def pull(other, at_least=NOTHING):
    return pull_listing(other.clock, other, "r1", KIND, at_least, MAX_AGE_MS)


def test_list_in_pages_has_all_objects(other, monkeypatch):
    monkeypatch.setattr(snapshot, "MAX_PAGE_BYTES", 2_000)
    other.hold(items(40), at(90))
    found = pull(other)
    assert list(found.objects) == items(40)
    assert found.revision == at(90)
    assert other.pages > 5


def test_one_object_above_the_size_of_a_page_is_given(other, monkeypatch):
    monkeypatch.setattr(snapshot, "MAX_PAGE_BYTES", 10)
    other.hold(items(3), at(90))
    assert len(pull(other).objects) == 3


def test_list_has_the_revision_of_its_first_page(other, monkeypatch):
    """Changes between the pages are read again after it, so that no deletion is missed."""
    monkeypatch.setattr(snapshot, "MAX_PAGE_BYTES", 2_000)
    other.hold(items(40), at(90))
    deleted = [Change(items(40)[0], True)]
    other.between = lambda: other.log.snapshot.apply(deleted, at(91), other.clock.boot())
    assert pull(other).revision == at(90)


def test_list_of_two_copies_is_refused(other, monkeypatch):
    monkeypatch.setattr(snapshot, "MAX_PAGE_BYTES", 2_000)
    other.hold(items(40), at(90))
    other.between = lambda: other.hold(items(40), at(95, era=2))
    with pytest.raises(StoreUnavailable):
        pull(other)


@pytest.mark.parametrize("known", [at(91), at(1, era=2)], ids=["revision", "era"])
def test_list_before_what_was_known_is_refused(other, known):
    other.hold(items(3), at(90))
    with pytest.raises(StoreUnavailable):
        pull(other, known)


def test_list_of_an_era_before_one_that_was_heard_of_is_refused(other, clock):
    """Another router said in a reply that the store came back from an older copy."""
    other.hold(items(3), at(90))
    routers = OtherRouters(clock)
    routers.peers = other
    routers.least_era = 2
    assert routers.list_at_first(KIND, ["r1"], NOTHING, MAX_AGE_MS) is None


def test_list_without_recent_word_is_refused(other, clock):
    """A router that was frozen or lost the store has what may be changed since."""
    other.hold(items(3), at(90))
    clock.advance(MAX_AGE_MS)
    with pytest.raises(StoreUnavailable):
        pull(other)


def test_list_tells_how_old_it_is(other, clock):
    other.hold(items(3), at(90))
    held_at = clock.boot()
    clock.advance(700)
    assert pull(other).known_at == held_at


def test_list_of_a_router_without_one_is_not_taken_for_an_empty_one(other):
    with pytest.raises(StoreUnavailable):
        pull(other)


def test_empty_kind_is_listed(other):
    other.hold([], at(90))
    assert pull(other).objects == ()


def test_next_router_is_asked_when_one_is_silent(other, clock):
    other.hold(items(3), at(90))
    other.silent.add("r0")
    routers = OtherRouters(clock)
    routers.peers = other
    assert routers.list_at_first(KIND, ["r0", "r1"], NOTHING, MAX_AGE_MS)[0] == "r1"


def test_silence_of_all_routers_differs_from_none_that_knows(other, clock):
    """A router that reaches no other one has to ask the store itself."""
    routers = OtherRouters(clock)
    routers.peers = other
    assert routers.list_at_first(KIND, ["r1"], NOTHING, MAX_AGE_MS) is None
    other.silent.add("r1")
    with pytest.raises(PeerUnavailable):
        routers.list_at_first(KIND, ["r1"], NOTHING, MAX_AGE_MS)


def test_snapshot_follows_changes_and_deletions(other):
    first, second, third = items(3)
    other.hold([first, second], at(2))
    changes = [Change(second, True), Change(third, False)]
    other.log.snapshot.apply(changes, at(4), other.clock.boot())
    assert (pull(other).objects, pull(other).revision) == ((first, third), at(4))


def test_snapshot_that_takes_too_much_memory_is_not_given(other, monkeypatch):
    monkeypatch.setattr(snapshot, "MAX_SNAPSHOT_BYTES", 1_000)
    other.hold(items(10), at(90))
    with pytest.raises(StoreUnavailable):
        pull(other)
    other.log.snapshot.apply([], at(91), other.clock.boot())
    with pytest.raises(StoreUnavailable):
        pull(other)


@pytest.mark.parametrize(
    ("is_first", "limit_ms"), [(True, FIRST_START_LIMIT_MS), (False, RESTART_LIMIT_MS)]
)
def test_start_without_other_routers_does_not_wait_longer_than_its_limit(clock, is_first, limit_ms):
    wait = StartWait(clock, RelayRoles())
    wait.record_start(is_first, 20)
    began_at = clock.now()
    wait.wait()
    assert clock.now() - began_at <= limit_ms + 20


def test_start_in_a_small_fleet_does_not_wait(clock):
    wait = StartWait(clock, RelayRoles())
    wait.record_start(True, 5)
    began_at = clock.now()
    wait.wait()
    assert clock.now() == began_at
