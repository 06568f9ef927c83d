"""The fair queue of one shard: the backlogged workspace with the lowest level goes first."""

import heapq
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field


@dataclass(frozen=True)
class QueuedTicket:
    """A ticket in a queue; `deadline` is in monotonic ms of the router that queues it.

    `entry_router` is the id of the router that received the request. This router's clock plus
    `entry_offset` is never ahead of the entry router's clock. The other fields are those of
    `TicketRequest`.
    """

    id: str
    entry_router: str
    workspace: str
    service: str
    version: str
    route: str
    estimate: float
    deadline: int
    short: bool = False
    prefix_key: str = ""
    avoid: frozenset[str] = field(default_factory=frozenset)
    entry_offset: int = 0


class QueueFull(Exception):  # noqa: N818 - a normal outcome of an offer
    """The workspace has reached its limit of tickets in this queue."""


class FairQueue:
    """Tickets by workspace in order of arrival; `level` returns the level of a workspace."""

    def __init__(self, level: Callable[[str], float]):
        self.level = level
        self.tickets: dict[str, QueuedTicket] = {}
        self._by_workspace: dict[str, deque[QueuedTicket]] = {}
        self._deadlines: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self.tickets)

    def workspaces(self) -> list[str]:
        """Return the workspaces that have tickets in this queue."""
        return list(self._by_workspace)

    def queued_count(self, workspace: str) -> int:
        """Return the number of tickets of `workspace`."""
        return len(self._by_workspace.get(workspace, ()))

    def add(self, ticket: QueuedTicket, max_queued: int | None, at_front: bool = False) -> None:
        """Queue `ticket` unless its id is queued already.

        Raises `QueueFull` if the workspace has `max_queued` tickets; None means no limit.
        """
        if ticket.id in self.tickets:
            return
        queue = self._by_workspace.get(ticket.workspace)
        if max_queued is not None and len(queue or ()) >= max_queued:
            raise QueueFull(ticket.workspace)
        if queue is None:
            queue = self._by_workspace[ticket.workspace] = deque()
        if at_front:
            queue.appendleft(ticket)
        else:
            queue.append(ticket)
        self.tickets[ticket.id] = ticket
        heapq.heappush(self._deadlines, (ticket.deadline, ticket.id))

    def remove(self, ticket_id: str) -> QueuedTicket | None:
        """Remove and return a ticket, or return None if it is not queued."""
        ticket = self.tickets.pop(ticket_id, None)
        if ticket is None:
            return None
        queue = self._by_workspace[ticket.workspace]
        queue.remove(ticket)
        if not queue:
            del self._by_workspace[ticket.workspace]
        if len(self._deadlines) > 2 * len(self.tickets) + 64:
            self._deadlines = [(t.deadline, t.id) for t in self.tickets.values()]
            heapq.heapify(self._deadlines)
        return ticket

    def first_fitting(self, fits: Callable[[QueuedTicket], bool]) -> QueuedTicket | None:
        """Return the first ticket for which `fits` is true, lowest level first; keeps it queued."""
        for workspace in self.workspaces_by_level():
            for ticket in self._by_workspace[workspace]:
                if fits(ticket):
                    return ticket
        return None

    def take_tickets(self, count: int, max_level: float) -> list[QueuedTicket]:
        """Remove up to `count` tickets, lowest level first, of levels up to `max_level`."""
        taken: list[QueuedTicket] = []
        # One ticket per workspace and pass, so that a pull does not take only one workspace's.
        while len(taken) < count:
            order = [name for name in self.workspaces_by_level() if self.level(name) <= max_level]
            if not order:
                break
            for workspace in order[: count - len(taken)]:
                ticket = self._by_workspace[workspace][0]
                taken.append(ticket)
                self.remove(ticket.id)
        return taken

    def remove_expired(self, now: int) -> list[QueuedTicket]:
        """Remove and return the tickets whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, ticket_id = heapq.heappop(self._deadlines)
            ticket = self.tickets.get(ticket_id)
            if ticket is not None and ticket.deadline <= now:
                self.remove(ticket_id)
                expired.append(ticket)
        return expired

    def lowest_level(self) -> float | None:
        """Return the lowest level of the backlogged workspaces, or None if the queue is empty."""
        return min((self.level(workspace) for workspace in self._by_workspace), default=None)

    def workspaces_by_level(self) -> Iterator[str]:
        """Yield the backlogged workspaces, lowest level first."""
        yield from sorted(
            self._by_workspace, key=lambda workspace: (self.level(workspace), workspace)
        )
