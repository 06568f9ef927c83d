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
from jacinthcove.mesh.ring import select_probe_partners

PROBE_PERIOD_S = 1.0
# In smaller fleets, one probe a second per router too often leaves a dead router unprobed for more
# than a second, and it must be detected within 5 s. They probe up to three times a second.
# Larger fleets probe only the partners on the ring.
FULL_PERIOD_FLEET_SIZE = 24
MIN_PROBE_PERIOD_S = PROBE_PERIOD_S / 3
PROBE_TIMEOUT_MS = 400
INDIRECT_TIMEOUT_MS = 900
INDIRECT_PROBES = 3
EXPIRY_PERIOD_S = 0.1
# While no member is suspect, only dead members can expire, which is not urgent.
IDLE_EXPIRY_PERIOD_S = 1.0
REJOIN_PERIOD_S = 5.0
# Routers that start together may each join only some of the others, so for a time after its start a
# router looks for the rest more often.
SETTLING_MS = 10_000
SETTLING_REJOIN_PERIOD_S = 0.5
JOIN_TIMEOUT_MS = 2_000
JOIN_RETRY_PERIOD_S = 0.5
MAX_JOIN_SEEDS = 3
# Traffic budget for exchanges of whole tables, whatever the size of the fleet.
EXCHANGE_BYTES_PER_S = 500
MIN_EXCHANGE_PERIOD_S = 10.0
RECORD_BYTES = 90
URGENT_FANOUT = 3
# Delay before a router sends changes that it detected itself. Received updates are not urgent: when
# they were, a fleet of 64 members that started together was overloaded.
URGENT_DELAY_S = 0.2
URGENT_INTERVAL_MS = 1_000
# A router that was paused itself sees all its streams as lost and must not probe all members.
MAX_CONCURRENT_LOST_PROBES = 3
LEAVE_FANOUT = 8
LEAVE_TIMEOUT_MS = 500


class ProbePeers(Protocol):
    """The methods of `PeerLinks` that probes need."""

    def call(self, member_id: str, kind: str, message: Any, timeout_ms: int) -> Any:
        """Send a request to a member and return its reply; raises `PeerUnavailable`."""

    def call_address(self, address: str, kind: str, message: Any, timeout_ms: int) -> Any:
        """Send a request to an address and return the reply; raises `PeerUnavailable`."""

    def register(self, kind: str, handler: Handler) -> None:
        """Handle messages of `kind` with `handler`."""

    def on_peer_lost(self, callback: Callable[[str], None]) -> None:
        """Call `callback` when the stream of a member breaks or its heartbeat is late."""


class RevisionExchange(Protocol):
    """The document revisions that probes carry."""

    def revisions(self) -> list[pb.DocumentRevision]:
        """Return the revisions that this router has."""

    def pull_newer(self, member_id: str, revisions: Iterable[pb.DocumentRevision]) -> None:
        """Start pulling documents of which the member has a newer revision; must not block."""


class Prober:
    """Keeps `members` current by probes over `peers`."""

    def __init__(
        self,
        members: Membership,
        peers: ProbePeers,
        seeds: Sequence[str] = (),
        documents: RevisionExchange | None = None,
        rng: random.Random | None = None,
    ):
        self.members = members
        self.peers = peers
        self.seeds = [s for s in seeds if s != members.me.mesh_address]
        self.documents = documents
        self.rng = rng or random.Random()
        self.round: list[str] = []
        self.urgent_send: gevent.Greenlet | None = None
        self.next_urgent_at = 0
        self.running_lost_probes = 0
        self.started_at = members.clock.now()
        self.greenlets: list[gevent.Greenlet] = []
        self.log = structlog.get_logger()
        peers.register(PROBE, self.handle_probe)
        peers.register(PROBE_REQUEST, self.handle_probe_request)
        peers.on_peer_lost(self.probe_lost_member)
        members.subscribe(self._on_state_change)

    def start(self) -> None:
        """Start the background loops; they also contact seeds that are not members yet."""
        self.started_at = self.members.clock.now()
        loops: list[tuple[Callable[[], Any], Callable[[], float]]] = [
            (self.probe_next, self.probe_period_s),
            (self.members.expire, self.expiry_period_s),
            (self.contact_unreachable, self.rejoin_period_s),
            (self.exchange_tables, self.exchange_period_s),
        ]
        self.greenlets = [gevent.spawn(self._repeat, *loop) for loop in loops]

    def close(self) -> None:
        """Stop the background loops without telling other members."""
        gevent.killall([*self.greenlets, *([self.urgent_send] if self.urgent_send else [])])
        self.greenlets = []

    def join(self, timeout_s: float) -> bool:
        """Exchange tables with a seed or listed address; return whether one replied in time.

        Returns True at once if there is no address to join.
        """
        deadline = gevent.get_hub().loop.now() + timeout_s
        while True:
            addresses = self._join_addresses()
            if not addresses:
                return True
            self.rng.shuffle(addresses)
            if any(self.contact(a, JOIN_TIMEOUT_MS) for a in addresses[:MAX_JOIN_SEEDS]):
                return True
            gevent.get_hub().loop.update_now()
            if gevent.get_hub().loop.now() >= deadline:
                return False
            gevent.sleep(JOIN_RETRY_PERIOD_S * self.rng.uniform(0.5, 1.5))

    def leave(self) -> None:
        """Tell several members that this router is leaving, and wait briefly for their replies."""
        self.members.leave()
        others = self.members.others(MemberState.ALIVE)
        chosen = self.rng.sample(others, min(LEAVE_FANOUT, len(others)))
        calls = [gevent.spawn(self._send_probe, m, LEAVE_TIMEOUT_MS) for m in chosen]
        gevent.joinall(calls, timeout=LEAVE_TIMEOUT_MS / 1000)

    def probe_period_s(self) -> float:
        """Return the time between two probes, shorter in a small fleet."""
        fraction = len(self.members.table) / FULL_PERIOD_FLEET_SIZE
        return max(MIN_PROBE_PERIOD_S, min(PROBE_PERIOD_S, PROBE_PERIOD_S * fraction))

    def expiry_period_s(self) -> float:
        """Return the time between checks for members whose state expires."""
        suspects = self.members.others(MemberState.SUSPECT)
        return EXPIRY_PERIOD_S if suspects else IDLE_EXPIRY_PERIOD_S

    def rejoin_period_s(self) -> float:
        """Return the time between two contacts of unknown or dead members, shorter at first."""
        settling = self.members.clock.now() - self.started_at < SETTLING_MS
        return SETTLING_REJOIN_PERIOD_S if settling else REJOIN_PERIOD_S

    def exchange_period_s(self) -> float:
        """Return the time between exchanges of whole tables, longer in a large fleet."""
        size = RECORD_BYTES * len(self.members.table)
        return max(MIN_EXCHANGE_PERIOD_S, 2 * size / EXCHANGE_BYTES_PER_S)

    def probe_next(self) -> None:
        """Start a probe of the next member in random order, without waiting for the result."""
        member = self._next_member()
        if member is not None:
            gevent.spawn(self.probe, member)

    def probe(self, member: Member) -> bool:
        """Probe a member directly, then through others; mark it suspect if nobody reaches it."""
        if self._send_probe(member, PROBE_TIMEOUT_MS) or self._probe_indirectly(member):
            return True
        self.members.mark_suspect(member.id, member.incarnation)
        self._schedule_urgent_updates()
        return False

    def probe_lost_member(self, member_id: str) -> None:
        """Probe at once a member whose stream broke or whose heartbeat is late."""
        member = self.members.get(member_id)
        if member is None or member.state is not MemberState.ALIVE:
            return
        if not self.greenlets or self.running_lost_probes >= MAX_CONCURRENT_LOST_PROBES:
            return
        self.running_lost_probes += 1
        try:
            self.probe(member)
        finally:
            self.running_lost_probes -= 1

    def contact_unreachable(self) -> None:
        """Contact a random dead member, unknown seed or listed address to heal partitions."""
        dead = [m.mesh_address for m in self.members.others(MemberState.DEAD)]
        addresses = dead + self._unknown_seeds() + self.members.unknown_addresses()
        if addresses:
            gevent.spawn(self.contact, self.rng.choice(addresses), JOIN_TIMEOUT_MS)

    def contact(self, address: str, timeout_ms: int) -> bool:
        """Exchange whole tables with the router at `address`; return whether it replied."""
        probe = self._make_probe(None, whole=True)
        try:
            reply = self.peers.call_address(address, PROBE, probe, timeout_ms)
        except PeerUnavailable:
            return False
        self._apply_message(reply, whole=True)
        return True

    def exchange_tables(self) -> None:
        """Exchange whole tables with one random member."""
        others = self.members.reachable()
        if others:
            member = self.rng.choice(others)
            gevent.spawn(self.contact, member.mesh_address, JOIN_TIMEOUT_MS)

    def handle_probe(self, sender: str, probe: pb.Probe) -> pb.ProbeReply:
        """Apply a probe and return the updates and revisions of this router."""
        self._apply_message(probe, whole=probe.whole_table)
        receiver = from_record(probe.sender)
        return pb.ProbeReply(
            sender=to_record(self.members.me),
            updates=self._updates_for(receiver, probe.whole_table),
            revisions=self._revisions(),
        )

    def handle_probe_request(self, sender: str, request: pb.ProbeRequest) -> pb.ProbeRequestReply:
        """Probe a member on behalf of another router that could not reach it."""
        member = self.members.get(request.member_id)
        reached = member is not None and self._send_probe(member, PROBE_TIMEOUT_MS)
        return pb.ProbeRequestReply(reached=reached)

    def _next_member(self) -> Member | None:
        while True:
            if not self.round:
                self.round = self._probe_candidates()
                self.rng.shuffle(self.round)
            if not self.round:
                return None
            member = self.members.get(self.round.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member

    def _probe_candidates(self) -> list[str]:
        ids = [member.id for member in self.members.reachable()]
        if len(ids) <= FULL_PERIOD_FLEET_SIZE:
            return ids
        return select_probe_partners(self.members.me.id, ids)

    def _probe_indirectly(self, member: Member) -> bool:
        helpers = [m for m in self.members.others(MemberState.ALIVE) if m.id != member.id]
        chosen = self.rng.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        calls = [gevent.spawn(self._request_indirect_probe, helper, member) for helper in chosen]
        return any(call.value for call in gevent.iwait(calls))

    def _request_indirect_probe(self, helper: Member, member: Member) -> bool:
        request = pb.ProbeRequest(member_id=member.id)
        try:
            return self.peers.call(helper.id, PROBE_REQUEST, request, INDIRECT_TIMEOUT_MS).reached
        except PeerUnavailable:
            return False

    def _send_probe(self, member: Member, timeout_ms: int) -> bool:
        probe = self._make_probe(member, whole=False)
        try:
            reply = self.peers.call(member.id, PROBE, probe, timeout_ms)
        except PeerUnavailable:
            return False
        self._apply_message(reply, whole=False)
        return True

    def _make_probe(self, receiver: Member | None, whole: bool) -> pb.Probe:
        return pb.Probe(
            sender=to_record(self.members.me),
            updates=self._updates_for(receiver, whole),
            revisions=self._revisions(),
            whole_table=whole,
        )

    def _updates_for(self, receiver: Member | None, whole: bool) -> list[pb.MemberRecord]:
        if whole:
            return self.members.all_records()
        is_suspect = receiver is not None and receiver.state is MemberState.SUSPECT
        receiver_record = [to_record(receiver)] if receiver is not None and is_suspect else []
        return receiver_record + self.members.next_updates(receiver)

    def _apply_message(self, message: pb.Probe | pb.ProbeReply, whole: bool) -> None:
        for record in message.updates:
            self._merge_record(record, whole)
        self._merge_record(message.sender, False)
        if self.documents is not None:
            self.documents.pull_newer(message.sender.id, message.revisions)

    def _merge_record(self, record: pb.MemberRecord, whole: bool) -> None:
        try:
            member = from_record(record)
        except ValueError:
            return
        self.members.merge(member, whole)

    def _revisions(self) -> list[pb.DocumentRevision]:
        return [] if self.documents is None else self.documents.revisions()

    def _join_addresses(self) -> list[str]:
        return list(dict.fromkeys([*self.seeds, *self.members.unknown_addresses()]))

    def _unknown_seeds(self) -> list[str]:
        known = {m.mesh_address for m in self.members.table.values()}
        return [seed for seed in self.seeds if seed not in known]

    def _on_state_change(self, member: Member) -> None:
        if member.id == self.members.me.id:
            self._schedule_urgent_updates()

    def _schedule_urgent_updates(self) -> None:
        """Schedule probes of a few members to send a change soon, unless already scheduled."""
        if not self.greenlets or self.urgent_send:
            return
        wait_ms = self.next_urgent_at - self.members.clock.now()
        self.urgent_send = gevent.spawn_later(
            max(URGENT_DELAY_S, wait_ms / 1000), self._send_urgent_updates
        )

    def _send_urgent_updates(self) -> None:
        # A few members learn of a suspicion at once, so that their timeouts end together.
        self.urgent_send = None
        self.next_urgent_at = self.members.clock.now() + URGENT_INTERVAL_MS
        others = self.members.others(MemberState.ALIVE)
        for member in self.rng.sample(others, min(URGENT_FANOUT, len(others))):
            gevent.spawn(self._send_probe, member, PROBE_TIMEOUT_MS)

    def _repeat(self, step: Callable[[], Any], period_s: Callable[[], float]) -> None:
        while True:
            gevent.sleep(period_s() * self.rng.uniform(0.9, 1.1))
            try:
                step()
            except Exception:
                self.log.exception("probing_step_failed", step=step.__name__)
