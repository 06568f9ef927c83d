"""Objects by kind and name in a store with revisions, and the interface to read them."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from jacinthcove.errors import JacinthcoveError


@dataclass(frozen=True, order=True)
class StoreRevision:
    """A revision of the store; `era` rises each time that it comes back from an older copy.

    The numbers of lost changes are given out again, so numbers of different eras do not compare.
    """

    era: int
    number: int


class HistoryGone(JacinthcoveError):  # noqa: N818 - names an outcome
    """The store does not have the changes since a revision; the reader has to list again."""


@dataclass(frozen=True)
class KindObject:
    """One object of a kind; `revision` is that of its last change.

    `spec` is what its author wrote. `status` is what the system wrote about it, or None. Both are
    `EncodedJson` in changes that are kept for other routers.
    """

    name: str
    revision: int
    spec: Any
    status: Any = None
    created_revision: int = 0


@dataclass(frozen=True)
class Listing:
    """All objects of a kind, as of store revision `revision` or later.

    `known_at` is the boot time at which a list from another router was complete; None if the store
    itself gave it.
    """

    objects: tuple[KindObject, ...]
    revision: StoreRevision
    known_at: int | None = None


class Gap(Enum):
    """What came between a list and what its reader knew before."""

    NONE = "none"
    # An outage, in which entries of living targets may have expired.
    OUTAGE = "outage"
    # The store came back from an older copy, so the last changes may not be written again yet.
    OLDER_COPY = "older_copy"


@dataclass(frozen=True)
class Change:
    """One written or deleted object; `object` has no values if it was deleted or is odd.

    An object is `odd` if its new state names nothing that may be used, so that it counts as
    deleted.
    """

    object: KindObject
    deleted: bool
    odd: bool = False


def without_superseded(changes: Sequence[Change]) -> list[Change]:
    """Return the changes without writes of objects that change again later; deletions stay."""
    last = {change.object.name: index for index, change in enumerate(changes)}
    return [
        change
        for index, change in enumerate(changes)
        if change.deleted or last[change.object.name] == index
    ]


@dataclass(frozen=True)
class WatchResult:
    """The changes of a kind up to `revision`.

    `waited_ms` is how long the store saw no change after it received the watch. `relay_age_ms` is
    the age of the data of another router when it replied; None if the store itself replied.
    """

    changes: Sequence[Change]
    revision: StoreRevision
    waited_ms: int = 0
    relay_age_ms: int | None = None


class KindSource(Protocol):
    """Reads the objects of a kind; both methods raise `StoreUnavailable`."""

    def list_all(self, kind: str) -> Listing:
        """Return all objects of `kind`."""

    def watch(self, kind: str, revision: StoreRevision, wait_ms: int) -> WatchResult:
        """Wait up to `wait_ms` for changes after `revision`; may raise `HistoryGone`."""
