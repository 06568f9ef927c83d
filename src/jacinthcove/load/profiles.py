"""The two sites that use the fleet, and seeded generators of their traffic."""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import sha256
from random import Random

from jacinthcove.config.model import (
    FailureDomain,
    Limits,
    Route,
    Service,
    ServiceKind,
    Workspace,
)
from jacinthcove.load.requests import RequestSpec

ROUTERS = 8
POWER_CUT_WINDOW_MS = 1_000
# Fraction of requests with a wrong token hint; callers know the cost only at the end.
WRONG_HINT_FRACTION = 0.1
EXTRA_CALLERS = 4


@dataclass(frozen=True)
class RouteProfile:
    """One route with its weight in the traffic mix; ranges include both ends.

    Engine routes use the token ranges, plain services `work_ms`. Requests of a `keyed` route
    carry an idempotency key.
    """

    service: str
    name: str
    weight: float
    idempotent: bool = True
    keyed: bool = False
    input_tokens: tuple[int, int] = (0, 0)
    output_tokens: tuple[int, int] = (0, 0)
    work_ms: tuple[int, int] = (0, 0)
    deadline_ms: int = 60_000


@dataclass(frozen=True)
class ServiceProfile:
    """A service and the number of its targets."""

    name: str
    kind: ServiceKind
    targets: int
    limits: Limits
    version: str = "v1"


@dataclass(frozen=True)
class TargetProfile:
    """One target of a service and where it runs."""

    id: str
    service: str
    failure_domain: str
    version: str


@dataclass(frozen=True)
class RouterProfile:
    """One router VM."""

    id: str
    failure_domain: str


@dataclass(frozen=True)
class WorkspaceProfile:
    """A workspace; `routers` are the indices of the routers that its callers prefer."""

    name: str
    share: float
    key: str
    routers: tuple[int, ...]


@dataclass(frozen=True)
class Profile:
    """A site with its services, traffic mix and workspaces; delays are one-way."""

    name: str
    failure_domains: tuple[str, ...]
    services: tuple[ServiceProfile, ...]
    routes: tuple[RouteProfile, ...]
    workspaces: tuple[WorkspaceProfile, ...]
    domain_delay_ms: float
    client_delay_ms: float

    def routers(self) -> tuple[RouterProfile, ...]:
        """Return the router VMs, spread evenly over the failure domains."""
        return tuple(
            RouterProfile(f"router-{i + 1}", self.failure_domains[i % len(self.failure_domains)])
            for i in range(ROUTERS)
        )

    def targets(self) -> tuple[TargetProfile, ...]:
        """Return the targets of all services, spread evenly over the failure domains."""
        domains = self.failure_domains
        return tuple(
            TargetProfile(f"{s.name}-{i + 1}", s.name, domains[i % len(domains)], s.version)
            for s in self.services
            for i in range(s.targets)
        )

    def configured_services(self) -> dict[str, Service]:
        """Return the services for the fleet configuration, by name."""
        return {
            s.name: Service(
                name=s.name,
                kind=s.kind,
                version=s.version,
                routes=tuple(
                    Route(r.name, r.idempotent) for r in self.routes if r.service == s.name
                ),
                limits=s.limits,
            )
            for s in self.services
        }

    def configured_workspaces(self) -> dict[str, Workspace]:
        """Return the workspaces for the fleet configuration, by name and with hashed keys."""
        return {
            w.name: Workspace(w.name, w.share, sha256(w.key.encode()).hexdigest())
            for w in self.workspaces
        }

    def configured_domains(self) -> dict[str, FailureDomain]:
        """Return the failure domains for the fleet configuration, by name."""
        return {name: FailureDomain(name) for name in self.failure_domains}

    def preferred_addresses(self, workspace: WorkspaceProfile, addresses: list[str]) -> list[str]:
        """Return the addresses of the routers that the callers of `workspace` prefer."""
        return [addresses[index % len(addresses)] for index in workspace.routers]


def _workspaces(site: str) -> tuple[WorkspaceProfile, ...]:
    """Return 16 workspaces (three large, five medium, eight small), uneven over the routers.

    Most of them use the first routers, so some routers have many callers and some have few.
    """
    shares = (8.0, 6.0, 5.0, 2.0, 2.0, 2.0, 2.0, 2.0) + (1.0,) * 8
    result = []
    for index, share in enumerate(shares):
        random = Random(f"{site}/{index}")
        weights = [1 / (router + 1) for router in range(ROUTERS)]
        routers: list[int] = []
        while len(routers) < 1 + index % 4:
            router = random.choices(range(ROUTERS), weights)[0]
            if router not in routers:
                routers.append(router)
        name = f"{site}-{index + 1:02d}"
        result.append(WorkspaceProfile(name, share, f"key-{name}", tuple(routers)))
    return tuple(result)


def _profile(
    name: str, model: str, engines: int, plain: str, write: str, delays: tuple[float, float]
) -> Profile:
    return Profile(
        name=name,
        failure_domains=("fd-a", "fd-b", "fd-c"),
        services=(
            ServiceProfile(model, ServiceKind.ENGINE, engines, Limits(cold=1, max=12)),
            ServiceProfile(plain, ServiceKind.PLAIN, 3, Limits(cold=4, max=12)),
        ),
        routes=(
            RouteProfile(
                model,
                "draft",
                weight=0.25,
                input_tokens=(400, 2_000),
                output_tokens=(120, 400),
                deadline_ms=120_000,
            ),
            RouteProfile(
                model,
                "question",
                weight=0.35,
                input_tokens=(30, 200),
                output_tokens=(5, 30),
                deadline_ms=30_000,
            ),
            RouteProfile(plain, "lookup", weight=0.3, work_ms=(5, 30), deadline_ms=15_000),
            RouteProfile(plain, write, weight=0.1, idempotent=False, keyed=True, work_ms=(40, 200)),
        ),
        workspaces=_workspaces(name),
        domain_delay_ms=delays[0],
        client_delay_ms=delays[1],
    )


LAVALLEE = _profile("lavallee", "drafting", 9, "publishing", "publish", (1.0, 3.0))
SERENO = _profile("sereno", "model", 6, "cases", "reprint", (0.5, 1.0))
PROFILES = {profile.name: profile for profile in (LAVALLEE, SERENO)}


@dataclass(frozen=True)
class Session:
    """Requests of one caller, sent one after another; the first one at `start_ms`."""

    workspace: WorkspaceProfile
    start_ms: int
    requests: Iterator[RequestSpec]


def requests(
    profile: Profile, workspace: WorkspaceProfile, seed: str, services: tuple[str, ...] = ()
) -> Iterator[RequestSpec]:
    """Yield endless requests of the site's traffic mix, or of its named services only.

    The same seed yields the same requests. Nonces and keys contain the seed, so sessions with
    different seeds never share one.
    """
    random = Random(f"{profile.name}/{workspace.name}/{seed}")
    kinds = {service.name: service.kind for service in profile.services}
    routes = [route for route in profile.routes if not services or route.service in services]
    weights = [route.weight for route in routes]
    number = 0
    while True:
        route = random.choices(routes, weights)[0]
        nonce = f"{workspace.name}/{seed}/{number}"
        output_tokens = random.randint(*route.output_tokens)
        hint_is_wrong = random.random() < WRONG_HINT_FRACTION
        yield RequestSpec(
            service=route.service,
            route=route.name,
            nonce=nonce,
            engine=kinds[route.service] is ServiceKind.ENGINE,
            input_tokens=random.randint(*route.input_tokens),
            max_tokens=output_tokens,
            hinted_tokens=output_tokens // 5 if hint_is_wrong else output_tokens,
            prefix_key=f"{workspace.name}/{random.randint(1, 3)}" if output_tokens else "",
            work_ms=random.randint(*route.work_ms),
            order_id="" if route.idempotent else nonce,
            key=nonce if route.keyed else "",
            deadline_ms=route.deadline_ms,
        )
        number += 1


def backlogged_sessions(
    profile: Profile, seed: int, outstanding: int, services: tuple[str, ...] = ()
) -> list[Session]:
    """Return sessions that keep `outstanding` requests of every workspace open at all times."""
    return [
        Session(w, 0, requests(profile, w, f"backlogged-{seed}-{n}", services))
        for w in profile.workspaces
        for n in range(outstanding)
    ]


def proportional_sessions(
    profile: Profile, seed: int, callers_per_slot: float, services: tuple[str, ...] = ()
) -> list[Session]:
    """Return sessions that keep every workspace backlogged, large ones included.

    A workspace has `callers_per_slot` callers for each target slot that its share is worth, and
    `EXTRA_CALLERS` more, because a small one has more requests in service than its share of slots.
    """
    chosen = [s for s in profile.services if not services or s.name in services]
    slots = sum(s.targets * s.limits.max for s in chosen)
    total = sum(w.share for w in profile.workspaces)
    return [
        Session(w, 0, requests(profile, w, f"proportional-{seed}-{n}", services))
        for w in profile.workspaces
        for n in range(math.ceil(callers_per_slot * slots * w.share / total) + EXTRA_CALLERS)
    ]


def power_cut_sessions(profile: Profile, seed: int, callers: int) -> list[Session]:
    """Return `callers` sessions that start within one second, assigned to workspaces by share."""
    random = Random(f"{profile.name}/power-cut/{seed}")
    shares = [workspace.share for workspace in profile.workspaces]
    sessions = []
    for number in range(callers):
        workspace = random.choices(profile.workspaces, shares)[0]
        start_ms = random.randrange(POWER_CUT_WINDOW_MS)
        specs = requests(profile, workspace, f"power-cut-{seed}-{number}")
        sessions.append(Session(workspace, start_ms, specs))
    return sorted(sessions, key=lambda session: session.start_ms)
