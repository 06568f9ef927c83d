"""A second copy of an answer that comes late on a kept connection to the store."""

import gevent
import orjson
import pytest
from gevent.server import StreamServer

from jacinthcove.errors import StoreUnavailable
from jacinthcove.platform.objects import PlatformObjects


class CopyingStore:
    """Answers each call as `bodies` say by kind, and repeats the answer at the next call first."""

    def __init__(self, bodies):
        self.bodies = bodies
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
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            sock.sendall(late)
            gevent.sleep(0.01)
            sock.sendall(answer)
            late, data = answer, b""


def listing(name, revision):
    item = {"metadata": {"name": name, "revision": revision}, "spec": {}}
    return {"items": [item], "has_more": False, "current_rev": revision}


@pytest.fixture
def store():
    stores = []

    def make(bodies):
        stores.append(CopyingStore(bodies))
        return stores[-1]

    yield make
    for store in stores:
        store.close()


def names(objects, kind):
    return [item.name for item in objects.list_all(kind).objects]


def test_a_list_is_never_that_of_another_kind(store):
    bodies = {"servers": listing("i-1", 7), "config": listing("main", 8)}
    objects = PlatformObjects(store(bodies).address, 500)
    for _ in range(4):
        assert names(objects, "servers") == ["i-1"]
        assert names(objects, "config") == ["main"]
        gevent.sleep(0.01)


def test_news_that_are_older_than_what_is_known_are_no_news(store):
    bodies = {"servers": {"events": [], "current_rev": 7}}
    objects = PlatformObjects(store(bodies).address, 500)
    assert objects.watch("servers", 5, 50).revision == 7
    with pytest.raises(StoreUnavailable):
        objects.watch("servers", 9, 50)


def test_an_object_is_the_one_that_was_asked_for(store):
    found = {"metadata": {"name": "main", "revision": 3}, "spec": {}}
    objects = PlatformObjects(store({"config/main": found, "config/other": found}).address, 500)
    assert objects.get("config", "main").name == "main"
    with pytest.raises(StoreUnavailable):
        objects.get("config", "other")
