"""Guards against a simulated engine with unverifiable responses or ineffective faults."""

import pytest
from geventhttpclient.response import HTTPParseError

from jacinthcove.clock import ManualClock
from jacinthcove.load.events import read_events
from jacinthcove.standins.batch import COLLAPSE_ERROR_MS, Batch, EngineSettings, Stream
from jacinthcove.standins.engine import Engine
from jacinthcove.standins.faults import FaultControl
from jacinthcove.standins.text import response_text


def request_body(request_id="r1", tokens=5, **more):
    return {"request_id": request_id, "max_tokens": tokens, **more}


def text_of(events):
    return "".join(event.data.split('"')[3] for event in events if event.kind == "message")


def test_stream_contains_the_whole_text_and_an_end_event(engine):
    events = list(read_events(engine.send("POST", "/v1/completions", request_body())))
    assert text_of(events) == response_text("r1", 0, 5)
    assert events[-1].kind == "end"
    assert [event.id for event in events[:-1]] == ["0", "1", "2", "3", "4"]


def test_cut_stream_has_no_end_event_and_resumes_at_its_offset(engine):
    engine.send_and_read("PUT", "/faults", {"cut_after": 2})
    response = engine.send("POST", "/v1/completions", request_body())
    stream = read_events(response)
    events = [next(stream), next(stream)]
    with pytest.raises(HTTPParseError):
        next(stream)
    rest = engine.send("GET", f"/v1/streams/{response['x-stream-id']}?offset=2")
    assert text_of(events) + text_of(read_events(rest)) == response_text("r1", 0, 5)


@pytest.mark.parametrize("fault", ["duplicate_rate", "reorder_rate"])
def test_duplicated_or_reordered_stream_contains_every_offset(engine, fault):
    engine.send_and_read("PUT", "/faults", {fault: 0.5})
    events = list(read_events(engine.send("POST", "/v1/completions", request_body(tokens=12))))
    offsets = [int(event.id) for event in events[:-1]]
    assert sorted(set(offsets)) == list(range(12))
    assert offsets != list(range(12))


def test_request_that_is_not_admitted_is_not_counted_as_run(engine):
    engine.send_and_read("PUT", "/faults", {"leaving": True})
    response = engine.send("POST", "/v1/completions", request_body())
    assert (response.status_code, response["x-not-admitted"]) == (503, "1")
    assert engine.request_json("GET", "/executions")["requests"] == {}


def test_restart_drops_streams_and_changes_the_boot_id(engine):
    response = engine.send("POST", "/v1/completions", request_body(tokens=10_000))
    before = engine.request_json("GET", "/load")["boot_id"]
    engine.send_and_read("PUT", "/faults", {"restart": True})
    assert engine.request_json("GET", "/load")["boot_id"] != before
    with pytest.raises(HTTPParseError):
        list(read_events(response))
    assert engine.send_and_read("GET", f"/v1/streams/{response['x-stream-id']}?offset=0")[0] == 404


def test_cancelled_stream_cannot_be_resumed(engine):
    response = engine.send("POST", "/v1/completions", request_body(tokens=10_000))
    path = f"/v1/streams/{response['x-stream-id']}"
    assert engine.send_and_read("DELETE", path)[0] == 200
    assert engine.send_and_read("GET", path + "?offset=0")[0] == 410


@pytest.mark.parametrize(("checks", "status"), [(True, 409), (False, 200)])
def test_outdated_fencing_number_is_rejected_only_if_checked(start_standin, checks, status):
    engine = start_standin(Engine("127.0.0.1:0", EngineSettings(checks_fencing=checks)))
    order = {"kind": "change_role", "version": "", "time_limit_ms": 0}
    assert (
        engine.send_and_read("POST", "/orders", {**order, "fencing": 5, "order_id": "a"})[0] == 200
    )
    assert (
        engine.send_and_read("POST", "/orders", {**order, "fencing": 4, "order_id": "b"})[0]
        == status
    )


@pytest.fixture
def cold_batch():
    clock = ManualClock()
    settings = EngineSettings(cold_ms=5_000, cold_capacity=2, max_batch=4)
    return Batch(settings, clock, FaultControl(clock, 1)), clock


def test_cold_engine_slows_down_and_fails_requests_above_its_capacity(cold_batch):
    batch, clock = cold_batch
    streams = [Stream(request_body(str(n), 100)) for n in range(3)]
    for stream in streams:
        batch.add(stream)
    batch.start_waiting_streams()
    for _ in range(31):
        batch.step()
    produced = [stream.produced for stream in streams]
    clock.advance(COLLAPSE_ERROR_MS)
    batch.step()
    assert produced == [2, 2, 2]  # 31 steps, slowed by COLLAPSE_FACTOR = 15
    assert all(stream.failed for stream in streams)


def test_engine_warms_up_with_served_requests_and_time(cold_batch):
    batch, clock = cold_batch
    assert batch.capacity() == 2
    batch.served = 1
    assert batch.capacity() == 3
    clock.advance(6_000)
    assert not batch.is_cold()


def test_prefix_cache_evicts_the_least_recently_used(cold_batch):
    batch, _ = cold_batch
    hits = [batch.look_up_prefix(str(n)) for n in range(33)]
    assert not any(hits)
    assert batch.look_up_prefix("32")
    assert not batch.look_up_prefix("0")
