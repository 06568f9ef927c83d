"""The table of routers that this router knows, with the rules for merging what others report."""

import itertools
import math
from collections.abc import Callable
from dataclasses import replace

import structlog

from jacinthcove.clock import Clock
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.peers import Member, MemberState
from jacinthcove.store.vms import VmList

SUSPICION_MS = 3_000
# A partition of an hour ends before its dead members are forgotten.
FORGET_MS = 2 * 3_600_000
# Longer than an update circulates, so that a removed member is not added again by an old update.
FORGET_UNLISTED_MS = 60_000
MAX_DEAD = 4_096
# Keeps a probe in one packet and its traffic constant.
MAX_UPDATE_BYTES = 1_000
RETRANSMIT_FACTOR = 3


def to_record(member: Member) -> pb.MemberRecord:
    """Encode a member for a message."""
    return pb.MemberRecord(
        id=member.id,
        mesh_address=member.mesh_address,
        caller_address=member.caller_address,
        failure_domain=member.failure_domain,
        incarnation=member.incarnation,
        state=int(member.state),
    )


def from_record(record: pb.MemberRecord) -> Member:
    """Decode a member; raises `ValueError` on an unknown state."""
    return Member(
        record.id,
        record.mesh_address,
        record.caller_address,
        record.failure_domain,
        record.incarnation,
        MemberState(record.state),
    )


class Membership:
    """`Members` with incarnation rules; it sends nothing itself.

    At the same incarnation the later of alive, suspect, leaving and dead wins. Only a member
    itself raises its incarnation. The first incarnation is the wall time, so a restart without
    state normally begins above the incarnation that others remember; otherwise a peer reports
    the remembered one and the member moves past it.
    """

    def __init__(self, me: Member, clock: Clock):
        self.clock = clock
        self.me = replace(me, incarnation=me.incarnation or clock.wall())
        self.table: dict[str, Member] = {}
        self.changed_ms: dict[str, int] = {}
        # Number of times that the current record of a member was sent.
        self.updates: dict[str, int] = {}
        self.vm_list: VmList | None = None
        self.listed: frozenset[str] = frozenset()
        self.callbacks: list[Callable[[Member], None]] = []
        self.cached_alive: tuple[Member, ...] | None = None
        self.log = structlog.get_logger()

    def alive(self) -> tuple[Member, ...]:
        """Return members that take work (alive or suspect), this router included while it stays."""
        if self.cached_alive is None:
            everyone = (self.me, *self.table.values())
            self.cached_alive = tuple(m for m in everyone if m.state <= MemberState.SUSPECT)
        return self.cached_alive

    def get(self, member_id: str) -> Member | None:
        """Return a known member, or None."""
        return self.me if member_id == self.me.id else self.table.get(member_id)

    def subscribe(self, callback: Callable[[Member], None]) -> None:
        """Call `callback` with each member whose state changed."""
        self.callbacks.append(callback)

    def others(self, *states: MemberState) -> list[Member]:
        """Return the other members in one of `states`."""
        return [m for m in self.table.values() if m.state in states]

    def reachable(self) -> list[Member]:
        """Return the other members that are not dead."""
        return [m for m in self.table.values() if m.state is not MemberState.DEAD]

    def merge(self, reported: Member, whole_table: bool = False) -> None:
        """Take what another member reports.

        A record from an exchange of whole tables may be as old as a partition, so it cannot make
        a member suspect or dead; probes find that out.
        """
        if reported.id == self.me.id:
            self._refute(reported)
            return
        known = self.table.get(reported.id)
        if known is None:
            if reported.state is not MemberState.DEAD:
                self._set(reported)
            return
        newer = (reported.incarnation, reported.state) > (known.incarnation, known.state)
        doubtful = reported.state in (MemberState.SUSPECT, MemberState.DEAD)
        if newer and not (whole_table and doubtful):
            self._set(reported)

    def suspect(self, member_id: str, incarnation: int) -> None:
        """Note that a member did not answer probes of `incarnation`; a leaving one is dead."""
        known = self.table.get(member_id)
        if known is None or known.incarnation != incarnation:
            return
        if known.state is MemberState.ALIVE:
            self._set(replace(known, state=MemberState.SUSPECT))
        elif known.state is MemberState.LEAVING:
            self._set(replace(known, state=MemberState.DEAD))

    def expire(self) -> None:
        """Declare members dead that stayed suspect, and forget members dead for long."""
        now = self.clock.now()
        for member in self.others(MemberState.SUSPECT):
            if now - self.changed_ms[member.id] >= SUSPICION_MS:
                self._set(replace(member, state=MemberState.DEAD))
        self._forget(now)

    def leave(self) -> None:
        """Mark this router as leaving."""
        self._set_me(replace(self.me, state=MemberState.LEAVING))

    def set_vm_list(self, vm_list: VmList) -> None:
        """Take the platform's list; it only adds addresses to contact and lets the dead go."""
        self.vm_list = vm_list
        # `expire` looks members up ten times a second; the list names thousands of VMs.
        self.listed = frozenset(vm.id for vm in vm_list.routers())

    def unknown_addresses(self) -> list[str]:
        """Return mesh addresses on the VM list at which no member is known."""
        if self.vm_list is None:
            return []
        known = {self.me.mesh_address} | {m.mesh_address for m in self.table.values()}
        listed = (vm.mesh_address for vm in self.vm_list.routers() if not vm.leaving)
        return [address for address in listed if address and address not in known]

    def take_updates(self, receiver: Member | None) -> list[pb.MemberRecord]:
        """Return updates to piggyback, the least sent first; each goes out O(log n) times.

        When this router holds `receiver` to be anything but alive, its record goes first, so
        that the receiver can refute it.
        """
        records: list[pb.MemberRecord] = []
        size = 0
        if receiver is not None:
            records, size = self._about(receiver)
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.table) + 2))
        for member_id in sorted(self.updates, key=self.updates.__getitem__):
            record = to_record(self.table[member_id])
            size += record.ByteSize() + 2
            if size > MAX_UPDATE_BYTES:
                break
            records.append(record)
            self.updates[member_id] += 1
            if self.updates[member_id] >= limit:
                del self.updates[member_id]
        return records

    def all_records(self) -> list[pb.MemberRecord]:
        """Return the whole table, for an exchange of whole tables."""
        return [to_record(m) for m in self.table.values()]

    def _about(self, receiver: Member) -> tuple[list[pb.MemberRecord], int]:
        known = self.table.get(receiver.id)
        if known is None or known == receiver:
            return [], 0
        if (known.incarnation, known.state) < (receiver.incarnation, receiver.state):
            return [], 0
        record = to_record(known)
        return [record], record.ByteSize() + 2

    def _refute(self, reported: Member) -> None:
        # An equal rank with other addresses is a former life of this router.
        mine = (self.me.incarnation, self.me.state)
        if reported != self.me and (reported.incarnation, reported.state) >= mine:
            self._set_me(replace(self.me, incarnation=reported.incarnation + 1))

    def _set_me(self, member: Member) -> None:
        self.me = member
        self.cached_alive = None
        self.log.info(
            "own_member_state",
            member=member.id,
            state=member.state.name.lower(),
            incarnation=member.incarnation,
        )
        self._notify(member)

    def _set(self, member: Member) -> None:
        known = self.table.get(member.id)
        self.table[member.id] = member
        self.updates[member.id] = 0
        self.cached_alive = None
        self.changed_ms[member.id] = self.clock.now()
        if known == replace(member, incarnation=known.incarnation if known else 0):
            return
        self.log.info(
            "member_state",
            member=member.id,
            state=member.state.name.lower(),
            incarnation=member.incarnation,
            seen_by=self.me.id,
        )
        self._notify(member)

    def _notify(self, member: Member) -> None:
        for callback in self.callbacks:
            try:
                callback(member)
            except Exception:
                self.log.exception("member_callback_failed", member=member.id)

    def _forget(self, now: int) -> None:
        dead = self.others(MemberState.DEAD)
        if not dead:
            return
        dead.sort(key=lambda m: self.changed_ms[m.id])
        excess = {m.id for m in itertools.islice(dead, max(0, len(dead) - MAX_DEAD))}
        for member in dead:
            unlisted = self.vm_list is not None and member.id not in self.listed
            limit = FORGET_UNLISTED_MS if unlisted else FORGET_MS
            if member.id in excess or now - self.changed_ms[member.id] >= limit:
                del self.table[member.id]
                del self.changed_ms[member.id]
                self.updates.pop(member.id, None)
