"""Baseline schedulers for comparison: local queues, and dispatch that exchanges no usage."""

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

# A target can become unusable without an event, so the queues are also checked periodically.
GRANT_INTERVAL_MS = 250


class BaselineMode(Enum):
    """Values of the flag `--mode` that select a baseline."""

    LOCAL_QUEUES = "local-queues"
    NO_EXCHANGE = "no-exchange"


@dataclass(eq=False)
class WaitingRequest:
    """A request in a local queue; `granted` is set when `grant` is there or on shutdown."""

    request: TicketRequest
    granted: Event = field(default_factory=Event)
    grant: GrantedTarget | None = None


class LocalQueues:
    """Schedules without contact to other routers: FIFO queues, fixed limits, random targets.

    Each router may use the configured limit of a target divided by the number of routers, but at
    least 1. Requests of one service and version are served in order of arrival, regardless of
    their workspace.
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
        self.queues: dict[tuple[str, str], deque[WaitingRequest]] = {}
        self.in_flight: Counter[str] = Counter()
        self.draining = False
        self._last_slot = 0
        self._task = BackgroundTask(self._grant_periodically)
        table.subscribe(self.grant_free_slots)

    def start(self) -> None:
        """Start polling the queues."""
        self.placement.refresh()
        self._task.start()

    def close(self) -> None:
        """Stop polling the queues."""
        self._task.close()

    def drain(self) -> None:
        """Reject the waiting requests; requests in flight continue."""
        self.draining = True
        for queue in self.queues.values():
            for waiting in queue:
                waiting.granted.set()

    def stats(self) -> tuple[ShardStats, ...]:
        """Return no statistics, because this scheduler has no shards."""
        return ()

    def acquire(self, request: TicketRequest) -> GrantedTarget:
        """Wait for a target in arrival order; raises `RequestRefused` with a not-run code."""
        waiting = WaitingRequest(request)
        queue = self.queues.setdefault((request.service, request.version), deque())
        queue.append(waiting)
        self.grant_free_slots()
        self.clock.wait(waiting.granted, max(0, request.deadline - self.clock.now()))
        if waiting.grant is None:
            queue.remove(waiting)
            if self.draining:
                raise RequestRefused(ResultCode.ROUTER_STOPPING, "the router is shutting down", 0)
            raise RequestRefused(
                ResultCode.DEADLINE_BEFORE_START, "the deadline passed before a target was free"
            )
        return waiting.grant

    def report(self, grant: GrantedTarget, usage: Usage) -> None:
        """Free the slot of a request that has ended; other usage reports are ignored."""
        if usage.ended:
            self.in_flight[grant.target_id] -= 1
            self.grant_free_slots()

    def target_limit(self, service: str) -> int:
        """Return how many requests this router may have in flight at one target."""
        routers = max(1, len(self.table.routers))
        return max(1, self.config().services[service].limits.max // routers)

    def grant_free_slots(self) -> None:
        """Grant free targets to the oldest request of each queue until none fits."""
        for (service, version), queue in self.queues.items():
            while queue and not self.draining:
                free = self._free_targets(queue[0].request, service, version)
                if not free:
                    break
                self._grant(queue.popleft(), self.random.choice(free))

    def _free_targets(self, request: TicketRequest, service: str, version: str) -> list[str]:
        target_limit = self.target_limit(service)
        return sorted(
            target.id
            for target in self.table.targets.values()
            if (target.pool.service, target.pool.version) == (service, version)
            and target.accepts_requests
            and target.id not in request.avoid
            and self.in_flight[target.id] < target_limit
        )

    def _grant(self, waiting: WaitingRequest, target_id: str) -> None:
        target = self.table.targets[target_id]
        self.in_flight[target_id] += 1
        self._last_slot += 1
        waiting.grant = GrantedTarget(
            ticket_id=waiting.request.id,
            workspace=waiting.request.workspace,
            service=waiting.request.service,
            shard="",
            owner=self.members.me.id,
            target_id=target_id,
            address=target.address,
            version=target.pool.version,
            slot=self._last_slot,
        )
        waiting.granted.set()

    def _grant_periodically(self) -> None:
        while True:
            gevent.sleep(GRANT_INTERVAL_MS / 1000)
            self.grant_free_slots()


class NoExchangeDispatch(MeshDispatch):
    """The normal dispatch, but routers don't exchange service accounts."""

    def start(self) -> None:
        """Start everything except the exchange of accounts."""
        # Without it, a router knows only the service that it has charged itself.
        self.accounts.start = lambda: None  # type: ignore[method-assign]
        super().start()


DISPATCH_TYPES: dict[BaselineMode, type[LocalQueues] | type[MeshDispatch]] = {
    BaselineMode.LOCAL_QUEUES: LocalQueues,
    BaselineMode.NO_EXCHANGE: NoExchangeDispatch,
}
