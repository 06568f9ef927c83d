"""Guards against endless heads, bodies or events of a faulty target that fill the memory."""

import itertools
import tracemalloc

import pytest
from geventhttpclient.response import HTTPParseError

from jacinthcove.clock import SystemClock
from jacinthcove.errors import TargetFailed
from jacinthcove.gateway import exchange
from jacinthcove.gateway.exchange import Exchange
from jacinthcove.observe.metrics import Metrics
from jacinthcove.targets.pool import ConnectionPool, TargetKey
from jacinthcove.targets.response import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_FRAMING_BYTES,
    RECEIVE_BYTES,
    TargetResponse,
)

KEY = TargetKey("t1", 0, "10.0.0.1:80")
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Bytes that are sent once, and bytes that are then repeated without end.
FRAMING = {
    "status line": (b"HTTP/1.1 200 ", b"O"),
    "header name": (HEAD, b"n"),
    "header value": (HEAD + b"Note: ", b"v"),
    "headers": (HEAD, b"Note: v\r\n"),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"5;note=", b"x"),
    "trailers": (CHUNKED + b"2\r\nok\r\n0\r\n", b"Note: v\r\n"),
    "trailer value": (CHUNKED + b"2\r\nok\r\n0\r\nNote: ", b"v"),
    "extension of each chunk": (CHUNKED, b"1;" + b"x" * 500 + b"\r\no\r\n"),
}
BODIES = {
    "until the end of the connection": (HEAD + b"\r\n", b"b"),
    "a length that never comes": (HEAD + b"Content-Length: 999999999999\r\n\r\n", b"b"),
    "chunks": (CHUNKED, b"400\r\n" + b"b" * 1_024 + b"\r\n"),
}
SPEEDS = {"byte by byte": 1, "at full speed": RECEIVE_BYTES}


class EndlessSocket:
    """Returns `once` and then `again` without end, at most `size` bytes per call."""

    def __init__(self, once, again, size):
        self.size = size
        self.sent = 0
        repeats = max(1, size // len(again))
        self.parts = itertools.chain([once] if once else [], itertools.repeat(again * repeats))
        self.waiting = b""

    def recv(self, size):
        if not self.waiting:
            self.waiting = next(self.parts)
        size = min(size, self.size)
        data, self.waiting = self.waiting[:size], self.waiting[size:]
        self.sent += len(data)
        return data

    def close(self):
        pass


@pytest.mark.parametrize("speed", SPEEDS)
@pytest.mark.parametrize("kind", FRAMING)
def test_endless_framing_is_rejected(kind, speed):
    sock = EndlessSocket(*FRAMING[kind], SPEEDS[speed])
    with pytest.raises(HTTPParseError):
        TargetResponse(sock, block_size=RECEIVE_BYTES).read()
    assert sock.sent <= 2 * MAX_FRAMING_BYTES + RECEIVE_BYTES


@pytest.mark.parametrize("kind", BODIES)
def test_endless_body_is_rejected_before_it_fills_the_memory(kind):
    sock = EndlessSocket(*BODIES[kind], RECEIVE_BYTES)
    tracemalloc.start()
    try:
        with pytest.raises(HTTPParseError):
            TargetResponse(sock, block_size=RECEIVE_BYTES).read()
        assert tracemalloc.get_traced_memory()[1] < 3 * MAX_BUFFERED_BODY_BYTES
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("speed", SPEEDS)
def test_endless_event_is_rejected(monkeypatch, speed):
    monkeypatch.setattr(exchange, "MAX_EVENT_BYTES", 100_000)
    sock = EndlessSocket(HEAD + b"\r\n", b"data: x\n", SPEEDS[speed])
    response = TargetResponse(sock, block_size=RECEIVE_BYTES)
    with pytest.raises(TargetFailed):
        list(Exchange(KEY, ConnectionPool(SystemClock(), Metrics())).read_events(response))
    assert sock.sent <= 100_000 + 2 * RECEIVE_BYTES


def test_valid_events_sent_byte_by_byte_are_read(monkeypatch):
    events = b"".join(b"id: %d\ndata: w\n\n" % number for number in range(20))
    body = b"".join(b"1\r\n%c\r\n" % byte for byte in events) + b"0\r\n\r\n"
    sock = EndlessSocket(CHUNKED + body, b"x", 1)
    response = TargetResponse(sock, block_size=RECEIVE_BYTES)
    pieces = list(Exchange(KEY, ConnectionPool(SystemClock(), Metrics())).read_events(response))
    assert len(pieces) == 20
    assert b"".join(pieces) == events
