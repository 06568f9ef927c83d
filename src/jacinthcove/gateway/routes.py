"""Matches requests to routes, workspaces and services."""

import random
from collections.abc import Callable

from jacinthcove.codes import ResultCode
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.model import HttpRoute, RoutingConfig


class RouteTable:
    """The routes of one configuration by host, ordered by descending length of the path prefix."""

    def __init__(self, config: RoutingConfig):
        self.config = config
        self.by_host: dict[str, list[HttpRoute]] = {}
        for route in config.routes:
            self.by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self.by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, path: str) -> HttpRoute:
        """Return the route with the longest matching prefix; a port in `host` is optional.

        Raises `RequestRefused(UNKNOWN_ROUTE)`.
        """
        name = host.lower()
        routes = self.by_host.get(name)
        if routes is None:
            routes = self.by_host.get(name.rpartition(":")[0] or name, [])
        for route in routes:
            if path.startswith(route.path_prefix):
                return route
        raise RequestRefused(ResultCode.UNKNOWN_ROUTE, f"no route for {host}{path}")

    def workspace(self, route: HttpRoute, key: str) -> str:
        """Return the workspace that owns `key`, "" if anonymous or if the fleet uses no keys.

        Raises `RequestRefused(UNAUTHENTICATED)`.
        """
        keys = self.config.workspace_by_key
        if keys is None:
            return ""
        workspace = keys.get(key, "") if key else ""
        if not workspace and not route.anonymous:
            raise RequestRefused(ResultCode.UNAUTHENTICATED, "the workspace key is unknown")
        return workspace


def choose_service(route: HttpRoute, draw: Callable[[], float] = random.random) -> str:
    """Return a random service of the route by weight; `draw` returns a number in [0, 1)."""
    if len(route.services) == 1:
        return route.services[0].service
    point = draw() * sum(share.weight for share in route.services)
    for share in route.services:
        point -= share.weight
        if point < 0:
            return share.service
    return route.services[-1].service
