"""Placement: shards of targets, the routers that own them, and the shards of each workspace."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from jacinthcove.config.model import FleetConfig
from jacinthcove.mesh.peers import Member, Members
from jacinthcove.scheduling import rendezvous
from jacinthcove.targets.table import Pool, TargetTable

# With four shards a workspace keeps three when an owner dies. At the design size about 15
# workspaces then share a shard, so that levels are compared across many workspaces.
MIN_SHARDS = 4
# A workspace may queue on this many times the shards that correspond to its share.
SHARD_HEADROOM = 2


@dataclass(frozen=True)
class Shard:
    """A group of targets of one pool; `owner` is the id of the router that schedules them.

    The owner is empty if no router is alive.
    """

    name: str
    pool: Pool
    targets: tuple[str, ...]
    owner: str


def shard_targets(pool: Pool, targets: tuple[str, ...], size: int) -> dict[str, tuple[str, ...]]:
    """Split the targets of a pool into shards of at most `size`; return their targets by name.

    Each target goes to the first shard of its own rendezvous order that is not full, so adding or
    removing one target moves few others.
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
    """Shards and their owners, recomputed only when the targets or the members change.

    Call `refresh` after a change of members. Changes of the target table are detected here.
    """

    def __init__(self, table: TargetTable, members: Members, config: Callable[[], FleetConfig]):
        self.table = table
        self.members = members
        self.config = config
        self.shards: dict[str, Shard] = {}
        self.generation = 0
        self._inputs: tuple[int, tuple[tuple[str, str], ...]] | None = None
        self._splits: dict[Pool, tuple[tuple[str, ...], int, dict[str, tuple[str, ...]]]] = {}
        self._open_names: dict[tuple[str, str], tuple[str, ...]] = {}
        self._workspace_shards: dict[
            tuple[str, str, str], tuple[tuple[str, ...], int, tuple[str, ...]]
        ] = {}
        self._share_total: tuple[FleetConfig | None, float] = (None, 0.0)
        self._all_names: dict[tuple[str, str], tuple[str, ...]] = {}
        self._owner_caches: dict[str, rendezvous.OwnerCache] = {}
        self._domain_cache = rendezvous.OwnerCache()

    def refresh(self) -> bool:
        """Recompute after a change; return whether anything changed."""
        alive = self.members.alive()
        inputs = (self.table.revision, tuple(sorted((m.id, m.failure_domain) for m in alive)))
        if inputs == self._inputs:
            return False
        self._inputs = inputs
        self.generation += 1
        self._update_candidates(alive)
        routers = self._routers_per_domain(alive)
        shards: dict[str, Shard] = {}
        for pool, targets in self.table.pools.items():
            size = math.ceil(len(targets) / max(1, routers.get(pool.failure_domain, 0)))
            for name, ids in self._split_pool(pool, targets, size).items():
                shards[name] = Shard(name, pool, ids, self._owner(name, pool.failure_domain))
        self._splits = {
            pool: split for pool, split in self._splits.items() if pool in self.table.pools
        }
        self.shards = shards
        self._collect_names()
        for cache in (self._domain_cache, *self._owner_caches.values()):
            cache.retain(shards.keys())
        return True

    def owned_shards(self) -> list[Shard]:
        """Return the shards that this router owns."""
        self.refresh()
        me = self.members.me.id
        return [shard for shard in self.shards.values() if shard.owner == me]

    def shards_of(self, workspace: str, service: str, version: str) -> tuple[Shard, ...]:
        """Return the shards on which `workspace` queues, best first."""
        self._refresh_if_table_changed()
        names = self._open_names.get((service, version), ())
        if not names:
            return ()
        count = self._shard_count(workspace, len(names))
        key = (workspace, service, version)
        cached = self._workspace_shards.get(key)
        if cached is None or cached[0] is not names or cached[1] != count:
            order = rendezvous.ranked("/".join(key), names)
            cached = (names, count, tuple(order[:count]))
            self._workspace_shards[key] = cached
        return tuple(self.shards[name] for name in cached[2])

    def open_shard_names(self, service: str, version: str) -> tuple[str, ...]:
        """Return the names of the shards that have a target which accepts new work."""
        self._refresh_if_table_changed()
        return self._open_names.get((service, version), ())

    def all_shard_names(self, service: str, version: str) -> tuple[str, ...]:
        """Return the names of all shards, including those whose targets accept no new work."""
        self._refresh_if_table_changed()
        return self._all_names.get((service, version), ())

    def visible_fraction(self) -> float:
        """Return the fraction of the routers on the VM list that are alive to this router."""
        if not self.table.routers:
            return 1.0
        alive = self.members.alive()
        known = {member.id for member in alive} | {member.mesh_address for member in alive}
        alive_count = sum(vm.id in known or vm.mesh_address in known for vm in self.table.routers)
        return alive_count / len(self.table.routers)

    def _refresh_if_table_changed(self) -> None:
        # Only the table is compared: comparing thousands of members for each request is too slow,
        # and member changes raise an event.
        if self._inputs is None or self._inputs[0] != self.table.revision:
            self.refresh()

    def _update_candidates(self, alive: Iterable[Member]) -> None:
        by_domain: dict[str, list[str]] = {}
        for member in alive:
            by_domain.setdefault(member.failure_domain, []).append(member.id)
        for domain in self._owner_caches.keys() - by_domain.keys():
            del self._owner_caches[domain]
        for domain, ids in by_domain.items():
            self._owner_caches.setdefault(domain, rendezvous.OwnerCache()).set_candidates(ids)
        self._domain_cache.set_candidates(by_domain)

    def _owner(self, name: str, domain: str) -> str:
        # Shards of a failure domain without routers are owned in another one. Choosing the domain
        # first needs a tenth of the hashes that a choice among all routers would need.
        home = domain if domain in self._owner_caches else self._domain_cache.owner(name)
        return (home and self._owner_caches[home].owner(name)) or ""

    def _routers_per_domain(self, alive: Iterable[Member]) -> dict[str, int]:
        # Counting the listed routers, not the alive ones, keeps shards stable when routers fail.
        domains = [vm.failure_domain for vm in self.table.routers]
        counts: dict[str, int] = {}
        for domain in domains or [member.failure_domain for member in alive]:
            counts[domain] = counts.get(domain, 0) + 1
        return counts

    def _split_pool(
        self, pool: Pool, targets: tuple[str, ...], size: int
    ) -> dict[str, tuple[str, ...]]:
        cached = self._splits.get(pool)
        if cached is None or cached[0] is not targets or cached[1] != size:
            cached = (targets, size, shard_targets(pool, targets, size))
            self._splits[pool] = cached
        return cached[2]

    def _collect_names(self) -> None:
        names: dict[tuple[str, str], list[str]] = {}
        open_names: dict[tuple[str, str], list[str]] = {}
        for shard in self.shards.values():
            key = (shard.pool.service, shard.pool.version)
            names.setdefault(key, []).append(shard.name)
            if any(self.table.targets[target].accepts_requests for target in shard.targets):
                open_names.setdefault(key, []).append(shard.name)
        self._all_names = {key: tuple(value) for key, value in names.items()}
        updated = {key: tuple(sorted(value)) for key, value in open_names.items()}
        # An unchanged tuple is kept, because `_workspace_shards` compares tuples by identity.
        self._open_names = {
            key: old if (old := self._open_names.get(key)) == value else value
            for key, value in updated.items()
        }

    def _shard_count(self, workspace: str, available: int) -> int:
        config = self.config()
        if self._share_total[0] is not config:
            self._share_total = (config, sum(w.share for w in config.workspaces.values()))
        total = self._share_total[1]
        found = config.workspaces.get(workspace)
        share = found.share / total if found is not None and total > 0 else 0.0
        return min(available, max(MIN_SHARDS, math.ceil(SHARD_HEADROOM * share * available)))
