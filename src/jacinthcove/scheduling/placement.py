"""Shards of targets, their owners, and the shards that a workspace uses."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from jacinthcove.config.model import FleetConfig
from jacinthcove.mesh.peers import Member, Members
from jacinthcove.scheduling import rendezvous
from jacinthcove.targets.table import Pool, TargetTable

# Four shards let a workspace meet others on every shard and keep three when one owner dies; at
# the design size about 15 workspaces share a shard, so levels are compared widely.
MIN_SHARDS = 4
# A workspace may queue on twice the shards that its share alone would fill.
SHARD_HEADROOM = 2


@dataclass(frozen=True)
class Shard:
    """Some targets of one pool with the member id of the router that admits work to them."""

    name: str
    pool: Pool
    targets: tuple[str, ...]
    owner: str


def shard_targets(pool: Pool, targets: tuple[str, ...], size: int) -> dict[str, tuple[str, ...]]:
    """Split the targets of a pool into named shards of at most `size`.

    A change of one target moves few others: each target takes the first shard of its own
    rendezvous order that has room.
    """
    prefix = f"{pool.service}/{pool.version}/{pool.failure_domain}"
    if size == 1:
        return {f"{prefix}/{target}": (target,) for target in targets}
    names = [f"{prefix}/{index}" for index in range(math.ceil(len(targets) / size))]
    members: dict[str, list[str]] = {name: [] for name in names}
    for target in targets:
        order = rendezvous.ranked(target, names)
        members[next(name for name in order if len(members[name]) < size)].append(target)
    return {name: tuple(ids) for name, ids in members.items() if ids}


class Placement:
    """Computes shards and owners again only when targets, members or configuration change.

    Call `refresh` after a change of members; a change of the table is noticed by itself.
    """

    def __init__(self, table: TargetTable, members: Members, config: Callable[[], FleetConfig]):
        self.table = table
        self.members = members
        self.config = config
        self.shards: dict[str, Shard] = {}
        self.generation = 0
        self._seen: tuple[int, tuple[tuple[str, str], ...]] | None = None
        self._split: dict[Pool, tuple[tuple[str, ...], int, dict[str, tuple[str, ...]]]] = {}
        self._open: dict[tuple[str, str], tuple[str, ...]] = {}
        self._of: dict[tuple[str, str, str], tuple[tuple[str, ...], int, tuple[str, ...]]] = {}
        self._shares: tuple[FleetConfig | None, float] = (None, 0.0)
        self._names: dict[tuple[str, str], tuple[str, ...]] = {}
        self._owners: dict[str, rendezvous.OwnerCache] = {}
        self._domains = rendezvous.OwnerCache()

    def refresh(self) -> bool:
        """Recompute after a change; return whether anything changed."""
        alive = self.members.alive()
        seen = (self.table.revision, tuple(sorted((m.id, m.failure_domain) for m in alive)))
        if seen == self._seen:
            return False
        self._seen = seen
        self.generation += 1
        self._follow_members(alive)
        routers = self._routers_per_domain(alive)
        shards: dict[str, Shard] = {}
        for pool, targets in self.table.pools.items():
            size = math.ceil(len(targets) / max(1, routers.get(pool.failure_domain, 0)))
            for name, ids in self._split_pool(pool, targets, size).items():
                shards[name] = Shard(name, pool, ids, self._owner(name, pool.failure_domain))
        self._split = {
            pool: split for pool, split in self._split.items() if pool in self.table.pools
        }
        self.shards = shards
        self._collect_names()
        for cache in (self._domains, *self._owners.values()):
            cache.retain(shards.keys())
        return True

    def owned(self) -> list[Shard]:
        """Return the shards that this router owns."""
        self.refresh()
        me = self.members.me.id
        return [shard for shard in self.shards.values() if shard.owner == me]

    def shards_of(self, workspace: str, service: str, version: str) -> tuple[Shard, ...]:
        """Return the shards on which `workspace` queues, best first."""
        self._follow_table()
        names = self._open.get((service, version), ())
        if not names:
            return ()
        count = self._count(workspace, len(names))
        key = (workspace, service, version)
        cached = self._of.get(key)
        if cached is None or cached[0] is not names or cached[1] != count:
            order = rendezvous.ranked("/".join(key), names)
            cached = (names, count, tuple(order[:count]))
            self._of[key] = cached
        return tuple(self.shards[name] for name in cached[2])

    def open_shards(self, service: str, version: str) -> tuple[str, ...]:
        """Return the names of all shards with a target that takes work."""
        self._follow_table()
        return self._open.get((service, version), ())

    def names_of(self, service: str, version: str) -> tuple[str, ...]:
        """Return the names of all shards, also of those without a target that takes work."""
        self._follow_table()
        return self._names.get((service, version), ())

    def visible_fraction(self) -> float:
        """Return the part of the platform-listed routers that this router sees alive."""
        if not self.table.routers:
            return 1.0
        alive = self.members.alive()
        known = {member.id for member in alive} | {member.mesh_address for member in alive}
        seen = sum(vm.id in known or vm.mesh_address in known for vm in self.table.routers)
        return seen / len(self.table.routers)

    def _follow_table(self) -> None:
        # Comparing thousands of members for each request is too slow; their changes come by event.
        if self._seen is None or self._seen[0] != self.table.revision:
            self.refresh()

    def _follow_members(self, alive: Iterable[Member]) -> None:
        by_domain: dict[str, list[str]] = {}
        for member in alive:
            by_domain.setdefault(member.failure_domain, []).append(member.id)
        for domain in self._owners.keys() - by_domain.keys():
            del self._owners[domain]
        for domain, ids in by_domain.items():
            self._owners.setdefault(domain, rendezvous.OwnerCache()).set_candidates(ids)
        self._domains.set_candidates(by_domain)

    def _owner(self, name: str, domain: str) -> str:
        # The shards of a domain without routers go to other domains. Choosing the domain first
        # takes a tenth of the hashes of a choice among all routers.
        home = domain if domain in self._owners else self._domains.owner(name)
        return (home and self._owners[home].owner(name)) or ""

    def _routers_per_domain(self, alive: Iterable[Member]) -> dict[str, int]:
        # Counting listed routers keeps the shards the same while routers die and return.
        domains = [vm.failure_domain for vm in self.table.routers]
        counts: dict[str, int] = {}
        for domain in domains or [member.failure_domain for member in alive]:
            counts[domain] = counts.get(domain, 0) + 1
        return counts

    def _split_pool(
        self, pool: Pool, targets: tuple[str, ...], size: int
    ) -> dict[str, tuple[str, ...]]:
        cached = self._split.get(pool)
        if cached is None or cached[0] is not targets or cached[1] != size:
            cached = (targets, size, shard_targets(pool, targets, size))
            self._split[pool] = cached
        return cached[2]

    def _collect_names(self) -> None:
        names: dict[tuple[str, str], list[str]] = {}
        opened: dict[tuple[str, str], list[str]] = {}
        for shard in self.shards.values():
            key = (shard.pool.service, shard.pool.version)
            names.setdefault(key, []).append(shard.name)
            if any(self.table.targets[target].accepts_requests for target in shard.targets):
                opened.setdefault(key, []).append(shard.name)
        self._names = {key: tuple(value) for key, value in names.items()}
        fresh = {key: tuple(sorted(value)) for key, value in opened.items()}
        # An equal tuple keeps its identity, which keeps the orders cached in `_of`.
        self._open = {
            key: old if (old := self._open.get(key)) == value else value
            for key, value in fresh.items()
        }

    def _count(self, workspace: str, available: int) -> int:
        config = self.config()
        if self._shares[0] is not config:
            self._shares = (config, sum(w.share for w in config.workspaces.values()))
        total = self._shares[1]
        known = config.workspaces.get(workspace)
        share = known.share / total if known is not None and total > 0 else 0.0
        return min(available, max(MIN_SHARDS, math.ceil(SHARD_HEADROOM * share * available)))
