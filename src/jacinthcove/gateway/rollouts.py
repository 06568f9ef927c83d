"""Rollouts of new versions, and the choice of the version that serves a request.

Shares, cuts and evidence reuse the code for version moves: a rollout is presented to it as a move
from all other versions to the new one.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum
from statistics import median

import structlog

from jacinthcove.clock import Clock
from jacinthcove.config.model import FleetConfig, Move, MoveState, Service, ServiceKind
from jacinthcove.gateway.firstevents import FirstEventKey, FirstEventLog
from jacinthcove.gateway.targets import TargetRegistry, TargetState
from jacinthcove.mesh.mesh_pb2 import MemberStatus
from jacinthcove.mesh.peers import Members, Peers
from jacinthcove.moves.split import FIRST_STEP_MAX_SHARE
from jacinthcove.router.results import VersionResult
from jacinthcove.router.versions import VersionManager
from jacinthcove.store.kinds import Gap

log = structlog.get_logger()

# The share of the requests that the new version gets in each step.
STEP_SHARES = (FIRST_STEP_MAX_SHARE, 0.25, 1.0)
# Stands for every version but the new one; no target has an empty version.
OTHER_VERSIONS = ""
# An older copy of the store may lack a rollout until the operator has written it again.
KEPT_MS = 10_000
# The rollout driver enforces the time limit, so the move itself has no deadline.
NO_DEADLINE_MS = 1 << 62


class RolloutState(Enum):
    """The state of a rollout."""

    REQUESTED = "requested"
    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def ended(self) -> bool:
        """Return whether the state is final."""
        return self in (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)


@dataclass(frozen=True)
class Rollout:
    """An operator's order to move a service to `to_version` within `duration_ms`.

    `share` is the fraction of the requests that the new version gets while running. `revision` is
    that of the stored rollout; a write of the state succeeds only on this revision. `unsaved`: the
    store came back from an older copy and lacks this state.
    """

    name: str
    service: str
    to_version: str
    duration_ms: int
    state: RolloutState = RolloutState.REQUESTED
    share: float = 0.0
    revision: int = 0
    created_revision: int = 0
    unsaved: bool = False

    @property
    def id(self) -> str:
        """Return an id that is the same on all routers."""
        return f"{self.service}/{self.to_version}/{self.created_revision}"

    @property
    def step(self) -> int:
        """Return the index of the step that `share` belongs to."""
        return sum(self.share > share for share in STEP_SHARES[:-1])

    @property
    def progress(self) -> tuple[bool, float]:
        """Return a value that rises from one state to the next."""
        return (self.state.ended, self.share)

    def is_behind(self, known: "Rollout") -> bool:
        """Return whether this is an earlier state of the same order than `known`."""
        same = (self.service, self.to_version) == (known.service, known.to_version)
        return same and self.progress < known.progress


@dataclass(frozen=True)
class VersionPlan:
    """Which versions a request may use.

    `new_first` is whether the new version or the others come first, None for all targets alike;
    `fall_back` is whether the rest may serve the request if those cannot.
    """

    to_version: str = ""
    new_first: bool | None = None
    fall_back: bool = False

    def tiers(self, targets: list[TargetState]) -> list[list[TargetState]]:
        """Return groups of targets in the order in which to try them."""
        if self.new_first is None:
            return [targets]
        new = [item for item in targets if item.record.version == self.to_version]
        old = [item for item in targets if item.record.version != self.to_version]
        first, second = (new, old) if self.new_first else (old, new)
        return [first, second] if self.fall_back else [first]


ANY_VERSION = VersionPlan()


class Rollouts:
    """The known rollouts, and the split of requests between versions while one runs."""

    def __init__(self, clock: Clock, registry: TargetRegistry):
        self.clock = clock
        self.registry = registry
        self.by_name: dict[str, Rollout] = {}
        # What was known when the store came back from an older copy, until boot ms `kept_until`.
        self.kept: dict[str, Rollout] = {}
        self.kept_until = 0
        self.seen_at: dict[str, int] = {}
        self.config = FleetConfig()
        self.control: VersionManager | None = None
        self.first_events = FirstEventLog()

    def join(self, members: Members, peers: Peers) -> VersionManager:
        """Start to share cuts and evidence with the other routers."""
        self.control = VersionManager(
            self.clock, lambda: self.config, members, peers, self.target_count
        )
        return self.control

    def replace_all(self, rollouts: Iterable[Rollout], gap: Gap = Gap.NONE) -> None:
        """Replace the known rollouts by a complete list.

        An older copy may lack the last states and rollouts, which are kept until they are written
        again.
        """
        if gap is Gap.OLDER_COPY:
            self.kept, self.kept_until = self.by_name, self.clock.boot() + KEPT_MS
        self.by_name = {}
        for rollout in rollouts:
            self._store(self._with_kept_state(rollout))
        for name in self.kept.keys() - self.by_name.keys():
            self._store(self.kept[name])
        self._rebuild_config()

    def put(self, rollout: Rollout) -> None:
        """Add or update a rollout."""
        self._store(self._with_kept_state(rollout))
        self._rebuild_config()

    def expire(self) -> None:
        """Drop rollouts that an older copy lacks and that nobody has written again."""
        if not self.kept or self.clock.boot() < self.kept_until:
            return
        kept, self.kept = self.kept, {}
        for name, rollout in kept.items():
            if self.by_name.get(name) is rollout:
                self.delete(name)

    def unsaved(self) -> list[Rollout]:
        """Return the rollouts whose state has to be written to the store again."""
        return [item for item in self.by_name.values() if item.unsaved]

    def _with_kept_state(self, rollout: Rollout) -> Rollout:
        known = self.kept.get(rollout.name)
        if known is None or self.clock.boot() >= self.kept_until or not rollout.is_behind(known):
            return rollout
        log.info("rollout_state_kept", name=rollout.name, state=known.state.value)
        return replace(
            rollout,
            state=known.state,
            share=known.share,
            created_revision=known.created_revision,
            unsaved=True,
        )

    def _store(self, rollout: Rollout) -> None:
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
        """Forget a rollout that the operator removed."""
        self.kept.pop(name, None)
        if self.by_name.pop(name, None) is not None:
            log.info("rollout_removed", name=name)
        self._rebuild_config()

    def member_status(self) -> MemberStatus:
        """Return this router's evidence, with the revision of the newest active rollout."""
        revision = max((item.revision for item in self.active()), default=0)
        if self.control is None:
            return MemberStatus()
        status = self.control.member_status(revision)
        status.first_events.extend(self.first_events.to_messages())
        return status

    def active(self) -> list[Rollout]:
        """Return the rollouts that have not ended."""
        return [item for item in self.by_name.values() if not item.state.ended]

    def plan(self, service: str, route: str) -> VersionPlan:
        """Return which versions the next request of a route may use."""
        rollout = next((r for r in self.by_name.values() if r.service == service), None)
        if rollout is None:
            return ANY_VERSION
        version = rollout.to_version
        if rollout.state is RolloutState.COMPLETED:
            return VersionPlan(version, new_first=True, fall_back=True)
        old_only = VersionPlan(version, new_first=False)
        if rollout.state is not RolloutState.RUNNING or self.control is None:
            return old_only
        if self.control.choose(service, route) != version:
            return old_only
        # At the full share the old targets get no new requests, so that they finish their work
        # before they are stopped.
        all_on_new = rollout.share >= 1.0 and self.target_count(service, version) > 0
        return VersionPlan(version, new_first=True, fall_back=not all_on_new)

    def record(self, result: VersionResult) -> None:
        """Record a result as evidence about its version if a rollout of its service is active."""
        rollout = next((r for r in self.active() if r.service == result.service), None)
        if rollout is not None and self.control is not None:
            self.control.record(result)

    def first_event_key(self, service: str, route: str, version: str) -> FirstEventKey | None:
        """Return the counter of a request to a version; None without an active rollout."""
        rollout = next((r for r in self.active() if r.service == service), None)
        if rollout is None:
            return None
        return FirstEventKey(rollout.id, rollout.step, route, self.version_label(service, version))

    def median_speed_of_others(self, service: str, version: str) -> float:
        """Return the median prompt tokens per ms of the other versions' targets, 0 if unknown.

        A slow version must not be compared with a speed learned from its own targets.
        """
        states = self.registry.usable(service)
        speeds = [s.load.tokens_per_ms for s in states if s.record.version != version]
        return median(speeds) if speeds else 0.0

    def version_label(self, service: str, version: str) -> str:
        """Return the label of a version in the evidence.

        This is the version itself if a rollout moves to it, else OTHER_VERSIONS.
        """
        moves = (move for move in self.config.moves.values() if move.service == service)
        return version if any(move.to_version == version for move in moves) else OTHER_VERSIONS

    def target_count(self, service: str, version: str) -> int:
        """Return how many usable targets have a version."""
        usable = self.registry.usable(service)
        return sum(self.version_label(service, item.record.version) == version for item in usable)

    def running_on_others(self, rollout: Rollout) -> int:
        """Return the requests in flight at targets of other versions, over all routers."""
        states = self.registry.by_service.get(rollout.service, ())
        return sum(s.load.running for s in states if s.record.version != rollout.to_version)

    def _rebuild_config(self) -> None:
        active = self.active()
        self.config = FleetConfig(
            services={
                item.service: Service(item.service, ServiceKind.PLAIN, OTHER_VERSIONS, ())
                for item in active
            },
            moves={item.id: _move(item) for item in active},
        )
        known_ids = {item.id for item in self.by_name.values()}
        self.seen_at = {
            key: first_seen_at for key, first_seen_at in self.seen_at.items() if key in known_ids
        }
        self.first_events.retain_only({item.id for item in active})


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
