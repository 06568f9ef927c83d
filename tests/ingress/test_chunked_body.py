"""Decoding of chunked bodies: the same content in any pieces, and bounds on all but content."""

import io

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jacinthcove.gateway.callererrors import MalformedRequest
from jacinthcove.ingress.body import BodyBrokenError, ChunkedBody
from jacinthcove.ingress.pacing import DecodingTurns

MAX_TRAILER_BYTES = 200
NEXT = b"POST /next"


class Pieces(io.RawIOBase):
    """Receives the given pieces one at a time."""

    def __init__(self, pieces):
        self.pieces = [piece for piece in pieces if piece]

    def readable(self):
        return True

    def readinto(self, buffer):
        if not self.pieces:
            return 0
        piece = self.pieces.pop(0)
        part, rest = piece[: len(buffer)], piece[len(buffer) :]
        buffer[: len(part)] = part
        if rest:
            self.pieces.insert(0, rest)
        return len(part)


def decode(pieces):
    """Return the content of a body and what follows it."""
    rfile = io.BufferedReader(Pieces(pieces), 512)
    body = ChunkedBody(rfile, MAX_TRAILER_BYTES, DecodingTurns(sleep=lambda duration_s: None))
    content = b""
    while piece := body.read_piece():
        content += piece
    return content, rfile.read()


def encode(chunks, extension=b""):
    return b"".join(b"%x%b\r\n%b\r\n" % (len(c), extension, c) for c in chunks if c)


def cut(data, sizes):
    pieces = []
    for size in sizes:
        pieces.append(data[:size])
        data = data[size:]
    return [*pieces, data]


@given(
    st.lists(st.binary(max_size=1_500), max_size=12),
    st.lists(st.integers(1, 40), max_size=60),
    st.sampled_from([b"", b";a=b", b";" + b"x" * 90]),
    st.sampled_from([b"", b"T: x\r\n", b"T: x\r\nU:\r\n"]),
)
def test_any_pieces_give_the_same_content(chunks, sizes, extension, trailer):
    data = encode(chunks, extension) + b"0\r\n" + trailer + b"\r\n" + NEXT
    assert decode(cut(data, sizes)) == (b"".join(chunks), NEXT)


def test_a_byte_at_a_time():
    data = encode([b"b"] * 300) + b"0\r\n\r\n" + NEXT
    assert decode([bytes([byte]) for byte in data]) == (b"b" * 300, NEXT)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"x\r\n", 400),
        (b"-1\r\n", 400),
        (b"1 \r\nb\r\n", 400),
        (b"1\nb\r\n", 400),
        (b"1\r\nbc\r\n", 400),
        (b"1" * 17 + b"\r\n", 400),
        (b"1;" + b"e" * 9_000, 400),
        (b"1;%b\r\nb\r\n" % (b"e" * 1_000) * 100, 400),
        (b"0\r\n" + b"T: x\r\n" * 100, 431),
        (b"0\r\nno field\r\n\r\n", 400),
    ],
)
def test_framing_beyond_the_limits_is_refused(data, status):
    """Extensions and trailers without end cost the event loop seconds."""
    with pytest.raises(MalformedRequest) as refused:
        decode([data])
    assert refused.value.status == status


@pytest.mark.parametrize("data", [b"", b"5\r\nab", b"5\r\nabcde\r\n", b"5", b"0\r\n"])
def test_a_body_that_breaks_off_is_not_complete(data):
    with pytest.raises(BodyBrokenError):
        decode([data])
