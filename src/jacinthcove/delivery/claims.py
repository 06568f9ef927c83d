"""At-most-once claims of requests with an idempotency key, kept in the store.

A claim is granted once a conditional write that contains it is confirmed. All claims, outcomes and
releases that wait for a key shard go into its next write, and a router has at most one write per
key shard in flight. A write without a response is unconfirmed until the object is read at a higher
version, because until then it may still take effect.
"""

import math
import secrets
from enum import Enum

import gevent

from jacinthcove.clock import Clock
from jacinthcove.codes import ResultClass, ResultCode, result_class
from jacinthcove.delivery import claimformat
from jacinthcove.delivery.claimformat import ClaimUsage
from jacinthcove.delivery.claimqueue import (
    Claim,
    ClaimKind,
    ClaimOp,
    ClaimResult,
    EditKind,
    EditOp,
    ShardQueue,
    result_from_entry,
)
from jacinthcove.errors import RequestRefused, StoreUnavailable
from jacinthcove.store.store import Store

__all__ = ["Claim", "ClaimKind", "ClaimResult", "ClaimUsage", "Claims"]

BACKOFF_MIN_MS = 20
BACKOFF_MAX_MS = 500
# Time that `finish` and `release` wait before their write is left to the background.
EDIT_WAIT_MS = 1_000
# Time after its deadline in which a request may still store its outcome.
FINISH_GRACE_MS = 30_000
FLUSH_PERIOD_MS = 1_000
# Encoded size of the closed segments in memory; decoded they need about four times as much.
MAX_CACHE_BYTES = 16_000_000


class FlushResult(Enum):
    """How an attempt to write the queue of a key shard ended; BUSY: another greenlet writes it."""

    FLUSHED = 1
    BUSY = 2
    STORE_FAILED = 3


class Claims:
    """Claims keys for requests of one router and stores their outcomes."""

    def __init__(self, store: Store, clock: Clock, router_id: str, write_interval_ms: int = 0):
        self.store = store
        self.clock = clock
        self.router_id = router_id
        self.write_interval_ms = write_interval_ms
        self.next_write_at = 0
        self.queues: dict[int, ShardQueue] = {}
        self.flusher: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the background greenlet that writes waiting outcomes and releases."""
        self.flusher = gevent.spawn(self._flush_forever)

    def close(self, deadline: int) -> int:
        """Write waiting edits until `deadline` (monotonic ms); return the number of lost ones."""
        if self.flusher is not None:
            self.flusher.kill()
            self.flusher = None
        while (left := self.pending_edits()) and self.clock.now() < deadline:
            if self.flush_edits(deadline) == left:
                self.clock.sleep(BACKOFF_MIN_MS)
        return self.pending_edits()

    def claim(
        self, workspace: str, key: str, content_hash: str, request_id: str, deadline: int
    ) -> ClaimResult:
        """Claim `key` for one run of a request; `deadline` is in monotonic ms.

        Raises `RequestRefused(STORE_UNAVAILABLE)` if there is no result by the deadline. The caller
        must then not send the request; a claim that may be in the store is released in the
        background.
        """
        digest = claimformat.key_digest(workspace, key)
        queue = self._shard_queue(claimformat.key_shard(digest))
        expected_end_wall_ms = (
            self.clock.wall() + max(0, deadline - self.clock.now()) + FINISH_GRACE_MS
        )
        claim_id = secrets.token_hex(8)
        entry = claimformat.Entry(
            claim_id,
            self.router_id[: claimformat.MAX_ID_CHARS],
            request_id[: claimformat.MAX_ID_CHARS],
            content_hash[: claimformat.MAX_ID_CHARS],
            expected_end_wall_ms,
        )
        op = ClaimOp(claim_id, digest, deadline, entry=entry, workspace=workspace, key=key)
        queue.waiting.append(op)
        try:
            self._await_settled(queue, op, deadline)
        finally:
            if op.result is None:
                queue.withdraw(op)
        if op.result is None:
            raise RequestRefused(
                ResultCode.STORE_UNAVAILABLE,
                "the request was not sent because its key could not be claimed in time",
                retry_after_ms=BACKOFF_MAX_MS * 2,
            )
        return op.result

    def finish(self, claim: Claim, code: ResultCode, output: bytes, usage: ClaimUsage) -> bool:
        """Store the outcome; return False if the write is left to the background.

        A code that says that the request did not run releases the claim instead.
        """
        if result_class(code) is ResultClass.NOT_RUN:
            return self.release(claim)
        outcome = claimformat.make_outcome(code, output, usage)
        return self._submit_edit(
            claim, EditOp(claim.id, claim.digest, EditKind.FINISH, claim.segment, outcome=outcome)
        )

    def release(self, claim: Claim) -> bool:
        """Release the key of a request that did not run.

        Returns False if the write is left to the background. This router treats the claim as
        released at once, other routers only after the write.
        """
        return self._submit_edit(
            claim, EditOp(claim.id, claim.digest, EditKind.RELEASE, claim.segment)
        )

    def lookup(self, workspace: str, key: str) -> ClaimResult | None:
        """Return the state of a key, or None if it is unclaimed.

        Raises `RequestRefused(STORE_UNAVAILABLE)` if the store does not respond.
        """
        digest = claimformat.key_digest(workspace, key)
        queue = self._shard_queue(claimformat.key_shard(digest))
        try:
            found = queue.read_claim(digest, self._hour())
        except StoreUnavailable:
            raise RequestRefused(
                ResultCode.STORE_UNAVAILABLE, "the state of the key could not be read"
            ) from None
        return (
            result_from_entry(found.entry, found.entry.content_hash, self.clock.wall())
            if found
            else None
        )

    def flush_edits(self, deadline: int) -> int:
        """Try once to write the waiting outcomes and releases; return how many remain.

        After `deadline` (monotonic ms) no further key shard is written.
        """
        for queue in list(self.queues.values()):
            if any(isinstance(op, EditOp) for op in queue.waiting) and self.clock.now() < deadline:
                self._flush(queue)
        return self.pending_edits()

    def pending_edits(self) -> int:
        """Return the number of outcomes and releases that wait to be written."""
        return sum(
            1 for queue in self.queues.values() for op in queue.waiting if isinstance(op, EditOp)
        )

    def trim_cache(self) -> None:
        """Limit the cached closed segments; drop those of the least recently used key shards."""
        left = MAX_CACHE_BYTES
        for queue in reversed(list(self.queues.values())):
            left -= queue.chain.closed_bytes()
            if left < 0 and not queue.has_leader:
                queue.chain.drop_closed()

    def _submit_edit(self, claim: Claim, op: EditOp) -> bool:
        queue = self._shard_queue(claimformat.key_shard(claim.digest))
        queue.add_edit(op)
        self._await_settled(queue, op, self.clock.now() + EDIT_WAIT_MS)
        return op.settled

    def _await_settled(self, queue: ShardQueue, op: ClaimOp | EditOp, deadline: int) -> None:
        """Write the queue, or wait for its leader, until `op` is settled or `deadline` passes."""
        backoff = BACKOFF_MIN_MS
        while not op.settled and (left := deadline - self.clock.now()) > 0:
            if queue.has_leader:
                self.clock.wait(op.event, left)
                op.event.clear()
            elif self._flush(queue, min(backoff, left)) is FlushResult.STORE_FAILED:
                backoff = min(backoff * 2, BACKOFF_MAX_MS)

    def _flush(self, queue: ShardQueue, backoff_ms: int = 0) -> FlushResult:
        """Do one round of writes as leader; after a failure, stay leader for the backoff."""
        if queue.has_leader:
            return FlushResult.BUSY
        queue.has_leader = True
        try:
            queue.round(self._hour(), self.clock.wall(), self.clock.now())
            return FlushResult.FLUSHED
        except StoreUnavailable:
            if backoff_ms:
                self.clock.sleep(backoff_ms)
            return FlushResult.STORE_FAILED
        finally:
            queue.has_leader = False
            queue.wake_next_leader()

    def _shard_queue(self, shard: int) -> ShardQueue:
        # Moved to the end, which keeps the shards in the order of their last use.
        queue = self.queues.pop(shard, None) or ShardQueue(self.store, shard, self._paced_put)
        self.queues[shard] = queue
        return queue

    def _paced_put(self, key: str, value: bytes, if_version: int) -> int:
        """Write to the store, at least `write_interval_ms` after this router's previous write."""
        now = self.clock.now()
        slot = max(now, self.next_write_at)
        self.next_write_at = slot + self.write_interval_ms
        if slot > now:
            self.clock.sleep(slot - now)
        return self.store.put(key, value, if_version)

    def _hour(self) -> int:
        return math.floor(self.clock.wall() / claimformat.HOUR_MS)

    def _flush_forever(self) -> None:
        while True:
            self.clock.sleep(FLUSH_PERIOD_MS)
            self.flush_edits(self.clock.now() + FLUSH_PERIOD_MS)
            self.trim_cache()
