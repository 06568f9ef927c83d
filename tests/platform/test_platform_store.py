"""The client of the platform's store and what follows its kinds."""

import gevent
import pytest
from store_standin import StoreStandin, eventually

from jacinthcove.clock import SystemClock
from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.platform.objects import PlatformObjects
from jacinthcove.store.kinds import HistoryGone
from jacinthcove.store.kindwatch import OUTAGE_MS, KindWatch

WAIT_MS = 150


class Recorder:
    """A follower that keeps what it is told."""

    def __init__(self):
        self.names = set()
        self.lists = []
        self.confirmed = 0

    def on_list(self, listing, after_outage):
        self.names = {item.name for item in listing.objects}
        self.lists.append(after_outage)

    def on_change(self, change, in_outage):
        name = {change.object.name}
        self.names = self.names - name if change.deleted else self.names | name

    def on_confirmed(self, known_at):
        self.confirmed = known_at


@pytest.fixture
def store():
    store = StoreStandin()
    store.start()
    yield store
    store.close()


@pytest.fixture
def objects(store):
    objects = PlatformObjects(store.address, 300)
    yield objects
    objects.close()


@pytest.fixture
def recorder():
    return Recorder()


@pytest.fixture
def watch(objects, recorder):
    watch = KindWatch(objects, SystemClock(), "things", WAIT_MS, recorder)
    watch.start()
    yield watch
    watch.close()


def test_lists_are_read_page_by_page(store, objects):
    for number in range(8):
        store.put("things", f"n{number}", number)
    listing = objects.list_all("things")
    assert [item.spec for item in listing.objects] == list(range(8))


def test_a_create_of_a_known_object_returns_the_stored_one(store, objects):
    assert objects.ensure("things", "a", 1).spec == 1
    assert objects.ensure("things", "a", 2).spec == 1
    assert objects.get("things", "a").spec == 1


def test_a_replacement_needs_the_present_revision(store, objects):
    first = store.put("things", "a", 1)["metadata"]["revision"]
    store.put("things", "a", 2)
    with pytest.raises(Conflict):
        objects.replace("things", "a", 3, first)
    objects.replace("things", "a", 3, objects.get("things", "a").revision)
    assert objects.get("things", "a").spec == 3


@pytest.mark.parametrize("status", [429, 500, 503])
def test_a_refused_call_is_no_answer(store, objects, status):
    store.fault = lambda environ: (status, None)
    with pytest.raises(StoreUnavailable):
        objects.list_all("things")


def test_an_answer_that_is_no_list_is_no_answer(store, objects):
    store.fault = lambda environ: (200, {"items": [{"spec": 1}], "current_rev": 3})
    with pytest.raises(StoreUnavailable):
        objects.list_all("things")


def test_history_that_is_gone_is_told_apart(store, objects):
    store.put("things", "a", 1)
    store.forget()
    with pytest.raises(HistoryGone):
        objects.watch("things", 1, WAIT_MS)


def test_a_watch_follows_changes(store, watch, recorder):
    eventually(lambda: watch.listed)
    store.put("things", "a", 1)
    store.put("others", "b", 1)
    eventually(lambda: recorder.names == {"a"})
    store.remove("things", "a")
    eventually(lambda: not recorder.names)
    assert recorder.lists == [False]


def test_a_storm_of_changes_costs_few_calls(store, watch, recorder):
    eventually(lambda: watch.listed)
    before = len(store.calls)
    for number in range(40):
        store.put("things", f"n{number}", 1)
        gevent.sleep(0.01)
    eventually(lambda: len(recorder.names) == 40)
    assert len(store.calls) - before <= 6


def test_a_quiet_watch_confirms_what_is_known(watch, recorder):
    eventually(lambda: watch.listed)
    first = recorder.confirmed
    eventually(lambda: recorder.confirmed >= first + WAIT_MS)
    assert recorder.confirmed <= SystemClock().boot()


def test_after_lost_history_everything_is_listed_again(store, watch, recorder):
    eventually(lambda: watch.listed)
    store.put("things", "a", 1)
    store.remove("things", "a")
    store.put("things", "b", 1)
    store.forget()
    eventually(lambda: recorder.names == {"b"})
    assert not any(recorder.lists)


def test_a_silent_watch_is_replaced(store, watch, recorder):
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


@pytest.mark.parametrize(("outage_ms", "lapsed"), [(100, False), (OUTAGE_MS + 300, True)])
def test_only_a_long_outage_lets_entries_lapse(store, watch, recorder, outage_ms, lapsed):
    eventually(lambda: watch.listed)
    store.fault = lambda environ: (503, None)
    eventually(lambda: watch.lost_at is not None)
    gevent.sleep(outage_ms / 1000)
    store.fault = lambda environ: None
    eventually(lambda: len(recorder.lists) == 2)
    assert recorder.lists[-1] is lapsed
