"""Which version of a service serves a request, and the results that decide about moves."""

import random
from collections.abc import Callable

import gevent
import structlog

from jacinthcove.clock import Clock
from jacinthcove.config.model import FleetConfig
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.kinds import MOVE_CUT
from jacinthcove.mesh.peers import Members, Peers
from jacinthcove.mesh.spread import broadcast
from jacinthcove.moves.evidence import Evidence, RequestResult
from jacinthcove.moves.guard import Guard
from jacinthcove.moves.split import VersionSplit
from jacinthcove.router.results import VersionResult

log = structlog.get_logger()

CUT_FANOUT = 4
# Known cuts are repeated to one member at a time, so that a lost message delays them only briefly.
REPEAT_PERIOD_MS = 1_000


class VersionControl:
    """Joins the canary share, the local guard and the evidence of this router.

    `has_targets(service, version)` tells whether any target of a version takes work.
    """

    def __init__(
        self,
        clock: Clock,
        config: Callable[[], FleetConfig],
        members: Members,
        peers: Peers,
        has_targets: Callable[[str, str], bool],
    ):
        self.clock = clock
        self.config = config
        self.members = members
        self.peers = peers
        self.incarnation = clock.wall()
        self.evidence = Evidence()
        self.guard = Guard(config, clock, members.me.id, self.evidence, self._on_cut)
        self.split = VersionSplit(config, clock, self.guard.is_cut, has_targets)
        self.random = random.Random()
        self.task: gevent.Greenlet | None = None
        peers.register(MOVE_CUT, self._on_remote_cut)

    def start(self) -> None:
        """Start to repeat known cuts to other routers."""
        self.task = gevent.spawn(self._repeat_cuts)

    def close(self) -> None:
        """Stop repeating cuts."""
        if self.task is not None:
            self.task.kill()
            self.task = None

    def choose(self, service: str, route: str) -> str:
        """Return the version that serves the next request of a route."""
        return self.split.choose(service, route)

    def record(self, result: VersionResult) -> None:
        """Take the result of one attempt."""
        later_tokens = max(0, result.tokens - 1)
        self.guard.record(
            result.service,
            result.route,
            result.version,
            RequestResult(result.code, result.first_token_ms, result.token_ms_sum, later_tokens),
        )

    def member_status(self, revision: int) -> pb.MemberStatus:
        """Return this router's status for the controller."""
        return pb.MemberStatus(
            member_id=self.members.me.id,
            config_revision=revision,
            evidence=self.evidence.messages(self.config()),
            cuts=self.guard.cuts(),
            incarnation=self.incarnation,
        )

    def _on_cut(self, cut: pb.MoveCut) -> None:
        log.warning("version_cut", move=cut.move_id, route=cut.route, reason=cut.reason)
        broadcast(self.members, self.peers, MOVE_CUT, cut, CUT_FANOUT, self.random)

    def _on_remote_cut(self, sender: str, cut: pb.MoveCut) -> None:
        if self.guard.apply_remote(cut):
            log.warning(
                "version_cut_received",
                move=cut.move_id,
                route=cut.route,
                reason=cut.reason,
                origin=cut.origin,
            )
            broadcast(self.members, self.peers, MOVE_CUT, cut, CUT_FANOUT, self.random)

    def _repeat_cuts(self) -> None:
        while True:
            self.clock.sleep(REPEAT_PERIOD_MS)
            active = {
                move.id for move in map(self.config().active_move, self.config().services) if move
            }
            for cut in self.guard.cuts():
                if cut.move_id in active:
                    broadcast(self.members, self.peers, MOVE_CUT, cut, 1, self.random)
