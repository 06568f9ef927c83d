"""The site that the benchmarks run on, and what they print about the machine."""

import os
import platform
from dataclasses import dataclass
from importlib.metadata import version
from pathlib import Path

from jacinthcove.config.model import Limits, ServiceKind
from jacinthcove.load.profiles import (
    Profile,
    RouteProfile,
    RouterProfile,
    ServiceProfile,
    WorkspaceProfile,
)
from testbed.processes import SOURCE

LIBRARIES = ("gevent", "geventhttpclient", "grpclib", "hdrhistogram", "orjson")
# A workspace queues at most 200 requests, so streams that start together need several.
WORKSPACES = 4
SERVICE = "model"
ROUTE = "draft"
BENCHMARK_ENVIRONMENT = {"PYTHONPATH": f"{SOURCE}{os.pathsep}{Path(__file__).parent.parent}"}


@dataclass(frozen=True)
class BenchmarkProfile(Profile):
    """A site of one failure domain with a chosen number of routers."""

    router_count: int = 1

    def routers(self) -> tuple[RouterProfile, ...]:
        """Return the entry VMs."""
        return tuple(
            RouterProfile(f"router-{i + 1}", self.failure_domains[0])
            for i in range(self.router_count)
        )


def benchmark_profile(routers: int, engines: int, slots: int) -> BenchmarkProfile:
    """Return a site whose engines take `slots` requests each from the start."""
    return BenchmarkProfile(
        name="benchmark",
        failure_domains=("fd-a",),
        services=(
            ServiceProfile(SERVICE, ServiceKind.ENGINE, engines, Limits(cold=slots, max=slots)),
        ),
        routes=(RouteProfile(SERVICE, ROUTE, 1.0),),
        workspaces=tuple(
            WorkspaceProfile(f"bench-{i}", 1.0, f"key-bench-{i}", (0,)) for i in range(WORKSPACES)
        ),
        domain_delay_ms=0.0,
        client_delay_ms=0.0,
        router_count=routers,
    )


def warm_engine_flags(slots: int, token_ms: float) -> tuple[str, ...]:
    """Return engine flags for a warm engine with a steady step of `token_ms`."""
    return (
        *("--max-batch", str(slots), "--knee", str(slots), "--cold-ms", "0"),
        *("--token-ms", str(token_ms)),
    )


def machine() -> str:
    """Describe the machine and the library versions in one line."""
    libraries = ", ".join(f"{name} {version(name)}" for name in LIBRARIES)
    load = os.getloadavg()[0]
    return (
        f"{os.cpu_count()} cores, Python {platform.python_version()}, {libraries}; load {load:.1f}"
    )
