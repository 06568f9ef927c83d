"""The entries of targets in the store."""

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
