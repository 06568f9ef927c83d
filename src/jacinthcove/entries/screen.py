"""Which objects of the shared store this router keeps, whoever wrote them.

Every object passes here before it is kept, whether a list, a watch or another router brought it. An
odd one, which names nothing that a router may use, costs a counter and at most one log line. Of the
others only what routers read is kept, up to a limit for each kind.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

import orjson
import structlog

from jacinthcove.clock import Clock, SystemClock
from jacinthcove.observe.metrics import Metrics
from jacinthcove.store.encodedjson import EncodedJson, encode_json
from jacinthcove.store.kinds import Change, KindObject

log = structlog.get_logger()

DEFAULT_VALUE_BYTES = 1024 * 1024
DEFAULT_KEPT_BYTES = 10 * 1024 * 1024
# What an object takes beside its name and its values.
OBJECT_OVERHEAD_BYTES = 500
MAX_NAME_CHARS = 1_000
# Odd objects of one kind that are logged in a period; the others are only counted.
MAX_LOGGED = 20
LOG_PERIOD_MS = 60_000
MAX_LOGGED_CHARS = 80
NO_ROOM = "the kind has no room for more objects"


def keep_whole(item: KindObject) -> KindObject:
    """Return an object as it is."""
    return item


@dataclass(frozen=True)
class KindRule:
    """What is kept of the objects of a kind.

    `reduce` returns what routers read of an object, and raises `ValueError` or `TypeError` if it is
    odd. Objects of other names than `names`, if any, are odd, too. Values of more than
    `max_value_bytes` are not decoded. All objects together take `kept_bytes` at most.
    """

    reduce: Callable[[KindObject], KindObject] = keep_whole
    max_value_bytes: int = DEFAULT_VALUE_BYTES
    kept_bytes: int = DEFAULT_KEPT_BYTES
    names: frozenset[str] = frozenset()


def object_bytes(item: KindObject) -> int:
    """Return about how much memory an object takes while its values are kept as JSON."""
    values = len(encode_json(item.spec)) + len(encode_json(item.status))
    return values + len(item.name) + OBJECT_OVERHEAD_BYTES


def odd_change(item: KindObject) -> Change:
    """Return the change to an odd object, of which only the name is kept."""
    return Change(KindObject(item.name, item.revision, None), True, odd=True)


class ObjectScreen:
    """Applies the rules of all kinds; a kind without one has the default rule."""

    def __init__(
        self,
        rules: Mapping[str, KindRule] | None = None,
        metrics: Metrics | None = None,
        clock: Clock | None = None,
    ):
        self.rules = rules or {}
        self.metrics = metrics or Metrics()
        self.clock = clock or SystemClock()
        # When the log period of each kind ends, and how many lines it has had.
        self.log_period_ends_at: dict[str, int] = {}
        self.logged: dict[str, int] = {}

    def rule(self, kind: str) -> KindRule:
        """Return the rule of a kind."""
        return self.rules.get(kind, KindRule())

    def admit(self, kind: str, item: KindObject) -> KindObject | None:
        """Return what is kept of an object, with its values decoded; None if it is odd."""
        rule = self.rule(kind)
        try:
            if len(item.name) > MAX_NAME_CHARS:
                raise ValueError(f"its name has {len(item.name)} characters")
            if rule.names and item.name not in rule.names:
                raise ValueError("routers read no object of this name")
            spec = _decode(item.spec, rule.max_value_bytes)
            return rule.reduce(
                replace(item, spec=spec, status=_decode(item.status, rule.max_value_bytes))
            )
        except (TypeError, ValueError) as error:
            self.record_odd(kind, item.name, str(error))
            return None

    def admit_change(self, kind: str, change: Change) -> Change:
        """Return what is kept of a change."""
        if change.deleted:
            return Change(KindObject(change.object.name, change.object.revision, None), True)
        item = self.admit(kind, change.object)
        return odd_change(change.object) if item is None else Change(item, False)

    def record_odd(self, kind: str, name: str, reason: str) -> None:
        """Count an object that is not kept, and log it unless many were logged lately."""
        self.metrics.counter("store_objects_odd_total", kind=kind).add()
        now = self.clock.boot()
        if now >= self.log_period_ends_at.get(kind, 0):
            self.log_period_ends_at[kind], self.logged[kind] = now + LOG_PERIOD_MS, 0
        self.logged[kind] += 1
        if self.logged[kind] <= MAX_LOGGED:
            shown = name[:MAX_LOGGED_CHARS]
            log.warning("store_object_odd", kind=kind, name=shown, reason=reason[:200])


def _decode(value: Any, max_bytes: int) -> Any:
    """Decode a value that is still encoded; one that is too large or unreadable becomes None."""
    if not isinstance(value, EncodedJson):
        return value
    if len(value.data) > max_bytes:
        return None
    try:
        return orjson.loads(value.data)
    except orjson.JSONDecodeError:
        return None


class KeptList:
    """Collects the objects of a list while they take no more than the rule of their kind allows."""

    def __init__(self, screen: ObjectScreen, kind: str):
        self.screen = screen
        self.kind = kind
        self.objects: list[KindObject] = []
        self.kept_bytes = 0

    def add(self, item: KindObject) -> None:
        """Keep an object unless it is odd or the kind takes too much memory already."""
        kept = self.screen.admit(self.kind, item)
        if kept is None:
            return
        size = object_bytes(kept)
        if self.kept_bytes + size > self.screen.rule(self.kind).kept_bytes:
            self.screen.record_odd(self.kind, item.name, NO_ROOM)
            return
        self.kept_bytes += size
        self.objects.append(kept)
