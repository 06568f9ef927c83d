"""The options of the fleet configuration as they appear in files."""

import hashlib
import re
from collections.abc import Callable
from typing import Any, TypeVar

from jacinthcove.config.model import (
    FailureDomain,
    FleetConfig,
    Limits,
    Move,
    MoveStep,
    Operator,
    Route,
    Service,
    ServiceKind,
    Workspace,
)
from jacinthcove.config.options import (
    KEY_HASH,
    NAME,
    Boolean,
    Choice,
    Duration,
    Field,
    Fields,
    Float,
    Integer,
    ListOf,
    Named,
    Option,
    Report,
    String,
    Time,
    join,
)

T = TypeVar("T")

MIN_KEY_LENGTH = 16
KEY = String(
    re.compile(rf"[!-~]{{{MIN_KEY_LENGTH},200}}"),
    f"a key of {MIN_KEY_LENGTH} to 200 printable characters without spaces",
)
DEFAULT_STEPS = (MoveStep(0.05, 50), MoveStep(0.25, 200), MoveStep(1.0, 500))


def hash_key(key: str) -> str:
    """Return the hex SHA-256 of a workspace or operator key."""
    return hashlib.sha256(key.encode()).hexdigest()


def _builder(make: Callable[..., T]) -> Callable[[str, Report, dict[str, Any]], T | None]:
    def build(path: str, report: Report, parts: dict[str, Any]) -> T | None:
        return make(**parts)

    return build


def _key_hash(path: str, report: Report, parts: dict[str, Any]) -> str | None:
    key, key_hash = parts.pop("key"), parts.pop("key_hash")
    if (key is None) == (key_hash is None):
        report.error(join(path, "key_hash"), "give either key_hash or key")
        return None
    if key is None:
        return key_hash
    report.warn(
        join(path, "key"), f"the file holds a secret; use key_hash: {hash_key(key)} instead"
    )
    return hash_key(key)


def _keyed(make: Callable[..., T]) -> Callable[[str, Report, dict[str, Any]], T | None]:
    def build(path: str, report: Report, parts: dict[str, Any]) -> T | None:
        key_hash = _key_hash(path, report, parts)
        return None if key_hash is None else make(key_hash=key_hash, **parts)

    return build


def _fixed(name: str, make: Callable[..., T]) -> Callable[..., T]:
    return lambda **parts: make(name=name, **parts)


def _workspace(name: str) -> Option[Workspace]:
    return Fields(
        {
            "share": Field(Float(above=0, maximum=1e6), required=True),
            "key": Field(KEY),
            "key_hash": Field(KEY_HASH),
            "max_queued": Field(Integer(1, 100_000), 200),
        },
        _keyed(_fixed(name, Workspace)),
    )


def _operator(name: str) -> Option[Operator]:
    return Fields({"key": Field(KEY), "key_hash": Field(KEY_HASH)}, _keyed(_fixed(name, Operator)))


def _route(name: str) -> Option[Route]:
    return Fields({"idempotent": Field(Boolean(), True)}, _builder(_fixed(name, Route)))


def _limits(path: str, report: Report, parts: dict[str, Any]) -> Limits | None:
    if parts["cold"] > parts["max"]:
        report.error(join(path, "cold"), f"{parts['cold']} is above max, {parts['max']}")
        return None
    return Limits(cold=parts["cold"], max=parts["max"], stall_ms=parts["stall"])


LIMITS: Option[Limits] = Fields(
    {
        "cold": Field(Integer(1, 10_000), Limits.cold),
        "max": Field(Integer(1, 10_000), Limits.max),
        "stall": Field(Duration(100, 600_000), Limits.stall_ms),
    },
    _limits,
)


def _service(name: str) -> Option[Service]:
    def build(path: str, report: Report, parts: dict[str, Any]) -> Service:
        routes = tuple(parts.pop("routes").values())
        return Service(name=name, routes=routes, **parts)

    return Fields(
        {
            "kind": Field(Choice(ServiceKind), required=True),
            "version": Field(NAME, required=True),
            "routes": Field(Named(_route), {}),
            "limits": Field(LIMITS, Limits()),
            "checks_fencing": Field(Boolean(), True),
        },
        build,
    )


def _failure_domain(name: str) -> Option[FailureDomain]:
    return Fields(
        {"region": Field(NAME, "default"), "drained": Field(Boolean(), False)},
        _builder(_fixed(name, FailureDomain)),
    )


STEP: Option[MoveStep] = Fields(
    {
        "share": Field(Float(above=0, maximum=1), required=True),
        "min_requests": Field(Integer(0), required=True),
    },
    _builder(MoveStep),
)


def _move(name: str) -> Option[Move]:
    def build(path: str, report: Report, parts: dict[str, Any]) -> Move:
        return Move(
            id=name,
            service=parts["service"],
            from_version=parts["from"],
            to_version=parts["to"],
            start_ms=parts["start"],
            deadline_ms=parts["deadline"],
            steps=parts["steps"],
        )

    return Fields(
        {
            "service": Field(NAME, required=True),
            "from": Field(NAME, required=True),
            "to": Field(NAME, required=True),
            "start": Field(Time(), required=True),
            "deadline": Field(Time(), required=True),
            "steps": Field(ListOf(STEP), DEFAULT_STEPS),
        },
        build,
    )


def _fleet(path: str, report: Report, parts: dict[str, Any]) -> FleetConfig:
    durations = ("lookup_lifetime", "exchange_period", "pull_threshold")
    values = {f"{name}_ms": parts.pop(name) for name in durations}
    return FleetConfig(**parts, **values)


FLEET: Option[FleetConfig] = Fields(
    {
        "site": Field(NAME, required=True),
        "workspaces": Field(Named(_workspace), {}),
        "services": Field(Named(_service), {}),
        "failure_domains": Field(Named(_failure_domain), {}),
        "moves": Field(Named(_move), {}),
        "operators": Field(Named(_operator), {}),
        "fleet_key": Field(KEY, ""),
        "lookup_lifetime": Field(Duration(100, 3_600_000), FleetConfig.lookup_lifetime_ms),
        "exchange_period": Field(Duration(100, 60_000), FleetConfig.exchange_period_ms),
        "pull_threshold": Field(Duration(100, 600_000), FleetConfig.pull_threshold_ms),
    },
    _fleet,
)
