"""Runs version moves step by step; only the active controller does so.

The driver persists nothing itself: a controller that takes over reads the move from the
configuration and collects the evidence of the current step again.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from gevent.pool import Pool

from jacinthcove.clock import Clock
from jacinthcove.config.model import FleetConfig, Move, MoveState, Service
from jacinthcove.control.orders import Order, OrderKind, OrderOutcome, OrderResult
from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.mesh.mesh_pb2 import MemberStatus
from jacinthcove.moves import changes
from jacinthcove.moves.detector import (
    fleet_error_fault,
    fleet_fault,
    fleet_slowness_suspicion,
    has_suspicious_errors,
)
from jacinthcove.moves.evidence import Counters, EvidenceKey, FleetEvidence, Reporter
from jacinthcove.moves.rates import min_last_step_ms
from jacinthcove.store.vms import Vm, VmList

# A move is not recorded as done in the last second before its deadline, because the write could
# take effect after routers have returned to the old version.
DONE_MARGIN_MS = 1_000
# In this time before that margin, complete evidence finishes the move without further waiting.
FINISH_WINDOW_MS = 3_000
# After this many failed orders in a row, the driver stops waiting for a target.
MAX_LOAD_FAILURES = 5
# The new version is under load once it receives at least this fraction of its share.
UNDER_LOAD_FRACTION = 0.5
PARALLEL_ORDERS = 32


class ConfigUpdates(Protocol):
    """Reads the configuration and updates it by conditional writes."""

    def current(self) -> FleetConfig:
        """Return the newest known configuration."""

    def update(self, change: Callable[[FleetConfig], FleetConfig], /) -> object:
        """Apply `change` to the newest configuration by a conditional write; retry on conflict.

        Raises `Conflict` when the retries are used up, `StoreUnavailable` on a store failure.
        """


class OrderClient(Protocol):
    """Sends orders to targets; implemented by `Orders`."""

    def reconcile(self, order: Order) -> OrderResult:
        """Send the order unless the target's state already matches it."""


@dataclass(frozen=True)
class MemberReport:
    """The status that one incarnation of a router reported."""

    member_id: str
    incarnation: int
    status: MemberStatus


@dataclass(frozen=True)
class RouteCounters:
    """The counters of the new and the old version on one route."""

    new: Counters
    old: Counters

    def sent(self) -> int:
        """Return the number of requests sent to both versions."""
        return self.new.sent() + self.old.sent()


@dataclass(frozen=True)
class StepKey:
    """Identifies one step of one move."""

    move_id: str
    step: int


class MoveDriver:
    """Loads new versions on targets, advances moves on evidence and finishes or reverts them.

    Call `tick` about once a second while the lease is held. `statuses` returns the latest report
    of each live router, as the same list object until there is a newer report. `is_active` returns
    whether this controller holds the lease.
    """

    def __init__(
        self,
        updates: ConfigUpdates,
        orders: OrderClient,
        statuses: Callable[[], Sequence[MemberReport]],
        vms: Callable[[], VmList],
        is_active: Callable[[], bool],
        clock: Clock,
    ):
        self.updates = updates
        self.orders = orders
        self.statuses = statuses
        self.vms = vms
        self.is_active = is_active
        self.clock = clock
        self.evidence: dict[StepKey, FleetEvidence] = {}
        self.evaluated_reports: dict[StepKey, Sequence[MemberReport]] = {}
        self.order_failures: dict[tuple[str, str], int] = {}

    def tick(self) -> None:
        """Process every active move once; a move whose update fails is retried at the next tick."""
        if not self.is_active():
            return
        config = self.updates.current()
        active = [move for move in config.moves.values() if move.state not in changes.ENDED]
        self._forget_ended_moves({move.id for move in active})
        reports = self.statuses() if active else ()
        for move in active:
            try:
                self._drive(config, move, reports)
            except (Conflict, StoreUnavailable):
                continue

    def _drive(self, config: FleetConfig, move: Move, reports: Sequence[MemberReport]) -> None:
        service = config.services.get(move.service)
        fault = self._find_fault(move, service, reports)
        if fault or service is None:
            self._update(lambda fresh: changes.revert(fresh, move.id, fault))
        elif self.clock.wall() < move.start_ms:
            return
        elif move.state is MoveState.LOADING:
            self._load_version(move, service)
        else:
            self._reload_targets(move, service)
            self._drive_step(config, move, service, reports)

    def _find_fault(
        self, move: Move, service: Service | None, reports: Sequence[MemberReport]
    ) -> str:
        """Return the reason to revert the move, or ''."""
        if service is None:
            return "the service was removed"
        if self.clock.wall() >= move.deadline_ms:
            waiting = " while loading" if move.state is MoveState.LOADING else ""
            return f"deadline passed{waiting}"
        for report in reports:
            for cut in report.status.cuts:
                if cut.move_id == move.id:
                    return f"cut on route {cut.route}: {cut.reason}"
        if not move.steps:
            return "the move has no steps"
        return ""

    def _load_version(self, move: Move, service: Service) -> None:
        """Order targets to load the version; start shifting once at least half have loaded it."""
        results = self._reconcile_targets(move, service)
        loaded = sum(1 for done in results.values() if done)
        given_up = [
            target_id
            for target_id, done in results.items()
            if not done and self.order_failures.get((move.id, target_id), 0) >= MAX_LOAD_FAILURES
        ]
        if loaded + len(given_up) < len(results) or not results:
            return
        if loaded * 2 >= len(results):
            self._update(lambda fresh: changes.start_shifting(fresh, move.id))
        else:
            reason = f"load failed on targets {', '.join(sorted(given_up)[:5])}"
            self._update(lambda fresh: changes.revert(fresh, move.id, reason))

    def _reload_targets(self, move: Move, service: Service) -> None:
        """Repeat the load order to targets that do not match; revert when every target fails.

        Requests that a target refused do not count as evidence against its version, so failing
        targets are detected here.
        """
        results = self._reconcile_targets(move, service)
        if results and all(
            self.order_failures.get((move.id, target_id), 0) >= MAX_LOAD_FAILURES
            for target_id in results
        ):
            reason = "no target of the new version answers"
            self._update(lambda fresh: changes.revert(fresh, move.id, reason))

    def _reconcile_targets(self, move: Move, service: Service) -> dict[str, bool]:
        """Order the new version on each of its targets; return by target id whether it matches."""

        def reconcile_target(vm: Vm) -> tuple[str, bool]:
            order = Order(
                vm.id,
                vm.address,
                OrderKind.LOAD_VERSION,
                move.to_version,
                checks_fencing=service.checks_fencing,
            )
            outcome = self.orders.reconcile(order).outcome
            key = (move.id, vm.id)
            if outcome in (OrderOutcome.FAILED, OrderOutcome.STALE):
                self.order_failures[key] = self.order_failures.get(key, 0) + 1
            elif outcome is OrderOutcome.MATCHES:
                self.order_failures.pop(key, None)
            return vm.id, outcome is OrderOutcome.MATCHES

        return dict(Pool(PARALLEL_ORDERS).map(reconcile_target, self._targets(move)))

    def _targets(self, move: Move) -> list[Vm]:
        return [
            vm
            for vm in self.vms().targets()
            if vm.service == move.service and vm.version == move.to_version and not vm.leaving
        ]

    def _drive_step(
        self, config: FleetConfig, move: Move, service: Service, reports: Sequence[MemberReport]
    ) -> None:
        """Revert on a fault, else advance or finish when the step has enough evidence."""
        key = StepKey(move.id, move.step)
        # Evaluating 3,000 reports takes 0.2 s, and a large fleet has new ones only every few
        # seconds, so the same reports are not evaluated again.
        if self.evaluated_reports.get(key) is reports and not self._must_finish_now(move):
            return
        evidence = self.evidence.setdefault(key, FleetEvidence(self.clock.now()))
        for report in reports:
            # A router with an older configuration still reports the previous step or another move.
            if report.status.config_revision >= config.revision:
                evidence.merge(
                    Reporter(report.member_id, report.incarnation), report.status.evidence
                )
        fault, enough = self._evaluate(move, service, evidence)
        if fault:
            self._update(lambda fresh: changes.revert(fresh, move.id, fault))
        elif enough and move.step + 1 < len(move.steps):
            self._update(lambda fresh: changes.advance(fresh, move.id, move.step))
        elif enough and self._ran_long_enough(move):
            # The clock is read inside the change, because the update may be retried much later.
            self._update(
                lambda fresh: changes.finish(
                    fresh, move.id, move.step, self.clock.wall() + DONE_MARGIN_MS
                )
            )
        # Set after the update, so that a failed update is retried at the next tick.
        self.evaluated_reports[key] = reports

    def _ran_long_enough(self, move: Move) -> bool:
        """Return whether the last step ran for its minimum time or the deadline is near."""
        min_ms = min_last_step_ms(move.deadline_ms - move.start_ms)
        elapsed_ms = self.clock.now() - self.evidence[StepKey(move.id, move.step)].began_at
        return elapsed_ms >= min_ms or self._must_finish_now(move)

    def _must_finish_now(self, move: Move) -> bool:
        """Return whether the deadline is so near that the move must be finished now or never."""
        return self.clock.wall() >= move.deadline_ms - DONE_MARGIN_MS - FINISH_WINDOW_MS

    def _evaluate(self, move: Move, service: Service, evidence: FleetEvidence) -> tuple[str, bool]:
        """Return the fault on any route or '', and whether the step has enough evidence.

        A step does not end while the results suggest that the new version is slower or has more
        errors, even if they are too few to prove a fault.
        """
        routes: list[RouteCounters] = []
        suspicion = ""
        all_new, all_old = Counters(), Counters()
        for route in service.routes:
            new = evidence.total(EvidenceKey(service.name, route.name, move.to_version))
            old = evidence.total(EvidenceKey(service.name, route.name, move.from_version))
            new_sum, old_sum = self._totals_over_steps(move, route.name)
            fault = fleet_fault(new, old) or fleet_error_fault(new_sum, old_sum)
            all_new, all_old = all_new.plus(new_sum), all_old.plus(old_sum)
            if fault:
                return f"route {route.name}: {fault}", False
            suspicion = suspicion or fleet_slowness_suspicion(new, old)
            routes.append(RouteCounters(new, old))
        # Both versions receive the same mix of routes, so errors too rare to show on one route
        # are also compared over all routes.
        fault = fleet_error_fault(all_new, all_old)
        if fault:
            return f"all routes: {fault}", False
        if suspicion or has_suspicious_errors(all_new, all_old):
            return "", False
        needed = max(move.steps[move.step].min_requests, len(self._targets(move)))
        return "", self._has_enough_evidence(move, needed, routes)

    def _totals_over_steps(self, move: Move, route: str) -> tuple[Counters, Counters]:
        """Return the counters of the new and the old version, summed over all steps seen here.

        Single steps have too few requests to show rare errors, and the last step has no requests
        to the old version to compare with.
        """
        new, old = Counters(), Counters()
        for step in range(move.step + 1):
            evidence = self.evidence.get(StepKey(move.id, step), FleetEvidence())
            new = new.plus(evidence.total(EvidenceKey(move.service, route, move.to_version)))
            old = old.plus(evidence.total(EvidenceKey(move.service, route, move.from_version)))
        return new, old

    def _has_enough_evidence(self, move: Move, needed: int, routes: list[RouteCounters]) -> bool:
        """Return whether the new version has `needed` results, distributed like the requests.

        Each route must have a fraction of `needed` in proportion to its requests, so a route with
        little traffic does not block the move. A route that sent any request to the new version
        must have at least one result.
        """
        sent = sum(route.sent() for route in routes)
        if sum(route.new.requests for route in routes) < needed:
            return False
        for route in routes:
            required = max(int(needed * route.sent() / sent), min(1, route.new.sent()))
            under_load = route.new.sent() >= int(UNDER_LOAD_FRACTION * move.share * route.sent())
            if route.new.requests < required or not under_load:
                return False
        return True

    def _update(self, change: Callable[[FleetConfig], FleetConfig]) -> None:
        """Update the configuration if this controller still holds the lease."""
        if self.is_active():
            self.updates.update(change)

    def _forget_ended_moves(self, active: set[str]) -> None:
        self.evidence = {key: item for key, item in self.evidence.items() if key.move_id in active}
        self.evaluated_reports = {
            key: item for key, item in self.evaluated_reports.items() if key.move_id in active
        }
        self.order_failures = {
            key: item for key, item in self.order_failures.items() if key[0] in active
        }
