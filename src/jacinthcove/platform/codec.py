"""Requests and answers on the wire, to and from the types of the gateway."""

import math
import re
from collections.abc import Iterable

import orjson
import structlog

from jacinthcove.codes import ResultCode, http_status
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.codec import Execution, Headers, RawRequest, RefusalResponse, ResponseHead
from jacinthcove.gateway.model import GatewayRequest, PromptPart, PromptShape
from jacinthcove.gateway.placement import Choice
from jacinthcove.gateway.routes import RouteTable
from jacinthcove.platform import names
from jacinthcove.targets.response import TargetResponse

log = structlog.get_logger()

# Headers that concern one connection only.
HOP_HEADERS = frozenset(
    ("connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
     "te", "trailer", "transfer-encoding", "upgrade", "expect", "content-length")
)  # fmt: skip
# Headers of a request that must be there once at most.
_SINGLE = frozenset(
    name.lower()
    for name in (names.ATTEMPT_ID, names.TIME_LEFT_MS, names.PROMPT_PARTS, names.TOKEN_COUNTS,
                 names.MODEL, names.AUTHORIZATION, names.LAST_EVENT_ID)
)  # fmt: skip
# Longer wishes of a target to get nothing are cut to this.
MAX_RETRY_AFTER_MS = 60_000
MAX_LOGGED_CHARS = 40
_SECONDS = re.compile(r"[0-9]{1,12}(\.[0-9]{1,6})?")
_KEPT_SECONDS = re.compile(r"\btimeout=([0-9]{1,6})\b", re.IGNORECASE)
# Methods whose requests have a length even without a body.
_BODY_METHODS = frozenset(("POST", "PUT", "PATCH"))


def _single(headers: Headers) -> dict[str, str]:
    found: dict[str, str] = {}
    for name, value in headers:
        lower = name.lower()
        if lower in _SINGLE or lower == "host":
            if lower in found:
                raise RequestRefused(ResultCode.BAD_REQUEST, f"{name} is given twice")
            found[lower] = value
    return found


def decode_prompt(counts: str, parts: str) -> PromptShape:
    """Return the shape of a prompt; raises `ValueError`."""
    if not counts:
        return PromptShape()
    read, _, made = counts.partition(",")
    items = []
    for entry in parts.split(",") if parts else ():
        part_id, _, tokens = entry.strip().rpartition(":")
        items.append(PromptPart(part_id, int(tokens)))
    return PromptShape(int(read), int(made or 0), tuple(items))


class PlatformCodec:
    """`GatewayCodec` for the platform's protocol."""

    def request_id(self, headers: Iterable[tuple[str, str]]) -> str:
        """Return the caller's id of the attempt, or the empty text."""
        wanted = names.ATTEMPT_ID.lower()
        return next((value for name, value in headers if name.lower() == wanted), "")

    def decode(self, raw: RawRequest, routes: RouteTable, now: int) -> GatewayRequest:
        """Return the typed request; raises `RequestRefused` with a not-run code."""
        fields = _single(raw.headers)
        path = raw.target.partition("?")[0]
        route = routes.find(fields.get("host", ""), path)
        scheme, _, key = fields.get(names.AUTHORIZATION.lower(), "").partition(" ")
        key = key.strip() if scheme.lower() == names.KEY_SCHEME else ""
        workspace = routes.workspace(route, key)
        request_id = fields.get(names.ATTEMPT_ID.lower(), "")
        if not request_id:
            raise RequestRefused(ResultCode.BAD_REQUEST, "the request has no id")
        try:
            left = float(fields.get(names.TIME_LEFT_MS.lower(), route.timeout_ms))
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
            headers=_forwarded(raw.headers),
            body=raw.body,
            route=route,
            workspace=workspace,
            received_at=now,
            deadline=now + int(min(left, route.timeout_ms)),
            prompt=prompt,
            last_event_id=fields.get(names.LAST_EVENT_ID.lower(), "") if route.resumable else "",
        )

    def encode(
        self, request: GatewayRequest, choice: Choice, remaining_ms: int, last_event_id: str
    ) -> bytes:
        """Return the head of the request to a target."""
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in request.headers]
        lines.append(f"{names.TIME_LEFT_MS}: {remaining_ms}")
        lines.append(f"{names.EXPECTED_TARGET}: {choice.target.record.id}")
        if request.workspace:
            lines.append(f"{names.WORKSPACE}: {request.workspace}")
        if choice.fetch_from:
            lines.append(f"{names.FETCH_MEMORY_FROM}: {choice.fetch_from}")
        if last_event_id:
            lines.append(f"{names.LAST_EVENT_ID}: {last_event_id}")
        if request.body or request.method in _BODY_METHODS:
            lines.append(f"Content-Length: {len(request.body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def is_response_to(self, request: GatewayRequest, response: TargetResponse) -> bool:
        """Return whether an answer names the request as its own."""
        return response.get(names.ATTEMPT_ID) == request.id

    def parse_response_head(
        self, request: GatewayRequest, response: TargetResponse
    ) -> ResponseHead:
        """Classify a target's answer by its head."""
        status = response.status_code
        echoed = response.get(names.ATTEMPT_ID)
        headers = tuple(
            (name, value) for name, value in response.items() if name.lower() not in HOP_HEADERS
        )
        return ResponseHead(
            status=status,
            reason=str(response.status_message or "OK"),
            headers=headers,
            execution=_execution(status, response, echoed not in (None, request.id)),
            leaving=response.get(names.LEAVING) == names.LEAVING_YES,
            retry_after_ms=decode_retry_after(response) if status == 503 else 0,
            keep_alive_ms=decode_keep_alive_ms(response),
        )

    def refusal(self, refusal: RequestRefused) -> RefusalResponse:
        """Return the answer for a request that ends without a target's answer."""
        body = orjson.dumps({"error": refusal.message, "code": int(refusal.code)})
        headers = [("Content-Type", "application/json")]
        if refusal.retry_after_ms is not None:
            headers.append((names.RETRY_AFTER, f"{refusal.retry_after_ms / 1000:.3f}"))
        return RefusalResponse(http_status(refusal.code), tuple(headers), body)


def decode_retry_after(response: TargetResponse) -> int:
    """Return the ms for which a target wants nothing, 0 without a usable figure in seconds."""
    value = response.get(names.RETRY_AFTER)
    if value is None:
        return 0
    text = str(value).strip()
    if not _SECONDS.fullmatch(text):
        log.warning("retry_after_unusable", value=text[:MAX_LOGGED_CHARS])
        return 0
    return min(MAX_RETRY_AFTER_MS, math.ceil(float(text) * 1_000))


def decode_keep_alive_ms(response: TargetResponse) -> int:
    """Return the ms for which a target keeps an idle connection, 0 if it does not say."""
    value = response.get(names.KEEP_ALIVE)
    found = _KEPT_SECONDS.search(value) if isinstance(value, str) else None
    return 1_000 * int(found.group(1)) if found is not None else 0


def _execution(status: int, response: TargetResponse, foreign: bool) -> Execution:
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


def _forwarded(headers: Headers) -> Headers:
    """Return the headers that go to the target as they came."""
    listed = {
        item.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for item in value.split(",")
    }
    # A caller cannot have a header dropped that belongs to the request.
    listed -= {"host", *_SINGLE}
    dropped = HOP_HEADERS | names.SYSTEM_HEADERS | listed
    return tuple((name, value) for name, value in headers if name.lower() not in dropped)
