"""Guards against a target that keeps running a request whose deadline has passed."""

import gevent
import pytest

from jacinthcove.clock import SystemClock
from jacinthcove.codes import ResultCode
from jacinthcove.config.model import Route, Service, ServiceKind, Workspace
from jacinthcove.router.attempt import EngineAttempt
from jacinthcove.router.request import CallerRequest
from jacinthcove.scheduling.ticket import GrantedTarget
from jacinthcove.standins.batch import EngineSettings
from jacinthcove.standins.engine import Engine

SERVICE = Service("model", ServiceKind.ENGINE, "v1", (Route("draft"),))


class RecordingDispatch:
    def __init__(self):
        self.usages = []

    def acquire(self, request):
        raise AssertionError("an attempt already has its grant")

    def report(self, grant, usage):
        self.usages.append(usage)


@pytest.fixture
def engine():
    standin = Engine("127.0.0.1:0", EngineSettings(cold_ms=0, token_ms=20))
    standin.start()
    yield standin
    standin.close()


def run(engine, deadline_ms, max_tokens):
    clock, reports = SystemClock(), RecordingDispatch()
    request = CallerRequest(
        "r1", Workspace("w", 1.0, "h"), SERVICE, SERVICE.routes[0], {"max_tokens": max_tokens},
        1, max_tokens, clock.now() + deadline_ms, False, "", "",
    )  # fmt: skip
    grant = GrantedTarget("r1.1", "w", "model", "s", "r", "e", engine.address, "v1", 1)
    return EngineAttempt(clock, reports, "key", request, grant, None).run(), reports


def test_deadline_ends_the_attempt_and_cancels_the_stream(engine):
    result, reports = run(engine, 600, 10_000)
    assert result.code is ResultCode.DEADLINE_DURING_RUN
    assert 0 < result.tokens < 10_000
    assert reports.usages, "progress is reported while the stream runs"
    with gevent.Timeout(10):
        while engine.batch.running:
            gevent.sleep(0.01)


def test_buffered_response_contains_every_token(engine):
    result, _ = run(engine, 60_000, 12)
    assert result.code is ResultCode.OK
    assert result.response.output["text"].count(":") == 12
