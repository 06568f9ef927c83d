"""Store changes must reach every router, through its relay router or around a failed one."""

import gevent
import pytest
from relay_bed import APPLY_MS, IDS, KIND, Mesh, RejectingStore, Router, Store, at

from jacinthcove.clock import ManualClock, SystemClock
from jacinthcove.errors import StoreUnavailable
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.store.changelog import MAX_BATCHES, ChangeLog
from jacinthcove.store.kinds import Change, HistoryGone, KindObject, WatchResult
from jacinthcove.store.relay import MAX_AGE_FRACTION, RelayedSource
from jacinthcove.store.relayroles import MIN_ROUTERS


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


def wait_until(check):
    with gevent.Timeout(5, AssertionError("did not happen in time")):
        while not check():
            gevent.sleep(0.01)


def wait_for_relay(fleet, store):
    """Wait until all routers pull from the relay router, and return it."""
    relay = fleet[0].source.relay_router()
    wait_until(lambda: all(r.watch.listed for r in fleet))
    gevent.sleep(0.1)
    for router in fleet:
        router.source.direct_until = 0
    gevent.sleep(0.6)
    return next(router for router in fleet if router.id == relay)


def test_only_the_relay_router_calls_the_store(fleet, store):
    wait_for_relay(fleet, store)
    before = store.calls
    store.put("x", 1)
    wait_until(lambda: all(r.follower.specs == {"x": 1} for r in fleet))
    store.put("x", 2)
    store.put("x", 2, deleted=True)
    wait_until(lambda: all(r.follower.specs == {} for r in fleet))
    assert store.calls - before <= 8


def test_known_at_does_not_advance_while_the_store_is_down(fleet, store):
    relay = wait_for_relay(fleet, store)
    known = relay.follower.known_at
    store.available = False
    gevent.sleep(0.8)
    for router in fleet:
        # Allows for the wait of the watch that was in progress when the store became unavailable.
        assert router.follower.known_at <= known + 900


def test_routers_ask_the_store_when_the_relay_router_is_silent(fleet, store, mesh):
    relay = wait_for_relay(fleet, store)
    mesh.silent.add(relay.id)
    store.put("x", 1)
    wait_until(lambda: all(r.follower.specs == {"x": 1} for r in fleet))


def test_routers_ask_the_store_when_the_relay_router_lost_it(fleet, store):
    relay = wait_for_relay(fleet, store)
    relay.watch.close()
    relay.watch.changes.stop()
    store.put("x", 1)
    wait_until(lambda: all(r.follower.specs == {"x": 1} for r in fleet if r is not relay))


def test_every_router_hears_of_changes_after_the_store_came_back_from_an_older_copy(fleet, store):
    wait_for_relay(fleet, store)
    copy = store.copy()
    for number in range(20):
        store.put(f"lost-{number}", number)
    wait_until(lambda: all(len(r.follower.specs) == 20 for r in fleet))
    store.restore(copy)
    store.put("new", 1)
    wait_until(lambda: all(r.follower.specs == {"new": 1} for r in fleet))
    assert {r.watch.revision for r in fleet} == {store.revision}


def test_a_router_that_is_behind_does_not_give_changes_of_the_copy_before(fleet, store):
    relay = wait_for_relay(fleet, store)
    reader = next(r for r in fleet if r is not relay)
    for router in fleet:
        router.watch.close()
    newer = at(1, era=store.revision.era + 1)
    with pytest.raises(StoreUnavailable):
        reader.source.others.pull(relay.id, KIND, newer, 100)
    relay.watch.changes.restart(newer, 0)
    with pytest.raises(HistoryGone):
        reader.source.others.pull(relay.id, KIND, store.revision, 100)


def test_small_failure_domain_has_no_relay_router(store, mesh):
    router = Router("r0", store, mesh, IDS[: MIN_ROUTERS - 1])
    assert router.source.relay_router() is None
    router.watch.close()


def change(name, revision):
    return Change(KindObject(name, revision, revision), False)


def test_log_returns_changes_since_any_revision_it_covers():
    clock = ManualClock()
    log = ChangeLog(clock)
    log.restart(at(10), 0)
    log.add(at(10), WatchResult([change("a", 12)], at(13)), 0)
    log.add(at(13), WatchResult([change("a", 15)], at(15)), 0)
    assert [c.object.revision for c in log.since(at(10), 0).changes] == [12, 15]
    assert [c.object.revision for c in log.since(at(13), 0).changes] == [15]
    assert not log.since(at(15), 0).changes
    with pytest.raises(StoreUnavailable):
        log.since(at(9), 0)


def test_log_reports_its_age_and_never_lowers_the_readers_revision():
    clock = ManualClock()
    log = ChangeLog(clock)
    log.restart(at(10), clock.boot())
    clock.advance(700)
    news = log.since(at(12), 0)
    assert news.relay_age_ms == 700
    assert news.revision == at(12)


def test_log_drops_its_oldest_changes():
    log = ChangeLog(ManualClock())
    log.restart(at(0), 0)
    for revision in range(MAX_BATCHES + 5):
        log.add(at(revision), WatchResult([change("a", revision + 1)], at(revision + 1)), 0)
    assert len(log.batches) == MAX_BATCHES
    with pytest.raises(StoreUnavailable):
        log.since(at(2), 0)


def test_stopped_log_does_not_serve_other_routers():
    log = ChangeLog(ManualClock())
    log.restart(at(10), 0)
    log.stop()
    with pytest.raises(StoreUnavailable):
        log.since(at(10), 0)


def test_lost_history_leads_to_a_new_list(store, mesh):
    router = Router("r0", store, mesh, IDS[:1])
    wait_until(lambda: router.watch.listed)
    original = store.watch

    def gone(kind, revision, wait_ms):
        store.watch = original
        raise HistoryGone("gone")

    store.watch = gone
    store.put("x", 3)
    wait_until(lambda: router.follower.specs == {"x": 3})
    router.watch.close()


def receive_digest(source, revision, age_ms=0, router=None):
    """Give a source the revision in a digest, from its relay router by default."""
    relay = router or source.relay_router()
    news = [pb.KindNews(kind=KIND, revision=revision.number, era=revision.era, age_ms=age_ms)]
    source.record_news(relay, news, source.clock.boot())


def non_relay_router(fleet):
    return next(r for r in fleet if r.id != r.source.relay_router())


@pytest.fixture
def one(fleet):
    """Return a router that is not the relay router, and whose own watch has ended."""
    one = non_relay_router(fleet)
    wait_until(lambda: all(r.watch.listed for r in fleet))
    one.watch.close()
    one.source.direct_until = 0
    return one


def test_digest_without_newer_revision_replaces_a_pull(fleet, mesh):
    router = non_relay_router(fleet)
    wait_until(lambda: router.watch.listed)
    router.watch.close()
    router.source.direct_until = 0
    receive_digest(router.source, router.watch.revision)
    mesh.silent.add(router.source.relay_router())
    asked_at = router.source.clock.boot()
    news = router.source.watch(KIND, router.watch.revision, 400)
    assert (news.changes, news.revision) == ((), router.watch.revision)
    assert news.relay_age_ms <= router.source.clock.boot() - asked_at + 10


def test_digest_with_newer_revision_triggers_a_pull_at_once(fleet, store):
    router = non_relay_router(fleet)
    wait_until(lambda: router.watch.listed)
    router.source.direct_until = 0
    receive_digest(router.source, router.watch.revision)
    store.put("a", 1)
    gevent.sleep(0.05)
    asked_at = router.source.clock.boot()
    receive_digest(router.source, store.revision)
    wait_until(lambda: router.follower.specs.get("a") == 1)
    assert router.source.clock.boot() - asked_at < 300


def test_digests_of_other_routers_are_ignored(fleet):
    one = non_relay_router(fleet)
    wait_until(lambda: one.watch.listed)
    receive_digest(one.source, one.watch.revision, 0, "somebody")
    relay = one.source.relay_router()
    assert one.source._wait_for_digest(relay, KIND, one.watch.revision, 40) is None


OLD_DIGEST_MS = int(APPLY_MS * MAX_AGE_FRACTION) + 50


def test_the_store_is_asked_soon_when_the_last_digest_of_a_silent_router_is_too_old(one, mesh):
    mesh.silent.add(one.source.relay_router())
    receive_digest(one.source, one.watch.revision, OLD_DIGEST_MS)
    asked_at = one.source.clock.boot()
    assert one.source.watch(KIND, one.watch.revision, 2_800).relay_age_ms is None
    waited_ms = one.source.clock.boot() - asked_at - 2_800
    assert waited_ms < APPLY_MS - OLD_DIGEST_MS


def test_a_digest_that_is_too_old_costs_no_call_of_the_store_while_its_router_has_news(one):
    """A fleet at rest reports so seldom that a digest looks older than it is."""
    receive_digest(one.source, one.watch.revision, OLD_DIGEST_MS)
    assert one.source.watch(KIND, one.watch.revision, 400).relay_age_ms < APPLY_MS / 2
    assert not one.source.digests.revisions


def test_word_of_a_relay_router_that_is_too_old_is_not_used(fleet, one):
    """Its watch may be silent, or it may have been suspended."""
    relay = next(r for r in fleet if r.id == one.source.relay_router())
    relay.watch.close()
    relay.watch.changes.restart(one.watch.revision, SystemClock().boot() - APPLY_MS)
    assert one.source.watch(KIND, one.watch.revision, 400).relay_age_ms is None


def test_a_digest_without_a_kind_ends_the_wait_for_its_changes(one):
    receive_digest(one.source, one.watch.revision)
    relay = one.source.relay_router()
    waiting = gevent.spawn(one.source._wait_for_digest, relay, KIND, one.watch.revision, 4_000)
    gevent.sleep(0.05)
    one.source.record_news(relay, [], one.source.clock.boot())
    waiting.join(0.2)
    assert waiting.ready()
    assert waiting.value is None


@pytest.mark.parametrize("dated", [True, False])
def test_the_first_watch_after_word_of_others_is_short_where_its_age_matters(store, dated):
    """A router that asks the store itself again must not count as outdated while it waits."""
    clock = SystemClock()
    log = ChangeLog(clock)
    waits = []
    watch = store.watch
    store.watch = lambda kind, revision, wait_ms: waits.append(wait_ms) or watch(kind, revision, 1)
    source = RelayedSource(clock, store, {KIND: log}, APPLY_MS, frozenset((KIND,) * dated))
    source.watch(KIND, at(1), 2_800)
    log.restart(at(1), clock.boot())
    source.watch(KIND, at(1), 2_800)
    log.known_at = clock.boot() - 1_400
    source.watch(KIND, at(1), 2_800)
    assert waits == pytest.approx([600, 2_800, 1_600] if dated else [2_800] * 3, abs=50)


def test_a_relay_router_soon_knows_that_nothing_followed_a_change(store, mesh):
    """What it tells others must not look old because its watch had waited long for the change."""
    router = Router(IDS[0], store, mesh, ["r0"] * MIN_ROUTERS, wait_ms=2_800)
    wait_until(lambda: router.watch.listed)
    log = router.watch.changes
    clock = SystemClock()
    gevent.sleep(0.8)
    store.put("x", 1)
    highest_ms = 0
    for _ in range(200):
        gevent.sleep(0.01)
        highest_ms = max(highest_ms, clock.boot() - log.known_at)
    router.watch.close()
    assert highest_ms < APPLY_MS * MAX_AGE_FRACTION


def test_changes_of_other_kinds_do_not_raise_the_sent_revision(store, mesh):
    clock = SystemClock()
    log = ChangeLog(clock)
    relay = RelayedSource(clock, store, {KIND: log}, APPLY_MS)
    log.restart(at(5), clock.boot())
    log.add(at(5), WatchResult([Change(KindObject("a", 6, 1), False)], at(6)), clock.boot())
    log.add(at(6), WatchResult([], at(90)), clock.boot())
    assert [(i.kind, i.revision, i.era) for i in relay.kind_news()] == [(KIND, 6, 1)]
    assert log.revision == at(90)


def two_domains(store, mesh, size):
    ids = [f"{domain}-{number}" for domain in "ab" for number in range(size)]
    views = {id: RejectingStore(store) for id in ids}
    fleet = {id: Router(id, views[id], mesh, ids) for id in ids}
    wait_until(lambda: all(r.watch.listed for r in fleet.values()))
    return fleet, views


@pytest.mark.parametrize("size", [2, MIN_ROUTERS])
def test_domain_rejected_by_the_store_receives_changes_from_other_domains(store, mesh, size):
    fleet, views = two_domains(store, mesh, size)
    rejected = [id for id in fleet if id.startswith("a-")]
    for id in rejected:
        views[id].rejects = True
    gevent.sleep(0.6)
    store.put("drained", True)
    wait_until(lambda: all(fleet[id].follower.specs == {"drained": True} for id in rejected))
    changed_at = SystemClock().boot()
    wait_until(lambda: all(fleet[id].follower.known_at > changed_at for id in rejected))
    for router in fleet.values():
        router.watch.close()


def test_known_at_from_fallback_routers_is_not_too_recent(store, mesh):
    fleet, views = two_domains(store, mesh, 2)
    store.available = False
    before = SystemClock().boot()
    gevent.sleep(1.0)
    for router in fleet.values():
        assert router.follower.known_at <= before + 500
        router.watch.close()


def test_router_asks_the_store_again_when_the_others_have_lost_it_too(store, mesh, monkeypatch):
    """Two routers that have both lost the store would pass each other what they knew."""
    monkeypatch.setattr("jacinthcove.store.relay.FALLBACK_MS", 60_000)
    monkeypatch.setattr("jacinthcove.store.relay.MAX_FALLBACK_AGE_MS", 500)
    fleet, views = two_domains(store, mesh, 2)
    views["a-0"].rejects = True
    wait_until(lambda: fleet["a-0"].source.fallback_until)
    views["a-0"].rejects = False
    for id, router in fleet.items():
        if id != "a-0":
            router.watch.close()
    store.put("x", 1)
    wait_until(lambda: fleet["a-0"].follower.specs == {"x": 1})
    fleet["a-0"].watch.close()


def test_router_returns_to_the_store_once_it_is_served_again(store, mesh, monkeypatch):
    monkeypatch.setattr("jacinthcove.store.relay.FALLBACK_MS", 200)
    fleet, views = two_domains(store, mesh, 2)
    views["a-0"].rejects = True
    gevent.sleep(0.7)
    assert not fleet["a-0"].watch.changes.watches_store
    views["a-0"].rejects = False
    wait_until(lambda: fleet["a-0"].watch.changes.watches_store)
    for router in fleet.values():
        router.watch.close()
