"""Refusals of an overloaded router before it parses a request."""

import gevent
import pytest
from wire_bed import read_response, request, responds_with, response

from jacinthcove.codes import ResultCode
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.shedding import whole_request_length

LATE = RequestRefused(ResultCode.OVERLOADED, "the router is late", 50)


@pytest.fixture
def late_bed(bed):
    bed.add("i-1", "ledger", responds_with(response))
    bed.application.early_refusal = lambda: LATE
    return bed


def test_a_late_router_refuses_without_parsing_and_says_not_run(late_bed):
    with late_bed.connect() as sock:
        sock.sendall(request("/publish/1"))
        status, headers, body = read_response(sock)
        assert (status, headers["retry-after"]) == (503, "0.050")
        assert headers["connection"] == "close"
        assert b"late" in body
        assert sock.recv(1) == b""
    assert not late_bed.targets[0].seen
    assert late_bed.application.shed_counter.value == 1


def test_a_request_that_arrives_in_pieces_is_refused_after_it_is_read(late_bed):
    data = request("/publish/1")
    with late_bed.connect() as sock:
        sock.sendall(data[:20])
        gevent.sleep(0.05)
        sock.sendall(data[20:])
        assert read_response(sock)[0] == 503
    assert late_bed.application.shed_counter.value == 0
    assert not late_bed.targets[0].seen


def test_a_request_is_not_refused_twice_at_random(late_bed):
    """A second decision would refuse what the first let through, after all its cost."""
    answers = iter([None, LATE])
    late_bed.application.early_refusal = lambda: next(answers)
    with late_bed.connect() as sock:
        sock.sendall(request("/publish/1"))
        assert read_response(sock)[0] == 200
        sock.sendall(request("/publish/1"))
        assert read_response(sock)[0] == 503


def test_a_router_that_is_not_late_sheds_nothing(late_bed):
    late_bed.application.early_refusal = lambda: None
    with late_bed.connect() as sock:
        sock.sendall(request("/publish/1"))
        assert read_response(sock)[0] == 200


@pytest.mark.parametrize(
    ("data", "length"),
    [
        (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", 27),
        (b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", 40),
        (b"POST / HTTP/1.1\r\ncontent-length:2\r\n\r\nab", 39),
        (b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\na", None),
        (b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nabGET /", None),
        (b"POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nab", None),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", None),
        (b"POST / HTTP/1.1\r\nContent-Length: 2", None),
        (b"", None),
    ],
)
def test_only_one_whole_request_is_answered_unparsed(data, length):
    assert whole_request_length(data) == length
