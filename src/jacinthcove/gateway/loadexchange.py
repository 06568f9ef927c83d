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
from jacinthcove.mesh.peers import Members, Peers

log = structlog.get_logger()

PERIOD_MS = 100
# In larger fleets each router reports less often, so that its messages a second stay constant.
MESSAGES_PER_S = 90


class LoadExchange:
    """Sends this router's report to all others and takes theirs; lost reports cost one period.

    All counts are cumulative since the start of the sender, whose incarnation tells restarts.
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
        self.members = members
        self.peers = peers
        self.book = book
        self.ledger = ledger
        self.on_tick = on_tick
        self.incarnation = clock.wall()
        self.sequence = 0
        self.known: dict[str, tuple[int, int]] = {}
        self.reported: dict[str, int] = {}
        self.told: dict[str, tuple[int, int]] = {}
        self.greenlets: list[Any] = []
        peers.register(LOAD_SHARE, self.take)

    def start(self) -> None:
        """Start to report."""
        self.greenlets = [gevent.spawn(self._report), gevent.spawn(self._tick)]

    def close(self) -> None:
        """Stop reporting."""
        gevent.killall(self.greenlets)

    def period_ms(self) -> float:
        """Return the time between reports for the present size of the fleet."""
        return max(PERIOD_MS, 1_000 * len(self.members.alive()) / MESSAGES_PER_S)

    def report(self) -> pb.LoadShare:
        """Return this router's report: all targets in use, all active workspaces."""
        self.sequence += 1
        message = pb.LoadShare(incarnation=self.incarnation, sequence=self.sequence)
        for state in self.book.states.values():
            running = len(state.load.own)
            parts, state.unreported_parts = state.unreported_parts, set()
            if not (running or parts or self.reported.get(state.record.id)):
                continue
            self.reported[state.record.id] = running
            message.targets.add(
                target_id=state.record.id,
                running=running,
                unread_tokens=state.load.own_unread_tokens,
                memory_tokens=state.load.own_memory_tokens,
                parts=parts,
            )
        for workspace, use in self.ledger.own.items():
            counts = (use.asked, use.admitted)
            if self.told.get(workspace) == counts:
                continue
            self.told[workspace] = counts
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

    def _report(self) -> None:
        while True:
            gevent.sleep(self.period_ms() / 1000)
            message = self.report()
            for member in self.members.alive():
                if member.id != self.members.me.id:
                    self.peers.send(member.id, LOAD_SHARE, message)

    def _tick(self) -> None:
        while True:
            gevent.sleep(TICK_MS / 1000)
            self.ledger.tick()
            self.on_tick()
