"""Which routers may perform the duties: a few of the fleet, the same in the view of all routers."""

from jacinthcove.mesh.peers import Member, Members
from jacinthcove.scheduling import rendezvous

DUTIES_KEY = "duties"
CANDIDATES = 3


def candidates(members: Members) -> list[str]:
    """Return the ids of the candidates, the first of which should hold the lease.

    They are spread over failure domains, because the store or the links of one can be away.
    """
    by_id = {member.id: member for member in members.alive()}
    ranked = [by_id[item] for item in rendezvous.ranked(DUTIES_KEY, by_id)]
    chosen: list[Member] = []
    for distinct in (True, False):
        for member in ranked:
            used = {item.failure_domain for item in chosen}
            if member in chosen or (distinct and member.failure_domain in used):
                continue
            if len(chosen) < CANDIDATES:
                chosen.append(member)
    return [member.id for member in chosen]


def own_rank(members: Members) -> int | None:
    """Return this router's place among the candidates, or None if it is not one."""
    chosen = candidates(members)
    return chosen.index(members.me.id) if members.me.id in chosen else None
