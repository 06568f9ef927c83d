"""A change must be in force in time although the relay router of a failure domain has no news."""

import gevent
import pytest
from relay_bed import APPLY_MS, IDS, KIND, Mesh, RejectingStore, Router, Store

from jacinthcove.clock import SystemClock
from jacinthcove.errors import StoreUnavailable
from jacinthcove.scheduling import rendezvous

# The wait of a watch where a router counts as in contact after 4 s.
WAIT_MS = 2_800
WATCH_SLACK_MS = 600
DIGEST_PERIOD_S = 0.2


class SilentStore(RejectingStore):
    """One router's access to the store, whose replies are lost while `rejects` is set."""

    def watch(self, kind, revision, wait_ms):
        with gevent.Timeout((wait_ms + WATCH_SLACK_MS) / 1000, StoreUnavailable("silent")):
            news = self.store.watch(kind, revision, wait_ms)
            while self.rejects:
                gevent.sleep(0.01)
            return news


class Domain:
    """The routers of a failure domain; their relay router sends them digests."""

    def __init__(self, view=RejectingStore):
        self.store, self.mesh, self.clock = Store(), Mesh(), SystemClock()
        self.view = view(self.store)
        relay = rendezvous.owner("a", IDS)
        self.relay = Router(relay, self.view, self.mesh, wait_ms=WAIT_MS)
        self.wait_until(lambda: self.relay.watch.listed)
        self.others = [
            Router(id, self.store, self.mesh, wait_ms=WAIT_MS) for id in IDS if id != relay
        ]
        self.digests = gevent.spawn(self._send_digests)

    def close(self):
        self.digests.kill()
        for router in (self.relay, *self.others):
            router.watch.close()

    def wait_until(self, check, limit_ms=5_000):
        with gevent.Timeout(limit_ms / 1000, AssertionError("did not happen in time")):
            while not check():
                gevent.sleep(0.005)

    def wait_for_word(self):
        """Wait until the relay router has just heard from the store and said so in a digest."""
        gevent.sleep(WAIT_MS / 1000)
        log = self.relay.watch.changes
        self.wait_until(lambda: self.clock.boot() - log.known_at < 50)
        self._send_digest()

    def _send_digests(self):
        while True:
            gevent.sleep(DIGEST_PERIOD_S)
            if self.relay.id not in self.mesh.silent:
                self._send_digest()

    def _send_digest(self):
        news = list(self.relay.source.kind_news())
        for router in self.others:
            router.source.record_news(self.relay.id, news, self.clock.boot())


@pytest.fixture
def make():
    domains = []

    def make(view=RejectingStore):
        domains.append(Domain(view))
        return domains[-1]

    yield make
    for domain in domains:
        domain.close()


def cut_off(domain):
    """The relay router reaches neither the store nor the other routers."""
    domain.view.rejects = True
    domain.mesh.silent.add(domain.relay.id)


def rejected(domain):
    """The store rejects the relay router, and gives the others what they ask for."""
    domain.view.rejects = True


@pytest.mark.parametrize(
    ("trouble", "view"),
    [(cut_off, SilentStore), (rejected, RejectingStore), (rejected, SilentStore)],
    ids=["cut off", "rejected", "without replies"],
)
def test_a_change_is_in_force_in_time_when_the_relay_router_loses_the_store(make, trouble, view):
    domain = make(view)
    domain.wait_for_word()
    trouble(domain)
    domain.store.put(KIND, 8)
    in_force = {KIND: 8}
    domain.wait_until(lambda: all(r.follower.specs == in_force for r in domain.others), APPLY_MS)
