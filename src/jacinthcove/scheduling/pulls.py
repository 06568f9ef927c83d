"""Work stealing: shards pull queued tickets from others of the same service and version."""

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from jacinthcove.errors import PeerUnavailable
from jacinthcove.mesh import kinds
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.scheduling.codec import OfferOutcome, decode_ticket, encode_ticket
from jacinthcove.scheduling.estimate import plain_units
from jacinthcove.scheduling.fairqueue import QueuedTicket
from jacinthcove.scheduling.shard import ShardScheduler

if TYPE_CHECKING:
    from jacinthcove.scheduling.owner import OwnerSide

PULL_TIMEOUT_MS = 1_000
# Two random shards per pull find one with a backlog or with lower levels within a few rounds.
SAMPLED_SHARDS = 2
# The pause between pulls is short while they succeed and doubles up to the maximum otherwise.
MIN_PULL_PAUSE_MS = 20
MAX_PULL_PAUSE_MS = 1_000
# The end of a request wakes the pull loop only this long after the shard's last successful pull.
RECENT_PULL_MS = 5_000
# Bounds the size of one reply.
MAX_PULLED_TICKETS = 64
# A pulled ticket is queued again at its source if its entry router has not cancelled it there by
# then, which confirms the move.
MOVE_CONFIRM_MS = 3_000


@dataclass
class UnconfirmedTicket:
    """A ticket that another router pulled from `shard` and whose move is not yet confirmed."""

    ticket: QueuedTicket
    shard: str
    expires_at: int


class TicketPuller:
    """Pulls tickets for the shards of one router, and serves the pulls of other routers."""

    def __init__(self, owner_side: "OwnerSide"):
        self.owner_side = owner_side
        self.unconfirmed: dict[str, UnconfirmedTicket] = {}
        self._wake = Event()
        self._last_sources: dict[str, str] = {}
        self._pulled_at: dict[str, int] = {}
        self._level_pull_at: dict[str, int] = {}

    def run(self) -> None:
        """Pull in a loop, for idle shards and for shards whose levels are higher than others'."""
        pause = MIN_PULL_PAUSE_MS
        while True:
            self.owner_side.clock.wait(self._wake, pause)
            self._wake.clear()
            pulled = self.pull_round()
            pause = MIN_PULL_PAUSE_MS if pulled else min(MAX_PULL_PAUSE_MS, pause * 2)

    def pull_round(self) -> int:
        """Pull once for every shard that needs it; return the number of pulled tickets."""
        jobs = [
            gevent.spawn(self._pull_for, scheduler)
            for scheduler in list(self.owner_side.schedulers.values())
            if not scheduler.closed
        ]
        gevent.joinall(jobs)
        return sum(job.value or 0 for job in jobs)

    def on_backlog(self) -> None:
        """Wake the pull loop after a ticket was queued, if a shard of this router is idle."""
        if any(self._idle(scheduler) for scheduler in self.owner_side.schedulers.values()):
            self._wake.set()

    def on_request_end(self, scheduler: ShardScheduler) -> None:
        """Wake the pull loop when a request ends on an empty shard that pulled recently."""
        now = self.owner_side.clock.now()
        recent = now - self._pulled_at.get(scheduler.shard.name, -RECENT_PULL_MS) < RECENT_PULL_MS
        if recent and not len(scheduler.queue):
            self._wake.set()

    def forget_unconfirmed(self, ticket_id: str) -> None:
        """Drop a pulled ticket whose move was confirmed or whose request no longer waits."""
        self.unconfirmed.pop(ticket_id, None)

    def sweep(self) -> None:
        """Queue pulled tickets again whose move was not confirmed in time."""
        now = self.owner_side.clock.now()
        for unconfirmed in [
            unconfirmed
            for unconfirmed in self.unconfirmed.values()
            if unconfirmed.expires_at <= now
        ]:
            del self.unconfirmed[unconfirmed.ticket.id]
            scheduler = self.owner_side.schedulers.get(unconfirmed.shard)
            if scheduler is not None and unconfirmed.ticket.deadline > now:
                scheduler.offer(unconfirmed.ticket, bounded=False, at_front=True)
            else:
                self.owner_side.return_ticket(unconfirmed.ticket)

    def on_pull(self, sender: str, message: pb.TicketPull) -> pb.TicketPullReply:
        """Handle a pull by a shard of another router."""
        del sender
        scheduler = self.owner_side.schedulers.get(message.shard)
        if scheduler is None:
            return pb.TicketPullReply()
        now = self.owner_side.clock.now()
        taken = scheduler.take_tickets(min(message.count, MAX_PULLED_TICKETS), message.max_level)
        for ticket in taken:
            self.unconfirmed[ticket.id] = UnconfirmedTicket(
                ticket, message.shard, now + MOVE_CONFIRM_MS
            )
        lowest = scheduler.queue.lowest_level()
        return pb.TicketPullReply(
            tickets=[
                encode_ticket(ticket, now, scheduler.queue.level(ticket.workspace))
                for ticket in taken
            ],
            backlogged=lowest is not None,
            least_level=lowest or 0.0,
        )

    def _idle(self, scheduler: ShardScheduler) -> bool:
        return not len(scheduler.queue) and scheduler.free_slots() > 0

    def _pull_for(self, scheduler: ShardScheduler) -> int:
        if self._idle(scheduler):
            return self._pull(scheduler, scheduler.free_slots(), math.inf)
        now = self.owner_side.clock.now()
        config = self.owner_side.config()
        name = scheduler.shard.name
        lowest = scheduler.queue.lowest_level()
        if lowest is None or now - self._level_pull_at.get(name, 0) < config.exchange_period_ms:
            return 0
        self._level_pull_at[name] = now
        max_level = lowest - plain_units(config.pull_threshold_ms)
        return self._pull(scheduler, max(1, scheduler.capacity() // 2), max_level)

    def _pull(self, scheduler: ShardScheduler, count: int, max_level: float) -> int:
        if max_level <= 0:
            return 0
        pulled = 0
        for source in self._pull_sources(scheduler):
            tickets = self._request_tickets(
                scheduler, source, min(count - pulled, MAX_PULLED_TICKETS), max_level
            )
            if tickets:
                self._last_sources[scheduler.shard.name] = source
                self._pulled_at[scheduler.shard.name] = self.owner_side.clock.now()
            pulled += len(tickets)
            for ticket in tickets:
                self._enqueue_pulled(scheduler, ticket)
            if pulled >= count:
                break
        return pulled

    def _pull_sources(self, scheduler: ShardScheduler) -> list[str]:
        pool = scheduler.shard.pool
        me = scheduler.shard.name
        # All shards are candidates: those of a drained failure domain may still have tickets.
        names = self.owner_side.placement.all_shard_names(pool.service, pool.version)
        local = [
            name
            for name, other in self.owner_side.schedulers.items()
            if name != me
            and (other.shard.pool.service, other.shard.pool.version) == (pool.service, pool.version)
            and len(other.queue)
        ]
        # One more than needed, because the pulling shard may be among them.
        drawn = self.owner_side.rng.sample(names, min(SAMPLED_SHARDS + 1, len(names)))
        sampled = [name for name in drawn if name != me][:SAMPLED_SHARDS]
        last = self._last_sources.get(me)
        first = [last] if last in self.owner_side.placement.shards else []
        return list(dict.fromkeys([*local, *first, *sampled]))

    def _request_tickets(
        self, scheduler: ShardScheduler, source: str, count: int, max_level: float
    ) -> list[QueuedTicket]:
        local = self.owner_side.schedulers.get(source)
        if local is not None:
            return local.take_tickets(count, max_level)
        shard = self.owner_side.placement.shards.get(source)
        pool = scheduler.shard.pool
        if shard is None or not shard.owner or shard.owner == self.owner_side.members.me.id:
            return []
        message = pb.TicketPull(
            service=shard.pool.service,
            version=shard.pool.version,
            shard=source,
            puller=self.owner_side.members.me.id,
            max_level=max_level,
            count=count,
        )
        try:
            reply = self.owner_side.peers.call(
                shard.owner, kinds.TICKET_PULL, message, PULL_TIMEOUT_MS
            )
        except PeerUnavailable:
            return []
        if not reply.tickets and self._last_sources.get(scheduler.shard.name) == source:
            del self._last_sources[scheduler.shard.name]
        now = self.owner_side.clock.now()
        for ticket in reply.tickets:
            self.owner_side.accounts.apply_ticket_level(
                pool.service, ticket.workspace, ticket.level
            )
        return [decode_ticket(ticket, now) for ticket in reply.tickets]

    def _enqueue_pulled(self, scheduler: ShardScheduler, ticket: QueuedTicket) -> None:
        if scheduler.closed or not scheduler.can_serve(ticket):
            self.owner_side.return_ticket(ticket)
            return
        me = self.owner_side.members.me.id
        if ticket.entry_router == me:
            if self.owner_side.entry_side.on_ticket_moved(me, ticket.id, scheduler.shard.name):
                scheduler.offer(ticket, bounded=False)
            return
        scheduler.offer(ticket, bounded=False)
        gevent.spawn(self._confirm_move, scheduler, ticket)

    def _confirm_move(self, scheduler: ShardScheduler, ticket: QueuedTicket) -> None:
        offer = pb.TicketOffer(
            ticket=pb.Ticket(id=ticket.id), shard=scheduler.shard.name, moved=True
        )
        try:
            reply = self.owner_side.peers.call(
                ticket.entry_router, kinds.TICKET_OFFER, offer, PULL_TIMEOUT_MS
            )
        except PeerUnavailable:
            # The source queues the ticket again. The entry router accepts only one grant for it.
            return
        if reply.outcome != OfferOutcome.QUEUED:
            scheduler.cancel(ticket.id)
