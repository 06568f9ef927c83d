"""Sends each router's counts of begun requests to the candidates, and agrees on the time.

Load: about two messages a second from each router to each candidate, and no more than
`CANDIDATE_CALLS_PER_S` at a candidate up to 400 routers. Totals are repeated until the candidate
has answered, so a lost message costs one period. Candidates pass on the totals of processes that
have ended, so these survive their routers.
"""

import sys
from dataclasses import dataclass

import gevent
import structlog

from jacinthcove.background import BackgroundTask, run_step
from jacinthcove.clock import Clock
from jacinthcove.duties.agreedtime import AgreedTime
from jacinthcove.duties.candidates import candidates
from jacinthcove.duties.windowcounts import KEPT_WINDOWS, FleetCounts, RouterTotals, WindowCounts
from jacinthcove.errors import PeerUnavailable
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.kinds import BEGUN_COUNTS
from jacinthcove.mesh.peers import Members, Peers

log = structlog.get_logger()

PERIOD_MS = 500
# Larger fleets send less often, but in time for a report that waits for all routers.
CANDIDATE_CALLS_PER_S = 100
MAX_PERIOD_MS = 4_000
CALL_TIMEOUT_MS = 400
# Counts of a process that is silent for this many periods, or that another one of its router has
# followed, are passed on to the other candidates.
SILENT_PERIODS = 4
# A process without counts is forgotten after this time.
IDLE_MS = 120_000


@dataclass(frozen=True)
class _Answered:
    """The process of a candidate that answered, and the snapshot that it has then."""

    incarnation: int
    sequence: int
    through_ms: int


NOTHING_ANSWERED = _Answered(0, 0, 0)


class CountExchange:
    """The counts of this router and, at a candidate, of the fleet."""

    def __init__(
        self,
        clock: Clock,
        members: Members,
        peers: Peers,
        time: AgreedTime,
        own: WindowCounts,
    ):
        self.clock = clock
        self.members = members
        self.peers = peers
        self.time = time
        self.own = own
        self.fleet = FleetCounts()
        # True ms since when this router is a candidate, so that it gets all counts; None if not.
        self.receiving_since: int | None = None
        # By candidate, what it answered last.
        self.answered: dict[str, _Answered] = {}
        # By candidate, the sequence of each ended process that it has answered.
        self.passed_on: dict[str, dict[tuple[str, int], int]] = {}
        self.task = BackgroundTask(self._run)
        time.begin()
        peers.register(BEGUN_COUNTS, self.serve_counts)

    def start(self) -> None:
        """Start to send counts."""
        self.task.start()

    def close(self) -> None:
        """Stop sending."""
        self.task.close()

    def period_ms(self) -> float:
        """Return the time between two rounds."""
        spread_ms = 1_000 * len(self.members.alive()) / CANDIDATE_CALLS_PER_S
        return min(MAX_PERIOD_MS, max(PERIOD_MS, spread_ms))

    def serve_counts(self, sender: str, message: pb.BegunCounts) -> pb.BegunCountsReply:
        """Merge the counts of another router; handles `BEGUN_COUNTS`."""
        self.time.record_reading(sender, message.wall_ms)
        for totals in message.totals:
            self.fleet.merge(_decode(totals))
        incarnation = self.own.totals.incarnation
        now = self.time.now()
        if now is None:
            return pb.BegunCountsReply(incarnation=incarnation)
        return pb.BegunCountsReply(
            settled=True,
            true_ms=now,
            founded_ms=self.time.founded_at or 0,
            incarnation=incarnation,
        )

    def missing_routers(self, window: int) -> list[str]:
        """Return the living routers whose counts of a window are not known in full."""
        alive = [member.id for member in self.members.alive()]
        return self.fleet.missing(alive, (window + 1) * self.own.window_ms)

    def step(self) -> None:
        """Send what changed to the candidates, and keep this router's own counts."""
        self.time.step()
        own = self.own.snapshot()
        self.fleet.merge(
            RouterTotals(
                own.router,
                own.incarnation,
                own.sequence,
                own.through_ms,
                {window: dict(counts) for window, counts in own.windows.items()},
            )
        )
        chosen = candidates(self.members)
        self._record_role(chosen)
        self._forget(chosen)
        calls = [
            gevent.spawn(self._send, candidate)
            for candidate in chosen
            if candidate != self.members.me.id
        ]
        gevent.joinall(calls)

    def _record_role(self, chosen: list[str]) -> None:
        if self.members.me.id not in chosen:
            self.receiving_since = None
        elif self.receiving_since is None:
            self.receiving_since = self.time.now()

    def _forget(self, chosen: list[str]) -> None:
        self.answered = {key: item for key, item in self.answered.items() if key in chosen}
        self.passed_on = {key: item for key, item in self.passed_on.items() if key in chosen}
        now = self.time.now()
        if now is not None:
            self.fleet.prune(now // self.own.window_ms - KEPT_WINDOWS)
            self.fleet.forget_idle(now - IDLE_MS)

    def _send(self, candidate: str) -> None:
        before = self.answered.get(candidate, NOTHING_ANSWERED)
        if not self._send_changes(candidate, before):
            return
        if self.answered[candidate].incarnation != before.incarnation != 0:
            # The candidate started again, and lacks what only its former process has.
            self.passed_on.pop(candidate, None)
            self.answered[candidate] = NOTHING_ANSWERED
            # A receiver ignores what has the sequence number of an earlier message.
            self.own.snapshot()
            self._send_changes(candidate, NOTHING_ANSWERED)

    def _send_changes(self, candidate: str, before: "_Answered") -> bool:
        """Send what a candidate lacks, if anything; return whether it answered."""
        sequence = before.sequence
        ended = self._ended_processes(candidate)
        if not ended and not self._is_due(sequence, before.through_ms):
            return False
        own = self.own.totals
        sent_sequence, sent_through = own.sequence, own.through_ms
        changed = self.own.changed_since(sequence)
        message = pb.BegunCounts(
            totals=[_encode(own, changed), *(_encode(item, item.windows) for item in ended)],
            wall_ms=self.clock.wall(),
        )
        passed_on = {(item.router, item.incarnation): item.sequence for item in ended}
        sent_at = self.clock.boot()
        try:
            reply = self.peers.call(candidate, BEGUN_COUNTS, message, CALL_TIMEOUT_MS)
        except PeerUnavailable as error:
            log.debug("begun_counts_not_sent", router=candidate, reason=str(error))
            return False
        self.answered[candidate] = _Answered(reply.incarnation, sent_sequence, sent_through)
        self.passed_on.setdefault(candidate, {}).update(passed_on)
        if reply.settled:
            self.time.record_answer(candidate, reply.true_ms, reply.founded_ms, sent_at)
        return True

    def _is_due(self, sequence: int, through: int) -> bool:
        """Return whether counts changed, or the candidate does not know the last window's end."""
        if not self.time.settled or not sequence or self.own.has_changes(sequence):
            return True
        window_ms = self.own.window_ms
        return self.own.totals.through_ms // window_ms > through // window_ms

    def _ended_processes(self, candidate: str) -> list[RouterTotals]:
        """Return the totals of silent processes that a candidate may lack."""
        now = self.time.now()
        if self.receiving_since is None or now is None:
            return []
        known = self.passed_on.get(candidate, {})
        own = (self.own.totals.router, self.own.totals.incarnation)
        silent_since = now - SILENT_PERIODS * self.period_ms()
        newest: dict[str, int] = {}
        for (router, _), totals in self.fleet.by_process.items():
            newest[router] = max(totals.through_ms, newest.get(router, 0))
        return [
            totals
            for key, totals in self.fleet.by_process.items()
            if key != own
            and totals.windows
            and (totals.through_ms < silent_since or totals.through_ms < newest[key[0]])
            and known.get(key) != totals.sequence
        ]

    def _run(self) -> None:
        while True:
            run_step(self.step)
            gevent.sleep(self.period_ms() / 1_000)


def _encode(totals: RouterTotals, windows: dict[int, dict[str, int]]) -> pb.BegunTotals:
    return pb.BegunTotals(
        router=totals.router,
        incarnation=totals.incarnation,
        sequence=totals.sequence,
        through_ms=totals.through_ms,
        windows=[pb.WindowCounts(window=key, counts=counts) for key, counts in windows.items()],
    )


def _decode(message: pb.BegunTotals) -> RouterTotals:
    # Interned, as each workspace is named in the counts of many routers and windows.
    windows = {
        item.window: {sys.intern(name): count for name, count in item.counts.items()}
        for item in message.windows
    }
    return RouterTotals(
        message.router, message.incarnation, message.sequence, message.through_ms, windows
    )
