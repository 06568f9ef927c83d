"""The fleet configuration as frozen dataclasses.

Durations are in milliseconds. The share of a workspace is a relative weight, that of a version move
a fraction from 0 to 1. Versions are those that targets report.
"""

from dataclasses import dataclass, field
from enum import Enum


class ServiceKind(Enum):
    """The API of a service's targets, which also decides how their requests are charged."""

    ENGINE = "engine"
    PLAIN = "plain"


class MoveState(Enum):
    """The progress of a version move; DONE and REVERTED are final."""

    LOADING = "loading"
    SHIFTING = "shifting"
    DONE = "done"
    REVERTED = "reverted"


@dataclass(frozen=True)
class Workspace:
    """A tenant and its share of the fleet; `key_hash` is the hex SHA-256 of its API key."""

    name: str
    share: float
    key_hash: str
    max_queued: int = 200


@dataclass(frozen=True)
class Route:
    """One operation of a service; only an idempotent one is retried after it may have run."""

    name: str
    idempotent: bool = True


@dataclass(frozen=True)
class Limits:
    """Concurrency limits of each target of a service, in requests."""

    cold: int = 1
    max: int = 12
    stall_ms: int = 5_000


@dataclass(frozen=True)
class Service:
    """A pool of model engines or of plain service targets behind the routers."""

    name: str
    kind: ServiceKind
    version: str
    routes: tuple[Route, ...]
    limits: Limits = field(default_factory=Limits)
    checks_fencing: bool = True

    def route(self, name: str) -> Route | None:
        """Return the route called `name`, or None."""
        return next((route for route in self.routes if route.name == name), None)


@dataclass(frozen=True)
class FailureDomain:
    """A failure domain; a drained one receives no new requests."""

    name: str
    region: str = "default"
    drained: bool = False


@dataclass(frozen=True)
class MoveStep:
    """One step of a move: the new version's share and the requests it must serve as evidence."""

    share: float
    min_requests: int


@dataclass(frozen=True)
class Move:
    """A version move of a service; `start_ms` and `deadline_ms` are wall-clock milliseconds."""

    id: str
    service: str
    from_version: str
    to_version: str
    start_ms: int
    deadline_ms: int
    steps: tuple[MoveStep, ...]
    step: int = 0
    share: float = 0.0
    state: MoveState = MoveState.LOADING
    reason: str = ""


@dataclass(frozen=True)
class Operator:
    """An operator; `key_hash` is the hex SHA-256 of the key."""

    name: str
    key_hash: str


@dataclass(frozen=True)
class FleetConfig:
    """The configuration that operators control; one revision is active at a time."""

    revision: int = 0
    site: str = ""
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    failure_domains: dict[str, FailureDomain] = field(default_factory=dict)
    moves: dict[str, Move] = field(default_factory=dict)
    operators: dict[str, Operator] = field(default_factory=dict)
    fleet_key: str = ""
    lookup_lifetime_ms: int = 10_000
    exchange_period_ms: int = 1_000
    pull_threshold_ms: int = 15_000

    def active_move(self, service: str) -> Move | None:
        """Return the move of `service` that is neither done nor reverted, or None."""
        ended = (MoveState.DONE, MoveState.REVERTED)
        return next(
            (m for m in self.moves.values() if m.service == service and m.state not in ended), None
        )
