"""Collects the crashes of engines over all routers, and quarantines the marks behind them.

A router sees only its own requests at an engine that crashed. It reports their marks to two
examiners, which are the same for all routers. An examiner asks the other routers whether an answer
on a suspect mark has begun. If none has, it announces the mark, or the combination of marks, to all
routers and puts it into the store, where routers that start or were cut off find it. A router that
reaches no examiner examines its own crashes.
"""

import random
from collections.abc import Collection
from typing import Protocol

import gevent
import structlog
from gevent.event import Event

from jacinthcove.background import BackgroundTask, run_step
from jacinthcove.clock import Clock
from jacinthcove.errors import StoreUnavailable
from jacinthcove.gateway.crashevidence import (
    CrashEvidence,
    EngineStart,
    FirstEvents,
    WaitingRequest,
)
from jacinthcove.gateway.crashmarks import Combination
from jacinthcove.gateway.quarantine import Quarantine
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.fanout import call_all, other_ids
from jacinthcove.mesh.kinds import BEGUN_QUERY, CRASH_REPORT, QUARANTINE_NOTICE
from jacinthcove.mesh.peers import Members, Peers
from jacinthcove.scheduling import rendezvous

log = structlog.get_logger()

EXAMINERS = 2
# Routers that are asked about suspect marks at once, and suspect marks in one question.
MAX_ASKED = 128
MAX_SUSPECTS = 64
QUERY_TIMEOUT_MS = 400
# More combinations than this are not quarantined: something else is wrong with the engines.
MAX_QUARANTINED = 32
# Time between two examinations, and between two attempts to bring the store up to date.
EXAMINE_INTERVAL_MS = 100
UPKEEP_INTERVAL_MS = 1_000


class QuarantineStore(Protocol):
    """Keeps the combinations in quarantine; both methods raise `StoreUnavailable`."""

    def put(self, combination: Combination) -> None:
        """Add a combination unless it is kept already."""

    def delete(self, combination: Combination) -> None:
        """Remove a combination if it is kept."""


class CrashExaminer:
    """Reports crashes to the examiners, and is one of them if this router is among them."""

    def __init__(
        self,
        clock: Clock,
        first_events: FirstEvents,
        quarantine: Quarantine,
        store: QuarantineStore,
    ):
        self.clock = clock
        self.first_events = first_events
        self.quarantine = quarantine
        self.store = store
        self.evidence = CrashEvidence(clock)
        self.members: Members | None = None
        self.peers: Peers | None = None
        self.new_evidence = Event()
        # To delete from the store, because an answer on these marks has begun.
        self.released: set[Combination] = set()
        self.examine_task = BackgroundTask(self._examine_loop)
        self.upkeep_task = BackgroundTask(self._upkeep_loop)

    def start(self) -> None:
        """Start to examine what is reported to this router."""
        self.examine_task.start()
        self.upkeep_task.start()

    def close(self) -> None:
        """Stop examining."""
        self.examine_task.close()
        self.upkeep_task.close()

    def join(self, members: Members, peers: Peers) -> None:
        """Start to exchange crashes with other routers."""
        self.members, self.peers = members, peers
        peers.register(CRASH_REPORT, self.on_report)
        peers.register(BEGUN_QUERY, self.on_query)
        peers.register(QUARANTINE_NOTICE, self.on_notice)

    def report(
        self, engine: EngineStart, requests: Collection[WaitingRequest], crashed_at: int
    ) -> None:
        """Report that an engine crashed at `crashed_at` (monotonic ms) with these requests."""
        marks = [sorted(request.marks) for request in requests]
        log.info("engine_crashed", target=engine.target_id, requests=marks)
        message = pb.CrashReport(
            target_id=engine.target_id,
            started_at=engine.started_at,
            age_ms=max(0, self.clock.now() - crashed_at),
            requests=[
                pb.WaitingRequest(marks=item.marks, broke_off_at=item.broke_off_at)
                for item in requests
            ],
        )
        # What a router sees itself is only a part of each crash, and misleads.
        if not self._send_to_examiners(message):
            self._record(engine, requests, crashed_at)

    def _send_to_examiners(self, message: pb.CrashReport) -> bool:
        """Send a report to all examiners; return whether one of them has it."""
        if self.members is None or self.peers is None:
            return False
        examiners = self.examiners()
        replies = call_all(self.peers, examiners, CRASH_REPORT, message, QUERY_TIMEOUT_MS)
        for examiner in set(examiners) - replies.keys():
            log.warning("crash_not_reported", router=examiner)
        return bool(replies)

    def release(self, combinations: Collection[Combination]) -> None:
        """Release combinations, because an answer on all of their marks has begun."""
        for combination in combinations:
            self.evidence.clear(combination)
            self.quarantine.remove_found(combination)
            self.quarantine.remove_stored(combination)
            self.released.add(combination)

    def examiners(self) -> list[str]:
        """Return the routers that collect the crashes of the whole fleet."""
        assert self.members is not None
        ids = [member.id for member in self.members.alive()]
        return rendezvous.ranked("crashes", ids)[:EXAMINERS]

    def on_report(self, sender: str, message: pb.CrashReport) -> pb.Empty:
        """Record a crash that another router saw; handles `CRASH_REPORT`."""
        del sender
        requests = [
            WaitingRequest(frozenset(item.marks), frozenset(item.broke_off_at))
            for item in message.requests
        ]
        engine = EngineStart(message.target_id, message.started_at)
        self._record(engine, requests, self.clock.now() - message.age_ms)
        return pb.Empty()

    def on_query(self, sender: str, message: pb.BegunQuery) -> pb.BegunReply:
        """Return the marks on which an answer has begun here; handles `BEGUN_QUERY`."""
        del sender
        return self._answer(dict(zip(message.marks, message.ages_ms, strict=False)))

    def on_notice(self, sender: str, message: pb.QuarantineNotice) -> None:
        """Refuse what an examiner has found; handles `QUARANTINE_NOTICE`."""
        del sender
        if message.marks:
            self.quarantine.add_found(frozenset(message.marks))

    def _record(
        self, engine: EngineStart, requests: Collection[WaitingRequest], crashed_at: int
    ) -> None:
        self.evidence.record(engine, requests, crashed_at)
        self.new_evidence.set()

    def _examine_loop(self) -> None:
        while True:
            self.new_evidence.wait()
            self.new_evidence.clear()
            run_step(self.examine)
            gevent.sleep(EXAMINE_INTERVAL_MS / 1000)

    def examine(self) -> None:
        """Quarantine the suspect marks on which no answer has begun at any router."""
        suspects = self._new_suspects()
        if not suspects:
            return
        ages_ms = {mark: self.evidence.age_ms(mark) for mark in suspects}
        replies = [self._answer(ages_ms), *self._ask_others(ages_ms)]
        self.evidence.clear(mark for reply in replies for mark in reply.marks)
        if not any(reply.any_begun for reply in replies):
            log.warning("no_answer_begins", suspects=suspects)
            return
        while suspects := self._new_suspects():
            if len(self.quarantine) >= MAX_QUARANTINED:
                log.error("quarantine_full", suspects=suspects)
                return
            # The largest one refuses the fewest sound requests, and explains crashes at which one
            # of its marks was waiting alone. Of several, that with the most crashes comes first.
            found = [self.evidence.combination(mark) for mark in suspects]
            self._quarantine(max(found, key=len))

    def _answer(self, ages_ms: dict[str, int]) -> pb.BegunReply:
        """Return on which marks, and whether on any at all, an answer has begun here."""
        now = self.clock.now()
        begun = [
            mark for mark, age in ages_ms.items() if self.first_events.begun_since(mark, now - age)
        ]
        any_begun = self.first_events.any_begun_since(now - max(ages_ms.values(), default=0))
        return pb.BegunReply(marks=begun, any_begun=any_begun)

    def _new_suspects(self) -> list[str]:
        """Return the suspect marks whose requests are not refused yet."""
        return [
            mark
            for mark in self.evidence.suspects(self.quarantine.combinations())[:MAX_SUSPECTS]
            if not self.quarantine.find(self.evidence.combination(mark))
        ]

    def _ask_others(self, ages_ms: dict[str, int]) -> list[pb.BegunReply]:
        if self.members is None or self.peers is None:
            return []
        others = other_ids(self.members)
        asked = random.sample(others, min(len(others), MAX_ASKED))
        message = pb.BegunQuery(marks=list(ages_ms), ages_ms=list(ages_ms.values()))
        replies = call_all(self.peers, asked, BEGUN_QUERY, message, QUERY_TIMEOUT_MS, MAX_ASKED)
        return list(replies.values())

    def _quarantine(self, combination: Combination) -> None:
        self.quarantine.add_found(combination)
        if self.members is not None and self.peers is not None:
            notice = pb.QuarantineNotice(marks=sorted(combination))
            for router in other_ids(self.members):
                self.peers.send(router, QUARANTINE_NOTICE, notice)
        self._store(combination)

    def _store(self, combination: Combination) -> None:
        try:
            self.store.put(combination)
        except StoreUnavailable as error:
            log.warning("quarantine_not_stored", marks=sorted(combination), reason=str(error))

    def upkeep(self) -> None:
        """Store what was found and is not stored yet, and delete what is released or expired."""
        if self.members is None or self.members.me.id in self.examiners():
            for combination in self.quarantine.unstored():
                self._store(combination)
            self.released.update(self.quarantine.expired(), self.quarantine.outdated)
        for combination in list(self.released):
            try:
                self.store.delete(combination)
            except StoreUnavailable as error:
                log.warning("quarantine_not_deleted", marks=sorted(combination), reason=str(error))
                return
            self.released.discard(combination)

    def _upkeep_loop(self) -> None:
        while True:
            gevent.sleep(UPKEEP_INTERVAL_MS / 1000)
            run_step(self.upkeep)
