"""Reads JSON documents of which parts cannot be read, such as lists with one odd object.

Anybody may write objects to a shared store. An object that is nested too deeply, or has a number
that is too large or bytes that are no text, must not hide the others of its list.
"""

import re
from collections.abc import Collection, Iterator
from typing import Any

import orjson

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
_MEMBER = re.compile(rb'\s*("(?:[^"\\]|\\.)*")\s*:', re.DOTALL)
_OPENING = (b"[", b"{")
_CLOSING = (b"]", b"}")


def loads(data: bytes, containers: Collection[str]) -> Any:
    """Return the decoded document; raises `orjson.JSONDecodeError`.

    If it cannot be read as a whole, the elements of lists and the members named in `containers` are
    read one by one. Other members that cannot be read become None.
    """
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError:
        text = data.strip()
        if text[:1] not in _OPENING:
            raise
        parts = list(_split(text))
        if text[:1] == b"[":
            return [_read_element(part, containers) for part in parts]
        return dict(_read_member(part, containers) for part in parts)


def _split(text: bytes) -> Iterator[bytes]:
    """Yield the elements of a list or the members of an object; raises `JSONDecodeError`."""
    depth, start, end = 0, 1, 0
    for token in _TOKEN.finditer(text):
        symbol = token.group()
        if symbol in _OPENING:
            depth += 1
        elif symbol in _CLOSING:
            depth -= 1
        if depth == 0 or (depth == 1 and symbol == b","):
            yield text[start : token.start()]
            start = end = token.end()
        if depth == 0:
            break
    if depth or end != len(text):
        raise orjson.JSONDecodeError("the document is incomplete", "", 0)


def _read_element(part: bytes, containers: Collection[str]) -> Any:
    try:
        return loads(part, containers)
    except orjson.JSONDecodeError:
        return None


def _read_member(part: bytes, containers: Collection[str]) -> tuple[str, Any]:
    found = _MEMBER.match(part)
    if found is None:
        raise orjson.JSONDecodeError("a member has no name", "", 0)
    name = orjson.loads(found.group(1))
    value = part[found.end() :]
    if name in containers:
        return name, loads(value, containers)
    try:
        return name, orjson.loads(value)
    except orjson.JSONDecodeError:
        return name, None
