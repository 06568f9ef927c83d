"""Revisioned documents that spread between routers."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

CONFIG = "config"
VMS = "vms"


@dataclass(frozen=True)
class Document:
    """One revision of a document; a higher revision always replaces a lower one."""

    kind: str
    revision: int
    body: bytes


class Documents(Protocol):
    """The newest known revision of each kind."""

    def get(self, kind: str) -> Document | None:
        """Return the newest known document of `kind`, or None."""

    def offer(self, document: Document) -> bool:
        """Take and spread `document` if it is newer than the known one; return whether it was."""

    def subscribe(self, kind: str, callback: Callable[[Document], None]) -> None:
        """Call `callback` with every newer document of `kind`."""
