"""Reads JSON documents of which parts cannot be read, such as lists with one odd object.

Anybody may write objects to a shared store. An object that is nested too deeply, or has a number
that is too large or bytes that are no text, must not hide the others of its list, nor take long to
skip: the program serves nothing else while it reads.
"""

import re
from collections.abc import Callable, Collection
from typing import Any

import orjson

# A value is skipped in runs of at most this many parts, and others can run after some of the runs.
PARTS_PER_RUN = 1_000
RUNS_PER_PAUSE = 50
# Lists and objects that are nested no deeper are skipped without a step in Python for each.
SKIPPED_LEVELS = 4

_SPACE = re.compile(r"[ \t\r\n]*")
# A string without its end goes on to the end of the document, so that it is scanned only once.
_STRING = r'"[^"\\]*+(?:\\.[^"\\]*+)*+(?:"|\\?\Z)'
_NAME = re.compile(_STRING, re.DOTALL)
_SCALAR = re.compile(rf"{_STRING}|[^\[\]{{}},]++", re.DOTALL)


def _parts_pattern(levels: int) -> str:
    """Return a pattern for text without brackets, or a list or object with `levels` levels."""
    plain = rf'[^"\[\]{{}}]++|{_STRING}'
    if not levels:
        return rf"(?:{plain})"
    return rf"(?:{plain}|[\[{{]{_parts_pattern(levels - 1)}*+[\]}}])"


# Groups 1 and 2 are the opening and the closing brackets that do not match within a run.
_RUN = re.compile(
    rf"{_parts_pattern(SKIPPED_LEVELS)}{{1,{PARTS_PER_RUN}}}+|([\[{{]++)|([\]}}]++)", re.DOTALL
)


def loads(
    data: bytes, containers: Collection[str], pause: Callable[[], None] = lambda: None
) -> Any:
    """Return the decoded document; raises `orjson.JSONDecodeError`.

    If it cannot be read as a whole, the elements of lists and the members named in `containers` are
    read one by one. Other members that cannot be read become None. `pause` is called now and then
    while a part of unusual form is skipped, so that others can run.
    """
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError:
        text = data.decode("utf-8", "surrogateescape")
    try:
        return _PartReader(text, containers, pause).read()
    except RecursionError as error:
        raise _malformed("the document is nested too deeply") from error


class _PartReader:
    """Reads a document part by part; `position` is that of the next character."""

    def __init__(self, text: str, containers: Collection[str], pause: Callable[[], None]):
        self.text = text
        self.containers = containers
        self.pause = pause
        self.position = 0

    def read(self) -> Any:
        """Return the document, a list or an object."""
        if self._next() not in ("[", "{"):
            raise _malformed("the document is not JSON")
        document = self._read_container()
        if self._next():
            raise _malformed("the document goes on after its end")
        return document

    def _read_container(self) -> Any:
        """Read a list or an object whose parts are read one by one."""
        return self._read_list() if self._next() == "[" else self._read_object()

    def _read_list(self) -> list[Any]:
        elements: list[Any] = []
        self._expect("[")
        while self._next() != "]":
            if elements:
                self._expect(",")
            elements.append(self._read_part(self._next() in ("[", "{")))
        self._expect("]")
        return elements

    def _read_object(self) -> dict[str, Any]:
        members: dict[str, Any] = {}
        self._expect("{")
        while self._next() != "}":
            if members:
                self._expect(",")
            name = self._read_name()
            self._expect(":")
            members[name] = self._read_part(name in self.containers)
        self._expect("}")
        return members

    def _read_name(self) -> str:
        self._next()
        found = _NAME.match(self.text, self.position)
        if found is None:
            raise _malformed("a member has no name")
        self.position = found.end()
        name: str = orjson.loads(_encode(found.group()))
        return name

    def _read_part(self, is_container: bool) -> Any:
        """Read a value; one that cannot be read becomes None."""
        if is_container and self._next() in ("[", "{"):
            return self._read_container()
        self._next()
        start = self.position
        self.position = self._end_of_value(start)
        try:
            return orjson.loads(_encode(self.text[start : self.position]))
        except orjson.JSONDecodeError:
            return None

    def _end_of_value(self, start: int) -> int:
        """Return where a value ends, by its brackets and strings alone."""
        if self.text[start : start + 1] not in ("[", "{"):
            scalar = _SCALAR.match(self.text, start)
            return scalar.end() if scalar is not None else start
        depth = 1
        for count, run in enumerate(_RUN.finditer(self.text, start + 1), 1):
            if count % RUNS_PER_PAUSE == 0:
                self.pause()
            opening, closing = run.span(1), run.span(2)
            if closing[1] - closing[0] >= depth:
                return closing[0] + depth
            depth += opening[1] - opening[0] - (closing[1] - closing[0])
        raise _malformed("the document is incomplete")

    def _next(self) -> str:
        """Skip white space and return the next character, empty at the end."""
        found = _SPACE.match(self.text, self.position)
        assert found is not None
        self.position = found.end()
        return self.text[self.position : self.position + 1]

    def _expect(self, symbol: str) -> None:
        if self._next() != symbol:
            raise _malformed(f"{symbol!r} is missing")
        self.position += 1


def _encode(text: str) -> bytes:
    return text.encode("utf-8", "surrogateescape")


def _malformed(message: str) -> orjson.JSONDecodeError:
    return orjson.JSONDecodeError(message, "", 0)
