"""What this router keeps of the objects in the platform's store, kind by kind."""

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from jacinthcove.entries.screen import KindRule
from jacinthcove.platform.decode import decode_rollout, decode_target
from jacinthcove.platform.followers import CONFIG_NAME
from jacinthcove.platform.names import (
    CONFIG_KIND,
    DRAINED_DOMAINS_KIND,
    QUARANTINE_KIND,
    ROLLOUTS_KIND,
    ROUTERS_KIND,
    TARGETS_KIND,
)
from jacinthcove.platform.quarantinestore import decode_parts
from jacinthcove.store.kinds import KindObject

MIB = 1024 * 1024
# The largest configuration is the largest object that the store takes.
CONFIG_BYTES = 1 * MIB
# A value of another kind, which takes up to 25 times as much once it is decoded.
VALUE_BYTES = 64 * 1024
# The parts of the memory for what is kept of a kind, as JSON. 10,000 targets take about 8 MiB, and
# what routers derive from a target takes several times as much.
TARGETS_MEMORY_FRACTION = 1 / 24
OTHERS_MEMORY_FRACTION = 1 / 96
# Texts in the fields that routers read.
MAX_TEXT_CHARS = 1_000
_TARGET_FIELDS = (
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "cold_left_ms",
    "born",
)
_ROLLOUT_FIELDS = ("service", "to", "duration_s")
_STATUS_FIELDS = ("state", "to", "share")
_ROUTER_FIELDS = ("mesh", "domain")


def kind_rules(memory_mb: int) -> Mapping[str, KindRule]:
    """Return the rules of a router with so much memory."""
    targets_bytes = int(memory_mb * MIB * TARGETS_MEMORY_FRACTION)
    others_bytes = int(memory_mb * MIB * OTHERS_MEMORY_FRACTION)
    return {
        CONFIG_KIND: KindRule(
            _reduce_config, CONFIG_BYTES, 2 * CONFIG_BYTES, frozenset((CONFIG_NAME,))
        ),
        TARGETS_KIND: KindRule(_reduce_target, VALUE_BYTES, targets_bytes),
        DRAINED_DOMAINS_KIND: KindRule(_reduce_drain, VALUE_BYTES, others_bytes),
        ROLLOUTS_KIND: KindRule(_reduce_rollout, VALUE_BYTES, others_bytes),
        QUARANTINE_KIND: KindRule(_reduce_combination, VALUE_BYTES, others_bytes),
        ROUTERS_KIND: KindRule(_reduce_router, VALUE_BYTES, others_bytes),
    }


def _fields(value: Any, names: tuple[str, ...]) -> dict[str, Any]:
    """Return the members of a value that routers read; raises `ValueError` for a long text."""
    if not isinstance(value, dict):
        raise ValueError("the entry is not an object")
    found = {name: value[name] for name in names if name in value}
    for name, member in found.items():
        if isinstance(member, str) and len(member) > MAX_TEXT_CHARS:
            raise ValueError(f"{name} has {len(member)} characters")
    return found


def _reduce_config(item: KindObject) -> KindObject:
    return replace(item, status=None)


def _reduce_target(item: KindObject) -> KindObject:
    spec = _fields(item.spec, _TARGET_FIELDS)
    decode_target(item.name, spec)
    return replace(item, spec=spec, status=None)


def _reduce_drain(item: KindObject) -> KindObject:
    return replace(item, spec=None, status=None)


def _reduce_rollout(item: KindObject) -> KindObject:
    status = _fields(item.status, _STATUS_FIELDS) if isinstance(item.status, dict) else None
    reduced = replace(item, spec=_fields(item.spec, _ROLLOUT_FIELDS), status=status)
    decode_rollout(reduced)
    return reduced


def _reduce_combination(item: KindObject) -> KindObject:
    return replace(item, spec={"parts": sorted(decode_parts(item.spec))}, status=None)


def _reduce_router(item: KindObject) -> KindObject:
    return replace(item, spec=_fields(item.spec, _ROUTER_FIELDS), status=None)
