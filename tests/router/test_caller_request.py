"""Guards against malformed requests that pass validation or fail without a result code."""

import pytest

from jacinthcove.codes import ResultCode
from jacinthcove.config.model import FleetConfig, Route, Service, ServiceKind, Workspace
from jacinthcove.errors import RequestRefused
from jacinthcove.router.request import RequestLimits, decode_body, parse_request

LIMITS = RequestLimits()
WORKSPACE = Workspace("w", 1.0, "hash")
CONFIG = FleetConfig(
    services={"model": Service("model", ServiceKind.ENGINE, "v1", (Route("draft"),))}
)
GOOD = {"service": "model", "route": "draft"}


def parse(key="", **changes):
    return parse_request(CONFIG, WORKSPACE, {**GOOD, **changes}, "r1", key, 1_000, LIMITS)


def test_request_has_hints_and_a_deadline_on_the_routers_clock():
    request = parse(deadline_ms=500, hints={"output_tokens": 9}, stream=True, prefix_key="p")
    assert (request.deadline, request.output_tokens, request.input_tokens) == (1_500, 9, 0)
    assert (request.stream, request.prefix_key) == (True, "p")


@pytest.mark.parametrize(
    ("changes", "code"),
    [
        ({"service": "none"}, ResultCode.UNKNOWN_SERVICE),
        ({"service": 5}, ResultCode.BAD_REQUEST),
        ({"route": "none"}, ResultCode.UNKNOWN_ROUTE),
        ({"stream": 1}, ResultCode.BAD_REQUEST),
        ({"prefix_key": 1}, ResultCode.BAD_REQUEST),
        ({"hints": []}, ResultCode.BAD_HINT),
        ({"hints": {"input_tokens": -1}}, ResultCode.BAD_HINT),
        ({"hints": {"output_tokens": True}}, ResultCode.BAD_HINT),
        ({"deadline_ms": 0}, ResultCode.BAD_DEADLINE),
        ({"deadline_ms": "1"}, ResultCode.BAD_DEADLINE),
        ({"deadline_ms": LIMITS.max_deadline_ms + 1}, ResultCode.BAD_DEADLINE),
        ({"deadline_ms": float("nan")}, ResultCode.BAD_DEADLINE),
        ({"key": "k" * 201}, ResultCode.BAD_REQUEST),
    ],
)
def test_invalid_field_is_refused_with_its_code(changes, code):
    with pytest.raises(RequestRefused) as raised:
        parse(**changes)
    assert raised.value.code is code


@pytest.mark.parametrize(
    ("body", "code"),
    [
        (b"{", ResultCode.BAD_REQUEST),
        (b"[]", ResultCode.BAD_REQUEST),
        (b" " * (LIMITS.max_body_bytes + 1), ResultCode.BODY_TOO_LARGE),
    ],
)
def test_invalid_body_is_refused_with_its_code(body, code):
    with pytest.raises(RequestRefused) as raised:
        decode_body(body, LIMITS)
    assert raised.value.code is code
