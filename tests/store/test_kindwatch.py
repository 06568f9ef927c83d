"""A router that is behind must not spend its time on states that are gone already."""

from jacinthcove.clock import SystemClock
from jacinthcove.store.kinds import Change, Gap, KindObject, Listing, StoreRevision, WatchResult
from jacinthcove.store.kindwatch import KindWatch

START = StoreRevision(1, 0)


class Follower:
    def __init__(self):
        self.applied = []

    def on_list(self, listing, gap):
        assert gap is Gap.NONE

    def on_change(self, change, in_outage):
        self.applied.append((change.object.name, change.object.revision, change.deleted))

    def on_confirmed(self, known_at):
        del known_at


class Source:
    """Returns a list without objects, then all changes at once."""

    def __init__(self, changes):
        self.changes = changes

    def list_all(self, kind):
        del kind
        return Listing((), START)

    def watch(self, kind, revision, wait_ms):
        del kind, revision, wait_ms
        return WatchResult(self.changes, StoreRevision(1, len(self.changes)))


def apply(*writes):
    """Return what a follower applied of changes that came in one response."""
    changes = [
        Change(KindObject(name, number, {}), deleted)
        for number, (name, deleted) in enumerate(writes, 1)
    ]
    follower = Follower()
    watch = KindWatch(Source(changes), SystemClock(), "things", 100, follower)
    watch._list_or_watch()
    watch._list_or_watch()
    return follower.applied


def test_only_the_last_of_several_versions_in_a_response_is_applied():
    """Decoding each of many versions of a large configuration would hold the event loop."""
    applied = apply(("main", False), ("other", False), ("main", False), ("main", False))
    assert applied == [("other", 2, False), ("main", 4, False)]


def test_a_deletion_before_a_new_start_is_not_skipped():
    """An object that was deleted and written again is a new one."""
    applied = apply(("a", False), ("a", True), ("a", False))
    assert applied == [("a", 2, True), ("a", 3, False)]
