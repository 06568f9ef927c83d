"""The options that read the fleet configuration from its YAML form."""

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
    MapOf,
    Option,
    ProblemReport,
    String,
    Timestamp,
    join_path,
)

T = TypeVar("T")

MIN_KEY_LENGTH = 16
SECRET_KEY = String(
    re.compile(rf"[!-~]{{{MIN_KEY_LENGTH},200}}"),
    f"a key of {MIN_KEY_LENGTH} to 200 printable characters without spaces",
)
DEFAULT_STEPS = (MoveStep(0.05, 50), MoveStep(0.25, 200), MoveStep(1.0, 500))


def hash_key(key: str) -> str:
    """Return the hex SHA-256 of a workspace or operator key."""
    return hashlib.sha256(key.encode()).hexdigest()


def _build_with(
    constructor: Callable[..., T],
) -> Callable[[str, ProblemReport, dict[str, Any]], T | None]:
    def build(path: str, report: ProblemReport, values: dict[str, Any]) -> T | None:
        return constructor(**values)

    return build


def _resolve_key_hash(path: str, report: ProblemReport, values: dict[str, Any]) -> str | None:
    key, key_hash = values.pop("key"), values.pop("key_hash")
    if (key is None) == (key_hash is None):
        report.error(join_path(path, "key_hash"), "give either key_hash or key")
        return None
    if key is None:
        return key_hash
    report.warn(
        join_path(path, "key"), f"the file holds a secret; use key_hash: {hash_key(key)} instead"
    )
    return hash_key(key)


def _build_with_key_hash(
    constructor: Callable[..., T],
) -> Callable[[str, ProblemReport, dict[str, Any]], T | None]:
    def build(path: str, report: ProblemReport, values: dict[str, Any]) -> T | None:
        key_hash = _resolve_key_hash(path, report, values)
        return None if key_hash is None else constructor(key_hash=key_hash, **values)

    return build


def _bind_name(name: str, constructor: Callable[..., T]) -> Callable[..., T]:
    return lambda **values: constructor(name=name, **values)


def _workspace_option(name: str) -> Option[Workspace]:
    return Fields(
        {
            "share": Field(Float(exclusive_minimum=0, maximum=1e6), required=True),
            "key": Field(SECRET_KEY),
            "key_hash": Field(KEY_HASH),
            "max_queued": Field(Integer(1, 100_000), 200),
        },
        _build_with_key_hash(_bind_name(name, Workspace)),
    )


def _operator_option(name: str) -> Option[Operator]:
    return Fields(
        {"key": Field(SECRET_KEY), "key_hash": Field(KEY_HASH)},
        _build_with_key_hash(_bind_name(name, Operator)),
    )


def _route_option(name: str) -> Option[Route]:
    return Fields({"idempotent": Field(Boolean(), True)}, _build_with(_bind_name(name, Route)))


def _build_limits(path: str, report: ProblemReport, values: dict[str, Any]) -> Limits | None:
    if values["cold"] > values["max"]:
        report.error(join_path(path, "cold"), f"{values['cold']} is above max, {values['max']}")
        return None
    return Limits(cold=values["cold"], max=values["max"], stall_ms=values["stall"])


LIMITS: Option[Limits] = Fields(
    {
        "cold": Field(Integer(1, 10_000), Limits.cold),
        "max": Field(Integer(1, 10_000), Limits.max),
        "stall": Field(Duration(100, 600_000), Limits.stall_ms),
    },
    _build_limits,
)


def _service_option(name: str) -> Option[Service]:
    def build(path: str, report: ProblemReport, values: dict[str, Any]) -> Service:
        routes = tuple(values.pop("routes").values())
        return Service(name=name, routes=routes, **values)

    return Fields(
        {
            "kind": Field(Choice(ServiceKind), required=True),
            "version": Field(NAME, required=True),
            "routes": Field(MapOf(_route_option), {}),
            "limits": Field(LIMITS, Limits()),
            "checks_fencing": Field(Boolean(), True),
        },
        build,
    )


def _failure_domain_option(name: str) -> Option[FailureDomain]:
    return Fields(
        {"region": Field(NAME, "default"), "drained": Field(Boolean(), False)},
        _build_with(_bind_name(name, FailureDomain)),
    )


MOVE_STEP: Option[MoveStep] = Fields(
    {
        "share": Field(Float(exclusive_minimum=0, maximum=1), required=True),
        "min_requests": Field(Integer(0), required=True),
    },
    _build_with(MoveStep),
)


def _move_option(name: str) -> Option[Move]:
    def build(path: str, report: ProblemReport, values: dict[str, Any]) -> Move:
        return Move(
            id=name,
            service=values["service"],
            from_version=values["from"],
            to_version=values["to"],
            start_ms=values["start"],
            deadline_ms=values["deadline"],
            steps=values["steps"],
        )

    return Fields(
        {
            "service": Field(NAME, required=True),
            "from": Field(NAME, required=True),
            "to": Field(NAME, required=True),
            "start": Field(Timestamp(), required=True),
            "deadline": Field(Timestamp(), required=True),
            "steps": Field(ListOf(MOVE_STEP), DEFAULT_STEPS),
        },
        build,
    )


def _build_fleet(path: str, report: ProblemReport, values: dict[str, Any]) -> FleetConfig:
    durations = ("lookup_lifetime", "exchange_period", "pull_threshold")
    durations_ms = {f"{name}_ms": values.pop(name) for name in durations}
    return FleetConfig(**values, **durations_ms)


FLEET_CONFIG: Option[FleetConfig] = Fields(
    {
        "site": Field(NAME, required=True),
        "workspaces": Field(MapOf(_workspace_option), {}),
        "services": Field(MapOf(_service_option), {}),
        "failure_domains": Field(MapOf(_failure_domain_option), {}),
        "moves": Field(MapOf(_move_option), {}),
        "operators": Field(MapOf(_operator_option), {}),
        "fleet_key": Field(SECRET_KEY, ""),
        "lookup_lifetime": Field(Duration(100, 3_600_000), FleetConfig.lookup_lifetime_ms),
        "exchange_period": Field(Duration(100, 60_000), FleetConfig.exchange_period_ms),
        "pull_threshold": Field(Duration(100, 600_000), FleetConfig.pull_threshold_ms),
    },
    _build_fleet,
)
