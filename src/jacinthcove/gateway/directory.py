"""Selects the routers that the directory returns to a caller.

A request body that enters the fleet in another failure domain costs cross-domain traffic, and often
crosses again on its way to a target. Callers therefore get the routers of their own failure domain
while those have capacity. Otherwise they get all routers, which spreads the load when a domain has
lost routers or has too many callers.
"""

from collections.abc import Sequence
from dataclasses import dataclass

# The routers of a failure domain serve its callers alone if it has at least this many routers, ...
MIN_ROUTERS = 2
# ... at least this fraction of an even share of the routers, ...
MIN_SHARE_FRACTION = 0.5
# ... and at most this multiple of the mean open requests of a router. Up to `BUSY_MIN_REQUESTS`
# open requests for each router it is never too busy.
BUSY_FACTOR = 2.0
BUSY_MIN_REQUESTS = 60


@dataclass(frozen=True)
class Candidate:
    """A router that accepts callers; `open_requests` is None if unknown."""

    router: str
    address: str
    failure_domain: str
    open_requests: int | None = None


def routers_for(domain: str, candidates: Sequence[Candidate]) -> Sequence[Candidate]:
    """Return the routers for a caller in failure domain `domain`."""
    same_domain = [item for item in candidates if item.failure_domain == domain]
    return same_domain if _has_capacity(same_domain, candidates) else candidates


def _has_capacity(routers: Sequence[Candidate], candidates: Sequence[Candidate]) -> bool:
    domains = len({item.failure_domain for item in candidates})
    if len(routers) < MIN_ROUTERS or len(routers) * domains < MIN_SHARE_FRACTION * len(candidates):
        return False
    return _mean_open(routers) <= max(BUSY_MIN_REQUESTS, BUSY_FACTOR * _mean_open(candidates))


def _mean_open(routers: Sequence[Candidate]) -> float:
    known = [item.open_requests for item in routers if item.open_requests is not None]
    return sum(known) / len(known) if known else 0.0
