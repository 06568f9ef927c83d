"""A duplicated response that arrives late on a reused connection to the store."""

import gevent
import orjson
import pytest
from gevent.server import StreamServer

from jacinthcove.errors import StoreUnavailable
from jacinthcove.platform.storeclient import PlatformStoreClient
from jacinthcove.store.kinds import StoreRevision


class DuplicatingStore:
    """Serves `bodies` by kind, and repeats each response ahead of the next one."""

    def __init__(self, bodies, pause_s=0.01):
        self.bodies = bodies
        self.pause_s = pause_s
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server_port}"

    def close(self):
        self.server.stop(timeout=0.1)

    def _serve(self, sock, _):
        late = b""
        data = b""
        while part := sock.recv(65_536):
            data += part
            if not data.endswith(b"\r\n\r\n"):
                continue
            kind = data.split(b" ")[1].decode().removeprefix("/-/objects/").partition("?")[0]
            body = orjson.dumps(self.bodies[kind])
            response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            if self.pause_s:
                sock.sendall(late)
                late = b""
                gevent.sleep(self.pause_s)
            sock.sendall(late + response)
            late, data = response, b""


def listing(name, revision):
    item = {"metadata": {"name": name, "revision": revision}, "spec": {}}
    return {"items": [item], "has_more": False, "current_rev": revision}


@pytest.fixture
def store():
    stores = []

    def make(bodies, **options):
        stores.append(DuplicatingStore(bodies, **options))
        return stores[-1]

    yield make
    for store in stores:
        store.close()


def names(store_client, kind):
    return [item.name for item in store_client.list_all(kind).objects]


def test_duplicated_list_is_not_taken_for_another_kind(store):
    bodies = {"servers": listing("i-1", 7), "config": listing("main", 8)}
    store_client = PlatformStoreClient(store(bodies).address, 500)
    for _ in range(4):
        assert names(store_client, "servers") == ["i-1"]
        assert names(store_client, "config") == ["main"]
        gevent.sleep(0.01)


def test_response_that_arrives_together_with_another_is_asked_for_again(store):
    """Both were read as one, which broke off the call; so it failed now and then on a busy VM."""
    bodies = {"servers": listing("i-1", 7)}
    store_client = PlatformStoreClient(store(bodies, pause_s=0).address, 500)
    for _ in range(4):
        assert names(store_client, "servers") == ["i-1"]


def test_watch_response_older_than_known_revision_is_rejected(store):
    bodies = {"servers": {"events": [], "current_rev": 7}}
    store_client = PlatformStoreClient(store(bodies).address, 500)
    assert store_client.watch("servers", StoreRevision(0, 5), 50).revision.number == 7
    with pytest.raises(StoreUnavailable):
        store_client.watch("servers", StoreRevision(0, 9), 50)


def test_get_rejects_an_object_with_another_name(store):
    found = {"metadata": {"name": "main", "revision": 3}, "spec": {}}
    store_client = PlatformStoreClient(
        store({"config/main": found, "config/other": found}).address, 500
    )
    assert store_client.get("config", "main").name == "main"
    with pytest.raises(StoreUnavailable):
        store_client.get("config", "other")
