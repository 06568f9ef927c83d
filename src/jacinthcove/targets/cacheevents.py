"""Reads the prefix-cache events of an engine, which may arrive late or get lost."""

from dataclasses import dataclass
from typing import Any

import orjson

from jacinthcove.targets.affinity import PrefixAffinity

STORED = "stored"
EVICTED = "evicted"


@dataclass(frozen=True)
class CacheEvent:
    """One event; `sequence` counts the events since the engine started."""

    sequence: int
    kind: str
    prefix_key: str


@dataclass(frozen=True)
class CacheEvents:
    """The response to `GET /cache-events`."""

    boot_id: str
    events: tuple[CacheEvent, ...]


def decode_events(body: bytes) -> CacheEvents:
    """Decode a response body; raises `ValueError` if it is malformed."""
    try:
        data: Any = orjson.loads(body)
        events = tuple(
            CacheEvent(int(item["seq"]), str(item["kind"]), str(item["prefix_key"]))
            for item in data["events"]
        )
        return CacheEvents(str(data["boot_id"]), events)
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise ValueError(f"malformed cache events: {error!r}") from error


class CacheEventReader:
    """Applies new events to a `PrefixAffinity`; a lost event costs at most one cache miss."""

    def __init__(self, affinity: PrefixAffinity):
        self.affinity = affinity
        self.boot_id = ""
        self.sequence = 0

    def next_path(self) -> str:
        """Return the request path for the events after the last one that was applied."""
        return f"/cache-events?after={self.sequence}"

    def apply_response(self, body: bytes) -> None:
        """Apply the response to a poll; raises `ValueError` if it is malformed."""
        reply = decode_events(body)
        if reply.boot_id != self.boot_id:
            # The sequence restarts with each start of the engine.
            restarted = bool(self.boot_id)
            self.boot_id, self.sequence = reply.boot_id, 0
            if restarted:
                return
        for event in sorted(reply.events, key=lambda item: item.sequence):
            if event.sequence > self.sequence:
                self._apply(event)

    def _apply(self, event: CacheEvent) -> None:
        self.sequence = event.sequence
        if event.kind == STORED:
            self.affinity.add_prefix(event.prefix_key)
        elif event.kind == EVICTED:
            self.affinity.remove_prefix(event.prefix_key)
