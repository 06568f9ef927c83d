"""A response to HEAD ends with its head; a body would be read as the next response."""

import gevent
import pytest
from wire_bed import chunk, event, request, responds_with, response, stream_head

from jacinthcove.codes import ResultCode
from jacinthcove.errors import RequestRefused

LATE = RequestRefused(ResultCode.OVERLOADED, "late", 50)


def read_available(sock):
    """Return all that arrives until the connection is quiet or closed."""
    data = b""
    with gevent.Timeout(0.3, False):
        while part := sock.recv(65_536):
            data += part
    return data


def refuse_all(bed):
    bed.refused = LATE


def refuse_early(bed):
    bed.application.early_refusal = lambda: LATE


REFUSALS = {
    "unknown key": (lambda bed: None, {"key": "unknown"}),
    "refused": (refuse_all, {}),
    "shed": (refuse_early, {}),
}


@pytest.mark.parametrize("how", sorted(REFUSALS))
def test_a_refused_head_request_gets_no_body(bed, how):
    bed.add("t1", "ledger", responds_with(response))
    prepare, fields = REFUSALS[how]
    prepare(bed)
    sock = bed.connect()
    sock.sendall(request("/status/1", b"", method="HEAD", **fields))
    received = read_available(sock)
    assert received.startswith(b"HTTP/1.1 ")
    assert received.endswith(b"\r\n\r\n")
    assert received.count(b"\r\n\r\n") == 1


def test_the_next_request_on_the_connection_gets_its_own_response(bed):
    bed.add("t1", "ledger", responds_with(response))
    sock = bed.connect()
    sock.sendall(request("/status/1", b"", method="HEAD", key="unknown"))
    gevent.sleep(0.05)
    sock.sendall(request("/publish/1"))
    first, second = read_available(sock).split(b"\r\n\r\n")[:2]
    assert first.startswith(b"HTTP/1.1 401")
    assert second.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("path", ["/status/1", "/draft/1"])
def test_a_head_request_that_a_target_answers_gets_no_body(bed, path):
    bed.add("t1", "ledger", responds_with(lambda head: response(head, b"", length=9)))
    bed.add("t2", "models", responds_with(stream_head))
    sock = bed.connect()
    sock.sendall(request(path, b"", method="HEAD"))
    received = read_available(sock)
    assert received.startswith(b"HTTP/1.1 200")
    assert received.endswith(b"\r\n\r\n")
    assert received.count(b"\r\n\r\n") == 1


def test_a_get_request_of_a_stream_gets_its_body(bed):
    bed.add(
        "t2",
        "models",
        responds_with(lambda head: stream_head(head) + chunk(event(1)) + b"0\r\n\r\n"),
    )
    assert bed.call("/draft/1", b"", method="GET")[2] == event(1)
