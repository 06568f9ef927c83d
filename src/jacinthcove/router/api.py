"""The HTTP API for callers."""

import hashlib
import resource
import uuid
from collections.abc import Callable, Iterable
from typing import Any, Protocol
from urllib.parse import parse_qs, unquote

import gevent
import orjson
import structlog

from jacinthcove.clock import Clock
from jacinthcove.codes import ResultCode, http_status
from jacinthcove.config.model import ServiceKind, Workspace
from jacinthcove.errors import RequestRefused
from jacinthcove.ingress.gate import Gate
from jacinthcove.ingress.limits import CONNECTIONS_FD_FRACTION
from jacinthcove.ingress.server import BoundedServer
from jacinthcove.observe.metrics import Metrics
from jacinthcove.router.appliedstate import AppliedState
from jacinthcove.router.connection import CallerHandler
from jacinthcove.router.lookup import Lookup
from jacinthcove.router.request import (
    CallerRequest,
    RequestLimits,
    decode_body,
    parse_request,
)
from jacinthcove.router.response import CallerResponse, EventStream

log = structlog.get_logger()

Environ = dict[str, Any]
StartResponse = Callable[..., Callable[[bytes], Any]]

REASONS = {
    200: "OK", 400: "Bad Request", 401: "Unauthorized", 403: "Forbidden", 404: "Not Found",
    409: "Conflict", 410: "Gone", 413: "Content Too Large", 422: "Unprocessable Content",
    429: "Too Many Requests", 500: "Internal Server Error", 502: "Bad Gateway",
    503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip
OVERLOADED_RETRY_AFTER_MS = 1_000
MAX_AUTHORIZATION_LENGTH = 512
# Connections for each request that may be open; the others are idle.
CONNECTIONS_PER_REQUEST = 2
# On close, open connections get this long to finish sending their responses.
CLOSE_TIMEOUT_MS = 1_000
CLOSE_POLL_S = 0.01


def _max_connections(max_requests: int) -> int:
    max_fds, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return int(min(CONNECTIONS_PER_REQUEST * max_requests, CONNECTIONS_FD_FRACTION * max_fds))


class RequestHandler(Protocol):
    """The operations of the router that the API calls."""

    def handle(self, request: CallerRequest, stream: EventStream | None) -> CallerResponse:
        """Run a request and return its final response."""

    def resume(
        self, workspace: str, token: str, offset: int, stream: EventStream
    ) -> CallerResponse:
        """Relay a stream from token `offset` to its end."""

    def cancel(self, workspace: str, token: str) -> CallerResponse:
        """Cancel a stream on its target."""

    def keyed_status(self, workspace: str, key: str) -> CallerResponse:
        """Return the state or stored outcome of a request with an idempotency key."""

    def refusal(self) -> RequestRefused | None:
        """Return why new requests are refused, or None if they are accepted."""

    def status(self) -> dict[str, Any]:
        """Return the router's status for operators."""

    def fleet(self) -> dict[str, Any]:
        """Return the status of every live router, for the controller."""


class CallerApi:
    """WSGI application that maps the HTTP requests of callers to router operations."""

    def __init__(
        self,
        clock: Clock,
        state: AppliedState,
        lookup: Lookup,
        handler: RequestHandler,
        metrics: Metrics,
        listen: str,
        limits: RequestLimits,
        max_requests: int,
    ):
        self.clock = clock
        self.state = state
        self.lookup = lookup
        self.handler = handler
        self.metrics = metrics
        self.limits = limits
        self.max_requests = max_requests
        self.gate = Gate("callers", _max_connections(max_requests))
        self.server = BoundedServer(listen, self, self.gate, CallerHandler)
        self.open_requests = 0
        self.last_request_at = clock.now()
        self.draining = False
        self.connections: set[CallerHandler] = set()

    def start(self) -> None:
        """Start accepting connections."""
        self.server.start()

    def drain_connections(self) -> None:
        """Close each connection after its next response, so that callers use other routers."""
        self.draining = True

    def close(self) -> None:
        """Stop accepting connections, close idle ones and wait for the others to finish."""
        self.drain_connections()
        self.server.stop()
        for connection in list(self.connections):
            connection.close_if_idle()
        ends_at = self.clock.now() + CLOSE_TIMEOUT_MS
        while self.connections and self.clock.now() < ends_at:
            gevent.sleep(CLOSE_POLL_S)

    def closes_connections(self) -> bool:
        """Return whether responses close their connections."""
        return self.draining

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Handle one HTTP request; a refusal becomes a JSON response with its code."""
        self.last_request_at = self.clock.now()
        try:
            return self._route(environ, start_response)
        except RequestRefused as refusal:
            self.metrics.counter("requests_refused_total", code=refusal.code.name.lower()).add()
            return _send_response(start_response, CallerResponse.from_refusal(refusal))

    def _route(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if method == "POST" and path == "/v1/requests":
            return self._serve_request(environ, start_response)
        if method == "GET" and path == "/v1/lookup":
            return self._serve_lookup(environ, start_response)
        if path.startswith("/v1/streams/") and method in ("GET", "DELETE"):
            return self._serve_stream(environ, start_response, path.removeprefix("/v1/streams/"))
        if method == "GET" and path.startswith("/v1/keyed/"):
            workspace = self._authenticate(environ)
            key = unquote(path.removeprefix("/v1/keyed/"))
            return _send_response(start_response, self.handler.keyed_status(workspace.name, key))
        if method == "GET" and path == "/v1/status":
            return _send_body(start_response, 200, orjson.dumps(self.handler.status()))
        if method == "GET" and path == "/v1/fleet":
            return _send_body(start_response, 200, orjson.dumps(self.handler.fleet()))
        if method == "GET" and path == "/metrics":
            return _send_body(start_response, 200, self.metrics.render().encode(), "text/plain")
        if method == "GET" and path == "/healthz":
            return _send_body(start_response, 200, b'{"status":"ok"}')
        start_response("404 Not Found", [("Content-Type", "application/json")])
        return [
            CallerResponse(
                ResultCode.BAD_REQUEST, message=f"no such path: {method} {path}"
            ).encode()
        ]

    def _authenticate(self, environ: Environ) -> Workspace:
        header = environ.get("HTTP_AUTHORIZATION", "")
        scheme, _, key = header.partition(" ")
        if scheme.lower() == "bearer" and key and len(header) <= MAX_AUTHORIZATION_LENGTH:
            digest = hashlib.sha256(key.strip().encode("latin-1", "replace")).hexdigest()
            workspace = self.state.workspace_by_key_hash.get(digest)
            if workspace is not None:
                return workspace
        raise RequestRefused(ResultCode.UNAUTHENTICATED, "the workspace key is missing or unknown")

    def _serve_lookup(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        workspace = self._authenticate(environ)
        service = _query_parameter(environ, "service")
        if service not in self.state.config.services:
            raise RequestRefused(ResultCode.UNKNOWN_SERVICE, f"there is no service {service!r}")
        response = self.lookup.resolve(workspace.name, service)
        data = {"addresses": list(response.addresses), "lifetime_ms": response.lifetime_ms}
        return _send_body(start_response, 200, orjson.dumps(data))

    def _serve_request(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        workspace = self._authenticate(environ)
        self._check_accepting()
        # Reading one byte more than the limit shows whether the body is too large.
        body = environ["wsgi.input"].read(self.limits.max_body_bytes + 1)
        request = parse_request(
            self.state.config,
            workspace,
            decode_body(body, self.limits),
            uuid.uuid4().hex,
            environ.get("HTTP_IDEMPOTENCY_KEY", ""),
            self.clock.now(),
            self.limits,
        )
        stream = None
        if request.stream and request.service.kind is ServiceKind.ENGINE:
            stream = _event_stream(start_response)
        self.open_requests += 1
        started = self.clock.now()
        try:
            response = self._run_handler(lambda: self.handler.handle(request, stream))
        finally:
            self.open_requests -= 1
        self.metrics.counter("requests_total", code=response.code.name.lower()).add()
        self.metrics.histogram("request_ms").observe(self.clock.now() - started)
        return _finish_response(start_response, stream, response)

    def _run_handler(self, run: Callable[[], CallerResponse]) -> CallerResponse:
        """Return the response of `run`; an unexpected exception becomes an INTERNAL response."""
        try:
            return run()
        except RequestRefused:
            raise
        except Exception:
            log.exception("request_failed")
            return CallerResponse(
                ResultCode.INTERNAL, message="the router failed; its log has the reason"
            )

    def _check_accepting(self) -> None:
        refusal = self.handler.refusal()
        if refusal is not None:
            raise refusal
        if self.open_requests >= self.max_requests:
            message = "the router has too many open requests"
            raise RequestRefused(ResultCode.OVERLOADED, message, OVERLOADED_RETRY_AFTER_MS)

    def _serve_stream(
        self, environ: Environ, start_response: StartResponse, token: str
    ) -> Iterable[bytes]:
        workspace = self._authenticate(environ)
        if environ["REQUEST_METHOD"] == "DELETE":
            return _send_response(start_response, self.handler.cancel(workspace.name, token))
        offset_text = _query_parameter(environ, "offset") or "0"
        if not offset_text.isdigit():
            raise RequestRefused(ResultCode.BAD_REQUEST, "offset is not a non-negative integer")
        stream = _event_stream(start_response)
        self.open_requests += 1
        try:
            response = self._run_handler(
                lambda: self.handler.resume(workspace.name, token, int(offset_text), stream)
            )
        finally:
            self.open_requests -= 1
        return _finish_response(start_response, stream, response)


def _event_stream(start_response: StartResponse) -> EventStream:
    headers = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-store")]
    return EventStream(lambda: start_response("200 OK", headers))


def _finish_response(
    start_response: StartResponse, stream: EventStream | None, response: CallerResponse
) -> Iterable[bytes]:
    if stream is None or not stream.has_started:
        return _send_response(start_response, response)
    if response.code is ResultCode.OK:
        stream.end(response.usage.output_tokens, response.usage)
    else:
        stream.error(response)
    return []


def _send_response(start_response: StartResponse, response: CallerResponse) -> Iterable[bytes]:
    return _send_body(start_response, http_status(response.code), response.encode())


def _send_body(
    start_response: StartResponse, status: int, body: bytes, content_type: str = "application/json"
) -> Iterable[bytes]:
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start_response(f"{status} {REASONS[status]}", headers)
    return [body]


def _query_parameter(environ: Environ, name: str) -> str:
    values = parse_qs(environ.get("QUERY_STRING", "")).get(name, [""])
    return values[0]
