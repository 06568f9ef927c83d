"""Fixtures of the tests with hostile clients against a router process of its own."""

import sys
from pathlib import Path

import gevent
import pytest

# The stand-ins of the store and of targets are shared with the tests of the platform.
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))

from router_process import RouterProcess  # noqa: E402
from store_standin import StoreStandin  # noqa: E402
from test_platform_decode import CONFIG, ENTRY  # noqa: E402
from wire_bed import KEY, ScriptedTarget, response  # noqa: E402

LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}


@pytest.fixture
def store():
    """Yield a store with a configuration and one target."""
    store = StoreStandin()
    store.start()
    target = ScriptedTarget(
        "i-1", "ledger", lambda target, sock, head: sock.sendall(response(head))
    )
    store.put("servers", "i-1", ENTRY | {"service": "ledger", "address": target.address})
    tenants = [{"name": "small", "api_keys": [KEY]}]
    store.put("config", "main", {**CONFIG, "limits": LIMITS, "tenants": tenants})
    yield store
    target.close()
    store.close()
    gevent.sleep(0.01)


@pytest.fixture
def start(store, tmp_path):
    """Return a function that starts a router process with more lines of settings."""
    routers = []

    def make(more):
        router = RouterProcess(store, tmp_path, more)
        routers.append(router)
        router.start()
        return router

    yield make
    for router in routers:
        router.kill()
    # Lets the servers of the stand-ins see the end of their connections.
    gevent.sleep(0.01)
