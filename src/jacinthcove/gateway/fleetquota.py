"""One router's quota of limits that hold for all routers together, while routers come and go.

Routers are often added while targets start, and for some seconds the routers disagree about the
members of the fleet. Each router computes its quota for every fleet that it knew recently and uses
the smallest one, so the quotas of all routers together stay within the limit.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from jacinthcove.clock import Clock
from jacinthcove.scheduling import rendezvous

# Time until all routers know of an added one, plus one window of a limit, after which requests that
# were admitted by the old quotas no longer count.
SETTLE_MS = 6_000
# At this number of keys, the cached quotas of a fleet are discarded.
MAX_KEYS = 1_024


@dataclass
class _FleetView:
    """The routers of the fleet as known until `ended_at` (monotonic ms), None if still current."""

    routers: frozenset[str]
    ended_at: int | None = None
    quotas: dict[tuple[str, int], int] = field(default_factory=dict)

    def quota(self, me: str, key: str, total: int) -> int:
        cached = self.quotas.get((key, total))
        if cached is None:
            if len(self.quotas) >= MAX_KEYS:
                self.quotas.clear()
            cached = self.quotas[key, total] = self._quota(me, key, total)
        return cached

    def _quota(self, me: str, key: str, total: int) -> int:
        quotient, remainder = divmod(total, len(self.routers))
        return quotient + (me in rendezvous.ranked(key, self.routers)[:remainder])


class FleetQuota:
    """The quotas of router `me`: 0 until the first `set_routers`.

    Its caller waits with that until this router knows the others and they count it too.
    """

    def __init__(self, clock: Clock, me: str):
        self.clock = clock
        self.me = me
        self.views: list[_FleetView] = []

    @property
    def routers(self) -> int:
        """Return the number of routers that share the limits, 0 if it is unknown."""
        return len(self.views[-1].routers) if self.views else 0

    def set_routers(self, routers: Iterable[str]) -> None:
        """Set the routers that may send at present, including this one."""
        fleet = frozenset(routers)
        if self.views and self.views[-1].routers == fleet:
            return
        if self.views:
            self.views[-1].ended_at = self.clock.now()
        self.views.append(_FleetView(fleet))

    def quota(self, key: str, total: float) -> int:
        """Return this router's quota of the limit `total` that applies to `key`, rounded down.

        The remainder of the division goes to different routers for different keys. In a fleet
        larger than the limit there is only a remainder, and so every router still gets some keys.
        """
        return min((view.quota(self.me, key, int(total)) for view in self._recent()), default=0)

    def even_quota(self, total: float) -> int:
        """Return this router's quota of an evenly divided limit, rounded down."""
        return min((int(total / len(view.routers)) for view in self._recent()), default=0)

    def _recent(self) -> list[_FleetView]:
        since = self.clock.now() - SETTLE_MS
        self.views = [v for v in self.views if v.ended_at is None or v.ended_at > since]
        return self.views
