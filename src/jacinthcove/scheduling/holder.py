"""The account holder's side of the service accounts."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from jacinthcove.clock import Clock
from jacinthcove.mesh import mesh_pb2 as pb

Key = tuple[str, str]  # service, workspace

# Entries only recognise repeated reports, so the oldest may go; the total keeps their service.
MAX_REPORTER_ENTRIES = 4_096
# An account without reports for this long is forgotten; reporters restore it with their totals.
FORGET_MS = 600_000
IDLE_FOREVER_MS = 10**9


@dataclass
class ReporterEntry:
    """The highest cumulative service that one incarnation of a reporter has reported."""

    incarnation: int
    served: float
    backlogged_at: int | None = None


@dataclass
class FleetAccount:
    """A fleet total; service of dead reporters stays in it when their entries go."""

    total: float = 0.0
    lift: float = 0.0
    entries: OrderedDict[str, ReporterEntry] = field(default_factory=OrderedDict)
    created_at: int = 0
    backlogged_at: int | None = None
    backlog_started_at: int = 0
    reported_at: int = 0


class AccountHolder:
    """Merges cumulative reports by maximum, so repeated and late reports change nothing.

    A report says how much of its cumulative service is part of the highest total that its sender
    has seen. A holder without state starts from that total and adds the rest.
    """

    def __init__(self, clock: Clock, period_ms: Callable[[], int]):
        self.clock = clock
        self.period_ms = period_ms
        self.accounts: dict[Key, FleetAccount] = {}

    def on_report(self, report: pb.AccountReport) -> pb.AccountReply:
        """Merge `report` and return the totals of its workspaces."""
        reply = pb.AccountReply()
        for item in report.workspaces:
            key = (item.service, item.workspace)
            account = self.accounts.get(key)
            if account is None:
                account = self.accounts[key] = FleetAccount(created_at=self.clock.now())
            self._merge(account, report.reporter, report.incarnation, item)
            idle_ms = self._idle_ms(account, report.reporter)
            reply.workspaces.append(
                pb.WorkspaceTotal(
                    service=item.service,
                    workspace=item.workspace,
                    total=account.total,
                    lift=account.lift,
                    idle_ms=idle_ms,
                )
            )
        return reply

    def forget_unreported(self) -> None:
        """Forget accounts that nobody reports any more."""
        limit = self.clock.now() - FORGET_MS
        for key in [k for k, account in self.accounts.items() if account.reported_at < limit]:
            del self.accounts[key]

    def _merge(
        self, account: FleetAccount, reporter: str, incarnation: int, item: pb.WorkspaceService
    ) -> None:
        account.reported_at = self.clock.now()
        entry = account.entries.get(reporter)
        if entry is not None and incarnation < entry.incarnation:
            return
        repeated = entry is not None and incarnation == entry.incarnation
        counted = entry.served if entry is not None and repeated else item.included
        account.lift = max(account.lift, item.lift)
        account.total = max(account.total + max(0.0, item.served - counted), item.lift)
        # With an entry from a steady account the difference is exact. Otherwise the total that the
        # reporter has seen may contain service that is unknown here.
        if not repeated or account.reported_at - account.created_at < self._grace_ms():
            reporter_total = item.highest_total + max(0.0, item.served - item.included)
            account.total = max(account.total, reporter_total)
        updated = ReporterEntry(incarnation, max(counted, item.served))
        updated.backlogged_at = entry.backlogged_at if entry is not None else None
        if item.backlogged:
            self._record_backlog(account, item)
            updated.backlogged_at = account.reported_at
        account.entries[reporter] = updated
        account.entries.move_to_end(reporter)
        if len(account.entries) > MAX_REPORTER_ENTRIES:
            account.entries.popitem(last=False)

    def _record_backlog(self, account: FleetAccount, item: pb.WorkspaceService) -> None:
        now = account.reported_at
        last = account.backlogged_at
        if last is None or now - last > self._grace_ms():
            # A holder without state cannot date the backlog of an account with service; an old
            # backlog leaves levels unchanged.
            age_unknown = last is None and item.highest_total > 0
            account.backlog_started_at = now - self._grace_ms() if age_unknown else now
        account.backlogged_at = now

    def _idle_ms(self, account: FleetAccount, reporter: str) -> int:
        now = account.reported_at
        # Routers that join a young backlog all learn of the idleness before it. The backlog is that
        # of the fleet: at one router it may come and go while the workspace waits at another.
        if now - account.backlog_started_at < self._grace_ms():
            return IDLE_FOREVER_MS
        idle_times = (
            now - entry.backlogged_at
            for name, entry in account.entries.items()
            if name != reporter and entry.backlogged_at is not None
        )
        return min(idle_times, default=IDLE_FOREVER_MS)

    def _grace_ms(self) -> int:
        return 2 * self.period_ms()
