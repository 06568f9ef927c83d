"""Baselines that run on the router's own code: local queues, and dispatch without exchange."""

import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import gevent
from gevent.event import Event

from jacinthcove.background import BackgroundTask
from jacinthcove.clock import Clock
from jacinthcove.codes import ResultCode
from jacinthcove.config.model import FleetConfig
from jacinthcove.errors import RequestRefused
from jacinthcove.mesh.peers import Members, Peers
from jacinthcove.scheduling.dispatch import MeshDispatch
from jacinthcove.scheduling.placement import Placement
from jacinthcove.scheduling.shard import ShardStats
from jacinthcove.scheduling.ticket import GrantedTarget, TicketRequest, Usage
from jacinthcove.targets.table import TargetTable

# Targets become unusable without an event here, so waiting requests are looked at this often.
MAINTAIN_MS = 250


class BaselineMode(Enum):
    """The selectable baselines."""

    LOCAL_QUEUES = "local-queues"
    NO_EXCHANGE = "no-exchange"


@dataclass(eq=False)
class Waiter:
    """A request in the local queue."""

    request: TicketRequest
    granted: Event = field(default_factory=Event)
    grant: GrantedTarget | None = None


class LocalQueues:
    """Routers that know nothing of each other: a FIFO, fixed limits and random targets.

    The limit of a target is divided by the number of routers, at least 1. Requests of one service
    and version are served in order of arrival, whatever their workspace.
    """

    def __init__(
        self,
        clock: Clock,
        members: Members,
        peers: Peers,
        config: Callable[[], FleetConfig],
        table: TargetTable,
        rng: random.Random | None = None,
    ):
        del peers
        self.clock = clock
        self.members = members
        self.config = config
        self.table = table
        self.placement = Placement(table, members, config)
        self.random = rng or random.Random()
        self.queues: dict[tuple[str, str], deque[Waiter]] = {}
        self.in_flight: Counter[str] = Counter()
        self.draining = False
        self._slots = 0
        self._task = BackgroundTask(self._maintain)
        table.subscribe(self.pump)

    def start(self) -> None:
        """Start the periodic look at the queues."""
        self.placement.refresh()
        self._task.start()

    def close(self) -> None:
        """Stop the background work."""
        self._task.close()

    def drain(self) -> None:
        """Refuse what waits; requests in flight go on."""
        self.draining = True
        for queue in self.queues.values():
            for waiter in queue:
                waiter.granted.set()

    def stats(self) -> tuple[ShardStats, ...]:
        """Return nothing, because no shard is owned."""
        return ()

    def acquire(self, request: TicketRequest) -> GrantedTarget:
        """Wait for a target in order of arrival; raises `RequestRefused` with a not-run code."""
        waiter = Waiter(request)
        queue = self.queues.setdefault((request.service, request.version), deque())
        queue.append(waiter)
        self.pump()
        self.clock.wait(waiter.granted, max(0, request.deadline - self.clock.now()))
        if waiter.grant is None:
            queue.remove(waiter)
            if self.draining:
                raise RequestRefused(ResultCode.ROUTER_STOPPING, "the router is shutting down", 0)
            raise RequestRefused(
                ResultCode.DEADLINE_BEFORE_START, "the deadline passed before a target was free"
            )
        return waiter.grant

    def report(self, grant: GrantedTarget, usage: Usage) -> None:
        """Free the slot when the request has ended."""
        if usage.ended:
            self.in_flight[grant.target_id] -= 1
            self.pump()

    def limit(self, service: str) -> int:
        """Return the concurrency that this router allows itself at one target."""
        routers = max(1, len(self.table.routers))
        return max(1, self.config().services[service].limits.max // routers)

    def pump(self) -> None:
        """Grant while the oldest request finds a target."""
        for (service, version), queue in self.queues.items():
            while queue and not self.draining:
                free = self._free(queue[0].request, service, version)
                if not free:
                    break
                self._grant(queue.popleft(), self.random.choice(free))

    def _free(self, request: TicketRequest, service: str, version: str) -> list[str]:
        limit = self.limit(service)
        return sorted(
            target.id
            for target in self.table.targets.values()
            if (target.pool.service, target.pool.version) == (service, version)
            and target.accepts_requests
            and target.id not in request.avoid
            and self.in_flight[target.id] < limit
        )

    def _grant(self, waiter: Waiter, target_id: str) -> None:
        target = self.table.targets[target_id]
        self.in_flight[target_id] += 1
        self._slots += 1
        waiter.grant = GrantedTarget(
            ticket_id=waiter.request.id,
            workspace=waiter.request.workspace,
            service=waiter.request.service,
            shard="",
            owner=self.members.me.id,
            target_id=target_id,
            address=target.address,
            version=target.pool.version,
            slot=self._slots,
        )
        waiter.granted.set()

    def _maintain(self) -> None:
        while True:
            gevent.sleep(MAINTAIN_MS / 1000)
            self.pump()


class NoExchangeDispatch(MeshDispatch):
    """The product's dispatch whose routers never exchange service accounts."""

    def start(self) -> None:
        """Start everything but the exchange."""
        # A router then knows only the service that itself has charged.
        self.accounts.start = lambda: None  # type: ignore[method-assign]
        super().start()


FACTORIES: dict[BaselineMode, type[LocalQueues] | type[MeshDispatch]] = {
    BaselineMode.LOCAL_QUEUES: LocalQueues,
    BaselineMode.NO_EXCHANGE: NoExchangeDispatch,
}
