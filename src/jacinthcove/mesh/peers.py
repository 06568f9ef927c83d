"""How the rest of the package talks to other routers."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, Protocol

# Handlers take the sender's member id and the decoded message and return the reply or None.
Handler = Callable[[str, Any], Any]


class MemberState(IntEnum):
    """The state of a router as other routers see it."""

    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


@dataclass(frozen=True)
class Member:
    """One router; addresses are `ip:port`."""

    id: str
    mesh_address: str
    caller_address: str
    failure_domain: str
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE


class Peers(Protocol):
    """Calls and one-way messages to other routers; messages are classes of `mesh_pb2`.

    Kinds and their request and reply types are listed in `mesh/kinds.py`.
    """

    def call(self, member_id: str, kind: str, message: Any, timeout_ms: int) -> Any:
        """Send `message`, wait for the reply; raises `PeerUnavailable` after `timeout_ms`."""

    def send(self, member_id: str, kind: str, message: Any) -> None:
        """Queue `message` without waiting; it may be lost."""

    def register(self, kind: str, handler: Handler) -> None:
        """Let `handler` answer messages of `kind`; it runs in its own greenlet."""


class Members(Protocol):
    """The routers that this router knows."""

    me: Member

    def alive(self) -> tuple[Member, ...]:
        """Return members that take work (alive or suspect), this router included while it stays."""

    def get(self, member_id: str) -> Member | None:
        """Return a known member, or None."""

    def subscribe(self, callback: Callable[[Member], None]) -> None:
        """Call `callback` with each member whose state changed."""
