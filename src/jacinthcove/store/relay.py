"""Watches the store through one relay router per failure domain.

The store charges every call, and each change would wake a watch of every router. So one relay
router of each failure domain watches the store, and the others ask it. A router asks the store
itself as soon as its relay router does not reply, has lost the store, or has had no word from it
for too long, so no router's state depends on a single other router. While load digests say which
revision the relay router knows, it is asked only when that revision is newer.

A change has to be in force after `apply_ms`. A relay router waits for a third of that time at most,
so its state is seldom older than half of it; above two thirds the store is asked, and the last
third is left for its reply.

A router that the store rejects asks the relay routers of other failure domains. So it keeps its
state current, and serves its callers, as long as any router reaches the store.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import orjson
import structlog
from gevent.event import Event

from jacinthcove.clock import Clock
from jacinthcove.errors import PeerUnavailable, StoreUnavailable
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.kinds import STORE_PULL
from jacinthcove.mesh.peers import Members, Peers
from jacinthcove.scheduling import rendezvous
from jacinthcove.store.changelog import ChangeLog
from jacinthcove.store.encodedjson import encode_json
from jacinthcove.store.kinds import (
    Change,
    HistoryGone,
    KindObject,
    KindSource,
    Listing,
    StoreRevision,
    WatchResult,
)

log = structlog.get_logger()

# In a smaller failure domain, the calls saved are too few for the added delay of changes.
MIN_ROUTERS = 6
PULL_WAIT_MS = 1_000
# Short watches limit the age of a router's state, so their pulls use only this fraction of the
# wait.
PULL_WAIT_FRACTION = 1 / 4
# The state of a relay router is used up to this fraction of the time in which a change applies.
MAX_AGE_FRACTION = 2 / 3
# Above that age of a digest the relay router is asked with this wait, before the store is.
LAST_PULL_WAIT_MS = 200
# A reply may arrive this much later than the wait.
PULL_MARGIN_MS = 400
# How long a router keeps to the alternative (the store itself, or fallback routers) after a
# failure.
FALLBACK_MS = 3_000
# How many routers of other failure domains are asked when the store does not reply.
MAX_FALLBACK_ROUTERS = 3
# What fallback routers know is older than this only if they have lost the store, too.
MAX_FALLBACK_AGE_MS = 3_000
# A relay router waits only this fraction of the time in which a change applies, because while its
# watch is silent the data of all routers that ask it gets older.
RELAY_WAIT_FRACTION = 1 / 3
MIN_WAIT_MS = 300
# The first watch of the store after word of other routers, as the store may not reply to this one.
FIRST_WAIT_MS = 600


def encode_result(result: WatchResult) -> pb.StoreNews:
    """Encode a watch result for another router."""
    message = pb.StoreNews(
        revision=result.revision.number, era=result.revision.era, age_ms=result.relay_age_ms
    )
    for change in result.changes:
        item = change.object
        message.changes.add(
            name=item.name,
            revision=item.revision,
            created_revision=item.created_revision,
            spec=encode_json(item.spec),
            status=encode_json(item.status),
            deleted=change.deleted,
        )
    return message


def decode_result(message: pb.StoreNews) -> WatchResult:
    """Decode another router's watch result; raises `StoreUnavailable` if there is no usable one."""
    if message.unknown:
        raise StoreUnavailable("the other router does not watch the store at present")
    try:
        changes = [
            Change(
                KindObject(
                    item.name,
                    item.revision,
                    orjson.loads(item.spec),
                    orjson.loads(item.status),
                    item.created_revision,
                ),
                item.deleted,
            )
            for item in message.changes
        ]
    except orjson.JSONDecodeError as error:
        raise StoreUnavailable(f"the changes from another router are malformed: {error}") from error
    revision = StoreRevision(message.era, message.revision)
    return WatchResult(changes, revision, relay_age_ms=message.age_ms)


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


class RelayedSource:
    """A `KindSource` that asks the relay router of its failure domain before the store.

    A change has to be in force `apply_ms` after the store has it. Of `dated_kinds` it matters how
    old the last word is, so watches that would let it become older are shorter.
    """

    def __init__(
        self,
        clock: Clock,
        direct: KindSource,
        logs: Mapping[str, ChangeLog],
        apply_ms: int,
        dated_kinds: frozenset[str] = frozenset(),
    ):
        self.clock = clock
        self.apply_ms = apply_ms
        self.dated_kinds = dated_kinds
        self.direct = direct
        self.logs = logs
        self.members: Members | None = None
        self.peers: Peers | None = None
        self.direct_until = 0
        # Until then fallback routers are asked first, because the store rejected this router.
        self.fallback_until = 0
        # By kind: the revision in the last digest, and the watch that waits for a higher one.
        self.digest_revisions: dict[str, DigestRevision] = {}
        self.pending_watches: dict[str, PendingWatch] = {}

    def join(self, members: Members, peers: Peers) -> None:
        """Start to use other routers and to serve them."""
        self.members, self.peers = members, peers
        peers.register(STORE_PULL, self.serve_pull)

    def list_all(self, kind: str) -> Listing:
        """Return all objects of `kind` from the store."""
        return self.direct.list_all(kind)

    def watch(self, kind: str, revision: StoreRevision, wait_ms: int) -> WatchResult:
        """Wait for changes after `revision`; may raise `HistoryGone` or `StoreUnavailable`."""
        relay = self.relay_router()
        if relay is not None and relay == self._own_id():
            relay_wait_ms = int(self.apply_ms * RELAY_WAIT_FRACTION)
            wait_ms = self._wait_within(kind, min(wait_ms, relay_wait_ms), relay_wait_ms)
            return self._watch_directly(kind, revision, wait_ms)
        if relay is not None and self.clock.now() >= self.direct_until:
            try:
                return self._watch_through(relay, kind, revision, wait_ms)
            except (PeerUnavailable, StoreUnavailable) as error:
                self.direct_until = self.clock.now() + FALLBACK_MS
                log.info("store_asked_directly", kind=kind, router=relay, reason=str(error))
        if kind in self.dated_kinds:
            wait_ms = self._wait_within(kind, wait_ms, max(wait_ms, self.apply_ms))
        return self._watch_directly(kind, revision, wait_ms)

    def _watch_through(
        self, relay: str, kind: str, revision: StoreRevision, wait_ms: int
    ) -> WatchResult:
        """Watch through the relay router; raises `StoreUnavailable` if what it knows is too old."""
        pull_wait_ms = self._pull_wait_ms(wait_ms)
        if self._forget_old_digest(relay, kind):
            pull_wait_ms = min(pull_wait_ms, LAST_PULL_WAIT_MS)
        unchanged = self._wait_for_digest(relay, kind, revision, wait_ms)
        if unchanged is not None:
            return unchanged
        result = self._pull(relay, kind, revision, pull_wait_ms)
        age_ms = result.relay_age_ms or 0
        if not result.changes and age_ms >= self._max_age_ms():
            raise StoreUnavailable(f"the relay router has had no word for {age_ms} ms")
        return result

    def _wait_within(self, kind: str, wait_ms: int, max_age_ms: int) -> int:
        """Return a wait after which the last word of the store is no older than `max_age_ms`.

        A watch that returned changes says nothing of the time in which it waited for them.
        """
        known = self.logs[kind]
        if not known.watches_store:
            return min(wait_ms, FIRST_WAIT_MS)
        return max(MIN_WAIT_MS, min(wait_ms, max_age_ms - (self.clock.boot() - known.known_at)))

    def _max_age_ms(self) -> int:
        return int(self.apply_ms * MAX_AGE_FRACTION)

    def _watch_directly(self, kind: str, revision: StoreRevision, wait_ms: int) -> WatchResult:
        """Watch the store, or pull from fallback routers while it rejects this router."""
        if self.clock.now() < self.fallback_until:
            found = self._pull_from_fallback(kind, revision, wait_ms)
            if found is not None and (found.relay_age_ms or 0) <= MAX_FALLBACK_AGE_MS:
                return found
        try:
            return self.direct.watch(kind, revision, wait_ms)
        except StoreUnavailable as error:
            found = self._pull_from_fallback(kind, revision, wait_ms)
            if found is None:
                raise
            self.fallback_until = self.clock.now() + FALLBACK_MS
            log.warning("store_asked_through_others", kind=kind, reason=str(error))
            return found

    def _pull_from_fallback(
        self, kind: str, revision: StoreRevision, wait_ms: int
    ) -> WatchResult | None:
        for router in self.fallback_routers():
            try:
                return self._pull(router, kind, revision, self._pull_wait_ms(wait_ms))
            except (PeerUnavailable, StoreUnavailable) as error:
                log.debug("store_helper_failed", kind=kind, router=router, reason=str(error))
        return None

    def fallback_routers(self) -> list[str]:
        """Return the routers to ask while the store rejects this one.

        They are relay routers of other failure domains or, if there are none, any other routers.
        """
        if self.members is None:
            return []
        me = self.members.me
        others = [m for m in self.members.alive() if m.id != me.id]
        domains = sorted({m.failure_domain for m in others} - {me.failure_domain})
        relays = [relay for domain in domains if (relay := self.relay_router_of(domain))]
        # The ranking depends on this router's id, so that not all routers ask the same one.
        ids = relays or [m.id for m in others]
        return rendezvous.ranked(me.id, ids)[:MAX_FALLBACK_ROUTERS]

    def kind_news(self) -> Iterable[pb.KindNews]:
        """Return the revisions to send in load digests, for kinds watched in the store itself."""
        now = self.clock.boot()
        return [
            pb.KindNews(
                kind=kind,
                revision=log.changed_revision.number,
                era=log.changed_revision.era,
                age_ms=max(0, now - log.known_at),
            )
            for kind, log in self.logs.items()
            if log.watches_store
        ]

    def record_news(self, router: str, news: Iterable[pb.KindNews], asked_at: int) -> None:
        """Record the revisions in a router's digest, taken at boot time `asked_at` or later.

        A kind that the digest leaves out is not watched there any more.
        """
        items = list(news)
        for kind in self.digest_revisions.keys() - {item.kind for item in items}:
            if self._digest_of(router, kind) is not None:
                del self.digest_revisions[kind]
                if (pending := self.pending_watches.get(kind)) is not None:
                    pending.newer.set()
        for item in items:
            revision = StoreRevision(item.era, item.revision)
            self.digest_revisions[item.kind] = DigestRevision(
                router, revision, asked_at - item.age_ms
            )
            pending = self.pending_watches.get(item.kind)
            if pending is not None and revision > pending.revision:
                pending.newer.set()

    def _forget_old_digest(self, relay: str, kind: str) -> bool:
        """Forget the last digest if it is too old, and return whether it was.

        Digests of a fleet at rest count as older than they are, as routers report less often.
        """
        latest = self._digest_of(relay, kind)
        if latest is None or self.clock.boot() - latest.known_at < self._max_age_ms():
            return False
        del self.digest_revisions[kind]
        return True

    def _digest_of(self, router: str, kind: str) -> DigestRevision | None:
        latest = self.digest_revisions.get(kind)
        return latest if latest is not None and latest.router == router else None

    def _wait_for_digest(
        self, relay: str, kind: str, revision: StoreRevision, wait_ms: int
    ) -> WatchResult | None:
        """Wait for digests of the relay router instead of a pull.

        Returns a result without changes if nothing is newer, None if a pull is needed.
        """
        latest = self._digest_of(relay, kind)
        if latest is None or latest.revision > revision:
            return None
        asked_at = self.clock.boot()
        usable_ms = max(0, latest.known_at + self._max_age_ms() - asked_at)
        pending = self.pending_watches[kind] = PendingWatch(revision, Event())
        newer = self.clock.wait(pending.newer, min(self._pull_wait_ms(wait_ms), usable_ms))
        current = self._digest_of(relay, kind)
        if newer or current is None:
            return None
        return WatchResult((), revision, relay_age_ms=max(0, asked_at - current.known_at))

    def relay_router(self) -> str | None:
        """Return the relay router of this failure domain, None if every router asks the store."""
        if self.members is None:
            return None
        return self.relay_router_of(self.members.me.failure_domain)

    def relay_router_of(self, domain: str) -> str | None:
        """Return the relay router of a failure domain, None if its routers all ask the store."""
        assert self.members is not None
        ids = [m.id for m in self.members.alive() if m.failure_domain == domain]
        return rendezvous.owner(domain, ids) if len(ids) >= MIN_ROUTERS else None

    def serve_pull(self, sender: str, message: pb.StorePull) -> pb.StoreNews:
        """Serve the changes of a kind to another router; `unknown` tells it to ask the store."""
        del sender
        changes = self.logs.get(message.kind)
        if changes is None:
            return pb.StoreNews(unknown=True)
        try:
            revision = StoreRevision(message.era, message.revision)
            result = changes.since(revision, min(message.wait_ms, PULL_WAIT_MS))
        except StoreUnavailable:
            return pb.StoreNews(unknown=True, era=changes.revision.era)
        return encode_result(result)

    def _pull_wait_ms(self, wait_ms: int) -> int:
        return min(PULL_WAIT_MS, int(wait_ms * PULL_WAIT_FRACTION))

    def _pull(self, router: str, kind: str, revision: StoreRevision, wait_ms: int) -> WatchResult:
        assert self.peers is not None
        message = pb.StorePull(
            kind=kind, revision=revision.number, era=revision.era, wait_ms=wait_ms
        )
        reply = self.peers.call(router, STORE_PULL, message, wait_ms + PULL_MARGIN_MS)
        if reply.era > revision.era:
            raise HistoryGone(f"{router} knows that the store came back from an older copy")
        result = decode_result(reply)
        if result.revision.era < revision.era:
            raise StoreUnavailable(f"{router} does not know that the store was restored")
        return result

    def _own_id(self) -> str:
        return self.members.me.id if self.members is not None else ""
