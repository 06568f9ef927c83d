"""All objects of one kind, which this router gives to other routers."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from jacinthcove.entries.screen import object_bytes
from jacinthcove.store.encodedjson import EncodedJson, encode_json
from jacinthcove.store.kinds import Change, KindObject, Listing, StoreRevision

# Limit for the objects of one kind. 10,000 targets take about 8 MiB.
MAX_SNAPSHOT_BYTES = 10 * 1024 * 1024
# A page has more bytes only if its first object is larger.
MAX_PAGE_BYTES = 512 * 1024


def encode_object(item: KindObject) -> KindObject:
    """Return an object whose values are `EncodedJson`."""
    return replace(item, spec=_kept(item.spec), status=_kept(item.status))


def encode_changes(changes: Iterable[Change]) -> list[Change]:
    """Return changes whose values are `EncodedJson`."""
    return [replace(change, object=encode_object(change.object)) for change in changes]


def _kept(value: Any) -> EncodedJson:
    if isinstance(value, EncodedJson):
        return value
    # The encoder returns bytes with much room to spare, which a copy has not.
    return EncodedJson(bytes(memoryview(encode_json(value))))


@dataclass(frozen=True)
class SnapshotPage:
    """Objects in the order of their names; `more` says that others follow."""

    objects: list[KindObject]
    more: bool


class Snapshot:
    """The objects of a kind at `revision`, which the store confirmed at boot ms `known_at`.

    `revision` is None while they are not known, or take more than `max_bytes`.
    """

    def __init__(self, max_bytes: int | None = None) -> None:
        # None means `MAX_SNAPSHOT_BYTES`.
        self.max_bytes = max_bytes
        self.revision: StoreRevision | None = None
        self.known_at = 0
        self.objects: dict[str, KindObject] = {}
        self.kept_bytes = 0

    def replace(self, listing: Listing, known_at: int) -> None:
        """Replace all objects by the listed ones."""
        self._clear()
        self.revision, self.known_at = listing.revision, known_at
        for item in listing.objects:
            self._put(item)
        self._check_size()

    def apply(self, changes: Iterable[Change], revision: StoreRevision, known_at: int) -> None:
        """Apply the changes up to `revision`."""
        if self.revision is None:
            return
        for change in changes:
            self._remove(change.object.name)
            if not change.deleted:
                self._put(change.object)
        self.revision, self.known_at = revision, known_at
        self._check_size()

    def has_room(self, item: KindObject) -> bool:
        """Return whether an object fits beside the others; True while they are not known."""
        if self.revision is None:
            return True
        before = self.objects.get(item.name)
        freed_bytes = object_bytes(before) if before is not None else 0
        return self.kept_bytes - freed_bytes + object_bytes(item) <= self._limit()

    def page(self, after: str) -> SnapshotPage:
        """Return the next objects whose names sort after `after`, up to `MAX_PAGE_BYTES`."""
        found: list[KindObject] = []
        page_bytes = 0
        for name in sorted(name for name in self.objects if name > after):
            item = self.objects[name]
            page_bytes += object_bytes(item)
            if found and page_bytes > MAX_PAGE_BYTES:
                return SnapshotPage(found, True)
            found.append(item)
        return SnapshotPage(found, False)

    def _put(self, item: KindObject) -> None:
        self._remove(item.name)
        encoded = self.objects[item.name] = encode_object(item)
        self.kept_bytes += object_bytes(encoded)

    def _remove(self, name: str) -> None:
        item = self.objects.pop(name, None)
        if item is not None:
            self.kept_bytes -= object_bytes(item)

    def _limit(self) -> int:
        return MAX_SNAPSHOT_BYTES if self.max_bytes is None else self.max_bytes

    def _check_size(self) -> None:
        if self.kept_bytes > self._limit():
            self._clear()

    def _clear(self) -> None:
        self.revision = None
        self.objects = {}
        self.kept_bytes = 0
