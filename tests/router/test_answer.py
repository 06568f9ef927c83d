"""Guards against events that callers cannot read and against writes to callers that are gone."""

import pytest

from jacinthcove.codes import ResultCode
from jacinthcove.errors import TargetFailed
from jacinthcove.router.answer import Answer, EventStream, TextCollector, TokenUsage


@pytest.fixture
def written():
    return []


@pytest.fixture
def stream(written):
    return EventStream(lambda: written.append)


def test_response_begins_with_the_first_event(stream, written):
    assert not stream.begun
    stream.start("r1", "token")
    assert stream.begun
    assert written == [b'event: start\ndata: {"request_id":"r1","resume_token":"token"}\n\n']


def test_consecutive_chunks_are_one_write_with_their_own_offsets(stream, written):
    stream.write_chunks(3, [b"a"])
    stream.write_chunks(4, [b"b", b"c"])
    one, two = written
    assert one == b"event: chunk\nid: 3\ndata: a\n\n"
    assert two == b"event: chunk\nid: 4\ndata: b\n\nevent: chunk\nid: 5\ndata: c\n\n"


def test_stream_ends_with_its_length_or_with_an_error(stream, written):
    stream.end(7, TokenUsage(2, 7))
    stream.error(Answer(ResultCode.STREAM_BROKEN, message="broken"))
    assert b'"offset":7' in written[0]
    assert written[0].startswith(b"event: end\n")
    assert written[1].startswith(b"event: error\n")


def test_caller_that_is_gone_gets_no_further_writes_and_raises_nothing():
    attempts = []

    def write(data):
        attempts.append(data)
        raise BrokenPipeError

    stream = EventStream(lambda: write)
    stream.start("r1", "token")
    stream.write_chunks(0, [b"a"])
    stream.idle()
    assert stream.caller_gone
    assert len(attempts) == 1


def test_whole_answer_with_an_unreadable_chunk_is_a_failure():
    collector = TextCollector()
    collector.write_chunks(0, [b'{"text":"a"}', b'{"text":"b"}'])
    assert collector.text() == "ab"
    for broken in (b"nonsense", b"{}", b"[]", b'{"text":1}'):
        with pytest.raises(TargetFailed):
            broken_collector = TextCollector()
            broken_collector.write_chunks(0, [broken])
            broken_collector.text()
