"""Choice of the route and the service of a request."""

import random
from collections.abc import Callable

from jacinthcove.codes import ResultCode
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.model import HttpRoute, RoutingConfig


class RouteTable:
    """The routes of one configuration by host, the longest path prefix first."""

    def __init__(self, config: RoutingConfig):
        self.config = config
        self.by_host: dict[str, list[HttpRoute]] = {}
        for route in config.routes:
            self.by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self.by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, path: str) -> HttpRoute:
        """Return the route of a request; raises `RequestRefused(UNKNOWN_ROUTE)`."""
        name = host.lower()
        routes = self.by_host.get(name)
        if routes is None:
            routes = self.by_host.get(name.rpartition(":")[0] or name, [])
        for route in routes:
            if path.startswith(route.path_prefix):
                return route
        raise RequestRefused(ResultCode.UNKNOWN_ROUTE, f"no route for {host}{path}")

    def workspace(self, route: HttpRoute, key: str) -> str:
        """Return the workspace that holds `key`; raises `RequestRefused(UNAUTHENTICATED)`."""
        keys = self.config.workspace_by_key
        if keys is None:
            return ""
        workspace = keys.get(key, "") if key else ""
        if not workspace and not route.anonymous:
            raise RequestRefused(ResultCode.UNAUTHENTICATED, "the workspace key is unknown")
        return workspace


def choose_service(route: HttpRoute, draw: Callable[[], float] = random.random) -> str:
    """Return a service of the route by weight."""
    if len(route.services) == 1:
        return route.services[0].service
    point = draw() * sum(share.weight for share in route.services)
    for share in route.services:
        point -= share.weight
        if point < 0:
            return share.service
    return route.services[-1].service
