"""Fleet totals of service accounts, kept by their account holder."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from jacinthcove.clock import Clock
from jacinthcove.mesh import mesh_pb2 as pb

Key = tuple[str, str]  # service, workspace

# Entries only detect repeated reports, so the oldest is evicted; the total keeps its service.
MAX_REPORTER_ENTRIES = 4_096
# Accounts without a report for this long are removed; a later report restores the total.
FORGET_MS = 600_000
# The idle time of a workspace that no other router has reported as backlogged.
IDLE_FOREVER_MS = 10**9


@dataclass
class ReporterEntry:
    """The highest cumulative service reported by one incarnation of a router.

    `backlogged_at` is when it last reported a backlog, None if never.
    """

    incarnation: int
    served: float
    backlogged_at: int | None = None


@dataclass
class FleetAccount:
    """The fleet total of one account; it keeps the service of routers whose entries are gone.

    `lift` is a lower bound for the total. Times are monotonic ms of this router.
    """

    total: float = 0.0
    lift: float = 0.0
    entries: OrderedDict[str, ReporterEntry] = field(default_factory=OrderedDict)
    created_at: int = 0
    backlogged_at: int | None = None
    backlog_started_at: int = 0
    reported_at: int = 0


class AccountHolder:
    """Merges cumulative reports by maximum, so repeated and late reports change nothing.

    A report contains the highest total that its sender has received and says how much of the
    sender's service that total includes. A holder without state starts from it and adds the rest.
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
        """Remove accounts that no router has reported for `FORGET_MS`."""
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
        # The difference is exact for a known reporter of an account that is not new. Otherwise the
        # reporter's total may contain service that this holder does not know of.
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
            # A holder that has lost its state does not know when the backlog of an existing account
            # began. Dating it back by the grace time leaves levels unchanged.
            age_unknown = last is None and item.highest_total > 0
            account.backlog_started_at = now - self._grace_ms() if age_unknown else now
        account.backlogged_at = now

    def _idle_ms(self, account: FleetAccount, reporter: str) -> int:
        now = account.reported_at
        # Every router that reports a new backlog is told that the workspace was idle before it. The
        # backlog is that of the fleet: on one router it may come and go while another has one.
        if now - account.backlog_started_at < self._grace_ms():
            return IDLE_FOREVER_MS
        idle_times = (
            now - entry.backlogged_at
            for name, entry in account.entries.items()
            if name != reporter and entry.backlogged_at is not None
        )
        return min(idle_times, default=IDLE_FOREVER_MS)

    def _grace_ms(self) -> int:
        """Return how long a backlog counts as new, and how long it lasts without reports."""
        return 2 * self.period_ms()
