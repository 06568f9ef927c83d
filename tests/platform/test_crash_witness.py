"""Which broken connections count as crashes of engines, on real sockets."""

import gevent
import pytest
from wire_bed import (
    ROUTES,
    event,
    read_response,
    request,
    responds_with,
    response,
    stream_head,
)

from jacinthcove.clock import SystemClock
from jacinthcove.gateway.crashmarks import is_digest, request_digest
from jacinthcove.gateway.crashwitness import CONFIRM_DELAY_MS
from jacinthcove.platform import names
from tests.gateway.samples import request as sample

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


def digest_of_lookup(bed):
    """Return the digest of `GET /status/1`."""
    status = next(item for item in ROUTES if item.name == "status")
    fields = {"method": "GET", "target": "/status/1", "body": b"", "route": status}
    return request_digest(sample(SystemClock(), **fields))


def suspected(bed):
    return {part for victim in bed.examiner.evidence.victims for part in victim.marks}


def digests(marks):
    return {mark for mark in marks if is_digest(mark)}


def test_the_shared_parts_of_a_request_at_a_crashed_engine_are_reported(bed):
    bed.add("i-1", "models", crash)
    assert send_draft(bed)[0] == 502
    assert suspected(bed) - digests(suspected(bed)) == {"aa", "bb"}
    assert len(digests(suspected(bed))) == 1


def test_a_plain_request_at_two_crashed_targets_is_reported_with_the_first_of_them(bed):
    for name in ("i-1", "i-2"):
        bed.add(name, "ledger", crash)
    assert bed.call("/status/1", b"", "GET")[0] == 502
    gevent.sleep(4 * CONFIRM_DELAY_MS / 1_000)
    reported = {item.engine.target_id: item for item in bed.examiner.evidence.victims}
    assert {len(digests(item.marks)) for item in reported.values()} == {1}
    assert len(suspected(bed)) == 1
    assert sorted(sorted(item.broke_off_at) for item in reported.values()) in (
        [[], ["i-1"]],
        [[], ["i-2"]],
    )


def test_a_complete_plain_answer_releases_its_request(bed):
    bed.add("i-1", "ledger", responds_with(response))
    digest = digest_of_lookup(bed)
    bed.quarantine.add_stored(frozenset([digest]))
    assert bed.call("/status/1", b"", "GET")[0] == 200
    assert bed.examiner.released == {frozenset([digest])}


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
