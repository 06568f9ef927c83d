"""Chooses the router that serves a request in place of one that has more than it can carry."""

import random
from collections.abc import Callable, Mapping, Sequence, Sized

from jacinthcove.clock import Clock
from jacinthcove.gateway.directory import Candidate

# The routers to choose from are looked up again after this time.
LOOKUP_TTL_MS = 200
# A helper has at most this fraction of the open requests of the router that passes on.
MAX_LOAD_FRACTION = 0.5
MIN_SAME_DOMAIN = 2


class Helpers:
    """The routers to which this one passes requests on; `candidates` returns those that may serve.

    Reports of their load are old, so the better of two random ones is taken.
    """

    def __init__(
        self,
        clock: Clock,
        router: str,
        failure_domain: str,
        candidates: Callable[[], Sequence[Candidate]],
        rng: random.Random | None = None,
    ):
        self.clock = clock
        self.router = router
        self.failure_domain = failure_domain
        self.candidates = candidates
        self.rng = rng or random.Random()
        self.known: list[Candidate] = []
        self.looked_up_at: int | None = None

    def choose(self, open_requests: int, passed_on: Mapping[str, Sized]) -> Candidate | None:
        """Return a helper for a router with `open_requests`, or None if no router has room.

        `passed_on` has the requests of this router at each helper, which do not count there.
        """
        known = self._known()
        if not known:
            return None

        def own_requests(item: Candidate) -> int:
            return (item.open_requests or 0) - len(passed_on.get(item.router, ()))

        found = min(
            self.rng.sample(known, min(2, len(known))), key=lambda item: item.open_requests or 0
        )
        has_room = own_requests(found) <= MAX_LOAD_FRACTION * open_requests
        return found if has_room else None

    def forget(self) -> None:
        """Look the routers up again, because others may serve now than before."""
        self.looked_up_at = None

    def record_unreachable(self, router: str) -> None:
        """Leave a router out that could not be reached, until the next look-up."""
        self.known = [item for item in self.known if item.router != router]

    def _known(self) -> list[Candidate]:
        now = self.clock.now()
        if self.looked_up_at is None or now - self.looked_up_at >= LOOKUP_TTL_MS:
            self.looked_up_at = now
            others = [item for item in self.candidates() if item.router != self.router]
            same = [item for item in others if item.failure_domain == self.failure_domain]
            self.known = same if len(same) >= MIN_SAME_DOMAIN else others
        return self.known
