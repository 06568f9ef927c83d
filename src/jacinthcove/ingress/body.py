"""Reads the body of a request in large steps, with bounds on all that is not its content."""

import errno
import io
import re

from jacinthcove.gateway.callererrors import MalformedRequest
from jacinthcove.ingress.pacing import DecodingTurns

# Each reader that waits holds a buffer of this size.
PIECE_BYTES = 16_384
# A chunk's size line with its extensions.
MAX_SIZE_LINE_BYTES = 8_192
# Extensions of all chunks: this much, and a part of the content that has arrived.
EXTENSION_BYTES = 64 * 1024
EXTENSION_PER_CONTENT_BYTE = 0.25
# Once a step of decoding had this many chunks, the body waits for its turn before each step.
CHUNKS_PER_STEP = 64
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_SIZE_LINE = re.compile(rb"([0-9a-fA-F]{1,16})(;[^\r\n]*)?\r\n")
_TRAILER = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\r\n\0]*\r\n")
_LINE_END = b"\r\n"


class BodyBrokenError(OSError):
    """The connection ended before the body did."""

    def __init__(self, message: str):
        # The WSGI server logs the traceback of errors with other numbers.
        super().__init__(errno.EPIPE, message)


class RequestBody:
    """A body whose end is given by its length; `is_complete` once all of it was read."""

    def __init__(self, rfile: io.BufferedReader, length: int):
        self.rfile = rfile
        self.left_bytes = length

    @property
    def is_complete(self) -> bool:
        """Return whether the whole body was read."""
        return self.left_bytes == 0

    def read_piece(self) -> bytes:
        """Return some bytes of the body, none at its end; raises `BodyBrokenError`."""
        if not self.left_bytes:
            return b""
        piece = self.rfile.read1(min(self.left_bytes, PIECE_BYTES))
        if not piece:
            raise BodyBrokenError("the connection ended before the end of the body")
        self.left_bytes -= len(piece)
        return piece


class ChunkedBody:
    """A body in chunks.

    Framing is decoded from what has been received, at most a buffer at a time, and the content of
    large chunks is read directly. Raises `MalformedRequest` for framing that is no HTTP or beyond
    the limits.
    """

    def __init__(self, rfile: io.BufferedReader, max_trailer_bytes: int, turns: DecodingTurns):
        self.rfile = rfile
        self.trailer_bytes_left = max_trailer_bytes
        self.turns = turns
        # The start of a line that has not arrived whole.
        self.partial = b""
        self.content_bytes = 0
        self.extension_bytes = 0
        self.left_bytes = 0
        self.before_line_end = False
        self.in_trailer = False
        self.is_complete = False
        self.has_small_chunks = False

    def read_piece(self) -> bytes:
        """Return some bytes of the body, none at its end; raises `BodyBrokenError`."""
        while not self.is_complete:
            if self.left_bytes:
                piece = self.rfile.read1(min(self.left_bytes, PIECE_BYTES))
                if not piece:
                    raise BodyBrokenError("the connection ended inside a chunk")
                self.left_bytes -= len(piece)
                self.before_line_end = not self.left_bytes
            else:
                piece = self._read_framing()
            if piece:
                self.content_bytes += len(piece)
                return piece
        return b""

    def _read_framing(self) -> bytes:
        received = self.rfile.peek(1)
        if not received:
            raise BodyBrokenError("the connection ended between two chunks")
        if not self.has_small_chunks:
            return self._decode(received)
        with self.turns.turn():
            return self._decode(received)

    def _decode(self, received: bytes) -> bytes:
        """Decode from received bytes, which stay in the buffer after the end of the body."""
        window = self.partial + received
        content = bytearray()
        position, chunks = 0, 0
        while position < len(window) and not (self.left_bytes or self.is_complete):
            if self.before_line_end:
                if not window.startswith(_LINE_END, position):
                    if window[position:] == b"\r":
                        break
                    raise MalformedRequest(400, "a chunk does not end with its line")
                position += 2
                self.before_line_end = False
                continue
            end = window.find(b"\n", position) + 1
            if not end:
                if len(window) - position > MAX_SIZE_LINE_BYTES:
                    raise MalformedRequest(400, "a line between chunks is too long")
                break
            if self.in_trailer:
                self._take_trailer(window[position:end])
                position = end
                continue
            line = _SIZE_LINE.match(window, position)
            if line is None:
                raise MalformedRequest(400, "a chunk size is malformed")
            position = end
            chunks += 1
            if line[2]:
                self._count_extension(len(line[2]))
            size = int(line[1], 16)
            if not size:
                self.in_trailer = True
                continue
            part = window[position : position + size]
            content += part
            position += len(part)
            self.left_bytes = size - len(part)
            self.before_line_end = not self.left_bytes
        self.has_small_chunks = chunks >= CHUNKS_PER_STEP
        if self.left_bytes or self.is_complete:
            self.rfile.read(position - len(self.partial))
            self.partial = b""
        else:
            # The buffer would receive nothing more while the start of a line is in it.
            self.rfile.read(len(received))
            self.partial = window[position:]
        return bytes(content)

    def _take_trailer(self, line: bytes) -> None:
        self.trailer_bytes_left -= len(line)
        if line == _LINE_END:
            self.is_complete = True
        elif self.trailer_bytes_left < 0:
            raise MalformedRequest(431, "the trailer is too large")
        elif not _TRAILER.fullmatch(line):
            raise MalformedRequest(400, "a trailer field is malformed")

    def _count_extension(self, size_bytes: int) -> None:
        self.extension_bytes += size_bytes
        allowed = EXTENSION_BYTES + EXTENSION_PER_CONTENT_BYTE * self.content_bytes
        if self.extension_bytes > allowed:
            raise MalformedRequest(400, "the chunk extensions are too long")
