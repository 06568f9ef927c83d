"""Drives each rollout from its creation to its end; one router of the fleet drives a rollout.

The new version first gets a small share, then more, then all requests. Each step waits until enough
results look like those of the other versions. The rollout completes when the other targets have
finished their work, because completion stops them, and only if the new version has shown that it
handles the full load. A fault on any route rolls the version back.
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
# Evidence that takes longer is left out, so that a slow router does not delay a rollout.
GATHER_TIMEOUT_MS = 1_200
# How many routers may drive a rollout, and how much longer than the one before it each of them
# waits before it takes an action that is due.
DRIVER_COUNT = 2
TAKEOVER_MS = 1_500
# Fractions of the rollout's duration: the minimum time of the first step, the latest time at which
# each step may be followed by the next, and the time by which the rollout is completed or rolled
# back.
MIN_FIRST_STEP_FRACTION = 0.25
SHIFT_BEFORE_FRACTIONS = (0.6, 0.7)
SETTLE_FRACTION = 0.85
MIN_RESULTS = 30
# The minimum time in each step after the first, and in the last one before it completes.
MIN_STEP_MS = 1_500
MIN_FULL_SHARE_MS = 2_000
# A version handles its load if the outcome of at least this fraction of its requests is known.
MIN_RESOLVED_FRACTION = 0.6
# Below this fraction the version counts as not responding at all.
UNRESPONSIVE_FRACTION = 0.3
# From this probability of a slower first event on, the version is too slow for its load. The limit
# is higher at the full share, as its targets are busier than those of the others were.
SLOW_PROBABILITY = 0.65
SLOW_PROBABILITY_FULL_SHARE = 0.75


class Action(Enum):
    """What to do with a rollout now."""

    WAIT = "wait"
    START = "start"
    SHIFT = "shift"
    COMPLETE = "complete"
    ROLL_BACK = "roll_back"


@dataclass(frozen=True)
class Evidence:
    """What the results of all routers say about the new version.

    `resolved_fraction` is the fraction of the `sent` requests of this step whose outcome is known.
    """

    fault: str = ""
    suspicious: bool = False
    results: int = 0
    sent: int = 0
    resolved_fraction: float = 1.0

    @property
    def handles_load(self) -> bool:
        """Return whether the version responds to enough of its requests in this step."""
        return self.results >= MIN_RESULTS and self.resolved_fraction >= MIN_RESOLVED_FRACTION

    @property
    def unresponsive(self) -> bool:
        """Return whether the version hardly responds to its requests in this step."""
        return self.sent >= MIN_RESULTS and self.resolved_fraction < UNRESPONSIVE_FRACTION


@dataclass(frozen=True)
class Progress:
    """How far a rollout is; `step_ms` is the time since the version got its present share."""

    elapsed_fraction: float
    step_ms: int
    running_on_others: int
    targets: int


def next_action(rollout: Rollout, progress: Progress, evidence: Evidence) -> Action:
    """Return what to do with a rollout that has not ended."""
    if rollout.state is RolloutState.REQUESTED:
        return Action.START
    unresponsive = evidence.unresponsive and rollout.step > 0 and progress.step_ms >= MIN_STEP_MS
    if evidence.fault or unresponsive:
        return Action.ROLL_BACK
    must_settle = progress.elapsed_fraction >= SETTLE_FRACTION
    if rollout.share < 1.0:
        is_proven = evidence.handles_load and not evidence.suspicious
        if is_proven and progress.targets and _is_shift_allowed(rollout, progress):
            return Action.SHIFT
    elif evidence.handles_load:
        others_drained = progress.running_on_others == 0 and progress.step_ms >= MIN_FULL_SHARE_MS
        if others_drained or must_settle:
            return Action.COMPLETE
    return Action.ROLL_BACK if must_settle else Action.WAIT


def _is_shift_allowed(rollout: Rollout, progress: Progress) -> bool:
    if progress.elapsed_fraction >= SHIFT_BEFORE_FRACTIONS[rollout.step]:
        return False
    if rollout.step == 0:
        return progress.elapsed_fraction >= MIN_FIRST_STEP_FRACTION
    return progress.step_ms >= MIN_STEP_MS


class RolloutStore(Protocol):
    """Stores the state of rollouts."""

    def set_state(self, rollout: Rollout, state: RolloutState, share: float) -> None:
        """Write a state if the stored revision is the known one.

        Raises `Conflict` if it is not, and `StoreUnavailable`.
        """


class FleetResults:
    """The fleet's evidence on active rollouts, by rollout and step."""

    def __init__(self) -> None:
        self.steps: dict[tuple[str, int], FleetEvidence] = {}
        self.first_events = FleetFirstEvents()

    def merge_reports(self, rollout: Rollout, statuses: Sequence[MemberStatus]) -> None:
        """Merge the reports of routers that know this revision of the rollout."""
        evidence = self.steps.setdefault((rollout.id, rollout.step), FleetEvidence())
        for status in statuses:
            if status.config_revision >= rollout.revision:
                reporter = Reporter(status.member_id, status.incarnation)
                evidence.merge(reporter, status.evidence)
                self.first_events.merge_report(
                    status.member_id, status.incarnation, status.first_events
                )

    def evaluate(self, rollout: Rollout) -> Evidence:
        """Compare the new version with the others on each route and over all routes."""
        suspicious = False
        all_new, all_old = Counters(), Counters()
        for route in self._known_routes(rollout):
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
        slower = compare(sent, self.first_events.total(rollout.id, OTHER_VERSIONS)).is_likely_slower
        return Evidence(
            "",
            suspicious or slower or has_suspicious_errors(all_new, all_old),
            all_new.requests if rollout.step == 0 else sent.resolved,
            sent.sent,
            sent.resolved_fraction(),
        )

    def _slow_route(self, rollout: Rollout) -> str:
        """Return the fault if the first events come later than the load explains, or ''."""
        full_share = rollout.share >= 1.0
        limit = SLOW_PROBABILITY_FULL_SHARE if full_share else SLOW_PROBABILITY
        for route in [None, *self.first_events.routes(rollout.id)]:
            new = self.first_events.total(rollout.id, rollout.to_version, rollout.step, route)
            old = self.first_events.total(rollout.id, OTHER_VERSIONS, route=route)
            if compare(new, old).is_significant(limit):
                where = "all routes" if route is None else f"route {route}"
                return f"{where}: answers begin later than the load explains"
        return ""

    def retain_only(self, ids: set[str]) -> None:
        """Drop the evidence on all rollouts but these."""
        self.steps = {key: item for key, item in self.steps.items() if key[0] in ids}
        self.first_events.retain_only(ids)

    def _known_routes(self, rollout: Rollout) -> list[str]:
        steps = (item for key, item in self.steps.items() if key[0] == rollout.id)
        keys = (key for step in steps for report in step.latest.values() for key in report)
        return sorted({key.route for key in keys if key.service == rollout.service})

    def _counters(self, rollout: Rollout, route: str) -> tuple[Counters, Counters]:
        """Return the results of the new version and of the others, over all steps."""
        new, old = Counters(), Counters()
        for (rollout_id, _), step in self.steps.items():
            if rollout_id == rollout.id:
                new = new.plus(step.total(EvidenceKey(rollout.service, route, rollout.to_version)))
                old = old.plus(step.total(EvidenceKey(rollout.service, route, OTHER_VERSIONS)))
        return new, old


class RolloutDriver:
    """Drives the rollouts for which this router is responsible.

    `gather` returns the reports of all routers. `rank` returns this router's rank among the routers
    responsible for a service, 0 for the one that acts first.
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
        self.action_since: dict[str, tuple[Action, int]] = {}
        # When this router first saw each step of a rollout.
        self.step_seen_at: dict[tuple[str, int], int] = {}
        self.task = BackgroundTask(self._run)

    def start(self) -> None:
        """Start to drive rollouts in the background."""
        self.task.start()

    def close(self) -> None:
        """Stop the background task."""
        self.task.close()

    def tick(self) -> None:
        """Take the actions that are due."""
        self.rollouts.expire()
        self._save_states()
        active = {item.id: item for item in self.rollouts.active()}
        self.results.retain_only(set(active))
        self.action_since = {key: item for key, item in self.action_since.items() if key in active}
        self.step_seen_at = {
            key: first_seen_at
            for key, first_seen_at in self.step_seen_at.items()
            if key[0] in active
        }
        own = [
            item
            for item in active.values()
            if not item.unsaved and self.rank(item.service) < DRIVER_COUNT
        ]
        running = any(item.state is RolloutState.RUNNING for item in own)
        statuses = self._gather_with_timeout() if running else ()
        for rollout in own:
            self._drive(rollout, statuses)

    def _save_states(self) -> None:
        """Write states again that the store lost."""
        for rollout in self.rollouts.unsaved():
            if self.rank(rollout.service) < DRIVER_COUNT:
                self._write(rollout, rollout.state, rollout.share)

    def _write(self, rollout: Rollout, state: RolloutState, share: float) -> None:
        try:
            self.store.set_state(rollout, state, share)
        except (Conflict, StoreUnavailable) as error:
            log.warning("rollout_not_written", service=rollout.service, reason=repr(error))

    def _gather_with_timeout(self) -> Sequence[MemberStatus]:
        with gevent.Timeout(GATHER_TIMEOUT_MS / 1000, False):
            return self.gather()
        log.warning("rollout_evidence_late", waited_ms=GATHER_TIMEOUT_MS)
        return ()

    def _drive(self, rollout: Rollout, statuses: Sequence[MemberStatus]) -> None:
        self.results.merge_reports(rollout, statuses)
        evidence = self._evidence(rollout)
        progress = self._progress(rollout)
        action = next_action(rollout, progress, evidence)
        pending = self.action_since.get(rollout.id)
        if pending is None or pending[0] is not action:
            pending = self.action_since[rollout.id] = (action, self.clock.now())
        waited_ms = self.clock.now() - pending[1]
        if action is Action.WAIT or waited_ms < self.rank(rollout.service) * TAKEOVER_MS:
            return
        log.info(
            "rollout_step",
            service=rollout.service,
            to_version=rollout.to_version,
            outcome=action.value,
            revision=rollout.revision,
            elapsed_part=round(progress.elapsed_fraction, 2),
            results=evidence.results,
            fault=evidence.fault,
            suspicious=evidence.suspicious,
            heard_part=round(evidence.resolved_fraction, 2),
            running_on_others=progress.running_on_others,
        )
        self._write(rollout, *_state_after(rollout, action))

    def _evidence(self, rollout: Rollout) -> Evidence:
        control = self.rollouts.control
        cuts = control.fault_detector.cuts() if control is not None else []
        cut = next((item for item in cuts if item.move_id == rollout.id), None)
        if cut is not None:
            return Evidence(f"route {cut.route}: {cut.reason}")
        return self.results.evaluate(rollout)

    def _progress(self, rollout: Rollout) -> Progress:
        now = self.clock.now()
        elapsed_ms = now - self.rollouts.seen_at[rollout.id]
        step_ms = now - self.step_seen_at.setdefault((rollout.id, rollout.step), now)
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


def _state_after(rollout: Rollout, action: Action) -> tuple[RolloutState, float]:
    """Return the state and the share that an action leads to."""
    if action is Action.COMPLETE:
        return RolloutState.COMPLETED, 1.0
    if action is Action.ROLL_BACK:
        return RolloutState.ROLLED_BACK, 0.0
    share = STEP_SHARES[0] if action is Action.START else STEP_SHARES[rollout.step + 1]
    return RolloutState.RUNNING, share
