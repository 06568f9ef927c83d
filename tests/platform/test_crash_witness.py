"""Which broken connections count as crashes of engines, on real sockets."""

import gevent
import pytest
from wire_bed import event, read_response, request, stream_head

from jacinthcove.gateway.crashwitness import CONFIRM_DELAY_MS
from jacinthcove.platform import names

PARTS = f"{names.TOKEN_COUNTS}: 60,6\r\n{names.PROMPT_PARTS}: aa:10,bb:20,cc:30\r\n"


def crash(target, sock, head):
    target.close()
    sock.close()


def break_off(target, sock, head):
    sock.close()


def crash_in_stream(target, sock, head):
    sock.sendall(stream_head(head) + b"%x\r\n%b\r\n" % (len(event(1)), event(1)))
    gevent.sleep(0.02)
    crash(target, sock, head)


def send_draft(bed):
    with bed.connect() as sock:
        sock.sendall(request("/draft/1", extra=PARTS))
        result = read_response(sock)
    gevent.sleep(4 * CONFIRM_DELAY_MS / 1_000)
    return result


def suspected(bed):
    return {part for victim in bed.examiner.evidence.victims for part in victim.parts}


def test_the_shared_parts_of_a_request_at_a_crashed_engine_are_reported(bed):
    bed.add("i-1", "models", crash)
    assert send_draft(bed)[0] == 502
    assert suspected(bed) == {"aa", "bb"}


@pytest.mark.parametrize("script", [break_off, crash_in_stream])
def test_a_broken_connection_without_a_crash_before_the_answer_is_no_evidence(bed, script):
    bed.add("i-1", "models", script)
    send_draft(bed)
    assert not suspected(bed)


def test_an_answer_that_begins_releases_its_parts(bed):
    bed.add("i-1", "models", crash_in_stream)
    bed.quarantine.add_stored(frozenset(["bb"]))
    send_draft(bed)
    assert not bed.quarantine.find(frozenset(["bb"]))
    assert bed.examiner.released == {frozenset(["bb"])}
