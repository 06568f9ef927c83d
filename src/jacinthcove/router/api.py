"""The HTTP API for callers."""

import hashlib
import uuid
from collections.abc import Callable, Iterable
from typing import Any, Protocol
from urllib.parse import parse_qs, unquote

import gevent
import orjson
import structlog
from gevent.pywsgi import WSGIServer

from jacinthcove.address import split_address
from jacinthcove.clock import Clock
from jacinthcove.codes import ResultCode, http_status
from jacinthcove.config.model import ServiceKind, Workspace
from jacinthcove.errors import RequestRefused
from jacinthcove.observe.metrics import Metrics
from jacinthcove.router.answer import Answer, EventStream
from jacinthcove.router.connection import CallerHandler
from jacinthcove.router.current import AppliedState
from jacinthcove.router.lookup import Lookup
from jacinthcove.router.request import (
    CallerRequest,
    RequestLimits,
    decode_body,
    parse_request,
)

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
# Answers that are still being sent when the router closes get this long.
CLOSE_TIMEOUT_MS = 1_000
CLOSE_POLL_S = 0.01


class RequestHandling(Protocol):
    """What the API needs from the router for requests."""

    def handle(self, request: CallerRequest, stream: EventStream | None) -> Answer:
        """Run a request and return its final answer."""

    def resume(self, workspace: str, token: str, offset: int, stream: EventStream) -> Answer:
        """Relay the rest of a stream."""

    def cancel(self, workspace: str, token: str) -> Answer:
        """Cancel a stream at its target."""

    def keyed_status(self, workspace: str, key: str) -> Answer:
        """Return what is known about a keyed request."""

    def refusal(self) -> RequestRefused | None:
        """Return why the router takes no new requests at present, or None."""

    def status(self) -> dict[str, Any]:
        """Return the router's status for operators."""

    def fleet(self) -> dict[str, Any]:
        """Return the status of every live router, for the controller."""


class CallerApi:
    """Routes HTTP requests of callers to the router."""

    def __init__(
        self,
        clock: Clock,
        state: AppliedState,
        lookup: Lookup,
        handling: RequestHandling,
        metrics: Metrics,
        listen: str,
        limits: RequestLimits,
        max_requests: int,
    ):
        self.clock = clock
        self.state = state
        self.lookup = lookup
        self.handling = handling
        self.metrics = metrics
        self.limits = limits
        self.max_requests = max_requests
        self.server = WSGIServer(
            split_address(listen), self, handler_class=CallerHandler, log=None, error_log=None
        )
        self.open_requests = 0
        self.last_request_at = clock.now()
        self.leaving = False
        self.connections: set[CallerHandler] = set()

    def start(self) -> None:
        """Accept connections."""
        self.server.start()

    def leave(self) -> None:
        """Let every further response end its connection, so that callers go elsewhere."""
        self.leaving = True

    def close(self) -> None:
        """Stop accepting connections, close idle ones and let the others end."""
        self.leave()
        self.server.stop()
        for connection in list(self.connections):
            connection.end_if_idle()
        ends_at = self.clock.now() + CLOSE_TIMEOUT_MS
        while self.connections and self.clock.now() < ends_at:
            gevent.sleep(CLOSE_POLL_S)

    def closes_connections(self) -> bool:
        """Return whether answers end their connections."""
        return self.leaving

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Serve one HTTP request."""
        self.last_request_at = self.clock.now()
        try:
            return self._route(environ, start_response)
        except RequestRefused as refusal:
            self.metrics.counter("requests_refused_total", code=refusal.code.name.lower()).add()
            return _json_answer(start_response, Answer.of_refusal(refusal))

    def _route(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if method == "POST" and path == "/v1/requests":
            return self._request(environ, start_response)
        if method == "GET" and path == "/v1/lookup":
            return self._lookup(environ, start_response)
        if path.startswith("/v1/streams/") and method in ("GET", "DELETE"):
            return self._stream(environ, start_response, path.removeprefix("/v1/streams/"))
        if method == "GET" and path.startswith("/v1/keyed/"):
            workspace = self._authenticate(environ)
            key = unquote(path.removeprefix("/v1/keyed/"))
            return _json_answer(start_response, self.handling.keyed_status(workspace.name, key))
        if method == "GET" and path == "/v1/status":
            return _json(start_response, 200, orjson.dumps(self.handling.status()))
        if method == "GET" and path == "/v1/fleet":
            return _json(start_response, 200, orjson.dumps(self.handling.fleet()))
        if method == "GET" and path == "/metrics":
            return _json(start_response, 200, self.metrics.render().encode(), "text/plain")
        if method == "GET" and path == "/healthz":
            return _json(start_response, 200, b'{"status":"ok"}')
        start_response("404 Not Found", [("Content-Type", "application/json")])
        return [Answer(ResultCode.BAD_REQUEST, message=f"no such path: {method} {path}").encode()]

    def _authenticate(self, environ: Environ) -> Workspace:
        header = environ.get("HTTP_AUTHORIZATION", "")
        scheme, _, key = header.partition(" ")
        if scheme.lower() == "bearer" and key and len(header) <= MAX_AUTHORIZATION_LENGTH:
            digest = hashlib.sha256(key.strip().encode("latin-1", "replace")).hexdigest()
            workspace = self.state.workspace_by_key_hash.get(digest)
            if workspace is not None:
                return workspace
        raise RequestRefused(ResultCode.UNAUTHENTICATED, "the workspace key is missing or unknown")

    def _lookup(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        workspace = self._authenticate(environ)
        service = _query(environ, "service")
        if service not in self.state.config.services:
            raise RequestRefused(ResultCode.UNKNOWN_SERVICE, f"there is no service {service!r}")
        answer = self.lookup.answer(workspace.name, service)
        data = {"addresses": list(answer.addresses), "lifetime_ms": answer.lifetime_ms}
        return _json(start_response, 200, orjson.dumps(data))

    def _request(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        workspace = self._authenticate(environ)
        self._check_open()
        # One byte more than allowed is enough to see that the body is too large.
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
            answer = self._final(lambda: self.handling.handle(request, stream))
        finally:
            self.open_requests -= 1
        self.metrics.counter("requests_total", code=answer.code.name.lower()).add()
        self.metrics.histogram("request_ms").observe(self.clock.now() - started)
        return _finish(start_response, stream, answer)

    def _final(self, run: Callable[[], Answer]) -> Answer:
        """Return the answer of `run`; a fault of the router becomes a numbered answer as well."""
        try:
            return run()
        except RequestRefused:
            raise
        except Exception:
            log.exception("request_failed")
            return Answer(ResultCode.INTERNAL, message="the router failed; its log has the reason")

    def _check_open(self) -> None:
        refusal = self.handling.refusal()
        if refusal is not None:
            raise refusal
        if self.open_requests >= self.max_requests:
            message = "the router has too many open requests"
            raise RequestRefused(ResultCode.OVERLOADED, message, OVERLOADED_RETRY_AFTER_MS)

    def _stream(
        self, environ: Environ, start_response: StartResponse, token: str
    ) -> Iterable[bytes]:
        workspace = self._authenticate(environ)
        if environ["REQUEST_METHOD"] == "DELETE":
            return _json_answer(start_response, self.handling.cancel(workspace.name, token))
        offset_text = _query(environ, "offset") or "0"
        if not offset_text.isdigit():
            raise RequestRefused(ResultCode.BAD_REQUEST, "offset is not a non-negative integer")
        stream = _event_stream(start_response)
        self.open_requests += 1
        try:
            answer = self._final(
                lambda: self.handling.resume(workspace.name, token, int(offset_text), stream)
            )
        finally:
            self.open_requests -= 1
        return _finish(start_response, stream, answer)


def _event_stream(start_response: StartResponse) -> EventStream:
    headers = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-store")]
    return EventStream(lambda: start_response("200 OK", headers))


def _finish(
    start_response: StartResponse, stream: EventStream | None, answer: Answer
) -> Iterable[bytes]:
    if stream is None or not stream.begun:
        return _json_answer(start_response, answer)
    if answer.code is ResultCode.OK:
        stream.end(answer.usage.output_tokens, answer.usage)
    else:
        stream.error(answer)
    return []


def _json_answer(start_response: StartResponse, answer: Answer) -> Iterable[bytes]:
    return _json(start_response, http_status(answer.code), answer.encode())


def _json(
    start_response: StartResponse, status: int, body: bytes, content_type: str = "application/json"
) -> Iterable[bytes]:
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start_response(f"{status} {REASONS[status]}", headers)
    return [body]


def _query(environ: Environ, name: str) -> str:
    values = parse_qs(environ.get("QUERY_STRING", "")).get(name, [""])
    return values[0]
