"""One play: callers, routers with the real decisions, and engines, as events in virtual time."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from jacinthcove.clock import ManualClock
from jacinthcove.errors import PeerUnavailable, RequestRefused
from jacinthcove.gateway.admission import Admission, ColdRateLimit, PendingRequest
from jacinthcove.gateway.coldlimit import ColdRateLimiter
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
from jacinthcove.gateway.placement import Choice, Placement
from jacinthcove.gateway.rollouts import Rollouts
from jacinthcove.gateway.shares import ShareLedger
from jacinthcove.gateway.targets import TargetRecord, TargetRegistry
from jacinthcove.gateway.workspaceusage import TICK_MS
from jacinthcove.lab.engine import EngineSpeed, LabEngine
from jacinthcove.lab.results import Results
from jacinthcove.lab.traffic import Call, Load, Traffic
from jacinthcove.mesh.peers import Member
from jacinthcove.observe.decisions import DecisionLog
from jacinthcove.observe.metrics import Metrics

SERVICE = "models"
CALLER_MS = 3.0
SHARE_WINDOW_MS = 4_000
# A caller takes a time to come back up to this part of the time that it has left.
RETURN_PART = 1 / 3


@dataclass(frozen=True)
class LabFleet:
    """What stands before the callers; engines and routers go round the failure domains."""

    domains: int = 3
    routers: int = 7
    engines: int = 6
    shape: EngineCapacity = EngineCapacity(128, 728_000)
    speed: EngineSpeed = EngineSpeed()
    # Engines that are lost at a ms of the play, by index.
    lost: tuple[tuple[int, int], ...] = ()
    # Time between the reports of a router to its own failure domain, and to the others.
    same_domain_period_ms: int = PERIOD_MS
    cross_domain_period_ms: int = CROSS_DOMAIN_PERIOD_MS


class Alone:
    """Members and peers of a router whose reports the play carries by itself."""

    def __init__(self, id: str, domain: str):
        self.me = Member(id, "", "", domain)

    def alive(self) -> tuple[Member, ...]:
        """Return this router only."""
        return (self.me,)

    def get(self, member_id: str) -> Member | None:
        """Return this router, or None."""
        return self.me if member_id == self.me.id else None

    def subscribe(self, callback: Callable[[Member], None]) -> None:
        """Do nothing, as nobody comes or goes."""

    def register(self, kind: str, handler: Any) -> None:
        """Do nothing, as no messages come."""

    def send(self, member_id: str, kind: str, message: Any) -> None:
        """Send nothing."""

    def call(self, member_id: str, kind: str, message: Any, timeout_ms: int) -> Any:
        """Raise `PeerUnavailable`."""
        raise PeerUnavailable("routers of a play have no mesh")


class LabRouter:
    """One router: its own beliefs, and the real admission."""

    def __init__(
        self, id: str, domain: str, clock: ManualClock, kinds: Load, fleet: LabFleet, rng: Random
    ):
        self.id = id
        self.domain = domain
        self.registry = TargetRegistry(clock)
        self.ledger = ShareLedger(clock, SHARE_WINDOW_MS)
        parts = FleetQuota(clock, id)
        parts.set_routers(f"r{number}" for number in range(fleet.routers))
        self.admission = Admission(
            clock,
            self.registry,
            Placement(domain),
            self.ledger,
            ColdRateLimiter(clock),
            ColdRateLimit(1.0, 0.0),
            parts,
            DecisionLog(clock, Metrics(), lines_per_s=0),
            Rollouts(clock, self.registry),
            rng,
        )
        alone = Alone(id, domain)
        self.exchange = LoadExchange(clock, alone, alone, self.registry, self.ledger, lambda: None)
        self.near = ReceiverGroup()
        self.far = ReceiverGroup()
        service = GatewayService(SERVICE, engine=fleet.shape)
        routes = tuple(route_of(kind.name, kind.goal_ms, kind.timeout_ms) for kind in kinds.kinds)
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
class Asked:
    """One call on its way; `tries` counts the times that its caller came."""

    call: Call
    tries: int = 0
    request: GatewayRequest | None = None
    router: LabRouter | None = None
    choice: Choice | None = None
    first_at: float | None = None


@dataclass(order=True)
class Event:
    """Something that happens at a virtual ms; `number` keeps the order of equal times."""

    at: float
    number: int
    action: Callable[..., None] = field(compare=False)
    args: tuple[Any, ...] = field(compare=False, default=())


class Play:
    """Plays a load on a fleet; the same seed gives the same play."""

    def __init__(self, load: Load, fleet: LabFleet, seed: int, duration_ms: int = 20_000):
        self.load = load
        self.fleet = fleet
        self.duration_ms = duration_ms
        self.rng = Random(seed)
        self.traffic = Traffic(load, seed)
        self.clock = ManualClock(now_ms=1_000_000)
        self.start = self.clock.now_ms
        self.events: list[Event] = []
        self.numbers = itertools.count()
        self.asked: dict[str, Asked] = {}
        self.results = Results()
        ever_read: set[str] = set()
        domains = [f"d{number}" for number in range(fleet.domains)]
        self.engines = {
            f"e{n}": LabEngine(
                f"e{n}", domains[n % fleet.domains], fleet.shape, fleet.speed, ever_read
            )
            for n in range(fleet.engines)
        }
        self.stepping: set[str] = set()
        self.routers = [
            LabRouter(f"r{n}", domains[n % fleet.domains], self.clock, load, fleet, self.rng)
            for n in range(fleet.routers)
        ]
        for router in self.routers:
            for engine in self.engines.values():
                router.registry.put(record_of(engine), 1)

    def run(self) -> Results:
        """Play to the end and return what the callers got."""
        for call in self.traffic.calls(self.duration_ms):
            self._at(call.at, self._arrive, Asked(call))
        for number, router in enumerate(self.routers):
            self._at(number * 7, self._tell, router, self.fleet.same_domain_period_ms, True)
            self._at(number * 11, self._tell, router, self.fleet.cross_domain_period_ms, False)
            self._at(number * 5, self._tick, router)
        for engine, at in self.fleet.lost:
            self._at(at, self._lose, f"e{engine}")
        while self.events:
            event = heapq.heappop(self.events)
            self.clock.now_ms = self.start + int(event.at)
            event.action(event.at, *event.args)
        for engine_counts in (engine.counts for engine in self.engines.values()):
            self.results.add_engine(engine_counts)
        return self.results

    def _at(self, at: float, action: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.events, Event(at, next(self.numbers), action, args))

    def _arrive(self, now: float, asked: Asked) -> None:
        call = asked.call
        near = [r for r in self.routers if r.domain == f"d{call.domain}"]
        asked.router = router = self.rng.choice(near or self.routers)
        asked.tries += 1
        id = f"q{next(self.numbers)}"
        left = call.kind.timeout_ms - (now - call.at)
        asked.request = request = GatewayRequest(
            id=id,
            method="POST",
            target="/",
            headers=(),
            body=bytes(call.kind.body_bytes),
            route=route_of(call.kind.name, call.kind.goal_ms, call.kind.timeout_ms),
            workspace=call.workspace,
            received_at=self.clock.now(),
            deadline=self.clock.now() + int(left),
            prompt=call.prompt,
        )
        self._decide(now, asked, router.admission.begin(request, SERVICE, frozenset()))

    def _decide(self, now: float, asked: Asked, pending: PendingRequest) -> None:
        assert asked.router is not None
        try:
            choice = asked.router.admission.decide(pending)
        except RequestRefused as refusal:
            self._refused(now, asked, refusal)
            return
        if choice is None:
            step = asked.router.admission.poll_interval_ms(SERVICE)
            self._at(now + step, self._decide, asked, pending)
            return
        self._send(now, asked, choice)

    def _refused(self, now: float, asked: Asked, refusal: RequestRefused) -> None:
        left = asked.call.kind.timeout_ms - (now - asked.call.at)
        after = min(refusal.retry_after_ms or 0, left * RETURN_PART)
        if asked.tries >= 2 or now + after > self.duration_ms:
            self.results.add_refused(asked.call)
            return
        self._at(now + after + 2 * CALLER_MS, self._arrive, asked)

    def _send(self, now: float, asked: Asked, choice: Choice) -> None:
        assert asked.request is not None and asked.router is not None
        asked.choice = choice
        engine = self.engines.get(choice.target.record.id)
        if engine is None:
            self.results.add_refused(asked.call)
            asked.router.admission.release(asked.request, choice.target, not_executed=True)
            return
        if engine.domain != asked.router.domain:
            self.results.crossed_bytes += asked.call.kind.body_bytes
        self.asked[asked.request.id] = asked
        source = next((e for e in self.engines.values() if e.id == choice.fetch_from), None)
        engine.take(asked.request.id, asked.call.prompt, source)
        self._wake(now, engine)

    def _wake(self, now: float, engine: LabEngine) -> None:
        if engine.id not in self.stepping and engine.busy:
            self.stepping.add(engine.id)
            self._step(now, engine)

    def _step(self, now: float, engine: LabEngine) -> None:
        if engine.id not in self.engines or not engine.busy:
            self.stepping.discard(engine.id)
            return
        duration, begun, ended = engine.step(now)
        for run in begun:
            self._at(now + duration, self._first, run.id)
        for run in ended:
            self._at(now + duration, self._end, run.id)
        self._at(now + duration, self._step, engine)

    def _first(self, now: float, id: str) -> None:
        asked = self.asked.get(id)
        if asked is None:
            return
        assert asked.choice is not None
        asked.first_at = now + CALLER_MS
        asked.choice.target.load.on_first_event(id)
        assert asked.router is not None and asked.request is not None
        asked.router.admission.record_response_start(asked.request)

    def _end(self, now: float, id: str) -> None:
        asked = self.asked.pop(id, None)
        if asked is None:
            return
        assert asked.choice is not None and asked.request is not None and asked.router is not None
        assert asked.first_at is not None
        load = asked.choice.target.load
        load.on_stream_end(asked.call.prompt.output_tokens, now + CALLER_MS - asked.first_at)
        asked.router.admission.release(asked.request, asked.choice.target)
        self.results.add_answered(asked.call, asked.first_at - asked.call.at)

    def _lose(self, now: float, id: str) -> None:
        del now
        del self.engines[id]
        for router in self.routers:
            router.registry.delete(id, False)
        lost = [key for key, item in self.asked.items() if _target(item) == id]
        for key in lost:
            self.results.add_refused(self.asked.pop(key).call)

    def _tell(self, now: float, router: LabRouter, period: int, near: bool) -> None:
        share = router.exchange.reporter.report(router.near if near else router.far)
        for other in self.routers:
            if other is not router and (other.domain == router.domain) == near:
                other.exchange.take(router.id, share)
        if now < self.duration_ms:
            self._at(now + period, self._tell, router, period, near)

    def _tick(self, now: float, router: LabRouter) -> None:
        router.ledger.tick()
        if now < self.duration_ms:
            self._at(now + TICK_MS, self._tick, router)


def record_of(engine: LabEngine) -> TargetRecord:
    """Return the entry of an engine; its address is its id."""
    slots = engine.shape.slots
    return TargetRecord(engine.id, SERVICE, engine.id, engine.domain, "v1", slots)


def _target(asked: Asked) -> str:
    return asked.choice.target.record.id if asked.choice is not None else ""
