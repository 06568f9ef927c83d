"""A local fleet: stand-ins, routers and controllers of one site profile as plain processes."""

import hashlib
import signal
import time
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import orjson

from jacinthcove.config.document import encode
from jacinthcove.config.model import FleetConfig, Operator
from jacinthcove.load.profiles import Profile, TargetProfile
from jacinthcove.store.client import HttpStore
from jacinthcove.store.connections import Connections, NoReply
from jacinthcove.store.vms import Vm, VmList, VmRole, encode_vms
from testbed.ports import free_addresses
from testbed.processes import Program, stop_all

FLEET_KEY = "local-fleet-key"
OPERATOR_KEY = "local-operator-key"
READY_TIMEOUT_S = 60.0
CALL_TIMEOUT_MS = 2_000
ENGINES_PER_PROCESS = 3


@dataclass(frozen=True)
class FleetOptions:
    """How a local fleet differs from the profile's defaults."""

    controllers: int = 1
    engine_flags: tuple[str, ...] = ()
    service_flags: tuple[str, ...] = ()
    store_flags: tuple[str, ...] = ()
    router_flags: tuple[str, ...] = ()
    controller_flags: tuple[str, ...] = ()
    router_environment: dict[str, str] = field(default_factory=dict)
    config: dict[str, Any] = field(default_factory=dict)
    router_module: str = "jacinthcove.commands.router"


@dataclass(frozen=True)
class RouterAddresses:
    """The addresses of one router."""

    id: str
    failure_domain: str
    mesh: str
    caller: str


def http(address: str, method: str, path: str, body: bytes = b"", **headers: str) -> Any:
    """Call a stand-in or program and return its decoded JSON answer."""
    connections = Connections(address, CALL_TIMEOUT_MS)
    try:
        reply = connections.request(method, path, body, headers)
    finally:
        connections.close()
    if reply.status >= 400:
        raise RuntimeError(f"{method} {address}{path} answered {reply.status}: {reply.body!r}")
    return orjson.loads(reply.body) if reply.body else None


class LocalFleet:
    """Starts and stops the processes of one site; every address is on loopback."""

    def __init__(self, profile: Profile, directory: Path, options: FleetOptions | None = None):
        self.profile = profile
        self.directory = directory
        self.options = options or FleetOptions()
        self.store_address = free_addresses(1)[0]
        self.routers = self._router_addresses()
        self.admin_addresses = free_addresses(self.options.controllers)
        self.targets: dict[str, Vm] = {}
        self.standins: list[Program] = []
        self.router_programs: dict[str, Program] = {}
        self.controller_programs: list[Program] = []
        self.vms_revision = 0

    def start(self) -> None:
        """Start everything and wait until every router serves."""
        self._start_store()
        for service in self.profile.services:
            self.add_targets([t for t in self.profile.targets() if t.service == service.name])
        self.put_config(self.initial_config())
        self.publish_vms()
        for router in self.routers:
            self.start_router(router.id)
        for index in range(self.options.controllers):
            self._start_controller(index)
        self.wait_until_serving(router.id for router in self.routers)

    def close(self) -> None:
        """Stop every process."""
        stop_all([*self.controller_programs, *self.router_programs.values()])
        stop_all(self.standins)

    def callers(self) -> list[str]:
        """Return the caller addresses of the routers."""
        return [router.caller for router in self.routers]

    def router(self, router_id: str) -> RouterAddresses:
        """Return the addresses of one router."""
        return next(router for router in self.routers if router.id == router_id)

    def initial_config(self) -> FleetConfig:
        """Return revision 1 of the configuration."""
        operator = Operator("local", hashlib.sha256(OPERATOR_KEY.encode()).hexdigest())
        config = FleetConfig(
            revision=1,
            site=self.profile.name,
            workspaces=self.profile.configured_workspaces(),
            services=self.profile.configured_services(),
            failure_domains=self.profile.configured_domains(),
            operators={operator.name: operator},
            fleet_key=FLEET_KEY,
            lookup_lifetime_ms=3_000,
        )
        return replace(config, **self.options.config)

    def put_config(self, config: FleetConfig) -> None:
        """Write the first configuration to the store."""
        store = HttpStore(self.store_address, CALL_TIMEOUT_MS)
        store.put("config/current", encode(config), 0)
        store.close()

    def add_targets(self, targets: list[TargetProfile], *flags: str) -> None:
        """Start stand-ins of one service's targets; they appear with the next `publish_vms`."""
        service = next(s for s in self.profile.services if s.name == targets[0].service)
        engine = service.kind.value == "engine"
        command = "engine" if engine else "service"
        extra = self.options.engine_flags if engine else self.options.service_flags
        for start in range(0, len(targets), ENGINES_PER_PROCESS):
            group = targets[start : start + ENGINES_PER_PROCESS]
            addresses = free_addresses(len(group))
            arguments = [command, *extra, *flags]
            for target, address in zip(group, addresses, strict=True):
                arguments += ["--listen", address, "--id", target.id]
                arguments += ["--failure-domain", target.failure_domain]
                arguments += ["--target-version", target.version]
                self.targets[target.id] = Vm(
                    target.id, VmRole.TARGET, address, target.failure_domain,
                    target.service, target.version,
                )  # fmt: skip
            self._start_standin(f"{command}-{group[0].id}", arguments, addresses)

    def publish_vms(self) -> None:
        """Put the current targets and routers on the VM list."""
        self.vms_revision += 1
        routers = tuple(
            Vm(r.id, VmRole.ROUTER, r.caller, r.failure_domain, mesh_address=r.mesh)
            for r in self.routers
        )
        vm_list = VmList(self.vms_revision, (*routers, *self.targets.values()))
        http(self.store_address, "POST", "/vms", encode_vms(vm_list))

    def set_faults(self, address: str, **faults: Any) -> None:
        """Replace the faults of the stand-in at `address`."""
        http(address, "PUT", "/faults", orjson.dumps(faults))

    def start_router(self, router_id: str) -> None:
        """Start one router, also after it was killed or stopped."""
        router = self.router(router_id)
        seeds = ",".join(r.mesh for r in self.routers if r.id != router_id)
        arguments = [
            "--id", router.id, "--failure-domain", router.failure_domain,
            "--mesh-listen", router.mesh, "--caller-listen", router.caller,
            "--store", self.store_address, "--seeds", seeds, "--fleet-key", FLEET_KEY,
            *self.options.router_flags,
        ]  # fmt: skip
        program = Program(
            self.options.router_module,
            arguments,
            self.directory / f"{router_id}.log",
            self.options.router_environment,
        )
        self.router_programs[router_id] = program
        program.start()

    def signal_router(self, router_id: str, number: signal.Signals) -> None:
        """Send a signal to one router."""
        self.router_programs[router_id].signal(number)

    def status(self, router_id: str) -> dict[str, Any]:
        """Return the status page of one router."""
        return http(self.router(router_id).caller, "GET", "/v1/status")

    def wait_until_serving(self, router_ids: Iterable[str]) -> None:
        """Wait until the routers answer and know every target."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        for router_id in router_ids:
            self._wait(f"{router_id} to serve", deadline, lambda r=router_id: self._serves(r))

    def wait_until(self, what: str, condition: Any, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until `condition()` is true; raises `TimeoutError`."""
        self._wait(what, time.monotonic() + timeout_s, condition)

    def _serves(self, router_id: str) -> bool:
        if not self.router_programs[router_id].running:
            raise RuntimeError(f"{router_id} ended at once; its log is in {self.directory}")
        try:
            status = self.status(router_id)
        except (NoReply, RuntimeError):
            return False
        alive = [m for m in status["members"] if m["state"] == "alive"]
        return status["vms_revision"] >= self.vms_revision and len(alive) == len(self.routers)

    def _wait(self, what: str, deadline: float, condition: Any) -> None:
        while not condition():
            if time.monotonic() >= deadline:
                raise TimeoutError(f"gave up waiting for {what}; logs are in {self.directory}")
            time.sleep(0.05)

    def _router_addresses(self) -> list[RouterAddresses]:
        routers = self.profile.routers()
        addresses = free_addresses(2 * len(routers))
        return [
            RouterAddresses(r.id, r.failure_domain, addresses[2 * i], addresses[2 * i + 1])
            for i, r in enumerate(routers)
        ]

    def _start_store(self) -> None:
        arguments = ["object-api", "--listen", self.store_address, *self.options.store_flags]
        self._start_standin("object-api", arguments, [self.store_address])

    def _start_standin(self, name: str, arguments: list[str], addresses: list[str]) -> None:
        log_path = self.directory / f"{name}.log"
        program = Program("jacinthcove.commands.standin", arguments, log_path)
        program.start()
        self.standins.append(program)
        deadline = time.monotonic() + READY_TIMEOUT_S
        for address in addresses:
            self._wait(f"{name} at {address}", deadline, lambda a=address: _answers(a))

    def _start_controller(self, index: int) -> None:
        router = self.routers[index % len(self.routers)]
        arguments = [
            "--id", f"controller-{index + 1}", "--failure-domain", router.failure_domain,
            "--admin-listen", self.admin_addresses[index], "--router", router.caller,
            "--store", self.store_address, *self.options.controller_flags,
        ]  # fmt: skip
        log_path = self.directory / f"controller-{index + 1}.log"
        program = Program("jacinthcove.commands.controller", arguments, log_path)
        program.start()
        self.controller_programs.append(program)


def _answers(address: str) -> bool:
    try:
        http(address, "GET", "/faults")
    except (NoReply, RuntimeError):
        return False
    return True
