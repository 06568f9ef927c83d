"""The targets of the fleet, from the VM list and the configuration."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from jacinthcove.config.model import FleetConfig
from jacinthcove.store.vms import Vm, VmList


@dataclass(frozen=True, order=True)
class Pool:
    """Identifies the targets with the same service, version and failure domain."""

    service: str
    version: str
    failure_domain: str


@dataclass(frozen=True)
class Target:
    """One target VM; `drained` means that the configuration drains its failure domain."""

    id: str
    pool: Pool
    address: str
    leaving: bool = False
    drained: bool = False

    @property
    def accepts_requests(self) -> bool:
        """Return whether the target is neither leaving nor drained."""
        return not (self.leaving or self.drained)


class TargetTable:
    """All targets by id and by pool; `revision` increases with each change."""

    def __init__(self) -> None:
        self.revision = 0
        self.routers: tuple[Vm, ...] = ()
        self.targets: dict[str, Target] = {}
        self.pools: dict[Pool, tuple[str, ...]] = {}
        self._vms: dict[str, Vm] = {}
        self._drained: frozenset[str] = frozenset()
        self._pool_of: dict[tuple[str, str, str], Pool] = {}
        self._subscribers: list[Callable[[], None]] = []

    def get(self, target_id: str) -> Target | None:
        """Return the target with this id, or None if it is unknown."""
        return self.targets.get(target_id)

    def count(self, service: str, version: str) -> int:
        """Return the number of targets of a version in all failure domains."""
        return sum(
            len(ids)
            for pool, ids in self.pools.items()
            if pool.service == service and pool.version == version
        )

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback that is called after each change."""
        self._subscribers.append(callback)

    def update_vms(self, vm_list: VmList) -> None:
        """Apply a new VM list; an unchanged entry costs one comparison."""
        vms = {vm.id: vm for vm in vm_list.targets()}
        changed_pools: set[Pool] = set()
        changed = False
        for vm_id, vm in vms.items():
            if self._vms.get(vm_id) == vm:
                continue
            changed = True
            self._add_or_update(vm, changed_pools)
        for vm_id in self._vms.keys() - vms.keys():
            changed = True
            changed_pools.add(self.targets.pop(vm_id).pool)
        self._vms = vms
        routers = tuple(sorted(vm_list.routers(), key=lambda vm: vm.id))
        if routers != self.routers:
            self.routers = routers
            changed = True
        self._rebuild_pools(changed_pools)
        if changed:
            self._notify_subscribers()

    def update_config(self, config: FleetConfig) -> None:
        """Apply the drained failure domains of `config`."""
        drained = frozenset(d.name for d in config.failure_domains.values() if d.drained)
        changed_domains = drained ^ self._drained
        self._drained = drained
        if not changed_domains:
            return
        for target_id, target in self.targets.items():
            if target.pool.failure_domain in changed_domains:
                self.targets[target_id] = replace(
                    target, drained=target.pool.failure_domain in drained
                )
        self._notify_subscribers()

    def _add_or_update(self, vm: Vm, changed_pools: set[Pool]) -> None:
        key = (vm.service, vm.version, vm.failure_domain)
        pool = self._pool_of.setdefault(key, Pool(*key))
        old = self.targets.get(vm.id)
        if old is None or old.pool != pool:
            changed_pools.add(pool)
            if old is not None:
                changed_pools.add(old.pool)
        self.targets[vm.id] = Target(
            vm.id, pool, vm.address, vm.leaving, vm.failure_domain in self._drained
        )

    def _rebuild_pools(self, changed_pools: set[Pool]) -> None:
        if not changed_pools:
            return
        members: dict[Pool, list[str]] = {pool: [] for pool in changed_pools}
        for target in self.targets.values():
            if target.pool in members:
                members[target.pool].append(target.id)
        for pool, ids in members.items():
            if ids:
                self.pools[pool] = tuple(sorted(ids))
            else:
                self.pools.pop(pool, None)

    def _notify_subscribers(self) -> None:
        self.revision += 1
        for callback in self._subscribers:
            callback()
