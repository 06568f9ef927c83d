"""What a head decides before the body is read, and what must still be served."""

import gevent
import pytest
from wire_bed import GatewayTestBed, chunk, read_response, request, responds_with, response

from jacinthcove.gateway.model import CallerLimits
from jacinthcove.ingress.connections import Stage

BODY = b"b" * 4_194_304
CHUNKED = "Transfer-Encoding: chunked\r\n"


@pytest.fixture
def bed():
    bed = GatewayTestBed(CallerLimits())
    bed.start()
    bed.target = bed.add("t1", "ledger", responds_with(response))
    yield bed
    bed.close()


def send_head(bed, **fields):
    """Send the head of a request whose body does not follow."""
    sock = bed.connect()
    extra = fields.pop("extra", f"Content-Length: {len(BODY)}\r\n")
    path = fields.pop("path", "/publish/1")
    sock.sendall(request(path, b"", extra=extra, **fields))
    return sock


@pytest.mark.parametrize("extra", [f"Content-Length: {len(BODY)}\r\n", CHUNKED])
@pytest.mark.parametrize(
    ("fields", "status"),
    [({"key": "wrong"}, 401), ({"path": "/nowhere/1"}, 404), ({"id": ""}, 400)],
    ids=["key", "route", "id"],
)
def test_a_head_that_cannot_be_served_is_answered_before_the_body(bed, extra, fields, status):
    """What a client without a valid key sent was read and kept."""
    sock = send_head(bed, extra=extra, **fields)
    assert read_response(sock)[0] == status
    assert bed.body_bytes.highest_bytes == 0


def test_a_refused_key_gets_no_continue(bed):
    sock = send_head(bed, key="wrong", extra="Expect: 100-continue\r\nContent-Length: 9\r\n")
    assert read_response(sock)[0] == 401


def test_a_caller_that_waits_to_be_told_to_send_is_told(bed):
    sock = send_head(bed, extra="Expect: 100-continue\r\nContent-Length: 5\r\n")
    assert sock.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
    sock.sendall(b"small")
    assert read_response(sock)[0] == 200
    assert bed.target.bodies == [b"small"]


def test_a_connection_goes_on_after_a_refused_head_with_a_chunked_body(bed):
    """The rest of a refused body must not be taken for the next request."""
    sock = send_head(bed, key="wrong", extra=CHUNKED)
    sock.sendall(chunk(b"x" * 9_000) + chunk(b"") + request("/publish/1", b"small"))
    assert read_response(sock)[0] == 401
    assert read_response(sock)[0] == 200
    assert bed.target.bodies == [b"small"]


@pytest.mark.parametrize("size", [len(BODY), 65_536, 1_000])
def test_a_body_of_the_largest_size_is_served_in_chunks(bed, size):
    sock = send_head(bed, extra=CHUNKED)
    for start in range(0, len(BODY), size):
        sock.sendall(chunk(BODY[start : start + size]))
    sock.sendall(chunk(b""))
    assert read_response(sock)[0] == 200
    assert bed.target.bodies == [BODY]


def test_a_body_that_arrives_slowly_is_served(bed):
    """Slow bodies give way only when others need their room."""
    bed.body_bytes.slow_body_ms = 10
    sock = send_head(bed, extra=CHUNKED)
    for start in range(0, len(BODY), len(BODY) // 4):
        sock.sendall(chunk(BODY[start : start + len(BODY) // 4]))
        gevent.sleep(0.06)
    sock.sendall(chunk(b""))
    assert read_response(sock)[0] == 200


def test_a_head_in_two_pieces_is_served(bed):
    sock = bed.connect()
    whole = request("/publish/1", b"small")
    sock.sendall(whole[:20])
    gevent.sleep(0.05)
    sock.sendall(whole[20:])
    assert read_response(sock)[0] == 200


def test_a_slow_body_that_gives_way_is_answered(bed):
    """A client whose body is not waited for learns that its request did not run."""
    bed.body_bytes.limit_bytes = 4_500_000
    bed.body_bytes.slow_body_ms = 100
    slow = send_head(bed)
    slow.sendall(BODY[:100_000])
    gevent.sleep(0.3)
    assert bed.call("/publish/1", BODY)[0] == 200
    status, fields, _ = read_response(slow)
    assert (status, fields["connection"]) == (503, "close")
    assert "retry-after" in fields
    assert len(bed.target.seen) == 1


@pytest.mark.parametrize("chunked", [False, True], ids=["with a length", "chunked"])
def test_a_request_that_runs_does_not_give_way(bed, chunked):
    """A request whose body was complete ended without an answer when connections ran short."""

    def answer_later(target, sock, head):
        gevent.sleep(0.3)
        sock.sendall(response(head))

    bed.target.script = answer_later
    connections = bed.server.server.gate.connections
    connections.address_limit = 2
    connections.order = ((Stage.READING, 0),)
    sock = send_head(bed, extra=CHUNKED if chunked else "Content-Length: 5\r\n")
    gevent.sleep(0.05)
    sock.sendall(chunk(b"small") + chunk(b"") if chunked else b"small")
    gevent.sleep(0.05)
    others = [bed.connect() for _ in range(6)]
    gevent.sleep(0.05)
    assert connections.refusals > 0
    assert read_response(sock)[0] == 200
    for other in others:
        other.close()
