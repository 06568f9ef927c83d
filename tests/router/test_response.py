"""Guards against malformed events and against writes to callers that have disconnected."""

import pytest

from jacinthcove.codes import ResultCode
from jacinthcove.errors import TargetFailed
from jacinthcove.router.response import CallerResponse, EventStream, TextCollector, TokenUsage


@pytest.fixture
def written():
    return []


@pytest.fixture
def stream(written):
    return EventStream(lambda: written.append)


def test_response_starts_with_the_first_event(stream, written):
    assert not stream.has_started
    stream.start("r1", "token")
    assert stream.has_started
    assert written == [b'event: start\ndata: {"request_id":"r1","resume_token":"token"}\n\n']


def test_consecutive_chunks_are_written_at_once_with_their_own_offsets(stream, written):
    stream.write_chunks(3, [b"a"])
    stream.write_chunks(4, [b"b", b"c"])
    one, two = written
    assert one == b"event: chunk\nid: 3\ndata: a\n\n"
    assert two == b"event: chunk\nid: 4\ndata: b\n\nevent: chunk\nid: 5\ndata: c\n\n"


def test_stream_ends_with_its_token_count_or_with_an_error(stream, written):
    stream.end(7, TokenUsage(2, 7))
    stream.error(CallerResponse(ResultCode.STREAM_BROKEN, message="broken"))
    assert b'"offset":7' in written[0]
    assert written[0].startswith(b"event: end\n")
    assert written[1].startswith(b"event: error\n")


def test_disconnected_caller_gets_no_further_writes_and_raises_nothing():
    attempts = []

    def write(data):
        attempts.append(data)
        raise BrokenPipeError

    stream = EventStream(lambda: write)
    stream.start("r1", "token")
    stream.write_chunks(0, [b"a"])
    stream.idle()
    assert stream.caller_disconnected
    assert len(attempts) == 1


def test_buffered_response_with_a_malformed_chunk_is_a_failure():
    collector = TextCollector()
    collector.write_chunks(0, [b'{"text":"a"}', b'{"text":"b"}'])
    assert collector.text() == "ab"
    for broken in (b"nonsense", b"{}", b"[]", b'{"text":1}'):
        with pytest.raises(TargetFailed):
            broken_collector = TextCollector()
            broken_collector.write_chunks(0, [broken])
            broken_collector.text()
