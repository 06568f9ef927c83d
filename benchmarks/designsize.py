"""The design size of docs/design.md, builders of fleets of any size, and straight-line fits."""

import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from hashlib import sha256
from statistics import median
from typing import Any

import numpy

from jacinthcove.config.model import (
    FailureDomain,
    FleetConfig,
    Route,
    Service,
    ServiceKind,
    Workspace,
)
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.peers import Member
from jacinthcove.store.vms import Vm, VmList, VmRole

DAEMONS = 3_000
TARGETS = 10_000
WORKSPACES = 5_200
MODELS = 7
DOMAINS = 11
REGIONS = 4
CHANGES_PER_DAY = 7_200
# A failure or restart of a VM shows as about three revisions of the list: gone, back, and leaving.
VM_EVENTS_PER_DAY = 1_450
DAY_S = 86_400
REPEATS = 5


@dataclass(frozen=True)
class Point:
    """One measured point: the median of repeated runs and their spread."""

    x: float
    y: float
    low: float
    high: float


@dataclass(frozen=True)
class Slope:
    """Points of one quantity and their straight-line fit."""

    name: str
    x_unit: str
    y_unit: str
    points: list[Point]
    slope: float
    intercept: float
    r_squared: float
    design_x: float | None = None
    at_design: float | None = None


@dataclass
class Samples:
    """Collects the runs of one quantity at several sizes."""

    name: str
    x_unit: str
    y_unit: str
    design_x: float | None = None
    runs: dict[float, list[float]] = field(default_factory=dict)

    def add(self, x: float, *values: float) -> None:
        """Add runs at `x`."""
        self.runs.setdefault(x, []).extend(values)

    def fit(self) -> Slope:
        """Return the least-squares line through the medians."""
        points = [Point(x, median(v), min(v), max(v)) for x, v in sorted(self.runs.items())]
        xs, ys = numpy.array([p.x for p in points]), numpy.array([p.y for p in points])
        if len(points) > 1:
            slope, intercept = (float(value) for value in numpy.polyfit(xs, ys, 1))
        else:
            slope, intercept = 0.0, points[0].y
        spread = float(((ys - ys.mean()) ** 2).sum())
        rest = float(((ys - (slope * xs + intercept)) ** 2).sum())
        fitted = 1.0 if spread == 0 else 1 - rest / spread
        at = None if self.design_x is None else slope * self.design_x + intercept
        return Slope(
            self.name,
            self.x_unit,
            self.y_unit,
            points,
            slope,
            intercept,
            fitted,
            self.design_x,
            at,
        )


def table(slope: Slope) -> str:
    """Return the points and the fit as text."""
    lines = [f"{slope.name} ({slope.y_unit}) by {slope.x_unit}"]
    for point in slope.points:
        lines.append(f"  {point.x:>10g} {point.y:>12.4g}  ({point.low:.4g} to {point.high:.4g})")
    line = f"  fit: {slope.intercept:.4g} + {slope.slope:.4g} x, R2 {slope.r_squared:.3f}"
    if slope.at_design is not None:
        largest = max(point.x for point in slope.points)
        kind = "measured range" if largest >= (slope.design_x or 0) else "extrapolated"
        line += f"; at {slope.design_x:g}: {slope.at_design:.4g} ({kind})"
    return "\n".join([*lines, line])


def processor_ms(step: Callable[[], Any], repeats: int = REPEATS) -> list[float]:
    """Return the processor time of each run of `step`."""
    times = []
    for _ in range(repeats):
        started = time.process_time()
        step()
        times.append((time.process_time() - started) * 1000)
    return times


def megabytes(build: Callable[[], Any]) -> float:
    """Return the memory that the result of `build` holds."""
    tracemalloc.start()
    kept = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / 1e6


def scaled(sizes: Sequence[int], total: int, x: int) -> int:
    """Return the part of `total` that belongs to size `x` of the largest of `sizes`."""
    return max(1, total * x // max(sizes))


def fleet_config(workspaces: int, revision: int = 1) -> FleetConfig:
    """Return a configuration with seven models, eleven domains and `workspaces`."""
    names = [f"workspace-{index:05}" for index in range(workspaces)]
    routes = (Route("draft"), Route("short"), Route("publish", False))
    return FleetConfig(
        revision=revision,
        site="design-size",
        workspaces={
            name: Workspace(name, 1.0 + index % 5, sha256(name.encode()).hexdigest())
            for index, name in enumerate(names)
        },
        services={
            f"model-{index}": Service(f"model-{index}", ServiceKind.ENGINE, "v1", routes)
            for index in range(MODELS)
        },
        failure_domains={
            f"domain-{index:02}": FailureDomain(f"domain-{index:02}", f"region-{index % REGIONS}")
            for index in range(DOMAINS)
        },
    )


def router_vms(count: int) -> tuple[Vm, ...]:
    """Return the routers of a VM list."""
    return tuple(
        Vm(
            f"router-{index:05}",
            VmRole.ROUTER,
            f"10.0.{index // 250}.{index % 250}:7480",
            f"domain-{index % DOMAINS:02}",
            mesh_address=f"10.0.{index // 250}.{index % 250}:7400",
        )
        for index in range(count)
    )


def target_vms(count: int) -> tuple[Vm, ...]:
    """Return the targets of a VM list, spread evenly over models and domains."""
    return tuple(
        Vm(
            f"engine-{index:05}",
            VmRole.TARGET,
            f"10.1.{index // 250}.{index % 250}:8000",
            f"domain-{index % DOMAINS:02}",
            f"model-{index // DOMAINS % MODELS}",
            "v1",
        )
        for index in range(count)
    )


def vm_list(targets: int, routers: int, revision: int = 1) -> VmList:
    """Return a VM list."""
    return VmList(revision, router_vms(routers) + target_vms(targets))


def members(count: int) -> list[Member]:
    """Return the members that the routers of a VM list are."""
    return [
        Member(vm.id, vm.mesh_address, vm.address, vm.failure_domain, 1_700_000_000_000 + index)
        for index, vm in enumerate(router_vms(count))
    ]


def route_evidence() -> list[pb.RouteEvidence]:
    """Return a router's evidence of a move: two versions on three routes."""
    return [
        pb.RouteEvidence(
            service="model-0",
            route=route,
            version=version,
            requests=100_000,
            errors=10,
            first_token_ms_sum=20_000_000,
            token_ms_sum=600_000_000,
            tokens=20_000_000,
        )
        for route in ("draft", "short", "publish")
        for version in ("v1", "v2")
    ]
