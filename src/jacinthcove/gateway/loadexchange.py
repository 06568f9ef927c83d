"""Routers tell each other what they have at the targets and what workspaces asked for.

In small fleets each router tells all others. In large ones, where that would take most of the
processor time, one router of each failure domain collects the reports of its domain and passes them
on together; other domains get their sum. A router that hears nothing from the one that collects
tells the others itself.
"""

from collections.abc import Callable
from typing import Any

import gevent
import structlog

from jacinthcove.clock import Clock
from jacinthcove.gateway.crowding import crowded
from jacinthcove.gateway.load import REPORT_LIFETIME_MS, PeerLoad
from jacinthcove.gateway.loadreports import (
    PERIOD_MS,
    Audience,
    DirectAudience,
    LoadReporter,
)
from jacinthcove.gateway.shares import TICK_MS, ShareLedger
from jacinthcove.gateway.targets import TargetBook
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.kinds import LOAD_BUNDLE, LOAD_SHARE
from jacinthcove.mesh.peers import Members, Peers
from jacinthcove.scheduling import rendezvous

log = structlog.get_logger()

# Larger fleets report less often, so that the messages a second of a router stay constant. Routers
# of the same failure domain share most work and cost no bytes between domains.
NEAR_MESSAGES_PER_S = 140
FAR_MESSAGES_PER_S = 60
# Up to this size every router tells all others.
DIRECT_ROUTERS = 24
BUNDLE_PERIOD_MS = 150
FAR_BUNDLE_PERIOD_MS = 300
# Without a bundle for this long a router tells the others itself.
SILENCE_MS = 600


class LoadExchange:
    """Sends this router's reports and takes those of the others.

    A lost report costs one period. The incarnation of a sender tells its restarts.
    """

    def __init__(
        self,
        clock: Clock,
        members: Members,
        peers: Peers,
        book: TargetBook,
        ledger: ShareLedger,
        on_tick: Callable[[], None],
    ):
        self.clock = clock
        self.members = members
        self.peers = peers
        self.book = book
        self.ledger = ledger
        self.on_tick = on_tick
        self.reporter = LoadReporter(clock, book, ledger)
        self.near = DirectAudience(members, True, NEAR_MESSAGES_PER_S)
        self.far = DirectAudience(members, False, FAR_MESSAGES_PER_S)
        self.collector = Audience()
        self.other_domains = Audience()
        # Time between the reports of other failure domains, which are as old on average.
        self.far_period_ms = float(PERIOD_MS)
        self.known: dict[str, tuple[int, int]] = {}
        # Open requests of other routers and when they were told.
        self.open_by_router: dict[str, tuple[int, int]] = {}
        self.collected: list[pb.SourcedShare] = []
        self.fresh_parts: dict[str, list[str]] = {}
        self.collector_id: str | None = None
        self.heard_at = clock.now()
        self.greenlets: list[Any] = []
        peers.register(LOAD_SHARE, self.on_share)
        peers.register(LOAD_BUNDLE, self.on_bundle)

    def start(self) -> None:
        """Start to report."""
        loops = (self._tell_near, self._tell_far, self._tick)
        self.greenlets = [gevent.spawn(loop) for loop in loops]

    def close(self) -> None:
        """Stop reporting."""
        gevent.killall(self.greenlets)

    def collector_of(self, domain: str) -> str | None:
        """Return the router that collects for a failure domain; None where each tells all."""
        alive = self.members.alive()
        if len(alive) <= DIRECT_ROUTERS:
            return None
        ids = [member.id for member in alive if member.failure_domain == domain]
        return rendezvous.owner(f"load {domain}", ids)

    def collector_in_use(self) -> str | None:
        """Return the router that collects for this one, or None while it is silent."""
        current = self.collector_of(self.members.me.failure_domain)
        now = self.clock.now()
        if current != self.collector_id:
            self.collector_id, self.heard_at = current, now
        if current == self.members.me.id or now - self.heard_at < SILENCE_MS:
            return current
        return None

    def on_share(self, sender: str, message: pb.LoadShare) -> None:
        """Take another router's report, and pass it on if this router collects."""
        self.take(sender, message)
        if self._collects() and self._is_near(sender):
            self._collect(pb.SourcedShare(source=sender, share=message))

    def on_bundle(self, sender: str, bundle: pb.LoadBundle) -> None:
        """Take the reports that another router collected."""
        for item in bundle.shares:
            if item.source != self.members.me.id:
                self.take(item.source, item.share)
        if sender == self.collector_id:
            self.heard_at = self.clock.now()
        elif self._collects() and not self._is_near(sender):
            self.collected += bundle.shares

    def take(self, sender: str, message: pb.LoadShare) -> None:
        """Take a report about `sender`; old ones are dropped."""
        known = self.known.get(sender)
        if known is not None and known[0] != message.incarnation:
            self.ledger.forget(sender)
            for state in self.book.states.values():
                state.load.forget(sender)
        elif known is not None and message.sequence <= known[1]:
            return
        now = self.clock.now()
        self.known[sender] = (message.incarnation, message.sequence)
        self.open_by_router[sender] = (message.open_requests, now)
        for item in message.targets:
            if item.leaving:
                self.book.note_leaving(item.target_id, item.started_at)
            target = self.book.states.get(item.target_id)
            if target is not None:
                report = PeerLoad(item.running, item.memory_tokens, item.unread_tokens, now)
                target.load.on_report(sender, report)
                target.note_parts(item.parts)
        for use in message.workspaces:
            self.ledger.on_report(sender, use.workspace, use.asked_tokens, use.admitted_tokens)

    def open_requests(self) -> dict[str, int]:
        """Return the open requests of the routers with a recent report, and of this one."""
        since = self.clock.now() - REPORT_LIFETIME_MS
        known = {
            router: count
            for router, (count, at) in self.open_by_router.items()
            if at >= since and self.members.get(router) is not None
        }
        return known | {self.members.me.id: self.reporter.open_requests()}

    def crowded(self) -> frozenset[str]:
        """Return the routers that new callers should not come to."""
        return crowded(self.open_requests())

    def bundle(self) -> pb.LoadBundle:
        """Return what was collected for this failure domain, with this router's own report."""
        shares, self.collected = self.collected, []
        own = self.reporter.own(self.collector)
        me = self.members.me.id
        return pb.LoadBundle(shares=[*shares, pb.SourcedShare(source=me, share=own)])

    def domain_bundle(self) -> pb.LoadBundle:
        """Return the sum of this failure domain for the other ones."""
        me = self.members.me
        others = frozenset(member.id for member in self.near.peers())
        parts, self.fresh_parts = self.fresh_parts, {}
        share = self.reporter.domain(self.other_domains, others, parts)
        # The sums of a collector that takes over do not continue those of the one before.
        source = f"{me.failure_domain}@{me.id}"
        return pb.LoadBundle(shares=[pb.SourcedShare(source=source, share=share)])

    def _collects(self) -> bool:
        return self.collector_id is not None and self.collector_id == self.members.me.id

    def _is_near(self, member_id: str) -> bool:
        member = self.members.get(member_id)
        return member is not None and member.failure_domain == self.members.me.failure_domain

    def _collect(self, item: pb.SourcedShare) -> None:
        self.collected.append(item)
        for target in item.share.targets:
            if target.parts:
                self.fresh_parts.setdefault(target.target_id, []).extend(target.parts)

    def _tell_near(self) -> None:
        while True:
            collector = self.collector_in_use()
            period_ms = self.near.period_ms() if collector is None else BUNDLE_PERIOD_MS
            gevent.sleep(period_ms / 1000)
            if collector is None:
                self._tell(self.near)
            elif collector == self.members.me.id:
                self._send_bundle(self.bundle(), [member.id for member in self.near.peers()])
            else:
                self.peers.send(collector, LOAD_SHARE, self.reporter.own(self.collector))

    def _tell_far(self) -> None:
        while True:
            collector = self.collector_in_use()
            if collector is None:
                self.far_period_ms = self.far.period_ms()
            else:
                self.far_period_ms = FAR_BUNDLE_PERIOD_MS
            gevent.sleep(self.far_period_ms / 1000)
            if collector is None:
                self._tell(self.far)
            elif collector == self.members.me.id:
                self._send_bundle(self.domain_bundle(), self._other_collectors())

    def _other_collectors(self) -> list[str]:
        domains = {member.failure_domain for member in self.far.peers()}
        found = (self.collector_of(domain) for domain in sorted(domains))
        return [collector for collector in found if collector is not None]

    def _send_bundle(self, bundle: pb.LoadBundle, receivers: list[str]) -> None:
        for receiver in receivers:
            self.peers.send(receiver, LOAD_BUNDLE, bundle)

    def _tell(self, audience: DirectAudience) -> None:
        peers = audience.peers()
        if not peers:
            return
        message = self.reporter.own(audience)
        for member in peers:
            self.peers.send(member.id, LOAD_SHARE, message)

    def _tick(self) -> None:
        while True:
            gevent.sleep(TICK_MS / 1000)
            self.ledger.tick()
            self.on_tick()
