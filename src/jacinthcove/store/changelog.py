"""The recent changes of one kind, which this router serves to other routers."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from gevent.event import Event

from jacinthcove.clock import Clock
from jacinthcove.entries.screen import object_bytes
from jacinthcove.errors import StoreUnavailable
from jacinthcove.store.kinds import Change, StoreRevision, WatchResult
from jacinthcove.store.snapshot import Snapshot, encode_changes

# Readers ask at least every few seconds; one that is further behind asks the store.
MAX_BATCHES = 256
# Limit for the changes of one kind; a router follows five kinds.
MAX_BYTES = 4 * 1024 * 1024
# A reply to another router has more only if its first batch is larger.
MAX_REPLY_BYTES = 1024 * 1024


@dataclass(frozen=True)
class ChangeBatch:
    """The changes of one store response, up to `revision`; their values are `EncodedJson`.

    At `known_at` the store had nothing newer.
    """

    revision: StoreRevision
    known_at: int
    changes: Sequence[Change]
    size_bytes: int


def _encode_batch(result: WatchResult, known_at: int) -> ChangeBatch:
    encoded = encode_changes(result.changes)
    size = sum(object_bytes(change.object) for change in encoded)
    return ChangeBatch(result.revision, known_at, encoded, size)


class ChangeLog:
    """Changes after `base_revision`, kept while this router watches the store itself.

    They take `MAX_BYTES` at most. `snapshot` has all objects, also while another router watches the
    store. All times are boot milliseconds.
    """

    def __init__(self, clock: Clock, max_snapshot_bytes: int | None = None):
        self.clock = clock
        self.watches_store = False
        self.base_revision = self.revision = StoreRevision(0, 0)
        # The revision of the last change of this kind; `revision` also rises with other kinds.
        self.changed_revision = self.revision
        self.known_at = 0
        self.batches: deque[ChangeBatch] = deque()
        self.kept_bytes = 0
        self.changed = Event()
        self.snapshot = Snapshot(max_snapshot_bytes)

    def restart(self, revision: StoreRevision, known_at: int) -> None:
        """Drop all batches and start at `revision`, from which the store gave a full list."""
        self.base_revision = self.revision = self.changed_revision = revision
        self.known_at = known_at
        self._clear()
        self.watches_store = True
        self._wake_readers()

    def add(self, since: StoreRevision, result: WatchResult, known_at: int) -> None:
        """Add the result of a store watch that began at revision `since`."""
        if not self.watches_store or since != self.revision:
            self.restart(since, known_at)
        self.known_at = known_at
        self.revision = result.revision
        if result.changes:
            self._append(_encode_batch(result, known_at))
            self.changed_revision = result.revision
            self._wake_readers()

    def stop(self) -> None:
        """Stop serving: this router no longer watches the store itself."""
        if self.watches_store:
            self.watches_store = False
            self._clear()
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
            newer = [batch for batch in self.batches if batch.revision > revision]
            left_ms = ends_at - self.clock.boot()
            if newer or left_ms <= 0:
                return self._reply(newer, revision)
            self.clock.wait(self.changed, left_ms)

    def _reply(self, newer: list[ChangeBatch], revision: StoreRevision) -> WatchResult:
        """Return the first of the batches; a reader at `revision` asks again for the rest."""
        changes: list[Change] = []
        size_bytes, known_at = 0, self.known_at
        for batch in newer:
            size_bytes += batch.size_bytes
            if changes and size_bytes > MAX_REPLY_BYTES:
                return self._result(changes, revision, known_at)
            changes += batch.changes
            revision, known_at = batch.revision, batch.known_at
        return self._result(changes, max(revision, self.revision), self.known_at)

    def _result(self, changes: list[Change], revision: StoreRevision, known_at: int) -> WatchResult:
        age_ms = max(0, self.clock.boot() - known_at)
        return WatchResult(changes, revision, relay_age_ms=age_ms)

    def _append(self, batch: ChangeBatch) -> None:
        self.batches.append(batch)
        self.kept_bytes += batch.size_bytes
        while len(self.batches) > MAX_BATCHES or self.kept_bytes > MAX_BYTES:
            oldest = self.batches.popleft()
            self.kept_bytes -= oldest.size_bytes
            self.base_revision = oldest.revision

    def _clear(self) -> None:
        self.batches.clear()
        self.kept_bytes = 0

    def _wake_readers(self) -> None:
        event, self.changed = self.changed, Event()
        event.set()
