"""Many answers without end at once must not fill the memory of a router."""

import tracemalloc

import gevent
import pytest
from wire_bed import chunk, event, header, response, stream_head

from jacinthcove.platform import names
from jacinthcove.targets.response import MAX_BUFFERED_BODY_BYTES

AT_ONCE = 24
LIMIT_BYTES = 4 * 1024 * 1024
# The answers of before would have taken 24 times 8 MiB.
MAX_TRACED_BYTES = 5 * LIMIT_BYTES
PIECE = b"x" * 65_536


def long_head(head):
    return response(head, b"", length=10**12)


def chunked_head(head):
    return (
        f"HTTP/1.1 200 OK\r\n{names.ATTEMPT_ID}: {header(head, names.ATTEMPT_ID)}\r\n"
        f"{names.SIGNATURE}: s1\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()


def endless(make_head, piece):
    def script(target, sock, head):
        try:
            sock.sendall(make_head(head))
            while True:
                sock.sendall(piece)
                gevent.sleep(0)
        except OSError:
            pass

    return script


@pytest.fixture
def traced(bed):
    bed.answer_bytes.limit_bytes = LIMIT_BYTES
    tracemalloc.start()
    yield
    tracemalloc.stop()


def call_many(bed, path):
    calls = [gevent.spawn(bed.call, f"{path}/{number}") for number in range(AT_ONCE)]
    gevent.joinall(calls, timeout=10)
    return [call.value[0] if call.value else None for call in calls]


@pytest.mark.parametrize(
    "script",
    [endless(long_head, PIECE), endless(chunked_head, chunk(PIECE))],
    ids=["with a length", "chunked"],
)
def test_many_answers_without_end_do_not_fill_the_memory(bed, traced, script):
    """80 at once, each cut at 8 MiB, took a router over 300 MB."""
    for number in range(3):
        bed.add(f"t{number}", "ledger", script)
    statuses = call_many(bed, "/publish")
    assert set(statuses) <= {502, 503, 504}
    assert 502 in statuses
    assert tracemalloc.get_traced_memory()[1] < MAX_TRACED_BYTES
    assert bed.answer_bytes.highest_bytes <= LIMIT_BYTES + len(PIECE)
    assert bed.answer_bytes.used_bytes == 0


def test_many_events_without_end_do_not_fill_the_memory(bed, traced):
    for number in range(4):
        bed.add(f"t{number}", "models", endless(stream_head, chunk(PIECE)))
    bed.answer_bytes.limit_bytes = LIMIT_BYTES // 4
    statuses = call_many(bed, "/draft")
    assert set(statuses) <= {502, 503, 504}
    assert bed.answer_bytes.evictions
    assert bed.answer_bytes.used_bytes == 0


def test_a_sound_answer_is_delivered_beside_answers_without_end(bed, traced):
    body = b"a" * 200_000
    bed.add("t1", "ledger", endless(long_head, PIECE))
    calls = [gevent.spawn(bed.call, f"/publish/{number}") for number in range(4)]
    gevent.sleep(0.05)
    bed.registry.delete("t1", False)
    bed.add("t2", "ledger", lambda target, sock, head: sock.sendall(response(head, body)))
    status, _, received = bed.call("/publish/sound")
    assert (status, received == body) == (200, True)
    gevent.joinall(calls, timeout=10)


def test_a_stream_that_had_to_give_up_bytes_does_not_look_complete(bed):
    """The rest of a stream whose kept bytes were dropped is not the whole of it."""

    def script(target, sock, head):
        sock.sendall(stream_head(head) + chunk(event(1)))
        sock.sendall(chunk(PIECE) + chunk(PIECE))
        gevent.sleep(0.1)
        bed.answer_bytes.limit_bytes = 0
        other = bed.answer_bytes.open()
        with pytest.raises(Exception, match="too long"):
            other.resize(len(PIECE))
        sock.sendall(chunk(b"\n\n") + b"0\r\n\r\n")

    bed.add("t1", "models", script)
    status, _, received = bed.call("/draft/1")
    assert (status, received) == (200, None)


@pytest.mark.parametrize("size", [65_000, 150_000, 200_000, 300_000])
def test_an_answer_that_had_to_give_up_bytes_is_reported_as_broken_off(bed, size):
    """Neither a part of it nor an error of the router, whichever piece of it is the last."""
    bed.answer_bytes.limit_bytes = 0
    body = b"a" * size
    bed.add("t1", "ledger", lambda target, sock, head: sock.sendall(response(head, body)))
    status, _, received = bed.call("/publish/1")
    assert status == 502 or (status == 200 and received == body)
    assert bed.answer_bytes.used_bytes == 0


def test_a_large_answer_that_fits_is_delivered_and_counted_until_then(bed):
    body = b"a" * (MAX_BUFFERED_BODY_BYTES - 1)
    bed.add("t1", "ledger", lambda target, sock, head: sock.sendall(response(head, body)))
    status, _, received = bed.call("/publish/large")
    assert (status, received == body) == (200, True)
    assert bed.answer_bytes.highest_bytes >= len(body)
    assert bed.answer_bytes.used_bytes == 0
