"""Slow but sound streams go on; a target that sends bytes without progress is given up."""

import time

import gevent
import orjson
import pytest
from gevent.server import StreamServer

from jacinthcove.clock import SystemClock
from jacinthcove.delivery.relay import StreamRelay
from jacinthcove.errors import TargetFailed
from jacinthcove.targets.client import TargetRequest, fetch
from jacinthcove.targets.sockets import TargetStalled

STALL_MS = 150
STEP_S = 0.03
HEAD = b"HTTP/1.1 200 OK\r\nX-Stream-Id: s1\r\n\r\n"
GIVE_UP_S = 4.0


class Sink:
    def __init__(self):
        self.text = ""

    def write_chunks(self, first_offset, data):
        self.text += "".join(orjson.loads(item)["text"] for item in data)

    def idle(self):
        pass


@pytest.fixture
def target():
    """Serve every connection by a function of its socket."""
    servers = []

    def serve(script):
        def handle(sock, _):
            sock.recv(65_536)
            try:
                script(sock)
            except OSError:
                pass

        server = StreamServer(("127.0.0.1", 0), handle)
        server.start()
        servers.append(server)
        return f"127.0.0.1:{server.server_port}"

    yield serve
    for server in servers:
        server.stop(timeout=0.1)


def trickle(data, size=1):
    def script(sock):
        sock.sendall(HEAD)
        for begin in range(0, len(data), size):
            sock.sendall(data[begin : begin + size])
            gevent.sleep(STEP_S)

    return script


def endless(data):
    def script(sock):
        sock.sendall(HEAD)
        while True:
            sock.sendall(data)
            gevent.sleep(STEP_S)

    return script


def relay(address):
    sink = Sink()
    with gevent.Timeout(GIVE_UP_S, AssertionError("the stream never ended")):
        StreamRelay(SystemClock(), address, sink, STALL_MS, lambda progress: None).run(
            b"{}", lambda stream_id: None
        )
    return sink.text


def test_a_slow_stream_whose_tokens_come_in_time_is_not_cut(target):
    tokens = b"".join(b'id: %d\ndata: {"text":"%d "}\n\n' % (n, n) for n in range(8))
    data = tokens + b'event: end\ndata: {"offset":8}\n\n'
    started = time.monotonic()
    assert relay(target(trickle(data, 25))) == "0 1 2 3 4 5 6 7 "
    assert time.monotonic() - started > STALL_MS / 1_000


@pytest.mark.parametrize("data", [b"x", b": comment\n\n", b"id: 9999\ndata: {}\n\n"])
def test_a_target_that_sends_bytes_without_progress_is_given_up(target, data):
    started = time.monotonic()
    with pytest.raises(TargetFailed):
        relay(target(endless(data)))
    assert time.monotonic() - started < GIVE_UP_S


def test_a_whole_answer_in_single_bytes_is_given_up_at_its_limit(target):
    address = target(endless(b"x"))
    with pytest.raises(TargetStalled):
        fetch(TargetRequest(address, "POST", "/", b"{}", STALL_MS))


def test_what_arrived_during_a_pause_of_this_process_is_no_stall(target):
    def script(sock):
        sock.sendall(HEAD + b'id: 0\ndata: {"text":"0 "}\n\n')
        gevent.sleep(STEP_S)
        # The whole process stands still for longer than the limit.
        time.sleep(2 * STALL_MS / 1_000)
        sock.sendall(b'id: 1\ndata: {"text":"1 "}\n\nevent: end\ndata: {"offset":2}\n\n')

    assert relay(target(script)) == "0 1 "
