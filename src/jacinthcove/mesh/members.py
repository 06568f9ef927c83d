"""The membership table of a router and the rules for merging the records of others."""

import itertools
import math
from collections.abc import Callable
from dataclasses import replace

import structlog

from jacinthcove.clock import Clock
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.peers import Member, MemberState
from jacinthcove.store.vms import VmList

SUSPICION_TIMEOUT_MS = 3_000
# Long enough that members declared dead in a partition of an hour are still contacted after it.
FORGET_DEAD_AFTER_MS = 2 * 3_600_000
# Longer than updates are retransmitted, so that an old update cannot add a removed member again.
FORGET_UNLISTED_AFTER_MS = 60_000
MAX_DEAD_MEMBERS = 4_096
# A probe fits in one packet, and probe traffic stays constant.
MAX_UPDATE_BYTES = 1_000
RETRANSMIT_FACTOR = 3


def to_record(member: Member) -> pb.MemberRecord:
    """Encode a member as a protobuf record."""
    return pb.MemberRecord(
        id=member.id,
        mesh_address=member.mesh_address,
        caller_address=member.caller_address,
        failure_domain=member.failure_domain,
        incarnation=member.incarnation,
        state=int(member.state),
    )


def from_record(record: pb.MemberRecord) -> Member:
    """Decode a protobuf record; raises `ValueError` on an unknown state."""
    return Member(
        record.id,
        record.mesh_address,
        record.caller_address,
        record.failure_domain,
        record.incarnation,
        MemberState(record.state),
    )


class Membership:
    """Implements `Members` with the SWIM incarnation rules; sends no messages itself.

    The record with the higher incarnation wins; at equal incarnations the later of alive, suspect,
    leaving and dead wins. Only a member itself raises its incarnation. The first incarnation is the
    wall time, so a restart without state normally begins above the incarnation that others
    remember. Otherwise a peer reports the remembered one, and the member raises its own above it.
    """

    def __init__(self, me: Member, clock: Clock):
        self.clock = clock
        self.me = replace(me, incarnation=me.incarnation or clock.wall())
        self.table: dict[str, Member] = {}
        self.state_changed_at: dict[str, int] = {}
        # How often the current record of a member was sent; absent once it was sent often enough.
        self.transmit_counts: dict[str, int] = {}
        self.vm_list: VmList | None = None
        self.listed_ids: frozenset[str] = frozenset()
        self.callbacks: list[Callable[[Member], None]] = []
        self.cached_alive: tuple[Member, ...] | None = None
        self.log = structlog.get_logger()

    def alive(self) -> tuple[Member, ...]:
        """Return alive and suspect members; includes this router until it leaves."""
        if self.cached_alive is None:
            all_members = (self.me, *self.table.values())
            self.cached_alive = tuple(m for m in all_members if m.state <= MemberState.SUSPECT)
        return self.cached_alive

    def get(self, member_id: str) -> Member | None:
        """Return a known member, or None."""
        return self.me if member_id == self.me.id else self.table.get(member_id)

    def subscribe(self, callback: Callable[[Member], None]) -> None:
        """Call `callback` with each member that is new or changed its state or addresses."""
        self.callbacks.append(callback)

    def others(self, *states: MemberState) -> list[Member]:
        """Return the other members in one of `states`."""
        return [m for m in self.table.values() if m.state in states]

    def reachable(self) -> list[Member]:
        """Return the other members that are not dead."""
        return [m for m in self.table.values() if m.state is not MemberState.DEAD]

    def merge(self, reported: Member, whole_table: bool = False) -> None:
        """Apply a member record that another router reported.

        A record from an exchange of whole tables may be as old as a partition, so it never marks a
        known member as suspect or dead; only probes and their updates do.
        """
        if reported.id == self.me.id:
            self._refute(reported)
            return
        known = self.table.get(reported.id)
        if known is None:
            if reported.state is not MemberState.DEAD:
                self._update_record(reported)
            return
        newer = (reported.incarnation, reported.state) > (known.incarnation, known.state)
        is_failure = reported.state in (MemberState.SUSPECT, MemberState.DEAD)
        if newer and not (whole_table and is_failure):
            self._update_record(reported)

    def mark_suspect(self, member_id: str, incarnation: int) -> None:
        """Mark a member that failed its probe as suspect, or as dead if it was leaving.

        Does nothing if its incarnation changed since the probe.
        """
        known = self.table.get(member_id)
        if known is None or known.incarnation != incarnation:
            return
        if known.state is MemberState.ALIVE:
            self._update_record(replace(known, state=MemberState.SUSPECT))
        elif known.state is MemberState.LEAVING:
            self._update_record(replace(known, state=MemberState.DEAD))

    def expire(self) -> None:
        """Mark members dead whose suspicion timed out, and forget members dead for long."""
        now = self.clock.now()
        for member in self.others(MemberState.SUSPECT):
            if now - self.state_changed_at[member.id] >= SUSPICION_TIMEOUT_MS:
                self._update_record(replace(member, state=MemberState.DEAD))
        self._forget_dead(now)

    def leave(self) -> None:
        """Mark this router as leaving."""
        self._update_own_record(replace(self.me, state=MemberState.LEAVING))

    def set_vm_list(self, vm_list: VmList) -> None:
        """Store the VM list; it adds addresses to contact and lets dead members expire sooner."""
        self.vm_list = vm_list
        # Cached as a set: `expire` runs ten times a second and the list has thousands of VMs.
        self.listed_ids = frozenset(vm.id for vm in vm_list.routers())

    def unknown_addresses(self) -> list[str]:
        """Return mesh addresses of the VM list that belong to no known member."""
        if self.vm_list is None:
            return []
        known = {self.me.mesh_address} | {m.mesh_address for m in self.table.values()}
        listed_addresses = (vm.mesh_address for vm in self.vm_list.routers() if not vm.leaving)
        return [address for address in listed_addresses if address and address not in known]

    def next_updates(self, receiver: Member | None) -> list[pb.MemberRecord]:
        """Return the updates to piggyback on a message, the least sent first.

        Each update is sent O(log n) times. If the table has a record of `receiver` that differs
        and is not outdated, it goes first, so that the receiver can refute it.
        """
        records: list[pb.MemberRecord] = []
        size = 0
        if receiver is not None:
            records, size = self._record_to_refute(receiver)
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.table) + 2))
        for member_id in sorted(self.transmit_counts, key=self.transmit_counts.__getitem__):
            record = to_record(self.table[member_id])
            size += record.ByteSize() + 2
            if size > MAX_UPDATE_BYTES:
                break
            records.append(record)
            self.transmit_counts[member_id] += 1
            if self.transmit_counts[member_id] >= limit:
                del self.transmit_counts[member_id]
        return records

    def all_records(self) -> list[pb.MemberRecord]:
        """Return the records of all other members, for an exchange of whole tables."""
        return [to_record(m) for m in self.table.values()]

    def _record_to_refute(self, receiver: Member) -> tuple[list[pb.MemberRecord], int]:
        known = self.table.get(receiver.id)
        if known is None or known == receiver:
            return [], 0
        if (known.incarnation, known.state) < (receiver.incarnation, receiver.state):
            return [], 0
        record = to_record(known)
        return [record], record.ByteSize() + 2

    def _refute(self, reported: Member) -> None:
        # A record of equal rank with other addresses is from a former incarnation of this router.
        my_rank = (self.me.incarnation, self.me.state)
        if reported != self.me and (reported.incarnation, reported.state) >= my_rank:
            self._update_own_record(replace(self.me, incarnation=reported.incarnation + 1))

    def _update_own_record(self, member: Member) -> None:
        self.me = member
        self.cached_alive = None
        self.log.info(
            "own_member_state",
            member=member.id,
            state=member.state.name.lower(),
            incarnation=member.incarnation,
        )
        self._notify(member)

    def _update_record(self, member: Member) -> None:
        known = self.table.get(member.id)
        self.table[member.id] = member
        self.transmit_counts[member.id] = 0
        self.cached_alive = None
        self.state_changed_at[member.id] = self.clock.now()
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

    def _forget_dead(self, now: int) -> None:
        dead = self.others(MemberState.DEAD)
        if not dead:
            return
        dead.sort(key=lambda m: self.state_changed_at[m.id])
        excess = {m.id for m in itertools.islice(dead, max(0, len(dead) - MAX_DEAD_MEMBERS))}
        for member in dead:
            is_unlisted = self.vm_list is not None and member.id not in self.listed_ids
            limit = FORGET_UNLISTED_AFTER_MS if is_unlisted else FORGET_DEAD_AFTER_MS
            if member.id in excess or now - self.state_changed_at[member.id] >= limit:
                del self.table[member.id]
                del self.state_changed_at[member.id]
                self.transmit_counts.pop(member.id, None)
