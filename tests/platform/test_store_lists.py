"""Complete routers that give each other the objects of the store."""

import gevent
import pytest
from store_standin import eventually

from jacinthcove.observe.metrics import Counter, Family
from jacinthcove.store import relayroles, startwait

LONGEST_WATCH_S = 2.0


@pytest.fixture
def fleet(start, operator, monkeypatch):
    """Return three routers of one failure domain, in which three are enough for a relay router."""
    for module in (relayroles, startwait):
        monkeypatch.setattr(module, "MIN_ROUTERS", 3)
    operator(7)
    routers = [start(f"front-{number}") for number in range(3)]
    eventually(lambda: all(router.ready() for router in routers))
    eventually(lambda: all(len(router.fleet.candidates()) == 3 for router in routers))
    # A watch that the relay router began before it knew the others waits longer than theirs.
    gevent.sleep(LONGEST_WATCH_S)
    return routers


def lists_at_the_store(router):
    """Return how often a router listed the followed kinds at the store."""
    series = router.metrics.counters.get("store_reads_total", Family("counter", Counter)).series
    return sum(counter.value for labels, counter in series.items() if ("call", "list") in labels)


def restart(fleet, start):
    """Stop a router that is not the relay router, and return its new process."""
    one = next(r for r in fleet if r.source.relay_router() != r.settings.id)
    one.stop_now()
    again = start(one.settings.id)
    eventually(again.ready)
    return again


def test_restarted_router_gets_all_kinds_from_the_relay_router(fleet, start):
    """It would list five kinds itself, and read an older state than the relay router's."""
    again = restart(fleet, start)
    assert not lists_at_the_store(again)
    assert {watch.kind for watch in again.watches if watch.listed} == set(again.changelogs)
    assert not any(log.watches_store for log in again.changelogs.values())


def test_restarted_router_has_what_was_deleted_meanwhile_deleted(fleet, start, store):
    store.put("evacuations", "b", {})
    eventually(lambda: all("b" in r.registry.drained for r in fleet))
    one = next(r for r in fleet if r.source.relay_router() != r.settings.id)
    one.stop_now()
    store.remove("evacuations", "b")
    again = start(one.settings.id)
    eventually(again.ready)
    eventually(lambda: "b" not in again.registry.drained)


def test_added_router_gets_all_kinds_from_the_relay_router(fleet, start):
    """It becomes a member before its first list, and may be the relay router from then on."""
    added = start("front-9")
    eventually(added.ready)
    if added.source.relay_router() != "front-9":
        assert not lists_at_the_store(added)
