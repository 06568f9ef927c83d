"""Finds entries that can never match and limits that contradict each other."""

from jacinthcove.config.options import ProblemReport, join_path, suggestion
from jacinthcove.gateway.model import CallerLimits, HttpRoute, RetrySafety, RoutingConfig


def check_routing(config: RoutingConfig, report: ProblemReport) -> None:
    """Report the problems that concern several fields or entries of a configuration."""
    for route in config.routes:
        _check_address(route, report)
        _check_services(route, config, report)
        _check_times(route, report)
        _check_resumable(route, report)
    _check_shadowed(config, report)
    _check_unused_services(config, report)
    _check_workspaces(config, report)
    _check_limits(config.limits, report)
    _check_engines(config, report)


def route_path(route: HttpRoute) -> str:
    """Return the path of a route in problems and differences."""
    return join_path("routes", route.name)


def _check_address(route: HttpRoute, report: ProblemReport) -> None:
    path = route_path(route)
    if not route.host or any(char in route.host for char in "/ \t"):
        report.error(join_path(path, "host"), f"{route.host!r} is no host, so nothing matches")
    prefix = route.path_prefix
    if not prefix.startswith("/") or not prefix.endswith("/"):
        report.error(join_path(path, "prefix"), f"{prefix!r} must begin and end with a slash")
    elif any(char in prefix for char in "?# \t"):
        report.error(join_path(path, "prefix"), f"{prefix!r} never occurs in a path")


def _check_services(route: HttpRoute, config: RoutingConfig, report: ProblemReport) -> None:
    path = join_path(route_path(route), "services")
    for share in route.services:
        if share.service not in config.services:
            hint = suggestion(share.service, list(config.services))
            report.error(path, f"{share.service!r} is not configured{hint}")
        if share.weight < 0:
            report.error(path, f"the weight of {share.service!r} is below 0")
    names = [share.service for share in route.services]
    for name in sorted({name for name in names if names.count(name) > 1}):
        report.warn(path, f"{name!r} is listed more than once; the weights add up")
    if sum(share.weight for share in route.services) <= 0:
        report.error(path, "the weights add up to 0, so no request can be sent")


def _check_times(route: HttpRoute, report: ProblemReport) -> None:
    path = route_path(route)
    if route.timeout_ms <= 0:
        report.error(join_path(path, "timeout_ms"), f"{route.timeout_ms} is not above 0")
    elif route.latency_goal_ms > route.timeout_ms:
        report.warn(
            join_path(path, "latency_goal_ms"),
            f"{route.latency_goal_ms} is above the timeout of {route.timeout_ms}",
        )


def _check_resumable(route: HttpRoute, report: ProblemReport) -> None:
    if route.resumable and route.retry_safety is not RetrySafety.STREAM:
        path = join_path(route_path(route), "resumable")
        report.warn(path, "has no effect, as the route is no stream")


def _check_shadowed(config: RoutingConfig, report: ProblemReport) -> None:
    """Report routes with the address of an earlier one, which takes all of their requests."""
    first: dict[tuple[str, str], str] = {}
    for route in config.routes:
        address = (route.host.lower(), route.path_prefix)
        other = first.setdefault(address, route.name)
        if other != route.name:
            report.error(
                route_path(route),
                f"can never match: {other!r} has the same host and prefix and comes first",
            )


def _check_unused_services(config: RoutingConfig, report: ProblemReport) -> None:
    used = {share.service for route in config.routes for share in route.services if share.weight}
    for name in sorted(config.services.keys() - used):
        report.warn(join_path("services", name), "receives no request: no route leads to it")


def _check_workspaces(config: RoutingConfig, report: ProblemReport) -> None:
    if config.workspace_by_key is None:
        return
    closed = [route.name for route in config.routes if not route.anonymous]
    if closed and not config.workspace_by_key:
        report.error("workspaces", f"no key exists, so nobody may use {', '.join(closed[:3])}")
    if config.workspace_by_key and config.routes and not closed:
        report.warn("workspaces", "the keys have no effect, as all routes are anonymous")


def _check_limits(limits: CallerLimits, report: ProblemReport) -> None:
    if limits.header_timeout_ms > limits.idle_timeout_ms:
        report.warn(
            "limits.header_timeout_ms",
            f"{limits.header_timeout_ms} is above the idle timeout of {limits.idle_timeout_ms}",
        )
    for name in ("max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"):
        if getattr(limits, name) < 0:
            report.error(join_path("limits", name), f"{getattr(limits, name)} is below 0")


def _check_engines(config: RoutingConfig, report: ProblemReport) -> None:
    for name, service in config.services.items():
        path = join_path("services", name)
        if service.cold_requests_per_s < 0:
            report.error(join_path(path, "cold_requests_per_s"), "is below 0")
        engine = service.engine
        if engine is None:
            continue
        if engine.slots <= 0 or engine.memory_tokens <= 0:
            report.error(join_path(path, "engine"), "needs slots and memory above 0")
        elif engine.memory_tokens < engine.slots:
            report.warn(
                join_path(path, "engine"),
                f"{engine.memory_tokens} tokens of memory cannot fill {engine.slots} slots",
            )
