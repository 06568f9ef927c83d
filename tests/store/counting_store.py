"""A store in virtual time that counts the calls of each router, and can fail for some of them."""

import heapq
import itertools
from collections import Counter

import gevent
from gevent.event import Event

from jacinthcove.errors import StoreUnavailable
from jacinthcove.store.kinds import (
    Change,
    HistoryGone,
    KindObject,
    Listing,
    StoreRevision,
    WatchResult,
)

STORE_MS = 2
CALL_TIMEOUT_MS = 800
WATCH_SLACK_MS = 600


class VirtualClock:
    """Advances to the next timer whenever all greenlets wait."""

    def __init__(self):
        self.ms = 1_000
        self.timers = []
        self.numbers = itertools.count()

    def now(self):
        return self.ms

    boot = wall = now

    def at(self, time_ms, action):
        heapq.heappush(self.timers, (time_ms, next(self.numbers), action))

    def sleep(self, duration_ms):
        self.wait(Event(), duration_ms)

    def wait(self, event, duration_ms):
        done = Event()
        wake = lambda _: done.set()  # noqa: E731 - the same object is unlinked
        event.rawlink(wake)
        self.at(self.ms + max(1, round(duration_ms)), done.set)
        done.wait()
        event.unlink(wake)
        return event.is_set()

    def run(self, until_ms):
        gevent.idle()
        while self.timers and self.timers[0][0] <= until_ms:
            self.ms = self.timers[0][0]
            while self.timers and self.timers[0][0] == self.ms:
                heapq.heappop(self.timers)[2]()
            gevent.idle()
        self.ms = max(self.ms, until_ms)


class CountingStore:
    """All kinds of a store; `fault(router)` returns how it fails for a router at present."""

    def __init__(self, clock):
        self.clock = clock
        self.number, self.era = 1, 1
        self.objects = {}
        self.history = []
        self.forgotten = 0
        self.changed = Event()
        self.calls = Counter()
        self.calls_by_router = Counter()
        self.fault = lambda router: None

    def put(self, kind, name, spec, deleted=False):
        self.number += 1
        item = KindObject(name, self.number, spec)
        if deleted:
            del self.objects[kind, name]
        else:
            self.objects[kind, name] = item
        self.history.append((self.number, kind, Change(item, deleted)))
        self.wake()
        return item

    def copy(self):
        return self.number, dict(self.objects)

    def restore(self, copy):
        """Come back from a copy: the revisions since are given out again in a new era."""
        self.number, objects = copy
        self.objects = dict(objects)
        self.history = [entry for entry in self.history if entry[0] <= self.number]
        self.era += 1
        self.wake()

    def forget(self):
        """Drop the history, so that older watches end with `HistoryGone`."""
        self.forgotten = self.number
        self.wake()

    def wake(self):
        event, self.changed = self.changed, Event()
        event.set()

    def listed(self, kind):
        found = tuple(item for (k, _), item in self.objects.items() if k == kind)
        return Listing(found, StoreRevision(self.era, self.number))


class View:
    """One router's access to the store, with the calls of `PlatformStoreClient`."""

    def __init__(self, store, router):
        self.store, self.clock, self.router = store, store.clock, router
        self.era = store.era
        self.on_restored = lambda era: None

    def list_all(self, kind):
        self._call(kind, "list")
        return self.store.listed(kind)

    def get(self, kind, name):
        self._call(kind, "get")
        return self.store.objects.get((kind, name))

    def ensure(self, kind, name, spec):
        self._call(kind, "create")
        if (kind, name) not in self.store.objects:
            self.store.put(kind, name, spec)
            return KindObject(name, 0, spec)
        return self.get(kind, name)

    def create(self, kind, name, spec):
        self._call(kind, "create")
        if (kind, name) in self.store.objects:
            return False
        self.store.put(kind, name, spec)
        return True

    def watch(self, kind, revision, wait_ms):
        self._call(kind, "watch", wait_ms + WATCH_SLACK_MS)
        ends_at = self.clock.ms + wait_ms
        while not self._since(kind, revision) and self.clock.ms < ends_at:
            if self.store.fault(self.router) == "reset":
                raise StoreUnavailable("connection reset")
            if revision.era != self.store.era or revision.number < self.store.forgotten:
                break
            self.clock.wait(self.store.changed, min(50, ends_at - self.clock.ms))
        if self.store.fault(self.router) == "silent":
            self.clock.sleep(ends_at + WATCH_SLACK_MS - self.clock.ms)
            raise StoreUnavailable("silent")
        if revision.era != self.store.era or revision.number < self.store.forgotten:
            raise HistoryGone("another copy, or no history")
        changes = self._since(kind, revision)
        current = StoreRevision(self.store.era, self.store.number)
        return WatchResult(changes, current, 0 if changes else wait_ms)

    def _since(self, kind, revision):
        return [c for at, k, c in self.store.history if at > revision.number and k == kind]

    def _call(self, kind, call, timeout_ms=CALL_TIMEOUT_MS):
        self.store.calls[kind, call] += 1
        self.store.calls_by_router[self.router] += 1
        fault = self.store.fault(self.router)
        self.clock.sleep(timeout_ms if fault == "silent" else STORE_MS)
        if fault is not None:
            raise StoreUnavailable(fault)
        if self.store.era > self.era:
            self.era = self.store.era
            gevent.spawn(self.on_restored, self.era)
