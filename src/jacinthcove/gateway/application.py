"""The WSGI application of the gateway: one request from its arrival to its final answer."""

from collections.abc import Callable, Iterable
from typing import Any

import structlog

from jacinthcove.clock import Clock
from jacinthcove.codes import ResultCode
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.beliefs import RETRY_ELSEWHERE_MS, Beliefs
from jacinthcove.gateway.codec import GatewayCodec
from jacinthcove.gateway.forward import AnswerAborted, Forwarder
from jacinthcove.gateway.model import CallerLimits, GatewayRequest
from jacinthcove.gateway.server import (
    CallerGone,
    CallerSink,
    GatewayHandler,
    MalformedRequest,
)
from jacinthcove.observe.decisions import DecisionLog
from jacinthcove.observe.metrics import Metrics
from jacinthcove.router.connection import CallerHandler

log = structlog.get_logger()

_UNKNOWN = (ResultCode.UNKNOWN_ROUTE, ResultCode.UNAUTHENTICATED)


class GatewayApplication:
    """Serves callers; `refusal` says why the router takes no new requests at present.

    `overloaded` returns whether callers would be served better elsewhere; `on_request` is told of
    every request that could be read.
    """

    def __init__(
        self,
        clock: Clock,
        beliefs: Beliefs,
        codec: GatewayCodec,
        forwarder: Forwarder,
        metrics: Metrics,
        decisions: DecisionLog,
        refusal: Callable[[GatewayRequest], RequestRefused | None],
        overloaded: Callable[[], bool] = lambda: False,
        on_request: Callable[[GatewayRequest], None] = lambda request: None,
    ):
        self.clock = clock
        self.beliefs = beliefs
        self.codec = codec
        self.forwarder = forwarder
        self.metrics = metrics
        self.decisions = decisions
        self.refusal = refusal
        self.overloaded = overloaded
        self.on_request = on_request
        self.leaving = False
        self.connections: set[CallerHandler] = set()
        self.open_requests = 0
        self.last_request_at = clock.now()

    def limits(self) -> CallerLimits:
        """Return the limits in force for callers."""
        table = self.beliefs.table
        return table.config.limits if table is not None else CallerLimits()

    def sends_callers_away(self) -> bool:
        """Return whether answers end their connections, so that callers choose a router anew.

        A router that refuses at once has idle connections sooner than any other, and callers would
        use these for most of their requests.
        """
        return self.leaving or self.overloaded()

    def on_malformed(self, error: MalformedRequest) -> None:
        """Count and log a request that could not be read."""
        self.metrics.counter("requests_malformed_total", status=str(error.status)).add()
        self.decisions.log_decision("request_malformed", status=error.status, reason=str(error))

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request."""
        connection: GatewayHandler = environ["jacinthcove.connection"]
        sink = CallerSink(start_response, connection.has_left)
        self.open_requests += 1
        self.last_request_at = self.clock.now()
        try:
            self._serve(connection, sink)
        except CallerGone as gone:
            self._note_gone(connection, gone)
            connection.drop()
            raise BrokenPipeError(32, "the caller is gone") from gone
        except AnswerAborted as aborted:
            connection.drop()
            raise BrokenPipeError(32, str(aborted)) from aborted
        finally:
            self.open_requests -= 1
        return sink.result

    def _serve(self, connection: GatewayHandler, sink: CallerSink) -> None:
        received_at = self.clock.now()
        request_id = self.codec.request_id(connection.raw_headers)
        code = ResultCode.INTERNAL
        try:
            body = connection.read_body()
            raw = connection.raw_request(body)
            with connection.watch_caller():
                request = self.codec.decode(raw, self.beliefs.routes(), received_at)
                self.on_request(request)
                self._check_open(request)
                code = self.forwarder.run(request, sink)
        except MalformedRequest as error:
            self.on_malformed(error)
            connection.drop()
            sink.whole(error.status, "Refused", (("Connection", "close"),), b"")
            return
        except RequestRefused as refusal:
            code = refusal.code
            if sink.begun:
                self._note_aborted(request_id, refusal.message)
                raise AnswerAborted(refusal.message) from refusal
            self._refuse(request_id, self._honest(refusal), sink, received_at)
        except AnswerAborted as aborted:
            self._note_aborted(request_id, str(aborted))
            raise
        except CallerGone:
            raise
        except Exception as error:
            log.exception("request_failed", request_id=request_id)
            if sink.begun:
                raise AnswerAborted("the router failed") from error
            failure = RequestRefused(ResultCode.INTERNAL, "the router failed")
            self._refuse(request_id, failure, sink, received_at)
        self.metrics.counter("requests_total", code=code.name.lower()).add()
        self.metrics.histogram("request_ms").observe(self.clock.now() - received_at)

    def _check_open(self, request: GatewayRequest) -> None:
        refusal = self.refusal(request)
        if refusal is not None:
            raise refusal
        self.beliefs.require_fresh(request.workspace)

    def _honest(self, refusal: RequestRefused) -> RequestRefused:
        """Return what is known: a stale router cannot say that a key or route does not exist."""
        if refusal.code in _UNKNOWN and not self.beliefs.check():
            message = f"{refusal.message}, but the configuration may be old"
            return RequestRefused(ResultCode.CONFIGURATION_STALE, message, RETRY_ELSEWHERE_MS)
        return refusal

    def _refuse(
        self, request_id: str, refusal: RequestRefused, sink: CallerSink, received_at: int
    ) -> None:
        self.metrics.counter("requests_refused_total", code=refusal.code.name.lower()).add()
        self.decisions.log_decision(
            "request_refused",
            request_id=request_id,
            code=int(refusal.code),
            reason=refusal.message,
            retry_after_ms=refusal.retry_after_ms,
            held_ms=self.clock.now() - received_at,
            configuration_age_ms=self.beliefs.age_ms(),
            outcome="refused",
        )
        answer = self.codec.refusal(refusal)
        sink.whole(answer.status, "Refused", answer.headers, answer.body)

    def _note_aborted(self, request_id: str, reason: str) -> None:
        self.metrics.counter("answers_aborted_total").add()
        self.decisions.log_decision(
            "answer_aborted", request_id=request_id, reason=reason, outcome="aborted"
        )

    def _note_gone(self, connection: GatewayHandler, gone: CallerGone) -> None:
        self.metrics.counter("callers_gone_total").add()
        request_id = self.codec.request_id(connection.raw_headers)
        self.decisions.log_decision(
            "caller_gone", request_id=request_id, reason=str(gone), outcome="cancelled"
        )
