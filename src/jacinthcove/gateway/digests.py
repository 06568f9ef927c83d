"""The digest of a failure domain as one of its routers uses it, without that router's own part.

Answers the size of the fleet: what a router decodes and adds up depends on the targets whose load
changed, not on the number of routers.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from jacinthcove.gateway.load import PeerLoad
from jacinthcove.gateway.shares import ShareLedger
from jacinthcove.gateway.targets import TargetRegistry
from jacinthcove.gateway.uses import Uses, add_uses, decode_use
from jacinthcove.mesh import mesh_pb2 as pb

# Reports that may be under way to the collector or on their way back in a digest.
KEPT_REPORTS = 16


class KindNewsBoard(Protocol):
    """What digests say of the store beside the load."""

    def kind_news(self) -> Iterable[pb.KindNews]:
        """Return what this router knows as a follower of the store."""

    def note_news(self, router: str, news: Iterable[pb.KindNews], asked_at: int) -> None:
        """Take what a router knew at boot time `asked_at` or later."""


class NoNews:
    """Stands for the board where routers do not follow the store for each other."""

    def kind_news(self) -> Iterable[pb.KindNews]:
        """Return nothing."""
        return ()

    def note_news(self, router: str, news: Iterable[pb.KindNews], asked_at: int) -> None:
        """Take nothing."""


@dataclass(frozen=True)
class OwnPart:
    """What this router had at the targets when it sent a report; `sent_at` is boot ms."""

    sequence: int = 0
    sent_at: int = 0
    loads: dict[str, PeerLoad] = field(default_factory=dict)
    uses: Uses = field(default_factory=dict)


NOTHING = OwnPart()


class OwnHistory:
    """The own parts of recent reports."""

    def __init__(self) -> None:
        self.parts: deque[OwnPart] = deque(maxlen=KEPT_REPORTS)

    def add(self, part: OwnPart) -> None:
        """Keep the own part of a report that is being sent."""
        self.parts.append(part)

    def find(self, sequence: int) -> OwnPart:
        """Return the own part of a report, nothing if it is no longer kept."""
        return next((part for part in self.parts if part.sequence == sequence), NOTHING)


class DigestView:
    """Keeps the sums of the collector's digests and tells what the other routers have."""

    def __init__(self, registry: TargetRegistry, ledger: ShareLedger):
        self.registry = registry
        self.ledger = ledger
        self.source = ""
        self.sums: dict[str, PeerLoad] = {}
        self.use_sums: Uses = {}
        self.own = NOTHING

    def take(self, source: str, digest: pb.LoadShare, own: OwnPart, now: int) -> None:
        """Take a digest of `source` that contains `own` as this router's part."""
        if source != self.source:
            self.forget()
            self.source = source
        changed = self.own.loads.keys() | own.loads.keys()
        for item in digest.targets:
            self.sums[item.target_id] = PeerLoad(
                item.running, item.memory_tokens, item.unread_tokens, now
            )
            changed |= {item.target_id}
        self.own = own
        for target_id in changed:
            self._apply(target_id, now)
            if target_id in self.sums and not self.sums[target_id].running:
                # Targets come and go; those without work need no sum.
                del self.sums[target_id]
        self.use_sums.update((item.workspace, decode_use(item)) for item in digest.workspaces)
        others: Uses = {}
        add_uses(others, self.use_sums)
        add_uses(others, own.uses, -1)
        self.ledger.others.replace(source, others)

    def forget(self) -> None:
        """Drop what the digests told."""
        for state in self.registry.states.values():
            state.load.forget(self.source)
        self.ledger.others.forget(self.source)
        self.sums.clear()
        self.use_sums.clear()
        self.own = NOTHING
        self.source = ""

    def _apply(self, target_id: str, now: int) -> None:
        state, total = self.registry.states.get(target_id), self.sums.get(target_id)
        if state is None or total is None:
            return
        mine = self.own.loads.get(target_id, PeerLoad(0, 0, 0, now))
        others = PeerLoad(
            max(0, total.running - mine.running),
            max(0, total.memory_tokens - mine.memory_tokens),
            max(0, total.unread_tokens - mine.unread_tokens),
            now,
        )
        state.load.on_report(self.source, others)
