"""Decodes a routing configuration that is not sent yet, and reports all malformed entries."""

from collections import Counter
from collections.abc import Callable
from typing import Any, TypeVar

from jacinthcove.config.options import ProblemReport, describe, join_path, suggestion
from jacinthcove.gateway.model import RoutingConfig
from jacinthcove.platform.decode import decode_config, decode_route, decode_service

T = TypeVar("T")

# The fields that the platform defines; routers ignore others, so a misspelt one has no effect.
CONFIG_FIELDS = ("version", "routes", "services", "limits", "tenants")
ROUTE_FIELDS = (
    "name",
    "host",
    "path_prefix",
    "kind",
    "timeout_ms",
    "target_latency_ms",
    "gap_aim_ms",
    "priority",
    "service",
    "traffic_split",
    "max_attempts",
    "anonymous",
    "sticky",
    "can_resume",
    "allowed_regions",
)
SERVICE_FIELDS = (
    "name",
    "health_path",
    "max_conns",
    "protocol",
    "tls",
    "cold_s",
    "cold_per_s",
    "engine",
    "scaling",
)
LIMIT_FIELDS = (
    "max_header_bytes",
    "max_body_bytes",
    "header_timeout_ms",
    "idle_timeout_ms",
    "tokens_per_s",
)
TENANT_FIELDS = ("name", "api_keys", "priority", "rate_per_s", "allowed_regions")
_MALFORMED = (ValueError, KeyError, TypeError, AttributeError)


def decode_draft(spec: Any, report: ProblemReport) -> RoutingConfig | None:
    """Return the configuration, or None after all errors of its entries were reported."""
    if not isinstance(spec, dict):
        report.error("", f"expected an object, found {describe(spec)}")
        return None
    _check_fields(spec, "", CONFIG_FIELDS, report)
    _check_fields(spec.get("limits") or {}, "limits", LIMIT_FIELDS, report)
    routes = _entries(spec, "routes", ROUTE_FIELDS, decode_route, report)
    services = _entries(spec, "services", SERVICE_FIELDS, decode_service, report)
    _check_unique("routes", [route.name for route in routes], report)
    _check_unique("services", [service.name for service in services], report)
    _check_tenants(spec.get("tenants"), report)
    if report.errors:
        return None
    try:
        return decode_config(spec)
    except _MALFORMED as error:
        report.error("", f"cannot be read: {_reason(error)}")
        return None


def _entries(
    spec: dict[str, Any],
    section: str,
    fields: tuple[str, ...],
    decode: Callable[[Any], T],
    report: ProblemReport,
) -> list[T]:
    items = spec.get(section) or []
    if not isinstance(items, list):
        report.error(section, f"expected a list, found {describe(items)}")
        return []
    found = []
    for number, item in enumerate(items):
        path = f"{section}[{number}]"
        if not isinstance(item, dict):
            report.error(path, f"expected an object, found {describe(item)}")
            continue
        _check_fields(item, path, fields, report)
        try:
            found.append(decode(item))
        except _MALFORMED as error:
            report.error(path, f"cannot be read: {_reason(error)}")
    return found


def _reason(error: Exception) -> str:
    return f"{error.args[0]} is missing" if isinstance(error, KeyError) else str(error)


def _check_fields(item: Any, path: str, known: tuple[str, ...], report: ProblemReport) -> None:
    if not isinstance(item, dict):
        report.error(path, f"expected an object, found {describe(item)}")
        return
    for name in item:
        if name not in known:
            hint = suggestion(name, list(known))
            report.warn(join_path(path, name), f"is not known, so it has no effect{hint}")


def _check_unique(section: str, names: list[str], report: ProblemReport) -> None:
    for name, count in Counter(names).items():
        if count > 1:
            report.error(join_path(section, name), f"is listed {count} times")


def _check_tenants(tenants: Any, report: ProblemReport) -> None:
    """Report workspaces that cannot be read, and keys that two of them hold."""
    if tenants is None:
        return
    if not isinstance(tenants, list):
        report.error("tenants", f"expected a list, found {describe(tenants)}")
        return
    owners: dict[str, str] = {}
    names = []
    for number, item in enumerate(tenants):
        path = f"tenants[{number}]"
        name = item.get("name") if isinstance(item, dict) else None
        if not isinstance(name, str) or not name:
            report.error(path, "needs a name")
            continue
        names.append(name)
        _check_fields(item, path, TENANT_FIELDS, report)
        keys = item.get("api_keys") or []
        if not isinstance(keys, list) or not all(isinstance(key, str) and key for key in keys):
            report.error(join_path(path, "api_keys"), "expected a list of texts")
            continue
        if not keys:
            report.warn(path, f"{name!r} has no key, so it can send nothing that needs one")
        for key in keys:
            other = owners.setdefault(key, name)
            if other != name:
                report.error(join_path(path, "api_keys"), f"{name!r} holds a key of {other!r}")
    _check_unique("tenants", names, report)
