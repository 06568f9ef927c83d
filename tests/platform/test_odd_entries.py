"""One odd object among those that routers list, written by somebody else."""

import gevent
import orjson
import pytest
from store_standin import StoreStandin, eventually
from test_platform_decode import ENTRY

from jacinthcove.clock import SystemClock
from jacinthcove.gateway.targets import TargetRegistry
from jacinthcove.mesh.peers import Member
from jacinthcove.platform.followers import TargetFollower
from jacinthcove.platform.registration import Registration
from jacinthcove.platform.storeclient import PlatformStoreClient
from jacinthcove.store.changelog import ChangeLog
from jacinthcove.store.kinds import Change, KindObject, StoreRevision, WatchResult
from jacinthcove.store.kindwatch import KindWatch
from jacinthcove.store.relaycodec import decode_result, encode_result

ODD_VALUE_MARK = "odd value"
ODD_VALUES = {
    "nested too deeply": b"[" * 3_000 + b"]" * 3_000,
    "nested deeply": b"[" * 800 + b"]" * 800,
    "a number too large": b"9" * 400,
    "not UTF-8": b'"\xff"',
}


class RawStore(StoreStandin):
    """A store whose responses have `odd` bytes in place of `ODD_VALUE_MARK`."""

    odd = b""

    def _serve(self, environ, start_response):
        status, body = self._respond(environ)
        data = b"" if body is None else orjson.dumps(body)
        data = data.replace(b'"%b"' % ODD_VALUE_MARK.encode(), self.odd)
        start_response(f"{status} x", [("Content-Length", str(len(data)))])
        return [data]


@pytest.fixture
def store():
    store = RawStore()
    store.start()
    yield store
    store.close()


@pytest.fixture
def registry(store):
    registry = TargetRegistry(SystemClock())
    client = PlatformStoreClient(store.address, 500)
    watch = KindWatch(client, SystemClock(), "servers", 300, TargetFollower(registry))
    watch.start()
    yield registry
    watch.close()
    client.close()


@pytest.mark.parametrize("field", ["service", "unknown"])
@pytest.mark.parametrize("what", sorted(ODD_VALUES))
def test_routers_go_on_following_the_targets_beside_an_odd_entry(store, registry, what, field):
    store.odd = ODD_VALUES[what]
    store.put("servers", "i-1", ENTRY)
    eventually(lambda: "i-1" in registry.states)
    store.put("servers", "i-odd", ENTRY | {field: ODD_VALUE_MARK})
    store.put("servers", "i-2", ENTRY | {"address": "10.0.0.2:80"})
    eventually(lambda: "i-2" in registry.states)
    store.forget()
    gevent.sleep(0.1)
    store.remove("servers", "i-1")
    eventually(lambda: "i-1" not in registry.states)
    assert "i-2" in registry.states


def test_odd_mesh_key_of_another_writer_does_not_keep_a_router_from_its_fleet(store):
    """Without a key a router never joined the others, and no later one could."""
    store.put("jacinthcove-secrets", "mesh", [{"key": 7}])
    client = PlatformStoreClient(store.address, 500)
    routers = [Registration(client, Member(f"r-{n}", "a:1", "a:2", "a")) for n in range(2)]
    keys = {router.load_key() for router in routers}
    assert len(keys) == 1
    assert store.objects["jacinthcove-secrets", "mesh"]["spec"] == {"key": keys.pop()}
    client.close()


def test_a_deep_object_does_not_keep_the_others_from_other_routers():
    deep = orjson.loads(b"[" * 800 + b"]" * 800)
    changes = [Change(KindObject(name, 2, spec), False) for name, spec in (("a", deep), ("b", 1))]
    passed_on = decode_result(encode_result(WatchResult(changes, StoreRevision(1, 2))))
    assert [change.object.spec for change in passed_on.changes] == [None, 1]


def test_the_log_of_changes_keeps_a_deep_object():
    log = ChangeLog(SystemClock())
    log.restart(StoreRevision(1, 1), 0)
    deep = orjson.loads(b"[" * 800 + b"]" * 800)
    change = Change(KindObject("a", 2, deep), False)
    log.add(StoreRevision(1, 1), WatchResult([change], StoreRevision(1, 2)), 0)
    assert log.since(StoreRevision(1, 1), 0).revision == StoreRevision(1, 2)
