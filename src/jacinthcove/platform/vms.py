"""The platform's VM list as typed records."""

from dataclasses import dataclass, field
from enum import Enum

import orjson


class VmRole(Enum):
    """What runs on a VM."""

    ROUTER = "router"
    TARGET = "target"


@dataclass(frozen=True)
class Vm:
    """One entry of the VM list; addresses are `ip:port`."""

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
    """One revision of the lagging VM list."""

    revision: int = 0
    vms: tuple[Vm, ...] = field(default_factory=tuple)

    def routers(self) -> tuple[Vm, ...]:
        """Return the VMs that run a router."""
        return tuple(vm for vm in self.vms if vm.role is VmRole.ROUTER)

    def targets(self) -> tuple[Vm, ...]:
        """Return the VMs that run a target."""
        return tuple(vm for vm in self.vms if vm.role is VmRole.TARGET)


def decode_vms(body: bytes) -> VmList:
    """Decode the JSON answer of `GET /vms`."""
    data = orjson.loads(body)
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
        for item in data["vms"]
    )
    return VmList(revision=data["revision"], vms=vms)


def encode_vms(vm_list: VmList) -> bytes:
    """Encode a VM list as the JSON answer of `GET /vms`."""
    vms = [
        {
            "id": vm.id,
            "role": vm.role.value,
            "address": vm.address,
            "failure_domain": vm.failure_domain,
            "service": vm.service,
            "version": vm.version,
            "state": "leaving" if vm.leaving else "live",
            "mesh_address": vm.mesh_address,
        }
        for vm in vm_list.vms
    ]
    # Sorted keys let a change spread as a patch on the older body.
    body = {"revision": vm_list.revision, "vms": vms}
    return orjson.dumps(body, option=orjson.OPT_SORT_KEYS)
