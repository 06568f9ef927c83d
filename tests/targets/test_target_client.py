"""Guards against errors that say wrongly whether a target may have run a request."""

import time

import gevent
import gevent.socket
import pytest
from gevent.server import StreamServer

from jacinthcove.errors import NotAdmitted, TargetFailed
from jacinthcove.targets import client, sockets
from jacinthcove.targets.client import TargetRequest, fetch, open_response, read_events
from jacinthcove.targets.sockets import StallDetectingSocket, TargetStalled, TargetUnreachable
from testbed.ports import free_addresses

OK = b"HTTP/1.1 200 OK\r\n"


@pytest.fixture
def target():
    """Serve the same bytes to every request, then close the connection."""
    servers = []

    def serve(response_bytes):
        def handle(sock, _):
            sock.recv(65_536)
            sock.sendall(response_bytes)
            sock.close()

        server = StreamServer(("127.0.0.1", 0), handle)
        server.start()
        servers.append(server)
        return TargetRequest(f"127.0.0.1:{server.server_port}", "POST", "/", b"{}", 500)

    yield serve
    for server in servers:
        server.stop()


def test_refused_connection_means_not_run():
    with pytest.raises(TargetUnreachable):
        fetch(TargetRequest(free_addresses(1)[0], "POST", "/"))


def test_not_admitted_response_means_not_run(target):
    refusal = b"HTTP/1.1 503 Busy\r\nX-Not-Admitted: 1\r\nContent-Length: 0\r\n\r\n"
    with pytest.raises(NotAdmitted):
        fetch(target(refusal))


@pytest.mark.parametrize(
    "response_bytes",
    [
        b"",
        b"HTTP/1.1 200",
        b"no HTTP\r\n\r\n",
        b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 500 Error\r\nX-Not-Admitted: 1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + OK + b"Content-Length: 0\r\n\r\n",
        b"HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\n{}",
        OK + b"Content-Length: 10\r\n\r\nabc",
        OK + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
    ],
)
def test_failure_after_sending_the_request_means_it_may_have_run(target, response_bytes):
    with pytest.raises(TargetFailed) as raised:
        fetch(target(response_bytes))
    assert not isinstance(raised.value, NotAdmitted)


def test_complete_response_is_returned(target):
    response = fetch(target(OK + b"Content-Length: 8\r\n\r\n" + b'{"a": 1}'))
    assert (response.status, response.json()) == (200, {"a": 1})


def test_silent_target_stalls_after_idle_callbacks(monkeypatch):
    monkeypatch.setattr(sockets, "IDLE_INTERVAL_MS", 10)
    ours, theirs = gevent.socket.socketpair()
    idle = []
    sock = StallDetectingSocket(ours, 50, lambda: idle.append(1))
    theirs.send(b"x")
    assert sock.recv(10) == b"x"
    with pytest.raises(TargetStalled):
        sock.recv(10)
    assert len(idle) == 4
    theirs.close()
    sock.close()


def test_steady_bytes_do_not_stall():
    ours, theirs = gevent.socket.socketpair()
    idle = []
    sock = StallDetectingSocket(ours, 200, lambda: idle.append(1))

    def send():
        for _ in range(60):
            gevent.sleep(0.01)
            theirs.send(b"x")

    gevent.spawn(send)
    received = 0
    while received < 60:
        received += len(sock.recv(10))
    assert not idle
    theirs.close()
    sock.close()


def test_bytes_received_during_a_process_pause_do_not_stall():
    ours, theirs = gevent.socket.socketpair()
    sock = StallDetectingSocket(ours, 20, lambda: None)

    def pause_and_send():
        time.sleep(0.05)
        theirs.send(b"x")

    gevent.spawn(pause_and_send)
    assert sock.recv(10) == b"x"
    theirs.close()
    sock.close()


def events_of(request):
    with open_response(request) as response:
        return [event for events in read_events(response) for event in events]


def test_incomplete_event_is_not_yielded(target):
    assert events_of(target(OK + b"\r\nid: 0\n\nid: 1\n\nid: 2\n")) == [b"id: 0", b"id: 1"]


def test_truncated_chunked_body_is_a_failure(target):
    with pytest.raises(TargetFailed):
        events_of(target(OK + b"Transfer-Encoding: chunked\r\n\r\n7\r\nid: 0\n\n\r\n"))


def test_endless_event_is_a_failure(target, monkeypatch):
    monkeypatch.setattr(client, "MAX_EVENT_BYTES", 100)
    with pytest.raises(TargetFailed):
        events_of(target(OK + b"\r\n" + b"x" * 200))
