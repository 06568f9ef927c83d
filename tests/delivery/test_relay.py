"""Guards against lost, repeated or reordered tokens and truncated responses of faulty targets."""

import contextlib

import orjson
import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.delivery import relay as relay_module
from jacinthcove.delivery.relay import MAX_REORDERED_CHUNKS, StreamMissing, StreamRelay
from jacinthcove.errors import NotAdmitted, TargetFailed
from jacinthcove.standins.batch import EngineSettings
from jacinthcove.standins.engine import Engine
from jacinthcove.standins.faults import Faults
from jacinthcove.standins.text import response_text

TOKENS = 12
BODY = orjson.dumps({"request_id": "r1", "max_tokens": TOKENS})


class Recorder:
    def __init__(self):
        self.offsets = []
        self.text = ""

    def write_chunks(self, first_offset, data):
        self.offsets += range(first_offset, first_offset + len(data))
        self.text += "".join(orjson.loads(item)["text"] for item in data)

    def idle(self):
        pass


@pytest.fixture
def engine():
    engine = Engine("127.0.0.1:0", EngineSettings(token_ms=1, cold_ms=0, seed=3))
    engine.start()
    yield engine
    engine.close()


def relay_to(address, sink=None, on_progress=lambda progress: None, clock=None):
    clock = clock or ManualClock()
    return StreamRelay(clock, address, sink or Recorder(), 200, on_progress)


def run(engine, faults):
    engine.faults.set(faults)
    relay = relay_to(engine.address)
    relay.run(BODY, lambda stream_id: None)
    return relay


@pytest.mark.parametrize(
    "faults",
    [
        Faults(),
        Faults(cut_after=3),
        Faults(cut_after=0),
        Faults(cut_after=4, on_resume=True),
        Faults(silent_after=5),
        Faults(duplicate_rate=0.5),
        Faults(reorder_rate=0.5),
        Faults(cut_after=5, on_resume=True, duplicate_rate=0.5, reorder_rate=0.3),
    ],
    ids=str,
)
def test_every_token_arrives_once_and_in_order(engine, faults):
    relay = run(engine, faults)
    assert relay.sink.offsets == list(range(TOKENS))
    assert relay.sink.text == response_text("r1", 0, TOKENS)
    assert relay.progress.ended
    assert engine.request_runs["r1"] == 1


def test_stream_that_never_ends_is_an_error_after_the_last_resume(engine):
    with pytest.raises(TargetFailed):
        run(engine, Faults(cut_after=2, on_resume=True))


def test_lost_stream_is_not_started_again(engine):
    engine.faults.set(Faults(cut_after=3))
    relay = relay_to(engine.address)
    with pytest.raises(StreamMissing):
        relay.run(BODY, lambda stream_id: engine.streams.clear())
    assert engine.request_runs["r1"] == 1


def test_request_not_admitted_by_the_engine_is_not_run(engine):
    with pytest.raises(NotAdmitted):
        run(engine, Faults(not_admitted=True))
    assert not engine.request_runs


def test_failure_before_the_stream_id_may_have_run_and_is_not_resumed(engine):
    engine.faults.set(Faults(fail_rate=1.0))
    relay = relay_to(engine.address)
    with pytest.raises(TargetFailed):
        relay.run(BODY, lambda stream_id: None)
    assert relay.progress.resumes == 0


class ScriptedResponse:
    status_code = 200

    def __init__(self, pieces, before_piece=lambda: None):
        self.pieces = list(pieces)
        self.before_piece = before_piece

    def get(self, name, default):
        return "s1"

    def mark_progress(self):
        pass

    def receive(self):
        self.before_piece()
        return self.pieces.pop(0) if self.pieces else b""


def chunk(offset):
    return b'id: %d\ndata: {"text":"%d "}\n\n' % (offset, offset)


def end(total):
    return b'event: end\ndata: {"offset":%d}\n\n' % total


def script(monkeypatch, *connections, **options):
    responses = [ScriptedResponse(pieces, **options) for pieces in connections]

    @contextlib.contextmanager
    def open_response(request):
        if not responses:
            raise TargetFailed("no more connections")
        yield responses.pop(0)

    monkeypatch.setattr(relay_module, "open_response", open_response)


@pytest.mark.parametrize(
    "connection",
    [
        [chunk(0), chunk(1)],
        [chunk(0), end(2)],
        [chunk(0) + end(0)],
        [chunk(0), b"event: end\ndata: nonsense\n\n"],
        [chunk(0), b"event: end\ndata: {}\n\n"],
        [chunk(0), b"id: x\ndata: {}\n\n"],
        [chunk(0), b"id: 1\n\n"],
        [chunk(0), end(1)[:-1]],
    ],
)
def test_stream_without_a_valid_end_marker_is_an_error(monkeypatch, connection):
    script(monkeypatch, connection)
    relay = relay_to("t")
    with pytest.raises(TargetFailed):
        relay.run(BODY, lambda stream_id: None)
    assert not relay.progress.ended


def test_chunks_before_a_malformed_event_are_delivered_and_not_requested_again(monkeypatch):
    script(monkeypatch, [chunk(0) + chunk(1) + b"id: x\n\n"], [chunk(2) + end(3)])
    relay = relay_to("t")
    relay.run(BODY, lambda stream_id: None)
    assert relay.sink.text == "0 1 2 "


def test_number_of_buffered_chunks_is_limited(monkeypatch):
    script(monkeypatch, [b"".join(chunk(n) for n in range(1, MAX_REORDERED_CHUNKS + 3))])
    relay = relay_to("t")
    with pytest.raises(TargetFailed):
        relay.run(BODY, lambda stream_id: None)
    assert len(relay.progress.early_chunks) == MAX_REORDERED_CHUNKS


def test_deadline_is_checked_while_only_duplicates_arrive(monkeypatch):
    clock = ManualClock()
    script(monkeypatch, [chunk(0)] * 100, before_piece=lambda: clock.advance(100))

    def on_progress(progress):
        if clock.now() > 3_000:
            raise TimeoutError

    relay = relay_to("t", on_progress=on_progress, clock=clock)
    with pytest.raises(TimeoutError):
        relay.run(BODY, lambda stream_id: None)
    assert relay.progress.duplicates > 10


def test_chunks_that_arrive_together_are_written_together(monkeypatch):
    script(monkeypatch, [chunk(0) + chunk(2), chunk(1) + chunk(3) + end(4)])
    writes = []
    sink = Recorder()
    sink.write_chunks = lambda first, data: writes.append((first, len(data)))
    relay_to("t", sink).run(BODY, lambda stream_id: None)
    assert writes == [(0, 1), (1, 3)]
