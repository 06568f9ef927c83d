"""Valid and malformed requests of callers, and what targets receive."""

import gevent
import pytest
from wire_bed import HOST, KEY, read_response, request, response

from jacinthcove.platform import names

VALID = request("/publish/1")


@pytest.fixture
def bed(bed):
    """Return the gateway with a target that responds at once."""
    bed.target = bed.add("t1", "ledger", lambda target, sock, head: sock.sendall(response(head)))
    return bed


def head(*lines):
    fixed = [
        f"Host: {HOST}",
        f"{names.ATTEMPT_ID}: q1",
        f"{names.AUTHORIZATION}: Token {KEY}",
    ]
    return ("\r\n".join(["POST /publish/1 HTTP/1.1", *fixed, *lines]) + "\r\n\r\n").encode()


SMUGGLED = request("/publish/2", id="smuggled")
MALFORMED = {
    "two lengths": head("Content-Length: 2", "Content-Length: 4") + b"{}",
    "length and coding": head("Content-Length: 2", "Transfer-Encoding: chunked") + SMUGGLED,
    "unknown coding": head("Transfer-Encoding: gzip, chunked") + SMUGGLED,
    "coding twice": head("Transfer-Encoding: chunked", "Transfer-Encoding: chunked") + SMUGGLED,
    "signed length": head("Content-Length: +2") + b"{}",
    "folded header": head("X-A: 1", " Content-Length: 2") + b"{}",
    "space before colon": head("Content-Length : 2") + b"{}",
    "bare line end": head("X-A: 1\nTransfer-Encoding: chunked") + SMUGGLED,
    "two hosts": head("Host: other.example", "Content-Length: 0"),
    "no host": b"GET /status/1 HTTP/1.1\r\n\r\n",
    "absolute target": b"GET http://x/status/1 HTTP/1.1\r\nHost: x\r\n\r\n",
    "no version": b"GET /status/1\r\nHost: x\r\n\r\n",
    "id twice": head(f"{names.ATTEMPT_ID}: q2", "Content-Length: 2") + b"{}",
    "unreadable counts": head(f"{names.TOKEN_COUNTS}: many", "Content-Length: 2") + b"{}",
    "absurd counts": head(f"{names.TOKEN_COUNTS}: {10**20},1", "Content-Length: 2") + b"{}",
    "negative counts": head(f"{names.TOKEN_COUNTS}: -5,1", "Content-Length: 2") + b"{}",
    "absurd part": head(
        f"{names.TOKEN_COUNTS}: 5,1", f"{names.PROMPT_PARTS}: aa:{10**20}", "Content-Length: 2"
    )
    + b"{}",
    "long part": head(
        f"{names.TOKEN_COUNTS}: 5,1", f"{names.PROMPT_PARTS}: {'a' * 65}:5", "Content-Length: 2"
    )
    + b"{}",
    "no time": head(f"{names.TIME_LEFT_MS}: nan", "Content-Length: 2") + b"{}",
    "unreadable time": head(f"{names.TIME_LEFT_MS}: soon", "Content-Length: 2") + b"{}",
    "bad chunk": head("Transfer-Encoding: chunked") + b"zz\r\n{}\r\n0\r\n\r\n" + SMUGGLED,
}


@pytest.mark.parametrize("fault", sorted(MALFORMED))
def test_malformed_request_reaches_no_target(bed, fault):
    sock = bed.connect()
    sock.sendall(MALFORMED[fault])
    assert read_response(sock)[0] in (0, 400)
    gevent.sleep(0.02)
    assert bed.target.seen == []


def test_large_header_is_refused(bed):
    assert bed.call("/publish/1", extra=f"X-Large: {'x' * 3_000}\r\n")[0] == 431
    assert bed.target.seen == []


@pytest.mark.parametrize("chunked", [False, True])
def test_large_body_is_refused(bed, chunked):
    body = b"x" * 5_000
    if chunked:
        sock = bed.connect()
        sock.sendall(head("Transfer-Encoding: chunked") + b"1388\r\n" + body + b"\r\n0\r\n\r\n")
        status = read_response(sock)[0]
    else:
        status = bed.call("/publish/1", body)[0]
    assert status == 413
    assert bed.target.seen == []


def test_slow_header_times_out(bed):
    sock = bed.connect()
    sock.sendall(VALID[:30])
    assert read_response(sock)[0] == 408
    assert bed.target.seen == []


def test_slow_body_times_out(bed):
    sock = bed.connect()
    sock.sendall(head("Content-Length: 10") + b"abc")
    assert read_response(sock)[0] == 408
    assert bed.target.seen == []


def test_request_near_the_idle_timeout_is_served(bed):
    sock = bed.connect()
    gevent.sleep(0.9)
    sock.sendall(VALID[:30])
    gevent.sleep(0.2)
    sock.sendall(VALID[30:])
    assert read_response(sock)[0] == 200


def test_chunked_body_reaches_the_target_complete(bed):
    sock = bed.connect()
    sock.sendall(head("Transfer-Encoding: chunked") + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert read_response(sock)[0] == 200
    assert bed.target.bodies == [b"abcde"]


def test_truncated_body_reaches_no_target(bed):
    sock = bed.connect()
    sock.sendall(head("Content-Length: 10") + b"abc")
    sock.close()
    gevent.sleep(0.05)
    assert bed.target.seen == []


def test_connection_serves_sequential_and_pipelined_requests(bed):
    sock = bed.connect()
    for number in range(3):
        sock.sendall(request(f"/publish/{number}", id=f"q{number}"))
        assert read_response(sock)[0] == 200
    sock.sendall(request("/publish/3", id="q3") + request("/publish/4", id="q4"))
    gevent.sleep(0.05)
    assert len(bed.target.seen) == 5


def test_idle_connection_is_closed_after_the_timeout(bed):
    sock = bed.connect()
    sock.settimeout(3)
    assert sock.recv(1) == b""


def test_request_without_an_id_is_refused(bed):
    lines = f"POST /publish/1 HTTP/1.1\r\nHost: {HOST}\r\n{names.AUTHORIZATION}: Token {KEY}\r\n"
    sock = bed.connect()
    sock.sendall(f"{lines}Content-Length: 0\r\n\r\n".encode())
    assert read_response(sock)[0] == 400
    assert bed.target.seen == []
