"""The WSGI application of the gateway: one request from its arrival to the final response."""

from collections.abc import Callable, Iterable
from typing import Any

import structlog

from jacinthcove.clock import Clock
from jacinthcove.codes import ResultCode
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.activeconfig import RETRY_ELSEWHERE_MS, ActiveConfig
from jacinthcove.gateway.callererrors import CallerDisconnected, MalformedRequest
from jacinthcove.gateway.callersink import CallerSink
from jacinthcove.gateway.codec import GatewayCodec
from jacinthcove.gateway.forward import Forwarder, ResponseAborted
from jacinthcove.gateway.handover import Handover
from jacinthcove.gateway.handovermessages import PassedOn
from jacinthcove.gateway.model import CallerLimits, GatewayRequest
from jacinthcove.gateway.server import GatewayHandler
from jacinthcove.ingress.account import BodyAccount, HeldBody
from jacinthcove.observe.decisions import DecisionLog
from jacinthcove.observe.metrics import Metrics
from jacinthcove.router.connection import CallerHandler

log = structlog.get_logger()

_UNKNOWN_NAME_CODES = (ResultCode.UNKNOWN_ROUTE, ResultCode.UNAUTHENTICATED)


class GatewayApplication:
    """Serves callers; `refusal` returns why the router refuses a new request, or None.

    `overloaded` returns whether other routers would serve callers better; `on_request` is called
    with every request that could be decoded. `early_refusal` returns why the router refuses a
    request whatever it is, or None; on a new connection it is asked before the request is parsed.
    `helper_refusal` returns why it refuses those that other routers pass on. Before both,
    `passes_on` is asked whether another router should serve the request, by `handover`.
    """

    def __init__(
        self,
        clock: Clock,
        active_config: ActiveConfig,
        codec: GatewayCodec,
        forwarder: Forwarder,
        metrics: Metrics,
        decisions: DecisionLog,
        refusal: Callable[[GatewayRequest], RequestRefused | None],
        body_bytes: BodyAccount,
        overloaded: Callable[[], bool] = lambda: False,
        on_request: Callable[[GatewayRequest], None] = lambda request: None,
        early_refusal: Callable[[], RequestRefused | None] = lambda: None,
        helper_refusal: Callable[[], RequestRefused | None] = lambda: None,
        passes_on: Callable[[], bool] = lambda: False,
        handover: Handover | None = None,
    ):
        self.clock = clock
        self.active_config = active_config
        self.codec = codec
        self.forwarder = forwarder
        self.metrics = metrics
        self.decisions = decisions
        self.refusal = refusal
        self.body_bytes = body_bytes
        self.overloaded = overloaded
        self.on_request = on_request
        self.early_refusal = early_refusal
        self.helper_refusal = helper_refusal
        self.passes_on = passes_on
        self.handover = handover
        self.shed_counter = metrics.counter("requests_shed_total")
        self.leaving = False
        self.connections: set[CallerHandler] = set()
        self.open_requests = 0
        self.last_request_at = clock.now()

    def limits(self) -> CallerLimits:
        """Return the limits in force for callers."""
        table = self.active_config.table
        return table.config.limits if table is not None else CallerLimits()

    def closes_connections(self) -> bool:
        """Return whether responses close their connections, so that callers choose a router anew.

        A router that refuses immediately frees its connections sooner than any other, and callers
        would reuse these for most of their requests.
        """
        return self.leaving or self.overloaded()

    def record_malformed(self, error: MalformedRequest) -> None:
        """Count and log a request that could not be parsed."""
        self.metrics.counter("requests_malformed_total", status=str(error.status)).add()
        self.decisions.log_decision("request_malformed", status=error.status, reason=str(error))

    def encode_refusal(self, refusal: RequestRefused) -> tuple[bytes, bytes]:
        """Return head and body of a response that refuses a request and closes its connection."""
        response = self.codec.refusal(refusal)
        fields = [*response.headers, ("Connection", "close")]
        fields.append(("Content-Length", str(len(response.body))))
        lines = [f"HTTP/1.1 {response.status} Refused", *(f"{name}: {v}" for name, v in fields)]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"), response.body

    def pass_on(self, caller: Any, data: bytes) -> bool:
        """Let another router answer a request; return False, with nothing sent, if none can.

        `caller` is the gevent socket on which `data`, one whole request, waits to be read.
        """
        if self.handover is None or self.leaving:
            return False
        kept = self.body_bytes.open()
        self.open_requests += 1
        self.last_request_at = self.clock.now()
        try:
            has_memory = kept.reserve(len(data))
            return has_memory and self.handover.pass_on(caller, data, self.open_requests)
        finally:
            kept.close()
            self.open_requests -= 1

    def record_shed(self, refusal: RequestRefused) -> None:
        """Count a request that was refused before it was parsed."""
        self.last_request_at = self.clock.now()
        self.shed_counter.add()
        self.decisions.log_decision(
            "request_shed", code=int(refusal.code), reason=refusal.message, outcome="refused"
        )

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes | memoryview]:
        """Serve one request; raises `BrokenPipeError` if the response cannot be completed."""
        connection: GatewayHandler = environ["jacinthcove.connection"]
        sink = CallerSink(start_response, connection.has_disconnected, connection.command or "")
        self.open_requests += 1
        self.last_request_at = self.clock.now()
        try:
            self._serve(connection, sink)
        except CallerDisconnected as disconnected:
            self._record_disconnected(connection, disconnected)
            connection.abort()
            raise BrokenPipeError(32, "the caller closed its connection") from disconnected
        except ResponseAborted as aborted:
            connection.abort()
            raise BrokenPipeError(32, str(aborted)) from aborted
        finally:
            self.open_requests -= 1
        return sink.result

    def _serve(self, connection: GatewayHandler, sink: CallerSink) -> None:
        passed_on = connection.passed_on
        received_at = self.clock.now() - (passed_on.waited_ms if passed_on is not None else 0)
        request_id = self.codec.request_id(connection.raw_headers)
        code = ResultCode.INTERNAL
        workspace = ""
        kept = self.body_bytes.open(connection.address)
        try:
            connection.check_size()
            if not connection.has_whole_request():
                self._check_head(connection, kept, received_at)
            body = connection.read_body(kept)
            raw = connection.raw_request(body)
            with connection.watch_disconnect():
                self._check_same_version(passed_on)
                request = self.codec.decode(raw, self.active_config.routes(), received_at)
                workspace = request.workspace
                self.on_request(request)
                self._check_accepting(connection, request)
                code = self.forwarder.run(request, sink)
        except MalformedRequest as error:
            self.record_malformed(error)
            connection.abort()
            sink.send_whole(error.status, "Refused", (("Connection", "close"),), b"")
            return
        except RequestRefused as refusal:
            code = refusal.code
            if connection.has_unread_body():
                kept.close()
                refusal = self._mark_if_stale(refusal)
                self._log_refusal(request_id, workspace, refusal, received_at)
                self._refuse_unread(connection, sink, refusal)
            elif sink.headers_sent:
                self._record_aborted(request_id, refusal.message)
                raise ResponseAborted(refusal.message) from refusal
            else:
                refusal = self._mark_if_stale(refusal)
                self._refuse(request_id, workspace, refusal, sink, received_at)
        except ResponseAborted as aborted:
            self._record_aborted(request_id, str(aborted))
            raise
        except CallerDisconnected:
            raise
        except Exception as error:
            log.exception("request_failed", request_id=request_id)
            if sink.headers_sent:
                raise ResponseAborted("the router failed") from error
            failure = RequestRefused(ResultCode.INTERNAL, "the router failed")
            self._refuse(request_id, workspace, failure, sink, received_at)
        finally:
            kept.close()
        self.metrics.counter("requests_total", code=code.name.lower()).add()
        self.metrics.histogram("request_ms").observe(self.clock.now() - received_at)

    def _check_head(self, connection: GatewayHandler, kept: HeldBody, received_at: int) -> None:
        """Raise `RequestRefused` if a request cannot be served whatever its body is."""
        self._check_same_version(connection.passed_on)
        raw = connection.raw_request(b"")
        request = self.codec.decode(raw, self.active_config.routes(), received_at)
        kept.workspace = request.workspace
        if not connection.passed_early_check:
            refusal = self.early_refusal()
            if refusal is not None:
                raise refusal
            # It is drawn at random, so once for each request.
            connection.passed_early_check = True
        refusal = self.refusal(request)
        if refusal is not None:
            raise refusal
        self.active_config.require_fresh(request.workspace)

    def _refuse_unread(
        self, connection: GatewayHandler, sink: CallerSink, refusal: RequestRefused
    ) -> None:
        """Refuse a request before its body is read, and drop the body."""
        response = self.codec.refusal(refusal)
        headers = response.headers
        if connection.close_connection:
            headers = (*headers, ("Connection", "close"))
        sink.send_at_once(response.status, "Refused", headers, response.body)
        connection.discard_body()

    def _check_same_version(self, passed_on: PassedOn | None) -> None:
        """Refuse a request of a router with another version, which may allow what this one denies.

        Its caller must not get the answers of two versions in turn either.
        """
        if passed_on is None:
            return
        version = self.active_config.version()
        if passed_on.configuration != version or not self.active_config.is_current():
            raise RequestRefused(
                ResultCode.CONFIGURATION_STALE,
                f"version {version}, {self.active_config.age_ms()} ms old, may differ from "
                f"{passed_on.configuration} of the other router",
                RETRY_ELSEWHERE_MS,
            )

    def _check_accepting(self, connection: GatewayHandler, request: GatewayRequest) -> None:
        passed, connection.passed_early_check = connection.passed_early_check, False
        refusal = (None if passed else self.early_refusal()) or self.refusal(request)
        if refusal is not None:
            raise refusal
        self.active_config.require_fresh(request.workspace)

    def _mark_if_stale(self, refusal: RequestRefused) -> RequestRefused:
        """Return the refusal, or CONFIGURATION_STALE if an unknown name may be in force by now."""
        if refusal.code in _UNKNOWN_NAME_CODES and not self.active_config.is_current():
            message = f"{refusal.message}, but the configuration may be old"
            return RequestRefused(ResultCode.CONFIGURATION_STALE, message, RETRY_ELSEWHERE_MS)
        return refusal

    def _refuse(
        self,
        request_id: str,
        workspace: str,
        refusal: RequestRefused,
        sink: CallerSink,
        received_at: int,
    ) -> None:
        self._log_refusal(request_id, workspace, refusal, received_at)
        response = self.codec.refusal(refusal)
        sink.send_whole(response.status, "Refused", response.headers, response.body)

    def _log_refusal(
        self, request_id: str, workspace: str, refusal: RequestRefused, received_at: int
    ) -> None:
        self.metrics.counter("requests_refused_total", code=refusal.code.name.lower()).add()
        self.decisions.log_decision(
            "request_refused",
            request_id=request_id,
            workspace=workspace,
            code=int(refusal.code),
            reason=refusal.message,
            retry_after_ms=refusal.retry_after_ms,
            held_ms=self.clock.now() - received_at,
            configuration_version=self.active_config.version(),
            configuration_age_ms=self.active_config.age_ms(),
            outcome="refused",
        )

    def _record_aborted(self, request_id: str, reason: str) -> None:
        self.metrics.counter("answers_aborted_total").add()
        self.decisions.log_decision(
            "answer_aborted", request_id=request_id, reason=reason, outcome="aborted"
        )

    def _record_disconnected(
        self, connection: GatewayHandler, disconnected: CallerDisconnected
    ) -> None:
        self.metrics.counter("callers_gone_total").add()
        request_id = self.codec.request_id(connection.raw_headers)
        self.decisions.log_decision(
            "caller_gone", request_id=request_id, reason=str(disconnected), outcome="cancelled"
        )
