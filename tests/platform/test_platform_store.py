"""The client of the platform's store, and watches that follow its kinds."""

import gevent
import pytest
from store_standin import eventually

from jacinthcove.clock import SystemClock
from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.platform.storeclient import PlatformStoreClient
from jacinthcove.store import connections
from jacinthcove.store.kinds import Gap, HistoryGone, StoreRevision
from jacinthcove.store.kindwatch import OUTAGE_MS, KindWatch

WAIT_MS = 150


class Recorder:
    """A follower that records its calls."""

    def __init__(self):
        self.names = set()
        self.lists = []
        self.confirmed = 0

    def on_list(self, listing, gap):
        self.names = {item.name for item in listing.objects}
        self.lists.append(gap)

    def on_change(self, change, in_outage):
        name = {change.object.name}
        self.names = self.names - name if change.deleted else self.names | name

    def on_confirmed(self, known_at):
        self.confirmed = known_at


@pytest.fixture
def store_client(store):
    store_client = PlatformStoreClient(store.address, 300)
    yield store_client
    store_client.close()


@pytest.fixture
def recorder():
    return Recorder()


@pytest.fixture
def watch(store_client, recorder):
    watch = KindWatch(store_client, SystemClock(), "things", WAIT_MS, recorder)
    watch.start()
    yield watch
    watch.close()


def test_a_reply_without_end_is_cut_off(store, store_client, monkeypatch):
    """The bytes of a reply must not fill the memory until the time limit."""
    monkeypatch.setattr(connections, "MAX_REPLY_BYTES", 100_000)
    store.put("things", "large", "x" * 200_000)
    with pytest.raises(StoreUnavailable, match="longer"):
        store_client.list_all("things")


def test_list_reads_all_pages(store, store_client):
    for number in range(8):
        store.put("things", f"n{number}", number)
    listing = store_client.list_all("things")
    assert [item.spec for item in listing.objects] == list(range(8))


def test_creating_an_existing_object_returns_the_stored_one(store, store_client):
    assert store_client.ensure("things", "a", 1).spec == 1
    assert store_client.ensure("things", "a", 2).spec == 1
    assert store_client.get("things", "a").spec == 1


def test_replace_with_an_old_revision_conflicts(store, store_client):
    first = store.put("things", "a", 1)["metadata"]["revision"]
    store.put("things", "a", 2)
    with pytest.raises(Conflict):
        store_client.replace("things", "a", 3, first)
    store_client.replace("things", "a", 3, store_client.get("things", "a").revision)
    assert store_client.get("things", "a").spec == 3


@pytest.mark.parametrize("status", [429, 500, 503])
def test_error_status_counts_as_store_unavailable(store, store_client, status):
    store.fault = lambda environ: (status, None)
    with pytest.raises(StoreUnavailable):
        store_client.list_all("things")


def test_malformed_list_counts_as_store_unavailable(store, store_client):
    store.fault = lambda environ: (200, {"items": [{"spec": 1}], "current_rev": 3})
    with pytest.raises(StoreUnavailable):
        store_client.list_all("things")


def test_watch_of_dropped_history_raises_history_gone(store, store_client):
    store.put("things", "a", 1)
    store.forget()
    with pytest.raises(HistoryGone):
        store_client.watch("things", StoreRevision(store.era, 1), WAIT_MS)


def test_watch_delivers_changes_of_its_kind(store, watch, recorder):
    eventually(lambda: watch.listed)
    store.put("things", "a", 1)
    store.put("others", "b", 1)
    eventually(lambda: recorder.names == {"a"})
    store.remove("things", "a")
    eventually(lambda: not recorder.names)
    assert recorder.lists == [Gap.NONE]


def test_many_changes_are_read_with_few_calls(store, watch, recorder):
    eventually(lambda: watch.listed)
    before = len(store.calls)
    for number in range(40):
        store.put("things", f"n{number}", 1)
        gevent.sleep(0.01)
    eventually(lambda: len(recorder.names) == 40)
    assert len(store.calls) - before <= 6


def test_watch_without_changes_confirms_the_known_state(watch, recorder):
    eventually(lambda: watch.listed)
    first = recorder.confirmed
    eventually(lambda: recorder.confirmed >= first + WAIT_MS)
    assert recorder.confirmed <= SystemClock().boot()


def test_watch_lists_again_after_history_was_dropped(store, watch, recorder):
    eventually(lambda: watch.listed)
    store.put("things", "a", 1)
    store.remove("things", "a")
    store.put("things", "b", 1)
    store.forget()
    eventually(lambda: recorder.names == {"b"})
    assert set(recorder.lists) == {Gap.NONE}


def test_watch_does_not_miss_changes_whose_revisions_were_given_out_before(store, watch, recorder):
    store.put("things", "kept", 1)
    eventually(lambda: recorder.names == {"kept"})
    copy = store.copy()
    store.put("things", "lost", 1)
    eventually(lambda: recorder.names == {"kept", "lost"})
    store.fault = lambda environ: (503, None)
    eventually(lambda: watch.lost_at is not None)
    store.restore(copy)
    for number in range(3):
        store.put("things", f"n{number}", 1)
    store.fault = lambda environ: None
    eventually(lambda: recorder.names == {"kept", "n0", "n1", "n2"})
    assert recorder.lists[-1] is Gap.OLDER_COPY


def test_response_of_the_copy_before_is_not_used(store, store_client):
    store.put("things", "a", 1)
    store.era = 2
    store_client.list_all("things")
    store.era = 1
    with pytest.raises(StoreUnavailable):
        store_client.list_all("things")


@pytest.mark.parametrize("era", ["x", "-1", "\u0661", "9" * 30])
def test_unreadable_era_counts_as_store_unavailable(store, store_client, era):
    store.era = era
    with pytest.raises(StoreUnavailable):
        store_client.list_all("things")


def test_list_does_not_join_pages_of_two_copies(store, store_client):
    for number in range(5):
        store.put("things", f"n{number}", number)

    def fault(environ):
        if "after_rev" in environ["QUERY_STRING"]:
            store.era = 2

    store.fault = fault
    with pytest.raises(StoreUnavailable):
        store_client.list_all("things")


def test_watch_without_response_is_replaced(store, watch, recorder):
    eventually(lambda: watch.listed)
    silent = gevent.event.Event()

    def fault(environ):
        if "watch" in environ["QUERY_STRING"]:
            silent.wait()

    store.fault = fault
    gevent.sleep(2 * WAIT_MS / 1000)
    store.put("things", "a", 1)
    store.fault = lambda environ: None
    eventually(lambda: recorder.names == {"a"})
    silent.set()


@pytest.mark.parametrize(("outage_ms", "gap"), [(100, Gap.NONE), (OUTAGE_MS + 300, Gap.OUTAGE)])
def test_entries_may_lapse_only_after_a_long_outage(store, watch, recorder, outage_ms, gap):
    eventually(lambda: watch.listed)
    store.fault = lambda environ: (503, None)
    eventually(lambda: watch.lost_at is not None)
    gevent.sleep(outage_ms / 1000)
    store.fault = lambda environ: None
    eventually(lambda: len(recorder.lists) == 2)
    assert recorder.lists[-1] is gap
