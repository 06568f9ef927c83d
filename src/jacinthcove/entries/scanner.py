"""Reads a JSON text piece by piece, in which most values are skipped or kept as bytes."""

from collections.abc import Callable, Iterator

import orjson

from jacinthcove.entries.valueend import NOT_FOUND, ValueEnd

# Longer names of members are none that anybody reads.
MAX_MEMBER_NAME_BYTES = 256
_SPACE = b" \t\r\n"


class MalformedTextError(ValueError):
    """The text is not a complete JSON document of the expected form."""


class JsonScanner:
    """Walks through a document; `read` returns the next piece, which is empty at the end.

    The members or elements of a container have to be read or skipped while they are iterated.
    """

    def __init__(self, read: Callable[[], bytes]):
        self.read = read
        self.data = b""
        self.position = 0

    def members(self) -> Iterator[str]:
        """Yield the names of the members of an object; one that is too long is empty."""
        for _ in self._parts(b"{", b"}"):
            name = self.value(MAX_MEMBER_NAME_BYTES)
            self._expect(b":")
            yield _decode_name(name)

    def elements(self) -> Iterator[None]:
        """Yield once before each element of a list."""
        return self._parts(b"[", b"]")

    def value(self, max_bytes: int) -> bytes | None:
        """Return the text of the next value, None if it is longer than `max_bytes`."""
        end = ValueEnd(self.peek())
        parts: list[bytes] = []
        size = 0
        while True:
            found = end.find(self.data, self.position)
            stop = len(self.data) if found == NOT_FOUND else found
            size += stop - self.position
            if size <= max_bytes:
                parts.append(self.data[self.position : stop])
            else:
                parts.clear()
            self.position = stop
            if found != NOT_FOUND:
                return b"".join(parts) if size <= max_bytes else None
            self._read_on()

    def short_value(self, max_bytes: int) -> bytes | None:
        """Return the text of the next value; one longer than `max_bytes` is left to be read."""
        end = ValueEnd(self.peek())
        start = searched = self.position
        while (found := end.find(self.data, searched)) == NOT_FOUND:
            if len(self.data) - start > max_bytes:
                break
            piece = self._next_piece()
            searched = len(self.data) - start
            self.data, self.position, start = self.data[start:] + piece, 0, 0
        if found == NOT_FOUND or found - start > max_bytes:
            return None
        self.position = found
        return self.data[start:found]

    def peek(self) -> bytes:
        """Return the next byte that is no white space."""
        while True:
            while self.position < len(self.data):
                byte = self.data[self.position : self.position + 1]
                if byte not in _SPACE:
                    return byte
                self.position += 1
            self._read_on()

    def finish(self) -> None:
        """Read to the end of the text; raises `MalformedTextError` if it goes on."""
        try:
            found = self.peek()
        except MalformedTextError:
            return
        raise MalformedTextError(f"the document goes on after its end with {found!r}")

    def _parts(self, opening: bytes, closing: bytes) -> Iterator[None]:
        self._expect(opening)
        if self.peek() != closing:
            yield
            while self.peek() != closing:
                self._expect(b",")
                yield
        self._expect(closing)

    def _expect(self, symbol: bytes) -> None:
        found = self.peek()
        if found != symbol:
            raise MalformedTextError(f"{found!r} stands in place of {symbol!r}")
        self.position += 1

    def _read_on(self) -> None:
        """Replace the data, all of which was read, by the next piece."""
        self.data, self.position = self._next_piece(), 0

    def _next_piece(self) -> bytes:
        piece = self.read()
        if not piece:
            raise MalformedTextError("the document is incomplete")
        return piece


def _decode_name(text: bytes | None) -> str:
    try:
        name = orjson.loads(text) if text is not None else ""
    except orjson.JSONDecodeError as error:
        raise MalformedTextError("a member has no name") from error
    return name if isinstance(name, str) else ""
