"""Decides which routers follow the store, and which routers another one asks instead.

All routers rank the members of a failure domain alike. The first is the relay router. The next few
are its deputies: they ask the store themselves as soon as it has no recent word, so that the calls
of a failure domain do not grow with its size then.
"""

import random

from jacinthcove.mesh.peers import Members
from jacinthcove.scheduling import rendezvous

# In a smaller failure domain, the calls saved are too few for the added delay of changes.
MIN_ROUTERS = 6
# With 35% of the routers rejected, all of these and the relay router are rejected in 1.5% of cases;
# the relay routers of the other failure domains are asked then.
DEPUTIES = 3
# How many routers of other failure domains are asked when the store does not reply.
MAX_FALLBACK_ROUTERS = 3
# How many routers of the failure domain without a role are asked with the others.
RANDOM_ROUTERS = 2


class RelayRoles:
    """The roles of the members that this router knows."""

    def __init__(self) -> None:
        self.members: Members | None = None

    def own_id(self) -> str:
        """Return the id of this router, an empty string while it knows no members."""
        return self.members.me.id if self.members is not None else ""

    def relay_router(self) -> str | None:
        """Return the relay router of this failure domain, None if every router asks the store."""
        if self.members is None:
            return None
        return self.relay_router_of(self.members.me.failure_domain)

    def relay_router_of(self, domain: str) -> str | None:
        """Return the relay router of a failure domain, None if its routers all ask the store."""
        ids = self._ids(domain)
        return rendezvous.owner(domain, ids) if len(ids) >= MIN_ROUTERS else None

    def deputies(self) -> list[str]:
        """Return the deputies of the relay router, in the order of their ranks."""
        if self.members is None:
            return []
        domain = self.members.me.failure_domain
        ids = self._ids(domain)
        if len(ids) < MIN_ROUTERS:
            return []
        return rendezvous.ranked(domain, ids)[1 : 1 + DEPUTIES]

    def domain_size(self) -> int:
        """Return the number of routers in this failure domain."""
        return len(self._ids(self.members.me.failure_domain)) if self.members is not None else 1

    def fallback_routers(self) -> list[str]:
        """Return the routers to ask while the store rejects this one.

        They are relay routers of other failure domains or, if there are none, any other routers.
        """
        if self.members is None:
            return []
        me = self.members.me
        others = [m for m in self.members.alive() if m.id != me.id]
        domains = sorted({m.failure_domain for m in others} - {me.failure_domain})
        relays = [relay for domain in domains if (relay := self.relay_router_of(domain))]
        # The ranking depends on this router's id, so that not all routers ask the same one.
        ids = relays or [m.id for m in others]
        return rendezvous.ranked(me.id, ids)[:MAX_FALLBACK_ROUTERS]

    def alternatives(self, helper: str | None) -> list[str]:
        """Return the routers to ask when the relay router has no recent word.

        They include `helper`, which had it last, and others by chance, as the store may serve only
        routers without a role.
        """
        if self.members is None:
            return []
        ids = self._ids(self.members.me.failure_domain)
        chosen = random.sample(ids, min(len(ids), RANDOM_ROUTERS))
        found = [*self.deputies(), *self.fallback_routers(), *([helper] if helper else []), *chosen]
        excluded = (self.own_id(), self.relay_router())
        return [id for id in dict.fromkeys(found) if id not in excluded]

    def _ids(self, domain: str) -> list[str]:
        if self.members is None:
            return []
        return [m.id for m in self.members.alive() if m.failure_domain == domain]
