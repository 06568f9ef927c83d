"""Selects the version that serves a request, and records results as evidence for moves."""

import random
from collections.abc import Callable

import gevent
import structlog

from jacinthcove.background import run_step
from jacinthcove.clock import Clock
from jacinthcove.config.model import FleetConfig, Move
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.gossip import send_to_random_members
from jacinthcove.mesh.kinds import MOVE_CUT
from jacinthcove.mesh.peers import Members, Peers
from jacinthcove.moves.detector import FaultDetector
from jacinthcove.moves.evidence import EvidenceKey, RequestResult, RouterEvidence
from jacinthcove.moves.rates import RequestRates
from jacinthcove.moves.split import VersionSplit, effective_share
from jacinthcove.router.results import VersionResult

log = structlog.get_logger()

CUT_FANOUT = 4
# Each known cut is sent again to one random member per period, so that a lost message only causes
# a short delay.
CUT_REPEAT_PERIOD_MS = 1_000


class VersionManager:
    """Combines the canary traffic split, the fault detector and the evidence of this router.

    `target_count(service, version)` returns how many targets of a version accept requests.
    """

    def __init__(
        self,
        clock: Clock,
        config: Callable[[], FleetConfig],
        members: Members,
        peers: Peers,
        target_count: Callable[[str, str], int],
    ):
        self.clock = clock
        self.config = config
        self.members = members
        self.peers = peers
        self.incarnation = clock.wall()
        self.evidence = RouterEvidence()
        self.fault_detector = FaultDetector(
            config, clock, members.me.id, self.evidence, self._on_cut
        )
        self.target_count = target_count
        self.split = VersionSplit(
            config,
            clock,
            self.fault_detector.is_cut,
            lambda service, version: target_count(service, version) > 0,
            members.me.id,
        )
        self.step_started_at: dict[str, int] = {}
        self.lost_targets: dict[str, set[str]] = {}
        self.rates = RequestRates(clock)
        self.random = random.Random()
        self.task: gevent.Greenlet | None = None
        peers.register(MOVE_CUT, self._on_remote_cut)

    def start(self) -> None:
        """Start sending known cuts to other routers periodically."""
        self.task = gevent.spawn(self._repeat_cuts)

    def close(self) -> None:
        """Stop sending known cuts."""
        if self.task is not None:
            self.task.kill()
            self.task = None

    def choose(self, service: str, route: str) -> str:
        """Return the version that serves the next request of a route."""
        version = self.split.choose(service, route)
        self.rates.count(service)
        move = self.config().active_move(service)
        if move is not None:
            self._track_step(move)
            self.evidence.start(EvidenceKey(service, route, version))
        return version

    def is_withdrawn(self, service: str, route: str, version: str) -> bool:
        """Return whether requests that wait for `version` must choose a version again."""
        config = self.config()
        for move in config.moves.values():
            if move.service == service and move.to_version == version:
                if config.services[service].version == version:
                    return False
                share = effective_share(move, self.clock.wall())
                return share <= 0.0 or self.fault_detector.is_cut(move.id, route)
        return False

    def _track_step(self, move: Move) -> None:
        if self.evidence.begin_step(move):
            self.step_started_at[move.service] = self.clock.now()
            if move.step == 0:
                self.lost_targets.pop(move.service, None)

    def _is_isolated_target_loss(self, result: VersionResult) -> bool:
        """Return whether the target was lost, and at most half of its version's targets so far.

        The failure of a single VM is not evidence against its version. The loss of more than half
        of the version's targets is.
        """
        if not result.target_lost:
            return False
        lost = self.lost_targets.setdefault(result.service, set())
        lost.add(result.target)
        return 2 * len(lost) <= self.target_count(result.service, result.version)

    def record(self, result: VersionResult) -> None:
        """Record the result of one attempt if the service has an active move."""
        move = self.config().active_move(result.service)
        if move is None:
            return
        self._track_step(move)
        if result.version == move.to_version and self._is_isolated_target_loss(result):
            return
        later_tokens = max(0, result.tokens - 1)
        self.fault_detector.record(
            result.service,
            result.route,
            result.version,
            RequestResult(
                result.code,
                result.first_token_ms,
                result.token_ms_sum,
                later_tokens,
                earlier_step=result.sent_at < self.step_started_at.get(result.service, 0),
            ),
        )

    def member_status(self, revision: int) -> pb.MemberStatus:
        """Return this router's status for the controller."""
        return pb.MemberStatus(
            member_id=self.members.me.id,
            config_revision=revision,
            evidence=self.evidence.messages(self.config()),
            cuts=self.fault_detector.cuts(),
            incarnation=self.incarnation,
            request_rate=self.rates.per_second(),
        )

    def _on_cut(self, cut: pb.MoveCut) -> None:
        log.warning("version_cut", move=cut.move_id, route=cut.route, reason=cut.reason)
        send_to_random_members(self.members, self.peers, MOVE_CUT, cut, CUT_FANOUT, self.random)

    def _on_remote_cut(self, sender: str, cut: pb.MoveCut) -> None:
        if self.fault_detector.add_remote_cut(cut):
            log.warning(
                "version_cut_received",
                move=cut.move_id,
                route=cut.route,
                reason=cut.reason,
                origin=cut.origin,
            )
            send_to_random_members(self.members, self.peers, MOVE_CUT, cut, CUT_FANOUT, self.random)

    def _repeat_cuts(self) -> None:
        while True:
            self.clock.sleep(CUT_REPEAT_PERIOD_MS)
            run_step(self._send_cuts)

    def _send_cuts(self) -> None:
        active = {
            move.id for move in map(self.config().active_move, self.config().services) if move
        }
        for cut in self.fault_detector.cuts():
            if cut.move_id in active:
                send_to_random_members(self.members, self.peers, MOVE_CUT, cut, 1, self.random)
