"""Keeps the objects of one kind current: a list, then long-polling watches."""

import random
from dataclasses import replace
from typing import Protocol

import gevent
import structlog

from jacinthcove.background import BackgroundTask
from jacinthcove.clock import Clock
from jacinthcove.entries.screen import NO_ROOM, ObjectScreen, odd_change
from jacinthcove.errors import NoRouterKnows, StoreUnavailable
from jacinthcove.store.changelog import ChangeLog
from jacinthcove.store.kinds import (
    Change,
    Gap,
    HistoryGone,
    KindSource,
    Listing,
    StoreRevision,
    WatchResult,
    without_superseded,
)
from jacinthcove.store.snapshot import encode_object

log = structlog.get_logger()

# Delay before the next watch after a change, so that one call returns several changes. Every watch
# that returns counts as a call of the store.
BATCH_DELAY_MS = 250
MIN_RETRY_MS = 40
MAX_RETRY_MS = 600
# Entries expire only in an outage of at least OUTAGE_MS. Their owners register them again within
# REREGISTER_MS after its end.
OUTAGE_MS = 2_500
REREGISTER_MS = 2_500


class Follower(Protocol):
    """Receives the objects of a kind and their changes; times are boot milliseconds."""

    def on_list(self, listing: Listing, gap: Gap) -> None:
        """Replace all objects; `gap` says why known ones may be missing or older than known."""

    def on_change(self, change: Change, in_outage: bool) -> None:
        """Apply one change; `in_outage` says that a deleted object may merely have expired."""

    def on_confirmed(self, known_at: int) -> None:
        """Record that the store had nothing newer at `known_at`."""


class KindWatch:
    """A greenlet that keeps a follower current; a healthy watch returns within `wait_ms`.

    `changes` keeps what came directly from the store, to serve it to other routers.
    """

    def __init__(
        self,
        source: KindSource,
        clock: Clock,
        kind: str,
        wait_ms: int,
        follower: Follower,
        changes: ChangeLog | None = None,
        screen: ObjectScreen | None = None,
    ):
        self.source = source
        self.clock = clock
        self.kind = kind
        self.wait_ms = wait_ms
        self.follower = follower
        self.changes = changes or ChangeLog(clock)
        self.screen = screen or ObjectScreen()
        self.revision: StoreRevision | None = None
        self.listed = False
        # The era of the last list.
        self.listed_era: int | None = None
        self.delay_next_watch = False
        self.lost_at: int | None = None
        self.outage_ended_at: int | None = None
        # When the last word of the store was current.
        self.last_known_at: int | None = None
        self.failures = 0
        # How often in a row the changes since a list were gone.
        self.history_losses = 0
        self.task = BackgroundTask(self._run)

    def start(self) -> None:
        """Start the greenlet."""
        self.task.start()

    def close(self) -> None:
        """Stop the greenlet."""
        self.task.close()

    def restart(self, era: int) -> None:
        """List again, because the store came back from an older copy as of `era`."""
        if self.revision is not None and self.revision.era < era:
            self.task.close()
            self.revision = None
            self.changes.stop()
            self.task.start()

    def _run(self) -> None:
        while True:
            try:
                self._list_or_watch()
            except HistoryGone:
                log.info("store_history_gone", kind=self.kind, **self._position())
                self.revision = None
                # A router may give a list from which another one has no changes.
                if self.history_losses:
                    gevent.sleep((MIN_RETRY_MS << min(self.history_losses, 4)) / 1000)
                self.history_losses += 1
            except StoreUnavailable as error:
                self._on_failure(error)
            except Exception:
                log.exception("store_watch_failed", kind=self.kind)
                self.revision = None
                gevent.sleep(MIN_RETRY_MS / 1000)

    def _list_or_watch(self) -> None:
        known_at = self.clock.boot()
        if self.revision is None:
            listing = self.source.list_all(self.kind)
            self.follower.on_list(listing, self._gap_before(listing))
            self.revision = listing.revision
            self.listed = True
            if listing.known_at is None:
                self.changes.restart(listing.revision, known_at)
            else:
                known_at = listing.known_at
                self.changes.stop()
            self.changes.snapshot.replace(listing, known_at)
        else:
            if self.delay_next_watch:
                gevent.sleep(BATCH_DELAY_MS / 1000)
                known_at = self.clock.boot()
            result = self.source.watch(self.kind, self.revision, self.wait_ms)
            known_at = self._apply(result, self.revision, known_at)
            self.history_losses = 0
        self.last_known_at = max(known_at, self.last_known_at or 0)
        self.follower.on_confirmed(known_at)
        self._on_success()

    def _apply(self, result: WatchResult, since: StoreRevision, sent_at: int) -> int:
        """Apply changes after revision `since`; return the boot ms at which they were complete."""
        if result.relay_age_ms is not None:
            # The other router replied after `sent_at`, so its data is no older than this.
            known_at = sent_at - result.relay_age_ms
        else:
            known_at = min(self.clock.boot(), sent_at + result.waited_ms)
        kept = [
            self._apply_one(change, result.revision, known_at)
            for change in without_superseded(result.changes)
        ]
        self.revision = result.revision
        if result.relay_age_ms is not None:
            self.changes.stop()
        else:
            self.delay_next_watch = bool(result.changes)
            self.changes.add(since, replace(result, changes=kept), known_at)
        self.changes.snapshot.apply((), result.revision, known_at)
        return known_at

    def _apply_one(self, change: Change, revision: StoreRevision, known_at: int) -> Change:
        """Apply a change, unless there is no room for its object; return what is kept of it."""
        if not change.deleted and not self.changes.snapshot.has_room(change.object):
            self.screen.record_odd(self.kind, change.object.name, NO_ROOM)
            change = odd_change(change.object)
        self.follower.on_change(change, self._entries_may_expire() and not change.odd)
        kept = replace(change, object=encode_object(change.object))
        self.changes.snapshot.apply((kept,), revision, known_at)
        return kept

    def _gap_before(self, listing: Listing) -> Gap:
        before, self.listed_era = self.listed_era, listing.revision.era
        if before is not None and listing.revision.era > before:
            # Entries are written again as after an outage.
            self.outage_ended_at = self.clock.boot()
            log.warning("older_copy_listed", kind=self.kind, revision=listing.revision.number)
            return Gap.OLDER_COPY
        now = self.clock.boot()
        known_at = self.last_known_at
        if listing.known_at is not None and known_at is not None and now - known_at >= OUTAGE_MS:
            # The router that gave the list may have had an outage that this one did not notice.
            self.outage_ended_at = now
        return Gap.OUTAGE if self._entries_may_expire() else Gap.NONE

    def _entries_may_expire(self) -> bool:
        now = self.clock.boot()
        if self.lost_at is not None:
            return now - self.lost_at >= OUTAGE_MS
        return self.outage_ended_at is not None and now - self.outage_ended_at < REREGISTER_MS

    def _on_success(self) -> None:
        self.failures = 0
        if self.lost_at is None:
            return
        now = self.clock.boot()
        lost_ms = now - self.lost_at
        if lost_ms >= OUTAGE_MS:
            self.outage_ended_at = now
        self.lost_at = None
        log.info("store_regained", kind=self.kind, **self._position(), lost_ms=lost_ms)

    def _on_failure(self, error: StoreUnavailable) -> None:
        self.changes.stop()
        if self.lost_at is None:
            self.lost_at = self.clock.boot()
            if isinstance(error, NoRouterKnows) and self.last_known_at is not None:
                # The outage began at another router, which passed on its last word.
                self.lost_at = self.last_known_at
            log.warning("store_lost", kind=self.kind, **self._position(), reason=str(error))
        # A new list after the outage shows which entries expired meanwhile.
        self.revision = None
        retry_ms = min(MAX_RETRY_MS, MIN_RETRY_MS << min(self.failures, 6))
        self.failures += 1
        gevent.sleep(retry_ms * random.uniform(0.5, 1.0) / 1000)

    def _position(self) -> dict[str, int | None]:
        """Return the known revision for a log line."""
        known = self.revision
        if known is None:
            return {"revision": None, "era": None}
        return {"revision": known.number, "era": known.era}
