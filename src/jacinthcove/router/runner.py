"""Runs one request: waits for a target, makes attempts and returns the final response."""

import hashlib
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

import gevent
import orjson
import structlog

from jacinthcove.clock import Clock
from jacinthcove.codes import ResultClass, ResultCode, result_class
from jacinthcove.config.model import ServiceKind
from jacinthcove.delivery.retry import Retries
from jacinthcove.errors import RequestRefused
from jacinthcove.router.attempt import EngineAttempt, PlainAttempt, input_tokens
from jacinthcove.router.request import CallerRequest
from jacinthcove.router.response import CallerResponse, EventStream
from jacinthcove.router.results import AttemptResult, ResultRecorder, VersionResult
from jacinthcove.scheduling.estimate import CostEstimator, Estimate, engine_units
from jacinthcove.scheduling.ticket import Dispatch, GrantedTarget, TicketRequest, Usage

log = structlog.get_logger()

KEEP_ALIVE_INTERVAL_S = 1.0
RETRY_AFTER_MS = 500


class VersionSelector(Protocol):
    """Selects the version of a service that serves the next request of a route."""

    def choose(self, service: str, route: str) -> str:
        """Return the name of the version."""

    def is_withdrawn(self, service: str, route: str, version: str) -> bool:
        """Return whether requests that wait for `version` must choose a version again."""


class RequestRunner:
    """Acquires a target, runs the request on it, and retries where that is safe."""

    def __init__(
        self,
        clock: Clock,
        dispatch: Dispatch,
        versions: VersionSelector,
        estimator: CostEstimator,
        recorder: ResultRecorder,
        fleet_key: Callable[[], str],
        retries: Retries,
    ):
        self.clock = clock
        self.dispatch = dispatch
        self.versions = versions
        self.estimator = estimator
        self.recorder = recorder
        self.fleet_key = fleet_key
        self.retries = retries

    def run(self, request: CallerRequest, stream: EventStream | None) -> CallerResponse:
        """Return the final response; the class of its code says whether the request ran."""
        self.retries.budget.request(request.workspace.name)
        estimate = self._estimate(request)
        avoid: frozenset[str] = frozenset()
        started = self.clock.now()
        attempt = 0
        while True:
            attempt += 1
            try:
                grant = self._acquire(self._ticket(request, estimate, avoid, attempt), stream)
                if grant is None:
                    continue
            except RequestRefused as refusal:
                return CallerResponse.from_refusal(refusal)
            granted_at = self.clock.now()
            result = self._attempt(request, grant, stream)
            self._record_result(request, grant, estimate, result, granted_at)
            log_attempt(request, grant, result, granted_at - started, self.clock.now() - granted_at)
            if not self._may_retry(request, result, attempt):
                return self._with_retry_after(request, result.response)
            avoid |= {grant.target_id}
            log.info(
                "request_retried",
                request_id=request.id,
                workspace=request.workspace.name,
                target=grant.target_id,
                code=int(result.code),
                attempt=attempt,
            )

    def _estimate(self, request: CallerRequest) -> Estimate:
        hinted = None
        if request.service.kind is ServiceKind.ENGINE and request.output_tokens:
            hinted = engine_units(input_tokens(request), request.output_tokens)
        return self.estimator.estimate(request.workspace.name, request.route.name, hinted)

    def _ticket(
        self, request: CallerRequest, estimate: Estimate, avoid: frozenset[str], attempt: int
    ) -> TicketRequest:
        return TicketRequest(
            id=f"{request.id}.{attempt}",
            workspace=request.workspace.name,
            service=request.service.name,
            route=request.route.name,
            version=self.versions.choose(request.service.name, request.route.name),
            estimate=estimate.units,
            deadline=request.deadline,
            short=estimate.short,
            prefix_key=request.prefix_key,
            avoid=avoid,
        )

    def _acquire(self, ticket: TicketRequest, stream: EventStream | None) -> GrantedTarget | None:
        """Wait for a target, and send keep-alives to a streaming caller meanwhile.

        Returns None if the ticket's version was withdrawn while the request waited.
        """
        worker = gevent.spawn(self._acquire_or_refusal, ticket)
        try:
            while not worker.ready():
                worker.join(KEEP_ALIVE_INTERVAL_S)
                if worker.ready():
                    break
                if self._version_withdrawn(ticket):
                    return None
                if stream is not None:
                    stream.idle()
        finally:
            worker.kill()
        outcome = worker.get()
        if isinstance(outcome, RequestRefused):
            raise outcome
        if self._version_withdrawn(ticket):
            code = ResultCode.DEADLINE_BEFORE_START
            self.dispatch.report(outcome, Usage(0.0, ended=True, code=code))
            return None
        return outcome

    def _version_withdrawn(self, ticket: TicketRequest) -> bool:
        return self.versions.is_withdrawn(ticket.service, ticket.route, ticket.version)

    def _acquire_or_refusal(self, ticket: TicketRequest) -> GrantedTarget | RequestRefused:
        try:
            return self.dispatch.acquire(ticket)
        except RequestRefused as refusal:
            return refusal

    def _attempt(
        self, request: CallerRequest, grant: GrantedTarget, stream: EventStream | None
    ) -> AttemptResult:
        result = AttemptResult(CallerResponse(ResultCode.INTERNAL, message="the router failed"))
        try:
            if request.service.kind is ServiceKind.ENGINE:
                result = EngineAttempt(
                    self.clock, self.dispatch, self.fleet_key(), request, grant, stream
                ).run()
            else:
                result = PlainAttempt(self.clock, request, grant).run()
        finally:
            self._report(grant, result)
        return result

    def _report(self, grant: GrantedTarget, result: AttemptResult) -> None:
        self.dispatch.report(
            grant,
            Usage(
                used=result.used,
                ended=True,
                code=result.code,
                first_token_ms=result.first_token_ms,
                token_ms_sum=result.token_ms_sum,
                tokens=result.tokens,
                unreachable=result.unreachable,
            ),
        )

    def _record_result(
        self,
        request: CallerRequest,
        grant: GrantedTarget,
        estimate: Estimate,
        result: AttemptResult,
        granted_at: int,
    ) -> None:
        if result.code is ResultCode.OK:
            self.estimator.observe(
                request.workspace.name, request.route.name, estimate, result.used
            )
        # If the connection failed, the request did not run, so the result says nothing about the
        # version.
        if result.unreachable:
            return
        self.recorder.record(
            VersionResult(
                service=request.service.name,
                route=request.route.name,
                version=grant.version,
                code=result.code,
                first_token_ms=result.first_token_ms,
                token_ms_sum=result.token_ms_sum,
                tokens=result.tokens,
                sent_at=granted_at,
                target=grant.target_id,
                target_lost=result.target_lost,
            )
        )

    def _may_retry(self, request: CallerRequest, result: AttemptResult, attempt: int) -> bool:
        """Return whether another attempt is safe and within the retry budget and the deadline."""
        # A caller that has received part of a response cannot be sent another one from its start.
        idempotent = request.route.idempotent and not result.delivered
        return self.retries.allow_retry(
            request.workspace.name, result.code, idempotent, attempt, request.deadline
        )

    def _with_retry_after(self, request: CallerRequest, response: CallerResponse) -> CallerResponse:
        """Add a retry delay, unless sending the request again could run it twice."""
        kind = result_class(response.code)
        may_repeat = kind is ResultClass.NOT_RUN or request.route.idempotent
        if kind is ResultClass.DONE or not may_repeat or response.retry_after_ms is not None:
            return response
        return replace(response, retry_after_ms=RETRY_AFTER_MS)


def log_attempt(
    request: CallerRequest, grant: GrantedTarget, result: AttemptResult, waited_ms: int, ran_ms: int
) -> None:
    """Log one attempt; `ran_ms` is the time from its grant to its end."""
    log.info(
        "request_attempted",
        request_id=request.id,
        workspace=request.workspace.name,
        service=request.service.name,
        route=request.route.name,
        target=grant.target_id,
        version=grant.version,
        code=int(result.code),
        reason=result.response.message or "answered",
        used=round(result.used, 1),
        first_token_ms=result.first_token_ms,
        waited_ms=waited_ms,
        ran_ms=ran_ms,
    )


def content_hash(request: CallerRequest) -> str:
    """Return a hash of the request content, to detect an idempotency key that is reused."""
    content = [request.service.name, request.route.name, request.payload]
    return hashlib.sha256(orjson.dumps(content, option=orjson.OPT_SORT_KEYS)).hexdigest()[:32]
