"""The steps of version moves, driven by the active controller.

The driver keeps no state that matters: after a change of controller the next one reads the move
from the configuration and collects the evidence of the current step anew.
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
from jacinthcove.moves.evidence import Counters, EvidenceKey, FleetEvidence, Reporter
from jacinthcove.moves.guard import fleet_errors, fleet_fault, fleet_suspicion, suspect_errors
from jacinthcove.moves.rates import last_step_ms
from jacinthcove.store.vms import Vm, VmList

# A move is not recorded as done this shortly before its deadline, because the write could land
# after routers have gone back to the old version.
DONE_MARGIN_MS = 1_000
# Evidence that is complete this shortly before that margin finishes the move at once.
FINISH_WINDOW_MS = 3_000
# A target that fails this many orders in a row is given up if others took theirs.
MAX_LOAD_FAILURES = 5
# The new version counts as under load when it receives at least this part of its share.
UNDER_LOAD_FRACTION = 0.5
PARALLEL_ORDERS = 32


class ConfigUpdates(Protocol):
    """Conditional updates of the configuration."""

    def current(self) -> FleetConfig:
        """Return the newest known configuration."""

    def update(self, change: Callable[[FleetConfig], FleetConfig], /) -> object:
        """Apply `change` to the newest configuration by a conditional write, again on conflict.

        May raise `Conflict` or `StoreUnavailable`.
        """


class OrderGiver(Protocol):
    """The part of `Orders` that the driver uses."""

    def reconcile(self, order: Order) -> OrderResult:
        """Give the order unless the target's state already matches."""


@dataclass(frozen=True)
class MemberReport:
    """The status of one life of a router."""

    member_id: str
    incarnation: int
    status: MemberStatus


@dataclass(frozen=True)
class RouteCounters:
    """The counters of both versions on one route."""

    new: Counters
    old: Counters

    def sent(self) -> int:
        """Return the requests sent on the route."""
        return self.new.sent() + self.old.sent()


@dataclass(frozen=True)
class StepKey:
    """One step of one move."""

    move_id: str
    step: int


class MoveDriver:
    """Loads versions, advances steps on evidence, records the end of moves.

    Call `tick` about once a second while the lease is held. `statuses` returns the latest report
    of each live router, and the same list while there is nothing newer; `vms` the VM list, `held`
    whether this controller is the active one.
    """

    def __init__(
        self,
        updates: ConfigUpdates,
        orders: OrderGiver,
        statuses: Callable[[], Sequence[MemberReport]],
        vms: Callable[[], VmList],
        held: Callable[[], bool],
        clock: Clock,
    ):
        self.updates = updates
        self.orders = orders
        self.statuses = statuses
        self.vms = vms
        self.held = held
        self.clock = clock
        self.evidence: dict[StepKey, FleetEvidence] = {}
        self.judged: dict[StepKey, Sequence[MemberReport]] = {}
        self.failures: dict[tuple[str, str], int] = {}

    def tick(self) -> None:
        """Drive every active move once; a store fault leaves the rest to the next tick."""
        if not self.held():
            return
        config = self.updates.current()
        active = [move for move in config.moves.values() if move.state not in changes.ENDED]
        self._forget_ended({move.id for move in active})
        reports = self.statuses() if active else ()
        for move in active:
            try:
                self._drive(config, move, reports)
            except (Conflict, StoreUnavailable):
                continue

    def _drive(self, config: FleetConfig, move: Move, reports: Sequence[MemberReport]) -> None:
        service = config.services.get(move.service)
        fault = self._fault(move, service, reports)
        if fault or service is None:
            self._update(lambda fresh: changes.revert(fresh, move.id, fault))
        elif self.clock.wall() < move.start_ms:
            return
        elif move.state is MoveState.LOADING:
            self._load(move, service)
        else:
            self._keep_loaded(move, service)
            self._shift(config, move, service, reports)

    def _fault(self, move: Move, service: Service | None, reports: Sequence[MemberReport]) -> str:
        """Return why the move must be reverted, or ''."""
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

    def _load(self, move: Move, service: Service) -> None:
        """Order the load of the version and go on once the targets report it."""
        results = self._reconcile(move, service)
        loaded = sum(1 for done in results.values() if done)
        given_up = [
            target_id
            for target_id, done in results.items()
            if not done and self.failures.get((move.id, target_id), 0) >= MAX_LOAD_FAILURES
        ]
        if loaded + len(given_up) < len(results) or not results:
            return
        if loaded * 2 >= len(results):
            self._update(lambda fresh: changes.start_shifting(fresh, move.id))
        else:
            reason = f"load failed on targets {', '.join(sorted(given_up)[:5])}"
            self._update(lambda fresh: changes.revert(fresh, move.id, reason))

    def _keep_loaded(self, move: Move, service: Service) -> None:
        """Repeat orders to targets that changed; revert when no target answers any more.

        Refused requests are no evidence against a version, so its targets must be watched here.
        """
        results = self._reconcile(move, service)
        if results and all(
            self.failures.get((move.id, target_id), 0) >= MAX_LOAD_FAILURES for target_id in results
        ):
            reason = "no target of the new version answers"
            self._update(lambda fresh: changes.revert(fresh, move.id, reason))

    def _reconcile(self, move: Move, service: Service) -> dict[str, bool]:
        """Let each target of the new version match it; return which ones do."""

        def one(vm: Vm) -> tuple[str, bool]:
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
                self.failures[key] = self.failures.get(key, 0) + 1
            elif outcome is OrderOutcome.MATCHES:
                self.failures.pop(key, None)
            return vm.id, outcome is OrderOutcome.MATCHES

        return dict(Pool(PARALLEL_ORDERS).map(one, self._targets(move)))

    def _targets(self, move: Move) -> list[Vm]:
        return [
            vm
            for vm in self.vms().targets()
            if vm.service == move.service and vm.version == move.to_version and not vm.leaving
        ]

    def _shift(
        self, config: FleetConfig, move: Move, service: Service, reports: Sequence[MemberReport]
    ) -> None:
        """Revert on a fault over the fleet, else advance when the step has its evidence."""
        key = StepKey(move.id, move.step)
        # Judging 3,000 reports takes 0.2 s; those of a large fleet are new only every few seconds.
        if self.judged.get(key) is reports and not self._late(move):
            return
        evidence = self.evidence.setdefault(key, FleetEvidence(self.clock.now()))
        for report in reports:
            # An older configuration would report the previous step, or another move.
            if report.status.config_revision >= config.revision:
                evidence.merge(
                    Reporter(report.member_id, report.incarnation), report.status.evidence
                )
        fault, enough = self._judge(move, service, evidence)
        if fault:
            self._update(lambda fresh: changes.revert(fresh, move.id, fault))
        elif enough and move.step + 1 < len(move.steps):
            self._update(lambda fresh: changes.advance(fresh, move.id, move.step))
        elif enough and self._lasted(move):
            # Evaluated with the write, because a retry of the update can come much later.
            self._update(
                lambda fresh: changes.finish(
                    fresh, move.id, move.step, self.clock.wall() + DONE_MARGIN_MS
                )
            )
        # Only now, so that a failed update is tried again at the next tick.
        self.judged[key] = reports

    def _lasted(self, move: Move) -> bool:
        """Return whether the last step ran long enough, or its deadline leaves no more time."""
        least_ms = last_step_ms(move.deadline_ms - move.start_ms)
        seen_ms = self.clock.now() - self.evidence[StepKey(move.id, move.step)].began_at
        return seen_ms >= least_ms or self._late(move)

    def _late(self, move: Move) -> bool:
        """Return whether a move that is to be recorded as done has to be finished now."""
        return self.clock.wall() >= move.deadline_ms - DONE_MARGIN_MS - FINISH_WINDOW_MS

    def _judge(self, move: Move, service: Service, evidence: FleetEvidence) -> tuple[str, bool]:
        """Return the fault on any route, and whether the step has its evidence.

        A step does not end while the results so far look like a slow version or like one with more
        errors.
        """
        routes: list[RouteCounters] = []
        suspicion = ""
        all_new, all_old = Counters(), Counters()
        for route in service.routes:
            new = evidence.total(EvidenceKey(service.name, route.name, move.to_version))
            old = evidence.total(EvidenceKey(service.name, route.name, move.from_version))
            new_sum, old_sum = self._all_steps(move, route.name)
            fault = fleet_fault(new, old) or fleet_errors(new_sum, old_sum)
            all_new, all_old = all_new.plus(new_sum), all_old.plus(old_sum)
            if fault:
                return f"route {route.name}: {fault}", False
            suspicion = suspicion or fleet_suspicion(new, old)
            routes.append(RouteCounters(new, old))
        # Both versions have the same mix of routes, so rare errors also add up over routes.
        fault = fleet_errors(all_new, all_old)
        if fault:
            return f"all routes: {fault}", False
        if suspicion or suspect_errors(all_new, all_old):
            return "", False
        needed = max(move.steps[move.step].min_requests, len(self._targets(move)))
        return "", self._has_evidence(move, needed, routes)

    def _all_steps(self, move: Move, route: str) -> tuple[Counters, Counters]:
        """Return the counters of both versions over all steps that this controller saw.

        Rare errors add up over the steps, and the last step has no requests to the old version.
        """
        new, old = Counters(), Counters()
        for step in range(move.step + 1):
            evidence = self.evidence.get(StepKey(move.id, step), FleetEvidence())
            new = new.plus(evidence.total(EvidenceKey(move.service, route, move.to_version)))
            old = old.plus(evidence.total(EvidenceKey(move.service, route, move.from_version)))
        return new, old

    def _has_evidence(self, move: Move, needed: int, routes: list[RouteCounters]) -> bool:
        """Return whether the new version has `needed` results, spread as the service's requests.

        A route's part of `needed` is its part of the requests, so a route with little traffic does
        not hold the move; but each route with a request to the new version waits for a result.
        """
        sent = sum(route.sent() for route in routes)
        if sum(route.new.requests for route in routes) < needed:
            return False
        for route in routes:
            part = max(int(needed * route.sent() / sent), min(1, route.new.sent()))
            under_load = route.new.sent() >= int(UNDER_LOAD_FRACTION * move.share * route.sent())
            if route.new.requests < part or not under_load:
                return False
        return True

    def _update(self, change: Callable[[FleetConfig], FleetConfig]) -> None:
        """Change the configuration if this controller is still the active one."""
        if self.held():
            self.updates.update(change)

    def _forget_ended(self, active: set[str]) -> None:
        self.evidence = {key: item for key, item in self.evidence.items() if key.move_id in active}
        self.judged = {key: item for key, item in self.judged.items() if key.move_id in active}
        self.failures = {key: item for key, item in self.failures.items() if key[0] in active}
