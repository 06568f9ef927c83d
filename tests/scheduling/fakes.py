"""Fake mesh, clock and fleet builders shared by the scheduling tests."""

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import gevent
from gevent.event import Event

from jacinthcove.clock import ManualClock
from jacinthcove.config.model import (
    FailureDomain,
    FleetConfig,
    Limits,
    Route,
    Service,
    ServiceKind,
    Workspace,
)
from jacinthcove.errors import PeerUnavailable
from jacinthcove.mesh.peers import Member, MemberState
from jacinthcove.scheduling.dispatch import MeshDispatch
from jacinthcove.store.vms import Vm, VmList, VmRole
from jacinthcove.targets.state import LoadReport, TargetState
from jacinthcove.targets.table import TargetTable


class SleepingClock(ManualClock):
    """A manual clock whose `sleep` and `wait` block until the time is advanced."""

    def __init__(self):
        super().__init__()
        self.sleepers: list[tuple[int, Event]] = []

    def sleep(self, duration_ms: float) -> None:
        self.wait(Event(), duration_ms)

    def wait(self, event: Event, duration_ms: float) -> bool:
        woken = Event()
        event.rawlink(lambda _: woken.set())
        self.sleepers.append((self.now_ms + int(duration_ms), woken))
        woken.wait()
        return event.is_set()

    def advance(self, duration_ms: int) -> None:
        super().advance(duration_ms)
        for at, event in self.sleepers:
            if at <= self.now_ms:
                event.set()
        self.sleepers = [item for item in self.sleepers if item[0] > self.now_ms]


class Network:
    """An in-memory network between routers.

    `fate` decides what happens to each message: deliver, lose, lose_reply, twice, or late, which
    keeps it until `deliver_late`. Routers with different `sides` are partitioned.
    """

    def __init__(self):
        self.handlers: dict[tuple[str, str], Callable[[str, Any], Any]] = {}
        self.sides: dict[str, int] = {}
        self.fate: Callable[[str, str, str], str] = lambda sender, receiver, kind: "deliver"
        self.delayed: list[tuple[str, str, str, Any]] = []

    def connected(self, one: str, other: str) -> bool:
        return self.sides.get(one, 0) == self.sides.get(other, 0)

    def deliver(self, sender: str, receiver: str, kind: str, message: Any) -> Any:
        # Every message is encoded and decoded, so that routers share no objects.
        copy = type(message).FromString(message.SerializeToString())
        return self.handlers[(receiver, kind)](sender, copy)

    def call(self, sender: str, receiver: str, kind: str, message: Any) -> Any:
        fate = self.fate(sender, receiver, kind)
        if fate == "late":
            self.delayed.append((sender, receiver, kind, message))
        if fate in ("lose", "late") or not self.connected(sender, receiver):
            raise PeerUnavailable(receiver)
        reply = self.deliver(sender, receiver, kind, message)
        if fate == "twice":
            reply = self.deliver(sender, receiver, kind, message)
        if fate == "lose_reply":
            raise PeerUnavailable(receiver)
        return reply

    def deliver_late(self) -> None:
        late, self.delayed = self.delayed, []
        for sender, receiver, kind, message in late:
            if self.connected(sender, receiver):
                self.deliver(sender, receiver, kind, message)


class FakePeers:
    def __init__(self, network: Network, me: str):
        self.network = network
        self.me = me

    def call(self, member_id: str, kind: str, message: Any, timeout_ms: int) -> Any:
        return self.network.call(self.me, member_id, kind, message)

    def send(self, member_id: str, kind: str, message: Any) -> None:
        try:
            self.network.call(self.me, member_id, kind, message)
        except PeerUnavailable:
            pass

    def register(self, kind: str, handler: Callable[[str, Any], Any]) -> None:
        self.network.handlers[(self.me, kind)] = handler


class FakeMembers:
    def __init__(self, members: list[Member], me: str):
        self.members = {member.id: member for member in members}
        self.me = self.members[me]
        self.callbacks: list[Callable[[Member], None]] = []

    def alive(self) -> tuple[Member, ...]:
        live_states = (MemberState.ALIVE, MemberState.SUSPECT)
        return tuple(m for m in self.members.values() if m.state in live_states)

    def get(self, member_id: str) -> Member | None:
        return self.members.get(member_id)

    def subscribe(self, callback: Callable[[Member], None]) -> None:
        self.callbacks.append(callback)

    def set_state(self, member_id: str, state: MemberState) -> None:
        if self.members[member_id].state is state:
            return
        self.members[member_id] = replace(self.members[member_id], state=state)
        for callback in self.callbacks:
            callback(self.members[member_id])


class FakePoller:
    """Reports the load of a warm target of the expected version with `running(id)` requests."""

    def __init__(self, state: TargetState, running: Callable[[str], int]):
        self.state = state
        self.running = running

    def start(self) -> None:
        self.report()

    def report(self, boot_id: str = "boot") -> None:
        target = self.state.target
        self.state.on_report(LoadReport(boot_id, self.running(target.id), 0, target.pool.version))

    def close(self) -> None:
        pass


def fleet_config(
    shares: dict[str, float], limits: Limits | None = None, drained: str = ""
) -> FleetConfig:
    service = Service("draft", ServiceKind.ENGINE, "v1", (Route("write"),), limits or Limits())
    return FleetConfig(
        workspaces={name: Workspace(name, share, "") for name, share in shares.items()},
        services={"draft": service},
        failure_domains={
            name: FailureDomain(name, drained=name == drained) for name in ("a", "b", "c")
        },
    )


def target_vms(count: int, domains: str = "ab") -> tuple[Vm, ...]:
    place = [(f"t{i}", f"127.0.0.1:{9000 + i}", domains[i % len(domains)]) for i in range(count)]
    return tuple(Vm(n, VmRole.TARGET, where, domain, "draft", "v1") for n, where, domain in place)


def router_vms(count: int, domains: str = "ab") -> tuple[Vm, ...]:
    return tuple(
        Vm(f"r{i}", VmRole.ROUTER, f"127.0.0.1:{8000 + i}", domains[i % len(domains)])
        for i in range(count)
    )


class Fleet:
    """The `MeshDispatch` of several routers on one fake network and one manual clock."""

    def __init__(self, routers: int, targets: int, config: FleetConfig, domains: str = "ab"):
        self.clock = SleepingClock()
        self.network = Network()
        self.config = config
        self.ids = [f"r{i}" for i in range(routers)]
        self.vms = VmList(1, router_vms(routers, domains) + target_vms(targets, domains))
        listed = [
            Member(vm.id, vm.address, vm.address, vm.failure_domain) for vm in self.vms.routers()
        ]
        self.members = {name: FakeMembers(listed, name) for name in self.ids}
        self.tables = {name: TargetTable() for name in self.ids}
        self.dispatches: dict[str, MeshDispatch] = {}
        for name in self.ids:
            self.tables[name].update_vms(self.vms)
            self.dispatches[name] = MeshDispatch(
                self.clock,
                self.members[name],
                FakePeers(self.network, name),
                lambda: self.config,
                self.tables[name],
                lambda state, changed: FakePoller(state, self.running),
                random.Random(name),
            )
        for dispatch in self.dispatches.values():
            dispatch.refresh()

    def running(self, target_id: str) -> int:
        """Return the requests running on a target according to the entry routers."""
        grants = (g for d in self.dispatches.values() for g in d.entry_side.grants_in_use.values())
        return sum(grant.target_id == target_id for grant in grants)

    def settle(self) -> None:
        for _ in range(20):
            gevent.sleep(0)

    def step(self, duration_ms: int) -> None:
        """Advance the time and do the work of the background greenlets."""
        self.clock.advance(duration_ms)
        self.settle()
        for dispatch in self.dispatches.values():
            for poller in dispatch.owner_side._pollers.values():
                poller.report()
            dispatch.refresh()
            dispatch.owner_side.sweep()
            for waiting in dispatch.entry_side.waiting.values():
                waiting.event.set()
        self.settle()
        for dispatch in self.dispatches.values():
            for scheduler in dispatch.owner_side.schedulers.values():
                scheduler.grant_free_slots()
        self.settle()

    def in_flight(self) -> int:
        return sum(s.in_flight for d in self.dispatches.values() for s in d.stats())

    def pull(self) -> None:
        for dispatch in self.dispatches.values():
            dispatch.owner_side.puller.pull_round()
        self.settle()

    def close(self) -> None:
        for dispatch in self.dispatches.values():
            dispatch.close()
