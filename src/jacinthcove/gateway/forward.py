"""Forwards one request: admission, attempts at targets, and its final answer."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import gevent
import structlog

from jacinthcove.clock import Clock
from jacinthcove.codes import ResultClass, ResultCode, result_class
from jacinthcove.errors import JacinthcoveError, RequestRefused, TargetFailed
from jacinthcove.gateway.admission import Admission
from jacinthcove.gateway.codec import AnswerHead, Execution, GatewayCodec, Headers
from jacinthcove.gateway.decisions import AttemptEnd, Progress, Step, next_step, without_budget
from jacinthcove.gateway.exchange import Exchange, last_event_id
from jacinthcove.gateway.firstevents import FirstEventKey
from jacinthcove.gateway.model import GatewayRequest, RetrySafety
from jacinthcove.gateway.placement import Choice
from jacinthcove.gateway.retrybudget import WindowedRetryBudget
from jacinthcove.gateway.routes import choose_service
from jacinthcove.gateway.targets import TargetState
from jacinthcove.targets.pool import ConnectionPool
from jacinthcove.targets.response import TargetResponse
from jacinthcove.targets.sockets import TargetUnreachable

log = structlog.get_logger()

RETRY_AFTER_MS = 300
# Less time than this is not worth another attempt.
LEAST_TIME_MS = 60


class Sink(Protocol):
    """Where the answer goes."""

    @property
    def begun(self) -> bool:
        """Return whether the caller has been sent a part of the answer."""

    def check_caller(self) -> None:
        """Raise `CallerGone` if the caller has closed its connection, however late the loop is."""

    def begin(self, status: int, reason: str, headers: Headers) -> None:
        """Send the head of a stream."""

    def write(self, data: bytes) -> None:
        """Send a part of a stream."""

    def whole(self, status: int, reason: str, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""


class TargetWithheld(TargetUnreachable):
    """The target may not be sent to at present, though it can be reached; it received nothing."""


class AnswerAborted(JacinthcoveError):  # noqa: N818 - names an outcome
    """The caller has part of an answer that cannot be completed; its connection must end."""


class DeadlinePassed(JacinthcoveError):  # noqa: N818
    """The request's time is over."""


class AttemptObserver(Protocol):
    """What is told of the attempts at targets."""

    def sent(self, forwarding: "Forwarding", attempt: "Attempt") -> None:
        """Take a request that is being sent."""

    def on_first_event(self, forwarding: "Forwarding", attempt: "Attempt") -> None:
        """Take the first event of a stream."""

    def ended(self, forwarding: "Forwarding", attempt: "Attempt") -> None:
        """Take the end of an attempt, also of one whose caller left."""

    def followed(self, forwarding: "Forwarding", attempt: "Attempt", step: Step) -> None:
        """Take what follows an attempt whose caller did not leave."""


@dataclass
class Attempt:
    """One attempt at a target and what came of it."""

    choice: Choice
    end: AttemptEnd = AttemptEnd.BROKEN_BEFORE
    head: AnswerHead | None = None
    body: bytes = b""
    reason: str = ""
    chosen_at: int = 0
    sent_at: int = 0
    # Monotonic ms of the first event of a stream, 0 before it.
    first_event_at: int = 0
    ended_at: int = 0
    # What the time to the first event is evidence for, and the time that its load lets expect.
    counts_for: FirstEventKey | None = None
    expected_ms: float = 0.0

    @property
    def begun(self) -> bool:
        """Return whether the target may have worked on the request."""
        return self.sent_at > 0 and not self.end.not_run


class Forwarding:
    """The state of one request on its way."""

    def __init__(self, forwarder: "Forwarder", request: GatewayRequest, sink: Sink):
        self.forwarder = forwarder
        self.clock = forwarder.clock
        self.request = request
        self.sink = sink
        self.service = choose_service(request.route)
        self.sends = 0
        self.unreachable = 0
        self.may_have_run = False
        # Whether the workspace got a part of what it asks for.
        self.given = False
        self.avoid: set[str] = set()
        self.last_event_id = request.last_event_id
        self.first_event_at = 0
        self.attempts: list[Attempt] = []

    def run(self) -> ResultCode:
        """Deliver the answer; raises `RequestRefused` or `AnswerAborted`."""
        left_ms = max(1, self.request.deadline - self.clock.now())
        limit = gevent.Timeout(left_ms / 1000, DeadlinePassed("the time limit passed"))
        try:
            with limit:
                return self._attempts()
        except DeadlinePassed:
            if self.attempts and self.attempts[-1].end is AttemptEnd.BROKEN_BEFORE:
                self.attempts[-1].reason = "the time limit passed"
                self.forwarder.observer.followed(self, self.attempts[-1], Step.FAIL)
            raise self._late() from None
        except RequestRefused as refusal:
            if self.may_have_run and result_class(refusal.code) is ResultClass.NOT_RUN:
                reason = f"an earlier attempt may have run; then: {refusal.message}"
                raise RequestRefused(ResultCode.TARGET_FAILED, reason) from refusal
            raise

    def _attempts(self) -> ResultCode:
        self.forwarder.budget.request(self.service)
        while True:
            choice = self.forwarder.admission.acquire(
                self.request, self.service, frozenset(self.avoid), self.given
            )
            attempt = Attempt(choice, chosen_at=self.clock.now())
            self.attempts.append(attempt)
            try:
                self._attempt(attempt)
            finally:
                attempt.ended_at = self.clock.now()
                self.given = self.given or attempt.begun
                self.forwarder.admission.release(
                    self.request, choice.target, not_executed=not self.given
                )
                self.forwarder.observer.ended(self, attempt)
            self.may_have_run = self.may_have_run or not attempt.end.not_run
            step = self._step(attempt)
            self.forwarder.observer.followed(self, attempt, step)
            if step in (Step.RETRY, Step.RESUME):
                continue
            return self._finish(attempt, step)

    def _step(self, attempt: Attempt) -> Step:
        self.avoid.add(attempt.choice.target.record.id)
        left = self.request.deadline - self.clock.now() > LEAST_TIME_MS
        progress = Progress(self.sends, self.unreachable, left)
        step = next_step(self.request.route, attempt.end, progress)
        repeats = step in (Step.RETRY, Step.RESUME)
        costs_budget = repeats and attempt.end is not AttemptEnd.UNREACHABLE
        if costs_budget and not self.forwarder.budget.take(self.service):
            return without_budget(step, attempt.end)
        return step

    def _finish(self, attempt: Attempt, step: Step) -> ResultCode:
        if step is Step.DONE:
            return ResultCode.OK
        if step is Step.DELIVER_FAILURE and attempt.head is not None:
            head = attempt.head
            self.sink.whole(head.status, head.reason, head.headers, attempt.body)
            return ResultCode.TARGET_REJECTED
        if step is Step.REFUSE and not self.sink.begun:
            after_ms = RETRY_AFTER_MS + self.forwarder.admission.registry.paused_for_ms(
                self.service
            )
            raise RequestRefused(ResultCode.NOT_ADMITTED, attempt.reason, after_ms)
        if self.sink.begun:
            raise AnswerAborted(attempt.reason)
        raise RequestRefused(ResultCode.TARGET_FAILED, attempt.reason)

    def _late(self) -> JacinthcoveError:
        if self.sink.begun:
            return AnswerAborted("the time limit passed during the answer")
        if self.sends:
            return RequestRefused(ResultCode.DEADLINE_DURING_RUN, "the time limit passed")
        return RequestRefused(ResultCode.DEADLINE_BEFORE_START, "the time limit passed", 0)

    def _attempt(self, attempt: Attempt) -> None:
        target = attempt.choice.target
        exchange = Exchange(target.record.key, self.forwarder.connections)
        try:
            exchange.open()
            self.sink.check_caller()
            self.forwarder.check_send(self.request, target)
            self.sends += 1
            attempt.sent_at = self.clock.now()
            self.forwarder.observer.sent(self, attempt)
            left_ms = max(1, self.request.deadline - self.clock.now())
            head = self.forwarder.codec.encode(
                self.request, attempt.choice, left_ms, self.last_event_id
            )
            response = exchange.send(head, self.request.body, self.request.method, self._answers)
            self._receive(attempt, exchange, response)
            if attempt.head is not None:
                exchange.keep(response, attempt.head.kept_ms)
        except TargetUnreachable as error:
            self.unreachable += 1
            attempt.end, attempt.reason = AttemptEnd.UNREACHABLE, str(error)
            if not isinstance(error, TargetWithheld):
                target.record_connect_failure(self.clock.now())
        except TargetFailed as error:
            midway = self.sink.begun
            attempt.end = AttemptEnd.BROKEN_MIDWAY if midway else AttemptEnd.BROKEN_BEFORE
            attempt.reason = str(error)
            target.record_result(True)
        finally:
            exchange.close()

    def _receive(self, attempt: Attempt, exchange: Exchange, response: TargetResponse) -> None:
        target = attempt.choice.target
        head = attempt.head = self.forwarder.codec.answer_head(self.request, response)
        if head.execution is Execution.FOREIGN:
            raise TargetFailed("the answer belongs to another request or has no signature")
        if head.execution is Execution.OTHER_TARGET:
            target.record_address_reused(self.clock.now())
        else:
            self._note_wishes(target, head)
        if head.execution in (Execution.NOT_RUN, Execution.OTHER_TARGET):
            other = head.execution is Execution.OTHER_TARGET
            attempt.end = AttemptEnd.OTHER_TARGET if other else AttemptEnd.REJECTED
            attempt.reason = f"the target refused the request with status {head.status}"
            if not other and not head.retry_after_ms:
                target.record_full(self.clock.now(), self.forwarder.admission.rng.random())
            return
        stream = self.request.route.retry_safety is RetrySafety.STREAM
        if stream and head.execution is Execution.SUCCEEDED:
            self._relay(attempt, exchange, response)
        else:
            if self.sink.begun:
                raise TargetFailed(f"the stream could not be resumed: status {head.status}")
            attempt.body = exchange.read_whole(response)
            if head.execution is Execution.SUCCEEDED:
                self.sink.whole(head.status, head.reason, head.headers, attempt.body)
                attempt.end = AttemptEnd.COMPLETE
            else:
                attempt.end = AttemptEnd.ANSWERED_FAILURE
                attempt.reason = f"the target answered {head.status}"
        target.record_result(attempt.end is AttemptEnd.ANSWERED_FAILURE)

    def _answers(self, response: TargetResponse) -> bool:
        return self.forwarder.codec.answers(self.request, response)

    def _note_wishes(self, target: TargetState, head: AnswerHead) -> None:
        """Take what the target says about further requests."""
        if head.leaving:
            registry = self.forwarder.admission.registry
            registry.mark_leaving(target.record.id, target.record.started_at)
        if head.retry_after_ms:
            target.pause_for(self.clock.now(), head.retry_after_ms)

    def _relay(self, attempt: Attempt, exchange: Exchange, response: TargetResponse) -> None:
        head = attempt.head
        assert head is not None
        load = attempt.choice.target.load
        first = True
        for piece in exchange.read_events(response):
            if first:
                first = False
                load.on_first_event(self.request.id)
                attempt.first_event_at = self.clock.now()
                if not self.first_event_at:
                    self.first_event_at = attempt.first_event_at
                    self.forwarder.admission.record_response_start(self.request)
                self.forwarder.observer.on_first_event(self, attempt)
            if not self.sink.begun:
                self.sink.begin(head.status, head.reason, head.headers)
            self.sink.write(piece)
            self.last_event_id = last_event_id(piece) or self.last_event_id
        if not self.sink.begun:
            self.sink.begin(head.status, head.reason, head.headers)
        attempt.end = AttemptEnd.COMPLETE
        if len(self.attempts) == 1 and not first:
            ran_ms = self.clock.now() - self.first_event_at
            load.on_stream_end(self.request.prompt.output_tokens, ran_ms)


class Forwarder:
    """What all requests of a router share.

    `check_fresh` raises `RequestRefused` when what the router believes has become too old to send a
    request.
    """

    def __init__(
        self,
        clock: Clock,
        codec: GatewayCodec,
        admission: Admission,
        budget: WindowedRetryBudget,
        connections: ConnectionPool,
        check_fresh: Callable[[GatewayRequest], None],
        observer: AttemptObserver,
    ):
        self.clock = clock
        self.codec = codec
        self.admission = admission
        self.budget = budget
        self.connections = connections
        self.check_fresh = check_fresh
        self.observer = observer

    def run(self, request: GatewayRequest, sink: Sink) -> ResultCode:
        """Deliver the answer of one request; raises `RequestRefused` or `AnswerAborted`."""
        return Forwarding(self, request, sink).run()

    def check_send(self, request: GatewayRequest, target: TargetState) -> None:
        """Check once more, after the connection is open, that the request may be sent.

        Raises `RequestRefused` or `TargetWithheld`.
        """
        self.check_fresh(request)
        if not self.admission.may_send(request, target):
            raise TargetWithheld("the target takes no more requests from this router now")
