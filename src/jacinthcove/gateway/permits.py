"""Lends unused quotas of the limits that targets state to routers that have used theirs.

The callers of a workspace may all reach one router, which has only its own quota of each limit. It
asks other routers for permits, each for one request to one target. A router counts a permit that it
lends as a request of its own, so all routers together still keep to the limit. Meanwhile it lets no
request of a workspace over its share use the quota.
"""

import random

import gevent
import structlog
from gevent.event import Event

from jacinthcove.background import BackgroundTask, run_step
from jacinthcove.clock import Clock
from jacinthcove.errors import PeerUnavailable
from jacinthcove.gateway.raterule import PERMIT_CALL_TIMEOUT_MS, StatedRule
from jacinthcove.gateway.targets import TargetRegistry
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.fanout import other_ids
from jacinthcove.mesh.kinds import PERMIT_PULL
from jacinthcove.mesh.peers import Members, Peers

log = structlog.get_logger()

# Time between two rounds, and the routers that are asked in each.
ROUND_MS = 100
LENDERS = 2
# Permits in one reply.
MAX_PERMITS = 16
# How long a router waits for its quota to allow a permit, and how often it checks.
CLAIM_MS = 150
CLAIM_POLL_MS = 25
# A router that was short itself within this time lends nothing.
SHORT_MS = 500


class PermitExchange:
    """Asks other routers for permits while requests here find no target, and lends them some."""

    def __init__(
        self,
        clock: Clock,
        members: Members,
        peers: Peers,
        registry: TargetRegistry,
        rule: StatedRule,
        rng: random.Random | None = None,
    ):
        self.clock = clock
        self.members = members
        self.peers = peers
        self.registry = registry
        self.rule = rule
        self.rng = rng or random.Random()
        # Ids of the requests that found no target since the last round, by service.
        self.short: dict[str, set[str]] = {}
        self.short_at: dict[str, int] = {}
        self.shortage = Event()
        self.task = BackgroundTask(self._borrow_loop)
        peers.register(PERMIT_PULL, self.serve_pull)

    def start(self) -> None:
        """Start to borrow permits when they are needed."""
        self.task.start()

    def close(self) -> None:
        """Stop borrowing."""
        self.task.close()

    def record_shortage(self, service: str, request_id: str) -> None:
        """Record a request within its workspace's share that found no target."""
        if not self.rule.limits.by_target:
            return
        self.short.setdefault(service, set()).add(request_id)
        self.short_at[service] = self.clock.now()
        self.shortage.set()

    def borrow(self) -> None:
        """Ask some routers for permits for the requests that found no target."""
        short, self.short = self.short, {}
        calls = [
            gevent.spawn(self._pull, lender, service, min(len(requests), MAX_PERMITS))
            for service, requests in short.items()
            for lender in self._choose_lenders()
        ]
        gevent.joinall(calls)

    def serve_pull(self, sender: str, message: pb.PermitPull) -> pb.PermitReply:
        """Lend permits to another router; handles `PERMIT_PULL`."""
        del sender
        if self._is_short(message.service):
            return pb.PermitReply()
        count = min(message.count, MAX_PERMITS)
        ends_at = self.clock.now() + CLAIM_MS
        lent = self._lend(message.service, count)
        while len(lent) < count and self.clock.now() < ends_at:
            self.rule.claimed_until[message.service] = ends_at
            self.clock.sleep(CLAIM_POLL_MS)
            lent += self._lend(message.service, count - len(lent))
        return pb.PermitReply(target_ids=lent)

    def _lend(self, service: str, count: int) -> list[str]:
        usable = self.registry.usable(service)
        lent: list[str] = []
        for target in self.rng.sample(usable, len(usable)):
            if len(lent) >= count:
                break
            if self.rule.try_lend(target):
                lent.append(target.record.id)
        return lent

    def _is_short(self, service: str) -> bool:
        short_at = self.short_at.get(service)
        return short_at is not None and self.clock.now() - short_at < SHORT_MS

    def _choose_lenders(self) -> list[str]:
        others = other_ids(self.members)
        return self.rng.sample(others, min(LENDERS, len(others)))

    def _pull(self, lender: str, service: str, count: int) -> None:
        message = pb.PermitPull(service=service, count=count)
        try:
            reply = self.peers.call(lender, PERMIT_PULL, message, PERMIT_CALL_TIMEOUT_MS)
        except PeerUnavailable as error:
            log.debug("permits_not_lent", router=lender, reason=str(error))
            return
        for target_id in reply.target_ids:
            self.rule.add_borrowed(target_id)

    def _borrow_loop(self) -> None:
        while True:
            self.shortage.wait()
            self.shortage.clear()
            run_step(self.borrow)
            gevent.sleep(ROUND_MS / 1000)
