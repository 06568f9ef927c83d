"""What the last load digest said about the store's kinds."""

from collections.abc import Iterable
from dataclasses import dataclass

from gevent.event import Event

from jacinthcove.clock import Clock
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.store.kinds import StoreRevision


@dataclass(frozen=True)
class DigestRevision:
    """The revision of a kind that a router reported, current at boot time `known_at`."""

    router: str
    revision: StoreRevision
    known_at: int


@dataclass(frozen=True)
class PendingWatch:
    """A watch that waits for a digest with a revision above `revision`."""

    revision: StoreRevision
    newer: Event


class DigestBoard:
    """Keeps the revisions in digests, and wakes what waits for them."""

    def __init__(self, clock: Clock):
        self.clock = clock
        # By kind: the revision in the last digest, and the watch that waits for a higher one.
        self.revisions: dict[str, DigestRevision] = {}
        self.pending_watches: dict[str, PendingWatch] = {}
        # By kind: set when a digest names a kind that was not followed before.
        self.followed_again: dict[str, Event] = {}

    def record(self, router: str, news: Iterable[pb.KindNews], asked_at: int) -> None:
        """Record the revisions in a router's digest, taken at boot time `asked_at` or later.

        A kind that the digest leaves out is not watched there any more.
        """
        items = list(news)
        for kind in self.revisions.keys() - {item.kind for item in items}:
            if self.latest_of(router, kind) is not None:
                del self.revisions[kind]
                if (pending := self.pending_watches.get(kind)) is not None:
                    pending.newer.set()
        for item in items:
            revision = StoreRevision(item.era, item.revision)
            if item.kind not in self.revisions and item.kind in self.followed_again:
                self.followed_again[item.kind].set()
            self.revisions[item.kind] = DigestRevision(router, revision, asked_at - item.age_ms)
            pending = self.pending_watches.get(item.kind)
            if pending is not None and revision > pending.revision:
                pending.newer.set()

    def forget_old(self, relay: str, kind: str, max_age_ms: int) -> bool:
        """Forget the last digest if it is too old, and return whether it was.

        Digests of a fleet at rest count as older than they are, as routers report less often.
        """
        latest = self.latest_of(relay, kind)
        if latest is None or self.clock.boot() - latest.known_at < max_age_ms:
            return False
        del self.revisions[kind]
        return True

    def wait_until_followed(self, kind: str, duration_ms: float) -> bool:
        """Wait for a digest that names a kind again; return whether there was one."""
        again = self.followed_again.setdefault(kind, Event())
        if not self.clock.wait(again, duration_ms):
            return False
        again.clear()
        return True

    def latest_of(self, router: str, kind: str) -> DigestRevision | None:
        """Return what the last digest of `router` said about a kind."""
        latest = self.revisions.get(kind)
        return latest if latest is not None and latest.router == router else None
