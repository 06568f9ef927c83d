"""Answers of targets with neither a length nor chunks, which end with their connection."""

import socket
import struct

import gevent
import pytest
from wire_bed import chunk, event, header, stream_head

from jacinthcove.platform import names

PARTIAL_EVENT = b"id: 4\nda"


def unframed_head(head, kind="text/event-stream"):
    attempt = header(head, names.ATTEMPT_ID)
    return (
        f"HTTP/1.1 200 OK\r\n{names.ATTEMPT_ID}: {attempt}\r\n{names.SIGNATURE}: s1\r\n"
        f"Content-Type: {kind}\r\n\r\n"
    ).encode()


def sends(make, reset=False, pause_s=0):
    """Return a script that sends `make(head)` and after a pause closes or resets the connection."""

    def script(target, sock, head):
        sock.sendall(make(head))
        gevent.sleep(pause_s)
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()

    return script


def events(*numbers):
    return b"".join(event(number) for number in numbers)


def test_a_body_that_ends_with_its_connection_is_whole(bed):
    bed.add("t1", "ledger", sends(lambda head: unframed_head(head, "text/plain") + b"published"))
    status, _, body = bed.call("/publish/7")
    assert (status, body) == (200, b"published")


def test_a_body_that_is_reset_on_the_way_is_not_delivered(bed):
    script = sends(lambda head: unframed_head(head, "text/plain") + b"publ", reset=True)
    bed.add("t1", "ledger", script)
    assert bed.call("/publish/7")[0] == 502


def test_a_stream_that_ends_with_its_connection_is_whole(bed):
    bed.add("t1", "models", sends(lambda head: unframed_head(head) + events(1, 2, 3)))
    assert bed.call("/draft/7")[2] == events(1, 2, 3)


@pytest.mark.parametrize("framing", ["none", "chunks"])
def test_a_stream_that_ends_inside_an_event_does_not_look_complete(bed, framing):
    def make(head):
        whole = events(1, 2, 3) + PARTIAL_EVENT
        if framing == "chunks":
            return stream_head(head) + chunk(whole) + b"0\r\n\r\n"
        return unframed_head(head) + whole

    bed.add("t1", "models", sends(make))
    status, _, body = bed.call("/draft/7")
    assert (status, body) == (200, None)


def test_a_stream_that_ends_inside_an_event_is_resumed_where_the_route_allows_it(bed):
    def make(head):
        if header(head, names.LAST_EVENT_ID) is None:
            return unframed_head(head) + events(1, 2, 3) + PARTIAL_EVENT
        return unframed_head(head) + events(4, 5)

    for number in (1, 2):
        bed.add(f"t{number}", "models", sends(make))
    assert bed.call("/ask/7")[2] == events(1, 2, 3, 4, 5)
