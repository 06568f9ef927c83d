"""The interface through which the rest of the package reaches other routers."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, Protocol

# Handlers take the sender's member id and the decoded message and return the reply or None.
Handler = Callable[[str, Any], Any]


class MemberState(IntEnum):
    """The state of a router as others see it; a higher value wins at equal incarnations."""

    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


@dataclass(frozen=True)
class Member:
    """One router and its state; addresses are `ip:port`."""

    id: str
    mesh_address: str
    caller_address: str
    failure_domain: str
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE


class Peers(Protocol):
    """Calls and one-way messages to other routers; messages are `mesh_pb2` classes.

    Kinds and their request and reply types are listed in `mesh/kinds.py`.
    """

    def call(self, member_id: str, kind: str, message: Any, timeout_ms: int) -> Any:
        """Send `message` and return the reply; raises `PeerUnavailable`, also at the timeout."""

    def send(self, member_id: str, kind: str, message: Any) -> None:
        """Queue `message` and return at once; it may be lost."""

    def register(self, kind: str, handler: Handler) -> None:
        """Handle messages of `kind` with `handler`, which runs in a new greenlet each time."""


class Members(Protocol):
    """The routers known to this router, itself included."""

    me: Member

    def alive(self) -> tuple[Member, ...]:
        """Return alive and suspect members; includes this router until it leaves."""

    def get(self, member_id: str) -> Member | None:
        """Return a known member, or None."""

    def subscribe(self, callback: Callable[[Member], None]) -> None:
        """Call `callback` with each member that is new or changed its state or addresses."""
