"""One request that cannot be logged must not fail those after it."""

import orjson
import pytest
import structlog

from jacinthcove.clock import ManualClock
from jacinthcove.observe.arrivals import PERIOD_MS, ArrivalLog, EngineStats


def test_a_request_that_cannot_be_logged_does_not_fail_all_later_ones(monkeypatch):
    """After 10**20 tokens in one request, the router answered 500 to every prompt."""
    lines = []

    def write(event, **fields):
        lines.append(orjson.loads(orjson.dumps(fields)))

    monkeypatch.setattr("jacinthcove.observe.arrivals.log", structlog.testing.CapturingLogger())
    monkeypatch.setattr("jacinthcove.observe.arrivals.log.info", write, raising=False)
    clock = ManualClock()
    arrivals = ArrivalLog(clock, EngineStats)
    arrivals.record_arrival(10**20, 100)
    clock.advance(PERIOD_MS)
    with pytest.raises(TypeError):
        arrivals.record_arrival(7, 100)
    arrivals.record_arrival(8, 100)
    clock.advance(PERIOD_MS)
    arrivals.record_arrival(9, 100)
    assert [line["requests"] for line in lines] == [[[PERIOD_MS, 8, 100]]]
