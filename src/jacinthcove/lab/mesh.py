"""The mesh of a simulated router, which has no other members."""

from collections.abc import Callable
from typing import Any

from jacinthcove.errors import PeerUnavailable
from jacinthcove.mesh.peers import Member


class IsolatedMesh:
    """Mesh without other members: the simulation itself delivers the routers' load reports."""

    def __init__(self, id: str, domain: str):
        self.me = Member(id, "", "", domain)

    def alive(self) -> tuple[Member, ...]:
        """Return this router only."""
        return (self.me,)

    def get(self, member_id: str) -> Member | None:
        """Return this router, or None for any other id."""
        return self.me if member_id == self.me.id else None

    def subscribe(self, callback: Callable[[Member], None]) -> None:
        """Do nothing: members never change."""

    def register(self, kind: str, handler: Any) -> None:
        """Do nothing: no messages arrive."""

    def send(self, member_id: str, kind: str, message: Any) -> None:
        """Discard the message."""

    def call(self, member_id: str, kind: str, message: Any, timeout_ms: int) -> Any:
        """Raise `PeerUnavailable`: there are no peers."""
        raise PeerUnavailable("simulated routers have no mesh")
