"""The entry router's side of dispatch: its waiting requests and the grants that they use."""

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from jacinthcove.clock import Clock
from jacinthcove.codes import ResultCode
from jacinthcove.errors import PeerUnavailable, RequestRefused
from jacinthcove.mesh import kinds
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.peers import Member, Members, MemberState, Peers
from jacinthcove.scheduling.codec import (
    OfferOutcome,
    encode_ticket,
    encode_usage,
    ticket_for_request,
)
from jacinthcove.scheduling.fairqueue import QueuedTicket
from jacinthcove.scheduling.owner import OwnerSide
from jacinthcove.scheduling.placement import Placement, Shard
from jacinthcove.scheduling.ticket import GrantedTarget, TicketRequest, Usage

OFFER_TIMEOUT_MS = 1_000
USAGE_TIMEOUT_MS = 2_000
# Pause between rounds of offers when no owner has queued the ticket.
OFFER_ROUND_PAUSE_MS = 100
# A queued ticket is offered again after this time, in case its owner lost the queue unnoticed.
REPEAT_OFFER_MS = 15_000
# After this many full queues the request is refused without asking the other shards.
MAX_FULL_SHARDS = 2
# An owner that did not reply is tried last for this long.
SILENT_OWNER_MS = 2_000
BACKLOG_HINT_TTL_MS = 5_000
# A ticket for a shard of this router needs no messages, so a larger backlog is accepted there.
LOCAL_BACKLOG_RATIO = 1.25
LOCAL_BACKLOG_SLACK = 4
NO_TARGET_RETRY_MS = 1_000
# All slots were in use up to the deadline, so a retry has to wait as well.
DEADLINE_RETRY_MS = 1_000
# The end of a request is reported until the owner confirms it, but no longer than the limit: the
# owner checks silent slots itself.
END_RETRY_MS = 500
END_RETRY_LIMIT_MS = 60_000
# Only every fourth report contains the names of shard, target and workspace, because only an owner
# that does not know the slot needs them.
FULL_REPORT_INTERVAL = 4


@dataclass(eq=False)
class WaitingRequest:
    """A request that waits for a target.

    `owner` is the router that queues its ticket for `shard`, empty while no router does.
    """

    request: TicketRequest
    event: Event = field(default_factory=Event)
    owner: str = ""
    shard: str = ""
    grant: GrantedTarget | None = None
    # Routers that may have the ticket queued; they are sent a cancellation when the wait ends.
    holders: set[str] = field(default_factory=set)


class EntrySide:
    """Offers tickets to shard owners, accepts at most one grant per ticket, and reports usage.

    `waiting` is keyed by ticket id and `grants_in_use` by owner id and slot.
    """

    def __init__(
        self,
        clock: Clock,
        members: Members,
        peers: Peers,
        placement: Placement,
        owner_side: OwnerSide,
        rng: random.Random,
    ):
        self.clock = clock
        self.members = members
        self.peers = peers
        self.placement = placement
        self.owner_side = owner_side
        self.rng = rng
        self.waiting: dict[str, WaitingRequest] = {}
        self.grants_in_use: dict[tuple[str, int], GrantedTarget] = {}
        self._report_counts: Counter[tuple[str, int]] = Counter()
        self._delivering_end: set[tuple[str, int]] = set()
        self._backlog_hints: dict[str, tuple[int, int]] = {}
        self._silent_until: dict[str, int] = {}

    def acquire(self, request: TicketRequest) -> GrantedTarget:
        """Wait for a target; raises `RequestRefused` with a code that says it did not run."""
        waiting = WaitingRequest(request)
        self.waiting[request.id] = waiting
        try:
            grant = self._wait(waiting)
        except BaseException:
            if waiting.grant is not None:
                code = ResultCode.DEADLINE_BEFORE_START
                self.report(waiting.grant, Usage(0.0, ended=True, code=code))
            raise
        finally:
            del self.waiting[request.id]
            self._cancel_everywhere(waiting)
        return grant

    def report(self, grant: GrantedTarget, usage: Usage) -> None:
        """Report the usage of `grant` to its owner without waiting for the delivery."""
        key = (grant.owner, grant.slot)
        if key not in self.grants_in_use or key in self._delivering_end:
            return
        if grant.owner == self.members.me.id:
            if usage.ended:
                del self.grants_in_use[key]
            self.owner_side.on_usage(grant.slot, usage)
        elif usage.ended:
            self._delivering_end.add(key)
            gevent.spawn(self._deliver_end, grant, usage)
        else:
            include_names = self._report_counts[key] % FULL_REPORT_INTERVAL == 0
            self._report_counts[key] += 1
            message = encode_usage(grant, usage, include_names)
            self.peers.send(grant.owner, kinds.SERVICE_USED, message)

    def on_grant(self, sender: str, message: pb.Grant) -> pb.GrantReply:
        """Accept the first grant for a ticket, and any repeated grant of a slot in use.

        An expired grant is refused, because its owner may have freed the slot.
        """
        now = self.clock.now()
        if (sender, message.slot) in self.grants_in_use:
            return pb.GrantReply(accepted=True, entry_ms=now)
        waiting = self.waiting.get(message.ticket_id)
        if waiting is None or waiting.grant is not None or now >= waiting.request.deadline:
            return pb.GrantReply(accepted=False, entry_ms=now)
        if now > message.valid_until_ms or message.target_id in waiting.request.avoid:
            return pb.GrantReply(accepted=False, waiting=True, entry_ms=now)
        waiting.grant = GrantedTarget(
            ticket_id=message.ticket_id,
            workspace=waiting.request.workspace,
            service=waiting.request.service,
            shard=message.shard,
            owner=sender,
            target_id=message.target_id,
            address=message.target_address,
            version=message.version,
            slot=message.slot,
        )
        self.grants_in_use[(sender, message.slot)] = waiting.grant
        waiting.holders.discard(sender)
        waiting.event.set()
        return pb.GrantReply(accepted=True, entry_ms=now)

    def on_ticket_moved(self, holder: str, ticket_id: str, shard: str) -> bool:
        """Record that `holder` has pulled a ticket; return whether its request still waits."""
        waiting = self.waiting.get(ticket_id)
        if waiting is None or waiting.grant is not None:
            return False
        previous = waiting.owner
        waiting.owner, waiting.shard = holder, shard
        waiting.holders.add(holder)
        if previous and previous != holder:
            waiting.holders.discard(previous)
            self._cancel(previous, ticket_id)
        return True

    def on_ticket_returned(self, holder: str, ticket_id: str) -> None:
        """Offer a ticket again after `holder` returned it."""
        waiting = self.waiting.get(ticket_id)
        if waiting is not None and waiting.owner == holder:
            waiting.holders.discard(holder)
            waiting.owner = ""
            waiting.event.set()

    def on_change(self) -> None:
        """Offer tickets again whose shard is gone or has another owner."""
        for waiting in list(self.waiting.values()):
            if not waiting.owner:
                continue
            shard = self.placement.shards.get(waiting.shard)
            if shard is None or shard.owner != waiting.owner:
                waiting.owner = ""
                waiting.event.set()

    def on_member(self, member: Member) -> None:
        """Offer tickets again whose owner died, is leaving or restarted without state."""
        if member.state is MemberState.SUSPECT:
            return
        for waiting in list(self.waiting.values()):
            if waiting.owner == member.id:
                waiting.owner = ""
                waiting.event.set()

    def _wait(self, waiting: WaitingRequest) -> GrantedTarget:
        request = waiting.request
        while waiting.grant is None:
            remaining = request.deadline - self.clock.now()
            if remaining <= 0:
                raise RequestRefused(
                    ResultCode.DEADLINE_BEFORE_START,
                    "the deadline passed before a target was free",
                    DEADLINE_RETRY_MS,
                )
            if not waiting.owner:
                waiting.event.clear()
                self._offer_round(waiting)
                remaining = request.deadline - self.clock.now()
            if waiting.grant is not None:
                break
            pause = REPEAT_OFFER_MS if waiting.owner else OFFER_ROUND_PAUSE_MS
            woken = self.clock.wait(waiting.event, max(0, min(remaining, pause)))
            waiting.event.clear()
            if not woken and remaining > pause:
                waiting.owner = ""
        return waiting.grant

    def _offer_round(self, waiting: WaitingRequest) -> None:
        full = 0
        retry_after = 0
        outcomes: set[OfferOutcome | None] = set()
        for shard in self._offer_order(waiting):
            outcome, retry_hint = self._offer(waiting, shard)
            if waiting.grant is not None:
                return
            if outcome is OfferOutcome.QUEUED:
                waiting.owner, waiting.shard = shard.owner, shard.name
                return
            outcomes.add(outcome)
            if outcome is OfferOutcome.QUEUE_FULL:
                full += 1
                retry_after = max(retry_after, retry_hint)
                if full >= MAX_FULL_SHARDS:
                    break
        if full:
            raise RequestRefused(
                ResultCode.QUEUE_FULL, "the workspace's queue is full", max(1, retry_after)
            )
        if outcomes <= {OfferOutcome.NO_TARGET}:
            raise RequestRefused(
                ResultCode.NO_TARGET, "no target can take the request", NO_TARGET_RETRY_MS
            )

    def _offer_order(self, waiting: WaitingRequest) -> list[Shard]:
        """Return the shards to offer to, in order.

        First comes a shard of this router with an acceptable backlog, then the shard with the
        smaller backlog of two random ones, then the others.
        """
        request = waiting.request
        shards = self._usable_shards(
            self.placement.shards_of(request.workspace, request.service, request.version), request
        )
        if not shards:
            names = self.placement.open_shard_names(request.service, request.version)
            shards = self._usable_shards((self.placement.shards[name] for name in names), request)
        order = sorted(shards, key=lambda _: self.rng.random())
        if len(order) > 1 and self._backlog(order[1]) < self._backlog(order[0]):
            order[0], order[1] = order[1], order[0]
        if order:
            best = order[0]
            order.sort(key=lambda shard: not self._is_good_local(shard, best))
        now = self.clock.now()
        order.sort(key=lambda shard: self._silent_until.get(shard.owner, 0) > now)
        # The shard that has the ticket goes first; offering it there again changes nothing.
        order.sort(key=lambda shard: shard.name != waiting.shard)
        return order

    def _is_good_local(self, shard: Shard, best: Shard) -> bool:
        """Return whether `shard` is this router's and its backlog is close to that of `best`."""
        if shard.owner != self.members.me.id:
            return False
        return (
            self._backlog(shard) <= LOCAL_BACKLOG_RATIO * self._backlog(best) + LOCAL_BACKLOG_SLACK
        )

    def _usable_shards(self, shards: Iterable[Shard], request: TicketRequest) -> list[Shard]:
        me = self.members.me.id
        targets = self.placement.table.targets
        return [
            shard
            for shard in shards
            if shard.owner
            and not (shard.owner == me and self.owner_side.draining)
            and any(t in targets and t not in request.avoid for t in shard.targets)
        ]

    def _backlog(self, shard: Shard) -> int:
        if shard.owner == self.members.me.id:
            return self.owner_side.backlog(shard.name)
        backlog, at = self._backlog_hints.get(shard.name, (0, 0))
        return backlog if self.clock.now() - at < BACKLOG_HINT_TTL_MS else 0

    def _offer(self, waiting: WaitingRequest, shard: Shard) -> tuple[OfferOutcome | None, int]:
        """Offer the ticket; return the outcome, None without a reply, and a retry time in ms."""
        ticket = ticket_for_request(waiting.request, self.members.me.id)
        if shard.owner == self.members.me.id:
            return self.owner_side.offer(shard.name, ticket)
        waiting.holders.add(shard.owner)
        reply = self._call_offer(shard, ticket)
        if reply is None:
            return None, 0
        outcome = OfferOutcome(reply.outcome)
        if outcome is not OfferOutcome.QUEUED:
            waiting.holders.discard(shard.owner)
        self._backlog_hints[shard.name] = (reply.queued - reply.free, self.clock.now())
        return outcome, reply.retry_after_ms

    def _call_offer(self, shard: Shard, ticket: QueuedTicket) -> pb.TicketOfferReply | None:
        now = self.clock.now()
        offer = pb.TicketOffer(ticket=encode_ticket(ticket, now), shard=shard.name)
        timeout = min(OFFER_TIMEOUT_MS, max(1, ticket.deadline - now))
        try:
            reply: pb.TicketOfferReply = self.peers.call(
                shard.owner, kinds.TICKET_OFFER, offer, timeout
            )
        except PeerUnavailable:
            self._silent_until[shard.owner] = self.clock.now() + SILENT_OWNER_MS
            return None
        return reply

    def _cancel_everywhere(self, waiting: WaitingRequest) -> None:
        # Always cancel at this router, because a ticket without an owner may still be queued here.
        for holder in waiting.holders | {self.members.me.id}:
            self._cancel(holder, waiting.request.id)

    def _cancel(self, holder: str, ticket_id: str) -> None:
        if holder == self.members.me.id:
            self.owner_side.cancel(ticket_id)
        else:
            self.peers.send(holder, kinds.TICKET_CANCEL, pb.TicketCancel(ticket_id=ticket_id))

    def _deliver_end(self, grant: GrantedTarget, usage: Usage) -> None:
        key = (grant.owner, grant.slot)
        message = encode_usage(grant, usage)
        retry_until = self.clock.now() + END_RETRY_LIMIT_MS
        while self.clock.now() < retry_until:
            try:
                self.peers.call(grant.owner, kinds.SERVICE_USED, message, USAGE_TIMEOUT_MS)
                break
            except PeerUnavailable:
                member = self.members.get(grant.owner)
                if member is None or member.state is MemberState.DEAD:
                    break
                self.clock.sleep(END_RETRY_MS)
        self.grants_in_use.pop(key, None)
        del self._report_counts[key]
        self._delivering_end.discard(key)
