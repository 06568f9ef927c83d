"""One router's part of limits that hold over all routers, while routers come and go.

Answers the load of targets that start when routers are added as well: for some seconds the routers
disagree about who they are. A router counts with each fleet that it knew of late and takes the
least of its parts, so the parts of all routers together do not exceed the limit meanwhile.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from jacinthcove.clock import Clock
from jacinthcove.scheduling import rendezvous

# Time in which all routers learn of an added one, with the window of a limit that it used before.
SETTLE_MS = 6_000
# Above this number of keys the parts of a fleet are computed anew.
MAX_KEYS = 1_024


@dataclass
class _View:
    """A fleet as it was known until `ended_at` (monotonic ms), None while it still is."""

    routers: frozenset[str]
    ended_at: int | None = None
    parts: dict[tuple[str, int], int] = field(default_factory=dict)

    def part(self, me: str, key: str, total: int) -> int:
        known = self.parts.get((key, total))
        if known is None:
            if len(self.parts) >= MAX_KEYS:
                self.parts.clear()
            known = self.parts[key, total] = self._part(me, key, total)
        return known

    def _part(self, me: str, key: str, total: int) -> int:
        whole, rest = divmod(total, len(self.routers))
        return whole + (me in rendezvous.ranked(key, self.routers)[:rest])


class FleetParts:
    """The parts of router `me`; nothing before it knows the others and they count with it."""

    def __init__(self, clock: Clock, me: str):
        self.clock = clock
        self.me = me
        self.views: list[_View] = []

    @property
    def routers(self) -> int:
        """Return the number of routers that share the limits, 0 if it is unknown."""
        return len(self.views[-1].routers) if self.views else 0

    def note(self, routers: Iterable[str]) -> None:
        """Take the routers that may send at present, this one included."""
        fleet = frozenset(routers)
        if self.views and self.views[-1].routers == fleet:
            return
        if self.views:
            self.views[-1].ended_at = self.clock.now()
        self.views.append(_View(fleet))

    def part(self, key: str, total: float) -> int:
        """Return this router's whole part of the limit `total` for what `key` names.

        The remainder goes to other routers for each key, so that in a large fleet, where it is all
        there is, every router has some keys.
        """
        return min((view.part(self.me, key, int(total)) for view in self._recent()), default=0)

    def even_part(self, total: float) -> int:
        """Return this router's part of a limit that is divided evenly, rounded down."""
        return min((int(total / len(view.routers)) for view in self._recent()), default=0)

    def _recent(self) -> list[_View]:
        since = self.clock.now() - SETTLE_MS
        self.views = [v for v in self.views if v.ended_at is None or v.ended_at > since]
        return self.views
