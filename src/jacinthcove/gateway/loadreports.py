"""Builds load reports, which hold the changes since the last report to the same receivers."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from jacinthcove.clock import Clock
from jacinthcove.coldstart.coldtimes import ColdTime
from jacinthcove.gateway.digests import OwnContribution
from jacinthcove.gateway.load import PeerLoad, TargetLoad
from jacinthcove.gateway.shares import ShareLedger
from jacinthcove.gateway.statedlimits import StatedLimit
from jacinthcove.gateway.targetrecord import TargetRecord
from jacinthcove.gateway.targets import TargetRegistry, TargetState
from jacinthcove.gateway.workspaceusage import UsageByWorkspace, WorkspaceUsage, encode_usage
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.peers import Member, Members

PERIOD_MS = 100
# Longer, because traffic between failure domains is charged by the byte.
CROSS_DOMAIN_PERIOD_MS = 200
# Unchanged loads are sent again after this time: reports can be lost, and receivers expire them.
REFRESH_MS = 700


@dataclass(frozen=True)
class SentLoad:
    """The load of a target that a group of receivers was sent last, and when."""

    running: int
    unread_tokens: int
    memory_tokens: int
    leaving: bool
    # The limit of the target, None if it stated none or lifted it.
    limit_per_s: float | None
    # Until when it is cold, 0 if it was not reported as cold.
    cold_until: int
    sent_at: int


@dataclass(frozen=True)
class TargetReport:
    """What a router reports about a target.

    `leaving`: the target said that it leaves. `limit` is what it last said about its own limit.
    `cold` is None unless it is cold.
    `parts` are cacheable blocks of prompt prefixes that were sent to it since the last report.
    """

    record: TargetRecord
    load: PeerLoad
    leaving: bool
    limit: StatedLimit | None
    cold: ColdTime | None
    parts: list[str]


class ReceiverGroup:
    """What was last sent to a group of routers that all receive the same reports."""

    # Whether a member's report repeats to them what other routers reported about cold targets.
    repeats_cold_times = True

    def __init__(self) -> None:
        self.loads: dict[str, SentLoad] = {}
        self.usage: dict[str, tuple[WorkspaceUsage, int]] = {}
        self.sent_at = -1

    def add_load(self, message: pb.LoadShare, report: TargetReport, now: int) -> None:
        """Add the report about a target to `message` if it changed or is due for a refresh."""
        target = report.record.id
        load, limit, cold = report.load, report.limit, report.cold
        sent_before = self.loads.get(target)
        state = SentLoad(
            load.running,
            load.unread_tokens,
            load.memory_tokens,
            report.leaving,
            limit.per_s if limit is not None else None,
            cold.until if cold is not None else 0,
            now,
        )
        idle = not (load.running or load.unread_tokens or load.memory_tokens or report.leaving)
        silent = idle and limit is None and cold is None
        if sent_before is None:
            changed = not silent
        else:
            refresh = not silent and now - sent_before.sent_at >= REFRESH_MS
            changed = refresh or replace(state, sent_at=sent_before.sent_at) != sent_before
        if not changed and not report.parts:
            return
        if silent:
            self.loads.pop(target, None)
        else:
            self.loads[target] = state
        message.targets.add(
            target_id=target,
            running=load.running,
            unread_tokens=load.unread_tokens,
            memory_tokens=load.memory_tokens,
            parts=report.parts,
            leaving=report.leaving,
            started_at=report.record.started_at if report.leaving or limit or cold else 0,
            limit=encode_limit(limit, now) if limit is not None else None,
            cold=encode_cold_time(cold, now) if cold is not None else None,
        )

    def add_usage(
        self, message: pb.LoadShare, usage_by_workspace: UsageByWorkspace, now: int
    ) -> None:
        """Add the usage of each workspace that changed or is due for a refresh."""
        for workspace in usage_by_workspace.keys() | self.usage.keys():
            usage = usage_by_workspace.get(workspace, WorkspaceUsage())
            sent_before, sent_at = self.usage.get(workspace, (WorkspaceUsage(), now))
            idle = usage == WorkspaceUsage()
            if usage == sent_before and (idle or now - sent_at < REFRESH_MS):
                continue
            message.workspaces.append(encode_usage(workspace, usage))
            if idle:
                del self.usage[workspace]
            else:
                self.usage[workspace] = (usage, now)


class CollectorGroup(ReceiverGroup):
    """The collector of this failure domain, which has told this router what others reported."""

    repeats_cold_times = False


class DirectReceivers(ReceiverGroup):
    """The other routers of this failure domain, or the routers of all other failure domains."""

    def __init__(self, members: Members, same_domain: bool, messages_per_s: int):
        super().__init__()
        self.members = members
        self.same_domain = same_domain
        self.messages_per_s = messages_per_s

    def peers(self) -> list[Member]:
        """Return the routers of this group that are alive, without this router."""
        me = self.members.me
        return [
            member
            for member in self.members.alive()
            if member.id != me.id
            and (member.failure_domain == me.failure_domain) == self.same_domain
        ]

    def period_ms(self) -> float:
        """Return the time between two reports, which bounds the messages per second."""
        least_ms = PERIOD_MS if self.same_domain else CROSS_DOMAIN_PERIOD_MS
        return max(least_ms, 1_000 * len(self.peers()) / self.messages_per_s)


class LoadReporter:
    """Builds reports about this router or about its whole failure domain."""

    def __init__(self, clock: Clock, registry: TargetRegistry, ledger: ShareLedger):
        self.clock = clock
        self.registry = registry
        self.ledger = ledger
        self.incarnation = clock.wall()
        self.sequence = 0
        self.open_requests: Callable[[], int] = lambda: 0
        self.accepts_callers: Callable[[], bool] = lambda: True
        self.is_late: Callable[[], bool] = lambda: False
        self.is_full: Callable[[], bool] = lambda: False
        self.configuration: Callable[[], int] = lambda: 0
        # The count that was sent last. This router compares itself with others by it, so that all
        # routers agree on which has the most callers.
        self.reported_open_requests = 0

    def report(self, group: ReceiverGroup) -> pb.LoadShare:
        """Return what changed at this router since the last report to `group`."""
        message, since, now = self._begin(group)
        for state in self.registry.states.values():
            parts = state.parts_sent_since(since)
            report = self._report(state, own_load(state.load, now), parts)
            if not group.repeats_cold_times and report.cold is not None and report.cold.reported:
                report = replace(report, cold=None)
            group.add_load(message, report, now)
        group.add_usage(message, self.ledger.own.sum(), now)
        return message

    def own_contribution(self) -> OwnContribution:
        """Return this router's contribution to the report that was built last."""
        now = self.clock.now()
        loads = {
            state.record.id: own_load(state.load, now)
            for state in self.registry.states.values()
            if state.load.own
        }
        return OwnContribution(self.sequence, self.clock.boot(), loads, self.ledger.own.sum())

    def domain_report(
        self, group: ReceiverGroup, others: frozenset[str], parts: dict[str, list[str]]
    ) -> pb.LoadShare:
        """Return what changed in the sum of this router and `others` since the last report.

        `parts` are the prompt parts that the others sent to each target since then.
        """
        message, since, now = self._begin(group)
        for state in self.registry.states.values():
            sent = [*parts.get(state.record.id, ()), *state.parts_sent_since(since)]
            unique_parts = list(dict.fromkeys(sent))
            load = state.load.sum_with(others)
            group.add_load(message, self._report(state, load, unique_parts), now)
        group.add_usage(message, self.ledger.sum_with(others), now)
        return message

    def _report(self, state: TargetState, load: PeerLoad, parts: list[str]) -> TargetReport:
        record = state.record
        leaving = record.id in self.registry.leaving_starts
        limit = self.registry.stated_limits.find(record.id, record.started_at)
        cold = None
        if state.cold_until > self.clock.now():
            cold = self.registry.cold_times.find(record.id, record.started_at)
        return TargetReport(record, load, leaving, limit, cold, parts)

    def _begin(self, group: ReceiverGroup) -> tuple[pb.LoadShare, int, int]:
        self.sequence += 1
        since, group.sent_at = group.sent_at, self.clock.now()
        self.reported_open_requests = self.open_requests()
        message = pb.LoadShare(
            incarnation=self.incarnation,
            sequence=self.sequence,
            open_requests=self.reported_open_requests,
            away=not self.accepts_callers(),
            late=self.is_late(),
            full=self.is_full(),
            configuration=self.configuration(),
        )
        return message, since, group.sent_at


def encode_limit(limit: StatedLimit, now: int) -> pb.StatedLimit:
    """Encode what a target last said about its limit."""
    return pb.StatedLimit(
        per_s=limit.per_s or 0.0,
        age_ms=max(0, now - limit.said_at),
        lifted=limit.per_s is None,
    )


def encode_cold_time(cold: ColdTime, now: int) -> pb.ColdTime:
    """Encode what a target said about its coldness."""
    statement = cold.statement
    return pb.ColdTime(
        left_ms=max(0, cold.until - now),
        said_ms=statement.cold_ms,
        revision=statement.revision,
    )


def own_load(load: TargetLoad, now: int) -> PeerLoad:
    """Return the load of a target that comes from this router's own requests."""
    return PeerLoad(len(load.own), load.own_memory_tokens, load.own_unread_tokens, now)
