"""The store client must not repeat writes, report wrong outcomes or reuse dead connections."""

import socket

import gevent
import pytest
from gevent.pywsgi import WSGIHandler, WSGIServer

from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.store.client import HttpStore

VMS = (
    b'{"revision": 3, "vms": [{"id": "r1", "role": "router", "address": "1.1.1.1:1",'
    b' "failure_domain": "a"}]}'
)


class SocketHandler(WSGIHandler):
    """Passes the socket to the WSGI application, so that it can drop the connection."""

    def get_environ(self):
        return {**super().get_environ(), "test.socket": self.socket}


class FakeServer:
    """An HTTP server that sends `replies` in turn; "silent" never replies, "drop" disconnects."""

    def __init__(self):
        self.replies = []
        self.requests = []
        self.http = WSGIServer(("127.0.0.1", 0), self, log=None, handler_class=SocketHandler)
        self.http.start()
        self.store = HttpStore(f"127.0.0.1:{self.http.server_port}", timeout_ms=300)

    def __call__(self, environ, start_response):
        query = environ.get("QUERY_STRING")
        target = environ["PATH_INFO"] + (f"?{query}" if query else "")
        condition = environ.get("HTTP_IF_VERSION")
        self.requests.append((environ["REQUEST_METHOD"], target, condition))
        reply = self.replies.pop(0)
        if reply == "silent":
            gevent.sleep(60)
        if reply == "drop":
            environ["test.socket"].shutdown(socket.SHUT_RDWR)
            reply = (200, 1, b"")
        status, version, body = reply
        headers = [("Content-Length", str(len(body)))]
        if version:
            headers.append(("X-Version", str(version)))
        start_response(f"{status} x", headers)
        return [body]


@pytest.fixture
def server():
    server = FakeServer()
    yield server
    server.store.close()
    server.http.stop(timeout=0)


def test_calls_return_values_and_versions(server):
    server.replies = [(200, 4, b"x"), (404, 0, b""), (200, 5, b"{}"), (204, 0, b"")]
    found = server.store.get("config/current")
    assert (found.value, found.version) == (b"x", 4)
    assert server.store.get("none") is None
    assert server.store.put("config/current", b"y", 4) == 5
    assert server.store.watch("config/current", 5, 100) is None
    assert server.requests[2:] == [
        ("PUT", "/objects/config/current", "4"),
        ("GET", "/watch/config/current?after=5&timeout_ms=100", None),
    ]
    assert server.store.calls == {"get": 2, "put": 1, "watch": 1}


def test_list_decodes_keys_values_and_versions(server):
    server.replies = [(200, 0, b'{"objects": [{"key": "a/1", "version": 2, "value": "eA=="}]}')]
    assert [(o.key, o.value, o.version) for o in server.store.list("a/")] == [("a/1", b"x", 2)]


def test_conflict_is_distinguished_from_unavailable_store(server):
    server.replies = [(409, 9, b""), (503, 0, b""), (429, 0, b"")]
    with pytest.raises(Conflict) as caught:
        server.store.put("k", b"", 3)
    assert caught.value.current_version == 9
    for _ in range(2):
        with pytest.raises(StoreUnavailable):
            server.store.put("k", b"", 3)


@pytest.mark.parametrize("fault", ["silent", "drop"])
def test_write_without_reply_is_not_retried(server, fault):
    server.replies = [(200, 1, b""), fault, (409, 2, b"")]
    server.store.get("k")
    with pytest.raises(StoreUnavailable):
        server.store.put("k", b"v", 1)
    assert [method for method, _, _ in server.requests] == ["GET", "PUT"]


@pytest.mark.parametrize("fault", ["silent", "drop"])
def test_read_is_retried_on_a_new_connection(server, fault):
    server.replies = [(200, 1, b"x"), fault, (200, 1, b"x")]
    server.store.get("k")
    assert server.store.get("k").value == b"x"
    assert server.store.calls["get"] == 3


def test_refused_connection_raises_store_unavailable(server):
    server.http.stop(timeout=0)
    with pytest.raises(StoreUnavailable, match="refused"):
        server.store.get("k")


def test_unchanged_vm_list_is_decoded_once(server):
    # Decoding a list of 13,000 VMs at every poll, each 2 s, takes 2% of a core.
    changed = VMS.replace(b"1.1.1.1:1", b"1.1.1.1:2")
    server.replies = [(200, 0, VMS), (200, 0, VMS), (200, 0, changed), (200, 0, VMS)]
    first, second, third, fourth = (server.store.fetch_vms() for _ in range(4))
    assert first is second
    assert third.vms[0].address == "1.1.1.1:2"
    assert fourth == first


def test_malformed_vm_list_raises_store_unavailable(server):
    server.replies = [(200, 0, VMS), (200, 0, b'{"vms": 3}'), (200, 0, b"<html>")]
    assert server.store.fetch_vms().routers()[0].id == "r1"
    for _ in range(2):
        with pytest.raises(StoreUnavailable, match="malformed"):
            server.store.fetch_vms()
