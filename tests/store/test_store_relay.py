"""News of the store by way of the responsible router of a failure domain."""

import gevent
import pytest

from jacinthcove.clock import ManualClock, SystemClock
from jacinthcove.errors import PeerUnavailable, StoreUnavailable
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.peers import Member
from jacinthcove.store.changelog import MAX_BATCHES, ChangeLog
from jacinthcove.store.follow import KindWatch
from jacinthcove.store.kinds import Change, HistoryGone, KindObject, Listing, News
from jacinthcove.store.relay import MAX_WORD_AGE_MS, MIN_ROUTERS, RelayedSource

KIND = "things"
IDS = [f"r{number}" for number in range(MIN_ROUTERS)]


class Store:
    """A `KindSource` in memory that counts its calls."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.history = []
        self.calls = 0
        self.available = True
        self.changed = gevent.event.Event()

    def put(self, name, spec, deleted=False):
        self.revision += 1
        item = KindObject(name, self.revision, spec)
        if deleted:
            del self.objects[name]
        else:
            self.objects[name] = item
        self.history.append((self.revision, Change(item, deleted)))
        event, self.changed = self.changed, gevent.event.Event()
        event.set()

    def list_all(self, kind):
        self._count()
        return Listing(tuple(self.objects.values()), self.revision)

    def watch(self, kind, revision, wait_ms):
        self._count()
        with gevent.Timeout(wait_ms / 1000, False):
            while not self._since(revision):
                self.changed.wait()
        self._check()
        changes = self._since(revision)
        return News(changes, self.revision, 0 if changes else wait_ms)

    def _since(self, revision):
        return [change for at, change in self.history if at > revision]

    def _count(self):
        self.calls += 1
        self._check()

    def _check(self):
        if not self.available:
            raise StoreUnavailable("the store is away")


class Mesh:
    """Calls between routers of one process; `silent` ones do not answer."""

    def __init__(self):
        self.handlers = {}
        self.silent = set()

    def peers(self, id):
        return Peers(self, id)


class Peers:
    def __init__(self, mesh, id):
        self.mesh = mesh
        self.id = id

    def register(self, kind, handler):
        self.mesh.handlers[self.id] = handler

    def call(self, member_id, kind, message, timeout_ms):
        if member_id in self.mesh.silent or member_id not in self.mesh.handlers:
            gevent.sleep(0.02)
            raise PeerUnavailable(f"{member_id} is silent")
        return self.mesh.handlers[member_id](self.id, message)


class Members:
    """Members by id, whose failure domain is the text before a dash, `a` without one."""

    def __init__(self, id, ids=IDS):
        self.me = self._member(id)
        self.ids = ids

    def alive(self):
        return tuple(self._member(id) for id in self.ids)

    def _member(self, id):
        return Member(id, "", "", id.partition("-")[0] if "-" in id else "a")


class Follower:
    """Keeps the newest specs and the time at which they were complete."""

    def __init__(self):
        self.specs = {}
        self.known_at = 0

    def on_list(self, listing, after_outage):
        self.specs = {item.name: item.spec for item in listing.objects}

    def on_change(self, change, in_outage):
        if change.deleted:
            self.specs.pop(change.object.name, None)
        else:
            self.specs[change.object.name] = change.object.spec

    def on_confirmed(self, known_at):
        self.known_at = max(self.known_at, known_at)


class Router:
    def __init__(self, id, store, mesh, ids=IDS):
        self.id = id
        clock = SystemClock()
        log = ChangeLog(clock)
        self.source = RelayedSource(clock, store, {KIND: log})
        self.source.join(Members(id, ids), mesh.peers(id))
        self.follower = Follower()
        self.watch = KindWatch(self.source, clock, KIND, 400, self.follower, log)
        self.watch.start()


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def mesh():
    return Mesh()


@pytest.fixture
def fleet(store, mesh):
    routers = [Router(id, store, mesh) for id in IDS]
    yield routers
    for router in routers:
        router.watch.close()


def until(check):
    with gevent.Timeout(5, AssertionError("did not happen in time")):
        while not check():
            gevent.sleep(0.01)


def settled(fleet, store):
    """Wait until the routers ask the one that follows the store."""
    feeder = fleet[0].source.feeder()
    until(lambda: all(r.watch.listed for r in fleet))
    gevent.sleep(0.1)
    for router in fleet:
        router.source.direct_until = 0
    gevent.sleep(0.6)
    return next(router for router in fleet if router.id == feeder)


def test_one_router_asks_the_store_for_all(fleet, store):
    settled(fleet, store)
    before = store.calls
    store.put("x", 1)
    until(lambda: all(r.follower.specs == {"x": 1} for r in fleet))
    store.put("x", 2)
    store.put("x", 2, deleted=True)
    until(lambda: all(r.follower.specs == {} for r in fleet))
    assert store.calls - before <= 8


def test_news_are_never_believed_younger_than_they_are(fleet, store):
    feeder = settled(fleet, store)
    known = feeder.follower.known_at
    store.available = False
    gevent.sleep(0.8)
    for router in fleet:
        # The wait of the watch that was under way when the store went.
        assert router.follower.known_at <= known + 900


def test_routers_ask_the_store_when_the_other_is_silent(fleet, store, mesh):
    feeder = settled(fleet, store)
    mesh.silent.add(feeder.id)
    store.put("x", 1)
    until(lambda: all(r.follower.specs == {"x": 1} for r in fleet))


def test_routers_ask_the_store_when_the_other_has_lost_it(fleet, store):
    feeder = settled(fleet, store)
    feeder.watch.close()
    feeder.watch.changes.stop()
    store.put("x", 1)
    until(lambda: all(r.follower.specs == {"x": 1} for r in fleet if r is not feeder))


def test_small_failure_domains_ask_the_store_themselves(store, mesh):
    router = Router("r0", store, mesh, IDS[: MIN_ROUTERS - 1])
    assert router.source.feeder() is None
    router.watch.close()


def change(name, revision):
    return Change(KindObject(name, revision, revision), False)


def test_log_answers_from_any_revision_that_it_covers():
    clock = ManualClock()
    log = ChangeLog(clock)
    log.restart(10, 0)
    log.add(10, News([change("a", 12)], 13), 0)
    log.add(13, News([change("a", 15)], 15), 0)
    assert [c.object.revision for c in log.since(10, 0).changes] == [12, 15]
    assert [c.object.revision for c in log.since(13, 0).changes] == [15]
    assert not log.since(15, 0).changes
    with pytest.raises(StoreUnavailable):
        log.since(9, 0)


def test_log_tells_the_age_of_its_knowledge_and_keeps_the_asker_s_revision():
    clock = ManualClock()
    log = ChangeLog(clock)
    log.restart(10, clock.boot())
    clock.advance(700)
    news = log.since(12, 0)
    assert news.relay_age_ms == 700
    assert news.revision == 12


def test_log_forgets_its_oldest_changes():
    log = ChangeLog(ManualClock())
    log.restart(0, 0)
    for revision in range(MAX_BATCHES + 5):
        log.add(revision, News([change("a", revision + 1)], revision + 1), 0)
    assert len(log.batches) == MAX_BATCHES
    with pytest.raises(StoreUnavailable):
        log.since(2, 0)


def test_router_that_asks_others_does_not_answer_for_the_store():
    log = ChangeLog(ManualClock())
    log.restart(10, 0)
    log.stop()
    with pytest.raises(StoreUnavailable):
        log.since(10, 0)


def test_lost_history_is_read_again_as_a_list(store, mesh):
    router = Router("r0", store, mesh, IDS[:1])
    until(lambda: router.watch.listed)
    original = store.watch

    def gone(kind, revision, wait_ms):
        store.watch = original
        raise HistoryGone("gone")

    store.watch = gone
    store.put("x", 3)
    until(lambda: router.follower.specs == {"x": 3})
    router.watch.close()


def words(source, revision, age_ms=0, router=None):
    """Let a source hear what its feeder knows."""
    feeder = router or source.feeder()
    news = [pb.KindNews(kind=KIND, revision=revision, age_ms=age_ms)]
    source.record_news(feeder, news, source.clock.boot())


def other_router(fleet):
    return next(r for r in fleet if r.id != r.source.feeder())


def test_words_of_digests_replace_questions(fleet, mesh):
    router = other_router(fleet)
    until(lambda: router.watch.listed)
    router.watch.close()
    router.source.direct_until = 0
    words(router.source, router.watch.revision)
    mesh.silent.add(router.source.feeder())
    asked_at = router.source.clock.boot()
    news = router.source.watch(KIND, router.watch.revision, 400)
    assert (news.changes, news.revision) == ((), router.watch.revision)
    assert news.relay_age_ms <= router.source.clock.boot() - asked_at + 10


def test_a_newer_revision_is_fetched_at_once(fleet, store):
    router = other_router(fleet)
    until(lambda: router.watch.listed)
    router.source.direct_until = 0
    words(router.source, router.watch.revision)
    store.put("a", 1)
    gevent.sleep(0.05)
    asked_at = router.source.clock.boot()
    words(router.source, store.revision)
    until(lambda: router.follower.specs.get("a") == 1)
    assert router.source.clock.boot() - asked_at < 300


@pytest.mark.parametrize(("age_ms", "router"), [(MAX_WORD_AGE_MS + 50, None), (0, "somebody")])
def test_old_words_and_those_of_other_routers_do_not_count(fleet, age_ms, router):
    one = other_router(fleet)
    until(lambda: one.watch.listed)
    words(one.source, one.watch.revision, age_ms, router)
    feeder = one.source.feeder()
    assert one.source._wait_for_word(feeder, KIND, one.watch.revision, 40) is None


def test_changes_of_other_kinds_are_no_reason_to_ask(store, mesh):
    clock = SystemClock()
    log = ChangeLog(clock)
    feeder = RelayedSource(clock, store, {KIND: log})
    log.restart(5, clock.boot())
    log.add(5, News([Change(KindObject("a", 6, 1), False)], 6), clock.boot())
    log.add(6, News([], 90), clock.boot())
    assert [(item.kind, item.revision) for item in feeder.kind_news()] == [(KIND, 6)]
    assert log.revision == 90


class StoreOfOne:
    """The store as one router sees it, which may be turned away."""

    def __init__(self, store):
        self.store = store
        self.turned_away = False

    def list_all(self, kind):
        self._check()
        return self.store.list_all(kind)

    def watch(self, kind, revision, wait_ms):
        self._check()
        news = self.store.watch(kind, revision, wait_ms)
        self._check()
        return news

    def _check(self):
        if self.turned_away:
            raise StoreUnavailable("too many requests")


def two_domains(store, mesh, size):
    ids = [f"{domain}-{number}" for domain in "ab" for number in range(size)]
    views = {id: StoreOfOne(store) for id in ids}
    fleet = {id: Router(id, views[id], mesh, ids) for id in ids}
    until(lambda: all(r.watch.listed for r in fleet.values()))
    return fleet, views


@pytest.mark.parametrize("size", [2, MIN_ROUTERS])
def test_a_failure_domain_that_the_store_turns_away_hears_news_from_others(store, mesh, size):
    fleet, views = two_domains(store, mesh, size)
    cut = [id for id in fleet if id.startswith("a-")]
    for id in cut:
        views[id].turned_away = True
    gevent.sleep(0.6)
    store.put("drained", True)
    until(lambda: all(fleet[id].follower.specs == {"drained": True} for id in cut))
    changed_at = SystemClock().boot()
    until(lambda: all(fleet[id].follower.known_at > changed_at for id in cut))
    for router in fleet.values():
        router.watch.close()


def test_news_by_way_of_others_are_as_old_as_these_know(store, mesh):
    fleet, views = two_domains(store, mesh, 2)
    store.available = False
    before = SystemClock().boot()
    gevent.sleep(1.0)
    for router in fleet.values():
        assert router.follower.known_at <= before + 500
        router.watch.close()


def test_a_router_that_the_store_serves_again_asks_it_itself(store, mesh, monkeypatch):
    monkeypatch.setattr("jacinthcove.store.relay.DIRECT_MS", 200)
    fleet, views = two_domains(store, mesh, 2)
    views["a-0"].turned_away = True
    gevent.sleep(0.7)
    assert not fleet["a-0"].watch.changes.current
    views["a-0"].turned_away = False
    until(lambda: fleet["a-0"].watch.changes.current)
    for router in fleet.values():
        router.watch.close()
