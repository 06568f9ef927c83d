"""Watches attempts at targets for answers that begin and for targets that crash."""

from dataclasses import dataclass, field

import gevent

from jacinthcove.gateway.attempt import Attempt
from jacinthcove.gateway.crashevidence import EngineStart, FirstEvents, WaitingRequest
from jacinthcove.gateway.crashexaminer import CrashExaminer
from jacinthcove.gateway.crashmarks import Combination, crash_marks
from jacinthcove.gateway.forward import ForwardedRequest
from jacinthcove.gateway.quarantine import Quarantine
from jacinthcove.gateway.retrypolicy import AttemptOutcome, NextAction
from jacinthcove.targets.sockets import TargetNotListening, TargetUnreachable, connect

# After a broken connection, the time until a connection attempt shows whether the engine crashed.
# The connections of other requests break meanwhile.
CONFIRM_DELAY_MS = 30


@dataclass
class BrokenConnections:
    """The requests that broke off at one engine since `since` (monotonic ms)."""

    since: int
    requests: set[WaitingRequest] = field(default_factory=set)


class CrashWitness:
    """Reports the requests that waited for their answer at a crashed engine.

    Implements `AttemptObserver`.
    """

    def __init__(self, first_events: FirstEvents, quarantine: Quarantine, examiner: CrashExaminer):
        self.first_events = first_events
        self.quarantine = quarantine
        self.examiner = examiner
        # The requests that broke off at each engine, until it is known whether it crashed.
        self.unconfirmed: dict[EngineStart, BrokenConnections] = {}

    def on_sent(self, forwarded: ForwardedRequest, attempt: Attempt) -> None:
        """Do nothing: only answers and broken connections matter."""

    def on_first_event(self, forwarded: ForwardedRequest, attempt: Attempt) -> None:
        """Record that an answer has begun, which releases its marks from quarantine."""
        del attempt
        self._record_begun(crash_marks(forwarded.request))

    def on_ended(self, forwarded: ForwardedRequest, attempt: Attempt) -> None:
        """Check whether the engine crashed if the connection broke before the answer began."""
        if attempt.end is AttemptOutcome.COMPLETE and not attempt.first_event_at:
            self._record_begun(crash_marks(forwarded.request))
        # Without a reason, the caller left or the time limit passed.
        broke_off = attempt.end is AttemptOutcome.BROKEN_BEFORE and attempt.reason
        if not broke_off or attempt.first_event_at or not attempt.sent_at:
            return
        unproven = frozenset(
            mark
            for mark in crash_marks(forwarded.request)
            if not self.first_events.begun_since(mark, attempt.sent_at)
        )
        if unproven:
            broke_off_at = (
                earlier.choice.target.record.id
                for earlier in forwarded.attempts
                if earlier is not attempt and earlier.end is AttemptOutcome.BROKEN_BEFORE
            )
            self._check_engine(attempt, WaitingRequest(unproven, frozenset(broke_off_at)))

    def on_step_chosen(
        self, forwarded: ForwardedRequest, attempt: Attempt, step: NextAction
    ) -> None:
        """Do nothing: the next step does not matter."""

    def _record_begun(self, marks: Combination) -> None:
        self.first_events.record(marks)
        released = self.quarantine.find(marks)
        if released:
            self.examiner.release(released)

    def _check_engine(self, attempt: Attempt, waiting: WaitingRequest) -> None:
        record = attempt.choice.target.record
        engine = EngineStart(record.id, record.started_at)
        broken = self.unconfirmed.get(engine)
        if broken is None:
            broken = self.unconfirmed[engine] = BrokenConnections(attempt.ended_at)
            gevent.spawn_later(CONFIRM_DELAY_MS / 1000, self._confirm, engine, record.address)
        broken.requests.add(waiting)

    def _confirm(self, engine: EngineStart, address: str) -> None:
        broken = self.unconfirmed.pop(engine)
        try:
            connect(address).close()
        except TargetNotListening:
            self.examiner.report(engine, broken.requests, broken.since)
        except TargetUnreachable:
            # The network is at fault, or the engine is too busy to accept.
            return
