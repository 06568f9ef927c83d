"""Answers of engines in trouble, which must not reach callers as complete answers of the engine."""

import gevent
import pytest
from router_bed import http
from store_standin import eventually
from test_unframed_answers import events, sends, unframed_head
from wire_bed import GatewayTestBed, ScriptedTarget, header, request

from jacinthcove.gateway import shedding
from jacinthcove.gateway.model import CallerLimits
from jacinthcove.platform import names

# More than the buffers of two sockets take, so that the upload is still being written.
UPLOAD = b"u" * 12_000_000
# The largest request that is passed on.
PASSED_ON_UPLOAD = b"u" * 60_000
STREAM, PLAIN = "text/event-stream", "text/plain"


class HastyTarget(ScriptedTarget):
    """Runs its script once the head has arrived, without reading the body."""

    def _serve(self, sock, _):
        data = b""
        while b"\r\n\r\n" not in data:
            data += sock.recv(1_000)
        head = data.partition(b"\r\n\r\n")[0].decode("latin-1")
        self.seen.append(head)
        self.script(self, sock, head)


def resets_during_upload(kind, part, pause_s):
    """Return a script that answers at once without a length, in part, and then resets."""

    return sends(lambda head: unframed_head(head, kind) + part, reset=True, pause_s=pause_s)


def answers_with_status(status, kind=PLAIN, keeps=False):
    """Return a script that answers with a status that HTTP does not have."""

    def script(target, sock, head):
        attempt = header(head, names.ATTEMPT_ID)
        sock.sendall(
            f"HTTP/1.1 {status} Trouble\r\n{names.ATTEMPT_ID}: {attempt}\r\n"
            f"{names.SIGNATURE}: s1\r\nContent-Type: {kind}\r\n"
            "Content-Length: 7\r\n\r\ntrouble".encode()
        )
        if keeps:
            sock.recv(1)
        sock.close()

    return script


@pytest.fixture
def bed():
    limits = CallerLimits(
        header_timeout_ms=300,
        max_header_bytes=2_048,
        max_body_bytes=20_000_000,
        idle_timeout_ms=1_000,
    )
    bed = GatewayTestBed(limits)
    bed.start()
    yield bed
    bed.close()


def add_hasty(bed, service, script):
    target = HastyTarget("t1", service, script)
    bed.targets.append(target)
    bed.registry.put(target.record(), 1)
    return target


@pytest.mark.parametrize("pause_s", [0, 0.05], ids=["at once", "after a pause"])
@pytest.mark.parametrize(
    ("path", "service", "kind", "part"),
    [
        ("/publish/7", "ledger", PLAIN, b"publ"),
        ("/publish/7", "ledger", PLAIN, b""),
        ("/draft/7", "models", STREAM, events(1, 2)),
        ("/draft/7", "models", STREAM, b""),
    ],
    ids=["whole", "whole without a part", "stream", "stream without an event"],
)
def test_a_part_that_came_before_a_reset_during_the_upload_does_not_look_complete(
    bed, path, service, kind, part, pause_s
):
    target = add_hasty(bed, service, resets_during_upload(kind, part, pause_s))
    with gevent.Timeout(4):
        status, fields, body = bed.call(path, UPLOAD)
    assert len(target.seen) == 1
    assert status == 502 or body is None
    assert names.SIGNATURE.lower() not in fields or body is None


ODD_STATUSES = ["000", "007", "099", "600", "999"]
WAYS = [("/publish/7", "ledger", PLAIN), ("/draft/7", "models", STREAM)]


@pytest.mark.parametrize("keeps", [False, True], ids=["closes", "stays open"])
@pytest.mark.parametrize(("path", "service", "kind"), WAYS, ids=["whole", "stream"])
@pytest.mark.parametrize("status", ODD_STATUSES)
def test_a_status_that_does_not_exist_is_no_answer(bed, status, path, service, kind, keeps):
    bed.add("t1", service, answers_with_status(status, kind, keeps))
    started_at = gevent.get_hub().loop.now()
    answer, fields, body = bed.call(path)
    assert (answer, names.SIGNATURE.lower() in fields) == (502, False)
    assert b"trouble" not in body
    # It must not be taken for an interim answer either, and held until the time limit.
    assert gevent.get_hub().loop.now() - started_at < 0.5


def test_an_answer_after_a_status_that_does_not_exist_is_not_taken_for_that_of_the_request(bed):
    def script(target, sock, head):
        framed = unframed_head(head, PLAIN).replace(b"\r\n\r\n", b"\r\nContent-Length: 2\r\n\r\n")
        sock.sendall(b"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + framed + b"ok")

    bed.add("t1", "ledger", script)
    assert bed.call("/publish/7")[0] == 502


def read_all(router, data):
    """Send one request and return all bytes until the router closes the connection."""
    address, _, port = router.settings.caller_listen.rpartition(":")
    with gevent.socket.create_connection((address, int(port)), timeout=5) as sock:
        sock.sendall(data)
        received = b""
        while part := sock.recv(65_536):
            received += part
        return received


def test_a_part_before_a_reset_does_not_look_complete_when_it_is_passed_on(
    passing, ledger, monkeypatch
):
    monkeypatch.setattr(shedding, "ARRIVAL_MS", 2_000)
    ledger.script = resets_during_upload(PLAIN, b"publ", 0)
    late, _ = passing
    before = late.handover.passed_on.value
    received = read_all(late, request("/publish/1", PASSED_ON_UPLOAD))
    assert late.handover.passed_on.value == before + 1
    assert received.startswith(b"HTTP/1.1 502")
    assert names.SIGNATURE.encode() not in received


def test_a_status_that_does_not_exist_is_no_answer_when_it_is_passed_on(passing, ledger):
    late, _ = passing
    before = late.handover.passed_on.value
    for status in ODD_STATUSES:
        ledger.script = answers_with_status(status, keeps=True)
        assert http(late.settings.caller_listen)[0] == 502
    eventually(lambda: late.handover.passed_on.value == before + len(ODD_STATUSES))
