"""Selects the collector of a failure domain: the router that aggregates its load reports.

Without a collector's bundles the other routers of its domain would know only their own load, and
all send to the same target. So when a collector goes silent, the next router in rendezvous order
takes over until bundles of the first one arrive again or the membership changes.
"""

from jacinthcove.clock import Clock
from jacinthcove.mesh.peers import Members
from jacinthcove.scheduling import rendezvous

# In fleets up to this size every router reports to all others, without collectors.
MAX_DIRECT_ROUTERS = 24
# A collector is considered lost after this time without a bundle from it.
COLLECTOR_TIMEOUT_MS = 1_200
# Routers of a failure domain that are tried as its collector, in order.
MAX_CANDIDATES = 2


class Collectors:
    """Selects collectors by the bundles that this router receives."""

    def __init__(self, clock: Clock, members: Members):
        self.clock = clock
        self.members = members
        # Candidates by failure domain, best first.
        self.candidates: dict[str, list[str]] = {}
        # By router: when bundles were first expected from it, and when the last one arrived.
        self.expected_since: dict[str, int] = {}
        self.received_at: dict[str, int] = {}

    def ranked_candidates(self, domain: str) -> list[str]:
        """Return the candidates of a domain, best first; none in a fleet without collectors."""
        alive = self.members.alive()
        if len(alive) <= MAX_DIRECT_ROUTERS:
            return []
        ids = [member.id for member in alive if member.failure_domain == domain]
        # store/relay.py ranks the same way, so the first one also watches the store for its domain.
        return rendezvous.ranked(domain, ids)[:MAX_CANDIDATES]

    def current(self, domain: str) -> str | None:
        """Return the collector of a domain, or None without candidates or if all are silent."""
        now = self.clock.now()
        ranked = self.ranked_candidates(domain)
        if ranked[:1] != self.candidates.get(domain, [])[:1]:
            self.expected_since = {
                id: at for id, at in self.expected_since.items() if id not in ranked
            }
        self.candidates[domain] = ranked
        for id in ranked:
            since = max(self.expected_since.setdefault(id, now), self.received_at.get(id, 0))
            if id == self.members.me.id or now - since < COLLECTOR_TIMEOUT_MS:
                return id
        return None

    def record_bundle(self, router: str) -> None:
        """Record that a bundle of `router` has arrived."""
        self.received_at[router] = self.clock.now()
        for ranked in self.candidates.values():
            if ranked[:1] == [router]:
                # The first candidate is back, so the timeouts of the others start over.
                for id in ranked[1:]:
                    self.expected_since.pop(id, None)

    def drop_departed(self) -> None:
        """Drop the times of routers that left the membership."""
        ids = {member.id for member in self.members.alive()}
        self.expected_since = {id: at for id, at in self.expected_since.items() if id in ids}
        self.received_at = {id: at for id, at in self.received_at.items() if id in ids}
