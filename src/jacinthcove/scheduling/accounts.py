"""Service accounts: how much each workspace has received from each service across the fleet.

The level of a workspace is the service it has received divided by its share; the scheduler serves
the lowest level first. Usage is divided by the share when it is charged, so a change of share
affects only later usage. Accounts are per service, because only workspaces that compete for the
same targets are compared.
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
from jacinthcove.scheduling.accountholder import AccountHolder, Key

# A workspace is idle when no other router has reported a backlog of it for more than this many
# exchange periods. With two, a single lost report does not make it look idle.
IDLE_PERIODS = 2
# Accounts that did not change for this many exchange periods are left out of reports.
UNCHANGED_PERIODS = 10
CALL_TIMEOUT_MS = 1_000


@dataclass
class Account:
    """This router's view of one account; amounts are service units divided by the share.

    `served` is what this router has charged. `highest_total` is the highest fleet total received
    from the account holder, and `included` is the part of `served` that it contains. `lift` is a
    lower bound for the fleet total. `reserved` is the expected rest of requests in flight.
    `backlogged_shards` counts this router's shards with a backlog of the workspace, and
    `active_at` is the monotonic time in ms of the last change.
    """

    served: float = 0.0
    included: float = 0.0
    highest_total: float = 0.0
    lift: float = 0.0
    reserved: float = 0.0
    backlogged_shards: int = 0
    active_at: int = 0
    # Lower bound for the level until the account holder replies; None afterwards.
    provisional_level: float | None = None
    # The workspace became backlogged here. If the holder's reply says that it was idle everywhere
    # else, the provisional level becomes permanent.
    lift_if_idle: bool = False

    def total(self) -> float:
        """Return the fleet total at the last exchange plus own service since."""
        return max(self.highest_total, self.lift) + self.served - self.included

    def level(self) -> float:
        """Return the total plus the reserved amount of requests in flight."""
        return max(self.total(), self.provisional_level or 0.0) + self.reserved

    def raise_total_to(self, level: float) -> None:
        """Raise `lift` so that the total is at least `level`."""
        self.lift = max(self.lift, level - (self.served - self.included))


class Accounts:
    """The accounts of one router and their periodic exchange with the account holders.

    The holder of an account is the router that sums the reports of all routers; it is chosen by
    rendezvous hashing. This router is the holder of some accounts itself. Its incarnation as a
    reporter is the wall time at construction, because its incarnation as a member also changes
    when no state is lost.
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
        """Charge `units` of service that `workspace` has received."""
        account = self._account(service, workspace)
        account.served += max(0.0, units) / self._share(workspace)
        account.active_at = self.clock.now()

    def reserve(self, service: str, workspace: str, units: float) -> float:
        """Raise the level by expected service; returns the amount for `release_reservation`."""
        amount = max(0.0, units) / self._share(workspace)
        self._account(service, workspace).reserved += amount
        return amount

    def release_reservation(self, service: str, workspace: str, amount: float) -> None:
        """Lower the level by an amount that `reserve` returned."""
        account = self._account(service, workspace)
        account.reserved = max(0.0, account.reserved - amount)

    def add_backlogged_shard(self, service: str, workspace: str, moved: bool = False) -> None:
        """Record that one more shard of this router has a backlog of `workspace`.

        If it is the first one, the level starts at the lowest level of the other backlogged
        workspaces until the holder reports whether the workspace waits at other routers. `moved`
        says that the tickets were pulled from another shard, where the workspace already waited.
        """
        account = self._account(service, workspace)
        if account.backlogged_shards == 0 and not moved:
            account.provisional_level = max(account.total(), self._starting_level(service))
            account.lift_if_idle = True
        account.backlogged_shards += 1
        account.active_at = self.clock.now()

    def remove_backlogged_shard(self, service: str, workspace: str) -> None:
        """Record that one shard of this router no longer has a backlog of `workspace`."""
        account = self._account(service, workspace)
        account.backlogged_shards = max(0, account.backlogged_shards - 1)
        account.active_at = self.clock.now()

    def apply_ticket_level(self, service: str, workspace: str, level: float) -> None:
        """Use a pulled ticket's level, if higher, until the account holder sends the total."""
        account = self._account(service, workspace)
        if account.level() < level:
            account.provisional_level = max(
                account.provisional_level or 0.0, level - account.reserved
            )

    def advance_virtual_time(self, service: str, workspace: str) -> None:
        """Advance the virtual time of `service` to the level of the workspace being served."""
        self._raise_virtual_time(service, self.level(service, workspace))

    def exchange(self) -> None:
        """Report to all account holders in parallel and wait for their replies."""
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
        # Only the services of the report are included, because a report usually has one account:
        # the levels of all seven services of the design size took more than half of its bytes.
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
        """Apply a holder's reply to `report`; old and repeated replies change nothing."""
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
                        self._lowest_backlogged_level(item.service, item.workspace) is None
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

    def _lowest_backlogged_level(self, service: str, excluded: str | None = None) -> float | None:
        return min(
            (
                account.level()
                for (name, workspace), account in self.accounts.items()
                if name == service and account.backlogged_shards and workspace != excluded
            ),
            default=None,
        )

    def _starting_level(self, service: str) -> float:
        lowest = self._lowest_backlogged_level(service)
        return self.virtual_times.get(service, 0.0) if lowest is None else lowest

    def _account(self, service: str, workspace: str) -> Account:
        return self.accounts.setdefault((service, workspace), Account())

    def _share(self, workspace: str) -> float:
        found = self.config().workspaces.get(workspace)
        return found.share if found is not None and found.share > 0 else 1.0
