"""Selects the routers that a caller should use for a workspace and a service."""

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
class LookupResult:
    """Router addresses in order of preference, and how long the caller may cache them."""

    addresses: tuple[str, ...]
    lifetime_ms: int


class Lookup:
    """Orders routers for a workspace: shard owners first, then others in rendezvous-hash order."""

    def __init__(
        self,
        members: Members,
        config: Callable[[], FleetConfig],
        owners_of: OwnersOf,
        rng: random.Random,
    ):
        self.members = members
        self.config = config
        self.owners_of = owners_of
        self.rng = rng

    def resolve(self, workspace: str, service: str) -> LookupResult:
        """Return the routers for requests of `workspace` to `service`."""
        config = self.config()
        usable = {m.id: m for m in self.members.alive() if self._usable(config, m)}
        member_ids = [owner for owner in self.owners_of(workspace, service) if owner in usable]
        # Callers use the first address, so shuffling spreads a workspace over its shard owners.
        self.rng.shuffle(member_ids)
        others = [member_id for member_id in usable if member_id not in member_ids]
        member_ids.extend(ranked(f"{workspace}/{service}", others))
        lifetime_ms = config.lookup_lifetime_ms * (1 - LIFETIME_JITTER * self.rng.random())
        addresses = tuple(usable[member_id].caller_address for member_id in member_ids)
        return LookupResult(addresses[:MAX_ADDRESSES], int(lifetime_ms))

    def _usable(self, config: FleetConfig, member: Member) -> bool:
        domain = config.failure_domains.get(member.failure_domain)
        drained = domain is not None and domain.drained
        return member.state is MemberState.ALIVE and not drained
