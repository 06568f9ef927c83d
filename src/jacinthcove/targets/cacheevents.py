"""Prefix-cache events of an engine, which arrive late and with gaps."""

from dataclasses import dataclass
from typing import Any

import orjson

from jacinthcove.targets.affinity import PrefixAffinity

STORED = "stored"
EVICTED = "evicted"


@dataclass(frozen=True)
class CacheEvent:
    """One event; `sequence` rises by one with each event of an engine's life."""

    sequence: int
    kind: str
    prefix_key: str


@dataclass(frozen=True)
class CacheEvents:
    """The answer to `GET /cache-events`."""

    boot_id: str
    events: tuple[CacheEvent, ...]


def decode_events(body: bytes) -> CacheEvents:
    """Decode cache events; raises `ValueError` for anything else."""
    try:
        data: Any = orjson.loads(body)
        events = tuple(
            CacheEvent(int(item["seq"]), str(item["kind"]), str(item["prefix_key"]))
            for item in data["events"]
        )
        return CacheEvents(str(data["boot_id"]), events)
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise ValueError(f"malformed cache events: {error!r}") from error


class CacheEventFollower:
    """Applies events to an affinity; a lost event costs at most one cache miss."""

    def __init__(self, affinity: PrefixAffinity):
        self.affinity = affinity
        self.boot_id = ""
        self.sequence = 0

    def path(self) -> str:
        """Return the path of the next poll."""
        return f"/cache-events?after={self.sequence}"

    def take(self, body: bytes) -> None:
        """Apply the answer to a poll; raises `ValueError` if it is malformed."""
        answer = decode_events(body)
        if answer.boot_id != self.boot_id:
            # The sequence begins anew with each life of the engine.
            restarted = bool(self.boot_id)
            self.boot_id, self.sequence = answer.boot_id, 0
            if restarted:
                return
        for event in sorted(answer.events, key=lambda item: item.sequence):
            if event.sequence > self.sequence:
                self._apply(event)

    def _apply(self, event: CacheEvent) -> None:
        self.sequence = event.sequence
        if event.kind == STORED:
            self.affinity.learn(event.prefix_key)
        elif event.kind == EVICTED:
            self.affinity.evict(event.prefix_key)
