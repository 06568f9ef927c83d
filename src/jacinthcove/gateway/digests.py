"""Applies the digest of a failure domain at one of its routers.

A digest is the sum of the load reports of the domain. Each router subtracts its own contribution,
so that its own requests are not counted twice. With digests, the work of a receiver grows with the
number of targets whose load changed, not with the number of routers.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from jacinthcove.gateway.load import PeerLoad
from jacinthcove.gateway.shares import ShareLedger
from jacinthcove.gateway.targets import TargetRegistry
from jacinthcove.gateway.workspaceusage import UsageByWorkspace, add_usage, decode_usage
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.peers import Peers

# Covers the reports that are in transit to the collector or on their way back in a digest.
MAX_CONTRIBUTIONS = 16


class StoreNewsRelay(Protocol):
    """Source and receiver of the store news that bundles carry beside the load."""

    def kind_news(self) -> Iterable[pb.KindNews]:
        """Return the newest store revisions that this router knows from watching the store."""

    def record_news(self, router: str, news: Iterable[pb.KindNews], asked_at: int) -> None:
        """Record what `router` knew at boot ms `asked_at` or later."""

    def serve(self, peers: Peers) -> None:
        """Reply to other routers, before this one has joined them."""

    def record_start(self, is_first: bool, known_routers: int) -> None:
        """Record how this router starts: for the first time or not, and who is known."""


class NoStoreNews:
    """Used where routers do not watch the store for each other; sends and records nothing."""

    def kind_news(self) -> Iterable[pb.KindNews]:
        """Return no news."""
        return ()

    def record_news(self, router: str, news: Iterable[pb.KindNews], asked_at: int) -> None:
        """Ignore `news`."""

    def serve(self, peers: Peers) -> None:
        """Do nothing."""

    def record_start(self, is_first: bool, known_routers: int) -> None:
        """Do nothing."""


@dataclass(frozen=True)
class OwnContribution:
    """This router's own load and usage when it sent a report; `sent_at` is boot ms."""

    sequence: int = 0
    sent_at: int = 0
    loads: dict[str, PeerLoad] = field(default_factory=dict)
    usage: UsageByWorkspace = field(default_factory=dict)


NO_CONTRIBUTION = OwnContribution()


class ContributionHistory:
    """This router's contributions to its most recent reports."""

    def __init__(self) -> None:
        self.contributions: deque[OwnContribution] = deque(maxlen=MAX_CONTRIBUTIONS)

    def add(self, contribution: OwnContribution) -> None:
        """Add the contribution to a report that is being sent; the oldest one may be dropped."""
        self.contributions.append(contribution)

    def find(self, sequence: int) -> OwnContribution:
        """Return the contribution to a report, `NO_CONTRIBUTION` if it was dropped."""
        return next(
            (item for item in self.contributions if item.sequence == sequence),
            NO_CONTRIBUTION,
        )


class DigestTotals:
    """Keeps the totals of a collector's digests and derives the load of the other routers."""

    def __init__(self, registry: TargetRegistry, ledger: ShareLedger):
        self.registry = registry
        self.ledger = ledger
        self.source = ""
        self.load_totals: dict[str, PeerLoad] = {}
        self.usage_totals: UsageByWorkspace = {}
        self.own = NO_CONTRIBUTION

    def apply(self, source: str, digest: pb.LoadShare, own: OwnContribution, now: int) -> None:
        """Apply a digest of `source` that includes this router's contribution `own`."""
        if source != self.source:
            self.clear()
            self.source = source
        changed = self.own.loads.keys() | own.loads.keys()
        for item in digest.targets:
            self.load_totals[item.target_id] = PeerLoad(
                item.running, item.memory_tokens, item.unread_tokens, now
            )
            changed |= {item.target_id}
        self.own = own
        for target_id in changed:
            self._update_load(target_id, now)
            if target_id in self.load_totals and not self.load_totals[target_id].running:
                # Idle targets need no total; dropping it also cleans up after removed targets.
                del self.load_totals[target_id]
        self.usage_totals.update((item.workspace, decode_usage(item)) for item in digest.workspaces)
        others: UsageByWorkspace = {}
        add_usage(others, self.usage_totals)
        add_usage(others, own.usage, -1)
        self.ledger.others.replace(source, others)

    def clear(self) -> None:
        """Drop the totals and the load that was derived from them."""
        for state in self.registry.states.values():
            state.load.forget(self.source)
        self.ledger.others.forget(self.source)
        self.load_totals.clear()
        self.usage_totals.clear()
        self.own = NO_CONTRIBUTION
        self.source = ""

    def _update_load(self, target_id: str, now: int) -> None:
        state, total = self.registry.states.get(target_id), self.load_totals.get(target_id)
        if state is None or total is None:
            return
        own_load = self.own.loads.get(target_id, PeerLoad(0, 0, 0, now))
        others = PeerLoad(
            max(0, total.running - own_load.running),
            max(0, total.memory_tokens - own_load.memory_tokens),
            max(0, total.unread_tokens - own_load.unread_tokens),
            now,
        )
        state.load.on_report(self.source, others)
