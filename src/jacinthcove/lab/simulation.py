"""Event-driven simulation in virtual time: callers, engines, and routers with real decisions."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from jacinthcove.clock import ManualClock
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.admission import Admission, PendingRequest
from jacinthcove.gateway.choice import Choice
from jacinthcove.gateway.fleetquota import FleetQuota
from jacinthcove.gateway.loadexchange import LoadExchange
from jacinthcove.gateway.loadreports import CROSS_DOMAIN_PERIOD_MS, PERIOD_MS, ReceiverGroup
from jacinthcove.gateway.model import (
    EngineCapacity,
    GatewayRequest,
    GatewayService,
    HttpRoute,
    RetrySafety,
    RoutingConfig,
    ServiceShare,
)
from jacinthcove.gateway.placement import Placement
from jacinthcove.gateway.raterule import ColdRateLimit
from jacinthcove.gateway.rollouts import Rollouts
from jacinthcove.gateway.shares import ShareLedger
from jacinthcove.gateway.targetrates import TargetRates
from jacinthcove.gateway.targetrecord import TargetRecord
from jacinthcove.gateway.targets import TargetRegistry
from jacinthcove.gateway.workspaceusage import TICK_MS
from jacinthcove.lab.engine import EngineSpeed, LabEngine, SlowSpells
from jacinthcove.lab.mesh import IsolatedMesh
from jacinthcove.lab.results import Results
from jacinthcove.lab.traffic import Call, Load, Traffic
from jacinthcove.observe.decisions import DecisionLog
from jacinthcove.observe.metrics import Metrics

SERVICE = "models"
CALLER_LATENCY_MS = 3.0
SHARE_WINDOW_MS = 4_000
# A returned engine registers itself as cold for this time.
COLD_MS = 2_000
# A refused caller waits no longer than this fraction of its remaining time before it retries.
MAX_RETRY_DELAY_FRACTION = 1 / 3


@dataclass(frozen=True)
class LimitedEngines:
    """The first `count` engines state a limit of `per_s` from `from_ms` of the simulation on."""

    count: int
    per_s: float
    from_ms: int


@dataclass(frozen=True)
class LabFleet:
    """The simulated fleet; routers and engines are assigned to failure domains round-robin."""

    domains: int = 3
    routers: int = 7
    engines: int = 6
    capacity: EngineCapacity = EngineCapacity(128, 728_000)
    speed: EngineSpeed = EngineSpeed()
    # Pairs of an engine's index and the ms of the simulation at which it fails.
    lost_engines: tuple[tuple[int, int], ...] = ()
    # Lost engines register again after this time, cold and with an empty cache; 0 means never.
    return_after_ms: int = 0
    limited: LimitedEngines | None = None
    # Interval of load reports to routers in the same failure domain, and to those in others.
    same_domain_period_ms: int = PERIOD_MS
    cross_domain_period_ms: int = CROSS_DOMAIN_PERIOD_MS
    # Multiples of `speed`; in each failure domain, the engines get them in turn.
    speed_factors: tuple[float, ...] = (1.0,)
    spells: SlowSpells | None = None


class LabRouter:
    """One router with the real admission and its own view of targets and loads."""

    def __init__(
        self, id: str, domain: str, clock: ManualClock, load: Load, fleet: LabFleet, rng: Random
    ):
        self.id = id
        self.domain = domain
        self.registry = TargetRegistry(clock)
        self.ledger = ShareLedger(clock, SHARE_WINDOW_MS)
        quota = FleetQuota(clock, id)
        quota.set_routers(f"r{number}" for number in range(fleet.routers))
        self.admission = Admission(
            clock,
            self.registry,
            Placement(domain, rng=rng, limited=self.registry.has_stated_limit),
            self.ledger,
            TargetRates(clock, quota, ColdRateLimit(1.0, 0.0), self.registry.stated_limits),
            DecisionLog(clock, Metrics(), lines_per_s=0),
            Rollouts(clock, self.registry),
            rng,
        )
        mesh = IsolatedMesh(id, domain)
        self.exchange = LoadExchange(clock, mesh, mesh, self.registry, self.ledger, lambda: None)
        self.same_domain_receivers = ReceiverGroup()
        self.cross_domain_receivers = ReceiverGroup()
        service = GatewayService(SERVICE, engine=fleet.capacity)
        routes = tuple(route_of(kind.name, kind.goal_ms, kind.timeout_ms) for kind in load.kinds)
        self.admission.configure(RoutingConfig(1, routes, {SERVICE: service}))


def route_of(name: str, goal_ms: int, timeout_ms: int) -> HttpRoute:
    """Return the route of a kind of request."""
    return HttpRoute(
        name=name,
        host="lab",
        path_prefix=f"/{name}/",
        retry_safety=RetrySafety.STREAM,
        timeout_ms=timeout_ms,
        latency_goal_ms=goal_ms,
        services=(ServiceShare(SERVICE, 1.0),),
    )


@dataclass
class SimulatedCall:
    """One call in the simulation; `attempts` counts how often its caller has sent it."""

    call: Call
    attempts: int = 0
    request: GatewayRequest | None = None
    router: LabRouter | None = None
    choice: Choice | None = None
    # Monotonic ms at which it was sent to its engine.
    sent_at: int = 0
    first_token_at: float | None = None


@dataclass(order=True)
class Event:
    """An action scheduled at a virtual ms; `sequence_number` orders events of equal times."""

    at_ms: float
    sequence_number: int
    action: Callable[..., None] = field(compare=False)
    args: tuple[Any, ...] = field(compare=False, default=())


class Simulation:
    """Simulates a load on a fleet; the same seed gives the same results."""

    def __init__(self, load: Load, fleet: LabFleet, seed: int, duration_ms: int = 20_000):
        self.load = load
        self.fleet = fleet
        self.duration_ms = duration_ms
        self.seed = seed
        self.rng = Random(seed)
        self.traffic = Traffic(load, seed)
        self.clock = ManualClock(now_ms=1_000_000)
        self.start = self.clock.now_ms
        self.events: list[Event] = []
        self.sequence = itertools.count()
        self.in_flight: dict[str, SimulatedCall] = {}
        self.results = Results()
        self.ever_prefilled: set[str] = set()
        domains = [f"d{number}" for number in range(fleet.domains)]
        self.engines = {f"e{n}": self._new_engine(n) for n in range(fleet.engines)}
        self.engines_in_batch: set[str] = set()
        self.routers = [
            LabRouter(f"r{n}", domains[n % fleet.domains], self.clock, load, fleet, self.rng)
            for n in range(fleet.routers)
        ]
        for router in self.routers:
            for engine in self.engines.values():
                router.registry.put(target_record(engine), 1)

    def _new_engine(self, number: int) -> LabEngine:
        fleet = self.fleet
        factors = fleet.speed_factors
        return LabEngine(
            f"e{number}",
            f"d{number % fleet.domains}",
            fleet.capacity,
            fleet.speed.scaled(factors[number // fleet.domains % len(factors)]),
            self.ever_prefilled,
            spells=fleet.spells,
            spell_seed=self.seed,
        )

    def run(self) -> Results:
        """Process all events and return the results."""
        for call in self.traffic.calls(self.duration_ms):
            self._schedule(call.at_ms, self._arrive, SimulatedCall(call))
        for number, router in enumerate(self.routers):
            self._schedule(
                number * 7, self._send_report, router, self.fleet.same_domain_period_ms, True
            )
            self._schedule(
                number * 11, self._send_report, router, self.fleet.cross_domain_period_ms, False
            )
            self._schedule(number * 5, self._tick, router)
        for engine, at in self.fleet.lost_engines:
            self._schedule(at, self._lose_engine, engine)
        while self.events:
            event = heapq.heappop(self.events)
            self.clock.now_ms = self.start + int(event.at_ms)
            event.action(event.at_ms, *event.args)
        for engine_counts in (engine.token_counts for engine in self.engines.values()):
            self.results.add_engine(engine_counts)
        return self.results

    def _schedule(self, at: float, action: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.events, Event(at, next(self.sequence), action, args))

    def _arrive(self, now: float, sim_call: SimulatedCall) -> None:
        call = sim_call.call
        same_domain = [r for r in self.routers if r.domain == f"d{call.domain}"]
        sim_call.router = router = self.rng.choice(same_domain or self.routers)
        sim_call.attempts += 1
        if sim_call.attempts == 1:
            self.results.add_asked(call)
        id = f"q{next(self.sequence)}"
        remaining_ms = call.kind.timeout_ms - (now - call.at_ms)
        sim_call.request = request = GatewayRequest(
            id=id,
            method="POST",
            target="/",
            headers=(),
            body=bytes(call.kind.body_bytes),
            route=route_of(call.kind.name, call.kind.goal_ms, call.kind.timeout_ms),
            workspace=call.workspace,
            received_at=self.clock.now(),
            deadline=self.clock.now() + int(remaining_ms),
            prompt=call.prompt,
        )
        self._decide(now, sim_call, router.admission.begin(request, SERVICE, frozenset()))

    def _decide(self, now: float, sim_call: SimulatedCall, pending: PendingRequest) -> None:
        assert sim_call.router is not None
        try:
            choice = sim_call.router.admission.decide(pending)
        except RequestRefused as refusal:
            self._on_refused(now, sim_call, refusal)
            return
        if choice is None:
            poll_ms = sim_call.router.admission.poll_interval_ms(SERVICE)
            self._schedule(now + poll_ms, self._decide, sim_call, pending)
            return
        self._send(now, sim_call, choice)

    def _on_refused(self, now: float, sim_call: SimulatedCall, refusal: RequestRefused) -> None:
        engine_is_idle = any(engine.is_idle for engine in self.engines.values())
        self.results.add_refused_try(sim_call.call.workspace, now, engine_is_idle)
        remaining_ms = sim_call.call.kind.timeout_ms - (now - sim_call.call.at_ms)
        retry_delay_ms = min(refusal.retry_after_ms or 0, remaining_ms * MAX_RETRY_DELAY_FRACTION)
        if sim_call.attempts >= 2 or now + retry_delay_ms > self.duration_ms:
            self.results.add_refused(sim_call.call)
            return
        self._schedule(now + retry_delay_ms + 2 * CALLER_LATENCY_MS, self._arrive, sim_call)

    def _send(self, now: float, sim_call: SimulatedCall, choice: Choice) -> None:
        assert sim_call.request is not None and sim_call.router is not None
        sim_call.choice, sim_call.sent_at = choice, self.clock.now()
        if not sim_call.router.admission.may_send(sim_call.request, choice.target, True):
            sim_call.router.admission.release(sim_call.request, choice.target, not_executed=True)
            self.results.add_refused(sim_call.call)
            return
        engine = self.engines.get(choice.target.record.id)
        if engine is None:
            self.results.add_refused(sim_call.call)
            sim_call.router.admission.release(sim_call.request, choice.target, not_executed=True)
            return
        if engine.domain != sim_call.router.domain:
            self.results.cross_domain_bytes += sim_call.call.kind.body_bytes
        self.in_flight[sim_call.request.id] = sim_call
        source = next((e for e in self.engines.values() if e.id == choice.fetch_from), None)
        engine.enqueue(sim_call.request.id, sim_call.call.prompt, source)
        self._start_batches(now, engine)

    def _start_batches(self, now: float, engine: LabEngine) -> None:
        if engine.id not in self.engines_in_batch and engine.has_work:
            self.engines_in_batch.add(engine.id)
            self._run_batch(now, engine)

    def _run_batch(self, now: float, engine: LabEngine) -> None:
        if self.engines.get(engine.id) is not engine:
            return
        if not engine.has_work:
            self.engines_in_batch.discard(engine.id)
            return
        duration, started, finished = engine.run_batch(now)
        arrives_at = now + duration + engine.speed.first_token_ms
        for request in started:
            self._schedule(arrives_at, self._on_first_token, request.id)
        for request in finished:
            self._schedule(arrives_at, self._on_response_end, request.id)
        self._schedule(now + duration, self._run_batch, engine)

    def _on_first_token(self, now: float, id: str) -> None:
        sim_call = self.in_flight.get(id)
        if sim_call is None:
            return
        assert sim_call.choice is not None
        sim_call.first_token_at = now + CALLER_LATENCY_MS
        sim_call.choice.target.load.on_first_event(id)
        assert sim_call.router is not None and sim_call.request is not None
        sim_call.router.admission.record_response_start(sim_call.request)
        self.results.add_begun(sim_call.call, now, sim_call.first_token_at - sim_call.call.at_ms)
        per_s = self._stated_limit(now, sim_call.choice.target.record.id)
        limits = sim_call.router.registry.stated_limits
        limits.record_response(sim_call.choice.target.record.id, 0, per_s, sim_call.sent_at)

    def _stated_limit(self, now: float, engine_id: str) -> float | None:
        limited = self.fleet.limited
        if limited is None or now < limited.from_ms or int(engine_id[1:]) >= limited.count:
            return None
        return limited.per_s

    def _on_response_end(self, now: float, id: str) -> None:
        sim_call = self.in_flight.pop(id, None)
        if sim_call is None:
            return
        assert (
            sim_call.choice is not None
            and sim_call.request is not None
            and sim_call.router is not None
        )
        assert sim_call.first_token_at is not None
        load = sim_call.choice.target.load
        load.on_stream_end(
            sim_call.call.prompt.output_tokens, now + CALLER_LATENCY_MS - sim_call.first_token_at
        )
        sim_call.router.admission.release(sim_call.request, sim_call.choice.target)
        self.results.add_answered(sim_call.call, sim_call.first_token_at - sim_call.call.at_ms)

    def _lose_engine(self, now: float, number: int) -> None:
        id = f"e{number}"
        del self.engines[id]
        self.engines_in_batch.discard(id)
        for router in self.routers:
            router.registry.delete(id, False)
        lost_ids = [key for key, item in self.in_flight.items() if _target_id(item) == id]
        for key in lost_ids:
            self.results.add_refused(self.in_flight.pop(key).call)
        if self.fleet.return_after_ms:
            self._schedule(now + self.fleet.return_after_ms, self._return_engine, number)

    def _return_engine(self, now: float, number: int) -> None:
        engine = self._new_engine(number)
        self.engines[engine.id] = engine
        record = replace(target_record(engine), started_at=int(now), cold_for_ms=COLD_MS)
        for router in self.routers:
            router.registry.put(record, 2)

    def _send_report(
        self, now: float, router: LabRouter, period_ms: int, same_domain: bool
    ) -> None:
        report = router.exchange.reporter.report(
            router.same_domain_receivers if same_domain else router.cross_domain_receivers
        )
        for other in self.routers:
            if other is not router and (other.domain == router.domain) == same_domain:
                other.exchange.take(router.id, report)
        if now < self.duration_ms:
            self._schedule(now + period_ms, self._send_report, router, period_ms, same_domain)

    def _tick(self, now: float, router: LabRouter) -> None:
        router.ledger.tick()
        if now < self.duration_ms:
            self._schedule(now + TICK_MS, self._tick, router)


def target_record(engine: LabEngine) -> TargetRecord:
    """Return the registry record of an engine; its address is its id."""
    slots = engine.capacity.slots
    return TargetRecord(engine.id, SERVICE, engine.id, engine.domain, "v1", slots)


def _target_id(sim_call: SimulatedCall) -> str:
    return sim_call.choice.target.record.id if sim_call.choice is not None else ""
