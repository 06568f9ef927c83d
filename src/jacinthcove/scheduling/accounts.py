"""Service accounts: what each workspace has received from each service in the whole fleet.

Service is divided by the workspace's share when it is charged, so a change of share affects only
later service. Accounts are kept per service, because a level compares workspaces that compete for
the same targets.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent

from jacinthcove.background import BackgroundTask
from jacinthcove.clock import Clock
from jacinthcove.config.model import FleetConfig
from jacinthcove.errors import PeerUnavailable
from jacinthcove.mesh import kinds
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.peers import Members, Peers
from jacinthcove.scheduling import rendezvous
from jacinthcove.scheduling.holder import AccountHolder, Key

# A workspace that no other router saw backlogged for two exchange periods counts as idle; one lost
# report does not make it idle.
IDLE_PERIODS = 2
# Accounts unchanged for this many periods are no longer reported.
UNCHANGED_PERIODS = 10
CALL_TIMEOUT_MS = 1_000


@dataclass
class Account:
    """The reporter's side of one account; all values are service units divided by share."""

    served: float = 0.0
    included: float = 0.0
    highest_total: float = 0.0
    lift: float = 0.0
    reserved: float = 0.0
    backlogged_shards: int = 0
    active_at: int = 0
    # Level that a workspace has until the holder says whether it was idle; None once found.
    provisional_level: float | None = None
    # The workspace started to wait here, so an idle one keeps the provisional_level level.
    lift_if_idle: bool = False

    def total(self) -> float:
        """Return the fleet total at the last exchange plus own service since."""
        return max(self.highest_total, self.lift) + self.served - self.included

    def level(self) -> float:
        """Return the total with the estimated rest of requests in flight."""
        return max(self.total(), self.provisional_level or 0.0) + self.reserved

    def raise_total_to(self, level: float) -> None:
        """Lift the account so that its total is at least `level`."""
        self.lift = max(self.lift, level - (self.served - self.included))


class Accounts:
    """Charges, levels and the exchange with account holders; also holds accounts for others.

    The reporter's incarnation is the wall time at construction, because a member's incarnation
    changes without a loss of state.
    """

    def __init__(
        self, clock: Clock, members: Members, peers: Peers, config: Callable[[], FleetConfig]
    ):
        self.clock = clock
        self.members = members
        self.peers = peers
        self.config = config
        self.incarnation = clock.wall()
        self.accounts: dict[Key, Account] = {}
        self.virtual_times: dict[str, float] = {}
        self.holder = AccountHolder(clock, lambda: self.config().exchange_period_ms)
        self._holders = rendezvous.OwnerCache()
        self._task = BackgroundTask(self._run)
        peers.register(kinds.ACCOUNT_REPORT, self._on_report)

    def start(self) -> None:
        """Start the periodic exchange."""
        self._task.start()

    def close(self) -> None:
        """Stop the periodic exchange."""
        self._task.close()

    def level(self, service: str, workspace: str) -> float:
        """Return the level of `workspace` at `service`."""
        account = self.accounts.get((service, workspace))
        return account.level() if account is not None else 0.0

    def charge(self, service: str, workspace: str, units: float) -> None:
        """Charge service that was received."""
        account = self._account(service, workspace)
        account.served += max(0.0, units) / self._share(workspace)
        account.active_at = self.clock.now()

    def reserve(self, service: str, workspace: str, units: float) -> float:
        """Add expected service to the level and return the amount to pass to `release_reservation`."""
        amount = max(0.0, units) / self._share(workspace)
        self._account(service, workspace).reserved += amount
        return amount

    def release_reservation(self, service: str, workspace: str, amount: float) -> None:
        """Take an amount that `reserve` returned out of the level."""
        account = self._account(service, workspace)
        account.reserved = max(0.0, account.reserved - amount)

    def add_backlogged_shard(self, service: str, workspace: str, moved: bool = False) -> None:
        """Note that `workspace` waits at one more shard here.

        When it waited nowhere before, its level is lifted to the least level of the others, until
        the holder tells whether it waits at other routers. Tickets that moved here waited before.
        """
        account = self._account(service, workspace)
        if account.backlogged_shards == 0 and not moved:
            account.provisional_level = max(account.total(), self._starting_level(service))
            account.lift_if_idle = True
        account.backlogged_shards += 1
        account.active_at = self.clock.now()

    def remove_backlogged_shard(self, service: str, workspace: str) -> None:
        """Note that `workspace` waits at one shard less here."""
        account = self._account(service, workspace)
        account.backlogged_shards = max(0, account.backlogged_shards - 1)
        account.active_at = self.clock.now()

    def apply_ticket_level(self, service: str, workspace: str, level: float) -> None:
        """Take the level that came with a ticket until the holder tells the total."""
        account = self._account(service, workspace)
        if account.level() < level:
            account.provisional_level = max(
                account.provisional_level or 0.0, level - account.reserved
            )

    def note_grant(self, service: str, workspace: str) -> None:
        """Advance the service's virtual time to the level that is being served."""
        self._raise_virtual_time(service, self.level(service, workspace))

    def exchange(self) -> None:
        """Report to all holders in parallel and wait for their answers."""
        reports = self._build_reports()
        jobs = [
            gevent.spawn(self._exchange_with, holder_id, report)
            for holder_id, report in reports.items()
        ]
        gevent.joinall(jobs)
        self.holder.forget_unreported()

    def _run(self) -> None:
        while True:
            self.clock.sleep(self.config().exchange_period_ms)
            self.exchange()

    def _build_reports(self) -> dict[str, pb.AccountReport]:
        alive = self.members.alive()
        self._holders.set_candidates(member.id for member in alive)
        now = self.clock.now()
        unchanged_ms = UNCHANGED_PERIODS * self.config().exchange_period_ms
        reports: dict[str, pb.AccountReport] = {}
        for (service, workspace), account in self.accounts.items():
            if account.backlogged_shards:
                account.active_at = now
            unchanged = (
                now - account.active_at > unchanged_ms and account.included >= account.served
            )
            if unchanged or not alive:
                continue
            holder_id = self._holder_of((service, workspace))
            if holder_id not in reports:
                reports[holder_id] = pb.AccountReport(
                    reporter=self.members.me.id, incarnation=self.incarnation
                )
            reports[holder_id].workspaces.append(
                pb.WorkspaceService(
                    workspace=workspace,
                    service=service,
                    served=account.served,
                    included=account.included,
                    highest_total=account.highest_total,
                    lift=account.lift,
                    backlogged=account.backlogged_shards > 0,
                )
            )
        for report in reports.values():
            report.levels.extend(self._levels({item.service for item in report.workspaces}))
        return reports

    def _holder_of(self, key: Key) -> str:
        return self._holders.owner("/".join(("account", *key))) or ""

    def _levels(self, services: set[str]) -> list[pb.ServiceLevel]:
        # A report usually holds one account. With the levels of all seven services of the design
        # size, levels made up more than half of its bytes.
        return [
            pb.ServiceLevel(service=service, level=level)
            for service, level in self.virtual_times.items()
            if service in services
        ]

    def _exchange_with(self, holder_id: str, report: pb.AccountReport) -> None:
        if holder_id == self.members.me.id:
            reply = self._on_report(holder_id, report)
        else:
            try:
                reply = self.peers.call(holder_id, kinds.ACCOUNT_REPORT, report, CALL_TIMEOUT_MS)
            except PeerUnavailable:
                return
        self.apply_reply(report, reply)

    def apply_reply(self, report: pb.AccountReport, reply: pb.AccountReply) -> None:
        """Take a holder's reply to `report`; old and repeated replies change nothing."""
        self._merge_levels(reply.levels)
        sent = {(item.service, item.workspace): item.served for item in report.workspaces}
        for item in reply.workspaces:
            key = (item.service, item.workspace)
            account = self.accounts.get(key)
            if account is None or key not in sent:
                continue
            account.highest_total = max(account.highest_total, item.total)
            account.included = max(account.included, sent[key])
            account.lift = max(account.lift, item.lift)
            if account.provisional_level is not None:
                if (
                    account.lift_if_idle
                    and item.idle_ms > IDLE_PERIODS * self.config().exchange_period_ms
                ):
                    virtual_time = self.virtual_times.get(item.service, 0.0)
                    only_backlogged = (
                        self._least_backlogged_level(item.service, item.workspace) is None
                    )
                    account.raise_total_to(
                        max(account.provisional_level, virtual_time if only_backlogged else 0.0)
                    )
                account.provisional_level = None
                account.lift_if_idle = False

    def _on_report(self, sender: str, report: pb.AccountReport) -> pb.AccountReply:
        del sender
        self._merge_levels(report.levels)
        reply = self.holder.on_report(report)
        reply.levels.extend(self._levels({item.service for item in report.workspaces}))
        return reply

    def _merge_levels(self, levels: Iterable[pb.ServiceLevel]) -> None:
        for item in levels:
            self._raise_virtual_time(item.service, item.level)

    def _raise_virtual_time(self, service: str, level: float) -> None:
        self.virtual_times[service] = max(self.virtual_times.get(service, 0.0), level)

    def _least_backlogged_level(self, service: str, excluded: str | None = None) -> float | None:
        return min(
            (
                account.level()
                for (name, workspace), account in self.accounts.items()
                if name == service and account.backlogged_shards and workspace != excluded
            ),
            default=None,
        )

    def _starting_level(self, service: str) -> float:
        least = self._least_backlogged_level(service)
        return self.virtual_times.get(service, 0.0) if least is None else least

    def _account(self, service: str, workspace: str) -> Account:
        return self.accounts.setdefault((service, workspace), Account())

    def _share(self, workspace: str) -> float:
        found = self.config().workspaces.get(workspace)
        return found.share if found is not None and found.share > 0 else 1.0
