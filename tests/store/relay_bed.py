"""Routers of one process that follow a kind of an in-memory store through relay routers."""

import gevent

from jacinthcove.clock import SystemClock
from jacinthcove.errors import PeerUnavailable, StoreUnavailable
from jacinthcove.mesh.peers import Member
from jacinthcove.store.changelog import ChangeLog
from jacinthcove.store.kinds import (
    Change,
    HistoryGone,
    KindObject,
    Listing,
    StoreRevision,
    WatchResult,
)
from jacinthcove.store.kindwatch import KindWatch
from jacinthcove.store.relay import RelayedSource
from jacinthcove.store.relayroles import MIN_ROUTERS

KIND = "things"
# A change has to be in force after this time.
APPLY_MS = 3_000
IDS = [f"r{number}" for number in range(MIN_ROUTERS)]


def at(number, era=1):
    """Return a revision of the store."""
    return StoreRevision(era, number)


class Store:
    """An in-memory `KindSource` that counts calls and can be made unavailable."""

    def __init__(self):
        self.revision = at(1)
        self.objects = {}
        self.history = []
        self.calls = 0
        self.era = None
        self.available = True
        self.changed = gevent.event.Event()

    def put(self, name, spec, deleted=False):
        self.revision = at(self.revision.number + 1, self.revision.era)
        item = KindObject(name, self.revision.number, spec)
        if deleted:
            del self.objects[name]
        else:
            self.objects[name] = item
        self.history.append((self.revision, Change(item, deleted)))
        event, self.changed = self.changed, gevent.event.Event()
        event.set()

    def copy(self):
        return self.revision.number, dict(self.objects), list(self.history)

    def restore(self, copy):
        """Come back from a copy: the revisions since are given out again in a new era."""
        number, objects, history = copy
        self.revision = at(number, self.revision.era + 1)
        self.objects, self.history = dict(objects), list(history)
        event, self.changed = self.changed, gevent.event.Event()
        event.set()

    def list_all(self, kind):
        self._count()
        return Listing(tuple(self.objects.values()), self.revision)

    def watch(self, kind, revision, wait_ms):
        self._count()
        with gevent.Timeout(wait_ms / 1000, False):
            while revision.era == self.revision.era and not self._since(revision):
                self.changed.wait()
        self._check()
        if revision.era != self.revision.era:
            raise HistoryGone("another copy")
        changes = self._since(revision)
        return WatchResult(changes, self.revision, 0 if changes else wait_ms)

    def _since(self, revision):
        return [change for made_at, change in self.history if made_at > revision]

    def _count(self):
        self.calls += 1
        self._check()

    def _check(self):
        if not self.available:
            raise StoreUnavailable("the store is unavailable")


class RejectingStore:
    """One router's access to the store, which rejects its calls while `rejects` is set."""

    def __init__(self, store):
        self.store = store
        self.era = None
        self.rejects = False

    def list_all(self, kind):
        self._check()
        return self.store.list_all(kind)

    def watch(self, kind, revision, wait_ms):
        self._check()
        news = self.store.watch(kind, revision, wait_ms)
        self._check()
        return news

    def _check(self):
        if self.rejects:
            raise StoreUnavailable("too many requests")


class Mesh:
    """Calls between routers of one process; routers in `silent` do not reply."""

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
        self.mesh.handlers[self.id, kind] = handler

    def call(self, member_id, kind, message, timeout_ms):
        if member_id in self.mesh.silent or (member_id, kind) not in self.mesh.handlers:
            gevent.sleep(timeout_ms / 1000)
            raise PeerUnavailable(f"{member_id} is silent")
        return self.mesh.handlers[member_id, kind](self.id, message)


class Members:
    """Members by id; the text before a dash is the failure domain, `a` without a dash."""

    def __init__(self, id, ids=IDS):
        self.me = self._member(id)
        self.ids = ids

    def alive(self):
        return tuple(self._member(id) for id in self.ids)

    def _member(self, id):
        return Member(id, "", "", id.partition("-")[0] if "-" in id else "a")


class Follower:
    """Keeps the newest specs and the boot time at which they were complete."""

    def __init__(self):
        self.specs = {}
        self.known_at = 0

    def on_list(self, listing, gap):
        self.specs = {item.name: item.spec for item in listing.objects}

    def on_change(self, change, in_outage):
        if change.deleted:
            self.specs.pop(change.object.name, None)
        else:
            self.specs[change.object.name] = change.object.spec

    def on_confirmed(self, known_at):
        self.known_at = max(self.known_at, known_at)


class Router:
    def __init__(self, id, store, mesh, ids=IDS, wait_ms=400, apply_ms=APPLY_MS):
        self.id = id
        clock = SystemClock()
        log = ChangeLog(clock)
        self.source = RelayedSource(clock, store, {KIND: log}, apply_ms)
        self.source.serve(mesh.peers(id))
        self.source.join(Members(id, ids), mesh.peers(id))
        self.follower = Follower()
        self.watch = KindWatch(self.source, clock, KIND, wait_ms, self.follower, log)
        self.watch.start()
