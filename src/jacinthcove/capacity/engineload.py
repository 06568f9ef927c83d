"""How many engines take work now, and how many of them have a backlog."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from jacinthcove.clock import Clock
from jacinthcove.gateway.model import GatewayService
from jacinthcove.gateway.targets import TargetRegistry, TargetState

# An engine has a backlog above either limit: the fraction of the service's lowest latency goal that
# a new request would wait, or the fraction of the slots that are in use. The limits are those up to
# which `placement` admits requests of workspaces over their share.
BACKLOG_WAIT_FRACTION = 0.08
BACKLOG_SLOTS_FRACTION = 0.6
DEFAULT_GOAL_MS = 500
# Summing up the reports about one engine costs up to 15 us, so of more engines only this number is
# looked at in each tick.
MAX_SAMPLED_ENGINES = 32
# Listing the ready engines costs about 1 us for each, so of many they are listed less often.
MANY_ENGINES = 500
LIST_PERIOD_MS = 1_000


@dataclass(frozen=True)
class EngineLoad:
    """Engines that take work now, and the fraction of them with a backlog."""

    ready: int
    backlogged: float


class EngineLoadSource(Protocol):
    """Tells the present load of all engines."""

    def engine_load(self) -> EngineLoad:
        """Return the present load of the engines of all services."""


class RegistryEngineLoad:
    """Reads the load of the engines from this router's view of the targets."""

    def __init__(
        self,
        clock: Clock,
        registry: TargetRegistry,
        services: Callable[[], Mapping[str, GatewayService]],
        min_goals_ms: Callable[[], Mapping[str, int]],
    ):
        self.clock = clock
        self.registry = registry
        self.services = services
        self.min_goals_ms = min_goals_ms
        # Each tick samples other engines, beginning with this one.
        self.next_sampled = 0
        self.ready: list[tuple[TargetState, GatewayService]] = []
        self.listed_at = clock.now()

    def engine_load(self) -> EngineLoad:
        """Return the number of ready engines, and the backlogged fraction of a sample of them."""
        now = self.clock.now()
        if len(self.ready) < MANY_ENGINES or now - self.listed_at >= LIST_PERIOD_MS:
            self.listed_at = now
            self.ready = [
                (target, service)
                for service in self.services().values()
                if service.engine is not None
                for target in self._ready(service.name)
            ]
        ready = self.ready
        if not ready:
            return EngineLoad(0, 0.0)
        first = self.next_sampled % len(ready)
        sampled = ready[first : first + MAX_SAMPLED_ENGINES]
        sampled += ready[: min(first, MAX_SAMPLED_ENGINES - len(sampled))]
        self.next_sampled = first + len(sampled)
        backlogged = sum(self._has_backlog(target, service) for target, service in sampled)
        return EngineLoad(len(ready), backlogged / len(sampled))

    def _ready(self, service: str) -> list[TargetState]:
        now = self.clock.now()
        return [
            target
            for target in self.registry.usable(service)
            if max(target.paused_until, target.unreachable_until, target.cold_until) <= now
        ]

    def _has_backlog(self, target: TargetState, service: GatewayService) -> bool:
        load = target.load.snapshot()
        goal_ms = self.min_goals_ms().get(service.name, DEFAULT_GOAL_MS)
        slots = service.engine.slots if service.engine is not None else 0
        return (
            load.wait_ms > BACKLOG_WAIT_FRACTION * goal_ms
            or load.running >= BACKLOG_SLOTS_FRACTION * slots
        )
