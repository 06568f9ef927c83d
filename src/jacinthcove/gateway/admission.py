"""Admission: joins placement, fair shares, cold limits and the short wait for a place."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import gevent
import structlog

from jacinthcove.clock import Clock
from jacinthcove.codes import ResultCode
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.coldlimit import ColdLimit
from jacinthcove.gateway.fleetparts import FleetParts
from jacinthcove.gateway.model import GatewayRequest, GatewayService, RoutingConfig
from jacinthcove.gateway.placement import Choice, Placement, Verdict
from jacinthcove.gateway.rollouts import Rollouts, VersionPlan
from jacinthcove.gateway.shares import ShareLedger
from jacinthcove.gateway.targets import TargetBook, TargetState
from jacinthcove.observe.decisions import DecisionLog

log = structlog.get_logger()

# A request that no target can start yet waits this part of its latency goal at most.
WAIT_PART = 0.12
WAIT_STEP_MS = 8
# Processor time to look at one target, and the part of a router's time that those who wait may take
# by asking again: where many wait they ask less often, so that the router keeps up.
LOOK_MS = 0.015
ASKING_PART = 0.25
# Refused callers come back while they can still be served within their goal, at random times
# between these parts of it, so that they do not come together.
RETURN_MIN_PART = 0.05
RETURN_MAX_PART = 0.25
TOO_SLOW_RETRY_MS = 1_300
NO_TARGET_RETRY_MS = 500
# A log line names at most this many targets.
LOGGED_TARGETS = 10


@dataclass(frozen=True)
class ColdBound:
    """The rate that a cold target bears: `over` times its own rate plus `slack` per second."""

    over: float
    slack: float


@dataclass(frozen=True)
class Pending:
    """A request that waits for a target until `give_up_at` (monotonic ms) at most.

    `counted` if what it asks for counts as given already, by an earlier attempt.
    """

    request: GatewayRequest
    service: str
    avoid: frozenset[str]
    plan: VersionPlan
    give_up_at: int
    counted: bool = False
    over_share: bool = False


class Admission:
    """Finds a target for a request or refuses it; the caller reports its end with `release`."""

    def __init__(
        self,
        clock: Clock,
        book: TargetBook,
        placement: Placement,
        ledger: ShareLedger,
        cold: ColdLimit,
        cold_bound: ColdBound,
        fleet: FleetParts,
        decisions: DecisionLog,
        rollouts: Rollouts,
        rng: random.Random | None = None,
    ):
        self.clock = clock
        self.book = book
        self.placement = placement
        self.ledger = ledger
        self.cold = cold
        self.cold_bound = cold_bound
        self.fleet = fleet
        self.decisions = decisions
        self.rollouts = rollouts
        self.rng = rng or random.Random()
        self.least_goals: dict[str, int] = {}
        self.services: dict[str, GatewayService] = {}
        # Whether this router has more to do than it keeps up with.
        self.is_late: Callable[[], bool] = lambda: False
        # Ids of the requests that wait for a target.
        self.waiting: set[str] = set()

    def configure(self, config: RoutingConfig) -> None:
        """Take the services and goals of a new configuration."""
        self.services = config.services
        goals: dict[str, int] = {}
        for route in config.routes:
            for share in route.services:
                goal = goals.get(share.service, route.latency_goal_ms)
                goals[share.service] = min(goal, route.latency_goal_ms)
        self.least_goals = goals

    def acquire(
        self,
        request: GatewayRequest,
        service: str,
        avoid: frozenset[str],
        counted: bool = False,
    ) -> Choice:
        """Return a target, counted as in use; raises `RequestRefused` with a not-run code."""
        pending = self.begin(request, service, avoid, counted)
        try:
            while (choice := self.decide(pending)) is None:
                gevent.sleep(self.wait_step_ms(service) / 1000)
        finally:
            self.waiting.discard(request.id)
        return choice

    def wait_step_ms(self, service: str) -> float:
        """Return the time after which a request that waits asks again."""
        looks = len(self.waiting) * len(self.book.by_service.get(service, ()))
        return max(WAIT_STEP_MS, looks * LOOK_MS / ASKING_PART)

    def begin(
        self,
        request: GatewayRequest,
        service: str,
        avoid: frozenset[str],
        counted: bool = False,
    ) -> Pending:
        """Count what a request asks for; `avoid` are the targets that it was sent to before."""
        give_up_at = self.clock.now() + int(WAIT_PART * request.route.latency_goal_ms)
        if not avoid:
            self.ledger.ask(request.workspace, request.prompt.service_tokens)
        plan = self.rollouts.plan(service, request.route.name)
        give_up_at = min(give_up_at, request.deadline)
        over = not avoid and self._is_over_share(request)
        return Pending(request, service, avoid, plan, give_up_at, counted, over)

    def _is_over_share(self, request: GatewayRequest) -> bool:
        """Return whether a request is beyond the share of its workspace while others wait."""
        if not request.prompt.service_tokens:
            return False
        return self.rng.random() >= self.ledger.admitted_part(request.workspace)

    def decide(self, pending: Pending) -> Choice | None:
        """Return a target, counted as in use, or None to ask again after `wait_step_ms`.

        Raises `RequestRefused` with a not-run code.
        """
        self.waiting.discard(pending.request.id)
        choice = self._decide(pending)
        if choice is None:
            self.waiting.add(pending.request.id)
        return choice

    def _decide(self, pending: Pending) -> Choice | None:
        request, service, give_up_at = pending.request, pending.service, pending.give_up_at
        if pending.over_share:
            self._log_refusal(request, service, Verdict.OVER_SHARE, pending.avoid)
            raise self._refusal(Verdict.OVER_SHARE, request, service)
        verdict = self._choose(request, service, pending.avoid, pending.plan)
        if isinstance(verdict, Verdict):
            # To ask again costs as much as to ask first, which a late router cannot afford.
            no_wait = verdict is Verdict.TOO_SLOW or self.is_late()
            if no_wait or self._free_at(service) >= give_up_at:
                self._log_refusal(request, service, verdict, pending.avoid)
                raise self._refusal(verdict, request, service)
            return None
        if self._waits_for_holder(verdict, give_up_at):
            return None
        self._occupy(request, verdict)
        if not pending.counted:
            self.ledger.admit(request.workspace, request.prompt.service_tokens)
        return verdict

    def _waits_for_holder(self, choice: Choice, give_up_at: int) -> bool:
        """Return whether waiting for an engine that holds the parts is cheaper than a copy."""
        left_ms = give_up_at - self.clock.now()
        return 0 < left_ms < choice.holder_saves_ms and not self.is_late()

    def _free_at(self, service: str) -> int:
        """Return when a target may have room at the earliest."""
        return self.clock.now() + max(WAIT_STEP_MS, self.book.refused_for_ms(service))

    def may_send(self, request: GatewayRequest, target: TargetState) -> bool:
        """Return whether a request may be sent to its target now, and count that it is.

        The target may have left or turned cold since it was chosen.
        """
        if not self.book.may_send(target):
            return False
        return self.cold.send(target.record.id, request.id, self._cold_limit(target))

    def release(
        self, request: GatewayRequest, target: TargetState, turned_away: bool = False
    ) -> None:
        """Count the end of a request at its target; `turned_away` if no target worked on it."""
        target.load.end(request.id)
        self.cold.forget(target.record.id, request.id)
        if turned_away:
            self.ledger.take_back(request.workspace, request.prompt.service_tokens)

    def note_begun(self, request: GatewayRequest) -> None:
        """Count that the answer to a request begins now."""
        waited_ms = self.clock.now() - request.received_at
        late = waited_ms > request.route.latency_goal_ms
        self.ledger.begin(request.workspace, request.prompt.service_tokens, late)

    def _choose(
        self, request: GatewayRequest, service: str, avoid: frozenset[str], plan: VersionPlan
    ) -> Choice | Verdict:
        known = self.services.get(service)
        if known is None:
            return Verdict.NO_TARGET
        usable = [t for t in self.book.usable(service) if t.record.id not in avoid]
        verdict: Choice | Verdict = Verdict.NO_TARGET
        for tier in plan.tiers(usable):
            found = self._choose_among(request, known, tier)
            if isinstance(found, Choice):
                return found
            if verdict is Verdict.NO_TARGET:
                verdict = found
        return verdict

    def _choose_among(
        self, request: GatewayRequest, known: GatewayService, usable: list[TargetState]
    ) -> Choice | Verdict:
        now = self.clock.now()
        willing = [t for t in usable if t.refuses_until <= now]
        reachable = [t for t in willing if t.unreachable_until <= now] or willing
        targets = [t for t in reachable if self._cold_allows(t)]
        if usable and not targets:
            return Verdict.FULL
        if known.engine is None:
            return self.placement.choose_plain(request, targets)
        return self.placement.choose_engine(
            request,
            targets,
            known.engine,
            self.least_goals.get(known.name, request.route.latency_goal_ms),
            self.ledger.standing(request.workspace),
            now,
            self.book.still_there(known.name),
            self.ledger.given_per_s,
        )

    def _cold_allows(self, target: TargetState) -> bool:
        limit = self._cold_limit(target)
        return limit is None or self.cold.allows(target.record.id, limit)

    def _cold_limit(self, target: TargetState) -> int | None:
        """Return this router's requests per second to a target, None if it is not cold."""
        service = self.services.get(target.record.service)
        if service is None or service.cold_requests_per_s <= 0:
            return None
        if target.cold_until <= self.clock.now():
            return None
        rate = service.cold_requests_per_s * self.cold_bound.over + self.cold_bound.slack
        return self.fleet.part(target.record.id, rate)

    def _occupy(self, request: GatewayRequest, choice: Choice) -> None:
        target = choice.target
        self.cold.choose(target.record.id, request.id)
        self._log_cold(request, target)
        target.load.begin(request.id, choice.unread_tokens, choice.memory_tokens)
        target.note_parts([part.id for part in request.prompt.parts[:-1]], own=True)

    def _log_cold(self, request: GatewayRequest, target: TargetState) -> None:
        """Write why this router may send to a cold target now."""
        limit = self._cold_limit(target)
        if limit is None:
            return
        self.decisions.log_decision(
            "cold_target_chosen",
            request_id=request.id,
            target=target.record.id,
            target_revision=target.revision,
            cold_ms=target.cold_until - self.clock.now(),
            routers=self.fleet.routers,
            limit=limit,
        )

    def _log_refusal(
        self, request: GatewayRequest, service: str, verdict: Verdict, avoid: frozenset[str]
    ) -> None:
        now = self.clock.now()
        usable = self.book.usable(service)
        self.decisions.log_decision(
            "request_not_placed",
            request_id=request.id,
            workspace=request.workspace,
            route=request.route.name,
            own_tokens=request.prompt.own_tokens,
            standing=self.ledger.standing(request.workspace).value,
            avoided=len(avoid),
            reachable=sum(target.unreachable_until <= now for target in usable),
            # Wait, requests, memory in thousands of tokens, and ms left cold, for each target.
            targets={
                target.record.id: (
                    round(target.load.wait_ms()),
                    target.load.running,
                    target.load.memory_tokens // 1_000,
                    max(0, target.cold_until - now),
                )
                for target in usable[:LOGGED_TARGETS]
            },
            outcome=verdict.value,
        )

    def _refusal(self, verdict: Verdict, request: GatewayRequest, service: str) -> RequestRefused:
        if verdict is Verdict.NO_TARGET:
            message = "no target of the service takes work"
            return RequestRefused(ResultCode.NO_TARGET, message, NO_TARGET_RETRY_MS)
        if verdict is Verdict.TOO_SLOW:
            message = "the answer would not end within the time limit"
            return RequestRefused(ResultCode.NO_CAPACITY, message, TOO_SLOW_RETRY_MS)
        if verdict is Verdict.OVER_SHARE:
            message = "the workspace is over its share"
            return RequestRefused(ResultCode.NO_CAPACITY, message, TOO_SLOW_RETRY_MS)
        part = self.rng.uniform(RETURN_MIN_PART, RETURN_MAX_PART)
        after = round(part * request.route.latency_goal_ms) + self.book.refused_for_ms(service)
        message = "no target can start the request in time"
        return RequestRefused(ResultCode.NO_CAPACITY, message, after)
