"""What this router knows of the engines and the demand of a service, from all routers' reports."""

from collections import deque
from collections.abc import Callable, Iterable

from jacinthcove.clock import Clock
from jacinthcove.gateway.model import GatewayService
from jacinthcove.gateway.shares import ShareLedger
from jacinthcove.gateway.targets import TargetRegistry, TargetState
from jacinthcove.gateway.workspaceusage import RECENT_TICKS, TICK_MS
from jacinthcove.scaling.decision import Demand, DomainEngines, Observation

# Reports are missing if fewer than this fraction of the routers of this time are alive.
COMPLETE_FRACTION = 0.5
REMEMBERED_MS = 60_000
# The lately begun tokens are those of the last ended ticks and of the current one, half on average.
LATELY_MS = (RECENT_TICKS + 0.5) * TICK_MS


class Peak:
    """The highest value of the last `REMEMBERED_MS`."""

    def __init__(self) -> None:
        # Values that no later one exceeds, with their times.
        self.values: deque[tuple[int, int]] = deque()

    def record(self, now: int, value: int) -> int:
        """Add a value and return the highest."""
        while self.values and self.values[-1][1] <= value:
            self.values.pop()
        self.values.append((now, value))
        while self.values[0][0] <= now - REMEMBERED_MS:
            self.values.popleft()
        return self.values[0][1]


class Observer:
    """Reads the target registry and the share ledger.

    `record_existing` is also called while another router holds the duties, so that this one knows
    the numbers from before a crash or an outage when it takes over.
    """

    def __init__(
        self,
        clock: Clock,
        registry: TargetRegistry,
        ledger: ShareLedger,
        services: Callable[[], Iterable[GatewayService]],
        living_routers: Callable[[], int],
    ):
        self.clock = clock
        self.registry = registry
        self.ledger = ledger
        self.services = services
        self.living_routers = living_routers
        self.routers = Peak()
        self.peaks: dict[tuple[str, str], Peak] = {}

    def scaled_services(self) -> list[GatewayService]:
        """Return the services whose engines are ordered."""
        return [service for service in self.services() if service.scaling is not None]

    def record_existing(self) -> None:
        """Record the present number of engines by service and failure domain."""
        now = self.clock.boot()
        self.routers.record(now, self.living_routers())
        for service in self.scaled_services():
            for domain, targets in self._by_domain(service.name).items():
                count = sum(not item.record.leaving for item in targets)
                self.peaks.setdefault((service.name, domain), Peak()).record(now, count)

    def existing(self, service: str) -> dict[str, int]:
        """Return the highest recent number of engines of a service by failure domain."""
        return {
            domain: peak.values[0][1]
            for (name, domain), peak in self.peaks.items()
            if name == service and peak.values[0][1]
        }

    def observe(self, service: GatewayService) -> Observation:
        """Return what is known of a service now."""
        usable = set(map(id, self.registry.usable(service.name)))
        domains = {
            domain: self._engines(domain, targets, usable)
            for domain, targets in self._by_domain(service.name).items()
        }
        return Observation(self.clock.boot(), domains, self._demand(service))

    def _by_domain(self, service: str) -> dict[str, list[TargetState]]:
        found: dict[str, list[TargetState]] = {}
        for target in self.registry.by_service.get(service, ()):
            if target.record.id not in self.registry.superseded:
                found.setdefault(target.record.failure_domain, []).append(target)
        return found

    def _engines(self, domain: str, targets: list[TargetState], usable: set[int]) -> DomainEngines:
        now = self.clock.now()
        drained = domain in self.registry.drained
        ready = cold = leaving = lost = running = slots = 0
        for target in targets:
            if target.record.leaving or target.record.id in self.registry.leaving_starts:
                leaving += 1
            elif not drained and (id(target) not in usable or target.unreachable_until > now):
                lost += 1
            else:
                cold += target.cold_until > now
                ready += target.cold_until <= now
                running += min(target.load.running, target.record.slots)
                slots += target.record.slots
        return DomainEngines(ready, cold, leaving, lost, drained, running, slots)

    def _demand(self, service: GatewayService) -> Demand:
        """Return the part of the demand on all engines that falls to a service."""
        usage = self.ledger.window_usage.values()
        begun_lately = sum(item.begun_lately for item in usage)
        late = sum(item.late_lately for item in usage)
        part = self._part(service)
        alive, known = self.living_routers(), self.routers.values
        return Demand(
            asked=part * sum(item.asked for item in usage) * 1_000 / self.ledger.window_ms,
            begun=part * begun_lately * 1_000 / LATELY_MS,
            late_fraction=late / begun_lately if begun_lately else 0.0,
            complete=not known or alive >= COMPLETE_FRACTION * known[0][1],
            window_ms=self.ledger.window_ms,
        )

    def _part(self, service: GatewayService) -> float:
        """Return a service's part of the work at all engines; the ledger has no services."""
        if service.engine is None:
            return 0.0
        names = [item.name for item in self.services() if item.engine is not None]
        if len(names) <= 1:
            return 1.0
        running = {
            name: sum(item.load.running for item in self.registry.by_service.get(name, ()))
            for name in names
        }
        total = sum(running.values())
        return running[service.name] / total if total else 1 / len(names)
