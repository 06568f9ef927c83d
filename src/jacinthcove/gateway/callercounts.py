"""What the routers of the fleet report about their callers."""

from collections.abc import Mapping
from dataclasses import dataclass

from jacinthcove.clock import Clock
from jacinthcove.gateway.load import REPORT_LIFETIME_MS
from jacinthcove.gateway.loadreports import LoadReporter
from jacinthcove.gateway.overload import may_be_overloaded, overloaded
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.peers import Members


@dataclass(frozen=True)
class RouterCallers:
    """What a router reported about its callers at `reported_at` (monotonic ms).

    `away`: it accepts no callers. `late`: it has more work than it can keep up with. `full`: it has
    no room for requests of other routers. `configuration` is the version in force there.
    """

    open_requests: int
    away: bool
    late: bool
    full: bool
    configuration: int
    reported_at: int


NO_CALLERS = RouterCallers(
    open_requests=0, away=False, late=False, full=False, configuration=0, reported_at=0
)


def callers_from_report(message: pb.LoadShare | pb.IncludedReport, now: int) -> RouterCallers:
    """Convert the caller fields of a load report that was received at `now`."""
    return RouterCallers(
        message.open_requests,
        message.away,
        message.late,
        message.full,
        message.configuration,
        reported_at=now,
    )


class CallerCounts:
    """The callers of all routers, and which routers should get no more."""

    def __init__(self, clock: Clock, members: Members, reporter: LoadReporter):
        self.clock = clock
        self.members = members
        self.reporter = reporter
        self.by_router: dict[str, RouterCallers] = {}

    def record(self, router: str, message: pb.LoadShare | pb.IncludedReport) -> None:
        """Record the caller fields of a report about a router."""
        self.by_router[router] = callers_from_report(message, self.clock.now())

    def open_requests(self) -> dict[str, int]:
        """Return the open requests of this router and of those with a recent report, by id."""
        return self._open_requests(self._recent())

    def not_accepting(self) -> frozenset[str]:
        """Return the other routers that recently reported that they accept no callers."""
        return frozenset(router for router, item in self._recent().items() if item.away)

    def with_room(self, configuration: int) -> frozenset[str]:
        """Return the routers that recently reported room for others' requests and this version.

        A router with another version of the configuration may deny what this one allows.
        """
        return frozenset(
            router
            for router, item in self._recent().items()
            if item.configuration == configuration and not (item.full or item.away)
        )

    def overloaded(self) -> frozenset[str]:
        """Return the routers that have more callers than they can carry."""
        callers = self._recent()
        late = {router for router, item in callers.items() if item.late}
        if self.reporter.is_late():
            late.add(self.members.me.id)
        return overloaded(self._open_requests(callers), late)

    def is_crowded(self) -> bool:
        """Return whether this router has more callers than it can carry.

        Called for each response, so most calls must not look at the reports of all routers.
        """
        me = self.members.me.id
        reported = self.by_router.get(me, NO_CALLERS)
        if not may_be_overloaded(
            self.reporter.reported_open_requests, self.reporter.is_late() or reported.late
        ):
            return False
        return me in self.overloaded()

    def _open_requests(self, callers: Mapping[str, RouterCallers]) -> dict[str, int]:
        counts = {router: item.open_requests for router, item in callers.items()}
        return counts | {self.members.me.id: self.reporter.reported_open_requests}

    def _recent(self) -> dict[str, RouterCallers]:
        since = self.clock.now() - REPORT_LIFETIME_MS
        return {
            router: item
            for router, item in self.by_router.items()
            if item.reported_at >= since and self.members.get(router) is not None
        }
