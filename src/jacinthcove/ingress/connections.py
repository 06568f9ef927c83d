"""Which connections of callers a process keeps.

The load that it answers: more connections than there are file descriptors, which stay idle, or
send the head of a request a byte at a time, and are opened again as soon as they are closed.
"""

from collections import Counter
from enum import Enum
from typing import Protocol

from jacinthcove.clock import Clock


class Stage(Enum):
    """What a connection waits for."""

    # No request has arrived on it yet.
    NEW = "new"
    # The body of its request has not arrived whole.
    READING = "reading"
    BUSY = "busy"
    # It waits for another request.
    KEPT = "kept"
    # It has to end for others, and has not ended yet.
    CLOSING = "closing"


# A caller sends its request at once, so a connection without one for this long may give way.
NEW_GRACE_MS = 200
# Connections that are closing may exceed the limit by this part of it.
CLOSING_FRACTION = 0.25


class CallerConnection(Protocol):
    """A connection that can be closed while it carries no request."""

    address: str

    def give_up(self) -> None:
        """Close a connection that waits for a request."""

    def stop_reading(self) -> None:
        """Refuse the request whose body has not arrived whole."""


class ConnectionTable:
    """Limits connections in all and by address; beyond a limit one without a request gives way.

    First those that have waited for their first request, then those kept for another one, then
    those whose body has not arrived for `slow_body_ms`, each the longest first.
    """

    def __init__(self, clock: Clock, limit: int, address_fraction: float, slow_body_ms: int):
        self.limit = limit
        self.address_limit = max(1, int(limit * address_fraction))
        self.closing_limit = max(1, int(limit * CLOSING_FRACTION))
        self.clock = clock
        # Stages in which a connection may give way, and after how many ms there.
        self.order = (
            (Stage.NEW, NEW_GRACE_MS),
            (Stage.KEPT, 0),
            (Stage.READING, slow_body_ms),
            (Stage.NEW, 0),
        )
        # When each connection came to its stage; dictionaries keep that order.
        self.by_stage: dict[Stage, dict[CallerConnection, int]] = {item: {} for item in Stage}
        self.stages: dict[CallerConnection, Stage] = {}
        self.by_address: Counter[str] = Counter()
        self.highest = 0
        self.evictions = 0
        self.refusals = 0

    def __len__(self) -> int:
        return len(self.stages)

    def admit(self, connection: CallerConnection) -> bool:
        """Add a new connection and return True, or return False if there is no room for it."""
        address = connection.address
        closing = len(self.by_stage[Stage.CLOSING])
        full = len(self.stages) - closing >= self.limit
        crowded = self.by_address[address] >= self.address_limit
        if closing >= self.closing_limit or (
            (full or crowded) and not self._close_one(None if full else address)
        ):
            self.refusals += 1
            return False
        self.stages[connection] = Stage.NEW
        self.by_stage[Stage.NEW][connection] = self.clock.now()
        self.by_address[address] += 1
        self.highest = max(self.highest, len(self.stages))
        return True

    def move(self, connection: CallerConnection, stage: Stage) -> None:
        """Record what a connection waits for now."""
        before = self.stages.get(connection)
        if before not in (None, stage, Stage.CLOSING):
            self._move(connection, before, stage)

    def release(self, connection: CallerConnection) -> None:
        """Forget a connection that was closed."""
        stage = self.stages.pop(connection, None)
        if stage is None:
            return
        del self.by_stage[stage][connection]
        if stage is not Stage.CLOSING:
            self._count_less(connection.address)

    def _move(self, connection: CallerConnection, before: Stage, stage: Stage) -> None:
        del self.by_stage[before][connection]
        self.by_stage[stage][connection] = self.clock.now()
        self.stages[connection] = stage

    def _count_less(self, address: str) -> None:
        self.by_address[address] -= 1
        if not self.by_address[address]:
            del self.by_address[address]

    def _close_one(self, address: str | None) -> bool:
        now = self.clock.now()
        for stage, wait_ms in self.order:
            for victim, since in self.by_stage[stage].items():
                if now - since < wait_ms:
                    break
                if address in (None, victim.address):
                    self._close(victim, stage)
                    return True
        return False

    def _close(self, victim: CallerConnection, stage: Stage) -> None:
        self._move(victim, stage, Stage.CLOSING)
        self._count_less(victim.address)
        self.evictions += 1
        if stage is Stage.READING:
            victim.stop_reading()
        else:
            victim.give_up()
