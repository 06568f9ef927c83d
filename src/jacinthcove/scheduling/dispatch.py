"""Dispatch of requests to targets across the routers of the mesh."""

import random
from collections.abc import Callable

import gevent
from gevent.event import Event

from jacinthcove.clock import Clock
from jacinthcove.config.model import FleetConfig
from jacinthcove.mesh import kinds
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.peers import Member, Members, Peers
from jacinthcove.scheduling.accounts import Accounts
from jacinthcove.scheduling.codec import OfferOutcome, decode_ticket, decode_usage
from jacinthcove.scheduling.entry import EntrySide
from jacinthcove.scheduling.owner import OwnerSide
from jacinthcove.scheduling.placement import Placement
from jacinthcove.scheduling.shard import ShardStats
from jacinthcove.scheduling.ticket import GrantedTarget, TicketRequest, Usage
from jacinthcove.targets.reports import LoadPoller
from jacinthcove.targets.table import TargetTable

# Maintenance also runs without an event, for changes that raise none.
MAINTAIN_MS = 1_000


class MeshDispatch:
    """Implements `Dispatch` for one router.

    The entry side places the requests of this router's callers; the owner side schedules the
    shards that this router owns. `config` returns the active configuration. The caller keeps
    `table`, the known targets, up to date with `update_vms` and `update_config`. `poller` creates
    the load poller of an owned target; tests replace it and `rng`.
    """

    def __init__(
        self,
        clock: Clock,
        members: Members,
        peers: Peers,
        config: Callable[[], FleetConfig],
        table: TargetTable,
        poller: Callable[..., LoadPoller] = LoadPoller,
        rng: random.Random | None = None,
    ):
        # A separate generator, so that random draws elsewhere do not change decisions here.
        rng = rng or random.Random()
        self.clock = clock
        self.members = members
        self.peers = peers
        self.placement = Placement(table, members, config)
        self.accounts = Accounts(clock, members, peers, config)
        self.owner_side = OwnerSide(
            clock, members, peers, config, self.placement, self.accounts, poller, rng
        )
        self.entry_side = EntrySide(clock, members, peers, self.placement, self.owner_side, rng)
        self.owner_side.entry_side = self.entry_side
        self._changed = Event()
        self._greenlets: list[gevent.Greenlet] = []
        table.subscribe(self._changed.set)
        members.subscribe(self._on_member)
        peers.register(kinds.TICKET_OFFER, self._on_offer)
        peers.register(kinds.TICKET_CANCEL, self._on_cancel)
        peers.register(kinds.TICKET_PULL, self.owner_side.puller.on_pull)
        peers.register(kinds.GRANT, self.entry_side.on_grant)
        peers.register(kinds.SERVICE_USED, self._on_used)

    def start(self) -> None:
        """Create schedulers for the owned shards and start the background greenlets."""
        self.refresh()
        self.accounts.start()
        self._greenlets = [gevent.spawn(self._maintain), gevent.spawn(self.owner_side.puller.run)]

    def close(self) -> None:
        """Stop the background greenlets; call `drain` first for a graceful stop."""
        gevent.killall(self._greenlets, block=False)
        self.accounts.close()
        self.owner_side.close()

    def drain(self) -> None:
        """Stop granting and return all queued tickets; requests in flight continue."""
        self.owner_side.drain()

    def acquire(self, request: TicketRequest) -> GrantedTarget:
        """Wait for a target; raises `RequestRefused` with a code that says it did not run."""
        return self.entry_side.acquire(request)

    def report(self, grant: GrantedTarget, usage: Usage) -> None:
        """Report the usage of a grant; a report with `ended` set frees the slot."""
        self.entry_side.report(grant, usage)

    def stats(self) -> tuple[ShardStats, ...]:
        """Return the state of the owned shards, for metrics and the status API."""
        return tuple(shard.stats() for shard in self.owner_side.schedulers.values())

    def refresh(self) -> None:
        """Apply changes of targets, members and configuration now."""
        self.placement.refresh()
        self.owner_side.refresh()
        self.entry_side.on_change()

    def _maintain(self) -> None:
        while True:
            self.clock.wait(self._changed, MAINTAIN_MS)
            self._changed.clear()
            self.refresh()
            self.owner_side.sweep()

    def _on_member(self, member: Member) -> None:
        self.owner_side.on_member(member)
        self.entry_side.on_member(member)
        self._changed.set()

    def _on_offer(self, sender: str, message: pb.TicketOffer) -> pb.TicketOfferReply:
        if message.moved:
            still_waits = self.entry_side.on_ticket_moved(sender, message.ticket.id, message.shard)
            outcome = OfferOutcome.QUEUED if still_waits else OfferOutcome.NOT_OWNER
            return pb.TicketOfferReply(outcome=int(outcome))
        ticket = decode_ticket(message.ticket, self.clock.now())
        outcome, retry_after = self.owner_side.offer(message.shard, ticket)
        scheduler = self.owner_side.schedulers.get(message.shard)
        return pb.TicketOfferReply(
            outcome=int(outcome),
            retry_after_ms=retry_after,
            queued=len(scheduler.queue) if scheduler is not None else 0,
            free=scheduler.free_slots() if scheduler is not None else 0,
        )

    def _on_cancel(self, sender: str, message: pb.TicketCancel) -> pb.Empty:
        # An entry router cancels a ticket at the router that queues it. That router returns a
        # ticket to its entry router with the same message.
        if message.ticket_id in self.entry_side.waiting:
            self.entry_side.on_ticket_returned(sender, message.ticket_id)
        else:
            self.owner_side.cancel(message.ticket_id)
        return pb.Empty()

    def _on_used(self, sender: str, message: pb.ServiceUsed) -> pb.Empty:
        usage = decode_usage(message)
        if not self.owner_side.on_usage(message.slot, usage):
            self.owner_side.adopt(sender, message, usage)
        return pb.Empty()
