"""Reads the store through one relay router per failure domain.

The store charges every call, and each change would wake a watch of every router. So one relay
router of each failure domain lists and watches the store, and the others ask it. While load digests
say which revision the relay router knows, it is asked only when that revision is newer.

A change has to be in force after a time that depends on its kind. A relay router waits for a third
of that time at most, so its state is seldom older than half of it; above two thirds its deputies
and the relay routers of other failure domains are asked, and the last third is left for their
replies. If none of them has recent word, the deputies ask the store at once, and the other routers
only after a random time. A router that reaches no other router asks the store as if it were alone.

A router that the store rejects asks the relay routers of other failure domains. So it keeps its
state current, and serves its callers, as long as any router reaches the store.
"""

import random
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol, TypeVar

import structlog
from gevent.event import Event

from jacinthcove.clock import Clock
from jacinthcove.entries.screen import ObjectScreen
from jacinthcove.errors import NoRouterKnows, PeerUnavailable, StoreUnavailable
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.peers import Members, Peers
from jacinthcove.observe.metrics import Metrics
from jacinthcove.store.changelog import ChangeLog
from jacinthcove.store.digestboard import DigestBoard, PendingWatch
from jacinthcove.store.kinds import KindSource, Listing, StoreRevision, WatchResult
from jacinthcove.store.lastresort import LastResort
from jacinthcove.store.otherrouters import PULL_MARGIN_MS, OtherRouters
from jacinthcove.store.relayroles import RelayRoles
from jacinthcove.store.relayservice import PULL_WAIT_MS, RelayService
from jacinthcove.store.startwait import StartWait
from jacinthcove.store.storegate import StoreGate, longest_pause_ms

log = structlog.get_logger()

# Short watches limit the age of a router's state, so their pulls use only this fraction of the
# wait.
PULL_WAIT_FRACTION = 1 / 4
# The state of a relay router is used up to this fraction of the time in which a change applies.
MAX_AGE_FRACTION = 2 / 3
# Above that age of a digest the relay router is asked with this wait, before others are.
LAST_PULL_WAIT_MS = 200
# A deputy gives up earlier, so that it has word of the store when the other routers ask it.
DEPUTY_MARGIN_MS = 200
# How long a router keeps to the alternative after a failure.
FALLBACK_MS = 3_000
# What fallback routers know is older than this only if they have lost the store, too.
MAX_FALLBACK_AGE_MS = 3_000
# A relay router waits only this fraction of that time, because while its watch is silent the data
# of all routers that ask it gets older.
RELAY_WAIT_FRACTION = 1 / 3
MIN_WAIT_MS = 300
# The first watch of the store after word of other routers, as the store may not reply to this one.
FIRST_WAIT_MS = 600
# How long other routers are asked again before a watch or a list fails.
ASK_MS = 1_500
# How many others than the relay router are asked again for a list.
REPEATED_ALTERNATIVES = 2
# In this time a relay router lists the store that starts together with its deputies.
DEPUTY_LIST_DELAY_MS = 200

NOTHING = StoreRevision(0, 0)

T = TypeVar("T")


class StoreSource(KindSource, Protocol):
    """The store itself; `era` is that of its last response, None before the first."""

    era: int | None


class RelayedSource:
    """A `KindSource` that asks the relay router of its failure domain before the store.

    A change has to be in force `apply_ms` after the store has it. Of `dated_kinds` it matters how
    old the last word is, so watches that would let it become older are shorter.
    """

    def __init__(
        self,
        clock: Clock,
        direct: StoreSource,
        logs: Mapping[str, ChangeLog],
        apply_ms: int,
        dated_kinds: frozenset[str] = frozenset(),
        metrics: Metrics | None = None,
        screen: ObjectScreen | None = None,
    ):
        self.clock = clock
        self.apply_ms = apply_ms
        # Kinds of which a change may take another time than `apply_ms`.
        self.apply_ms_by_kind: Mapping[str, int] = {}
        self.dated_kinds = dated_kinds
        self.direct = direct
        self.logs = logs
        self.metrics = metrics or Metrics()
        self.roles = RelayRoles()
        self.gate = StoreGate(clock)
        self.start_wait = StartWait(clock, self.roles)
        self.digests = DigestBoard(clock)
        self.service = RelayService(clock, logs)
        self.others = OtherRouters(clock, screen)
        self.last_resort = LastResort(clock, self.roles)
        # The router of this failure domain that last had word instead of the relay router.
        self.helper: str | None = None
        self.direct_until = 0
        # Until then fallback routers are asked first, because the store rejected this router.
        self.fallback_until = 0
        # The highest revision of each kind that this router has had.
        self.reached: dict[str, StoreRevision] = {}

    def join(self, members: Members, peers: Peers) -> None:
        """Start to use other routers."""
        self.roles.members, self.others.peers = members, peers

    def serve(self, peers: Peers) -> None:
        """Start to serve other routers, which may know this one before it has joined them."""
        self.service.register(peers)

    def relay_router(self) -> str | None:
        """Return the relay router of this failure domain, None if every router asks the store."""
        return self.roles.relay_router()

    def list_all(self, kind: str) -> Listing:
        """Return all objects of `kind` from another router, or from the store if none has them."""
        self.start_wait.wait()
        relay = self.roles.relay_router()
        if relay is None:
            self._count(kind, "list", "alone")
            listing = self.direct.list_all(kind)
        elif relay == self.roles.own_id():
            listing = self._list_as_relay(kind)
        else:
            listing = self._list_around(kind)
        self.reached[kind] = max(listing.revision, self.reached.get(kind, NOTHING))
        return listing

    def watch(self, kind: str, revision: StoreRevision, wait_ms: int) -> WatchResult:
        """Wait for changes after `revision`; may raise `HistoryGone` or `StoreUnavailable`."""
        result = self._watch(kind, revision, wait_ms)
        self.reached[kind] = max(result.revision, self.reached.get(kind, NOTHING))
        return result

    def _watch(self, kind: str, revision: StoreRevision, wait_ms: int) -> WatchResult:
        relay = self.roles.relay_router()
        if relay is None:
            wait_ms = self.start_wait.limit_watch(wait_ms)
            if kind in self.dated_kinds:
                wait_ms = self._wait_within(kind, wait_ms, max(wait_ms, self.apply_ms))
            return self._watch_directly(kind, revision, wait_ms, "alone")
        if relay == self.roles.own_id():
            return self._watch_directly(kind, revision, self._relay_wait_ms(kind, wait_ms), "relay")
        if self.clock.now() >= self.direct_until:
            try:
                return self._watch_through(relay, kind, revision, wait_ms)
            except (PeerUnavailable, StoreUnavailable) as error:
                self.direct_until = self.clock.now() + FALLBACK_MS
                log.info("store_relay_avoided", kind=kind, router=relay, reason=str(error))
        return self._watch_around(kind, revision, wait_ms)

    def _relay_wait_ms(self, kind: str, wait_ms: int) -> int:
        limit_ms = int(self._bound_ms(kind) * RELAY_WAIT_FRACTION)
        return self._wait_within(kind, min(wait_ms, limit_ms), limit_ms)

    def _watch_through(
        self, relay: str, kind: str, revision: StoreRevision, wait_ms: int
    ) -> WatchResult:
        """Watch through the relay router; raises `StoreUnavailable` if what it knows is too old."""
        pull_wait_ms = self._pull_wait_ms(wait_ms)
        margin_ms = PULL_MARGIN_MS
        if self.digests.forget_old(relay, kind, self._max_age_ms(kind)):
            pull_wait_ms = min(pull_wait_ms, LAST_PULL_WAIT_MS)
            if self.roles.own_id() in self.roles.deputies():
                margin_ms = DEPUTY_MARGIN_MS
        unchanged = self._wait_for_digest(relay, kind, revision, wait_ms)
        if unchanged is not None:
            return unchanged
        return self.others.pull_recent(
            relay, kind, revision, pull_wait_ms, self._max_age_ms(kind), margin_ms
        )

    def _watch_around(self, kind: str, revision: StoreRevision, wait_ms: int) -> WatchResult:
        """Watch through other routers than the relay router, or in the store."""

        def ask() -> WatchResult | None:
            found = self.others.first_reply(
                self.roles.alternatives(self.helper),
                lambda router: self.others.pull_recent(
                    router, kind, revision, self._pull_wait_ms(wait_ms), self._max_age_ms(kind)
                ),
            )
            self.helper, result = found or (None, None)
            return result

        def ask_store(reason: str) -> WatchResult:
            return self._watch_directly(kind, revision, self._relay_wait_ms(kind, wait_ms), reason)

        return self._ask_others_first(kind, ask, ask_store, 0)

    def _list_around(self, kind: str) -> Listing:
        """List at other routers, or in the store."""
        rounds = 0

        def ask() -> Listing | None:
            nonlocal rounds
            others = self.roles.alternatives(self.helper)
            if rounds:
                others = random.sample(others, min(len(others), REPEATED_ALTERNATIVES))
            rounds += 1
            relay = self.roles.relay_router()
            if relay is not None and relay != self.roles.own_id():
                others = [relay, *others]
            return self._list_from(kind, others)

        def ask_store(reason: str) -> Listing:
            return self._call_store(kind, "list", reason, lambda: self.direct.list_all(kind))

        return self._ask_others_first(kind, ask, ask_store, DEPUTY_LIST_DELAY_MS)

    def _ask_others_first(
        self,
        kind: str,
        ask: Callable[[], T | None],
        ask_store: Callable[[str], T],
        deputy_delay_ms: int,
    ) -> T:
        """Return what `ask` finds at other routers, or what the store replies.

        `ask` returns None if no router knows, and raises `PeerUnavailable` if none replied. Raises
        `NoRouterKnows` if the store is not to be called yet.
        """
        began_at = self.clock.now()
        while True:
            reason: str | None = "no_router_replies"
            try:
                found = ask()
                if found is None:
                    deputies_may = self.clock.now() - began_at >= deputy_delay_ms
                    reason = self.last_resort.reason(deputies_may)
            except PeerUnavailable:
                found = None
            if found is None:
                pause_ms = self.last_resort.next_pause_ms(kind)
                if reason is not None:
                    log.info("store_asked_directly", kind=kind, reason=reason)
                    found = ask_store(reason)
                    self.last_resort.record_served()
            if found is not None:
                self.last_resort.record_word(kind)
                return found
            if self.clock.now() - began_at >= ASK_MS:
                raise NoRouterKnows(f"no router has recent word of {kind}")
            if self.digests.wait_until_followed(kind, pause_ms):
                # All routers of the failure domain heard it at the same moment.
                self.clock.sleep(random.uniform(1, self.roles.domain_size()))

    def _list_as_relay(self, kind: str) -> Listing:
        try:
            return self._call_store(kind, "list", "relay", lambda: self.direct.list_all(kind))
        except StoreUnavailable as error:
            try:
                found = self._list_from(kind, self.roles.fallback_routers())
            except PeerUnavailable:
                found = None
            if found is None:
                raise
            log.warning("store_listed_through_others", kind=kind, reason=str(error))
            return found

    def _list_from(self, kind: str, routers: list[str]) -> Listing | None:
        """List at other routers; raises `PeerUnavailable` if none replied."""
        least = max(self.reached.get(kind, NOTHING), StoreRevision(self.direct.era or 0, 0))
        found = self.others.list_at_first(kind, routers, least, self._max_age_ms(kind))
        if found is None:
            return None
        router, listing = found
        if router == self.roles.relay_router():
            # It has recent word again.
            self.direct_until = 0
        self.metrics.counter("store_lists_from_routers_total", kind=kind).add()
        return listing

    def _call_store(self, kind: str, call: str, reason: str, operation: Callable[[], T]) -> T:
        def counted() -> T:
            self._count(kind, call, reason)
            return operation()

        return self.gate.call(counted, longest_pause_ms(reason, self.last_resort.period_ms()))

    def _count(self, kind: str, call: str, reason: str) -> None:
        self.metrics.counter("store_reads_total", kind=kind, call=call, reason=reason).add()

    def _wait_within(self, kind: str, wait_ms: int, max_age_ms: int) -> int:
        """Return a wait after which the last word of the store is no older than `max_age_ms`.

        A watch that returned changes says nothing of the time in which it waited for them.
        """
        known = self.logs[kind]
        if not known.watches_store:
            return min(wait_ms, FIRST_WAIT_MS)
        return max(MIN_WAIT_MS, min(wait_ms, max_age_ms - (self.clock.boot() - known.known_at)))

    def _bound_ms(self, kind: str) -> int:
        return self.apply_ms_by_kind.get(kind, self.apply_ms)

    def _max_age_ms(self, kind: str) -> int:
        return int(self._bound_ms(kind) * MAX_AGE_FRACTION)

    def _watch_directly(
        self, kind: str, revision: StoreRevision, wait_ms: int, reason: str
    ) -> WatchResult:
        """Watch the store, or pull from fallback routers while it rejects this router."""
        if self.clock.now() < self.fallback_until:
            found = self._pull_from_fallback(kind, revision, wait_ms)
            if found is not None and (found.relay_age_ms or 0) <= MAX_FALLBACK_AGE_MS:
                return found
        try:
            if reason == "alone":
                self._count(kind, "watch", reason)
                return self.direct.watch(kind, revision, wait_ms)
            if not self.gate.is_open() or self.gate.failures:
                # It shows whether the store is back, and other calls wait for it.
                wait_ms = min(wait_ms, MIN_WAIT_MS)
            return self._call_store(
                kind, "watch", reason, lambda: self.direct.watch(kind, revision, wait_ms)
            )
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
        for router in self.roles.fallback_routers():
            try:
                return self.others.pull(router, kind, revision, self._pull_wait_ms(wait_ms))
            except (PeerUnavailable, StoreUnavailable) as error:
                log.debug("store_helper_failed", kind=kind, router=router, reason=str(error))
        return None

    def kind_news(self) -> Iterable[pb.KindNews]:
        """Return the revisions to send in load digests, for kinds watched in the store itself."""
        return self.service.kind_news()

    def record_news(self, router: str, news: Iterable[pb.KindNews], asked_at: int) -> None:
        """Record the revisions in a router's digest, taken at boot time `asked_at` or later."""
        self.digests.record(router, news, asked_at)

    def record_start(self, is_first: bool, known_routers: int) -> None:
        """Record whether other routers may start too, and how many are known."""
        self.start_wait.record_start(is_first, known_routers)

    def _wait_for_digest(
        self, relay: str, kind: str, revision: StoreRevision, wait_ms: int
    ) -> WatchResult | None:
        """Wait for digests of the relay router instead of a pull.

        Returns a result without changes if nothing is newer, None if a pull is needed.
        """
        latest = self.digests.latest_of(relay, kind)
        if latest is None or latest.revision > revision:
            return None
        asked_at = self.clock.boot()
        usable_ms = max(0, latest.known_at + self._max_age_ms(kind) - asked_at)
        pending = self.digests.pending_watches[kind] = PendingWatch(revision, Event())
        newer = self.clock.wait(pending.newer, min(self._pull_wait_ms(wait_ms), usable_ms))
        current = self.digests.latest_of(relay, kind)
        if newer or current is None:
            return None
        return WatchResult((), revision, relay_age_ms=max(0, asked_at - current.known_at))

    def _pull_wait_ms(self, wait_ms: int) -> int:
        return min(PULL_WAIT_MS, int(wait_ms * PULL_WAIT_FRACTION))
