"""Many large bodies at once must not fill the memory, nor take the place of small requests."""

import gevent
import pytest
from wire_bed import GatewayTestBed, read_response, request, responds_with, response

from jacinthcove.gateway.model import CallerLimits

BODY = b"b" * 1_000_000
LIMIT_BYTES = 3_000_000
AT_ONCE = 12


@pytest.fixture
def bed():
    limits = CallerLimits(
        header_timeout_ms=300,
        max_header_bytes=2_048,
        max_body_bytes=2_000_000,
        idle_timeout_ms=1_000,
    )
    bed = GatewayTestBed(limits)
    bed.start()
    bed.body_bytes.limit_bytes = LIMIT_BYTES
    bed.target = bed.add("t1", "ledger", responds_with(response))
    yield bed
    bed.close()


def upload(bed, id, chunked=False):
    """Send a request whose body pauses before its end; return the connection and the rest."""
    sock = bed.connect()
    whole = request("/publish/1", BODY, id=id)
    if chunked:
        head = request("/publish/1", b"", id=id, extra="Transfer-Encoding: chunked\r\n")
        whole = head + b"%x\r\n" % len(BODY) + BODY + b"\r\n0\r\n\r\n"
    sender = gevent.spawn(sock.sendall, whole[:-20])
    return sock, sender, whole[-20:]


def finish(sock, sender, rest):
    sender.join(2)
    sock.sendall(rest)
    return read_response(sock)


@pytest.mark.parametrize("chunked", [False, True], ids=["with a length", "chunked"])
def test_many_large_bodies_do_not_fill_the_memory(bed, chunked):
    """120 uploads of the allowed size took a router over its memory."""
    uploads = [upload(bed, f"q{number}", chunked) for number in range(AT_ONCE)]
    gevent.sleep(0.2)
    assert bed.body_bytes.highest_bytes <= LIMIT_BYTES
    answers = [finish(*item) for item in uploads]
    statuses = [status for status, _, _ in answers]
    assert set(statuses) == {200, 503}
    assert all("retry-after" in fields for status, fields, _ in answers if status == 503)
    assert len(bed.target.seen) == statuses.count(200)
    assert bed.body_bytes.used_bytes == 0


def test_small_requests_are_served_beside_large_bodies(bed):
    uploads = [upload(bed, f"q{number}") for number in range(AT_ONCE)]
    gevent.sleep(0.1)
    assert bed.call("/publish/1", b"small")[0] == 200
    for item in uploads:
        finish(*item)


def test_a_connection_goes_on_after_its_large_body_was_refused(bed):
    """The rest of a refused body must not be taken for the next request."""
    bed.body_bytes.limit_bytes = 0
    sock, sender, rest = upload(bed, "q1")
    assert finish(sock, sender, rest)[0] == 503
    sock.sendall(request("/publish/1", b"small", id="q2"))
    assert read_response(sock)[0] == 200
    assert bed.target.bodies == [b"small"]


def test_a_refused_caller_that_waits_to_be_told_to_send_is_not_waited_for(bed):
    bed.body_bytes.limit_bytes = 0
    sock = bed.connect()
    whole = request("/publish/1", BODY, extra="Expect: 100-continue\r\n")
    sock.sendall(whole[: -len(BODY)])
    with gevent.Timeout(0.5):
        assert read_response(sock)[0] == 503
        assert sock.recv(1) == b""


def test_a_refused_body_that_stops_is_not_waited_for_without_end(bed):
    bed.body_bytes.limit_bytes = 0
    sock, sender, _ = upload(bed, "q1")
    sender.join(2)
    assert read_response(sock)[0] == 503
    with gevent.Timeout(2):
        assert sock.recv(1) == b""
