"""Converts HTTP requests and responses of the platform to and from the gateway's types."""

import math
import re
from collections.abc import Iterable

import orjson
import structlog

from jacinthcove.codes import ResultCode, http_status
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.choice import Choice
from jacinthcove.gateway.codec import (
    NO_LIMIT,
    Execution,
    Headers,
    RateStatement,
    RawRequest,
    RefusalResponse,
    ResponseHead,
)
from jacinthcove.gateway.model import GatewayRequest, PromptPart, PromptShape
from jacinthcove.gateway.routes import RouteTable
from jacinthcove.platform import names
from jacinthcove.targets.response import TargetResponse

log = structlog.get_logger()

# Headers that apply to a single connection and are not forwarded (hop-by-hop headers).
HOP_BY_HOP_HEADERS = frozenset(
    ("connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
     "te", "trailer", "transfer-encoding", "upgrade", "expect", "content-length")
)  # fmt: skip
# Request headers that may occur at most once.
_SINGLE_VALUED = frozenset(
    name.lower()
    for name in (names.ATTEMPT_ID, names.TIME_LEFT_MS, names.PROMPT_PARTS, names.TOKEN_COUNTS,
                 names.MODEL, names.AUTHORIZATION, names.LAST_EVENT_ID)
)  # fmt: skip
# A longer Retry-After of a target is reduced to this.
MAX_RETRY_AFTER_MS = 60_000
MAX_LOGGED_CHARS = 40
# Sums of such numbers over all requests of a window still fit into messages between routers.
_TOKENS = re.compile(r"[0-9]{1,9}")
# Routers remember thousands of ids of parts.
_PART_ID = re.compile(r"[^\s:]{1,64}")
_TIMEOUT_MS = re.compile(r"-?[0-9]{1,12}(\.[0-9]{1,6})?")
_RETRY_AFTER_S = re.compile(r"[0-9]{1,12}(\.[0-9]{1,6})?")
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{0,12})?|\.[0-9]{1,12}")
_KEEP_ALIVE_TIMEOUT_S = re.compile(r"\btimeout=([0-9]{1,6})\b", re.IGNORECASE)
# Methods whose requests carry Content-Length even when the body is empty.
_BODY_METHODS = frozenset(("POST", "PUT", "PATCH"))


def _single_valued_headers(headers: Headers) -> dict[str, str]:
    found: dict[str, str] = {}
    for name, value in headers:
        lower = name.lower()
        if lower in _SINGLE_VALUED or lower == "host":
            if lower in found:
                raise RequestRefused(ResultCode.BAD_REQUEST, f"{name} is given twice")
            found[lower] = value
    return found


def _decode_tokens(text: str) -> int:
    """Decode a number of tokens; raises `ValueError` if it is none or out of range."""
    if not _TOKENS.fullmatch(text.strip()):
        raise ValueError(f"{text[:MAX_LOGGED_CHARS]!r} is not a number of tokens")
    return int(text)


def _decode_timeout_ms(text: str) -> float:
    """Decode the time that a caller waits; raises `ValueError`."""
    if not _TIMEOUT_MS.fullmatch(text.strip()):
        raise ValueError(f"{text[:MAX_LOGGED_CHARS]!r} is not a time in ms")
    return float(text)


def decode_prompt(counts: str, parts: str) -> PromptShape:
    """Decode the token counts and prompt prefix headers; raises `ValueError`."""
    if not counts:
        return PromptShape()
    input_tokens, _, output_tokens = counts.partition(",")
    items = []
    for entry in parts.split(",") if parts else ():
        part_id, _, tokens = entry.strip().rpartition(":")
        if not _PART_ID.fullmatch(part_id):
            raise ValueError(f"{part_id[:MAX_LOGGED_CHARS]!r} is not the id of a part")
        items.append(PromptPart(part_id, _decode_tokens(tokens)))
    return PromptShape(
        _decode_tokens(input_tokens), _decode_tokens(output_tokens or "0"), tuple(items)
    )


class PlatformCodec:
    """Implements `GatewayCodec` for the platform's HTTP protocol."""

    def request_id(self, headers: Iterable[tuple[str, str]]) -> str:
        """Return the attempt id that the caller sent, or an empty string."""
        header = names.ATTEMPT_ID.lower()
        return next((value for name, value in headers if name.lower() == header), "")

    def decode(self, raw: RawRequest, routes: RouteTable, now: int) -> GatewayRequest:
        """Decode a request; raises `RequestRefused` with a code that means it was not executed."""
        fields = _single_valued_headers(raw.headers)
        path = raw.target.partition("?")[0]
        route = routes.find(fields.get("host", ""), path)
        scheme, _, key = fields.get(names.AUTHORIZATION.lower(), "").partition(" ")
        key = key.strip() if scheme.lower() == names.KEY_SCHEME else ""
        workspace = routes.workspace(route, key)
        request_id = fields.get(names.ATTEMPT_ID.lower(), "")
        if not request_id:
            raise RequestRefused(ResultCode.BAD_REQUEST, "the request has no id")
        try:
            caller_timeout_ms = _decode_timeout_ms(
                fields.get(names.TIME_LEFT_MS.lower(), str(route.timeout_ms))
            )
            prompt = decode_prompt(
                fields.get(names.TOKEN_COUNTS.lower(), ""),
                fields.get(names.PROMPT_PARTS.lower(), ""),
            )
        except ValueError as error:
            raise RequestRefused(ResultCode.BAD_REQUEST, f"unreadable header: {error}") from error
        return GatewayRequest(
            id=request_id,
            method=raw.method,
            target=raw.target,
            headers=_forwarded_headers(raw.headers),
            body=raw.body,
            route=route,
            workspace=workspace,
            received_at=now,
            deadline=now + int(min(caller_timeout_ms, route.timeout_ms)),
            prompt=prompt,
            last_event_id=fields.get(names.LAST_EVENT_ID.lower(), "") if route.resumable else "",
        )

    def encode(
        self, request: GatewayRequest, choice: Choice, remaining_ms: int, last_event_id: str
    ) -> bytes:
        """Return the request line and headers to send to the chosen target."""
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in request.headers]
        lines.append(f"{names.TIME_LEFT_MS}: {remaining_ms}")
        lines.append(f"{names.EXPECTED_TARGET}: {choice.target.record.id}")
        if request.workspace:
            lines.append(f"{names.WORKSPACE}: {request.workspace}")
        if choice.fetch_from:
            lines.append(f"{names.FETCH_KV_CACHE_FROM}: {choice.fetch_from}")
        if last_event_id:
            lines.append(f"{names.LAST_EVENT_ID}: {last_event_id}")
        if request.body or request.method in _BODY_METHODS:
            lines.append(f"Content-Length: {len(request.body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def is_response_to(self, request: GatewayRequest, response: TargetResponse) -> bool:
        """Return whether a response carries the attempt id of the request."""
        return response.get(names.ATTEMPT_ID) == request.id

    def parse_response_head(
        self, request: GatewayRequest, response: TargetResponse
    ) -> ResponseHead:
        """Classify a target's response by its status and headers."""
        status = response.status_code
        echoed = response.get(names.ATTEMPT_ID)
        headers = tuple(
            (name, value)
            for name, value in response.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        )
        return ResponseHead(
            status=status,
            reason=str(response.status_message or "OK"),
            headers=headers,
            execution=_classify_execution(status, response, echoed not in (None, request.id)),
            leaving=response.get(names.LEAVING) == names.LEAVING_YES,
            retry_after_ms=decode_retry_after(response) if status == 503 else 0,
            keep_alive_ms=decode_keep_alive_ms(response),
            limit=decode_limit(response),
        )

    def refusal(self, refusal: RequestRefused) -> RefusalResponse:
        """Return the response for a request that gets none from a target."""
        body = orjson.dumps({"error": refusal.message, "code": int(refusal.code)})
        headers = [("Content-Type", "application/json")]
        if refusal.retry_after_ms is not None:
            headers.append((names.RETRY_AFTER, f"{refusal.retry_after_ms / 1000:.3f}"))
        return RefusalResponse(http_status(refusal.code), tuple(headers), body)


def decode_retry_after(response: TargetResponse) -> int:
    """Return the Retry-After of a target in ms, 0 if it is absent or not a number of seconds."""
    value = response.get(names.RETRY_AFTER)
    if value is None:
        return 0
    text = str(value).strip()
    if not _RETRY_AFTER_S.fullmatch(text):
        log.warning("retry_after_unusable", value=text[:MAX_LOGGED_CHARS])
        return 0
    return min(MAX_RETRY_AFTER_MS, math.ceil(float(text) * 1_000))


def decode_limit(response: TargetResponse) -> RateStatement | None:
    """Return the limit that a target states in a response, None if it cannot be read."""
    value = response.get(names.REQUESTS_PER_S)
    if value is None:
        return NO_LIMIT
    text = str(value).strip()
    if not _DECIMAL.fullmatch(text):
        log.warning("target_limit_unreadable", value=text[:MAX_LOGGED_CHARS])
        return None
    return RateStatement(float(text))


def decode_keep_alive_ms(response: TargetResponse) -> int:
    """Return how long a target keeps an idle connection open in ms, 0 if it does not say."""
    value = response.get(names.KEEP_ALIVE)
    found = _KEEP_ALIVE_TIMEOUT_S.search(value) if isinstance(value, str) else None
    return 1_000 * int(found.group(1)) if found is not None else 0


def _classify_execution(status: int, response: TargetResponse, foreign: bool) -> Execution:
    if foreign:
        return Execution.FOREIGN
    if status == 421:
        return Execution.OTHER_TARGET
    if response.get(names.NOT_RUN) is not None:
        return Execution.NOT_RUN
    if 200 <= status < 300:
        signed = response.get(names.SIGNATURE) is not None
        return Execution.SUCCEEDED if signed else Execution.FOREIGN
    return Execution.FAILED


def _forwarded_headers(headers: Headers) -> Headers:
    """Return the headers that are forwarded to the target unchanged."""
    connection_headers = {
        item.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for item in value.split(",")
    }
    # A caller must not use Connection to drop a header that the request needs.
    connection_headers -= {"host", *_SINGLE_VALUED}
    dropped = HOP_BY_HOP_HEADERS | names.SYSTEM_HEADERS | connection_headers
    return tuple((name, value) for name, value in headers if name.lower() not in dropped)
