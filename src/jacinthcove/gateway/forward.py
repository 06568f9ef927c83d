"""Forwards one request: admission, attempts at targets, and the final response."""

from collections.abc import Callable
from typing import Protocol

import gevent
import structlog

from jacinthcove.bytebudget import ByteBudget
from jacinthcove.clock import Clock
from jacinthcove.codes import ResultClass, ResultCode, result_class
from jacinthcove.coldstart.startcheck import StartCheck
from jacinthcove.errors import JacinthcoveError, RequestRefused, TargetFailed
from jacinthcove.gateway.admission import Admission
from jacinthcove.gateway.attempt import Attempt, AttemptObserver
from jacinthcove.gateway.codec import Execution, GatewayCodec, Headers, ResponseHead
from jacinthcove.gateway.exchange import Exchange, last_event_id
from jacinthcove.gateway.model import GatewayRequest, RetrySafety
from jacinthcove.gateway.retrybudget import WindowedRetryBudget
from jacinthcove.gateway.retrypolicy import (
    AttemptOutcome,
    AttemptProgress,
    NextAction,
    next_action,
    without_retry_budget,
)
from jacinthcove.gateway.routes import choose_service
from jacinthcove.gateway.targets import TargetState
from jacinthcove.targets.pool import ConnectionPool, TargetKey
from jacinthcove.targets.response import TargetResponse
from jacinthcove.targets.sockets import TargetUnreachable

log = structlog.get_logger()

RETRY_AFTER_MS = 300
# With less time left than this, no further attempt is made.
MIN_RETRY_TIME_MS = 60


class Sink(Protocol):
    """Writes the response to the caller."""

    @property
    def headers_sent(self) -> bool:
        """Return whether any part of the response has been sent to the caller."""

    def check_connected(self) -> None:
        """Raise `CallerDisconnected` if the caller has closed its connection.

        Reads the socket itself, because a late event loop reports the disconnect late.
        """

    def start_stream(self, status: int, reason: str, headers: Headers) -> None:
        """Send the status line and headers of a stream."""

    def write(self, data: bytes) -> None:
        """Send a chunk of a stream."""

    def send_whole(
        self,
        status: int,
        reason: str,
        headers: Headers,
        body: bytes,
        on_sent: Callable[[], None] = lambda: None,
    ) -> None:
        """Send a complete response and call `on_sent` when its body is not needed any more."""


class TargetIneligible(TargetUnreachable):
    """The target is reachable but takes no requests at present; nothing was sent to it."""


class ResponseAborted(JacinthcoveError):  # noqa: N818 - names an outcome
    """A response that the caller has in part cannot be completed; its connection must close."""


class DeadlineExceeded(JacinthcoveError):  # noqa: N818
    """The deadline of the request has passed."""


class ForwardedRequest:
    """A request and the state of its attempts."""

    def __init__(self, forwarder: "Forwarder", request: GatewayRequest, sink: Sink):
        self.forwarder = forwarder
        self.clock = forwarder.clock
        self.request = request
        self.sink = sink
        self.service = choose_service(request.route)
        self.sent_count = 0
        self.connect_failures = 0
        self.may_have_run = False
        # Whether an attempt used capacity of a target, so that the share of the workspace counts
        # this request already.
        self.capacity_used = False
        self.excluded_targets: set[str] = set()
        self.last_event_id = request.last_event_id
        self.first_event_at = 0
        # Whether a target began to answer, at any attempt.
        self.answer_began = False
        self.attempts: list[Attempt] = []
        # The bytes of the response of the last attempt, until the caller has got them.
        self.kept = forwarder.answer_bytes.open()
        self.body_handed_over = False

    def run(self) -> ResultCode:
        """Deliver the response; raises `RequestRefused` or `ResponseAborted`."""
        delivers_body = False
        try:
            code = self._run_in_time()
            delivers_body = self.body_handed_over
            return code
        finally:
            if not delivers_body:
                self.kept.close()

    def _run_in_time(self) -> ResultCode:
        remaining_ms = max(1, self.request.deadline - self.clock.now())
        deadline_timer = gevent.Timeout(
            remaining_ms / 1000, DeadlineExceeded("the time limit passed")
        )
        try:
            with deadline_timer:
                return self._run_attempts()
        except DeadlineExceeded:
            if self.attempts and self.attempts[-1].end is AttemptOutcome.BROKEN_BEFORE:
                self.attempts[-1].reason = "the time limit passed"
                self.forwarder.observer.on_step_chosen(self, self.attempts[-1], NextAction.FAIL)
            raise self._deadline_error() from None
        except RequestRefused as refusal:
            if self.may_have_run and result_class(refusal.code) is ResultClass.NOT_RUN:
                reason = f"an earlier attempt may have run; then: {refusal.message}"
                raise RequestRefused(ResultCode.TARGET_FAILED, reason) from refusal
            raise

    def _run_attempts(self) -> ResultCode:
        self.forwarder.budget.request(self.service)
        while True:
            choice = self.forwarder.admission.acquire(
                self.request, self.service, frozenset(self.excluded_targets), self.capacity_used
            )
            attempt = Attempt(choice, chosen_at=self.clock.now())
            self.attempts.append(attempt)
            try:
                self._run_attempt(attempt)
            finally:
                attempt.ended_at = self.clock.now()
                self.capacity_used = self.capacity_used or attempt.used_capacity
                self.forwarder.admission.release(
                    self.request, choice.target, not_executed=not self.capacity_used
                )
                self.forwarder.observer.on_ended(self, attempt)
            self.may_have_run = self.may_have_run or not attempt.end.not_run
            step = self._choose_step(attempt)
            self.forwarder.observer.on_step_chosen(self, attempt, step)
            if step in (NextAction.RETRY, NextAction.RESUME):
                self._drop_body(attempt)
                continue
            return self._finish(attempt, step)

    def _choose_step(self, attempt: Attempt) -> NextAction:
        self.excluded_targets.add(attempt.choice.target.record.id)
        time_left = self.request.deadline - self.clock.now() > MIN_RETRY_TIME_MS
        progress = AttemptProgress(self.sent_count, self.connect_failures, time_left)
        step = next_action(self.request.route, attempt.end, progress)
        sends_again = step in (NextAction.RETRY, NextAction.RESUME)
        costs_budget = sends_again and attempt.end is not AttemptOutcome.UNREACHABLE
        if costs_budget and not self.forwarder.budget.take(self.service):
            return without_retry_budget(step, attempt.end)
        return step

    def _finish(self, attempt: Attempt, step: NextAction) -> ResultCode:
        if step is NextAction.DONE:
            return ResultCode.OK
        if step is NextAction.DELIVER_FAILURE and attempt.head is not None:
            head = attempt.head
            self._send_whole(head, attempt.body)
            return ResultCode.TARGET_REJECTED
        if step is NextAction.REFUSE and not self.sink.headers_sent:
            after_ms = RETRY_AFTER_MS + self.forwarder.admission.registry.paused_for_ms(
                self.service
            )
            raise RequestRefused(ResultCode.NOT_ADMITTED, attempt.reason, after_ms)
        if self.sink.headers_sent:
            raise ResponseAborted(attempt.reason)
        raise RequestRefused(ResultCode.TARGET_FAILED, attempt.reason)

    def _send_whole(self, head: ResponseHead, body: bytes) -> None:
        self.body_handed_over = True
        self.sink.send_whole(head.status, head.reason, head.headers, body, self.kept.close)

    def _drop_body(self, attempt: Attempt) -> None:
        """Forget the body of an attempt that another one follows."""
        attempt.body = b""
        self.kept.close()
        self.kept = self.forwarder.answer_bytes.open()

    def _deadline_error(self) -> JacinthcoveError:
        if self.sink.headers_sent:
            return ResponseAborted("the time limit passed during the answer")
        if self.sent_count:
            return RequestRefused(ResultCode.DEADLINE_DURING_RUN, "the time limit passed")
        return RequestRefused(ResultCode.DEADLINE_BEFORE_START, "the time limit passed", 0)

    def _run_attempt(self, attempt: Attempt) -> None:
        target = attempt.choice.target
        exchange = Exchange(target.record.key, self.forwarder.connections, self.kept)
        try:
            exchange.open()
            self._confirm_start(exchange, target)
            self.sink.check_connected()
            self.forwarder.check_may_send(self.request, target, exchange.start_confirmed)
            self.sent_count += 1
            attempt.sent_at = self.clock.now()
            self.forwarder.observer.on_sent(self, attempt)
            remaining_ms = max(1, self.request.deadline - self.clock.now())
            head = self.forwarder.codec.encode(
                self.request, attempt.choice, remaining_ms, self.last_event_id
            )
            response = exchange.send(
                head, self.request.body, self.request.method, self._is_own_response
            )
            self._receive(attempt, exchange, response)
            if attempt.head is not None:
                exchange.return_to_pool(response, attempt.head.keep_alive_ms)
        except TargetUnreachable as error:
            self.connect_failures += 1
            attempt.end, attempt.reason = AttemptOutcome.UNREACHABLE, str(error)
            if not isinstance(error, TargetIneligible):
                target.record_connect_failure(self.clock.now())
        except TargetFailed as error:
            mid_response = self.sink.headers_sent
            attempt.end = (
                AttemptOutcome.BROKEN_MIDWAY if mid_response else AttemptOutcome.BROKEN_BEFORE
            )
            attempt.reason = str(error)
            target.record_result(True)
        finally:
            exchange.close()

    def _confirm_start(self, exchange: Exchange, target: TargetState) -> None:
        """Ask the target for its start where a request needs a confirmed connection.

        Raises `TargetUnreachable`.
        """
        starts = self.forwarder.starts
        if exchange.start_confirmed or not starts.is_needed(target):
            return
        started_at = exchange.read_start(starts.reader)
        exchange.start_confirmed = starts.record_read(target, exchange.key.started_at, started_at)
        if not exchange.start_confirmed:
            raise TargetIneligible("the target has started again")

    def _receive(self, attempt: Attempt, exchange: Exchange, response: TargetResponse) -> None:
        target = attempt.choice.target
        head = attempt.head = self.forwarder.codec.parse_response_head(self.request, response)
        if head.execution is Execution.FOREIGN:
            raise TargetFailed("the answer belongs to another request or has no signature")
        if head.execution is Execution.OTHER_TARGET:
            target.record_address_reused(self.clock.now())
        else:
            self._record_target_hints(exchange.key, attempt, head)
        if head.execution in (Execution.NOT_RUN, Execution.OTHER_TARGET):
            moved = head.execution is Execution.OTHER_TARGET
            attempt.end = AttemptOutcome.OTHER_TARGET if moved else AttemptOutcome.REJECTED
            attempt.reason = f"the target refused the request with status {head.status}"
            if not moved and not head.retry_after_ms:
                target.record_full(self.clock.now(), self.forwarder.admission.rng.random())
            return
        stream = self.request.route.retry_safety is RetrySafety.STREAM
        if not stream or head.execution is not Execution.SUCCEEDED:
            self._record_answer_begun()
        if stream and head.execution is Execution.SUCCEEDED:
            self._relay_stream(attempt, exchange, response)
        else:
            if self.sink.headers_sent:
                raise TargetFailed(f"the stream could not be resumed: status {head.status}")
            attempt.body = exchange.read_whole(response)
            if head.execution is Execution.SUCCEEDED:
                self._send_whole(head, attempt.body)
                attempt.end = AttemptOutcome.COMPLETE
            else:
                attempt.end = AttemptOutcome.ANSWERED_FAILURE
                attempt.reason = f"the target answered {head.status}"
        target.record_result(attempt.end is AttemptOutcome.ANSWERED_FAILURE)

    def _record_answer_begun(self) -> None:
        """Tell once per request that it began to run at a target, however often it is sent."""
        if not self.answer_began:
            self.answer_began = True
            self.forwarder.on_answer_begun(self.request.workspace)

    def _is_own_response(self, response: TargetResponse) -> bool:
        return self.forwarder.codec.is_response_to(self.request, response)

    def _record_target_hints(self, key: TargetKey, attempt: Attempt, head: ResponseHead) -> None:
        """Record whether the target is about to stop, its limit, and how long it refuses requests.

        They are those of the start that answered, which may have ended by now. A rejection without
        a limit does not lift the limit of a target.
        """
        target, registry = attempt.choice.target, self.forwarder.admission.registry
        if head.leaving:
            registry.mark_leaving(key.id, key.started_at)
        executed = head.execution is not Execution.NOT_RUN
        if head.limit is not None and (executed or head.limit.per_s is not None):
            registry.stated_limits.record_response(
                key.id, key.started_at, head.limit.per_s, attempt.sent_at
            )
        if head.retry_after_ms:
            target.pause_for(self.clock.now(), head.retry_after_ms)

    def _relay_stream(self, attempt: Attempt, exchange: Exchange, response: TargetResponse) -> None:
        head = attempt.head
        assert head is not None
        load = attempt.choice.target.load
        awaiting_first_event = True
        for chunk in exchange.read_events(response):
            if awaiting_first_event:
                awaiting_first_event = False
                load.on_first_event(self.request.id)
                self._record_answer_begun()
                attempt.first_event_at = self.clock.now()
                if not self.first_event_at:
                    self.first_event_at = attempt.first_event_at
                    self.forwarder.admission.record_response_start(self.request)
                self.forwarder.observer.on_first_event(self, attempt)
            if not self.sink.headers_sent:
                self.sink.start_stream(head.status, head.reason, head.headers)
            self.sink.write(chunk)
            self.last_event_id = last_event_id(chunk) or self.last_event_id
        if not self.sink.headers_sent:
            self.sink.start_stream(head.status, head.reason, head.headers)
        attempt.end = AttemptOutcome.COMPLETE
        if len(self.attempts) == 1 and not awaiting_first_event:
            streamed_ms = self.clock.now() - self.first_event_at
            load.on_stream_end(self.request.prompt.output_tokens, streamed_ms)


class Forwarder:
    """Forwards requests; holds the state that all requests of a router share.

    `check_config_fresh` raises `RequestRefused` when the router's configuration has become too old
    to send a request.
    """

    def __init__(
        self,
        clock: Clock,
        codec: GatewayCodec,
        admission: Admission,
        budget: WindowedRetryBudget,
        connections: ConnectionPool,
        check_config_fresh: Callable[[GatewayRequest], None],
        observer: AttemptObserver,
        answer_bytes: ByteBudget,
        starts: StartCheck,
    ):
        self.starts = starts
        self.answer_bytes = answer_bytes
        self.clock = clock
        self.codec = codec
        self.admission = admission
        self.budget = budget
        self.connections = connections
        self.check_config_fresh = check_config_fresh
        self.observer = observer
        # Called with the workspace of each request whose answer begins.
        self.on_answer_begun: Callable[[str], None] = lambda workspace: None

    def run(self, request: GatewayRequest, sink: Sink) -> ResultCode:
        """Deliver the response to one request; raises `RequestRefused` or `ResponseAborted`."""
        return ForwardedRequest(self, request, sink).run()

    def check_may_send(
        self, request: GatewayRequest, target: TargetState, start_confirmed: bool = False
    ) -> None:
        """Check again, once the connection is open, that the request may be sent.

        `start_confirmed`: its connection leads to the start of the target that this router knows.
        Raises `RequestRefused` or `TargetIneligible`.
        """
        self.check_config_fresh(request)
        if not self.admission.may_send(request, target, start_confirmed):
            raise TargetIneligible("the target takes no more requests from this router now")
