"""The platform's VM list as typed records."""

from dataclasses import dataclass, field
from enum import Enum
from functools import lru_cache

import orjson


class VmRole(Enum):
    """What runs on a VM."""

    ROUTER = "router"
    TARGET = "target"


@dataclass(frozen=True)
class Vm:
    """One entry of the VM list; addresses are `ip:port`.

    `leaving` is set once the platform has announced that the VM goes away.
    """

    id: str
    role: VmRole
    address: str
    failure_domain: str
    service: str = ""
    version: str = ""
    leaving: bool = False
    mesh_address: str = ""


@dataclass(frozen=True)
class VmList:
    """One revision of the VM list, which lags behind the actual VMs."""

    revision: int = 0
    vms: tuple[Vm, ...] = field(default_factory=tuple)

    def routers(self) -> tuple[Vm, ...]:
        """Return the VMs with the router role, in list order."""
        return tuple(vm for vm in self.vms if vm.role is VmRole.ROUTER)

    def targets(self) -> tuple[Vm, ...]:
        """Return the VMs with the target role, in list order."""
        return tuple(vm for vm in self.vms if vm.role is VmRole.TARGET)


# The member table and the applied state of a router decode the same document, and decoding 13,000
# VMs takes 30 ms or more, so the result is shared.
@lru_cache(maxsize=2)
def decode_vms(body: bytes) -> VmList:
    """Decode the JSON body of `GET /vms`, or the form of `encode_vms_by_id`."""
    data = orjson.loads(body)
    items = data["vms"]
    if isinstance(items, dict):
        items = [{"id": vm_id, **item} for vm_id, item in items.items()]
    vms = tuple(
        Vm(
            id=item["id"],
            role=VmRole(item["role"]),
            address=item["address"],
            failure_domain=item["failure_domain"],
            service=item.get("service", ""),
            version=item.get("version", ""),
            leaving=item.get("state", "live") == "leaving",
            mesh_address=item.get("mesh_address", ""),
        )
        for item in items
    )
    return VmList(revision=data["revision"], vms=vms)


def encode_vms(vm_list: VmList) -> bytes:
    """Encode a VM list as the JSON body of `GET /vms`."""
    vms = [{"id": vm.id, **_vm_fields(vm)} for vm in vm_list.vms]
    return orjson.dumps({"revision": vm_list.revision, "vms": vms})


def encode_vms_by_id(vm_list: VmList) -> bytes:
    """Encode a VM list for the mesh, with the VMs as an object by id and sorted keys.

    In this form the JSON patch for one VM is as small as its entry. In a JSON array, removing an
    entry shifts all later ones, so that the patch is as large as the list.
    """
    body = {"revision": vm_list.revision, "vms": {vm.id: _vm_fields(vm) for vm in vm_list.vms}}
    return orjson.dumps(body, option=orjson.OPT_SORT_KEYS)


def _vm_fields(vm: Vm) -> dict[str, str]:
    return {
        "role": vm.role.value,
        "address": vm.address,
        "failure_domain": vm.failure_domain,
        "service": vm.service,
        "version": vm.version,
        "state": "leaving" if vm.leaving else "live",
        "mesh_address": vm.mesh_address,
    }
