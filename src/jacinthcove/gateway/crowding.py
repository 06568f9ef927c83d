"""Routers that have more callers than they can carry, for the directory to leave out.

Answers the load of a workspace whose few callers keep to one router: it comes late for everybody
while the others are idle. Callers leave a router that the directory no longer names. What a router
can carry differs between VMs, so one that says that it is late counts whatever its callers.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from statistics import median

from jacinthcove.mesh import mesh_pb2 as pb

# A router is crowded above this many times the median of open requests, and not below the least.
CROWDED_FACTOR = 2.5
CROWDED_LEAST = 60
# At most this part of the routers is left out.
LEFT_OUT_PART = 1 / 3


@dataclass(frozen=True)
class RouterCallers:
    """What a router said of its callers, at monotonic ms `told_at`.

    `away` if it takes none, `late` if it has more to do than it keeps up with.
    """

    open_requests: int
    away: bool
    late: bool
    told_at: int


NO_CALLERS = RouterCallers(open_requests=0, away=False, late=False, told_at=0)


def callers_of(message: pb.LoadShare | pb.IncludedReport, now: int) -> RouterCallers:
    """Return what a report says of a router's callers."""
    return RouterCallers(message.open_requests, message.away, message.late, now)


def may_be_crowded(open_requests: int, late: bool) -> bool:
    """Return whether a router can be crowded, whatever the load of the others."""
    return late or open_requests > CROWDED_LEAST


def crowded(open_requests: Mapping[str, int], late: Collection[str] = ()) -> frozenset[str]:
    """Return the crowded ones among routers with the given open requests.

    Where too many are, those with the most callers: their callers would crowd the few others.
    """
    if not open_requests:
        return frozenset()
    limit = max(CROWDED_LEAST, CROWDED_FACTOR * median(open_requests.values()))
    found = [router for router, count in open_requests.items() if count > limit or router in late]
    found.sort(key=lambda router: (-open_requests[router], router))
    return frozenset(found[: int(len(open_requests) * LEFT_OUT_PART)])
