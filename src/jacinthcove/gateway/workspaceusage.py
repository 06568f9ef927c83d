"""Token usage of workspaces over a sliding window, as routers report it to each other.

Routers send the totals of the window instead of increments. So a lost report, a restart or a change
of the collector costs at most one period, and no tokens are counted twice.
"""

from collections import defaultdict, deque
from collections.abc import Mapping
from dataclasses import dataclass, fields

from jacinthcove.clock import Clock
from jacinthcove.mesh import mesh_pb2 as pb

TICK_MS = 250
# The newest ticks, over which the rate of late responses is computed.
RECENT_TICKS = 4
# The usage of a router expires after this time without a report from it.
USAGE_TTL_MS = 1_500


@dataclass
class WorkspaceUsage:
    """Token counts of one workspace over the window.

    `asked` are the tokens of requests that arrived, `given` those sent to targets that did not
    reject them, and `begun` those of responses that have started. `begun_lately` and `late_lately`
    count, over the last `RECENT_TICKS`, the started responses and the late ones among them.
    """

    asked: int = 0
    given: int = 0
    begun: int = 0
    begun_lately: int = 0
    late_lately: int = 0

    def add(self, other: "WorkspaceUsage", sign: int = 1) -> None:
        """Add the counts of `other`, or subtract them if `sign` is -1."""
        # Written out, as each tick does this for every workspace of every source.
        self.asked += sign * other.asked
        self.given += sign * other.given
        self.begun += sign * other.begun
        self.begun_lately += sign * other.begun_lately
        self.late_lately += sign * other.late_lately

    def add_older(self, other: "WorkspaceUsage") -> None:
        """Add the counts of a tick that is too old for the `_lately` counts."""
        self.asked += other.asked
        self.given += other.given
        self.begun += other.begun


_COUNTS = tuple(item.name for item in fields(WorkspaceUsage))

UsageByWorkspace = dict[str, WorkspaceUsage]


def encode_usage(workspace: str, usage: WorkspaceUsage) -> pb.WorkspaceUse:
    """Encode the counts of a workspace; negative ones become 0, as the fields are unsigned."""
    counts = {f"{name}_tokens": max(0, getattr(usage, name)) for name in _COUNTS}
    return pb.WorkspaceUse(workspace=workspace, **counts)


def decode_usage(message: pb.WorkspaceUse) -> WorkspaceUsage:
    """Decode the counts of a workspace, the inverse of `encode_usage`."""
    return WorkspaceUsage(*(getattr(message, f"{name}_tokens") for name in _COUNTS))


def add_usage(total: UsageByWorkspace, more: Mapping[str, WorkspaceUsage], sign: int = 1) -> None:
    """Add the counts of each workspace to `total` in place, or subtract them if `sign` is -1."""
    for workspace, usage in more.items():
        total.setdefault(workspace, WorkspaceUsage()).add(usage, sign)


class OwnUsage:
    """Sliding window over this router's own requests."""

    def __init__(self, clock: Clock, window_ms: int):
        self.clock = clock
        self.window_ms = window_ms
        self.current: UsageByWorkspace = defaultdict(WorkspaceUsage)
        self.ticks: deque[tuple[int, UsageByWorkspace]] = deque()
        # Total of the ended ticks, without the current one.
        self.ended_total: UsageByWorkspace = {}

    def tick(self) -> None:
        """End the current tick; called every `TICK_MS`."""
        now = self.clock.now()
        self.ticks.append((now, self.current))
        self.current = defaultdict(WorkspaceUsage)
        while self.ticks and self.ticks[0][0] <= now - self.window_ms:
            self.ticks.popleft()
        self.ended_total = {}
        first_recent = len(self.ticks) - RECENT_TICKS
        for number, (_, usage_by_workspace) in enumerate(self.ticks):
            if number >= first_recent:
                add_usage(self.ended_total, usage_by_workspace)
                continue
            for workspace, usage in usage_by_workspace.items():
                self.ended_total.setdefault(workspace, WorkspaceUsage()).add_older(usage)

    def sum(self) -> UsageByWorkspace:
        """Return the counts of the window by workspace, those of the current tick included."""
        total: UsageByWorkspace = {}
        add_usage(total, self.ended_total)
        add_usage(total, self.current)
        return total


@dataclass
class _ReportedUsage:
    usage: UsageByWorkspace
    reported_at: int


class PeerUsage:
    """The windows of other routers, by source: a router, or a failure domain's collector."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.by_source: dict[str, _ReportedUsage] = {}

    def update(self, source: str, usage: Mapping[str, WorkspaceUsage]) -> None:
        """Merge the workspaces of `source` that changed into its last known usage."""
        report = self.by_source.setdefault(source, _ReportedUsage({}, 0))
        report.reported_at = self.clock.now()
        report.usage.update(usage)

    def replace(self, source: str, usage: UsageByWorkspace) -> None:
        """Replace the usage of all workspaces of `source`."""
        self.by_source[source] = _ReportedUsage(usage, self.clock.now())

    def forget(self, source: str) -> None:
        """Drop the usage that `source` reported."""
        self.by_source.pop(source, None)

    def oldest_ms(self) -> int:
        """Return the age of the oldest report that counts, 0 without any."""
        return max(
            (self.clock.now() - report.reported_at for report in self.by_source.values()), default=0
        )

    def sum(self, sources: frozenset[str] | None = None) -> UsageByWorkspace:
        """Return the unexpired usage of `sources`, or of all sources if None."""
        since = self.clock.now() - USAGE_TTL_MS
        self.by_source = {
            source: report
            for source, report in self.by_source.items()
            if report.reported_at >= since
        }
        total: UsageByWorkspace = {}
        for source, report in self.by_source.items():
            if sources is None or source in sources:
                add_usage(total, report.usage)
        return total
