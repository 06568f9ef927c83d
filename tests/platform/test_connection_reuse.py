"""Connections to targets that carry one request after another, and when they must not."""

import itertools
import socket
import struct

import gevent
import pytest
from gevent.server import StreamServer
from wire_bed import (
    ScriptedTarget,
    answer,
    chunk,
    event,
    header,
    not_run,
    read_answer,
    stream_head,
)

from jacinthcove.clock import ManualClock
from jacinthcove.platform import names
from jacinthcove.targets import pool

KEPT = "Keep-Alive: timeout=5\r\n"
# Long enough for a connection to be taken again.
REST_S = (pool.REUSE_DELAY_MS + 15) / 1000


class KeepingTarget(ScriptedTarget):
    """Serves one request after another on each connection until the script returns False."""

    def __init__(self, id, service, script):
        self.connections = []
        super().__init__(id, service, script)

    def _serve(self, sock, _):
        self.connections.append(sock)
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
        return self.script(self, sock, text) is not False


def keeping(extra=KEPT):
    """Return a script that answers with the request's own path as its body."""

    def script(target, sock, head):
        sock.sendall(answer(head, head.split()[1].encode(), extra=extra))

    return script


@pytest.fixture
def add(bed):
    def add_target(script, service="ledger", id="t1"):
        target = KeepingTarget(id, service, script)
        bed.targets.append(target)
        bed.book.put(target.record(), 1)
        return target

    return add_target


@pytest.fixture
def call(bed):
    numbers = itertools.count(1)

    def call_next(path="/publish/7", **fields):
        """Call with an id and a path of its own; return the status, and whether it is its own."""
        number = next(numbers)
        own = f"{path}{number}"
        status, _, body = bed.call(own, id=f"q{number}", **fields)
        gevent.sleep(REST_S)
        return status, body == own.encode()

    return call_next


def test_requests_follow_each_other_on_one_connection(add, call):
    target = add(keeping())
    assert [call() for _ in range(5)] == [(200, True)] * 5
    assert len(target.connections) == 1


def test_requests_at_the_same_time_have_connections_of_their_own(bed, add):
    def slow(target, sock, head):
        gevent.sleep(0.1)
        keeping()(target, sock, head)

    target = add(slow)
    socks = [bed.send(f"/publish/{number}", id=f"q{number}") for number in range(4)]
    assert [read_answer(sock)[2] for sock in socks] == [b"/publish/%d" % n for n in range(4)]
    assert len(target.connections) == 4


@pytest.mark.parametrize("extra", ["", KEPT + "Connection: close\r\n", "Keep-Alive: timeout=0\r\n"])
def test_a_connection_is_used_again_only_if_the_target_keeps_it(add, call, extra):
    target = add(keeping(extra))
    assert [call() for _ in range(2)] == [(200, True)] * 2
    assert len(target.connections) == 2


def test_a_connection_is_used_for_half_of_the_time_that_it_is_kept(add, call):
    target = add(keeping("Keep-Alive: timeout=1\r\n"))
    call()
    gevent.sleep(0.55)
    assert call() == (200, True)
    assert len(target.connections) == 2


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


IDLE_EVENTS = {
    "a byte": lambda sock: sock.sendall(b"x"),
    "a second answer": lambda sock: sock.sendall(answer("", b"another", id="q1")),
    "an end": lambda sock: sock.shutdown(socket.SHUT_WR),
    "a reset": reset,
}


@pytest.mark.parametrize("what", sorted(IDLE_EVENTS))
@pytest.mark.parametrize("path", ["/publish/7", "/status/7"])
def test_whatever_arrives_on_an_idle_connection_discards_it(add, call, what, path):
    target = add(keeping())
    call(path)
    IDLE_EVENTS[what](target.connections[0])
    gevent.sleep(0.01)
    assert call(path) == (200, True)
    assert len(target.connections) == 2
    assert len(target.seen) == 2


@pytest.mark.parametrize("together", [True, False])
@pytest.mark.parametrize("size", [3, 20_000])
def test_a_late_copy_of_an_earlier_answer_is_nobodys(add, call, together, size):
    """The copy comes where the next answer is due, so nothing tells before the request is sent."""
    copies = {}

    def script(target, sock, head):
        own = answer(head, head.split()[1].encode(), extra=KEPT)
        late = copies.pop(sock, b"")
        if together:
            sock.sendall(late + own)
        else:
            sock.sendall(late)
            gevent.sleep(0.02)
            sock.sendall(own)
        copies[sock] = answer(head, b"c" * size, extra=KEPT)

    target = add(script)
    assert [call() for _ in range(4)] == [(200, True)] * 4
    # A target that sent a copy once is not trusted with that connection again.
    assert len(target.connections) == 2
    assert len(target.seen) == 4


def test_a_late_copy_of_a_stream_is_nobodys(bed, add):
    def stream(head, number):
        return stream_head(head, KEPT) + chunk(event(number)) + b"0\r\n\r\n"

    def script(target, sock, head):
        first = header(head, names.ATTEMPT_ID) == "q1"
        late = b"" if first else stream(target.seen[0], 1)
        sock.sendall(late + stream(head, 1 if first else 2))

    target = add(script, service="models")
    for number in (1, 2):
        assert bed.call("/draft/7", id=f"q{number}")[2] == event(number)
        gevent.sleep(REST_S)
    assert len(target.connections) == 1


FOREIGN = {
    "without an id": lambda head: b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "no answer": lambda head: b"\x00\x17 no answer\r\n\r\n",
    "a copy without end": lambda head: answer(head, b"c" * 80_000, id="other", length=10**9),
    "only a copy": lambda head: answer(head, id="other"),
}


@pytest.mark.parametrize("what", sorted(FOREIGN))
def test_what_is_not_the_requests_answer_is_never_passed_on(add, call, what):
    def script(target, sock, head):
        if len(target.seen) == 2:
            sock.sendall(FOREIGN[what](head))
            return False
        keeping()(target, sock, head)
        return True

    target = add(script)
    assert call() == (200, True)
    status, _ = call()
    assert status in (502, 504)
    assert len(target.seen) == 2
    assert call() == (200, True)
    assert len(target.connections) == 2


def test_a_target_that_follows_at_the_address_gets_no_connection_of_the_one_before(bed, add, call):
    target = add(keeping())
    call()
    bed.book.put(target.record(started_at=77), 2)
    assert call() == (200, True)
    bed.book.delete("t1", False)
    bed.book.put(target.record(id="t9"), 3)
    assert call() == (200, True)
    assert len(target.connections) == 3


def test_a_refused_request_leaves_a_connection_that_can_be_used(no_pause, add, call):
    def script(target, sock, head):
        if len(target.seen) == 1:
            sock.sendall(not_run(head, extra=KEPT))
        else:
            keeping()(target, sock, head)

    target = add(script)
    assert call()[0] == 503
    assert call() == (200, True)
    assert len(target.connections) == 1


def test_an_early_answer_to_a_long_body_ends_the_connection_unless_the_body_is_sent(bed, add, call):
    target = add(keeping())
    assert call(body=b"b" * 4_000) == (200, True)
    assert call() == (200, True)
    assert [header(head, "Content-Length") for head in target.seen] == ["4000", "2"]
    assert len(target.connections) == 1


def test_a_caller_that_leaves_ends_the_connection_of_its_request(bed, add, call):
    def script(target, sock, head):
        if len(target.seen) != 2:
            keeping()(target, sock, head)

    target = add(script)
    call()
    bed.send("/publish/7", id="q-gone").close()
    assert target.closed_by_peer.wait(1)


def test_idle_connections_are_closed_in_time(bed, add, call):
    target = add(keeping("Keep-Alive: timeout=1\r\n"))
    call()
    gevent.sleep(0.55)
    bed.connections.sweep()
    assert target.closed_by_peer.wait(1)
    assert bed.connections.idle == {}


def test_a_target_holds_a_bounded_number_of_idle_connections(bed):
    server = StreamServer(("127.0.0.1", 0), lambda sock, _: gevent.sleep(5))
    server.start()
    key = pool.TargetKey("t1", 0, f"127.0.0.1:{server.server_port}")
    for _ in range(pool.MAX_IDLE_PER_TARGET + 5):
        sock = gevent.socket.create_connection(("127.0.0.1", server.server_port))
        bed.connections.release(key, sock, 5_000)
    assert len(bed.connections.idle[key]) == pool.MAX_IDLE_PER_TARGET
    server.stop(timeout=0.1)


def test_time_in_which_the_vm_was_suspended_counts(bed):
    """A target goes on closing idle connections while this VM stands still."""
    clock = ManualClock()
    suspended = pool.ConnectionPool(clock, bed.metrics)
    key = pool.TargetKey("t1", 0, "10.0.0.1:80")
    near, far = socket.socketpair()
    suspended.release(key, near, 4_000)
    clock.advance(pool.REUSE_DELAY_MS)
    clock.suspend(5_000)
    assert suspended.acquire(key) is None
    assert near.fileno() == -1
    far.close()
