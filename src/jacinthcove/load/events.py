"""Parser for streams of server-sent events."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol


class LineReader(Protocol):
    """Response body that is read by line; an empty result means its end."""

    def readline(self, sep: bytes) -> bytes:
        """Return the next line including its separator."""


@dataclass(frozen=True)
class ServerEvent:
    """One event; `kind` is its event type, `message` by default."""

    kind: str
    id: str
    data: str


def read_events(response: LineReader) -> Iterator[ServerEvent]:
    """Yield the events of a response and skip comment lines.

    An event without its closing blank line is incomplete and is not yielded.
    """
    kind, event_id, data = "message", "", ""
    while line := bytes(response.readline(b"\n")):
        text = line.decode().rstrip("\r\n")
        name, _, value = text.partition(":")
        value = value.removeprefix(" ")
        if not text:
            if data or kind != "message":
                yield ServerEvent(kind, event_id, data)
            kind, event_id, data = "message", "", ""
        elif name == "event":
            kind = value
        elif name == "id":
            event_id = value
        elif name == "data":
            data = f"{data}\n{value}" if data else value
