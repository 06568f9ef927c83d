"""Routers tell each other what they have at the targets and what workspaces asked for."""

from collections.abc import Callable
from typing import Any

import gevent
import structlog

from jacinthcove.clock import Clock
from jacinthcove.gateway.load import PeerLoad
from jacinthcove.gateway.shares import TICK_MS, ShareLedger
from jacinthcove.gateway.targets import TargetBook
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.kinds import LOAD_SHARE
from jacinthcove.mesh.peers import Member, Members, Peers

log = structlog.get_logger()

PERIOD_MS = 100
# Larger fleets report less often, so that the messages a second of a router stay constant. Routers
# of the same failure domain share most work and cost no bytes between domains.
NEAR_MESSAGES_PER_S = 140
FAR_MESSAGES_PER_S = 60


class Audience:
    """Some of the other routers, with what they have been told last."""

    def __init__(self, members: Members, near: bool, messages_per_s: int):
        self.members = members
        self.near = near
        self.messages_per_s = messages_per_s
        self.running: dict[str, int] = {}
        self.uses: dict[str, tuple[int, int]] = {}
        self.told_at = -1

    def peers(self) -> list[Member]:
        """Return the routers of this audience."""
        me = self.members.me
        return [
            member
            for member in self.members.alive()
            if member.id != me.id and (member.failure_domain == me.failure_domain) == self.near
        ]

    def period_ms(self) -> float:
        """Return the time between two reports."""
        return max(PERIOD_MS, 1_000 * len(self.peers()) / self.messages_per_s)


class LoadExchange:
    """Sends this router's reports to all others and takes theirs; lost reports cost one period.

    Counts of workspaces are cumulative since the start of the sender, whose incarnation tells
    restarts.
    """

    def __init__(
        self,
        clock: Clock,
        members: Members,
        peers: Peers,
        book: TargetBook,
        ledger: ShareLedger,
        on_tick: Callable[[], None],
    ):
        self.clock = clock
        self.peers = peers
        self.book = book
        self.ledger = ledger
        self.on_tick = on_tick
        self.incarnation = clock.wall()
        self.sequence = 0
        self.near = Audience(members, True, NEAR_MESSAGES_PER_S)
        self.far = Audience(members, False, FAR_MESSAGES_PER_S)
        # Time between the reports of other failure domains, which are as old on average.
        self.far_period_ms = float(PERIOD_MS)
        self.known: dict[str, tuple[int, int]] = {}
        self.greenlets: list[Any] = []
        peers.register(LOAD_SHARE, self.take)

    def start(self) -> None:
        """Start to report."""
        loops = (self._tell_near, self._tell_far, self._tick)
        self.greenlets = [gevent.spawn(loop) for loop in loops]

    def close(self) -> None:
        """Stop reporting."""
        gevent.killall(self.greenlets)

    def report(self, audience: Audience) -> pb.LoadShare:
        """Return the report for an audience: targets in use and what is new about workspaces."""
        self.sequence += 1
        message = pb.LoadShare(incarnation=self.incarnation, sequence=self.sequence)
        since, audience.told_at = audience.told_at, self.clock.now()
        for state in self.book.states.values():
            running = len(state.load.own)
            parts = state.parts_sent_since(since)
            if not (running or parts or audience.running.get(state.record.id)):
                continue
            audience.running[state.record.id] = running
            message.targets.add(
                target_id=state.record.id,
                running=running,
                unread_tokens=state.load.own_unread_tokens,
                memory_tokens=state.load.own_memory_tokens,
                parts=parts,
            )
        for workspace, use in self.ledger.own.items():
            counts = (use.asked, use.admitted)
            if audience.uses.get(workspace) == counts:
                continue
            audience.uses[workspace] = counts
            message.workspaces.add(
                workspace=workspace, asked_tokens=use.asked, admitted_tokens=use.admitted
            )
        return message

    def take(self, sender: str, message: pb.LoadShare) -> None:
        """Take another router's report; old ones are dropped."""
        known = self.known.get(sender)
        if known is not None and known[0] != message.incarnation:
            self.ledger.forget(sender)
            for state in self.book.states.values():
                state.load.forget(sender)
        elif known is not None and message.sequence <= known[1]:
            return
        now = self.clock.now()
        self.known[sender] = (message.incarnation, message.sequence)
        for item in message.targets:
            target = self.book.states.get(item.target_id)
            if target is not None:
                report = PeerLoad(item.running, item.memory_tokens, item.unread_tokens, now)
                target.load.on_report(sender, report)
                target.note_parts(item.parts)
        for use in message.workspaces:
            self.ledger.on_report(sender, use.workspace, use.asked_tokens, use.admitted_tokens)

    def _tell_near(self) -> None:
        while True:
            gevent.sleep(self.near.period_ms() / 1000)
            self._tell(self.near)

    def _tell_far(self) -> None:
        while True:
            self.far_period_ms = self.far.period_ms()
            gevent.sleep(self.far_period_ms / 1000)
            self._tell(self.far)

    def _tell(self, audience: Audience) -> None:
        peers = audience.peers()
        if not peers:
            return
        message = self.report(audience)
        for member in peers:
            self.peers.send(member.id, LOAD_SHARE, message)

    def _tick(self) -> None:
        while True:
            gevent.sleep(TICK_MS / 1000)
            self.ledger.tick()
            self.on_tick()
