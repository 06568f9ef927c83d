"""Chooses the target for a request, or rejects the request.

Engines admit requests in order of arrival and know nothing of fair shares, so under heavy load a
request that was sent to an engine can no longer be reordered. A request is therefore sent only
where it is expected to start within its latency goal. If no target can do that, it is rejected at
once with a retry time. Shared prompt parts are copied or prefilled again only where that is cheaper
than waiting for the target that has them cached.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from random import Random

from jacinthcove.gateway.choice import Choice, RejectReason
from jacinthcove.gateway.limitcost import LimitCost
from jacinthcove.gateway.load import LoadSnapshot
from jacinthcove.gateway.model import EngineCapacity, GatewayRequest, PromptShape
from jacinthcove.gateway.prefixcache import (
    FillRate,
    PartSizes,
    cache_capacity_tokens,
    cached_tokens,
)
from jacinthcove.gateway.sampling import sample_targets
from jacinthcove.gateway.shares import Standing
from jacinthcove.gateway.targets import TargetState
from jacinthcove.scheduling import rendezvous

# Fraction of an engine's memory that requests may fill; an idle engine may exceed it.
MAX_MEMORY_FRACTION = 0.9
# Requests that may queue beyond the slots of a plain target, one that is no model engine.
PLAIN_MAX_QUEUED = 2
# Costs of prefilling shared parts again and of fetching them from another engine, as multiples of
# their prefill time.
PREFILL_AGAIN_WEIGHT = 3.0
FETCH_WEIGHT = 2.0
# Cost in ms of a target whose slots are all in use. It spreads requests without shared parts.
UTILIZATION_COST_MS = 60.0
PLAIN_UTILIZATION_COST_MS = 40.0
# Cost in ms of a target with an error rate of 1.
ERROR_COST_MS = 1_500.0
# Cost of a target in another failure domain, in ms of waiting: a fixed cost, and one for each KB of
# the request body and of the response.
OTHER_DOMAIN_MS = 2.0
CROSSING_MS_PER_KB = 1.0
RESPONSE_BYTES_PER_TOKEN = 16
# Cost per ms of delay of reports from other failure domains. They are older in large fleets, which
# makes choices there less reliable.
STALE_WEIGHT = 0.1
# A request is sent only if its expected duration is at most this multiple of the remaining time.
# The multiple is above 1 because the generation speed varies while a stream runs.
MAX_DURATION_FACTOR = 1.1
# A target with this error rate or more is used as a holder of parts only if all targets have it.
UNHEALTHY_ERROR_RATE = 0.4


@dataclass(frozen=True)
class AdmissionLimits:
    """How full an engine may be to admit a request; depends on its workspace's use of its share.

    `backlog` is the fraction of the service's lowest latency goal that the prefill of all unread
    prompts may take, with the request's own. A prompt too long for that is still admitted if the
    wait before it is at most the fraction `wait`. `slots` is the fraction of slots to fill.
    """

    backlog: float
    wait: float
    slots: float


ADMISSION_LIMITS = {
    Standing.BEHIND: AdmissionLimits(backlog=1.1, wait=0.6, slots=1.0),
    Standing.WITHIN: AdmissionLimits(backlog=0.8, wait=0.25, slots=1.0),
    Standing.OVER: AdmissionLimits(backlog=0.35, wait=0.08, slots=0.6),
}


@dataclass(frozen=True)
class ComparedTargets:
    """The targets that one choice compares, and those that may only hand out shared parts.

    `owner` should prefill the parts that no engine has; it is among `targets`. `last_user` used
    them most recently. Both are None for a prompt without shared parts.
    """

    targets: list[TargetState]
    draining: list[TargetState]
    last_user: TargetState | None
    owner: TargetState | None


@dataclass(frozen=True)
class CostTerms:
    """What the costs of all choices for one request depend on.

    `crossing_ms` is the cost of another failure domain, `limited_ids` are the targets that state a
    limit.
    """

    slots: int
    crossing_ms: float
    limited_ids: frozenset[str]


@dataclass(frozen=True)
class PrefixHolders:
    """Which engines have the shared parts of one prompt; dictionaries are by target id.

    `cached` has the tokens that each engine has cached. An unhealthy engine counts with 0, because
    its cache would otherwise attract requests. `loads` has the load of each. Other engines may
    fetch parts from `source`. `owner` should prefill the parts that no engine has. Both are None
    for a prompt without shared parts.
    """

    cached: dict[str, int]
    loads: dict[str, LoadSnapshot]
    source: TargetState | None
    owner: TargetState | None


def shared_key(prompt: PromptShape) -> str:
    """Return the id of the last shared part, or an empty string if there is none.

    The last part of a prompt belongs to this request only.
    """
    return prompt.parts[-2].id if len(prompt.parts) >= 2 else ""


def cross_domain_cost_ms(request: GatewayRequest) -> float:
    """Return the cost of sending a request to another failure domain, in ms of waiting."""
    response_bytes = RESPONSE_BYTES_PER_TOKEN * request.prompt.output_tokens
    return OTHER_DOMAIN_MS + CROSSING_MS_PER_KB * (len(request.body) + response_bytes) / 1_024


def healthy_targets(targets: list[TargetState]) -> list[TargetState]:
    """Return the targets with a low error rate, or all targets if none has one."""
    return [item for item in targets if item.error_rate < UNHEALTHY_ERROR_RATE] or targets


def rendezvous_owner(prompt: PromptShape, targets: list[TargetState]) -> TargetState | None:
    """Return the target that should prefill a prompt's shared parts, None without shared parts.

    Rendezvous hashing of the last shared part makes all routers select the same target. There is
    only one for all failure domains, because one in each would fill the caches with copies.
    """
    key = shared_key(prompt)
    if not key:
        return None
    healthy = healthy_targets(targets)
    owner_id = rendezvous.owner(key, [item.record.id for item in healthy])
    return next((item for item in healthy if item.record.id == owner_id), None)


def most_recent_user(prompt: PromptShape, targets: Sequence[TargetState]) -> TargetState | None:
    """Return the target that used the prompt's last shared part most recently, None if none did."""
    key = shared_key(prompt)
    users = [item for item in targets if key in item.recent_parts]
    return max(users, key=lambda item: item.recent_parts[key], default=None)


class Placement:
    """Chooses among the usable targets of one service.

    `cross_domain_delay_ms` returns the extra delay of reports from other failure domains, `limited`
    whether a target states a limit on its requests.
    """

    def __init__(
        self,
        failure_domain: str,
        cross_domain_delay_ms: Callable[[], float] = lambda: 0.0,
        rng: Random | None = None,
        limited: Callable[[TargetState], bool] = lambda target: False,
    ):
        self.failure_domain = failure_domain
        self.cross_domain_delay_ms = cross_domain_delay_ms
        self.rng = rng or Random()
        self.limit_cost = LimitCost(limited)
        self.sizes = PartSizes()

    def choose_engine(
        self,
        request: GatewayRequest,
        targets: list[TargetState],
        engine: EngineCapacity,
        min_goal_ms: int,
        standing: Standing,
        now: int,
        draining: Sequence[TargetState] = (),
        tokens_per_s: float = float("inf"),
    ) -> Choice | RejectReason:
        """Return the engine with the lowest cost among those with capacity, or why there is none.

        Of many targets it compares a sample, a different one each time it is called. `draining`
        are engines that accept no requests but still hand out cached parts. `tokens_per_s` is the
        recent rate of tokens sent to all engines together.
        """
        if not targets:
            return RejectReason.NO_TARGET
        prompt = request.prompt
        fill_rate = FillRate.per_engine(tokens_per_s, len(targets))
        compared = self._compared(prompt, targets, draining)
        holders = self._holders(prompt, compared, engine, fill_rate)
        choices = [self._choice(prompt, item, holders) for item in compared.targets]
        limits = ADMISSION_LIMITS[standing]
        with_capacity: list[Choice] = []
        without_capacity: list[Choice] = []
        for item in choices:
            can_admit = has_capacity(item, engine, min_goal_ms, limits) and passes_herd_limit(
                item, request, engine
            )
            (with_capacity if can_admit else without_capacity).append(item)
        if not with_capacity:
            return RejectReason.FULL
        left_ms = request.deadline - now
        in_time = [item for item in with_capacity if finishes_in_time(item, prompt, left_ms)]
        if not in_time:
            return RejectReason.TOO_SLOW
        costs = CostTerms(
            engine.slots,
            cross_domain_cost_ms(request),
            self.limit_cost.limited_ids(compared.targets),
        )
        best = min(in_time, key=lambda item: self._cost(item, costs))
        self.limit_cost.record(best.target, best.unread_tokens)
        if not any(item.has_all_parts for item in without_capacity):
            return best
        return replace(best, holder_saves_ms=copy_ms(best))

    def _compared(
        self, prompt: PromptShape, targets: list[TargetState], draining: Sequence[TargetState]
    ) -> ComparedTargets:
        key = shared_key(prompt)
        sampled = sample_targets(targets, key, self.failure_domain, self.rng)
        sources = [item for item in draining if key in item.recent_parts]
        # The most recent user may still have the parts cached, even if the estimate says no.
        last_user = most_recent_user(prompt, healthy_targets([*sampled, *sources]))
        owner = last_user if last_user in sampled else rendezvous_owner(prompt, targets)
        if owner is not None and owner not in sampled:
            sampled.append(owner)
        return ComparedTargets(sampled, sources, last_user, owner)

    def _holders(
        self,
        prompt: PromptShape,
        compared: ComparedTargets,
        engine: EngineCapacity,
        fill_rate: FillRate,
    ) -> PrefixHolders:
        self.sizes.record_prompt(prompt)
        known = [*compared.targets, *compared.draining]
        healthy = healthy_targets(known)
        loads = {item.record.id: item.load.snapshot() for item in known}
        cached = dict.fromkeys((item.record.id for item in compared.targets), 0)
        for item in healthy:
            id = item.record.id
            capacity = cache_capacity_tokens(engine, loads[id].memory_tokens)
            cached[id] = cached_tokens(prompt, item, capacity, self.sizes, fill_rate)
        last_user, owner = compared.last_user, compared.owner
        holder = max(healthy, key=lambda item: (cached[item.record.id], item is last_user))
        source = holder if cached[holder.record.id] else last_user or owner
        return PrefixHolders(cached, loads, source, owner)

    def _choice(self, prompt: PromptShape, target: TargetState, holders: PrefixHolders) -> Choice:
        own = prompt.own_tokens
        cached = holders.cached[target.record.id]
        missing = prompt.input_tokens - own - cached
        source = holders.source if holders.source is not target else None
        fetched = max(0, holders.cached[source.record.id] - cached) if source is not None else 0
        unread = own + missing - fetched
        load = holders.loads[target.record.id]
        return Choice(
            target,
            unread,
            own + prompt.output_tokens,
            load.wait_ms,
            load.running,
            load.memory_tokens,
            fetched,
            0 if target is holders.owner else unread - own,
            source.record.address if source is not None and missing else "",
        )

    def choose_plain(
        self, request: GatewayRequest, targets: list[TargetState]
    ) -> Choice | RejectReason:
        """Return the plain target with the lowest cost, or why none has capacity.

        The cost is mainly the number of requests per slot.
        """
        if not targets:
            return RejectReason.NO_TARGET
        crossing_cost = cross_domain_cost_ms(request)
        best: tuple[float, Choice] | None = None
        for target in targets:
            running = target.load.running
            slots = max(1, target.record.slots)
            if running >= slots + PLAIN_MAX_QUEUED:
                continue
            cost = PLAIN_UTILIZATION_COST_MS * running / slots + self._target_penalty(
                target, crossing_cost
            )
            if best is None or cost < best[0]:
                best = (cost, Choice(target, 0, 0, 0.0, running))
        return best[1] if best is not None else RejectReason.FULL

    def _cost(self, choice: Choice, costs: CostTerms) -> float:
        target = choice.target
        return (
            choice.wait_ms
            + target.load.prefill_ms(choice.unread_tokens)
            + copy_ms(choice)
            + UTILIZATION_COST_MS * choice.running / max(1, costs.slots)
            + self._target_penalty(target, costs.crossing_ms)
            + self.limit_cost.cost_ms(target, choice.unread_tokens, costs.limited_ids)
        )

    def _target_penalty(self, target: TargetState, crossing_cost: float) -> float:
        domain = 0.0
        if target.record.failure_domain != self.failure_domain:
            domain = crossing_cost + STALE_WEIGHT * self.cross_domain_delay_ms()
        return domain + ERROR_COST_MS * target.error_rate


def copy_ms(choice: Choice) -> float:
    """Return the cost of the shared parts that an engine lacks, in ms of waiting."""
    load = choice.target.load
    fetched = FETCH_WEIGHT * load.prefill_ms(choice.fetched_tokens)
    return fetched + PREFILL_AGAIN_WEIGHT * load.prefill_ms(choice.reread_tokens)


def finishes_in_time(choice: Choice, prompt: PromptShape, left_ms: int) -> bool:
    """Return whether an engine is expected to finish before the caller's deadline, in `left_ms`.

    An idle engine is always allowed, because its speed was learned under more load.
    """
    load = choice.target.load
    total = (
        choice.wait_ms
        + load.prefill_ms(choice.unread_tokens)
        + load.generation_ms(prompt.output_tokens)
    )
    return choice.running == 0 or total <= MAX_DURATION_FACTOR * left_ms


def passes_herd_limit(choice: Choice, request: GatewayRequest, engine: EngineCapacity) -> bool:
    """Return whether the herd limiter of the target admits this request."""
    load = choice.target.load
    load.slots = engine.slots
    free = engine.slots - choice.running
    return load.herd_limiter.admits(request.id, choice.target.record.id, free)


def has_capacity(
    choice: Choice, engine: EngineCapacity, min_goal_ms: int, limits: AdmissionLimits
) -> bool:
    """Return whether an engine has the slots and memory for a request and can start it in time."""
    load = choice.target.load
    if choice.running >= engine.slots * limits.slots:
        return False
    if choice.used_tokens + choice.memory_tokens > MAX_MEMORY_FRACTION * engine.memory_tokens:
        return choice.running == 0
    total = choice.wait_ms + load.prefill_ms(choice.unread_tokens)
    return total <= limits.backlog * min_goal_ms or choice.wait_ms <= limits.wait * min_goal_ms
