"""The operations that wait for one key shard and the writes that carry them."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum

from gevent.event import Event

from jacinthcove.codes import ResultClass, result_class
from jacinthcove.delivery import claimlog
from jacinthcove.delivery.claimchain import Chain, Found
from jacinthcove.delivery.claimlog import Entry, Outcome, Segment
from jacinthcove.errors import Conflict
from jacinthcove.store.store import Store


class ClaimKind(Enum):
    """The answer to an attempt to claim a key."""

    GRANTED = "granted"
    REPLAY = "replay"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    KEY_REUSED = "key_reused"


@dataclass(frozen=True)
class Claim:
    """A granted claim; it ends with `finish` or `release`."""

    id: str
    workspace: str
    key: str
    digest: str
    segment: int


@dataclass(frozen=True)
class ClaimResult:
    """`claim` is set when granted, `outcome` when an earlier request has a stored end."""

    kind: ClaimKind
    claim: Claim | None = None
    outcome: Outcome | None = None


@dataclass(frozen=True)
class Doubt:
    """A write on this version of a segment has no answer and may still take effect."""

    segment: int
    version: int


class EditKind(Enum):
    """What an edit does to a claim."""

    FINISH = 1
    RELEASE = 2


@dataclass(eq=False)
class ClaimOp:
    """A claim that waits for a write; `deadline` is in monotonic ms."""

    claim_id: str
    digest: str
    deadline: int
    entry: Entry
    workspace: str
    key: str
    result: ClaimResult | None = None
    doubt: Doubt | None = None
    event: Event = field(default_factory=Event)

    @property
    def settled(self) -> bool:
        """Whether the claim has a result."""
        return self.result is not None

    def grant(self, segment: int) -> None:
        """Settle the claim as granted in `segment`."""
        claim = Claim(self.claim_id, self.workspace, self.key, self.digest, segment)
        self.settle(ClaimResult(ClaimKind.GRANTED, claim))

    def settle(self, result: ClaimResult) -> None:
        """Set the result and wake the waiting greenlet."""
        self.result = result
        self.doubt = None
        self.event.set()


@dataclass(eq=False)
class EditOp:
    """An outcome or a release that waits for a write to the claim's segment."""

    claim_id: str
    digest: str
    kind: EditKind
    segment: int
    outcome: Outcome | None = None
    doubt: Doubt | None = None
    settled: bool = False
    event: Event = field(default_factory=Event)

    def settle(self) -> None:
        """Mark the edit as written and wake the waiting greenlet."""
        self.settled = True
        self.event.set()


def result_of(entry: Entry, content_hash: str, wall_ms: int) -> ClaimResult:
    """Return what an existing claim means for a request with `content_hash`."""
    if entry.content_hash != content_hash:
        return ClaimResult(ClaimKind.KEY_REUSED)
    outcome = entry.outcome
    if outcome is None:
        running = wall_ms < entry.until_wall
        return ClaimResult(ClaimKind.IN_PROGRESS if running else ClaimKind.UNKNOWN)
    if result_class(outcome.code) is ResultClass.MAY_HAVE_RUN:
        return ClaimResult(ClaimKind.UNKNOWN, outcome=outcome)
    return ClaimResult(ClaimKind.REPLAY, outcome=outcome)


class ShardQueue:
    """What waits for the next writes of one key shard; one greenlet at a time leads them."""

    def __init__(self, store: Store, shard: int, put: Callable[[str, bytes, int], int]):
        self.chain = Chain(store, shard, put)
        self.waiting: list[ClaimOp | EditOp] = []
        self.leading = False
        # Claims that this router made and never sent, or ended as not run.
        self.unsent: set[str] = set()

    def add_edit(self, op: EditOp) -> None:
        """Let an outcome or release wait for the next write."""
        if op.kind is EditKind.RELEASE:
            self.unsent.add(op.claim_id)
        self.waiting.append(op)

    def abandon(self, op: ClaimOp) -> None:
        """Withdraw a claim; one whose write is in doubt is released by a later write."""
        self.waiting.remove(op)
        if op.doubt is not None:
            release = EditOp(op.claim_id, op.digest, EditKind.RELEASE, op.doubt.segment)
            release.doubt = op.doubt
            self.add_edit(release)

    def wake(self) -> None:
        """Let one waiting greenlet take the lead."""
        if self.waiting:
            self.waiting[0].event.set()

    def look_up(self, digest: str, hour: int) -> Found | None:
        """Read the claim of a key, with a fresh copy unless it has an outcome."""
        self.chain.locate(hour)
        found = self.chain.find(self.chain.follow(), digest, self._is_unsent)
        if found is not None and found.entry.outcome is not None:
            return found
        self.chain.refresh(found.segment if found else self.chain.follow().number)
        return self.chain.find(self.chain.follow(), digest, self._is_unsent)

    def round(self, hour: int, wall_ms: int, now: int) -> None:
        """Decide the waiting claims and do one write per segment; may raise `StoreUnavailable`."""
        try:
            self._write_all(hour, wall_ms, now)
        finally:
            # Also after a failed write: a settled claim that stays would be granted once more.
            self.waiting = [op for op in self.waiting if not op.settled]

    def _write_all(self, hour: int, wall_ms: int, now: int) -> None:
        claims = [op for op in self.waiting if isinstance(op, ClaimOp) and op.deadline > now]
        edits = [op for op in self.waiting if isinstance(op, EditOp)]
        if claims:
            head = self.chain.open_head(hour)
            head, adds = self._decide(head, claims, wall_ms)
            self._write(head.number, adds, [op for op in edits if op.segment == head.number])
        for number in sorted({op.segment for op in edits if not op.settled}):
            left = [op for op in edits if op.segment == number and not op.settled]
            self._write(number, [], left)

    def _decide(
        self, head: Segment, claims: list[ClaimOp], wall_ms: int
    ) -> tuple[Segment, list[ClaimOp]]:
        """Settle claims of taken keys; return the head and the claims to add to it."""
        adds: dict[str, ClaimOp] = {}
        fresh: set[int] = set()
        for op in claims:
            found = self.chain.find(head, op.digest, self._is_unsent)
            if found and not found.entry.outcome and found.segment not in fresh:
                fresh.add(found.segment)
                self.chain.refresh(found.segment)
                head = self.chain.copy(head.number)
                found = self.chain.find(head, op.digest, self._is_unsent)
            if found is None:
                adds.setdefault(op.digest, op)
            elif found.entry.claim_id == op.claim_id:
                op.grant(found.segment)
            else:
                op.settle(result_of(found.entry, op.entry.content_hash, wall_ms))
        return head, list(adds.values())

    def _fitting(
        self, segment: Segment, entries: dict[str, Entry], adds: list[ClaimOp]
    ) -> list[ClaimOp]:
        """Keep the claims that fit and whose keys are free in the copy about to be written.

        The copy may be newer than the one they were decided on. The others wait for another round.
        """
        if segment.closed:
            return []
        each = claimlog.ENTRY_RESERVE_BYTES + claimlog.OUTCOME_RESERVE_BYTES
        room = max(0, (claimlog.MAX_SEGMENT_BYTES - segment.reserved_bytes()) // each)
        free = [
            op for op in adds if op.digest not in entries or self._is_unsent(entries[op.digest])
        ]
        return free[:room]

    def _write(self, number: int, adds: list[ClaimOp], edits: list[EditOp]) -> None:
        """Write one segment with claims and edits; after a conflict they wait for a later round."""
        segment = self._copy_past_doubt(number, edits)
        entries = dict(segment.entries)
        needed = [op for op in edits if self._apply(segment, entries, op)]
        adds = self._fitting(segment, entries, adds)
        for claim in adds:
            entries[claim.digest] = claim.entry
        if not adds and not needed:
            return
        batch: list[ClaimOp | EditOp] = [*adds, *needed]
        for op in batch:
            op.doubt = Doubt(number, segment.version)
        try:
            self.chain.write(replace(segment, entries=entries))
        except Conflict:
            self.chain.refresh(number)
            return
        for claim in adds:
            claim.grant(number)
        for edit in needed:
            self._settle_edit(edit)

    def _copy_past_doubt(self, number: int, edits: list[EditOp]) -> Segment:
        """Return a copy that is not older than the writes in doubt."""
        segment = self.chain.copy(number)
        if any(op.doubt and op.doubt.version >= segment.version for op in edits):
            segment = self.chain.refresh(number)
        return segment

    def _apply(self, segment: Segment, entries: dict[str, Entry], op: EditOp) -> bool:
        """Apply an edit to `entries`; return whether it needs the write."""
        entry = entries.get(op.digest)
        if entry is None or entry.claim_id != op.claim_id:
            # While the version stays, a write in doubt could still add the claim; any write to
            # the object makes that impossible.
            if op.doubt is not None and op.doubt.version >= segment.version:
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
        self.unsent.discard(op.claim_id)

    def _is_unsent(self, entry: Entry) -> bool:
        return entry.claim_id in self.unsent
