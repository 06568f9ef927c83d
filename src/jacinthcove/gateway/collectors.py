"""Which router collects the load reports of a failure domain.

Answers the loss of that router: without word from it the others of its domain would know only their
own load, and all send to the same target. The next in rendezvous order takes its place until it is
heard again or the membership has changed.
"""

from jacinthcove.clock import Clock
from jacinthcove.mesh.peers import Members
from jacinthcove.scheduling import rendezvous

# Up to this size every router tells all others.
DIRECT_ROUTERS = 24
# A router that collects is taken for lost after this time without its bundles.
SILENCE_MS = 1_200
# Routers of a failure domain that may collect, one after the other.
CANDIDATES = 2


class Collectors:
    """The collectors in use, as this router hears them."""

    def __init__(self, clock: Clock, members: Members):
        self.clock = clock
        self.members = members
        # By failure domain: those that may collect, and since when each was to be heard.
        self.candidates: dict[str, list[str]] = {}
        self.due_since: dict[str, int] = {}
        self.heard_at: dict[str, int] = {}

    def ranked(self, domain: str) -> list[str]:
        """Return the routers that may collect for a domain, none where each router tells all."""
        alive = self.members.alive()
        if len(alive) <= DIRECT_ROUTERS:
            return []
        ids = [member.id for member in alive if member.failure_domain == domain]
        # The same router follows the store for its failure domain (store/relay.py).
        return rendezvous.ranked(domain, ids)[:CANDIDATES]

    def in_use(self, domain: str) -> str | None:
        """Return the router that collects for a domain, None if those that may are silent."""
        now = self.clock.now()
        ranked = self.ranked(domain)
        if ranked[:1] != self.candidates.get(domain, [])[:1]:
            self.due_since = {id: at for id, at in self.due_since.items() if id not in ranked}
        self.candidates[domain] = ranked
        for id in ranked:
            since = max(self.due_since.setdefault(id, now), self.heard_at.get(id, 0))
            if id == self.members.me.id or now - since < SILENCE_MS:
                return id
        return None

    def heard(self, router: str) -> None:
        """Note a bundle of a router."""
        self.heard_at[router] = self.clock.now()
        for ranked in self.candidates.values():
            if ranked[:1] == [router]:
                # The others wait for their turn again.
                for id in ranked[1:]:
                    self.due_since.pop(id, None)

    def forget_others(self) -> None:
        """Drop what is known of routers that have gone."""
        ids = {member.id for member in self.members.alive()}
        self.due_since = {id: at for id, at in self.due_since.items() if id in ids}
        self.heard_at = {id: at for id, at in self.heard_at.items() if id in ids}
