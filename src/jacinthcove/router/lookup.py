"""Answers to callers that ask which routers to use."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from jacinthcove.config.model import FleetConfig
from jacinthcove.mesh.peers import Member, Members, MemberState
from jacinthcove.scheduling.rendezvous import ranked

MAX_ADDRESSES = 8
LIFETIME_JITTER = 0.3

# Returns the member ids that own the workspace's shards of a service, nearest first.
OwnersOf = Callable[[str, str], Iterable[str]]


@dataclass(frozen=True)
class LookupAnswer:
    """Addresses in order of preference and how long the caller may keep them."""

    addresses: tuple[str, ...]
    lifetime_ms: int


class Lookup:
    """Orders routers for a workspace: owners of its shards first, then a stable spread."""

    def __init__(
        self,
        members: Members,
        config: Callable[[], FleetConfig],
        owners_of: OwnersOf,
        jitter: random.Random,
    ):
        self.members = members
        self.config = config
        self.owners_of = owners_of
        self.jitter = jitter

    def answer(self, workspace: str, service: str) -> LookupAnswer:
        """Return where requests of `workspace` for `service` should go."""
        config = self.config()
        usable = {m.id: m for m in self.members.alive() if self._usable(config, m)}
        order = [owner for owner in self.owners_of(workspace, service) if owner in usable]
        # Callers use the first address, so a random order spreads a workspace over its owners.
        self.jitter.shuffle(order)
        rest = [member_id for member_id in usable if member_id not in order]
        order.extend(ranked(f"{workspace}/{service}", rest))
        lifetime = config.lookup_lifetime_ms * (1 - LIFETIME_JITTER * self.jitter.random())
        addresses = tuple(usable[member_id].caller_address for member_id in order)
        return LookupAnswer(addresses[:MAX_ADDRESSES], int(lifetime))

    def _usable(self, config: FleetConfig, member: Member) -> bool:
        domain = config.failure_domains.get(member.failure_domain)
        drained = domain is not None and domain.drained
        return member.state is MemberState.ALIVE and not drained
