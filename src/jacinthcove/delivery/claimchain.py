"""The chain of segments that holds the claims of one key shard.

Segment 0 is stored closed and names the first segment. A segment is created only after its
predecessor was closed by a conditional write that names it, and a closed segment takes no further
claims. So at most one segment of a shard is open, and whoever sees it open can read every earlier
claim. Wall clocks only propose when to open the next segment; the stored objects decide.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from jacinthcove.delivery import claimlog
from jacinthcove.delivery.claimlog import Entry, Segment
from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.store.store import Store

FIRST_SEGMENT = 0
CHECKED_SEGMENTS = 24
# Segments that lie twice the checked window back are deleted; no request lives that long.
KEPT_SEGMENTS = 2 * CHECKED_SEGMENTS
MAX_HOPS = 64


@dataclass(frozen=True)
class Found:
    """Where a key is claimed."""

    segment: int
    entry: Entry


class Chain:
    """Cached copies of one key shard's segments; every method may raise `StoreUnavailable`.

    `put(key, value, if_version)` writes to the store, paced by the caller.
    """

    def __init__(self, store: Store, shard: int, put: Callable[[str, bytes, int], int]):
        self.store = store
        self.shard = shard
        self.paced_put = put
        self.copies: dict[int, Segment] = {}
        self.head_number: int | None = None
        self.predecessors: dict[int, int] = {}
        self.seen: dict[int, int] = {}

    def copy(self, number: int) -> Segment:
        """Return the cached copy of a segment, reading it if there is none."""
        return self.copies.get(number) or self.refresh(number)

    def refresh(self, number: int) -> Segment:
        """Read a segment again; one that is not stored yet has version 0."""
        while True:
            item = self.store.get(claimlog.segment_key(self.shard, number))
            if item is None:
                segment = Segment(number, previous=self.predecessors.get(number))
            else:
                segment = claimlog.decode_segment(number, item.value, item.version)
            # A read that began before this router's last write must not replace its result.
            if segment.version >= self.seen.get(number, 0) or item is None:
                return self.remember(segment)

    def remember(self, segment: Segment) -> Segment:
        """Keep `segment` as the cached copy."""
        self.seen[segment.number] = segment.version
        self.copies[segment.number] = segment
        return segment

    def write(self, segment: Segment) -> Segment:
        """Store `segment` if its version still matches; raises `Conflict` otherwise.

        The cached copy is dropped unless the write is known to have taken effect.
        """
        self.copies.pop(segment.number, None)
        value = claimlog.encode_segment(segment)
        key = claimlog.segment_key(self.shard, segment.number)
        version = self.paced_put(key, value, segment.version)
        return self.remember(claimlog.stored(segment, version, value))

    def open_head(self, hour: int) -> Segment:
        """Return the open segment, opening the next one for a new hour or when it is full."""
        self.locate(hour)
        proposed = hour * claimlog.SEGMENTS_PER_HOUR
        for _ in range(MAX_HOPS):
            head = self.follow()
            full = head.reserved_bytes() > claimlog.SOFT_SEGMENT_BYTES
            if proposed <= head.number and not full:
                return head
            self.close(head, max(proposed, head.number + 1))
        raise StoreUnavailable(f"segments of key shard {self.shard} change too fast")

    def locate(self, hour: int) -> None:
        """Find the newest segment, creating segment 0 on the first use of the shard."""
        if self.head_number is not None:
            return
        objects = self.store.list(claimlog.shard_prefix(self.shard))
        segments = [
            claimlog.decode_segment(claimlog.segment_number(item.key), item.value, item.version)
            for item in objects
        ]
        # Only closed copies are complete: an open one may have been read before its last claims.
        self.copies.update({item.number: item for item in segments if item.closed})
        numbers = [item.number for item in segments]
        if not numbers:
            proposed = max(1, hour * claimlog.SEGMENTS_PER_HOUR)
            self.close(Segment(FIRST_SEGMENT), proposed)
        self.head_number = max(numbers, default=FIRST_SEGMENT)

    def follow(self) -> Segment:
        """Step over closed segments to the newest one."""
        head = self.copy(self.head_number or FIRST_SEGMENT)
        while head.next is not None:
            self.predecessors[head.next] = head.number
            head = self.copy(head.next)
            self.head_number = head.number
        return head

    def close(self, head: Segment, following: int) -> None:
        """Write the closing marker; a conflict means that another router changed the segment."""
        try:
            self.write(replace(head, next=following))
        except Conflict:
            self.refresh(head.number)
            return
        self.prune(following)

    def window(self, head: Segment) -> Iterator[Segment]:
        """Yield the segments to check for a key, newest first."""
        yield head
        count, number = 0, head.previous
        while number:
            count += 1
            if count > CHECKED_SEGMENTS and _hours_between(number, head.number) > CHECKED_SEGMENTS:
                return
            segment = self.copies.get(number)
            if segment is None or not segment.closed:
                segment = self.refresh(number)
            if segment.version == 0:
                return
            yield segment
            number = segment.previous

    def find(self, head: Segment, digest: str, skip: Callable[[Entry], bool]) -> Found | None:
        """Return the newest claim of a key that `skip` does not reject."""
        for segment in self.window(head):
            entry = segment.entries.get(digest)
            if entry is not None and not skip(entry):
                return Found(segment.number, entry)
        return None

    def closed_bytes(self) -> int:
        """Return the encoded size of the cached closed segments."""
        return sum(segment.size for segment in self.copies.values() if segment.closed)

    def drop_closed(self) -> None:
        """Forget the cached closed segments; they are read again when needed."""
        self.copies = {key: item for key, item in self.copies.items() if not item.closed}

    def prune(self, newest: int) -> None:
        """Delete segments far outside the checked window; segment 0 stays for ever."""
        numbers = sorted(number for number in self.copies if number)
        for number in numbers[:-KEPT_SEGMENTS]:
            segment = self.copies[number]
            if not segment.closed or _hours_between(number, newest) <= KEPT_SEGMENTS:
                continue
            del self.copies[number]
            try:
                self.store.delete(claimlog.segment_key(self.shard, number), segment.version)
            except (Conflict, StoreUnavailable):
                continue


def _hours_between(older: int, newer: int) -> int:
    return newer // claimlog.SEGMENTS_PER_HOUR - older // claimlog.SEGMENTS_PER_HOUR
