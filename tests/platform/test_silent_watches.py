"""A channel to the store that goes silent must be noticed within the bound of what it watches."""

import time

import gevent
import pytest
from router_bed import settings_for
from store_standin import StoreStandin, eventually
from test_platform_decode import CONFIG, SETTINGS

from jacinthcove.platform import names
from jacinthcove.platform.daemon import PlatformRouter
from jacinthcove.platform.settings import decode_settings
from jacinthcove.platform.storeclient import WATCH_SLACK_MS
from jacinthcove.platform.watchwaits import watch_waits

EVACUATE_MS = 2_400
BOUNDED_KINDS = {
    names.CONFIG_KIND: "contact_ms",
    names.TARGETS_KIND: "contact_ms",
    names.DRAINED_DOMAINS_KIND: "evacuate_ms",
    names.ROLLOUTS_KIND: "rollback_ms",
}


class SilentStore(StoreStandin):
    """A store whose waiting watches of `silent_kind` never return once `silence` was called."""

    def __init__(self):
        super().__init__()
        self.silent_kind = None
        self.generation = 0
        self.watching = set()

    def silence(self, kind):
        """Let the watches of `kind` that wait now go silent; new calls work."""
        self.silent_kind = kind
        self.generation += 1

    def _watch(self, kind, revision, wait_ms):
        generation = self.generation
        self.watching.add(kind)
        found = super()._watch(kind, revision, wait_ms)
        if kind == self.silent_kind and generation != self.generation:
            gevent.sleep(60)
        return found


@pytest.fixture
def store():
    store = SilentStore()
    store.put(names.CONFIG_KIND, "main", CONFIG)
    store.start()
    yield store
    store.close()


@pytest.fixture
def router(store):
    more = f"bounds.evacuate_ms={EVACUATE_MS}\n"
    router = PlatformRouter(settings_for(store, "front-1", "0,0", more), metrics_port=0)
    starting = gevent.spawn(router.start)
    yield router
    starting.kill()
    router.stop_now()


def test_an_evacuation_is_learnt_in_time_although_the_channel_went_silent(store, router):
    """A watch of 8 s hid the silence until after the bound of the evacuation."""
    eventually(lambda: names.DRAINED_DOMAINS_KIND in store.watching)
    store.silence(names.DRAINED_DOMAINS_KIND)
    store.put(names.DRAINED_DOMAINS_KIND, "zone-a", {})
    evacuated_at = time.monotonic()
    while "zone-a" not in router.registry.drained:
        assert (time.monotonic() - evacuated_at) * 1_000 < EVACUATE_MS
        gevent.sleep(0.01)


@pytest.mark.parametrize("kind", sorted(BOUNDED_KINDS))
@pytest.mark.parametrize("bound_ms", [2_000, 3_000, 5_000, 12_000])
def test_the_silence_of_each_watch_is_noticed_within_its_bound(kind, bound_ms):
    text = SETTINGS + f"\nbounds.{BOUNDED_KINDS[kind]}={bound_ms}\n"
    waits = watch_waits(decode_settings(text).unwrap().bounds)
    assert waits[kind] + WATCH_SLACK_MS < bound_ms
