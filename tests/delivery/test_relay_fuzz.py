"""Guards against responses made wrong by cuts, duplicates and reordering in any sequence."""

import contextlib
from unittest import mock

import pytest
from hypothesis import find, given, settings
from hypothesis import strategies as st

from jacinthcove.clock import ManualClock
from jacinthcove.delivery import relay as relay_module
from jacinthcove.delivery.relay import StreamRelay
from jacinthcove.errors import NotAdmitted, TargetFailed

MAX_TOKENS = 8
DETERMINISTIC = settings(derandomize=True, max_examples=400, deadline=None)


@st.composite
def connections(draw):
    """Return the length of a response and what the target sends on each connection.

    A connection sends chunks from the requested offset on, with shifted and repeated offsets, then
    perhaps the correct end marker, in pieces split at any byte, and then closes or breaks.
    """
    total = draw(st.integers(0, MAX_TOKENS))
    connection = st.tuples(
        st.lists(st.integers(-2, 3), max_size=2 * MAX_TOKENS),  # shift of each chunk
        st.booleans(),  # whether the end marker is sent
        st.integers(1, 60),  # bytes per piece
        st.booleans(),  # whether the connection breaks instead of closing
    )
    return total, draw(st.lists(connection, max_size=4))


class Response:
    status_code = 200

    def __init__(self, total, start, connection):
        shifts, ends, size, self.breaks = connection
        offsets = [start + n + shift for n, shift in enumerate(shifts)]
        data = b"".join(b"id: %d\ndata: %d\n\n" % (o, o) for o in offsets if 0 <= o < total)
        if ends:
            data += b'event: end\ndata: {"offset":%d}\n\n' % total
        self.pieces = [data[i : i + size] for i in range(0, len(data), size)]

    def get(self, name, default):
        return "s1"

    def mark_progress(self):
        pass

    def receive(self):
        if self.pieces:
            return self.pieces.pop(0)
        if self.breaks:
            raise OSError("broken")
        return b""


class Sink:
    def __init__(self):
        self.received = []

    def write_chunks(self, first_offset, data):
        self.received += list(enumerate(data, first_offset))

    def idle(self):
        pass


def harm(relay_class, case):
    """Run a case; return what is wrong with the response, or ''."""
    total, script = case
    script = list(script)

    @contextlib.contextmanager
    def open_response(request):
        if not script:
            raise NotAdmitted("no more connections")
        start = int(request.path.rpartition("offset=")[2]) if "offset=" in request.path else 0
        yield Response(total, start, script.pop(0))

    sink = Sink()
    with mock.patch.object(relay_module, "open_response", open_response):
        relay = relay_class(ManualClock(), "target", sink, 1_000, lambda progress: None)
        try:
            relay.run(b"", lambda stream_id: None)
            ended = True
        except (TargetFailed, NotAdmitted):
            ended = False
    expected = [(offset, b"%d" % offset) for offset in range(len(sink.received))]
    if sink.received != expected:
        return f"received {sink.received}"
    if ended and len(expected) != total:
        return f"ended after {len(expected)} of {total}"
    return ""


@DETERMINISTIC
@given(connections())
def test_fuzz_caller_receives_all_tokens_in_order_or_an_error(case):
    assert harm(StreamRelay, case) == ""


class WithoutEndCheck(StreamRelay):
    def _check_end_marker(self, event):
        self.progress.ended = True


class CloseIsEnd(StreamRelay):
    def _relay_response(self, request, on_stream):
        super()._relay_response(request, on_stream)
        self.progress.ended = True


class WithoutDuplicateCheck(StreamRelay):
    def _buffer_chunk(self, offset, data):
        if offset < self.progress.next_offset:
            self.sink.write_chunks(offset, [data])
        else:
            super()._buffer_chunk(offset, data)


class WithoutOrder(StreamRelay):
    def _buffer_chunk(self, offset, data):
        if offset > self.progress.next_offset:
            self.sink.write_chunks(offset, [data])


@pytest.mark.parametrize(
    "mutant", [WithoutEndCheck, CloseIsEnd, WithoutDuplicateCheck, WithoutOrder]
)
def test_fuzz_finds_a_relay_without_a_check(mutant):
    assert find(connections(), lambda case: harm(mutant, case) != "", settings=DETERMINISTIC)
