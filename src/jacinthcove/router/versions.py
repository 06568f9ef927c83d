"""Which version of a service serves a request, and the results that decide about moves."""

from collections.abc import Callable

from jacinthcove.clock import Clock
from jacinthcove.config.model import FleetConfig
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.peers import Peers
from jacinthcove.moves.split import VersionSplit
from jacinthcove.router.results import VersionResult
from jacinthcove.scheduling.placement import Placement


class VersionControl:
    """Joins the canary share, the local guard and the evidence of this router."""

    def __init__(
        self,
        clock: Clock,
        config: Callable[[], FleetConfig],
        peers: Peers,
        placement: Placement,
    ):
        self.config = config
        self.placement = placement
        self.split = VersionSplit(config, clock, lambda move, route: False, self._usable)

    def start(self) -> None:
        """Start."""

    def close(self) -> None:
        """Close."""

    def choose(self, service: str, route: str) -> str:
        """Return the version that serves the next request of a route."""
        return self.split.choose(service, route)

    def record(self, result: VersionResult) -> None:
        """Take the result of one attempt."""

    def member_status(self, member_id: str, revision: int) -> pb.MemberStatus:
        """Return this router's status for the fleet."""
        return pb.MemberStatus(member_id=member_id, config_revision=revision)

    def _usable(self, service: str, version: str) -> bool:
        return bool(self.placement.open_shards(service, version))
