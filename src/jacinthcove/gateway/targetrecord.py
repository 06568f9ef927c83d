"""The entries of targets in the store."""

from collections.abc import Collection
from dataclasses import dataclass

from jacinthcove.targets.pool import TargetKey


@dataclass(frozen=True)
class TargetRecord:
    """The store's entry of a target; `started_at` is the wall ms of its start, 0 if unknown."""

    id: str
    service: str
    address: str
    failure_domain: str
    version: str
    slots: int
    leaving: bool = False
    cold_for_ms: int = 0
    started_at: int = 0

    @property
    def key(self) -> TargetKey:
        """Return the key of this target in the connection pool."""
        return TargetKey(self.id, self.started_at, self.address)


@dataclass(frozen=True)
class ListedTarget:
    """An entry of the store and the revision of its last change."""

    record: TargetRecord
    revision: int


def is_older(record: TargetRecord, known: TargetRecord) -> bool:
    """Return whether an entry does not show yet that the target leaves, which is final."""
    same_start = record.started_at == known.started_at != 0
    return same_start and known.leaving and not record.leaving


def find_superseded(records: Collection[TargetRecord]) -> frozenset[str]:
    """Return the ids of targets at whose address a target with a later start is registered.

    The entry of a crashed target remains for some time, while another target may already listen at
    the same address.
    """
    newest: dict[str, int] = {}
    for record in records:
        newest[record.address] = max(record.started_at, newest.get(record.address, 0))
    return frozenset(
        record.id for record in records if 0 < record.started_at < newest[record.address]
    )
