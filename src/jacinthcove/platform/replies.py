"""Reads the objects in the store's responses while their bytes come in."""

from collections.abc import Callable, Mapping
from typing import Any

import orjson

from jacinthcove.entries.scanner import JsonScanner, MalformedTextError
from jacinthcove.store import lenientjson
from jacinthcove.store.encodedjson import EncodedJson
from jacinthcove.store.kinds import KindObject

# Members of responses whose own members are read one by one if the response has an unreadable part.
CONTAINERS = frozenset(("items", "events", "object", "metadata"))
# Members of a response that hold its objects.
LISTS = frozenset(("items", "events"))
# Members of an object that it may be without.
VALUES = frozenset(("spec", "status"))
# An object of a list is decoded as a whole up to this size; of a larger one, each member by itself.
MAX_WHOLE_BYTES = 16_384
# What the name of an object may take; other members are numbers.
MAX_SCALAR_BYTES = 64 * 1024


def decode_object(data: Any) -> KindObject:
    """Return an object; raises `KeyError`, `TypeError` or `ValueError` if it is malformed."""
    metadata = data["metadata"]
    return KindObject(
        str(metadata["name"]),
        int(metadata["revision"]),
        data.get("spec"),
        data.get("status"),
        int(metadata.get("created_rev") or 0),
    )


class ObjectsReader:
    """Reads a response with many objects; `on_part` gets each object or event.

    Values of large objects are `EncodedJson`, or None if they are above `max_value_bytes`.
    """

    def __init__(
        self,
        read: Callable[[], bytes],
        max_value_bytes: int,
        on_part: Callable[[Any], None],
    ):
        self.scanner = JsonScanner(read)
        self.max_value_bytes = max_value_bytes
        self.on_part = on_part

    def read(self) -> Mapping[str, Any]:
        """Return the members beside the objects; raises `MalformedTextError`."""
        found: dict[str, Any] = {}
        for name in self.scanner.members():
            if name in LISTS and self.scanner.peek() == b"[":
                for _ in self.scanner.elements():
                    self.on_part(self._part())
                found[name] = True
            else:
                found[name] = self._scalar()
        self.scanner.finish()
        return found

    def _part(self) -> Any:
        text = self.scanner.short_value(MAX_WHOLE_BYTES)
        if text is not None:
            return _decode_whole(text)
        return self._members() if self.scanner.peek() == b"{" else self._scalar()

    def _members(self) -> Mapping[str, Any]:
        members: dict[str, Any] = {}
        for name in self.scanner.members():
            if name in CONTAINERS and self.scanner.peek() == b"{":
                members[name] = self._members()
            elif name in VALUES:
                members[name] = self._value()
            else:
                members[name] = self._scalar()
        return members

    def _value(self) -> Any:
        """Return a value that is decoded once its object is known to be read."""
        text = self.scanner.value(self.max_value_bytes)
        return None if text is None else EncodedJson(text)

    def _scalar(self) -> Any:
        """Return a number or a text; of lists and objects, None."""
        is_container = self.scanner.peek() in (b"[", b"{")
        text = self.scanner.value(0 if is_container else MAX_SCALAR_BYTES)
        try:
            return None if text is None else orjson.loads(text)
        except orjson.JSONDecodeError:
            return None


def _decode_whole(text: bytes) -> Any:
    try:
        return lenientjson.loads(text, CONTAINERS)
    except orjson.JSONDecodeError as error:
        raise MalformedTextError(f"an object is not JSON: {error}") from error
