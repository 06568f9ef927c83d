"""Asks other routers for changes of a kind and for all its objects."""

from collections.abc import Callable, Iterable
from typing import TypeVar

import gevent
import structlog
from gevent.event import Event

from jacinthcove.clock import Clock
from jacinthcove.entries.screen import ObjectScreen
from jacinthcove.errors import PeerUnavailable, StoreUnavailable
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.kinds import STORE_PULL
from jacinthcove.mesh.peers import Peers
from jacinthcove.store.kinds import HistoryGone, Listing, StoreRevision, WatchResult
from jacinthcove.store.listings import pull_listing
from jacinthcove.store.relaycodec import decode_result
from jacinthcove.store.relayservice import PULL_WAIT_MS

log = structlog.get_logger()

# A reply may arrive this much later than the wait.
PULL_MARGIN_MS = 400
# No further router is asked for a list after this time.
LIST_LIMIT_MS = 1_500

T = TypeVar("T")


class OtherRouters:
    """Calls other routers, and never takes state of an era before one that it has heard of."""

    def __init__(self, clock: Clock, screen: ObjectScreen | None = None):
        self.clock = clock
        self.screen = screen or ObjectScreen()
        # None before this router has joined the others.
        self.peers: Peers | None = None
        self.least_era = 0

    def pull(
        self,
        router: str,
        kind: str,
        revision: StoreRevision,
        wait_ms: int,
        margin_ms: int = PULL_MARGIN_MS,
    ) -> WatchResult:
        """Return the changes after `revision` that a router knows, after a wait for the first.

        Raises `PeerUnavailable`, `StoreUnavailable`, or `HistoryGone` if a list is needed.
        """
        assert self.peers is not None
        message = pb.StorePull(
            kind=kind, revision=revision.number, era=revision.era, wait_ms=wait_ms
        )
        reply = self.peers.call(router, STORE_PULL, message, wait_ms + margin_ms)
        if reply.era > revision.era:
            self.least_era = max(self.least_era, reply.era)
            raise HistoryGone(f"{router} knows that the store came back from an older copy")
        if reply.list_again:
            raise HistoryGone(f"{router} does not have the changes since {revision.number}")
        result = decode_result(reply, kind, self.screen)
        if result.revision.era < revision.era:
            raise StoreUnavailable(f"{router} does not know that the store was restored")
        return result

    def pull_recent(
        self,
        router: str,
        kind: str,
        revision: StoreRevision,
        wait_ms: int,
        max_age_ms: int,
        margin_ms: int = PULL_MARGIN_MS,
    ) -> WatchResult:
        """Pull from a router; raises `StoreUnavailable` if what it knows is too old."""
        result = self.pull(router, kind, revision, wait_ms, margin_ms)
        age_ms = result.relay_age_ms or 0
        if not result.changes and age_ms >= max_age_ms:
            raise StoreUnavailable(f"{router} has had no word for {age_ms} ms")
        return result

    def list_at_first(
        self, kind: str, routers: Iterable[str], at_least: StoreRevision, max_age_ms: int
    ) -> tuple[str, Listing] | None:
        """List at the first router that has a recent state, one after the other.

        Returns None if none has; raises `PeerUnavailable` if none replied.
        """
        replied = False
        ends_at = self.clock.now() + LIST_LIMIT_MS
        at_least = max(at_least, StoreRevision(self.least_era, 0))
        for router in routers:
            if self.peers is None or self.clock.now() >= ends_at:
                break
            try:
                listing = pull_listing(
                    self.clock, self.peers, router, kind, at_least, max_age_ms, self.screen
                )
                return router, listing
            except PeerUnavailable as error:
                log.debug("store_helper_failed", kind=kind, router=router, reason=str(error))
            except StoreUnavailable as error:
                replied = True
                log.debug("store_list_refused", kind=kind, router=router, reason=str(error))
        if not replied:
            raise PeerUnavailable("no router replied")
        return None

    def first_reply(self, routers: list[str], question: Callable[[str], T]) -> tuple[str, T] | None:
        """Ask several routers at once; return the first usable reply, and the router that gave it.

        Returns None if there is none; raises `PeerUnavailable` if none replied at all.
        """
        found: list[tuple[str, T]] = []
        gone: list[HistoryGone] = []
        refused: list[str] = []
        done = Event()
        open_questions = len(routers)

        def ask(router: str) -> None:
            nonlocal open_questions
            try:
                found.append((router, question(router)))
                done.set()
            except HistoryGone as error:
                # Another router may have the changes, which saves a list.
                gone.append(error)
            except StoreUnavailable:
                refused.append(router)
            except PeerUnavailable as error:
                log.debug("store_helper_failed", router=router, reason=str(error))
            finally:
                open_questions -= 1
                if not open_questions:
                    done.set()

        for router in routers:
            gevent.spawn(ask, router)
        if routers:
            self.clock.wait(done, PULL_WAIT_MS + PULL_MARGIN_MS)
        if found:
            return found[0]
        if gone:
            raise gone[0]
        if not refused:
            raise PeerUnavailable("no router replied")
        return None
