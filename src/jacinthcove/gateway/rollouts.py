"""Roll-outs of new versions: the operator's orders and the version that serves a request.

The shares, cuts and evidence are those of the product's version moves; an order is shown to them as
a move from all other versions to the ordered one.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from statistics import median

import structlog

from jacinthcove.clock import Clock
from jacinthcove.config.model import FleetConfig, Move, MoveState, Service, ServiceKind
from jacinthcove.gateway.firstevents import FirstEventKey, FirstEventLog
from jacinthcove.gateway.targets import TargetBook, TargetState
from jacinthcove.mesh.mesh_pb2 import MemberStatus
from jacinthcove.mesh.peers import Members, Peers
from jacinthcove.moves.split import FIRST_STEP_MAX_SHARE
from jacinthcove.router.results import VersionResult
from jacinthcove.router.versions import VersionManager

log = structlog.get_logger()

# Shares of the requests that a version gets one after the other.
STEP_SHARES = (FIRST_STEP_MAX_SHARE, 0.25, 1.0)
# Stands for every version but the ordered one; no target has an empty version.
OTHER_VERSIONS = ""
# The driver ends a move by its own clock, so the move itself has no time limit.
NO_DEADLINE_MS = 1 << 62


class RolloutState(Enum):
    """What has become of an order."""

    REQUESTED = "requested"
    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def ended(self) -> bool:
        """Return whether the order is settled."""
        return self in (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)


@dataclass(frozen=True)
class Rollout:
    """An order to move a service to a version within `duration_ms`.

    `share` is the part of the requests that the version gets while running, `revision` that of the
    stored order, on which writes of the state depend.
    """

    name: str
    service: str
    to_version: str
    duration_ms: int
    state: RolloutState = RolloutState.REQUESTED
    share: float = 0.0
    revision: int = 0
    created_revision: int = 0

    @property
    def id(self) -> str:
        """Return an id that all routers give to this order."""
        return f"{self.service}/{self.to_version}/{self.created_revision}"

    @property
    def step(self) -> int:
        """Return the number of the step that `share` belongs to."""
        return sum(self.share > share for share in STEP_SHARES[:-1])


@dataclass(frozen=True)
class VersionPlan:
    """Which targets a request may use: `first` before `then`; None stands for all targets."""

    to_version: str = ""
    first_new: bool | None = None
    then_other: bool = False

    def tiers(self, targets: list[TargetState]) -> list[list[TargetState]]:
        """Return the targets in the order in which they are to be tried."""
        if self.first_new is None:
            return [targets]
        new = [item for item in targets if item.record.version == self.to_version]
        old = [item for item in targets if item.record.version != self.to_version]
        first, second = (new, old) if self.first_new else (old, new)
        return [first, second] if self.then_other else [first]


ANY_VERSION = VersionPlan()


class Rollouts:
    """The known orders, and the split of requests between versions while one runs."""

    def __init__(self, clock: Clock, book: TargetBook):
        self.clock = clock
        self.book = book
        self.by_name: dict[str, Rollout] = {}
        self.seen_at: dict[str, int] = {}
        self.config = FleetConfig()
        self.control: VersionManager | None = None
        self.first_events = FirstEventLog()

    def join(self, members: Members, peers: Peers) -> VersionManager:
        """Share cuts and evidence with the other routers from now on."""
        self.control = VersionManager(
            self.clock, lambda: self.config, members, peers, self.target_count
        )
        return self.control

    def replace_all(self, rollouts: Iterable[Rollout]) -> None:
        """Take all orders."""
        self.by_name = {}
        for rollout in rollouts:
            self._take(rollout)
        self._rebuild()

    def put(self, rollout: Rollout) -> None:
        """Take one order or its new state."""
        self._take(rollout)
        self._rebuild()

    def _take(self, rollout: Rollout) -> None:
        self.by_name[rollout.name] = rollout
        self.seen_at.setdefault(rollout.id, self.clock.now())
        log.info(
            "rollout_known",
            service=rollout.service,
            to_version=rollout.to_version,
            state=rollout.state.value,
            share=rollout.share,
            revision=rollout.revision,
        )

    def delete(self, name: str) -> None:
        """Forget an order that the operator removed."""
        if self.by_name.pop(name, None) is not None:
            log.info("rollout_removed", name=name)
        self._rebuild()

    def member_status(self) -> MemberStatus:
        """Return this router's evidence; its revision is that of the newest order under way."""
        revision = max((item.revision for item in self.active()), default=0)
        if self.control is None:
            return MemberStatus()
        status = self.control.member_status(revision)
        status.first_events.extend(self.first_events.messages())
        return status

    def active(self) -> list[Rollout]:
        """Return the orders that are not settled."""
        return [item for item in self.by_name.values() if not item.state.ended]

    def plan(self, service: str, route: str) -> VersionPlan:
        """Return which versions the next request of a route may use."""
        rollout = next((r for r in self.by_name.values() if r.service == service), None)
        if rollout is None:
            return ANY_VERSION
        version = rollout.to_version
        if rollout.state is RolloutState.COMPLETED:
            return VersionPlan(version, first_new=True, then_other=True)
        old_only = VersionPlan(version, first_new=False)
        if rollout.state is not RolloutState.RUNNING or self.control is None:
            return old_only
        if self.control.choose(service, route) != version:
            return old_only
        # The old targets finish their work before they are stopped, so they get no more of it.
        whole = rollout.share >= 1.0 and self.target_count(service, version) > 0
        return VersionPlan(version, first_new=True, then_other=not whole)

    def record(self, result: VersionResult) -> None:
        """Take a result as evidence about its version."""
        rollout = next((r for r in self.active() if r.service == result.service), None)
        if rollout is not None and self.control is not None:
            self.control.record(result)

    def first_event_key(self, service: str, route: str, version: str) -> FirstEventKey | None:
        """Return what a request to a version counts for; None without an order under way."""
        rollout = next((r for r in self.active() if r.service == service), None)
        if rollout is None:
            return None
        return FirstEventKey(rollout.id, rollout.step, route, self.label(service, version))

    def usual_speed(self, service: str, version: str) -> float:
        """Return the prompt tokens a ms that the targets of all other versions read, 0 unknown.

        A slow version must not be measured by what it taught itself.
        """
        states = self.book.usable(service)
        speeds = [s.load.tokens_per_ms for s in states if s.record.version != version]
        return median(speeds) if speeds else 0.0

    def label(self, service: str, version: str) -> str:
        """Return the version of a target as the evidence knows it."""
        moves = (move for move in self.config.moves.values() if move.service == service)
        return version if any(move.to_version == version for move in moves) else OTHER_VERSIONS

    def target_count(self, service: str, version: str) -> int:
        """Return how many targets of a version take work."""
        usable = self.book.usable(service)
        return sum(self.label(service, item.record.version) == version for item in usable)

    def running_on_others(self, rollout: Rollout) -> int:
        """Return the requests under way at targets of other versions, over all routers."""
        states = self.book.by_service.get(rollout.service, ())
        return sum(s.load.running for s in states if s.record.version != rollout.to_version)

    def _rebuild(self) -> None:
        active = self.active()
        self.config = FleetConfig(
            services={
                item.service: Service(item.service, ServiceKind.PLAIN, OTHER_VERSIONS, ())
                for item in active
            },
            moves={item.id: _move(item) for item in active},
        )
        known = {item.id for item in self.by_name.values()}
        self.seen_at = {key: at for key, at in self.seen_at.items() if key in known}
        self.first_events.keep({item.id for item in active})


def _move(rollout: Rollout) -> Move:
    running = rollout.state is RolloutState.RUNNING
    return Move(
        id=rollout.id,
        service=rollout.service,
        from_version=OTHER_VERSIONS,
        to_version=rollout.to_version,
        start_ms=0,
        deadline_ms=NO_DEADLINE_MS,
        steps=(),
        step=rollout.step,
        share=rollout.share,
        state=MoveState.SHIFTING if running else MoveState.LOADING,
    )
