"""The interface to documents with revisions that routers replicate to each other."""

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
    """Store of the newest known document of each kind."""

    def get(self, kind: str) -> Document | None:
        """Return the newest known document of `kind`, or None."""

    def offer(self, document: Document) -> bool:
        """Store and distribute `document` if it is newer; return whether it was."""

    def subscribe(self, kind: str, callback: Callable[[Document], None]) -> None:
        """Call `callback` with each document of `kind` that is newer than the known one."""
