"""Linked segments in the store that hold the claims of one key shard.

The newest segment is the head. Segment 0 has no claims; it is stored closed and links to the first
segment. A segment is created only after its predecessor was closed by a conditional write that
links to it, and no claims are added to a closed segment. So at most one segment of a shard is open,
and a router that reads it as open can read all earlier claims. Wall clocks of routers only trigger
the opening of the next segment; the conditional writes decide which one it is.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from jacinthcove.delivery import claimformat
from jacinthcove.delivery.claimformat import Entry, Segment
from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.store.store import Store

FIRST_SEGMENT = 0
# A key is looked for in at least this many earlier segments and in those of as many hours.
CHECKED_SEGMENTS = 24
# Older segments are deleted, in number and in hours; no request runs for that long.
KEPT_SEGMENTS = 2 * CHECKED_SEGMENTS
MAX_OPEN_ATTEMPTS = 64


@dataclass(frozen=True)
class FoundClaim:
    """The claim of a key and the number of its segment."""

    segment: int
    entry: Entry


class SegmentChain:
    """Reads, writes and caches the segments of one key shard.

    Every method may raise `StoreUnavailable`. `put(key, value, if_version)` writes to the store
    and limits the write rate.
    """

    def __init__(self, store: Store, shard: int, put: Callable[[str, bytes, int], int]):
        self.store = store
        self.shard = shard
        self.paced_put = put
        self.cache: dict[int, Segment] = {}
        self.head_number: int | None = None
        self.predecessors: dict[int, int] = {}
        self.latest_versions: dict[int, int] = {}

    def copy(self, number: int) -> Segment:
        """Return a segment from the cache, or read it from the store."""
        return self.cache.get(number) or self.refresh(number)

    def refresh(self, number: int) -> Segment:
        """Read a segment from the store; one that is not stored yet has version 0."""
        while True:
            item = self.store.get(claimformat.segment_key(self.shard, number))
            if item is None:
                segment = Segment(number, previous=self.predecessors.get(number))
            else:
                segment = claimformat.decode_segment(number, item.value, item.version)
            # A read that began before this router's last write returns an older version, which must
            # not replace the cached result of the write.
            if segment.version >= self.latest_versions.get(number, 0) or item is None:
                return self.cache_segment(segment)

    def cache_segment(self, segment: Segment) -> Segment:
        """Put `segment` into the cache and return it."""
        self.latest_versions[segment.number] = segment.version
        self.cache[segment.number] = segment
        return segment

    def write(self, segment: Segment) -> Segment:
        """Write `segment` if its version still matches; raise `Conflict` otherwise.

        The segment stays in the cache only if the write is confirmed.
        """
        self.cache.pop(segment.number, None)
        value = claimformat.encode_segment(segment)
        key = claimformat.segment_key(self.shard, segment.number)
        version = self.paced_put(key, value, segment.version)
        return self.cache_segment(claimformat.with_version(segment, version, value))

    def open_head(self, hour: int) -> Segment:
        """Return the open segment; open the next one in a new hour or when it is full."""
        self.find_head(hour)
        proposed = hour * claimformat.SEGMENTS_PER_HOUR
        for _ in range(MAX_OPEN_ATTEMPTS):
            head = self.advance_head()
            full = head.reserved_bytes() > claimformat.SOFT_SEGMENT_BYTES
            if proposed <= head.number and not full:
                return head
            self.close(head, max(proposed, head.number + 1))
        raise StoreUnavailable(f"segments of key shard {self.shard} change too fast")

    def find_head(self, hour: int) -> None:
        """List the segments to find the newest one; create segment 0 of an unused shard."""
        if self.head_number is not None:
            return
        objects = self.store.list(claimformat.shard_prefix(self.shard))
        segments = [
            claimformat.decode_segment(
                claimformat.segment_number(item.key), item.value, item.version
            )
            for item in objects
        ]
        # Only closed segments are cached: an open one may have received claims since it was read.
        self.cache.update({item.number: item for item in segments if item.closed})
        numbers = [item.number for item in segments]
        if not numbers:
            proposed = max(1, hour * claimformat.SEGMENTS_PER_HOUR)
            self.close(Segment(FIRST_SEGMENT), proposed)
        self.head_number = max(numbers, default=FIRST_SEGMENT)

    def advance_head(self) -> Segment:
        """Follow the links from the last known head to the newest segment and return it."""
        head = self.copy(self.head_number or FIRST_SEGMENT)
        while head.next is not None:
            self.predecessors[head.next] = head.number
            head = self.copy(head.next)
            self.head_number = head.number
        return head

    def close(self, head: Segment, next_number: int) -> None:
        """Close `head` with a link to the next segment; after a conflict, only read it again."""
        try:
            self.write(replace(head, next=next_number))
        except Conflict:
            self.refresh(head.number)
            return
        self.prune(next_number)

    def segments_to_check(self, head: Segment) -> Iterator[Segment]:
        """Yield the segments to search for a key, newest first."""
        yield head
        count, number = 0, head.previous
        while number:
            count += 1
            if count > CHECKED_SEGMENTS and _hours_between(number, head.number) > CHECKED_SEGMENTS:
                return
            segment = self.cache.get(number)
            if segment is None or not segment.closed:
                segment = self.refresh(number)
            if segment.version == 0:
                return
            yield segment
            number = segment.previous

    def find_claim(
        self, head: Segment, digest: str, skip: Callable[[Entry], bool]
    ) -> FoundClaim | None:
        """Return the newest claim of a key for which `skip` is false, or None."""
        for segment in self.segments_to_check(head):
            entry = segment.entries.get(digest)
            if entry is not None and not skip(entry):
                return FoundClaim(segment.number, entry)
        return None

    def closed_bytes(self) -> int:
        """Return the encoded size of the closed segments in the cache."""
        return sum(segment.size for segment in self.cache.values() if segment.closed)

    def drop_closed(self) -> None:
        """Remove the closed segments from the cache; they are read again when needed."""
        self.cache = {key: item for key, item in self.cache.items() if not item.closed}

    def prune(self, newest: int) -> None:
        """Delete segments far older than those searched; segment 0 is kept forever.

        A segment that cannot be deleted now is tried again when it is next in the cache.
        """
        numbers = sorted(number for number in self.cache if number)
        for number in numbers[:-KEPT_SEGMENTS]:
            segment = self.cache[number]
            if not segment.closed or _hours_between(number, newest) <= KEPT_SEGMENTS:
                continue
            del self.cache[number]
            try:
                self.store.delete(claimformat.segment_key(self.shard, number), segment.version)
            except (Conflict, StoreUnavailable):
                continue


def _hours_between(older: int, newer: int) -> int:
    return newer // claimformat.SEGMENTS_PER_HOUR - older // claimformat.SEGMENTS_PER_HOUR
