"""Decodes the objects of the platform's store into the product's types."""

import re
from ipaddress import IPv4Address
from typing import Any

import structlog

from jacinthcove.gateway.model import (
    CallerLimits,
    EngineCapacity,
    GatewayService,
    HttpRoute,
    RetrySafety,
    RoutingConfig,
    ScalingBounds,
    ServiceShare,
)
from jacinthcove.gateway.rollouts import Rollout, RolloutState
from jacinthcove.gateway.targetrecord import TargetRecord
from jacinthcove.store.kinds import KindObject

log = structlog.get_logger()

# Larger numbers are not exact in JSON and do not fit into messages between routers.
MAX_NUMBER = 2**53
MAX_DESCRIBED_CHARS = 40
_ID = re.compile(r"[!-~]{1,200}")
_PORT = re.compile(r"[0-9]{1,5}")
_DRAINING_BY_STATE = {"ready": False, "draining": True}
_ROLLOUT_STATE_BY_NAME = {
    "running": RolloutState.RUNNING,
    "completed": RolloutState.COMPLETED,
    "rolled_back": RolloutState.ROLLED_BACK,
}


def decode_target(name: str, spec: Any) -> TargetRecord:
    """Decode the entry of a target; raises `ValueError` if it is malformed."""
    if not isinstance(spec, dict):
        raise ValueError("the entry is not an object")
    state = spec.get("state")
    if not isinstance(state, str) or state not in _DRAINING_BY_STATE:
        raise ValueError(f"unknown state {_describe(state)}")
    if not _ID.fullmatch(name):
        raise ValueError(f"the id cannot be sent in a header: {_describe(name)}")
    address = _text(spec, "address")
    ip, _, port = address.rpartition(":")
    if not _PORT.fullmatch(port) or not 0 < int(port) < 65_536:
        raise ValueError(f"address is not IP:PORT: {_describe(address)}")
    IPv4Address(ip)
    return TargetRecord(
        id=name,
        service=_text(spec, "service"),
        address=address,
        failure_domain=_text(spec, "zone"),
        version=_text(spec, "version"),
        slots=_positive_integer(spec, "slots"),
        leaving=_DRAINING_BY_STATE[state],
        cold_for_ms=round(_number(spec, "cold_left_ms", 0)),
        started_at=decode_started_at(spec) or 0,
    )


def decode_started_at(spec: Any) -> int | None:
    """Return the wall ms of a target's start in what it says of itself, None if it is absent.

    Raises `ValueError` if it is malformed.
    """
    if not isinstance(spec, dict):
        raise ValueError("a target's description is not an object")
    return round(_number(spec, "born", 0)) or None


def decode_rollout(item: KindObject) -> Rollout:
    """Decode a requested version rollout; raises `ValueError` if it is malformed.

    A status that names another version than the spec is left from an earlier rollout and ignored.
    """
    spec, status = item.spec, item.status
    if not isinstance(spec, dict):
        raise ValueError("the entry is not an object")
    to_version = _text(spec, "to")
    current = status if isinstance(status, dict) and status.get("to") == to_version else {}
    named = current.get("state")
    known = _ROLLOUT_STATE_BY_NAME.get(named) if isinstance(named, str) else None
    return Rollout(
        name=item.name,
        service=_text(spec, "service"),
        to_version=to_version,
        duration_ms=round(_number(spec, "duration_s") * 1_000),
        state=known or RolloutState.REQUESTED,
        share=_number(current, "share", 0),
        revision=item.revision,
        created_revision=item.created_revision,
    )


def encode_rollout_status(rollout: Rollout, state: RolloutState, share: float) -> Any:
    """Return the status to store; its field `share` is not defined by the platform but by us."""
    names = {known: name for name, known in _ROLLOUT_STATE_BY_NAME.items()}
    return {"state": names[state], "to": rollout.to_version, "share": share}


def decode_config(spec: Any) -> RoutingConfig:
    """Decode the configuration; a malformed one raises `ValueError`, `KeyError` or `TypeError`."""
    limits = spec.get("limits") or {}
    tenants = spec.get("tenants")
    workspace_by_key = None
    if tenants is not None:
        workspace_by_key = {
            key: item["name"] for item in tenants for key in item.get("api_keys") or ()
        }
    return RoutingConfig(
        version=int(spec["version"]),
        routes=tuple(decode_route(item) for item in spec.get("routes") or ()),
        services={item["name"]: decode_service(item) for item in spec.get("services") or ()},
        limits=_limits(limits),
        workspace_by_key=workspace_by_key,
    )


def decode_route(item: dict[str, Any]) -> HttpRoute:
    """Decode a route; a malformed one raises `ValueError`, `KeyError` or `TypeError`."""
    split = item.get("traffic_split")
    if split:
        shares = tuple(ServiceShare(entry["service"], float(entry["weight"])) for entry in split)
        shares = tuple(share for share in shares if share.weight > 0) or shares
    else:
        shares = (ServiceShare(item["service"], 1.0),)
    return HttpRoute(
        name=str(item.get("name", "")),
        host=item["host"],
        path_prefix=item["path_prefix"],
        retry_safety=RetrySafety(item["kind"]),
        timeout_ms=int(item["timeout_ms"]),
        latency_goal_ms=int(item.get("target_latency_ms") or item["timeout_ms"]),
        services=shares,
        max_attempts=max(1, int(item.get("max_attempts") or 1)),
        anonymous=bool(item.get("anonymous")),
        resumable=bool(item.get("can_resume")),
    )


def decode_service(item: dict[str, Any]) -> GatewayService:
    """Decode a service; a malformed one raises `ValueError`, `KeyError` or `TypeError`."""
    engine = item.get("engine")
    capacity = None
    if engine:
        capacity = EngineCapacity(int(engine["slots"]), int(engine["kv_tokens"]))
    return GatewayService(
        name=item["name"],
        cold_requests_per_s=float(item.get("cold_per_s") or 0),
        cold_ms=round(float(item.get("cold_s") or 0) * 1_000),
        engine=capacity,
        scaling=_scaling(item.get("scaling")),
    )


def _scaling(item: Any) -> ScalingBounds | None:
    """Return the bounds of the engines per failure domain, or None if they are not ordered.

    Malformed bounds order nothing; the routes of the configuration do not depend on them.
    """
    if not item:
        return None
    try:
        bounds = ScalingBounds(
            int(item["min"]), int(item["max"]), round(float(item["boot_time_s"]) * 1_000)
        )
        if not 0 <= bounds.min_engines <= bounds.max_engines <= MAX_NUMBER or bounds.boot_ms < 0:
            raise ValueError("the bounds contradict each other")
    except (KeyError, OverflowError, TypeError, ValueError) as error:
        log.warning("scaling_malformed", reason=repr(error)[:200])
        return None
    return bounds


def _limits(item: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(item.get("max_header_bytes") or default.max_header_bytes),
        max_body_bytes=int(item.get("max_body_bytes") or default.max_body_bytes),
        header_timeout_ms=int(item.get("header_timeout_ms") or default.header_timeout_ms),
        idle_timeout_ms=int(item.get("idle_timeout_ms") or default.idle_timeout_ms),
    )


def _text(spec: dict[str, Any], field: str) -> str:
    value = spec.get(field)
    if not isinstance(value, str) or not value:
        raise ValueError(f"{field} is {_describe(value)}")
    return value


def _number(spec: dict[str, Any], field: str, default: float | None = None) -> float:
    value = spec.get(field, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{field} is {_describe(value)}")
    if not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"{field} is {value}")
    return float(value)


def _positive_integer(spec: dict[str, Any], field: str) -> int:
    value = _number(spec, field)
    if value < 1 or value != int(value):
        raise ValueError(f"{field} is {value!r}")
    return int(value)


def _describe(value: Any) -> str:
    """Return a value for an error message; of lists and objects, which may be deep, the type."""
    if isinstance(value, list | dict):
        return f"a {type(value).__name__}"
    return repr(value)[:MAX_DESCRIBED_CHARS]
