"""One router of each failure domain follows the store, the others ask it.

Answers the size of the fleet: every call of the store is charged, and a change wakes all that wait
for it. A router asks the store itself as soon as the other one does not answer, is silent, or has
lost the store, so no belief depends on a single router. Where the digests of load say what the
other router knows, it is asked only when that is newer.

A router that the store turns away asks those that follow it for other failure domains. So it keeps
what it believes current, and serves its callers, for as long as somebody reaches the store.
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
from jacinthcove.store.kinds import Change, KindObject, KindSource, Listing, News

log = structlog.get_logger()

# Smaller failure domains gain too little for the longer way of their news.
MIN_ROUTERS = 6
PULL_WAIT_MS = 1_000
# Short watches guard the age of a belief, so their pulls wait for this part of their time only.
PULL_WAIT_PART = 1 / 4
# An answer may need this much longer than the wait.
PULL_SLACK_MS = 400
# Time for which a router asks the store itself after a pull failed.
DIRECT_MS = 3_000
# Routers of other failure domains that are asked when the store does not answer.
MAX_HELPERS = 3
# The router that is asked by others waits for this part of the usual time only, because its silence
# makes the news of all of them old.
FEEDER_WAIT_PART = 1 / 3
FEEDER_MIN_WAIT_MS = 1_200
# Older words of digests do not replace a question.
MAX_WORD_AGE_MS = 2_400


def encode_news(news: News) -> pb.StoreNews:
    """Encode news for another router."""
    message = pb.StoreNews(revision=news.revision, age_ms=news.relay_age_ms)
    for change in news.changes:
        item = change.object
        message.changes.add(
            name=item.name,
            revision=item.revision,
            created_revision=item.created_revision,
            spec=orjson.dumps(item.spec),
            status=orjson.dumps(item.status),
            deleted=change.deleted,
        )
    return message


def decode_news(message: pb.StoreNews) -> News:
    """Decode another router's news; raises `StoreUnavailable` when there are none."""
    if message.unknown:
        raise StoreUnavailable("the other router does not follow the store at present")
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
        raise StoreUnavailable(f"news of another router are malformed: {error}") from error
    return News(changes, message.revision, relay_age_ms=message.age_ms)


@dataclass(frozen=True)
class Told:
    """What a router knew of a kind; nothing was newer at boot time `known_at`."""

    router: str
    revision: int
    known_at: int


@dataclass(frozen=True)
class Waiting:
    """A watch that waits for something newer than `revision`."""

    revision: int
    newer: Event


class RelayedSource:
    """A `KindSource` that asks the responsible router of the failure domain before the store."""

    def __init__(self, clock: Clock, direct: KindSource, logs: Mapping[str, ChangeLog]):
        self.clock = clock
        self.direct = direct
        self.logs = logs
        self.members: Members | None = None
        self.peers: Peers | None = None
        self.direct_until = 0
        # The store turned this router away, so others are asked before it until then.
        self.helped_until = 0
        # What digests told by kind, and the revisions that watches wait to see exceeded.
        self.told: dict[str, Told] = {}
        self.waiting: dict[str, Waiting] = {}

    def join(self, members: Members, peers: Peers) -> None:
        """Use and serve the other routers from now on."""
        self.members, self.peers = members, peers
        peers.register(STORE_PULL, self.answer)

    def list_all(self, kind: str) -> Listing:
        """Return all objects of `kind` from the store."""
        return self.direct.list_all(kind)

    def watch(self, kind: str, revision: int, wait_ms: int) -> News:
        """Wait for changes after `revision`; may raise `HistoryGone` or `StoreUnavailable`."""
        feeder = self.feeder()
        if feeder is not None and feeder == self._me():
            short_ms = max(FEEDER_MIN_WAIT_MS, int(wait_ms * FEEDER_WAIT_PART))
            return self._watch_directly(kind, revision, min(wait_ms, short_ms))
        if feeder is not None and self.clock.now() >= self.direct_until:
            told = self._wait_for_word(feeder, kind, revision, wait_ms)
            if told is not None:
                return told
            try:
                return self._pull(feeder, kind, revision, wait_ms)
            except (PeerUnavailable, StoreUnavailable) as error:
                self.direct_until = self.clock.now() + DIRECT_MS
                log.info("store_asked_directly", kind=kind, router=feeder, reason=str(error))
        return self._watch_directly(kind, revision, wait_ms)

    def _watch_directly(self, kind: str, revision: int, wait_ms: int) -> News:
        """Ask the store, or the routers that reach it while it turns this one away."""
        if self.clock.now() < self.helped_until:
            found = self._ask_helpers(kind, revision, wait_ms)
            if found is not None:
                return found
        try:
            return self.direct.watch(kind, revision, wait_ms)
        except StoreUnavailable as error:
            found = self._ask_helpers(kind, revision, wait_ms)
            if found is None:
                raise
            self.helped_until = self.clock.now() + DIRECT_MS
            log.warning("store_asked_through_others", kind=kind, reason=str(error))
            return found

    def _ask_helpers(self, kind: str, revision: int, wait_ms: int) -> News | None:
        for helper in self.helpers():
            try:
                return self._pull(helper, kind, revision, wait_ms)
            except (PeerUnavailable, StoreUnavailable) as error:
                log.debug("store_helper_failed", kind=kind, router=helper, reason=str(error))
        return None

    def helpers(self) -> list[str]:
        """Return the routers to ask while the store turns this one away."""
        if self.members is None:
            return []
        me = self.members.me
        others = [m for m in self.members.alive() if m.id != me.id]
        domains = sorted({m.failure_domain for m in others} - {me.failure_domain})
        feeders = [feeder for domain in domains if (feeder := self.feeder_of(domain))]
        # Ranked by this router's id, so that not all ask the same one.
        ids = feeders or [m.id for m in others]
        return rendezvous.ranked(me.id, ids)[:MAX_HELPERS]

    def kind_news(self) -> Iterable[pb.KindNews]:
        """Return what this router knows of the kinds that it follows itself."""
        now = self.clock.boot()
        return [
            pb.KindNews(kind=kind, revision=log.changed_revision, age_ms=max(0, now - log.known_at))
            for kind, log in self.logs.items()
            if log.current
        ]

    def record_news(self, router: str, news: Iterable[pb.KindNews], asked_at: int) -> None:
        """Take what a router knew at boot time `asked_at` or later."""
        for item in news:
            self.told[item.kind] = Told(router, item.revision, asked_at - item.age_ms)
            waiting = self.waiting.get(item.kind)
            if waiting is not None and item.revision > waiting.revision:
                waiting.newer.set()

    def _wait_for_word(self, feeder: str, kind: str, revision: int, wait_ms: int) -> News | None:
        """Wait for digests; return that nothing is newer, or None if the feeder is to be asked."""
        told = self.told.get(kind)
        if told is None or told.router != feeder or told.revision > revision:
            return None
        asked_at = self.clock.boot()
        waiting = self.waiting[kind] = Waiting(revision, Event())
        newer = self.clock.wait(waiting.newer, min(PULL_WAIT_MS, wait_ms * PULL_WAIT_PART))
        told = self.told[kind]
        if newer or told.router != feeder or asked_at - told.known_at > MAX_WORD_AGE_MS:
            return None
        return News((), revision, relay_age_ms=max(0, asked_at - told.known_at))

    def feeder(self) -> str | None:
        """Return the router that follows the store for this failure domain; None: each does."""
        if self.members is None:
            return None
        return self.feeder_of(self.members.me.failure_domain)

    def feeder_of(self, domain: str) -> str | None:
        """Return the router that follows the store for a failure domain; None: each does."""
        assert self.members is not None
        ids = [m.id for m in self.members.alive() if m.failure_domain == domain]
        return rendezvous.owner(domain, ids) if len(ids) >= MIN_ROUTERS else None

    def answer(self, sender: str, message: pb.StorePull) -> pb.StoreNews:
        """Serve another router, or tell it to ask the store."""
        del sender
        changes = self.logs.get(message.kind)
        if changes is None:
            return pb.StoreNews(unknown=True)
        try:
            news = changes.since(message.revision, min(message.wait_ms, PULL_WAIT_MS))
        except StoreUnavailable:
            return pb.StoreNews(unknown=True)
        return encode_news(news)

    def _pull(self, feeder: str, kind: str, revision: int, wait_ms: int) -> News:
        assert self.peers is not None
        wait_ms = min(PULL_WAIT_MS, int(wait_ms * PULL_WAIT_PART))
        message = pb.StorePull(kind=kind, revision=revision, wait_ms=wait_ms)
        return decode_news(self.peers.call(feeder, STORE_PULL, message, wait_ms + PULL_SLACK_MS))

    def _me(self) -> str:
        return self.members.me.id if self.members is not None else ""
