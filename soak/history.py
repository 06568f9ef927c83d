"""What callers and targets saw in a run; times are seconds since its start."""

import time
from dataclasses import dataclass, field


@dataclass
class Call:
    """One request of a caller; `body` is None when the answer was incomplete or missing.

    `status` is 0 without an answer. `gave_up` says that the caller closed its connection itself.
    """

    id: str
    path: str
    key: str
    router: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    body: bytes | None = None
    gave_up: bool = False

    @property
    def route(self) -> str:
        """Return the route that the path names."""
        return self.path.split("/")[1]


@dataclass
class Arrival:
    """One request at a target; `ran` is False when the target refused it as not run."""

    id: str
    route: str
    workspace: str
    target: str
    service: str
    failure_domain: str
    at: float
    ran: bool
    # The whole body that the target sent, None if it broke off or failed.
    body: bytes | None = None
    # The target broke off, sent wrong bytes or answered late on purpose.
    spoiled: bool = False
    # Wall ms of the start of the target that it reached.
    born: int = 0


@dataclass(frozen=True)
class Span:
    """Something that held from `start` to `end` for `subject`, empty for all.

    `born` is the wall ms of the start of a target for which it held, 0 for all.
    """

    kind: str
    start: float
    end: float
    subject: str = ""
    born: int = 0


@dataclass
class History:
    """Everything that the checkers need."""

    calls: list[Call] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    # Faults and planned work on routers, targets, the store and the paths between them.
    disturbances: list[Span] = field(default_factory=list)
    # From the confirmation that a target drains, a domain is drained, a key or route is gone.
    drained_targets: list[Span] = field(default_factory=list)
    drained_domains: list[Span] = field(default_factory=list)
    removed_keys: list[Span] = field(default_factory=list)
    removed_routes: list[Span] = field(default_factory=list)
    cold: list[Span] = field(default_factory=list)
    # Requests per second that a cold target takes, before the bounds of the deployment.
    cold_per_s: float = 12.0
    terminated: list[Span] = field(default_factory=list)
    exit_codes: dict[str, int] = field(default_factory=dict)
    workspaces: dict[str, str] = field(default_factory=dict)
    faults_over_at: float = 0.0
    started_at: float = field(default_factory=time.monotonic)

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def calm(self, start: float, end: float, margin_s: float) -> bool:
        """Return whether nothing disturbed from `margin_s` before `start` to `end`."""
        return not any(s.start <= end and s.end >= start - margin_s for s in self.disturbances)
