"""Streams that broke off and whose next target answers with an error."""

import pytest
from wire_bed import chunk, event, header, not_run, response, stream_head

from jacinthcove.platform import names

ERROR_TEXT = b"engine on fire"
BEGUN = b"".join(event(number) for number in (1, 2, 3))
NEXT_ANSWERS = {
    "500": lambda head: response(head, ERROR_TEXT, "500 Internal Server Error"),
    "400": lambda head: response(head, ERROR_TEXT, "400 Bad Request"),
    "503 not run": not_run,
    "429 not run": lambda head: not_run(head, "429 Too Many Requests"),
    "421": lambda head: response(head, ERROR_TEXT, "421 Misdirected Request"),
    "200 of another request": lambda head: response(head, ERROR_TEXT, id="other"),
    "200 without a signature": lambda head: b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "error without a length": lambda head: b"HTTP/1.1 500 Oops\r\n\r\n" + ERROR_TEXT,
    "no answer": lambda head: b"\x00\x17 " + ERROR_TEXT + b"\r\n\r\n",
    "a head only": lambda head: response(head, b"", "500 Oops", length=50),
}


def read_all(sock):
    data = b""
    while part := sock.recv(65_536):
        data += part
    return data


@pytest.mark.parametrize("what", sorted(NEXT_ANSWERS))
def test_an_error_of_the_next_target_never_appears_in_a_begun_stream(bed, what):
    def script(target, sock, head):
        if header(head, names.LAST_EVENT_ID) is None:
            sock.sendall(stream_head(head) + chunk(BEGUN))
        else:
            sock.sendall(NEXT_ANSWERS[what](head))

    targets = [bed.add(f"t{number}", "models", script) for number in (1, 2)]
    received = read_all(bed.send("/ask/7"))
    assert [len(target.seen) for target in targets] == [1, 1]
    assert received.endswith(chunk(BEGUN))
    assert received.count(b"HTTP/1.1") == 1
    assert ERROR_TEXT not in received
