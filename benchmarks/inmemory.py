"""Peers, members and targets in memory, so that only the work of the product is measured."""

import os
from collections import Counter
from collections.abc import Callable
from typing import Any

from jacinthcove.clock import SystemClock
from jacinthcove.config.model import FleetConfig, Limits, Route, Service, ServiceKind, Workspace
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.peers import Handler, Member
from jacinthcove.mesh.streams import FRAME_OVERHEAD_BYTES
from jacinthcove.observe import logs
from jacinthcove.scheduling.dispatch import MeshDispatch
from jacinthcove.store.vms import Vm, VmList, VmRole
from jacinthcove.targets.state import LoadReport, TargetState
from jacinthcove.targets.table import TargetTable

SERVICE = "model-0"
VERSION = "v1"


def log_to_nowhere() -> None:
    """Write the log lines of decisions as the router does, to the null device."""
    logs.configure("benchmark", "benchmark", "info", open(os.devnull, "wb"))  # noqa: SIM115


class MemoryNetwork:
    """Handlers by member; counts messages and bytes as the streams of the mesh do."""

    def __init__(self) -> None:
        self.handlers: dict[tuple[str, str], Handler] = {}
        self.messages: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.any_member: dict[str, Handler] = {}

    def transfer(self, sender: str, kind: str, message: Any, reply: bool) -> Any:
        """Encode and decode one message, each in a frame of its own."""
        body = message.SerializeToString()
        envelope = pb.Envelope(call_id=100_000, reply=reply, kind=kind, body=body)
        self.messages[kind] += 1
        self.bytes[kind] += envelope.ByteSize() + 2 + FRAME_OVERHEAD_BYTES
        return type(message).FromString(body)

    def call(self, sender: str, receiver: str, kind: str, message: Any) -> Any:
        """Run the receiver's handler and return its reply."""
        handler = self.handlers.get((receiver, kind)) or self.any_member[kind]
        reply = handler(sender, self.transfer(sender, kind, message, False))
        return None if reply is None else self.transfer(receiver, kind, reply, True)


class MemoryPeers:
    """`Peers` of one member of a `MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, me: str):
        self.network = network
        self.me = me

    def call(self, member_id: str, kind: str, message: Any, timeout_ms: int) -> Any:
        """Call without a transport."""
        return self.network.call(self.me, member_id, kind, message)

    def send(self, member_id: str, kind: str, message: Any) -> None:
        """Send without a transport."""
        network = self.network
        network.handlers[(member_id, kind)](
            self.me, network.transfer(self.me, kind, message, False)
        )

    def register(self, kind: str, handler: Handler) -> None:
        """Register a handler."""
        self.network.handlers[(self.me, kind)] = handler


class StaticMembers:
    """Members that never change."""

    def __init__(self, everyone: list[Member], me: Member):
        self.everyone = tuple(everyone)
        self.by_id = {member.id: member for member in everyone}
        self.me = me

    def alive(self) -> tuple[Member, ...]:
        """Return all members."""
        return self.everyone

    def get(self, member_id: str) -> Member | None:
        """Return a member, or None."""
        return self.by_id.get(member_id)

    def subscribe(self, callback: Callable[[Member], None]) -> None:
        """Do nothing; no member changes."""


class ReadyPoller:
    """Reports a warm target once and often enough to stay fresh when asked."""

    def __init__(self, state: TargetState, changed: Callable[[], None]):
        self.state = state

    def start(self) -> None:
        """Report."""
        self.state.on_report(LoadReport("boot", 0, 0, self.state.target.pool.version))

    def close(self) -> None:
        """Do nothing."""


def one_service(workspaces: int, slots: int = 12) -> FleetConfig:
    """Return a configuration with one engine service and no cold start."""
    limits = Limits(cold=slots, max=slots)
    service = Service(SERVICE, ServiceKind.ENGINE, VERSION, (Route("draft"),), limits)
    names = [f"workspace-{index:05}" for index in range(workspaces)]
    return FleetConfig(
        workspaces={name: Workspace(name, 1.0, "", max_queued=20_000) for name in names},
        services={SERVICE: service},
    )


class TwoRouters:
    """A router that owns the only target, and one that owns none."""

    def __init__(self) -> None:
        self.network = MemoryNetwork()
        self.clock = SystemClock()
        everyone = [Member("owner", "1", "1", "a", 1), Member("entry", "2", "2", "b", 1)]
        vms = VmList(
            1,
            (
                Vm("owner", VmRole.ROUTER, "1", "a"),
                Vm("entry", VmRole.ROUTER, "2", "b"),
                Vm("engine", VmRole.TARGET, "3:1", "a", SERVICE, VERSION),
            ),
        )
        config = one_service(4)
        self.dispatches = {}
        for me in everyone:
            table = TargetTable()
            table.update_vms(vms)
            self.dispatches[me.id] = MeshDispatch(
                self.clock,
                StaticMembers(everyone, me),
                MemoryPeers(self.network, me.id),
                lambda: config,
                table,
                ReadyPoller,  # type: ignore[arg-type]
            )
        for dispatch in self.dispatches.values():
            dispatch.refresh()

    def refresh_reports(self) -> None:
        """Keep the target's load report fresh."""
        for poller in self.dispatches["owner"].owner_side._pollers.values():
            poller.start()

    def close(self) -> None:
        """Stop both."""
        for dispatch in self.dispatches.values():
            dispatch.close()
