"""Guards against callers that accept a wrong, truncated or duplicated response."""

import gevent
import orjson
import pytest

from jacinthcove.codes import ResultClass, ResultCode
from jacinthcove.load.callers import Caller, Connections, RequestSpec
from jacinthcove.standins.server import Response, Server, dropped_connection_error, json_response
from jacinthcove.standins.text import token_text

SPEC = RequestSpec("s", "draft", "nonce-1", max_tokens=4, deadline_ms=5_000)
START = b'event: start\ndata: {"request_id":"r","resume_token":"t"}\n\n'
SILENT = "silent"


def chunk(offset, seed="nonce-1"):
    data = orjson.dumps({"text": token_text(seed, offset)})
    return b"event: chunk\nid: %d\ndata: %b\n\n" % (offset, data)


def end(offset, code=100):
    return b'event: end\ndata: {"code":%d,"offset":%d}\n\n' % (code, offset)


class ScriptedRouter:
    """Sends the next scripted reply; an event list without a final event breaks the connection."""

    def __init__(self):
        self.script = []
        self.calls = []
        self.server = Server("127.0.0.1:0", self.respond)
        self.server.start()

    def respond(self, request):
        if request.path == "/v1/lookup":
            return json_response({"addresses": [self.server.address], "lifetime_ms": 60_000})
        self.calls.append(f"{request.method} {request.path}?{request.query.get('offset', '')}")
        reply = self.script.pop(0)
        if isinstance(reply, list):
            return Response(200, self.events(reply), {"Content-Type": "text/event-stream"})
        return json_response(reply, 503)

    def events(self, reply):
        for item in reply:
            if item == SILENT:
                gevent.sleep(30)
            else:
                yield item
        if not reply[-1].startswith(b"event: e"):
            raise dropped_connection_error()


@pytest.fixture
def router():
    scripted = ScriptedRouter()
    yield scripted
    scripted.server.close()


@pytest.fixture
def caller(router):
    connections = Connections(read_timeout_ms=200)
    yield Caller("w", "key", [router.server.address], connections=connections)
    connections.close()


def test_whole_stream_is_complete(router, caller):
    router.script = [[START, b": keep-alive\n\n", *map(chunk, range(4)), end(4)]]
    outcome = caller.call(SPEC)
    assert outcome.complete
    assert (outcome.code, outcome.tokens, outcome.request_id) == (ResultCode.OK, 4, "r")
    assert caller.gaps.get_total_count() == 3


@pytest.mark.parametrize("broken", [[START, chunk(0)], [START, chunk(0), SILENT, end(1)]])
def test_broken_or_silent_stream_resumes_at_next_token(router, caller, broken):
    router.script = [broken, [chunk(1), chunk(2), chunk(3), end(4)]]
    outcome = caller.call(SPEC)
    assert outcome.complete
    assert outcome.resumed == 1
    assert router.calls == ["POST /v1/requests?", "GET /v1/streams/t?1"]


def test_request_is_not_resent_after_rejected_resumption(router, caller):
    rejected = {"code": 214, "class": "not_run", "message": "", "retry_after_ms": 1}
    router.script = [[START, chunk(0)], rejected, {**rejected, "code": 220}]
    outcome = caller.call(SPEC)
    assert outcome.lost
    assert outcome.result_class is ResultClass.MAY_HAVE_RUN
    assert [call.split()[0] for call in router.calls] == ["POST", "GET", "GET"]


@pytest.mark.parametrize(
    ("events", "flag"),
    [
        ([START, chunk(0), end(1)], "truncated"),
        ([START, chunk(0), end(4)], "truncated"),
        ([START, *(chunk(n, "other") for n in range(4)), end(4)], "corrupt"),
        ([START, chunk(0), *map(chunk, range(4)), end(4)], "corrupt"),
        ([START, chunk(1), chunk(0), chunk(2), chunk(3), end(4)], "corrupt"),
    ],
    ids=["short", "missing-chunks", "foreign", "duplicate", "out-of-order"],
)
def test_faulty_response_is_marked(router, caller, events, flag):
    router.script = [events]
    outcome = caller.call(SPEC)
    assert getattr(outcome, flag)
    assert not outcome.complete


def test_only_not_run_results_are_retried(router, caller):
    rejected = {"code": 210, "class": "not_run", "message": "", "retry_after_ms": 5}
    failed = {"code": 300, "class": "may_have_run", "message": ""}
    router.script = [rejected, failed]
    outcome = caller.call(SPEC)
    assert (outcome.code, outcome.retries) == (ResultCode.TARGET_FAILED, 1)
    assert router.script == []


def test_no_retry_when_retry_time_is_after_deadline(router, caller):
    router.script = [{"code": 210, "class": "not_run", "message": "", "retry_after_ms": 60_000}]
    outcome = caller.call(SPEC)
    assert (outcome.code, outcome.retries) == (ResultCode.QUEUE_FULL, 0)
