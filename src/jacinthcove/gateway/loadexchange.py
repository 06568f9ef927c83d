"""Routers tell each other what they have at the targets and what workspaces asked for.

In small fleets each router tells all others. In large ones, where that would take most of the
processor time, one router of each failure domain collects the reports of its domain and passes on
their sum, with the reports that went in, so that each receiver takes its own part out. Routers
without news are silent for a while. A router that hears nothing from those that collect tells the
others itself.
"""

from collections.abc import Callable, Mapping
from typing import Any

import gevent
import structlog

from jacinthcove.clock import Clock
from jacinthcove.gateway.collectors import Collectors
from jacinthcove.gateway.digests import NOTHING, DigestView, KindNewsBoard, NoNews, OwnHistory
from jacinthcove.gateway.load import REPORT_LIFETIME_MS, PeerLoad
from jacinthcove.gateway.loadreports import (
    PERIOD_MS,
    REFRESH_MS,
    Audience,
    DirectAudience,
    LoadReporter,
)
from jacinthcove.gateway.overload import (
    NO_CALLERS,
    RouterCallers,
    callers_from_report,
    may_be_overloaded,
    overloaded,
)
from jacinthcove.gateway.shares import ShareLedger
from jacinthcove.gateway.targets import TargetRegistry
from jacinthcove.gateway.uses import TICK_MS, decode_use
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.kinds import LOAD_BUNDLE, LOAD_SHARE
from jacinthcove.mesh.peers import Members, Peers

log = structlog.get_logger()

# Larger fleets report less often, so that the messages a second of a router stay constant. Routers
# of the same failure domain share most work and cost no bytes between domains.
NEAR_MESSAGES_PER_S = 140
FAR_MESSAGES_PER_S = 60
BUNDLE_PERIOD_MS = 200
FAR_BUNDLE_PERIOD_MS = 300
# Between looks of the other routers whether they collect now.
ROLE_PERIOD_MS = 1_000


class LoadExchange:
    """Sends this router's reports and takes those of the others.

    A lost report costs one period. The incarnation of a sender tells its restarts.
    """

    def __init__(
        self,
        clock: Clock,
        members: Members,
        peers: Peers,
        registry: TargetRegistry,
        ledger: ShareLedger,
        on_tick: Callable[[], None],
    ):
        self.clock = clock
        self.members = members
        self.peers = peers
        self.registry = registry
        self.ledger = ledger
        self.on_tick = on_tick
        self.reporter = LoadReporter(clock, registry, ledger)
        self.near = DirectAudience(members, True, NEAR_MESSAGES_PER_S)
        self.far = DirectAudience(members, False, FAR_MESSAGES_PER_S)
        self.collector = Audience()
        self.other_domains = Audience()
        # Time between the reports of other failure domains, which are as old on average.
        self.far_period_ms = float(PERIOD_MS)
        self.known: dict[str, tuple[int, int]] = {}
        self.callers_by_router: dict[str, RouterCallers] = {}
        # Whose sums count for the other failure domains.
        self.far_sources: dict[str, str] = {}
        # Sums of other failure domains that the next bundle passes on.
        self.collected: list[pb.SourcedShare] = []
        # Reports of this domain since the last bundle, and the parts in them for both audiences.
        self.included: dict[str, pb.IncludedReport] = {}
        self.near_parts: dict[str, list[str]] = {}
        self.far_parts: dict[str, list[str]] = {}
        self.near_audience = Audience()
        self.history = OwnHistory()
        self.digests = DigestView(registry, ledger)
        # Routers whose own reports came last, not those of the collector.
        self.direct: set[str] = set()
        self.told_collector_at = 0
        self.told_callers = NO_CALLERS
        self.news: KindNewsBoard = NoNews()
        # Told of each report that comes in.
        self.on_heard: Callable[[], None] = lambda: None
        self.collectors = Collectors(clock, members)
        # The router that collects for this one, None where this one tells the others itself.
        self.collector_id: str | None = None
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

    def collector_in_use(self) -> str | None:
        """Return the router that collects for this one, or None while those that may are silent."""
        current = self.collectors.in_use(self.members.me.failure_domain)
        if current != self.collector_id:
            log.info("load_collector", router=current, before=self.collector_id)
            self.collector_id = current
            # The new one knows nothing of what the one before was told.
            self.collector = Audience()
            if current == self.members.me.id:
                self.digests.forget()
        return current

    def on_share(self, sender: str, message: pb.LoadShare) -> None:
        """Take another router's report, and pass it on if this router collects."""
        self.on_heard()
        self.take(sender, message)
        self.direct.add(sender)
        if self._collects() and self._is_near(sender):
            self._collect(sender, message)

    def on_bundle(self, sender: str, bundle: pb.LoadBundle) -> None:
        """Take the reports that another router collected."""
        self.on_heard()
        self.collectors.heard(sender)
        for item in bundle.shares:
            self._follow_source(item.source)
            self.take(item.source, item.share)
        if sender == self.collector_in_use() and sender != self.members.me.id:
            if bundle.HasField("digest"):
                self._take_digest(sender, bundle)
        elif self._collects() and not self._is_near(sender):
            self.collected += bundle.shares

    def take(self, sender: str, message: pb.LoadShare) -> None:
        """Take a report about `sender`; old ones are dropped."""
        if not self._is_new(sender, message):
            return
        now = self.clock.now()
        self.callers_by_router[sender] = callers_from_report(message, now)
        self._note_targets(message)
        for item in message.targets:
            target = self.registry.states.get(item.target_id)
            if target is not None:
                report = PeerLoad(item.running, item.memory_tokens, item.unread_tokens, now)
                target.load.on_report(sender, report)
        uses = {use.workspace: decode_use(use) for use in message.workspaces}
        self.ledger.others.take(sender, uses)

    def _is_new(self, source: str, message: pb.LoadShare) -> bool:
        """Return whether a report is newer than what is known of its source."""
        known = self.known.get(source)
        if known is not None and known[0] != message.incarnation:
            self._forget(source)
        elif known is not None and message.sequence <= known[1]:
            return False
        self.known[source] = (message.incarnation, message.sequence)
        return True

    def _note_targets(self, message: pb.LoadShare) -> None:
        for item in message.targets:
            if item.leaving:
                self.registry.mark_leaving(item.target_id, item.started_at)
            target = self.registry.states.get(item.target_id)
            if target is not None:
                target.record_parts(item.parts)

    def _follow_source(self, source: str) -> None:
        """Drop the sums of the router that collected for a failure domain before `source`.

        Both count the same routers, so what one tells does not go on where the other ended.
        """
        domain = source.rpartition("@")[0]
        before = self.far_sources.get(domain)
        if before not in (None, source):
            self._forget(before)
            self.known.pop(before, None)
        self.far_sources[domain] = source

    def _forget(self, source: str) -> None:
        self.direct.discard(source)
        self.ledger.others.forget(source)
        for state in self.registry.states.values():
            state.load.forget(source)

    def _take_digest(self, sender: str, bundle: pb.LoadBundle) -> None:
        """Take the sum of this failure domain from its collector."""
        source = f"{self.members.me.failure_domain}@{sender}"
        if not self._is_new(source, bundle.digest):
            return
        now = self.clock.now()
        own = self.digests.own if source == self.digests.source else NOTHING
        for report in bundle.included:
            self.callers_by_router[report.router] = callers_from_report(report, now)
            if report.router == self.members.me.id:
                own = self.history.find(report.sequence)
            elif report.router in self.direct:
                self._forget(report.router)
        self._note_targets(bundle.digest)
        self.digests.take(source, bundle.digest, own, now)
        if own is not NOTHING:
            self.news.note_news(sender, bundle.news, own.sent_at)

    def open_requests(self) -> dict[str, int]:
        """Return the open requests of the routers with a recent report, and of this one."""
        return self._open_requests(self._recent_callers())

    def _open_requests(self, callers: Mapping[str, RouterCallers]) -> dict[str, int]:
        known = {router: item.open_requests for router, item in callers.items()}
        return known | {self.members.me.id: self.reporter.told_open_requests}

    def away(self) -> frozenset[str]:
        """Return the other routers that said of late that they take no callers."""
        return frozenset(router for router, item in self._recent_callers().items() if item.away)

    def _recent_callers(self) -> dict[str, RouterCallers]:
        since = self.clock.now() - REPORT_LIFETIME_MS
        return {
            router: item
            for router, item in self.callers_by_router.items()
            if item.reported_at >= since and self.members.get(router) is not None
        }

    def overloaded(self) -> frozenset[str]:
        """Return the routers that have more callers than they can carry."""
        callers = self._recent_callers()
        late = {router for router, item in callers.items() if item.late}
        if self.reporter.is_late():
            late.add(self.members.me.id)
        return overloaded(self._open_requests(callers), late)

    def is_crowded(self) -> bool:
        """Return whether this router has more callers than it can carry; asked for each answer."""
        me = self.members.me.id
        told = self.callers_by_router.get(me, NO_CALLERS)
        if not may_be_overloaded(
            self.reporter.told_open_requests, self.reporter.is_late() or told.late
        ):
            return False
        return me in self.overloaded()

    def bundle(self) -> pb.LoadBundle:
        """Return the sum of this failure domain and those of the others that came in."""
        shares, self.collected = self.collected, []
        included, self.included = self.included, {}
        parts, self.near_parts = self.near_parts, {}
        digest = self.reporter.domain(self.near_audience, self._near_ids(), parts)
        me = pb.IncludedReport(
            router=self.members.me.id,
            open_requests=digest.open_requests,
            away=digest.away,
            late=digest.late,
        )
        return pb.LoadBundle(
            shares=shares,
            digest=digest,
            included=[*included.values(), me],
            news=self.news.kind_news(),
        )

    def domain_bundle(self) -> pb.LoadBundle:
        """Return the sum of this failure domain for the other ones."""
        me = self.members.me
        parts, self.far_parts = self.far_parts, {}
        share = self.reporter.domain(self.other_domains, self._near_ids(), parts)
        # The sums of a collector that takes over do not continue those of the one before.
        source = f"{me.failure_domain}@{me.id}"
        return pb.LoadBundle(shares=[pb.SourcedShare(source=source, share=share)])

    def _collects(self) -> bool:
        return self.collector_id is not None and self.collector_id == self.members.me.id

    def _is_near(self, member_id: str) -> bool:
        member = self.members.get(member_id)
        return member is not None and member.failure_domain == self.members.me.failure_domain

    def _near_ids(self) -> frozenset[str]:
        return frozenset(member.id for member in self.near.peers())

    def _collect(self, sender: str, share: pb.LoadShare) -> None:
        self.included[sender] = pb.IncludedReport(
            router=sender,
            sequence=share.sequence,
            open_requests=share.open_requests,
            away=share.away,
            late=share.late,
        )
        for target in share.targets:
            if target.parts:
                self.near_parts.setdefault(target.target_id, []).extend(target.parts)
                self.far_parts.setdefault(target.target_id, []).extend(target.parts)

    def report(self) -> pb.LoadShare | None:
        """Return the report to the collector; None if there is nothing new to tell yet."""
        share = self.reporter.own(self.collector)
        now = self.clock.now()
        callers = callers_from_report(share, NO_CALLERS.reported_at)
        same = callers == self.told_callers
        recent = now - self.told_collector_at < REFRESH_MS
        if same and recent and not share.targets and not share.workspaces:
            return None
        self.told_callers, self.told_collector_at = callers, now
        self.history.add(self.reporter.own_part())
        return share

    def tell_near(self) -> None:
        """Tell the routers of this failure domain, or the one that collects there."""
        collector = self.collector_in_use()
        if collector is None:
            self._tell(self.near)
        elif collector == self.members.me.id:
            self._send_bundle(self.bundle(), sorted(self._near_ids()))
        elif (share := self.report()) is not None:
            self.peers.send(collector, LOAD_SHARE, share)

    def tell_far(self) -> None:
        """Tell the routers of other failure domains, or those that collect there."""
        collector = self.collector_in_use()
        if collector is None:
            self._tell(self.far)
        elif collector == self.members.me.id:
            self._send_bundle(self.domain_bundle(), self._other_collectors())

    def _tell_near(self) -> None:
        while True:
            direct = self.collector_in_use() is None
            gevent.sleep((self.near.period_ms() if direct else BUNDLE_PERIOD_MS) / 1000)
            self.tell_near()

    def _tell_far(self) -> None:
        while True:
            collector = self.collector_in_use()
            if collector is None:
                self.far_period_ms = self.far.period_ms()
            else:
                self.far_period_ms = FAR_BUNDLE_PERIOD_MS
            others_turn = collector is not None and collector != self.members.me.id
            gevent.sleep((ROLE_PERIOD_MS if others_turn else self.far_period_ms) / 1000)
            self.tell_far()

    def _other_collectors(self) -> list[str]:
        """Return the routers that collect elsewhere; of a silent domain all that may."""
        found = []
        for domain in sorted({member.failure_domain for member in self.far.peers()}):
            current = self.collectors.in_use(domain)
            found += [current] if current is not None else self.collectors.ranked(domain)
        return found

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
            self.collectors.forget_others()
            self.on_tick()
