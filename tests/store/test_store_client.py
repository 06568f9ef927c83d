"""Guards the store client against repeated writes, wrong outcomes and dead connections."""

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


class Handler(WSGIHandler):
    """Gives the application its socket."""

    def get_environ(self):
        return {**super().get_environ(), "test.socket": self.socket}


class Fake:
    """Answers with `answers` in turn; "silent" waits, "drop" closes without an answer."""

    def __init__(self):
        self.answers = []
        self.requests = []
        self.server = WSGIServer(("127.0.0.1", 0), self, log=None, handler_class=Handler)
        self.server.start()
        self.store = HttpStore(f"127.0.0.1:{self.server.server_port}", timeout_ms=300)

    def __call__(self, environ, start_response):
        query = environ.get("QUERY_STRING")
        target = environ["PATH_INFO"] + (f"?{query}" if query else "")
        condition = environ.get("HTTP_IF_VERSION")
        self.requests.append((environ["REQUEST_METHOD"], target, condition))
        answer = self.answers.pop(0)
        if answer == "silent":
            gevent.sleep(60)
        if answer == "drop":
            environ["test.socket"].shutdown(socket.SHUT_RDWR)
            answer = (200, 1, b"")
        status, version, body = answer
        headers = [("Content-Length", str(len(body)))]
        if version:
            headers.append(("X-Version", str(version)))
        start_response(f"{status} x", headers)
        return [body]


@pytest.fixture
def fake():
    fake = Fake()
    yield fake
    fake.store.close()
    fake.server.stop(timeout=0)


def test_values_and_versions_are_not_mixed_up(fake):
    fake.answers = [(200, 4, b"x"), (404, 0, b""), (200, 5, b"{}"), (204, 0, b"")]
    found = fake.store.get("config/current")
    assert (found.value, found.version) == (b"x", 4)
    assert fake.store.get("none") is None
    assert fake.store.put("config/current", b"y", 4) == 5
    assert fake.store.watch("config/current", 5, 100) is None
    assert fake.requests[2:] == [
        ("PUT", "/objects/config/current", "4"),
        ("GET", "/watch/config/current?after=5&timeout_ms=100", None),
    ]
    assert fake.store.calls == {"get": 2, "put": 1, "watch": 1}


def test_a_list_is_decoded(fake):
    fake.answers = [(200, 0, b'{"objects": [{"key": "a/1", "version": 2, "value": "eA=="}]}')]
    assert [(o.key, o.value, o.version) for o in fake.store.list("a/")] == [("a/1", b"x", 2)]


def test_a_conflict_is_told_from_an_outage(fake):
    fake.answers = [(409, 9, b""), (503, 0, b""), (429, 0, b"")]
    with pytest.raises(Conflict) as caught:
        fake.store.put("k", b"", 3)
    assert caught.value.current_version == 9
    for _ in range(2):
        with pytest.raises(StoreUnavailable):
            fake.store.put("k", b"", 3)


@pytest.mark.parametrize("fault", ["silent", "drop"])
def test_a_write_without_answer_is_never_sent_again(fake, fault):
    fake.answers = [(200, 1, b""), fault, (409, 2, b"")]
    fake.store.get("k")
    with pytest.raises(StoreUnavailable):
        fake.store.put("k", b"v", 1)
    assert [method for method, _, _ in fake.requests] == ["GET", "PUT"]


@pytest.mark.parametrize("fault", ["silent", "drop"])
def test_a_read_moves_to_a_fresh_connection(fake, fault):
    fake.answers = [(200, 1, b"x"), fault, (200, 1, b"x")]
    fake.store.get("k")
    assert fake.store.get("k").value == b"x"
    assert fake.store.calls["get"] == 3


def test_a_refused_connection_is_an_outage(fake):
    fake.server.stop(timeout=0)
    with pytest.raises(StoreUnavailable, match="refused"):
        fake.store.get("k")


def test_an_unchanged_vm_list_is_decoded_once(fake):
    # Pollers read a list of 13,000 VMs every 2 s, and decoding it takes 2% of a core.
    changed = VMS.replace(b"1.1.1.1:1", b"1.1.1.1:2")
    fake.answers = [(200, 0, VMS), (200, 0, VMS), (200, 0, changed), (200, 0, VMS)]
    first, second, third, fourth = (fake.store.fetch_vms() for _ in range(4))
    assert first is second
    assert third.vms[0].address == "1.1.1.1:2"
    assert fourth == first


def test_a_malformed_vm_list_is_an_outage(fake):
    fake.answers = [(200, 0, VMS), (200, 0, b'{"vms": 3}'), (200, 0, b"<html>")]
    assert fake.store.fetch_vms().routers()[0].id == "r1"
    for _ in range(2):
        with pytest.raises(StoreUnavailable, match="malformed"):
            fake.store.fetch_vms()
