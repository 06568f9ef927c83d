"""One router's quota of limits that hold for all routers together, while routers come and go.

Routers are often added while targets start, and for some seconds the routers disagree about the
members of the fleet. Each router computes its quota for every fleet that it knew recently and uses
the smallest one, so the quotas of all routers together stay within the limit.
"""

from bisect import bisect
from collections.abc import Iterable
from hashlib import blake2b

from jacinthcove.clock import Clock

# Time until all routers know of an added one, plus one window of a limit, after which requests that
# were admitted by the old quotas no longer count.
SETTLE_MS = 6_000
# Each key uses one of this many rings. With several, the routers get about equally many keys.
RINGS = 16
# At this number of cached quotas, the cache is emptied.
MAX_QUOTAS = 32_768


class QuotaRing:
    """All routers in a fixed random order, in which a key has a position.

    The routers that follow the position of a key get the remainder of its limit. Routers that know
    slightly different fleets agree on nearly all of them.
    """

    def __init__(self, me: str, routers: frozenset[str], number: int):
        order = sorted((_position(f"{number} {router}"), router) for router in routers)
        self.positions = [position for position, _ in order]
        self.my_index = next((i for i, (_, router) in enumerate(order) if router == me), None)

    def rank(self, key_position: int) -> int:
        """Return how many routers come before this one from the position of a key on."""
        count = len(self.positions)
        if self.my_index is None:
            return count
        return (self.my_index - bisect(self.positions, key_position)) % count


class _FleetView:
    """The routers of the fleet as known until `ended_at` (monotonic ms), None if still current."""

    def __init__(self, me: str, routers: frozenset[str]):
        self.routers = routers
        self.ended_at: int | None = None
        self.rings = [QuotaRing(me, routers, number) for number in range(RINGS)]

    def quota(self, key: str, total: int) -> int:
        quotient, remainder = divmod(total, len(self.routers))
        if not remainder:
            return quotient
        position = _position(key)
        return quotient + (self.rings[position % RINGS].rank(position) < remainder)


def _position(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())


class FleetQuota:
    """The quotas of router `me`: 0 until the first `set_routers`.

    Its caller waits with that until this router knows the others and they count it too.
    """

    def __init__(self, clock: Clock, me: str):
        self.clock = clock
        self.me = me
        self.views: list[_FleetView] = []
        # The quotas by key and limit since the views last changed.
        self.quotas: dict[tuple[str, int], int] = {}

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
        self.views.append(_FleetView(self.me, fleet))
        self.quotas.clear()

    def quota(self, key: str, total: float) -> int:
        """Return this router's quota of the limit `total` that applies to `key`, rounded down.

        The remainder of the division goes to different routers for different keys. In a fleet
        larger than the limit there is only a remainder, and so every router still gets some keys.
        """
        self._drop_old_views()
        entry = (key, int(total))
        quota = self.quotas.get(entry)
        if quota is None:
            quota = min((view.quota(*entry) for view in self.views), default=0)
            if len(self.quotas) >= MAX_QUOTAS:
                self.quotas.clear()
            self.quotas[entry] = quota
        return quota

    def even_quota(self, total: float) -> int:
        """Return this router's quota of an evenly divided limit, rounded down."""
        self._drop_old_views()
        return min((int(total / len(view.routers)) for view in self.views), default=0)

    def _drop_old_views(self) -> None:
        if len(self.views) <= 1:
            return
        since = self.clock.now() - SETTLE_MS
        recent = [v for v in self.views if v.ended_at is None or v.ended_at > since]
        if len(recent) < len(self.views):
            self.views = recent
            self.quotas.clear()
