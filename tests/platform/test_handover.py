"""Requests that a router cannot carry and that another router serves in its place."""

import socket
import struct
import time

import gevent
import pytest
from router_bed import http
from store_standin import eventually
from wire_bed import header, read_response, request, response

from jacinthcove.address import split_address
from jacinthcove.bytebudget import FREE_BYTES
from jacinthcove.gateway import handover, shedding
from jacinthcove.gateway.directory import Candidate
from jacinthcove.gateway.handovermessages import (
    MARK_HEADER,
    UNREADABLE_MARK,
    PassedOn,
    host_and_path,
    may_pass_on,
    take_mark,
)
from jacinthcove.gateway.loopdelay import LATE_DELAY_MS, REJECT_ALL_DELAY_MS


def test_callers_of_a_late_router_are_served_by_an_idle_one(passing, ledger):
    """Without help the router refuses half of them."""
    late, idle = passing
    for number in range(20):
        status, headers, body = http(late.settings.caller_listen)
        assert (status, body) == (200, b"published")
        assert headers["connection"] == "close"
        assert len(ledger.seen) == number + 1


def test_a_request_whose_caller_has_left_is_not_passed_on(passing, ledger):
    late, idle = passing
    seen = len(ledger.seen)
    sock = open_request(late, request("/publish/left"))
    sock.close()
    gevent.sleep(0.2)
    assert len(ledger.seen) == seen


def test_a_router_too_late_to_know_its_callers_refuses(pair, ledger):
    pair[0].loop_delay.delay_ms = lambda: REJECT_ALL_DELAY_MS + 1
    gevent.sleep(0.3)
    assert not pair[0].intake.passes_on()
    assert http(pair[0].settings.caller_listen)[0] == 503
    assert not ledger.seen


def passed_on(router):
    return router.application.handover.passed_on.value


def open_request(router, data):
    host, _, port = router.settings.caller_listen.rpartition(":")
    sock = gevent.socket.create_connection((host, int(port)), timeout=5)
    sock.sendall(data)
    return sock


def test_a_slow_answer_is_not_cut_off_on_its_way(passing, ledger):
    def answer_slowly(target, sock, head):
        gevent.sleep((handover.CONNECT_TIMEOUT_MS + 300) / 1000)
        sock.sendall(response(head))

    ledger.script = answer_slowly
    assert http(passing[0].settings.caller_listen)[0] == 200


def test_the_target_sees_the_request_as_the_caller_sent_it(passing, ledger):
    raw = request("/publish/7", b"body of the caller", id="q7")
    assert http(passing[0].settings.caller_listen, raw=raw)[0] == 200
    assert ledger.bodies[-1] == b"body of the caller"
    assert header(ledger.seen[-1], MARK_HEADER) is None
    assert passed_on(passing[0]) >= 1
    assert passed_on(passing[1]) == 0


def test_a_body_that_arrives_in_pieces_is_passed_on_whole(passing, ledger, monkeypatch):
    monkeypatch.setattr(shedding, "ARRIVAL_MS", 2_000)
    data = request("/publish/8", b"x" * 9_000)
    sock = open_request(passing[0], data[:5_000])
    gevent.sleep(0.01)
    sock.sendall(data[5_000:])
    assert read_response(sock)[0] == 200
    assert ledger.bodies[-1] == b"x" * 9_000


def test_a_caller_that_leaves_ends_its_request_at_the_target(passing, ledger):
    ledger.script = lambda target, sock, head: sock.recv(1) or target.closed_by_peer.set()
    sock = open_request(passing[0], request("/publish/9"))
    eventually(lambda: ledger.seen)
    sock.close()
    assert ledger.closed_by_peer.wait(1)


@pytest.fixture
def silent_helper(passing):
    """Let the late router pass requests on to a router that accepts them and stays silent."""
    listener = gevent.socket.socket()
    listener.bind(("127.0.0.1", 0))
    # One connection fills the queue, and the kernel drops the opening packets of more.
    listener.listen(0)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    helpers = passing[0].handover.helpers
    helpers.candidates = lambda: [Candidate("silent", address, "qc-east-a", 0)]
    helpers.looked_up_at = None
    yield address
    listener.close()


def test_a_helper_that_cannot_be_reached_costs_little_time(passing, silent_helper):
    late, _ = passing
    late.loop_delay.delay_ms = lambda: 0
    late.intake.task.close()
    late.intake.served_fraction = 0.0
    with gevent.socket.create_connection(split_address(silent_helper)):
        started_at = time.monotonic()
        assert http(late.settings.caller_listen)[0] == 200
        assert time.monotonic() - started_at < 0.6


def test_a_relay_ends_with_the_time_limit_of_its_route(passing, silent_helper):
    """Another route allows ten times as long."""
    limit_s = 1.2
    started_at = time.monotonic()
    status, _, _ = http(passing[0].settings.caller_listen, "/publish/1")
    assert status == 504
    assert limit_s - 0.1 < time.monotonic() - started_at < limit_s + 0.5


def test_an_answer_that_breaks_off_does_not_look_complete(passing, ledger):
    late, idle = passing

    def stop_helper(target, sock, head):
        for relays in late.application.handover.relays.values():
            for peer in list(relays):
                peer.close()

    ledger.script = stop_helper
    status, _, body = http(late.settings.caller_listen)
    assert status == 502
    assert b"broke off" in body


def refuse_at_once(router):
    """Let a router refuse whatever it does not pass on."""
    router.application.early_refusal = router.intake._late_refusal


def test_a_router_that_is_full_itself_gets_no_requests_of_others(passing, ledger):
    late, helper = passing
    helper.intake.is_full = lambda: True
    eventually(lambda: not late.fleet.helpers())
    refuse_at_once(late)
    eventually(lambda: http(late.settings.caller_listen)[0] == 503)
    seen = len(ledger.seen)
    assert [http(late.settings.caller_listen)[0] for _ in range(5)] == [503] * 5
    assert len(ledger.seen) == seen


def test_a_helper_that_has_become_late_refuses_at_once(passing, ledger):
    late, helper = passing
    choice = Candidate("front-2", helper.settings.caller_listen, "qc-east-a", 0)
    late.handover.helpers.choose = lambda open_requests, passed_on: choice
    helper.loop_delay.delay_ms = lambda: LATE_DELAY_MS + 1
    # It would pass its own callers' requests on as well, or refuse them at random.
    helper.application.passes_on = lambda: False
    helper.loop_delay.rejected_fraction = lambda: 0.0
    seen = len(ledger.seen)
    before = passed_on(late)
    assert [http(late.settings.caller_listen)[0] for _ in range(5)] == [503] * 5
    assert passed_on(late) == before + 5
    assert len(ledger.seen) == seen
    assert http(helper.settings.caller_listen)[0] == 200


def test_a_router_that_has_not_reported_gets_no_requests_of_others(pair):
    late, helper = pair
    late.fleet.exchange.callers.by_router.clear()
    assert not late.fleet.helpers()
    assert len(late.fleet.candidates()) == 2


def test_relays_are_bounded_so_that_file_descriptors_remain(passing, monkeypatch):
    late, _ = passing
    refuse_at_once(late)
    monkeypatch.setattr(handover, "MAX_RELAYS", 1)
    late.application.handover.relays["another"] = {object()}
    assert http(late.settings.caller_listen)[0] == 503
    late.application.handover.relays.clear()
    assert http(late.settings.caller_listen)[0] == 200


def test_requests_that_are_passed_on_count_in_the_memory_for_bodies(passing, ledger, monkeypatch):
    late, _ = passing
    refuse_at_once(late)
    monkeypatch.setattr(shedding, "ARRIVAL_MS", 2_000)
    large = request("/publish/1", b"x" * (FREE_BYTES + 1_000))
    others = late.application.body_bytes.open()
    assert others.reserve(late.application.body_bytes.limit_bytes - FREE_BYTES)
    assert http(late.settings.caller_listen, raw=large)[0] == 503
    assert not ledger.seen
    others.close()
    assert http(late.settings.caller_listen, raw=large)[0] == 200


def test_a_caller_that_resets_its_connection_does_no_harm(passing, ledger):
    late, _ = passing
    sock = open_request(late, request("/publish/1")[:30])
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
    assert http(late.settings.caller_listen)[0] == 200
    eventually(lambda: late.application.open_requests == 0)


def test_a_late_router_without_help_refuses_and_says_not_run(pair, ledger):
    late, idle = pair
    idle.stop_now()
    refuse_at_once(late)
    assert http(late.settings.caller_listen)[0] == 503
    assert not ledger.seen


def test_a_busy_router_without_help_keeps_its_connections_open(start, operator, ledger):
    """A new connection for each request would cost it more than it has."""
    operator(7)
    router = start()
    eventually(router.ready)
    router.intake.task.close()
    router.intake.served_fraction = 0.0
    sock = open_request(router, request("/publish/1", id="q1"))
    for number in (2, 3):
        status, headers, _ = read_response(sock)
        assert (status, headers.get("connection")) == (200, None)
        sock.sendall(request(f"/publish/{number}", id=f"q{number}"))


@pytest.mark.parametrize(
    ("data", "allowed"),
    [
        (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", True),
        (b"GET / HTTP/1.0\r\nHost: x\r\n\r\n", False),
        (b"GET / HTTP/1.1\r\nJacinthcove-Waited-Ms: 3\r\nHost: x\r\n\r\n", False),
    ],
)
def test_only_requests_with_framed_answers_are_passed_on_and_only_once(data, allowed):
    assert may_pass_on(data) is allowed


@pytest.mark.parametrize(
    ("value", "mark"),
    [("30;version=7", PassedOn(30, 7))]
    + [
        (odd, UNREADABLE_MARK)
        for odd in ("30", "-1;version=7", "9" * 12 + ";version=7", "3;version=x", "x", "")
    ],
)
def test_an_odd_mark_of_a_caller_counts_as_no_time_and_no_version(value, mark):
    assert take_mark(((MARK_HEADER, value), ("Host", "x"))) == ((("Host", "x"),), mark)


@pytest.mark.parametrize(
    ("head", "found"),
    [
        (b"GET /a/b?c=/d HTTP/1.1\r\nHost: x\r\n\r\n", ("x", "/a/b")),
        (b"GET / HTTP/1.1\r\nA: b\r\nhOST:  x:80 \r\nB: c\r\n\r\n", ("x:80", "/")),
        (b"GET / HTTP/1.1\r\nA: b\r\n\r\n\r\nHost: y\r\n\r\n", ("", "/")),
        (b"\r\n\r\n", ("", "")),
    ],
)
def test_the_route_of_a_request_is_found_in_its_head_only(head, found):
    assert host_and_path(head) == found


def test_an_unknown_route_may_take_as_long_as_any_as_another_router_may_know_it(passing):
    config = passing[0].active_config
    assert config.time_limit_ms("desk.example", "/publish/1") == 1_200
    assert config.time_limit_ms("desk.example", "/added-later/1") == 12_000
