"""SWIM failure detection: probes, suspicion, piggybacked updates and rejoining."""

import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Protocol

import gevent
import structlog

from jacinthcove.errors import PeerUnavailable
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.kinds import PROBE, PROBE_REQUEST
from jacinthcove.mesh.members import Membership, from_record, to_record
from jacinthcove.mesh.peers import Handler, Member, MemberState
from jacinthcove.mesh.ring import partners

PROBE_PERIOD_S = 1.0
# Below this size one probe a second per router leaves a dead one unprobed for more than a second
# too often to find it within 5 s, so smaller fleets probe up to three times a second.
FULL_PERIOD_MEMBERS = 24
SHORTEST_PERIOD_S = PROBE_PERIOD_S / 3
PROBE_TIMEOUT_MS = 400
INDIRECT_TIMEOUT_MS = 900
INDIRECT_PROBES = 3
EXPIRY_PERIOD_S = 0.1
# Without a suspect there is nothing to expire soon.
CALM_EXPIRY_PERIOD_S = 1.0
REJOIN_PERIOD_S = 5.0
JOIN_TIMEOUT_MS = 2_000
JOIN_ATTEMPT_PERIOD_S = 0.5
MAX_JOIN_SEEDS = 3
# Whole tables are exchanged at a rate that costs this much whatever the size of the fleet.
EXCHANGE_BYTES_PER_S = 500
MIN_EXCHANGE_PERIOD_S = 10.0
RECORD_BYTES = 90
URGENT_PROBES = 3
# Only what a router finds itself is urgent, after this time; urgent probes for every update
# overloaded a fleet of 64 members that started together.
URGENT_PERIOD_S = 0.2
URGENT_PAUSE_MS = 1_000
# All streams look lost to a router that was paused itself.
MAX_LOST_PROBES = 3
LEAVE_PROBES = 8
LEAVE_TIMEOUT_MS = 500


class ProbePeers(Protocol):
    """The part of `PeerLinks` that probing uses."""

    def call(self, member_id: str, kind: str, message: Any, timeout_ms: int) -> Any:
        """Call a member; raises `PeerUnavailable`."""

    def call_address(self, address: str, kind: str, message: Any, timeout_ms: int) -> Any:
        """Call an address; raises `PeerUnavailable`."""

    def register(self, kind: str, handler: Handler) -> None:
        """Register a handler."""

    def on_lost(self, callback: Callable[[str], None]) -> None:
        """Call `callback` with each member whose stream broke or is late."""


class Revisions(Protocol):
    """The document revisions that travel on probes."""

    def revisions(self) -> list[pb.DocumentRevision]:
        """Return the revisions held here."""

    def compare(self, member_id: str, revisions: Iterable[pb.DocumentRevision]) -> None:
        """Pull what the member holds newer; must not block."""


class Probing:
    """Keeps `members` current by probing over `peers`."""

    def __init__(
        self,
        members: Membership,
        peers: ProbePeers,
        seeds: Sequence[str] = (),
        documents: Revisions | None = None,
        rng: random.Random | None = None,
    ):
        self.members = members
        self.peers = peers
        self.seeds = [s for s in seeds if s != members.me.mesh_address]
        self.documents = documents
        self.rng = rng or random.Random()
        self.round: list[str] = []
        self.flushing: gevent.Greenlet | None = None
        self.next_urgent_ms = 0
        self.lost_probes = 0
        self.greenlets: list[gevent.Greenlet] = []
        self.log = structlog.get_logger()
        peers.register(PROBE, self.answer_probe)
        peers.register(PROBE_REQUEST, self.answer_probe_request)
        peers.on_lost(self.probe_lost)
        members.subscribe(self._on_change)

    def start(self) -> None:
        """Start the probing loops; they find the seeds by themselves."""
        loops: list[tuple[Callable[[], Any], Callable[[], float]]] = [
            (self.probe_next, self.period_s),
            (self.members.expire, self.expiry_period_s),
            (self.contact_unreachable, lambda: REJOIN_PERIOD_S),
            (self.exchange_tables, self.exchange_period_s),
        ]
        self.greenlets = [gevent.spawn(self._repeat, *loop) for loop in loops]

    def close(self) -> None:
        """Stop probing without announcing anything."""
        gevent.killall([*self.greenlets, *([self.flushing] if self.flushing else [])])
        self.greenlets = []

    def join(self, timeout_s: float) -> bool:
        """Fetch the table from a seed; returns whether one answered within `timeout_s`.

        Without seeds there is nobody to join, and the result is True.
        """
        deadline = gevent.get_hub().loop.now() + timeout_s
        while True:
            addresses = self._seed_addresses()
            if not addresses:
                return True
            self.rng.shuffle(addresses)
            if any(self.contact(a, JOIN_TIMEOUT_MS) for a in addresses[:MAX_JOIN_SEEDS]):
                return True
            gevent.get_hub().loop.update_now()
            if gevent.get_hub().loop.now() >= deadline:
                return False
            gevent.sleep(JOIN_ATTEMPT_PERIOD_S * self.rng.uniform(0.5, 1.5))

    def leave(self) -> None:
        """Announce to several members at once that this router leaves, and wait briefly."""
        self.members.leave()
        others = self.members.others(MemberState.ALIVE)
        chosen = self.rng.sample(others, min(LEAVE_PROBES, len(others)))
        calls = [gevent.spawn(self._exchange, m, LEAVE_TIMEOUT_MS) for m in chosen]
        gevent.joinall(calls, timeout=LEAVE_TIMEOUT_MS / 1000)

    def period_s(self) -> float:
        """Return the time between probes of this router."""
        share = len(self.members.table) / FULL_PERIOD_MEMBERS
        return max(SHORTEST_PERIOD_S, min(PROBE_PERIOD_S, PROBE_PERIOD_S * share))

    def expiry_period_s(self) -> float:
        """Return the time between looks for suspects whose time is over."""
        suspects = self.members.others(MemberState.SUSPECT)
        return EXPIRY_PERIOD_S if suspects else CALM_EXPIRY_PERIOD_S

    def exchange_period_s(self) -> float:
        """Return the time between exchanges of whole tables."""
        size = RECORD_BYTES * len(self.members.table)
        return max(MIN_EXCHANGE_PERIOD_S, 2 * size / EXCHANGE_BYTES_PER_S)

    def probe_next(self) -> None:
        """Probe the next member of a random round without waiting for the result."""
        member = self._next_member()
        if member is not None:
            gevent.spawn(self.probe, member)

    def probe(self, member: Member) -> bool:
        """Probe a member directly, then through others; suspect it when nobody reaches it."""
        if self._exchange(member, PROBE_TIMEOUT_MS) or self._probe_indirectly(member):
            return True
        self.members.suspect(member.id, member.incarnation)
        self._be_urgent()
        return False

    def probe_lost(self, member_id: str) -> None:
        """Probe a member at once whose stream broke or whose heartbeat is late."""
        member = self.members.get(member_id)
        if member is None or member.state is not MemberState.ALIVE:
            return
        if not self.greenlets or self.lost_probes >= MAX_LOST_PROBES:
            return
        self.lost_probes += 1
        try:
            self.probe(member)
        finally:
            self.lost_probes -= 1

    def contact_unreachable(self) -> None:
        """Try one dead member, seed or listed address, so that partitions heal by themselves."""
        dead = [m.mesh_address for m in self.members.others(MemberState.DEAD)]
        addresses = dead + self._unknown_seeds() + self.members.unknown_addresses()
        if addresses:
            gevent.spawn(self.contact, self.rng.choice(addresses), JOIN_TIMEOUT_MS)

    def contact(self, address: str, timeout_ms: int) -> bool:
        """Exchange whole tables with whoever listens at `address`; returns whether it answered."""
        probe = self._probe_message(None, whole=True)
        try:
            reply = self.peers.call_address(address, PROBE, probe, timeout_ms)
        except PeerUnavailable:
            return False
        self._take(reply, whole=True)
        return True

    def exchange_tables(self) -> None:
        """Exchange whole tables with one random member."""
        others = self.members.reachable()
        if others:
            member = self.rng.choice(others)
            gevent.spawn(self.contact, member.mesh_address, JOIN_TIMEOUT_MS)

    def answer_probe(self, sender: str, probe: pb.Probe) -> pb.ProbeReply:
        """Handle a probe."""
        self._take(probe, whole=probe.whole_table)
        receiver = from_record(probe.sender)
        return pb.ProbeReply(
            sender=to_record(self.members.me),
            updates=self._updates(receiver, probe.whole_table),
            revisions=self._revisions(),
        )

    def answer_probe_request(self, sender: str, request: pb.ProbeRequest) -> pb.ProbeRequestReply:
        """Probe a member on behalf of another."""
        member = self.members.get(request.member_id)
        reached = member is not None and self._exchange(member, PROBE_TIMEOUT_MS)
        return pb.ProbeRequestReply(reached=reached)

    def _next_member(self) -> Member | None:
        while True:
            if not self.round:
                self.round = self._partners()
                self.rng.shuffle(self.round)
            if not self.round:
                return None
            member = self.members.get(self.round.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member

    def _partners(self) -> list[str]:
        ids = [member.id for member in self.members.reachable()]
        if len(ids) <= FULL_PERIOD_MEMBERS:
            return ids
        return partners(self.members.me.id, ids)

    def _probe_indirectly(self, member: Member) -> bool:
        helpers = [m for m in self.members.others(MemberState.ALIVE) if m.id != member.id]
        chosen = self.rng.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        calls = [gevent.spawn(self._request_probe, helper, member) for helper in chosen]
        return any(call.value for call in gevent.iwait(calls))

    def _request_probe(self, helper: Member, member: Member) -> bool:
        request = pb.ProbeRequest(member_id=member.id)
        try:
            return self.peers.call(helper.id, PROBE_REQUEST, request, INDIRECT_TIMEOUT_MS).reached
        except PeerUnavailable:
            return False

    def _exchange(self, member: Member, timeout_ms: int) -> bool:
        probe = self._probe_message(member, whole=False)
        try:
            reply = self.peers.call(member.id, PROBE, probe, timeout_ms)
        except PeerUnavailable:
            return False
        self._take(reply, whole=False)
        return True

    def _probe_message(self, receiver: Member | None, whole: bool) -> pb.Probe:
        return pb.Probe(
            sender=to_record(self.members.me),
            updates=self._updates(receiver, whole),
            revisions=self._revisions(),
            whole_table=whole,
        )

    def _updates(self, receiver: Member | None, whole: bool) -> list[pb.MemberRecord]:
        if whole:
            return self.members.all_records()
        suspected = receiver is not None and receiver.state is MemberState.SUSPECT
        first = [to_record(receiver)] if receiver is not None and suspected else []
        return first + self.members.take_updates(receiver)

    def _take(self, message: pb.Probe | pb.ProbeReply, whole: bool) -> None:
        for record in message.updates:
            self._merge(record, whole)
        self._merge(message.sender, False)
        if self.documents is not None:
            self.documents.compare(message.sender.id, message.revisions)

    def _merge(self, record: pb.MemberRecord, whole: bool) -> None:
        try:
            member = from_record(record)
        except ValueError:
            return
        self.members.merge(member, whole)

    def _revisions(self) -> list[pb.DocumentRevision]:
        return [] if self.documents is None else self.documents.revisions()

    def _seed_addresses(self) -> list[str]:
        return list(dict.fromkeys([*self.seeds, *self.members.unknown_addresses()]))

    def _unknown_seeds(self) -> list[str]:
        known = {m.mesh_address for m in self.members.table.values()}
        return [seed for seed in self.seeds if seed not in known]

    def _on_change(self, member: Member) -> None:
        if member.id == self.members.me.id:
            self._be_urgent()

    def _be_urgent(self) -> None:
        """Tell a few members soon, unless that is about to happen."""
        if not self.greenlets or self.flushing:
            return
        wait_ms = self.next_urgent_ms - self.members.clock.now()
        self.flushing = gevent.spawn_later(max(URGENT_PERIOD_S, wait_ms / 1000), self._flush_urgent)

    def _flush_urgent(self) -> None:
        # A change reaches a few members at once, so that their suspicion times run together.
        self.flushing = None
        self.next_urgent_ms = self.members.clock.now() + URGENT_PAUSE_MS
        others = self.members.others(MemberState.ALIVE)
        for member in self.rng.sample(others, min(URGENT_PROBES, len(others))):
            gevent.spawn(self._exchange, member, PROBE_TIMEOUT_MS)

    def _repeat(self, step: Callable[[], Any], period_s: Callable[[], float]) -> None:
        while True:
            gevent.sleep(period_s() * self.rng.uniform(0.9, 1.1))
            try:
                step()
            except Exception:
                self.log.exception("probing_step_failed", step=step.__name__)
