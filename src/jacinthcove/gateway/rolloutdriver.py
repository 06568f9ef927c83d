"""Drives roll-outs from the order to its end; one router of the fleet does so for each order.

A version first gets a small share, then more, then everything, each time once enough results look
like those of the other versions. The order is completed when the other targets have finished their
work, because they are stopped at that moment, and only if the version has shown that it bears the
whole load. A fault on any route takes the version back.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import gevent
import structlog

from jacinthcove.background import BackgroundTask
from jacinthcove.clock import Clock
from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.gateway.firstevents import FleetFirstEvents, compare
from jacinthcove.gateway.rollouts import (
    OTHER_VERSIONS,
    STEP_SHARES,
    Rollout,
    Rollouts,
    RolloutState,
)
from jacinthcove.mesh.mesh_pb2 import MemberStatus
from jacinthcove.moves.detector import (
    fleet_error_fault,
    fleet_fault,
    fleet_slowness_suspicion,
    has_suspicious_errors,
)
from jacinthcove.moves.evidence import Counters, EvidenceKey, FleetEvidence, Reporter

log = structlog.get_logger()

TICK_MS = 500
# Evidence that takes longer is left out, so that a slow router does not hold up an order.
GATHER_TIMEOUT_MS = 1_200
# Routers that stand by for the first one, and how much longer than it each of them waits.
DRIVERS = 2
TAKEOVER_MS = 1_500
# Parts of the order's time: the least for the small share, the last moments at which the version
# may get more, by step, and the moment at which the order is settled at the latest.
SMALL_SHARE_PART = 0.25
SHIFT_BEFORE_PARTS = (0.6, 0.7)
SETTLE_PART = 0.85
MIN_RESULTS = 30
# The least time in the steps after the first, and in the last one.
STEP_MS = 1_500
WHOLE_LOAD_MS = 2_000
# A version that bears its load has begun to answer this part of what was sent to it.
HEARD_PART = 0.6
# Below this part it does not answer at all.
SILENT_PART = 0.3
# Probability from which on the answers of a version begin too late for its load. With the whole
# load its targets are fuller than those of the others were.
SLOW_PROBABILITY = 0.65
SLOW_PROBABILITY_WHOLE_LOAD = 0.75


class Step(Enum):
    """What is to be done with an order now."""

    WAIT = "wait"
    START = "start"
    SHIFT = "shift"
    COMPLETE = "complete"
    ROLL_BACK = "roll_back"


@dataclass(frozen=True)
class Evidence:
    """What the results of all routers say about the version.

    `heard_part` is the part of the `sent` requests of this step of which something has been heard.
    """

    fault: str = ""
    suspicious: bool = False
    results: int = 0
    sent: int = 0
    heard_part: float = 1.0

    @property
    def bears_load(self) -> bool:
        """Return whether the version answers what it gets in this step."""
        return self.results >= MIN_RESULTS and self.heard_part >= HEARD_PART

    @property
    def silent(self) -> bool:
        """Return whether the version hardly answers what it gets in this step."""
        return self.sent >= MIN_RESULTS and self.heard_part < SILENT_PART


@dataclass(frozen=True)
class Progress:
    """How far an order is; `step_ms` is the time since the version gets its present share."""

    elapsed_part: float
    step_ms: int
    running_on_others: int
    targets: int


def next_step(rollout: Rollout, progress: Progress, evidence: Evidence) -> Step:
    """Return what to do with an order that is not settled."""
    if rollout.state is RolloutState.REQUESTED:
        return Step.START
    silent = evidence.silent and rollout.step > 0 and progress.step_ms >= STEP_MS
    if evidence.fault or silent:
        return Step.ROLL_BACK
    late = progress.elapsed_part >= SETTLE_PART
    if rollout.share < 1.0:
        proven = evidence.bears_load and not evidence.suspicious
        if proven and progress.targets and _may_shift(rollout, progress):
            return Step.SHIFT
    elif evidence.bears_load:
        idle = progress.running_on_others == 0 and progress.step_ms >= WHOLE_LOAD_MS
        if idle or late:
            return Step.COMPLETE
    return Step.ROLL_BACK if late else Step.WAIT


def _may_shift(rollout: Rollout, progress: Progress) -> bool:
    if progress.elapsed_part >= SHIFT_BEFORE_PARTS[rollout.step]:
        return False
    if rollout.step == 0:
        return progress.elapsed_part >= SMALL_SHARE_PART
    return progress.step_ms >= STEP_MS


class RolloutStore(Protocol):
    """Where the state of orders lasts."""

    def set_state(self, rollout: Rollout, state: RolloutState, share: float) -> None:
        """Write a state on top of the known revision; raises `Conflict`, `StoreUnavailable`."""


class FleetResults:
    """The evidence of the orders under way, by order and step."""

    def __init__(self) -> None:
        self.steps: dict[tuple[str, int], FleetEvidence] = {}
        self.first_events = FleetFirstEvents()

    def take(self, rollout: Rollout, statuses: Sequence[MemberStatus]) -> None:
        """Merge the reports of routers that know this state of the order."""
        evidence = self.steps.setdefault((rollout.id, rollout.step), FleetEvidence())
        for status in statuses:
            if status.config_revision >= rollout.revision:
                reporter = Reporter(status.member_id, status.incarnation)
                evidence.merge(reporter, status.evidence)
                self.first_events.take(status.member_id, status.incarnation, status.first_events)

    def judge(self, rollout: Rollout) -> Evidence:
        """Compare the version with the others on each route and over all routes."""
        suspicious = False
        all_new, all_old = Counters(), Counters()
        for route in self._routes(rollout):
            new, old = self._counters(rollout, route)
            fault = fleet_fault(new, old)
            if fault:
                return Evidence(f"route {route}: {fault}")
            suspicious = suspicious or bool(fleet_slowness_suspicion(new, old))
            all_new, all_old = all_new.plus(new), all_old.plus(old)
        fault = fleet_error_fault(all_new, all_old)
        if fault:
            return Evidence(f"all routes: {fault}")
        fault = self._slow_route(rollout)
        if fault:
            return Evidence(fault)
        sent = self.first_events.total(rollout.id, rollout.to_version, rollout.step)
        slower = compare(sent, self.first_events.total(rollout.id, OTHER_VERSIONS)).likely
        return Evidence(
            "",
            suspicious or slower or has_suspicious_errors(all_new, all_old),
            all_new.requests if rollout.step == 0 else sent.heard,
            sent.sent,
            sent.heard_part(),
        )

    def _slow_route(self, rollout: Rollout) -> str:
        """Return the fault of a version whose answers begin later than its load explains, or ''."""
        whole_load = rollout.share >= 1.0
        limit = SLOW_PROBABILITY_WHOLE_LOAD if whole_load else SLOW_PROBABILITY
        for route in [None, *self.first_events.routes(rollout.id)]:
            new = self.first_events.total(rollout.id, rollout.to_version, rollout.step, route)
            old = self.first_events.total(rollout.id, OTHER_VERSIONS, route=route)
            if compare(new, old).surely_above(limit):
                where = "all routes" if route is None else f"route {route}"
                return f"{where}: answers begin later than the load explains"
        return ""

    def forget_others(self, ids: set[str]) -> None:
        """Drop the evidence of orders that are settled."""
        self.steps = {key: item for key, item in self.steps.items() if key[0] in ids}
        self.first_events.keep(ids)

    def _routes(self, rollout: Rollout) -> list[str]:
        steps = (item for key, item in self.steps.items() if key[0] == rollout.id)
        known = (key for step in steps for report in step.latest.values() for key in report)
        return sorted({key.route for key in known if key.service == rollout.service})

    def _counters(self, rollout: Rollout, route: str) -> tuple[Counters, Counters]:
        """Return the results of the version, and those of the others over both steps."""
        new, old = Counters(), Counters()
        for (order, _), step in self.steps.items():
            if order == rollout.id:
                new = new.plus(step.total(EvidenceKey(rollout.service, route, rollout.to_version)))
                old = old.plus(step.total(EvidenceKey(rollout.service, route, OTHER_VERSIONS)))
        return new, old


class RolloutDriver:
    """Looks after the orders for which this router is responsible.

    `gather` returns the reports of all routers, `rank` this router's place in the order of those
    that are responsible for a service.
    """

    def __init__(
        self,
        clock: Clock,
        rollouts: Rollouts,
        store: RolloutStore,
        gather: Callable[[], Sequence[MemberStatus]],
        rank: Callable[[str], int],
    ):
        self.clock = clock
        self.rollouts = rollouts
        self.store = store
        self.gather = gather
        self.rank = rank
        self.results = FleetResults()
        self.due_since: dict[str, tuple[Step, int]] = {}
        # When this router first saw each step of an order.
        self.step_since: dict[tuple[str, int], int] = {}
        self.task = BackgroundTask(self._run)

    def start(self) -> None:
        """Drive in the background."""
        self.task.start()

    def close(self) -> None:
        """Stop driving."""
        self.task.close()

    def tick(self) -> None:
        """Take the steps that are due."""
        active = {item.id: item for item in self.rollouts.active()}
        self.results.forget_others(set(active))
        self.due_since = {key: item for key, item in self.due_since.items() if key in active}
        self.step_since = {key: at for key, at in self.step_since.items() if key[0] in active}
        mine = [item for item in active.values() if self.rank(item.service) < DRIVERS]
        running = any(item.state is RolloutState.RUNNING for item in mine)
        statuses = self._gather_in_time() if running else ()
        for rollout in mine:
            self._drive(rollout, statuses)

    def _gather_in_time(self) -> Sequence[MemberStatus]:
        with gevent.Timeout(GATHER_TIMEOUT_MS / 1000, False):
            return self.gather()
        log.warning("rollout_evidence_late", waited_ms=GATHER_TIMEOUT_MS)
        return ()

    def _drive(self, rollout: Rollout, statuses: Sequence[MemberStatus]) -> None:
        self.results.take(rollout, statuses)
        evidence = self._evidence(rollout)
        progress = self._progress(rollout)
        step = next_step(rollout, progress, evidence)
        since = self.due_since.get(rollout.id)
        if since is None or since[0] is not step:
            since = self.due_since[rollout.id] = (step, self.clock.now())
        waited_ms = self.clock.now() - since[1]
        if step is Step.WAIT or waited_ms < self.rank(rollout.service) * TAKEOVER_MS:
            return
        log.info(
            "rollout_step",
            service=rollout.service,
            to_version=rollout.to_version,
            outcome=step.value,
            revision=rollout.revision,
            elapsed_part=round(progress.elapsed_part, 2),
            results=evidence.results,
            fault=evidence.fault,
            suspicious=evidence.suspicious,
            heard_part=round(evidence.heard_part, 2),
            running_on_others=progress.running_on_others,
        )
        try:
            self.store.set_state(rollout, *_state_after(rollout, step))
        except (Conflict, StoreUnavailable) as error:
            log.warning("rollout_not_written", service=rollout.service, reason=repr(error))

    def _evidence(self, rollout: Rollout) -> Evidence:
        control = self.rollouts.control
        cuts = control.fault_detector.cuts() if control is not None else []
        cut = next((item for item in cuts if item.move_id == rollout.id), None)
        if cut is not None:
            return Evidence(f"route {cut.route}: {cut.reason}")
        return self.results.judge(rollout)

    def _progress(self, rollout: Rollout) -> Progress:
        now = self.clock.now()
        elapsed_ms = now - self.rollouts.seen_at[rollout.id]
        step_ms = now - self.step_since.setdefault((rollout.id, rollout.step), now)
        return Progress(
            elapsed_ms / max(1, rollout.duration_ms),
            step_ms,
            self.rollouts.running_on_others(rollout),
            self.rollouts.target_count(rollout.service, rollout.to_version),
        )

    def _run(self) -> None:
        while True:
            gevent.sleep(TICK_MS / 1000)
            try:
                self.tick()
            except Exception:
                log.exception("rollout_tick_failed")


def _state_after(rollout: Rollout, step: Step) -> tuple[RolloutState, float]:
    """Return the state and the share that a step leads to."""
    if step is Step.COMPLETE:
        return RolloutState.COMPLETED, 1.0
    if step is Step.ROLL_BACK:
        return RolloutState.ROLLED_BACK, 0.0
    share = STEP_SHARES[0] if step is Step.START else STEP_SHARES[rollout.step + 1]
    return RolloutState.RUNNING, share
