"""Admission control: finds a target for each request or rejects it.

Combines placement, fair shares, the rate limits of cold targets and a short wait for capacity.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

import gevent
import structlog

from jacinthcove.capacity.engineload import RegistryEngineLoad
from jacinthcove.capacity.gauges import show_capacity
from jacinthcove.capacity.retries import RefusedRequests
from jacinthcove.clock import Clock
from jacinthcove.codes import ResultCode
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.choice import Choice, RejectReason
from jacinthcove.gateway.model import GatewayRequest, GatewayService, RoutingConfig
from jacinthcove.gateway.placement import Placement
from jacinthcove.gateway.rollouts import Rollouts, VersionPlan
from jacinthcove.gateway.sampling import MAX_COMPARED
from jacinthcove.gateway.shares import ShareLedger, Standing
from jacinthcove.gateway.targetrates import TargetRates
from jacinthcove.gateway.targets import TargetRegistry, TargetState
from jacinthcove.observe.decisions import DecisionLog

log = structlog.get_logger()

# A request that no target can start yet waits for at most this fraction of its latency goal.
MAX_WAIT_FRACTION = 0.12
MIN_POLL_INTERVAL_MS = 8
# CPU time to check one target, and the fraction of a router's CPU time that the polling of waiting
# requests may take. If many requests wait, each polls less often, so that the router keeps up.
TARGET_CHECK_MS = 0.015
MAX_POLLING_FRACTION = 0.25
# Rejected callers are told to retry after a random time between these fractions of the latency
# goal: early enough to be served within the goal, and not all at the same time.
RETRY_AFTER_MIN_FRACTION = 0.05
RETRY_AFTER_MAX_FRACTION = 0.25
TOO_SLOW_RETRY_AFTER_MS = 1_300
NO_TARGET_RETRY_AFTER_MS = 500
# After no engine had room for a request beyond its workspace's share, further ones are rejected for
# this time without comparing targets: a comparison costs up to 0.5 ms, so this takes 2 % of a core.
NO_ROOM_MS = 25
# Maximum number of targets in a log line.
LOGGED_TARGETS = 10


@dataclass(frozen=True)
class PendingRequest:
    """A request that waits for a target, until `give_up_at` (monotonic ms) at the latest.

    `avoid` are the ids of targets that earlier attempts used. `counted`: an earlier attempt was
    charged to the workspace already. `over_share`: part of what its workspace sends beyond its
    share, to be served only by an engine with room, and to be rejected otherwise. `returned`: this
    router refused it before, and its demand is counted already.
    """

    request: GatewayRequest
    service: str
    avoid: frozenset[str]
    plan: VersionPlan
    give_up_at: int
    counted: bool = False
    over_share: bool = False
    returned: bool = False


class Admission:
    """Finds a target for a request or rejects it; the caller reports its end with `release`."""

    def __init__(
        self,
        clock: Clock,
        registry: TargetRegistry,
        placement: Placement,
        ledger: ShareLedger,
        rates: TargetRates,
        decisions: DecisionLog,
        rollouts: Rollouts,
        rng: random.Random | None = None,
    ):
        self.clock = clock
        self.registry = registry
        self.placement = placement
        self.ledger = ledger
        self.rates = rates
        self.decisions = decisions
        self.rollouts = rollouts
        self.rng = rng or random.Random()
        self.min_goals_ms: dict[str, int] = {}
        self.services: dict[str, GatewayService] = {}
        ledger.engine_loads = RegistryEngineLoad(
            clock, registry, lambda: self.services, lambda: self.min_goals_ms
        )
        self.refused = RefusedRequests(clock, ledger.window_ms)
        # Times (monotonic ms) until which excess requests of a service are rejected unexamined.
        self.no_room_until: dict[str, int] = {}
        show_capacity(decisions.metrics, ledger)
        # Returns whether this router has more work than it can keep up with.
        self.is_late: Callable[[], bool] = lambda: False
        # Called for each request within its workspace's share that finds no target.
        self.on_shortage: Callable[[str, str], None] = lambda service, request_id: None
        # Ids of the requests that wait for a target.
        self.waiting: set[str] = set()

    def configure(self, config: RoutingConfig) -> None:
        """Apply the services and latency goals of a new configuration."""
        self.services = self.rates.cold.services = config.services
        goals: dict[str, int] = {}
        for route in config.routes:
            for share in route.services:
                goal = goals.get(share.service, route.latency_goal_ms)
                goals[share.service] = min(goal, route.latency_goal_ms)
        self.min_goals_ms = goals

    def acquire(
        self,
        request: GatewayRequest,
        service: str,
        avoid: frozenset[str],
        counted: bool = False,
    ) -> Choice:
        """Wait for a target and return it, counted as in use.

        Raises `RequestRefused` with a code that says that the request was not executed.
        """
        pending = self.begin(request, service, avoid, counted)
        try:
            while (choice := self.decide(pending)) is None:
                gevent.sleep(self.poll_interval_ms(service) / 1000)
        finally:
            self.waiting.discard(request.id)
        return choice

    def poll_interval_ms(self, service: str) -> float:
        """Return the time between two checks of a waiting request."""
        targets = len(self.registry.by_service.get(service, ()))
        checks = len(self.waiting) * min(targets, MAX_COMPARED)
        return max(MIN_POLL_INTERVAL_MS, checks * TARGET_CHECK_MS / MAX_POLLING_FRACTION)

    def begin(
        self,
        request: GatewayRequest,
        service: str,
        avoid: frozenset[str],
        counted: bool = False,
    ) -> PendingRequest:
        """Start an attempt to place a request.

        `avoid` are the ids of targets that the request was sent to before. Without any, this is the
        first attempt, and its tokens count as demand of the workspace.
        """
        give_up_at = self.clock.now() + int(MAX_WAIT_FRACTION * request.route.latency_goal_ms)
        returned = self.refused.take(request)
        if not avoid:
            ledger = self.ledger
            record = ledger.record_retry if returned else ledger.record_demand
            record(request.workspace, request.prompt.share_cost_tokens)
        plan = self.rollouts.plan(service, request.route.name)
        give_up_at = min(give_up_at, request.deadline)
        over = not avoid and self._is_over_share(request)
        return PendingRequest(request, service, avoid, plan, give_up_at, counted, over, returned)

    def _is_over_share(self, request: GatewayRequest) -> bool:
        """Return whether a request is beyond its workspace's share.

        This is decided at random, by the fraction of the workspace's requests that may be admitted.
        """
        if not request.prompt.share_cost_tokens:
            return False
        return self.rng.random() >= self.ledger.admitted_fraction(request.workspace)

    def decide(self, pending: PendingRequest) -> Choice | None:
        """Return a target, counted as in use, or None to call again after `poll_interval_ms`.

        Raises `RequestRefused` with a code that says that the request was not executed.
        """
        self.waiting.discard(pending.request.id)
        try:
            choice = self._decide(pending)
        except RequestRefused:
            if not pending.returned:
                self.refused.record(pending.request)
            raise
        if choice is None:
            self.waiting.add(pending.request.id)
        return choice

    def _decide(self, pending: PendingRequest) -> Choice | None:
        request, service, give_up_at = pending.request, pending.service, pending.give_up_at
        standing = self.ledger.standing(request.workspace)
        if pending.over_share:
            standing = Standing.OVER
            if not self._may_examine_excess(service):
                raise self._reject_over_share(pending)
        result = self._choose(request, service, pending.avoid, pending.plan, standing)
        if pending.over_share and isinstance(result, RejectReason):
            self.no_room_until[service] = self.clock.now() + NO_ROOM_MS
            raise self._reject_over_share(pending)
        if isinstance(result, RejectReason):
            if standing is not Standing.OVER:
                self.on_shortage(service, request.id)
            # Each check costs the same CPU time as the first, which a late router cannot afford.
            no_wait = result is RejectReason.TOO_SLOW or self.is_late()
            if no_wait or self._capacity_at(service) >= give_up_at:
                self._log_rejection(pending, result)
                raise self._rejection(result, request, service)
            return None
        if self._waits_for_holder(result, give_up_at):
            return None
        self._reserve(request, result)
        if not pending.counted:
            self.ledger.record_admission(request.workspace, request.prompt.share_cost_tokens)
        return result

    def _may_examine_excess(self, service: str) -> bool:
        """Return whether to look for an engine with room for a request beyond a share.

        While many engines have a backlog, routers that take single places by reports some 0.2 s
        old fill them with excess requests, and the answers of all workspaces come late.
        """
        searched_just_now = self.clock.now() < self.no_room_until.get(service, 0)
        return not searched_just_now and not self.ledger.engines_have_backlog()

    def _reject_over_share(self, pending: PendingRequest) -> RequestRefused:
        self._log_rejection(pending, RejectReason.OVER_SHARE)
        return self._rejection(RejectReason.OVER_SHARE, pending.request, pending.service)

    def _waits_for_holder(self, choice: Choice, give_up_at: int) -> bool:
        """Return whether to wait for an engine with the parts, because copying them costs more."""
        left_ms = give_up_at - self.clock.now()
        return 0 < left_ms < choice.holder_saves_ms and not self.is_late()

    def _capacity_at(self, service: str) -> int:
        """Return the earliest time (monotonic ms) at which a target may have capacity."""
        blocked_ms = max(
            self.registry.paused_for_ms(service),
            self.rates.blocked_ms(self.registry.usable(service)),
        )
        return self.clock.now() + max(MIN_POLL_INTERVAL_MS, blocked_ms)

    def may_send(
        self, request: GatewayRequest, target: TargetState, start_confirmed: bool = False
    ) -> bool:
        """Return whether a request may be sent to its target now, and if so count it as sent.

        The target may have left or restarted cold since it was chosen. `start_confirmed`: its
        connection leads to the start of the target that this router knows.
        """
        if not self.registry.may_send(target):
            return False
        return self.rates.try_send(request.id, target, start_confirmed)

    def release(
        self, request: GatewayRequest, target: TargetState, not_executed: bool = False
    ) -> None:
        """Record the end of a request at its target.

        `not_executed` if no target executed it; its tokens are then credited to the workspace.
        """
        target.load.end(request.id)
        self.rates.cancel(request.id, target)
        if not_executed:
            self.ledger.record_rejection(request.workspace, request.prompt.share_cost_tokens)

    def record_response_start(self, request: GatewayRequest) -> None:
        """Record that the response to a request begins now, and whether it is late."""
        waited_ms = self.clock.now() - request.received_at
        late = waited_ms > request.route.latency_goal_ms
        self.ledger.begin(request.workspace, request.prompt.share_cost_tokens, late)

    def _choose(
        self,
        request: GatewayRequest,
        service: str,
        avoid: frozenset[str],
        plan: VersionPlan,
        standing: Standing,
    ) -> Choice | RejectReason:
        known = self.services.get(service)
        if known is None:
            return RejectReason.NO_TARGET
        usable = [t for t in self.registry.usable(service) if t.record.id not in avoid]
        result: Choice | RejectReason = RejectReason.NO_TARGET
        for tier in plan.tiers(usable):
            found = self._choose_among(request, known, tier, standing)
            if isinstance(found, Choice):
                return found
            if result is RejectReason.NO_TARGET:
                result = found
        return result

    def _choose_among(
        self,
        request: GatewayRequest,
        known: GatewayService,
        usable: list[TargetState],
        standing: Standing,
    ) -> Choice | RejectReason:
        now = self.clock.now()
        ready = [t for t in usable if t.paused_until <= now]
        reachable = [t for t in ready if t.unreachable_until <= now] or ready
        over_share = standing is Standing.OVER
        targets = [t for t in reachable if self.rates.allows(t, over_share)]
        if usable and not targets:
            return RejectReason.RATE_LIMITED if reachable else RejectReason.FULL
        if known.engine is None:
            return self.placement.choose_plain(request, targets)
        return self.placement.choose_engine(
            request,
            targets,
            known.engine,
            self.min_goals_ms.get(known.name, request.route.latency_goal_ms),
            standing,
            now,
            self.registry.draining_targets(known.name),
            self.ledger.given_tokens_per_s,
        )

    def _reserve(self, request: GatewayRequest, choice: Choice) -> None:
        target = choice.target
        self.rates.reserve(request.id, target)
        self._log_cold(request, target)
        target.load.begin(request.id, choice.unread_tokens, choice.memory_tokens)
        target.record_parts([part.id for part in request.prompt.parts[:-1]], own=True)

    def _log_cold(self, request: GatewayRequest, target: TargetState) -> None:
        """Log the quota that allowed a request to a cold target."""
        limit = self.rates.cold.quota(target)
        if limit is None:
            return
        self.decisions.log_decision(
            "cold_target_chosen",
            request_id=request.id,
            target=target.record.id,
            target_revision=target.revision,
            cold_ms=target.cold_until - self.clock.now(),
            routers=self.rates.fleet.routers,
            limit=limit,
        )

    def _log_rejection(self, pending: PendingRequest, reason: RejectReason) -> None:
        now = self.clock.now()
        request = pending.request
        usable = self.registry.usable(pending.service)
        self.decisions.log_decision(
            "request_not_placed",
            request_id=request.id,
            workspace=request.workspace,
            route=request.route.name,
            own_tokens=request.prompt.own_tokens,
            standing=self.ledger.standing(request.workspace).value,
            over_share=pending.over_share,
            returned=pending.returned,
            admitted_fraction=round(self.ledger.admitted_fraction(request.workspace), 3),
            oldest_report_ms=self.ledger.others.oldest_ms(),
            avoided=len(pending.avoid),
            reachable=sum(target.unreachable_until <= now for target in usable),
            # Of each target: wait in ms, requests, memory in 1,000 tokens, ms until it is warm.
            targets={
                target.record.id: (
                    round(target.load.wait_ms()),
                    target.load.running,
                    target.load.memory_tokens // 1_000,
                    max(0, target.cold_until - now),
                )
                for target in usable[:LOGGED_TARGETS]
            },
            outcome=reason.value,
        )

    def _rejection(
        self, reason: RejectReason, request: GatewayRequest, service: str
    ) -> RequestRefused:
        if reason is RejectReason.NO_TARGET:
            message = "no target of the service takes work"
            return RequestRefused(ResultCode.NO_TARGET, message, NO_TARGET_RETRY_AFTER_MS)
        if reason is RejectReason.TOO_SLOW:
            message = "the answer would not end within the time limit"
            return RequestRefused(ResultCode.NO_CAPACITY, message, TOO_SLOW_RETRY_AFTER_MS)
        if reason is RejectReason.OVER_SHARE:
            message = "the workspace is over its share"
            goal_ms = request.route.latency_goal_ms
            retry_after_ms = self.ledger.return_after_ms(request.workspace, goal_ms, self.rng)
            return RequestRefused(ResultCode.NO_CAPACITY, message, retry_after_ms)
        message = "no target can start the request in time"
        if reason is RejectReason.RATE_LIMITED:
            message = "the limits of the targets allow no more requests at present"
        fraction = self.rng.uniform(RETRY_AFTER_MIN_FRACTION, RETRY_AFTER_MAX_FRACTION)
        retry_after_ms = round(
            fraction * request.route.latency_goal_ms
        ) + self.registry.paused_for_ms(service)
        return RequestRefused(ResultCode.NO_CAPACITY, message, retry_after_ms)
