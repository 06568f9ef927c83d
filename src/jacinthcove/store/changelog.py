"""The recent changes of one kind, which this router serves to other routers."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from gevent.event import Event

from jacinthcove.clock import Clock
from jacinthcove.errors import StoreUnavailable
from jacinthcove.store.kinds import Change, StoreRevision, WatchResult

# Readers ask at least every few seconds; one that is further behind asks the store.
MAX_BATCHES = 256


@dataclass(frozen=True)
class ChangeBatch:
    """The changes of one store response, up to `revision`."""

    revision: StoreRevision
    changes: Sequence[Change]


class ChangeLog:
    """Changes after `base_revision`, kept while this router watches the store itself.

    All times are boot milliseconds.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.watches_store = False
        self.base_revision = self.revision = StoreRevision(0, 0)
        # The revision of the last change of this kind; `revision` also rises with other kinds.
        self.changed_revision = self.revision
        self.known_at = 0
        self.batches: deque[ChangeBatch] = deque()
        self.changed = Event()

    def restart(self, revision: StoreRevision, known_at: int) -> None:
        """Drop all batches and start at `revision`, from which the store gave a full list."""
        self.base_revision = self.revision = self.changed_revision = revision
        self.known_at = known_at
        self.batches.clear()
        self.watches_store = True
        self._wake_readers()

    def add(self, since: StoreRevision, result: WatchResult, known_at: int) -> None:
        """Add the result of a store watch that began at revision `since`."""
        if not self.watches_store or since != self.revision:
            self.restart(since, known_at)
        self.known_at = known_at
        self.revision = result.revision
        if result.changes:
            self.batches.append(ChangeBatch(result.revision, result.changes))
            self.changed_revision = result.revision
            if len(self.batches) > MAX_BATCHES:
                self.base_revision = self.batches.popleft().revision
            self._wake_readers()

    def stop(self) -> None:
        """Stop serving: this router no longer watches the store itself."""
        if self.watches_store:
            self.watches_store = False
            self._wake_readers()

    def since(self, revision: StoreRevision, wait_ms: int) -> WatchResult:
        """Return the changes after `revision`, waiting up to `wait_ms` for the first one.

        A batch may begin before `revision`; its changes, applied in order, lead to the same state.
        Raises `StoreUnavailable` when the caller has to ask the store instead.
        """
        ends_at = self.clock.boot() + wait_ms
        while True:
            same_era = revision.era == self.revision.era
            if not self.watches_store or not same_era or revision < self.base_revision:
                raise StoreUnavailable("this router does not have the changes since that revision")
            changes = [
                change
                for batch in self.batches
                if batch.revision > revision
                for change in batch.changes
            ]
            left_ms = ends_at - self.clock.boot()
            if changes or left_ms <= 0:
                age_ms = max(0, self.clock.boot() - self.known_at)
                newest = max(revision, self.revision)
                return WatchResult(changes, newest, relay_age_ms=age_ms)
            self.clock.wait(self.changed, left_ms)

    def _wake_readers(self) -> None:
        event, self.changed = self.changed, Event()
        event.set()
