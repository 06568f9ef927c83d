"""Interface of the platform's object API."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True)
class StoredObject:
    """An object of the object API; every write raises its version."""

    key: str
    value: bytes
    version: int


class Store(Protocol):
    """Versioned objects with conditional writes and watches.

    Every method raises `StoreUnavailable` when no reply arrives. Whether a write took effect is
    then unknown, and the caller finds out by reading the object again.
    """

    def get(self, key: str) -> StoredObject | None:
        """Return the object, or None if it does not exist."""

    def list(self, prefix: str) -> list[StoredObject]:
        """Return all objects whose key starts with `prefix`."""

    def put(self, key: str, value: bytes, if_version: int) -> int:
        """Write if the version matches (0 creates) and return the new version; else `Conflict`."""

    def delete(self, key: str, if_version: int) -> None:
        """Delete if the version matches; else `Conflict`."""

    def watch(self, key: str, after_version: int, timeout_ms: int) -> StoredObject | None:
        """Wait until the version is above `after_version`; None when `timeout_ms` passes."""
