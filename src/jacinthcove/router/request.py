"""Parsing and validation of requests from callers."""

import math
from dataclasses import dataclass
from typing import Any

import orjson

from jacinthcove.codes import ResultCode
from jacinthcove.config.model import FleetConfig, Route, Service, Workspace
from jacinthcove.errors import RequestRefused

MAX_HINT_TOKENS = 1_000_000
MAX_KEY_LENGTH = 200
DEFAULT_DEADLINE_MS = 60_000


@dataclass(frozen=True)
class RequestLimits:
    """Upper limits for the body size and the deadline of a request."""

    max_deadline_ms: int = 900_000
    max_body_bytes: int = 1_048_576


@dataclass(frozen=True)
class CallerRequest:
    """A validated request; `deadline` is in milliseconds of this router's monotonic clock."""

    id: str
    workspace: Workspace
    service: Service
    route: Route
    payload: Any
    input_tokens: int
    output_tokens: int
    deadline: int
    stream: bool
    prefix_key: str
    idempotency_key: str


def decode_body(body: bytes, limits: RequestLimits) -> dict[str, Any]:
    """Decode a JSON object; raises `RequestRefused` if it is malformed or too large."""
    if len(body) > limits.max_body_bytes:
        raise RequestRefused(
            ResultCode.BODY_TOO_LARGE, f"the body is larger than {limits.max_body_bytes} bytes"
        )
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise RequestRefused(ResultCode.BAD_REQUEST, f"the body is not JSON: {error}") from None
    if not isinstance(data, dict):
        raise RequestRefused(ResultCode.BAD_REQUEST, "the body is not a JSON object")
    return data


def parse_request(
    config: FleetConfig,
    workspace: Workspace,
    data: dict[str, Any],
    request_id: str,
    idempotency_key: str,
    now: int,
    limits: RequestLimits,
) -> CallerRequest:
    """Validate the decoded body of `POST /v1/requests`; raises `RequestRefused` if invalid."""
    service = _service(config, data)
    route = service.route(_string(data, "route"))
    if route is None:
        raise RequestRefused(
            ResultCode.UNKNOWN_ROUTE, f"{service.name} has no route {data.get('route')!r}"
        )
    hints = data.get("hints", {})
    if not isinstance(hints, dict):
        raise RequestRefused(ResultCode.BAD_HINT, "hints is not an object")
    if len(idempotency_key) > MAX_KEY_LENGTH:
        raise RequestRefused(
            ResultCode.BAD_REQUEST, f"Idempotency-Key is longer than {MAX_KEY_LENGTH} characters"
        )
    stream = data.get("stream", False)
    if not isinstance(stream, bool):
        raise RequestRefused(ResultCode.BAD_REQUEST, "stream is not a boolean")
    return CallerRequest(
        id=request_id,
        workspace=workspace,
        service=service,
        route=route,
        payload=data.get("payload", {}),
        input_tokens=_hint(hints, "input_tokens"),
        output_tokens=_hint(hints, "output_tokens"),
        deadline=now + _deadline_ms(data, limits.max_deadline_ms),
        stream=stream,
        prefix_key=_string(data, "prefix_key", ""),
        idempotency_key=idempotency_key,
    )


def _service(config: FleetConfig, data: dict[str, Any]) -> Service:
    name = _string(data, "service")
    service = config.services.get(name)
    if service is None:
        raise RequestRefused(ResultCode.UNKNOWN_SERVICE, f"there is no service {name!r}")
    return service


def _string(data: dict[str, Any], name: str, default: str | None = None) -> str:
    value = data.get(name, default)
    if not isinstance(value, str):
        raise RequestRefused(ResultCode.BAD_REQUEST, f"{name} is missing or not a string")
    return value


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)


def _deadline_ms(data: dict[str, Any], max_ms: int) -> int:
    value = data.get("deadline_ms", min(DEFAULT_DEADLINE_MS, max_ms))
    if not _is_number(value) or not 1 <= value <= max_ms:
        raise RequestRefused(ResultCode.BAD_DEADLINE, f"deadline_ms must be between 1 and {max_ms}")
    return int(value)


def _hint(hints: dict[str, Any], name: str) -> int:
    value = hints.get(name, 0)
    if not _is_number(value) or not 0 <= value <= MAX_HINT_TOKENS:
        raise RequestRefused(
            ResultCode.BAD_HINT, f"hints.{name} must be between 0 and {MAX_HINT_TOKENS}"
        )
    return int(value)
