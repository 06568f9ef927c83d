"""What one router tells the others: the changes since it last told the same audience."""

from collections.abc import Callable
from dataclasses import dataclass

from jacinthcove.clock import Clock
from jacinthcove.gateway.digests import OwnPart
from jacinthcove.gateway.load import PeerLoad, TargetLoad
from jacinthcove.gateway.shares import ShareLedger
from jacinthcove.gateway.targets import TargetRecord, TargetRegistry
from jacinthcove.gateway.uses import Use, Uses, encode_use
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.peers import Member, Members

PERIOD_MS = 100
# To other failure domains, where each report is paid for by its bytes.
FAR_PERIOD_MS = 200
# Unchanged loads are repeated this often, as reports may be lost and are forgotten after a while.
REFRESH_MS = 700


@dataclass(frozen=True)
class Told:
    """The load of a target as an audience knows it, and when it was told."""

    running: int
    unread_tokens: int
    memory_tokens: int
    leaving: bool
    at: int


class Audience:
    """Routers that are told the same."""

    def __init__(self) -> None:
        self.loads: dict[str, Told] = {}
        self.uses: dict[str, tuple[Use, int]] = {}
        self.told_at = -1

    def add_load(
        self,
        message: pb.LoadShare,
        record: TargetRecord,
        load: PeerLoad,
        leaving: bool,
        parts: list[str],
        now: int,
    ) -> None:
        """Add the load of a target unless the audience knows it."""
        target = record.id
        known = self.loads.get(target)
        values = (load.running, load.unread_tokens, load.memory_tokens, leaving)
        if known is None:
            changed = any(values)
        else:
            before = (known.running, known.unread_tokens, known.memory_tokens, known.leaving)
            changed = before != values or (any(values) and now - known.at >= REFRESH_MS)
        if not changed and not parts:
            return
        if any(values):
            self.loads[target] = Told(*values, now)
        else:
            self.loads.pop(target, None)
        message.targets.add(
            target_id=target,
            running=load.running,
            unread_tokens=load.unread_tokens,
            memory_tokens=load.memory_tokens,
            parts=parts,
            leaving=leaving,
            started_at=record.started_at if leaving else 0,
        )

    def add_uses(self, message: pb.LoadShare, uses: Uses, now: int) -> None:
        """Add the tokens of the workspaces that the audience does not know."""
        for workspace in uses.keys() | self.uses.keys():
            use = uses.get(workspace, Use())
            known, told_at = self.uses.get(workspace, (Use(), now))
            idle = use == Use()
            if use == known and (idle or now - told_at < REFRESH_MS):
                continue
            message.workspaces.append(encode_use(workspace, use))
            if idle:
                del self.uses[workspace]
            else:
                self.uses[workspace] = (use, now)


class DirectAudience(Audience):
    """All other routers of this failure domain, or of all others."""

    def __init__(self, members: Members, near: bool, messages_per_s: int):
        super().__init__()
        self.members = members
        self.near = near
        self.messages_per_s = messages_per_s

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
        least_ms = PERIOD_MS if self.near else FAR_PERIOD_MS
        return max(least_ms, 1_000 * len(self.peers()) / self.messages_per_s)


class LoadReporter:
    """Builds reports about this router and its failure domain."""

    def __init__(self, clock: Clock, registry: TargetRegistry, ledger: ShareLedger):
        self.clock = clock
        self.registry = registry
        self.ledger = ledger
        self.incarnation = clock.wall()
        self.sequence = 0
        self.open_requests: Callable[[], int] = lambda: 0
        self.takes_callers: Callable[[], bool] = lambda: True
        self.is_late: Callable[[], bool] = lambda: False
        # As the others know it, so that all routers agree on who has the most.
        self.told_open_requests = 0

    def own(self, audience: Audience) -> pb.LoadShare:
        """Return what is new about this router for an audience."""
        message, since, now = self._begin(audience)
        for state in self.registry.states.values():
            load = own_load(state.load, now)
            parts = state.parts_sent_since(since)
            leaving = state.record.id in self.registry.leaving_starts
            audience.add_load(message, state.record, load, leaving, parts, now)
        audience.add_uses(message, self.ledger.own.sum(), now)
        return message

    def own_part(self) -> OwnPart:
        """Return what this router has, to be kept with the report that was built last."""
        now = self.clock.now()
        loads = {
            state.record.id: own_load(state.load, now)
            for state in self.registry.states.values()
            if state.load.own
        }
        return OwnPart(self.sequence, self.clock.boot(), loads, self.ledger.own.sum())

    def domain(
        self, audience: Audience, others: frozenset[str], parts: dict[str, list[str]]
    ) -> pb.LoadShare:
        """Return what is new about this router and `others` together.

        `parts` are those that the others sent to each target since the last report.
        """
        message, since, now = self._begin(audience)
        for state in self.registry.states.values():
            sent = [*parts.get(state.record.id, ()), *state.parts_sent_since(since)]
            load = state.load.sum_with(others)
            leaving = state.record.id in self.registry.leaving_starts
            known = list(dict.fromkeys(sent))
            audience.add_load(message, state.record, load, leaving, known, now)
        audience.add_uses(message, self.ledger.sum_with(others), now)
        return message

    def _begin(self, audience: Audience) -> tuple[pb.LoadShare, int, int]:
        self.sequence += 1
        since, audience.told_at = audience.told_at, self.clock.now()
        self.told_open_requests = self.open_requests()
        message = pb.LoadShare(
            incarnation=self.incarnation,
            sequence=self.sequence,
            open_requests=self.told_open_requests,
            away=not self.takes_callers(),
            late=self.is_late(),
        )
        return message, since, audience.told_at


def own_load(load: TargetLoad, now: int) -> PeerLoad:
    """Return this router's requests at a target."""
    return PeerLoad(len(load.own), load.own_memory_tokens, load.own_unread_tokens, now)
