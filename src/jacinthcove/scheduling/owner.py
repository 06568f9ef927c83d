"""The shard owner's side of dispatch: this router's shards with their targets and grants."""

import random
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Protocol

import gevent

from jacinthcove.clock import Clock
from jacinthcove.config.model import FleetConfig, Limits
from jacinthcove.errors import PeerUnavailable
from jacinthcove.mesh import kinds
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.peers import Member, Members, MemberState, Peers
from jacinthcove.scheduling.accounts import Accounts
from jacinthcove.scheduling.codec import OfferOutcome
from jacinthcove.scheduling.fairqueue import QueuedTicket, QueueFull
from jacinthcove.scheduling.placement import Placement
from jacinthcove.scheduling.pulls import TicketPuller
from jacinthcove.scheduling.shard import ShardScheduler, Slot
from jacinthcove.scheduling.ticket import Usage
from jacinthcove.targets.reports import LoadPoller
from jacinthcove.targets.state import TargetState

GRANT_TIMEOUT_MS = 1_000
# A grant expires after this time. The owner keeps the slot of an unanswered grant as long.
GRANT_VALID_MS = 2_000
GRANT_RETRY_MS = 200
# Usage is reported every 250 ms. A slot without reports for this long is checked with its entry
# router.
SILENT_SLOT_MS = 5_000
MAX_ENDED_SLOTS = 10_000
# Slot ids start at the wall time in ms shifted by these bits, so a restart does not reuse them.
SLOT_ID_SHIFT = 20


class GrantReceiver(Protocol):
    """The entry side of this router, as the owner side uses it."""

    def on_grant(self, sender: str, message: pb.Grant) -> pb.GrantReply:
        """Accept or refuse a grant."""

    def on_ticket_moved(self, holder: str, ticket_id: str, shard: str) -> bool:
        """Record the router that queues a ticket now; return whether its request still waits."""

    def on_ticket_returned(self, holder: str, ticket_id: str) -> None:
        """Offer a returned ticket again."""


def _slot_ids(clock: Clock) -> Iterator[int]:
    slot = clock.wall() << SLOT_ID_SHIFT
    while True:
        slot += 1
        yield slot


class OwnerSide:
    """The schedulers of the shards that this router owns, and the delivery of their grants.

    A slot is freed only when its entry router reports the end of the request, refuses the grant,
    does not know the slot, or is declared dead and can no longer accept the grant.
    `retired_schedulers` are those of shards no longer owned that still have slots in use.
    """

    entry_side: GrantReceiver

    def __init__(
        self,
        clock: Clock,
        members: Members,
        peers: Peers,
        config: Callable[[], FleetConfig],
        placement: Placement,
        accounts: Accounts,
        poller: Callable[..., LoadPoller],
        rng: random.Random,
    ):
        self.clock = clock
        self.members = members
        self.peers = peers
        self.config = config
        self.placement = placement
        self.accounts = accounts
        self.poller = poller
        self.rng = rng
        self.draining = False
        self.visible_fraction = placement.visible_fraction()
        self.schedulers: dict[str, ShardScheduler] = {}
        self.retired_schedulers: list[ShardScheduler] = []
        self.targets: dict[str, TargetState] = {}
        self.puller = TicketPuller(self)
        self._pollers: dict[str, LoadPoller] = {}
        self._slot_ids = _slot_ids(clock)
        self._ended_slots: OrderedDict[int, None] = OrderedDict()

    def refresh(self) -> None:
        """Create and drop schedulers to match the placement; return tickets not served here."""
        self.visible_fraction = self.placement.visible_fraction()
        owned = (
            {} if self.draining else {shard.name: shard for shard in self.placement.owned_shards()}
        )
        for name in self.schedulers.keys() - owned.keys():
            self._drop(name)
        self._update_targets({target for shard in owned.values() for target in shard.targets})
        for name, shard in owned.items():
            scheduler = self.schedulers.get(name)
            if scheduler is None:
                scheduler = self.schedulers[name] = ShardScheduler(
                    shard,
                    self.targets,
                    self.accounts,
                    self.clock,
                    self.config,
                    lambda: self.visible_fraction,
                    self._deliver,
                    self._slot_ids,
                )
                scheduler.start()
            scheduler.shard = shard
            for ticket in list(scheduler.queue.tickets.values()):
                if not scheduler.can_serve(ticket):
                    scheduler.cancel(ticket.id)
                    self.return_ticket(ticket)
            scheduler.wake()
        self.retired_schedulers = [
            scheduler for scheduler in self.retired_schedulers if scheduler.slots
        ]

    def close(self) -> None:
        """Stop all schedulers and load pollers."""
        for scheduler in self.schedulers.values():
            scheduler.close()
        for poller in self._pollers.values():
            poller.close()

    def drain(self) -> None:
        """Drop all shards and return their tickets to the entry routers."""
        self.draining = True
        self.refresh()

    def offer(self, shard: str, ticket: QueuedTicket) -> tuple[OfferOutcome, int]:
        """Queue a ticket; return the outcome and, for a full queue, a retry time in ms."""
        scheduler = self.schedulers.get(shard)
        if scheduler is None and not self.draining:
            self.refresh()
            scheduler = self.schedulers.get(shard)
        if scheduler is None:
            return OfferOutcome.NOT_OWNER, 0
        if not scheduler.can_serve(ticket):
            return OfferOutcome.NO_TARGET, 0
        try:
            scheduler.offer(ticket)
        except QueueFull:
            return OfferOutcome.QUEUE_FULL, scheduler.retry_after_ms()
        if len(scheduler.queue):
            self.puller.on_backlog()
        return OfferOutcome.QUEUED, 0

    def cancel(self, ticket_id: str) -> None:
        """Remove a ticket that its entry router has cancelled."""
        self.puller.forget_unconfirmed(ticket_id)
        for scheduler in self.schedulers.values():
            if scheduler.cancel(ticket_id):
                return

    def backlog(self, shard: str) -> int:
        """Return the queued tickets minus the free slots of `shard`; 0 if it is not owned."""
        scheduler = self.schedulers.get(shard)
        return len(scheduler.queue) - scheduler.free_slots() if scheduler is not None else 0

    def return_ticket(self, ticket: QueuedTicket) -> None:
        """Return a ticket to its entry router, which offers it again."""
        if ticket.entry_router == self.members.me.id:
            self.entry_side.on_ticket_returned(ticket.entry_router, ticket.id)
        else:
            message = pb.TicketCancel(ticket_id=ticket.id)
            self.peers.send(ticket.entry_router, kinds.TICKET_CANCEL, message)

    def on_usage(self, slot_id: int, usage: Usage) -> bool:
        """Apply a usage report; return whether the slot is in use or known to have ended."""
        for scheduler in self._all_schedulers():
            if scheduler.on_usage(slot_id, usage):
                if usage.ended:
                    self._remember_ended(slot_id)
                    self.puller.on_request_end(scheduler)
                return True
        return slot_id in self._ended_slots

    def adopt(self, sender: str, message: pb.ServiceUsed, usage: Usage) -> None:
        """Count a running request whose slot was freed when its entry router was declared dead."""
        if usage.ended:
            self._remember_ended(message.slot)
            return
        for scheduler in self.schedulers.values():
            if message.target_id in scheduler.shard.targets and message.target_id in self.targets:
                self._adopt(scheduler, sender, message, usage)
                return

    def on_member(self, member: Member) -> None:
        """Free the slots and drop the tickets of a router that is declared dead."""
        if member.state is not MemberState.DEAD:
            return
        for scheduler in self._all_schedulers():
            for slot in list(scheduler.slots.values()):
                # An unanswered grant may be accepted until it expires; then `_send_grant` frees it.
                if slot.ticket.entry_router == member.id and slot.accepted:
                    scheduler.free(slot.id)
            for ticket in list(scheduler.queue.tickets.values()):
                if ticket.entry_router == member.id:
                    scheduler.cancel(ticket.id)

    def sweep(self) -> None:
        """Check slots without usage reports, and requeue tickets of unconfirmed pulls."""
        limit = self.clock.now() - SILENT_SLOT_MS
        for scheduler in self._all_schedulers():
            for slot in list(scheduler.slots.values()):
                remote = slot.ticket.entry_router != self.members.me.id
                if remote and slot.accepted and slot.last_contact_at < limit:
                    slot.last_contact_at = self.clock.now()
                    gevent.spawn(self._check_slot, scheduler, slot)
        self.puller.sweep()

    def _all_schedulers(self) -> Iterator[ShardScheduler]:
        yield from list(self.schedulers.values())
        yield from list(self.retired_schedulers)

    def _drop(self, name: str) -> None:
        scheduler = self.schedulers.pop(name)
        for ticket in scheduler.close():
            self.return_ticket(ticket)
        if scheduler.slots:
            self.retired_schedulers.append(scheduler)

    def _update_targets(self, owned: set[str]) -> None:
        for target_id in self.targets.keys() - owned:
            del self.targets[target_id]
            self._pollers.pop(target_id).close()
        for target_id in owned:
            target = self.placement.table.targets[target_id]
            service = self.config().services.get(target.pool.service)
            limits = service.limits if service is not None else Limits()
            state = self.targets.get(target_id)
            if state is not None and state.target.address != target.address:
                self._pollers.pop(target_id).close()
                state.on_unreachable()
            if state is None:
                state = self.targets[target_id] = TargetState(target, limits, self.clock)
            state.target = target
            state.limit.configure(limits)
            if target_id not in self._pollers:
                poller = self._pollers[target_id] = self.poller(state, self._wake)
                poller.start()

    def _wake(self) -> None:
        for scheduler in self.schedulers.values():
            scheduler.wake()

    def _deliver(self, scheduler: ShardScheduler, slot: Slot) -> None:
        if slot.ticket.entry_router != self.members.me.id:
            gevent.spawn(self._send_grant, scheduler, slot)
            return
        # A local grant has no transit time. It must not expire because the clock ticks during this
        # call, or because a ticket that was pulled back here has a clock offset.
        slot.ticket = replace(slot.ticket, entry_offset=0)
        slot.valid_until = self.clock.now() + GRANT_VALID_MS
        reply = self.entry_side.on_grant(self.members.me.id, self._grant_message(scheduler, slot))
        if reply.accepted:
            slot.accepted = True
        else:
            scheduler.free(slot.id)

    def _grant_message(self, scheduler: ShardScheduler, slot: Slot) -> pb.Grant:
        return pb.Grant(
            ticket_id=slot.ticket.id,
            shard=scheduler.shard.name,
            target_id=slot.state.target.id,
            target_address=slot.state.target.address,
            version=scheduler.shard.pool.version,
            slot=slot.id,
            valid_until_ms=max(0, slot.valid_until + slot.ticket.entry_offset),
        )

    def _send_grant(self, scheduler: ShardScheduler, slot: Slot) -> None:
        entry = slot.ticket.entry_router
        while slot.id in scheduler.slots and not slot.accepted:
            slot.valid_until = self.clock.now() + GRANT_VALID_MS
            grant = self._grant_message(scheduler, slot)
            try:
                reply = self.peers.call(entry, kinds.GRANT, grant, GRANT_TIMEOUT_MS)
            except PeerUnavailable:
                if self._is_dead(entry):
                    self.clock.sleep(max(0, slot.valid_until - self.clock.now()) + 1)
                    if not slot.accepted:
                        scheduler.free(slot.id)
                    return
                self.clock.sleep(GRANT_RETRY_MS)
                continue
            self._on_grant_reply(scheduler, slot, reply)
            return

    def _on_grant_reply(self, scheduler: ShardScheduler, slot: Slot, reply: pb.GrantReply) -> None:
        if reply.accepted:
            slot.accepted = True
            slot.last_contact_at = self.clock.now()
            if slot.id not in scheduler.slots and slot.id not in self._ended_slots:
                scheduler.adopt(slot)
            return
        freed = scheduler.free(slot.id)
        if freed is not None and reply.waiting:
            offset = reply.entry_ms - self.clock.now()
            ticket = replace(slot.ticket, entry_offset=offset)
            if scheduler.closed:
                self.return_ticket(ticket)
            else:
                scheduler.offer(ticket, bounded=False, at_front=True)

    def _check_slot(self, scheduler: ShardScheduler, slot: Slot) -> None:
        grant = self._grant_message(scheduler, slot)
        # An expired grant is accepted only if the entry router already uses the slot.
        grant.valid_until_ms = 0
        try:
            reply = self.peers.call(slot.ticket.entry_router, kinds.GRANT, grant, GRANT_TIMEOUT_MS)
        except PeerUnavailable:
            if self._is_dead(slot.ticket.entry_router):
                scheduler.free(slot.id)
            return
        if not reply.accepted:
            scheduler.free(slot.id)

    def _adopt(
        self, scheduler: ShardScheduler, sender: str, message: pb.ServiceUsed, usage: Usage
    ) -> None:
        now = self.clock.now()
        pool = scheduler.shard.pool
        ticket = QueuedTicket(
            id="",
            entry_router=sender,
            workspace=message.workspace,
            service=pool.service,
            version=pool.version,
            route="",
            estimate=0.0,
            deadline=now,
        )
        slot = Slot(message.slot, ticket, self.targets[message.target_id], 0.0, now, now, now)
        slot.usage = usage
        slot.accepted = True
        scheduler.adopt(slot)

    def _is_dead(self, member_id: str) -> bool:
        member = self.members.get(member_id)
        return member is None or member.state is MemberState.DEAD

    def _remember_ended(self, slot_id: int) -> None:
        self._ended_slots[slot_id] = None
        if len(self._ended_slots) > MAX_ENDED_SLOTS:
            self._ended_slots.popitem(last=False)
