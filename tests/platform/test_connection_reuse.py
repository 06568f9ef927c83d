"""Connections to targets are reused for later requests, unless that could mix up responses."""

import itertools
import socket
import struct

import gevent
import pytest
from gevent.server import StreamServer
from wire_bed import (
    ScriptedTarget,
    chunk,
    event,
    header,
    not_run,
    read_response,
    response,
    stream_head,
)

from jacinthcove.clock import ManualClock
from jacinthcove.gateway import targets
from jacinthcove.platform import names
from jacinthcove.targets import pool

KEEP_ALIVE = "Keep-Alive: timeout=5\r\n"
# After this time an idle connection may be reused.
REUSE_AFTER_S = (pool.REUSE_DELAY_MS + 15) / 1000


class KeepAliveTarget(ScriptedTarget):
    """Serves one request after another on each connection until the script returns False.

    `connections` are those that carried a request; after a broken one the router connects once
    more, without a request, to learn whether the target has crashed.
    """

    def __init__(self, id, service, script):
        self.connections = []
        super().__init__(id, service, script)

    def _serve(self, sock, _):
        while self._serve_one(sock):
            pass

    def _serve_one(self, sock):
        data = b""
        while b"\r\n\r\n" not in data:
            part = sock.recv(65_536)
            if not part:
                self.closed_by_peer.set()
                return False
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        text = head.decode("latin-1")
        while len(body) < int(header(text, "Content-Length") or 0):
            body += sock.recv(65_536)
        self.seen.append(text)
        if sock not in self.connections:
            self.connections.append(sock)
        return self.script(self, sock, text) is not False


def keep_alive_script(extra=KEEP_ALIVE):
    """Return a script that sends the path of the request as the response body."""

    def script(target, sock, head):
        sock.sendall(response(head, head.split()[1].encode(), extra=extra))

    return script


@pytest.fixture
def add(bed):
    def add_target(script, service="ledger", id="t1"):
        target = KeepAliveTarget(id, service, script)
        bed.targets.append(target)
        bed.registry.put(target.record(), 1)
        return target

    return add_target


@pytest.fixture
def call(bed):
    numbers = itertools.count(1)

    def call_next(path="/publish/7", **fields):
        """Call with a unique id and path; return the status and whether the body matches."""
        number = next(numbers)
        unique_path = f"{path}{number}"
        status, _, body = bed.call(unique_path, id=f"q{number}", **fields)
        gevent.sleep(REUSE_AFTER_S)
        return status, body == unique_path.encode()

    return call_next


def test_sequential_requests_share_one_connection(add, call):
    target = add(keep_alive_script())
    assert [call() for _ in range(5)] == [(200, True)] * 5
    assert len(target.connections) == 1


def test_concurrent_requests_use_separate_connections(bed, add):
    def slow(target, sock, head):
        gevent.sleep(0.1)
        keep_alive_script()(target, sock, head)

    target = add(slow)
    socks = [bed.send(f"/publish/{number}", id=f"q{number}") for number in range(4)]
    assert [read_response(sock)[2] for sock in socks] == [b"/publish/%d" % n for n in range(4)]
    assert len(target.connections) == 4


@pytest.mark.parametrize(
    "extra", ["", KEEP_ALIVE + "Connection: close\r\n", "Keep-Alive: timeout=0\r\n"]
)
def test_connection_is_reused_only_if_target_announces_keep_alive(add, call, extra):
    target = add(keep_alive_script(extra))
    assert [call() for _ in range(2)] == [(200, True)] * 2
    assert len(target.connections) == 2


def test_connection_is_reused_only_for_half_of_keep_alive_time(add, call):
    target = add(keep_alive_script("Keep-Alive: timeout=1\r\n"))
    call()
    gevent.sleep(0.55)
    assert call() == (200, True)
    assert len(target.connections) == 2


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


IDLE_EVENTS = {
    "a byte": lambda sock: sock.sendall(b"x"),
    "a second answer": lambda sock: sock.sendall(response("", b"another", id="q1")),
    "an end": lambda sock: sock.shutdown(socket.SHUT_WR),
    "a reset": reset,
}


@pytest.mark.parametrize("what", sorted(IDLE_EVENTS))
@pytest.mark.parametrize("path", ["/publish/7", "/status/7"])
def test_idle_connection_is_discarded_when_anything_arrives_on_it(add, call, what, path):
    target = add(keep_alive_script())
    call(path)
    IDLE_EVENTS[what](target.connections[0])
    gevent.sleep(0.01)
    assert call(path) == (200, True)
    assert len(target.connections) == 2
    assert len(target.seen) == 2


@pytest.mark.parametrize("together", [True, False])
@pytest.mark.parametrize("size", [3, 20_000])
def test_late_copy_of_earlier_response_is_dropped(add, call, together, size):
    """The copy arrives after the next request was sent, so the router cannot detect it before."""
    copies = {}

    def script(target, sock, head):
        own = response(head, head.split()[1].encode(), extra=KEEP_ALIVE)
        late = copies.pop(sock, b"")
        if together:
            sock.sendall(late + own)
        else:
            sock.sendall(late)
            gevent.sleep(0.02)
            sock.sendall(own)
        copies[sock] = response(head, b"c" * size, extra=KEEP_ALIVE)

    target = add(script)
    assert [call() for _ in range(4)] == [(200, True)] * 4
    # A connection on which a copy arrived is not reused.
    assert len(target.connections) == 2
    assert len(target.seen) == 4


def test_late_copy_of_a_stream_is_dropped(bed, add):
    def stream(head, number):
        return stream_head(head, KEEP_ALIVE) + chunk(event(number)) + b"0\r\n\r\n"

    def script(target, sock, head):
        first = header(head, names.ATTEMPT_ID) == "q1"
        late = b"" if first else stream(target.seen[0], 1)
        sock.sendall(late + stream(head, 1 if first else 2))

    target = add(script, service="models")
    for number in (1, 2):
        assert bed.call("/draft/7", id=f"q{number}")[2] == event(number)
        gevent.sleep(REUSE_AFTER_S)
    assert len(target.connections) == 1


FOREIGN = {
    "without an id": lambda head: b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "no answer": lambda head: b"\x00\x17 no answer\r\n\r\n",
    "a copy without end": lambda head: response(head, b"c" * 80_000, id="other", length=10**9),
    "only a copy": lambda head: response(head, id="other"),
}


@pytest.mark.parametrize("what", sorted(FOREIGN))
def test_response_to_another_request_is_never_forwarded(add, call, what):
    def script(target, sock, head):
        if len(target.seen) == 2:
            sock.sendall(FOREIGN[what](head))
            return False
        keep_alive_script()(target, sock, head)
        return True

    target = add(script)
    assert call() == (200, True)
    status, _ = call()
    assert status in (502, 504)
    assert len(target.seen) == 2
    assert call() == (200, True)
    assert len(target.connections) == 2


REPEATED_REFUSALS = {
    "with the earlier id": lambda head: response(
        head, b"", "503 Busy", f"{names.NOT_RUN}: 1\r\n{KEEP_ALIVE}"
    ),
    "without an id": lambda head: not_run(head, extra=KEEP_ALIVE),
    "421": lambda head: response(head, b"", "421 Misdirected Request", KEEP_ALIVE),
}


@pytest.mark.parametrize("what", sorted(REPEATED_REFUSALS))
@pytest.mark.parametrize("answered", [True, False])
def test_a_refusal_written_again_does_not_refuse_the_next_request(
    no_pause, monkeypatch, add, call, what, answered
):
    """The target runs the next request, whose caller must not be told that it did not run."""
    monkeypatch.setattr(targets, "UNREACHABLE_MAX_PAUSE_MS", 0)
    refusals = {}

    def script(target, sock, head):
        if sock not in refusals:
            refusals[sock] = REPEATED_REFUSALS[what](head)
            sock.sendall(refusals[sock])
            return True
        sock.sendall(refusals[sock])
        if answered:
            keep_alive_script()(target, sock, head)
        return answered

    first = add(script)
    assert call()[0] == 503
    second = add(keep_alive_script(), id="t2")
    status = call("/publish2/7")
    assert status == (200, True) if answered else status[0] in (502, 504)
    assert len(first.seen) == 2
    assert not second.seen


def test_new_target_at_same_address_gets_no_old_connection(bed, add, call):
    target = add(keep_alive_script())
    call()
    bed.registry.put(target.record(started_at=77), 2)
    assert call() == (200, True)
    bed.registry.delete("t1", False)
    bed.registry.put(target.record(id="t9"), 3)
    assert call() == (200, True)
    assert len(target.connections) == 3


def test_connection_is_reused_after_a_refused_request(no_pause, add, call):
    def script(target, sock, head):
        if len(target.seen) == 1:
            sock.sendall(not_run(head, extra=KEEP_ALIVE))
        else:
            keep_alive_script()(target, sock, head)

    target = add(script)
    assert call()[0] == 503
    assert call() == (200, True)
    assert len(target.connections) == 1


def test_connection_is_reused_after_a_long_request_body(bed, add, call):
    target = add(keep_alive_script())
    assert call(body=b"b" * 4_000) == (200, True)
    assert call() == (200, True)
    assert [header(head, "Content-Length") for head in target.seen] == ["4000", "2"]
    assert len(target.connections) == 1


def test_caller_disconnect_closes_connection_to_target(bed, add, call):
    def script(target, sock, head):
        if len(target.seen) != 2:
            keep_alive_script()(target, sock, head)

    target = add(script)
    call()
    bed.send("/publish/7", id="q-gone").close()
    assert target.closed_by_peer.wait(1)


def test_expired_idle_connections_are_closed(bed, add, call):
    target = add(keep_alive_script("Keep-Alive: timeout=1\r\n"))
    call()
    gevent.sleep(0.55)
    bed.connections.sweep()
    assert target.closed_by_peer.wait(1)
    assert bed.connections.idle == {}


def test_idle_connections_per_target_are_limited(bed):
    server = StreamServer(("127.0.0.1", 0), lambda sock, _: gevent.sleep(5))
    server.start()
    key = pool.TargetKey("t1", 0, f"127.0.0.1:{server.server_port}")
    for _ in range(pool.MAX_IDLE_PER_TARGET + 5):
        sock = gevent.socket.create_connection(("127.0.0.1", server.server_port))
        bed.connections.release(key, sock, 5_000)
    assert len(bed.connections.idle[key]) == pool.MAX_IDLE_PER_TARGET
    server.stop(timeout=0.1)


def test_time_while_vm_was_suspended_counts_as_idle(bed):
    """The target closes idle connections also while the router's VM is suspended."""
    clock = ManualClock()
    suspended = pool.ConnectionPool(clock, bed.metrics)
    key = pool.TargetKey("t1", 0, "10.0.0.1:80")
    own_end, target_end = socket.socketpair()
    suspended.release(key, own_end, 4_000)
    clock.advance(pool.REUSE_DELAY_MS)
    clock.suspend(5_000)
    assert suspended.acquire(key) is None
    assert own_end.fileno() == -1
    target_end.close()
