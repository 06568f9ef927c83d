"""Finds routers with too many callers, which the directory, the list for callers, leaves out.

A workspace with few callers may keep all of them on one router, which becomes slow for everybody
while other routers are idle. Callers leave a router that the directory no longer lists. VMs differ
in capacity, so a router that reports itself late counts whatever its number of callers.
"""

from collections.abc import Collection, Mapping
from statistics import median

from jacinthcove.clock import Clock

# A router is overloaded above this multiple of the median of open requests, or if it is late. With
# `MIN_OPEN_REQUESTS` or fewer only a late one is.
OVERLOAD_FACTOR = 2.5
MIN_OPEN_REQUESTS = 60
# A router that has been overloaded for this time tells load balancers that it is not ready, for
# `RELIEF_MS` at least.
OVERLOAD_PATIENCE_MS = 500
RELIEF_MS = 3_000
# A router that has just started is late while it joins the fleet, and callers wait for it.
START_MS = 5_000
# At most this fraction of the routers is left out.
MAX_EXCLUDED_FRACTION = 1 / 3


def may_be_overloaded(open_requests: int, late: bool) -> bool:
    """Return whether a router can be overloaded at all; needs no data of other routers."""
    return late or open_requests > MIN_OPEN_REQUESTS


def overloaded(open_requests: Mapping[str, int], late: Collection[str] = ()) -> frozenset[str]:
    """Return the overloaded routers, given the open requests of each.

    If more than `MAX_EXCLUDED_FRACTION` are overloaded, returns those with the most callers:
    excluding all of them would overload the few that remain.
    """
    if not open_requests:
        return frozenset()
    limit = max(MIN_OPEN_REQUESTS, OVERLOAD_FACTOR * median(open_requests.values()))
    found = [router for router, count in open_requests.items() if count > limit or router in late]
    found.sort(key=lambda router: (-open_requests[router], router))
    return frozenset(found[: int(len(open_requests) * MAX_EXCLUDED_FRACTION)])


class CallerRelief:
    """Decides when an overloaded router is not ready, so that load balancers use another one.

    A balancer may keep a workspace on one router, whatever the directory lists.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.overloaded_since: int | None = None
        self.relieved_until = self.started_at = clock.now()

    def sample(self, overloaded: bool) -> None:
        """Record whether this router has more callers than it can carry, several times a second."""
        now = self.clock.now()
        if not overloaded or now - self.started_at < START_MS:
            self.overloaded_since = None
        elif self.overloaded_since is None:
            self.overloaded_since = now
        elif now - self.overloaded_since >= OVERLOAD_PATIENCE_MS:
            self.relieved_until = now + RELIEF_MS

    def is_relieved(self) -> bool:
        """Return whether this router should get no new callers at present."""
        return self.clock.now() < self.relieved_until
