"""Fixtures of the tests against stand-ins of the platform."""

import gevent
import pytest
from router_bed import settings_for
from store_standin import StoreStandin
from test_platform_decode import CONFIG, ENTRY
from wire_bed import KEY, GatewayTestBed, ScriptedTarget, response

from jacinthcove.gateway import targets
from jacinthcove.platform.daemon import PlatformRouter
from testbed.ports import free_addresses


@pytest.fixture
def no_pause(monkeypatch):
    """Let the router use a target again at once after it was full."""
    monkeypatch.setattr(targets, "FULL_PAUSE_MS", 0)


@pytest.fixture
def bed():
    """Yield a running gateway that has no targets yet."""
    bed = GatewayTestBed()
    bed.start()
    yield bed
    bed.close()


@pytest.fixture
def store():
    store = StoreStandin()
    store.start()
    yield store
    store.close()


@pytest.fixture
def ledger(store):
    target = ScriptedTarget(
        "i-1", "ledger", lambda target, sock, head: sock.sendall(response(head))
    )
    store.put("servers", "i-1", ENTRY | {"service": "ledger", "address": target.address})
    yield target
    target.close()


@pytest.fixture
def operator(store):
    """Return a function that writes a configuration version with the given API keys."""

    def write(version, keys=(KEY,)):
        tenants = [{"name": "small", "api_keys": list(keys)}]
        store.put("config", "main", {**CONFIG, "version": version, "tenants": tenants})

    return write


@pytest.fixture
def start(store):
    routers = []

    def make(name="front-1"):
        mesh = free_addresses(1)[0].rpartition(":")[2]
        router = PlatformRouter(settings_for(store, name, f"{mesh},{mesh}"), metrics_port=0)
        routers.append(router)
        gevent.spawn(router.start)
        return router

    yield make
    for router in routers:
        router.stop_now()
