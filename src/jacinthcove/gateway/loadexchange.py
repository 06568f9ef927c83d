"""Exchanges load reports between routers: their requests at the targets and workspace token usage.

In small fleets each router reports to all others. In large ones, where that would take most of the
CPU time, a collector in each failure domain sums the reports of its domain to a digest, and sends
it in a bundle with the digests of other domains. The bundle lists the reports that went in, so that
each receiver can subtract its own. Routers without changes skip reports for a while. A router whose
collector candidates are all silent reports to the others directly.
"""

from collections.abc import Callable
from typing import Any

import gevent
import structlog

from jacinthcove.background import run_step
from jacinthcove.clock import Clock
from jacinthcove.coldstart.coldtimes import ColdStatement
from jacinthcove.gateway.callercounts import NO_CALLERS, CallerCounts, callers_from_report
from jacinthcove.gateway.collectors import Collectors
from jacinthcove.gateway.digests import (
    NO_CONTRIBUTION,
    ContributionHistory,
    DigestTotals,
    NoStoreNews,
    StoreNewsRelay,
)
from jacinthcove.gateway.load import PeerLoad
from jacinthcove.gateway.loadreports import (
    PERIOD_MS,
    REFRESH_MS,
    CollectorGroup,
    DirectReceivers,
    LoadReporter,
    ReceiverGroup,
)
from jacinthcove.gateway.shares import ShareLedger
from jacinthcove.gateway.targets import TargetRegistry
from jacinthcove.gateway.workspaceusage import TICK_MS, decode_usage
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.kinds import LOAD_BUNDLE, LOAD_SHARE
from jacinthcove.mesh.peers import Members, Peers

log = structlog.get_logger()

# Larger fleets report less often, which bounds the messages per second of a router. The bound is
# higher within a failure domain: its routers share most work, and traffic there is not charged.
SAME_DOMAIN_MESSAGES_PER_S = 140
CROSS_DOMAIN_MESSAGES_PER_S = 60
BUNDLE_PERIOD_MS = 200
CROSS_DOMAIN_BUNDLE_PERIOD_MS = 300
# How often the other routers check whether they have become the collector.
ROLE_CHECK_PERIOD_MS = 1_000


class LoadExchange:
    """Sends this router's load reports and applies those of the other routers.

    Receivers of a lost report are one period behind. A new incarnation means a restarted sender.
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
        self.same_domain = DirectReceivers(members, True, SAME_DOMAIN_MESSAGES_PER_S)
        self.cross_domain = DirectReceivers(members, False, CROSS_DOMAIN_MESSAGES_PER_S)
        # What was last sent to the collector, and to other domains while this router collects.
        self.collector_group = CollectorGroup()
        self.others_group = ReceiverGroup()
        # Period of the reports between failure domains, and so their usual age.
        self.cross_domain_period_ms = float(PERIOD_MS)
        # Incarnation and sequence number of the newest report by source.
        self.last_received: dict[str, tuple[int, int]] = {}
        self.callers = CallerCounts(clock, members, self.reporter)
        # The source whose sums are used, by other failure domain.
        self.source_by_domain: dict[str, str] = {}
        # Sums of other failure domains to forward with the next bundle.
        self.cross_domain_sums: list[pb.SourcedShare] = []
        # Reports of this domain since the last bundle, and the prompt parts in them, which are sent
        # to the same domain and to the others at different times.
        self.included: dict[str, pb.IncludedReport] = {}
        self.same_domain_parts: dict[str, list[str]] = {}
        self.cross_domain_parts: dict[str, list[str]] = {}
        self.domain_group = ReceiverGroup()
        self.history = ContributionHistory()
        self.digest_totals = DigestTotals(registry, ledger)
        # Routers whose load is known from their own reports, not from the collector's digest.
        self.direct_reporters: set[str] = set()
        self.last_report_at = 0
        self.reported_callers = NO_CALLERS
        self.news: StoreNewsRelay = NoStoreNews()
        # Called for each report or bundle that arrives.
        self.on_report_received: Callable[[], None] = lambda: None
        self.collectors = Collectors(clock, members)
        # The collector of this router's domain, None where this router reports to all others.
        self.collector_id: str | None = None
        self.greenlets: list[Any] = []
        peers.register(LOAD_SHARE, self.on_share)
        peers.register(LOAD_BUNDLE, self.on_bundle)

    def start(self) -> None:
        """Start the greenlets that send reports and recompute the fair shares."""
        loops = (self._send_same_domain_loop, self._send_cross_domain_loop, self._tick)
        self.greenlets = [gevent.spawn(loop) for loop in loops]

    def close(self) -> None:
        """Stop the greenlets without a last report."""
        gevent.killall(self.greenlets)

    def collector_in_use(self) -> str | None:
        """Return the collector of this router's domain, or None to report to all others directly.

        Resets what was sent to the collector when it has changed.
        """
        current = self.collectors.current(self.members.me.failure_domain)
        if current != self.collector_id:
            log.info("load_collector", router=current, before=self.collector_id)
            self.collector_id = current
            # The new collector does not have the reports that went to the previous one.
            self.collector_group = CollectorGroup()
            if current == self.members.me.id:
                self.digest_totals.clear()
        return current

    def on_share(self, sender: str, message: pb.LoadShare) -> None:
        """Apply another router's report; the collector also adds it to its next bundles."""
        self.registry.last_word.record(self.clock.boot())
        self.on_report_received()
        self.take(sender, message)
        self.direct_reporters.add(sender)
        if self._collects() and self._is_same_domain(sender):
            self._collect(sender, message)

    def on_bundle(self, sender: str, bundle: pb.LoadBundle) -> None:
        """Apply a bundle from a collector, of this or another failure domain."""
        self.registry.last_word.record(self.clock.boot())
        self.on_report_received()
        self.collectors.record_bundle(sender)
        for item in bundle.shares:
            self._switch_source(item.source)
            self.take(item.source, item.share)
        if sender == self.collector_in_use() and sender != self.members.me.id:
            if bundle.HasField("digest"):
                self._apply_digest(sender, bundle)
        elif self._collects() and not self._is_same_domain(sender):
            self.cross_domain_sums += bundle.shares

    def take(self, sender: str, message: pb.LoadShare) -> None:
        """Apply a report about `sender` unless it is older than the last one."""
        if not self._record_sequence(sender, message):
            return
        now = self.clock.now()
        self.callers.record(sender, message)
        self._record_targets(message)
        for item in message.targets:
            target = self.registry.states.get(item.target_id)
            if target is not None:
                report = PeerLoad(item.running, item.memory_tokens, item.unread_tokens, now)
                target.load.on_report(sender, report)
        usage = {item.workspace: decode_usage(item) for item in message.workspaces}
        self.ledger.others.update(sender, usage)

    def _record_sequence(self, source: str, message: pb.LoadShare) -> bool:
        """Record a report, or return False if outdated; drops the load of a restarted source."""
        previous = self.last_received.get(source)
        if previous is not None and previous[0] != message.incarnation:
            self._drop_load(source)
        elif previous is not None and message.sequence <= previous[1]:
            return False
        self.last_received[source] = (message.incarnation, message.sequence)
        return True

    def _record_targets(self, message: pb.LoadShare) -> None:
        for item in message.targets:
            if item.leaving:
                self.registry.mark_leaving(item.target_id, item.started_at)
            if item.HasField("limit"):
                per_s = None if item.limit.lifted else item.limit.per_s
                self.registry.stated_limits.record_report(
                    item.target_id, item.started_at, per_s, item.limit.age_ms
                )
            if item.HasField("cold"):
                said = ColdStatement(item.started_at, item.cold.revision, item.cold.said_ms)
                self.registry.record_cold_report(item.target_id, said, item.cold.left_ms)
            target = self.registry.states.get(item.target_id)
            if target is not None:
                target.record_parts(item.parts)

    def _switch_source(self, source: str) -> None:
        """Make `source` the collector in use for its failure domain, and drop the previous one.

        Both sum up the same routers, so their sums must not be added, and the changes that one
        reports are not relative to the reports of the other.
        """
        domain = source.rpartition("@")[0]
        previous = self.source_by_domain.get(domain)
        if previous not in (None, source):
            self._drop_load(previous)
            self.last_received.pop(previous, None)
        self.source_by_domain[domain] = source

    def _drop_load(self, source: str) -> None:
        self.direct_reporters.discard(source)
        self.ledger.others.forget(source)
        for state in self.registry.states.values():
            state.load.forget(source)

    def _apply_digest(self, sender: str, bundle: pb.LoadBundle) -> None:
        """Apply the sum of this failure domain that its collector sent."""
        source = f"{self.members.me.failure_domain}@{sender}"
        if not self._record_sequence(source, bundle.digest):
            return
        now = self.clock.now()
        own = self.digest_totals.own if source == self.digest_totals.source else NO_CONTRIBUTION
        for report in bundle.included:
            self.callers.record(report.router, report)
            if report.router == self.members.me.id:
                own = self.history.find(report.sequence)
            elif report.router in self.direct_reporters:
                self._drop_load(report.router)
        self._record_targets(bundle.digest)
        self.digest_totals.apply(source, bundle.digest, own, now)
        if own is not NO_CONTRIBUTION:
            self.news.record_news(sender, bundle.news, own.sent_at)

    def same_domain_bundle(self) -> pb.LoadBundle:
        """Return the bundle for this failure domain: its own sum and those of other domains."""
        shares, self.cross_domain_sums = self.cross_domain_sums, []
        included, self.included = self.included, {}
        parts, self.same_domain_parts = self.same_domain_parts, {}
        digest = self.reporter.domain_report(self.domain_group, self._same_domain_ids(), parts)
        me = pb.IncludedReport(
            router=self.members.me.id,
            open_requests=digest.open_requests,
            away=digest.away,
            late=digest.late,
            full=digest.full,
            configuration=digest.configuration,
        )
        return pb.LoadBundle(
            shares=shares,
            digest=digest,
            included=[*included.values(), me],
            news=self.news.kind_news(),
        )

    def cross_domain_bundle(self) -> pb.LoadBundle:
        """Return the bundle for other failure domains: the sum of this one."""
        me = self.members.me
        parts, self.cross_domain_parts = self.cross_domain_parts, {}
        share = self.reporter.domain_report(self.others_group, self._same_domain_ids(), parts)
        # The source names the collector too: the sums of a new one do not continue the previous's.
        source = f"{me.failure_domain}@{me.id}"
        return pb.LoadBundle(shares=[pb.SourcedShare(source=source, share=share)])

    def _collects(self) -> bool:
        return self.collector_id is not None and self.collector_id == self.members.me.id

    def _is_same_domain(self, member_id: str) -> bool:
        member = self.members.get(member_id)
        return member is not None and member.failure_domain == self.members.me.failure_domain

    def _same_domain_ids(self) -> frozenset[str]:
        return frozenset(member.id for member in self.same_domain.peers())

    def _collect(self, sender: str, share: pb.LoadShare) -> None:
        self.included[sender] = pb.IncludedReport(
            router=sender,
            sequence=share.sequence,
            open_requests=share.open_requests,
            away=share.away,
            late=share.late,
            full=share.full,
            configuration=share.configuration,
        )
        for target in share.targets:
            if target.parts:
                self.same_domain_parts.setdefault(target.target_id, []).extend(target.parts)
                self.cross_domain_parts.setdefault(target.target_id, []).extend(target.parts)

    def report_to_collector(self) -> pb.LoadShare | None:
        """Return the report to the collector; None if nothing changed and no refresh is due."""
        share = self.reporter.report(self.collector_group)
        now = self.clock.now()
        callers = callers_from_report(share, NO_CALLERS.reported_at)
        same = callers == self.reported_callers
        recent = now - self.last_report_at < REFRESH_MS
        if same and recent and not share.targets and not share.workspaces:
            return None
        self.reported_callers, self.last_report_at = callers, now
        self.history.add(self.reporter.own_contribution())
        return share

    def send_same_domain(self) -> None:
        """Send a report to the routers of this failure domain, or to its collector."""
        collector = self.collector_in_use()
        if collector is None:
            self._send_report(self.same_domain)
        elif collector == self.members.me.id:
            self._send_bundle(self.same_domain_bundle(), sorted(self._same_domain_ids()))
        elif (share := self.report_to_collector()) is not None:
            self.peers.send(collector, LOAD_SHARE, share)

    def send_cross_domain(self) -> None:
        """Send to the other failure domains, unless another router collects for this one."""
        collector = self.collector_in_use()
        if collector is None:
            self._send_report(self.cross_domain)
        elif collector == self.members.me.id:
            self._send_bundle(self.cross_domain_bundle(), self._other_collectors())

    def _send_same_domain_loop(self) -> None:
        while True:
            direct = self.collector_in_use() is None
            gevent.sleep((self.same_domain.period_ms() if direct else BUNDLE_PERIOD_MS) / 1000)
            run_step(self.send_same_domain)

    def _send_cross_domain_loop(self) -> None:
        while True:
            collector = self.collector_in_use()
            if collector is None:
                self.cross_domain_period_ms = self.cross_domain.period_ms()
            else:
                self.cross_domain_period_ms = CROSS_DOMAIN_BUNDLE_PERIOD_MS
            other_collects = collector is not None and collector != self.members.me.id
            gevent.sleep(
                (ROLE_CHECK_PERIOD_MS if other_collects else self.cross_domain_period_ms) / 1000
            )
            run_step(self.send_cross_domain)

    def _other_collectors(self) -> list[str]:
        """Return the collectors of other domains; all candidates of a domain if all are silent."""
        found = []
        for domain in sorted({member.failure_domain for member in self.cross_domain.peers()}):
            current = self.collectors.current(domain)
            found += [current] if current is not None else self.collectors.ranked_candidates(domain)
        return found

    def _send_bundle(self, bundle: pb.LoadBundle, receivers: list[str]) -> None:
        for receiver in receivers:
            self.peers.send(receiver, LOAD_BUNDLE, bundle)

    def _send_report(self, group: DirectReceivers) -> None:
        peers = group.peers()
        if not peers:
            return
        message = self.reporter.report(group)
        for member in peers:
            self.peers.send(member.id, LOAD_SHARE, message)

    def _tick(self) -> None:
        while True:
            gevent.sleep(TICK_MS / 1000)
            for step in (self.ledger.tick, self.collectors.drop_departed, self.on_tick):
                run_step(step)
