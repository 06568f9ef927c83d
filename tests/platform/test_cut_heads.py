"""Targets that stop in the middle of the head of their response and close the connection."""

import gevent
import pytest
from wire_bed import chunk, event, response, stream_head

BODY = b"published"
WHOLE_EVENTS = chunk(event(1)) + chunk(event(2)) + b"0\r\n\r\n"


def framed(head):
    return response(head, BODY)


def unframed(head):
    return response(head, b"").replace(b"Content-Length: 0\r\n", b"")


def chunked(head):
    text = response(head, b"").replace(b"Content-Length: 0\r\n", b"Transfer-Encoding: chunked\r\n")
    return text + chunk(BODY) + b"0\r\n\r\n"


def interim(head):
    return b"HTTP/1.1 100 Continue\r\n\r\n" + response(head, BODY)


def stream(head):
    return stream_head(head) + WHOLE_EVENTS


@pytest.mark.parametrize("half_close", [False, True])
@pytest.mark.parametrize(
    ("path", "service", "make"),
    [
        ("/publish/7", "ledger", framed),
        ("/publish/7", "ledger", unframed),
        ("/publish/7", "ledger", interim),
        ("/publish/7", "ledger", chunked),
        ("/draft/7", "models", stream),
        ("/draft/7", "models", unframed),
    ],
)
def test_a_head_that_is_cut_off_is_no_success(bed, path, service, make, half_close):
    cut = 0
    sent = b""

    def script(target, sock, head):
        nonlocal sent
        whole = make(head)
        first_head = whole.index(b"\r\n\r\n") + 4
        length = whole.index(b"\r\n\r\n", first_head) + 4 if make is interim else first_head
        sent = whole[: min(cut, length - 1)]
        sock.sendall(sent)
        if half_close:
            sock.shutdown(gevent.socket.SHUT_WR)
            gevent.sleep(0.05)

    bed.add("t1", service, script)
    while len(sent) == cut:
        cut += 7 if half_close else 1
        status, _, body = bed.call(path)
        assert (status, bool(body)) == (502, True), sent
    assert len(sent) > 50
