"""Queue of claims and edits of one key shard, written together in batches."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum

from gevent.event import Event

from jacinthcove.codes import ResultClass, result_class
from jacinthcove.delivery import claimformat
from jacinthcove.delivery.claimformat import Entry, Outcome, Segment
from jacinthcove.delivery.claimsegments import FoundClaim, SegmentChain
from jacinthcove.errors import Conflict
from jacinthcove.store.store import Store


class ClaimKind(Enum):
    """The result of an attempt to claim a key.

    UNKNOWN means that an earlier request may have run but its outcome is not known.
    """

    GRANTED = "granted"
    REPLAY = "replay"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    KEY_REUSED = "key_reused"


@dataclass(frozen=True)
class Claim:
    """A granted claim; the owner ends it with `Claims.finish` or `Claims.release`."""

    id: str
    workspace: str
    key: str
    digest: str
    segment: int


@dataclass(frozen=True)
class ClaimResult:
    """`claim` is set if granted, `outcome` if the outcome of an earlier request is stored."""

    kind: ClaimKind
    claim: Claim | None = None
    outcome: Outcome | None = None


@dataclass(frozen=True)
class UnconfirmedWrite:
    """A write to this version of a segment without a response; it may still take effect."""

    segment: int
    version: int


class EditKind(Enum):
    """Whether an edit stores the outcome of a claim or removes the claim."""

    FINISH = 1
    RELEASE = 2


@dataclass(eq=False)
class ClaimOp:
    """A claim that waits to be written; `deadline` is in monotonic ms."""

    claim_id: str
    digest: str
    deadline: int
    entry: Entry
    workspace: str
    key: str
    result: ClaimResult | None = None
    unconfirmed_write: UnconfirmedWrite | None = None
    event: Event = field(default_factory=Event)

    @property
    def settled(self) -> bool:
        """Whether the claim has a result and waits no longer."""
        return self.result is not None

    def grant(self, segment: int) -> None:
        """Set the result to granted, with the claim stored in `segment`."""
        claim = Claim(self.claim_id, self.workspace, self.key, self.digest, segment)
        self.settle(ClaimResult(ClaimKind.GRANTED, claim))

    def settle(self, result: ClaimResult) -> None:
        """Set the result and wake the waiting greenlet."""
        self.result = result
        self.unconfirmed_write = None
        self.event.set()


@dataclass(eq=False)
class EditOp:
    """An outcome or a release that waits to be written to the claim's segment."""

    claim_id: str
    digest: str
    kind: EditKind
    segment: int
    outcome: Outcome | None = None
    unconfirmed_write: UnconfirmedWrite | None = None
    settled: bool = False
    event: Event = field(default_factory=Event)

    def settle(self) -> None:
        """Mark the edit as written and wake the waiting greenlet."""
        self.settled = True
        self.event.set()


def result_from_entry(entry: Entry, content_hash: str, wall_ms: int) -> ClaimResult:
    """Return the result for a request with `content_hash` whose key is already claimed."""
    if entry.content_hash != content_hash:
        return ClaimResult(ClaimKind.KEY_REUSED)
    outcome = entry.outcome
    if outcome is None:
        running = wall_ms < entry.expected_end_wall_ms
        return ClaimResult(ClaimKind.IN_PROGRESS if running else ClaimKind.UNKNOWN)
    if result_class(outcome.code) is ResultClass.MAY_HAVE_RUN:
        return ClaimResult(ClaimKind.UNKNOWN, outcome=outcome)
    return ClaimResult(ClaimKind.REPLAY, outcome=outcome)


class ShardQueue:
    """Claims and edits that wait for the next writes of one key shard.

    One of the waiting greenlets is the leader and writes for all of them.
    """

    def __init__(self, store: Store, shard: int, put: Callable[[str, bytes, int], int]):
        self.chain = SegmentChain(store, shard, put)
        self.waiting: list[ClaimOp | EditOp] = []
        self.has_leader = False
        # Ids of claims whose release is not yet written; their requests were not sent or not run.
        self.released_claims: set[str] = set()

    def add_edit(self, op: EditOp) -> None:
        """Queue an outcome or a release for the next write."""
        if op.kind is EditKind.RELEASE:
            self.released_claims.add(op.claim_id)
        self.waiting.append(op)

    def withdraw(self, op: ClaimOp) -> None:
        """Remove a waiting claim; if its write is unconfirmed, queue its release."""
        self.waiting.remove(op)
        if op.unconfirmed_write is not None:
            release = EditOp(op.claim_id, op.digest, EditKind.RELEASE, op.unconfirmed_write.segment)
            release.unconfirmed_write = op.unconfirmed_write
            self.add_edit(release)

    def wake_next_leader(self) -> None:
        """Wake the first waiting greenlet, which becomes the leader."""
        if self.waiting:
            self.waiting[0].event.set()

    def read_claim(self, digest: str, hour: int) -> FoundClaim | None:
        """Return the claim of a key; without a cached outcome, read the segment again first."""
        self.chain.find_head(hour)
        found = self.chain.find_claim(self.chain.advance_head(), digest, self._is_released)
        if found is not None and found.entry.outcome is not None:
            return found
        self.chain.refresh(found.segment if found else self.chain.advance_head().number)
        return self.chain.find_claim(self.chain.advance_head(), digest, self._is_released)

    def round(self, hour: int, wall_ms: int, now: int) -> None:
        """Do one round of writes: decide the waiting claims and write each segment once.

        Raises `StoreUnavailable` when a write or read fails.
        """
        try:
            self._write_segments(hour, wall_ms, now)
        finally:
            # Also after a failed write: a settled claim left in the queue would be granted again.
            self.waiting = [op for op in self.waiting if not op.settled]

    def _write_segments(self, hour: int, wall_ms: int, now: int) -> None:
        claims = [op for op in self.waiting if isinstance(op, ClaimOp) and op.deadline > now]
        edits = [op for op in self.waiting if isinstance(op, EditOp)]
        if claims:
            head = self.chain.open_head(hour)
            head, new_claims = self._decide_claims(head, claims, wall_ms)
            self._write_segment(
                head.number, new_claims, [op for op in edits if op.segment == head.number]
            )
        for number in sorted({op.segment for op in edits if not op.settled}):
            remaining = [op for op in edits if op.segment == number and not op.settled]
            self._write_segment(number, [], remaining)

    def _decide_claims(
        self, head: Segment, claims: list[ClaimOp], wall_ms: int
    ) -> tuple[Segment, list[ClaimOp]]:
        """Settle claims whose key is already claimed; return the head and the claims to add to it.

        Reads a segment again before it decides on an entry without outcome.
        """
        new_claims: dict[str, ClaimOp] = {}
        refreshed: set[int] = set()
        for op in claims:
            found = self.chain.find_claim(head, op.digest, self._is_released)
            if found and not found.entry.outcome and found.segment not in refreshed:
                refreshed.add(found.segment)
                self.chain.refresh(found.segment)
                head = self.chain.copy(head.number)
                found = self.chain.find_claim(head, op.digest, self._is_released)
            if found is None:
                new_claims.setdefault(op.digest, op)
            elif found.entry.claim_id == op.claim_id:
                op.grant(found.segment)
            else:
                op.settle(result_from_entry(found.entry, op.entry.content_hash, wall_ms))
        return head, list(new_claims.values())

    def _select_writable(
        self, segment: Segment, entries: dict[str, Entry], new_claims: list[ClaimOp]
    ) -> list[ClaimOp]:
        """Return the claims that fit into `segment` and whose keys are free in `entries`.

        `segment` may be newer than the copy on which the claims were decided. The other claims
        wait for the next round.
        """
        if segment.closed:
            return []
        claim_bytes = claimformat.ENTRY_RESERVE_BYTES + claimformat.OUTCOME_RESERVE_BYTES
        capacity = max(0, (claimformat.MAX_SEGMENT_BYTES - segment.reserved_bytes()) // claim_bytes)
        free = [
            op
            for op in new_claims
            if op.digest not in entries or self._is_released(entries[op.digest])
        ]
        return free[:capacity]

    def _write_segment(self, number: int, new_claims: list[ClaimOp], edits: list[EditOp]) -> None:
        """Write claims and edits to one segment; after a conflict they wait for the next round."""
        segment = self._segment_after_unconfirmed(number, edits)
        entries = dict(segment.entries)
        needed = [op for op in edits if self._apply_edit(segment, entries, op)]
        new_claims = self._select_writable(segment, entries, new_claims)
        for claim in new_claims:
            entries[claim.digest] = claim.entry
        if not new_claims and not needed:
            return
        batch: list[ClaimOp | EditOp] = [*new_claims, *needed]
        for op in batch:
            op.unconfirmed_write = UnconfirmedWrite(number, segment.version)
        try:
            self.chain.write(replace(segment, entries=entries))
        except Conflict:
            self.chain.refresh(number)
            return
        for claim in new_claims:
            claim.grant(number)
        for edit in needed:
            self._settle_edit(edit)

    def _segment_after_unconfirmed(self, number: int, edits: list[EditOp]) -> Segment:
        """Return a copy of the segment, read again if an unconfirmed write may have changed it."""
        segment = self.chain.copy(number)
        if any(
            op.unconfirmed_write and op.unconfirmed_write.version >= segment.version for op in edits
        ):
            segment = self.chain.refresh(number)
        return segment

    def _apply_edit(self, segment: Segment, entries: dict[str, Entry], op: EditOp) -> bool:
        """Apply an edit to `entries`; return whether the segment must be written for it."""
        entry = entries.get(op.digest)
        if entry is None or entry.claim_id != op.claim_id:
            # The unconfirmed write can still add the claim until the object has a higher version,
            # so this edit has to write the object, which raises the version.
            if op.unconfirmed_write is not None and op.unconfirmed_write.version >= segment.version:
                return True
            self._settle_edit(op)
            return False
        if op.kind is EditKind.RELEASE:
            del entries[op.digest]
            return True
        if entry.outcome is not None:
            self._settle_edit(op)
            return False
        entries[op.digest] = replace(entry, outcome=op.outcome)
        return True

    def _settle_edit(self, op: EditOp) -> None:
        op.settle()
        self.released_claims.discard(op.claim_id)

    def _is_released(self, entry: Entry) -> bool:
        return entry.claim_id in self.released_claims
