"""Builders of gateway objects for tests, with defaults that fields can override."""

from jacinthcove.gateway.load import TargetLoad
from jacinthcove.gateway.model import (
    EngineCapacity,
    GatewayRequest,
    GatewayService,
    HttpRoute,
    PromptPart,
    PromptShape,
    RetrySafety,
    RoutingConfig,
    ServiceShare,
)
from jacinthcove.gateway.targetrecord import TargetRecord
from jacinthcove.gateway.targets import TargetState

SHAPE = EngineCapacity(slots=8, memory_tokens=100_000)
GOAL_MS = 400


def route(kind=RetrySafety.STREAM, attempts=1, resumable=False, **fields):
    values = {
        "name": "r1",
        "host": "desk.example",
        "path_prefix": "/draft/",
        "timeout_ms": 5_000,
        "latency_goal_ms": GOAL_MS,
        "services": (ServiceShare("models", 1.0),),
    } | fields
    return HttpRoute(retry_safety=kind, max_attempts=attempts, resumable=resumable, **values)


def prompt(shared=1_000, own=500, output=100, key="doc"):
    parts = (PromptPart(key, shared), PromptPart("own", own)) if shared else ()
    return PromptShape(shared + own, output, parts)


def request(clock, id="q1", **fields):
    now = clock.now()
    values = {
        "method": "POST",
        "target": "/draft/1",
        "headers": (("Host", "desk.example"),),
        "body": b"{}",
        "route": route(),
        "workspace": "small",
        "received_at": now,
        "deadline": now + 5_000,
        "prompt": prompt(),
    } | fields
    return GatewayRequest(id=id, **values)


def record(id="t1", **fields):
    values = {
        "service": "models",
        "address": "10.0.0.1:80",
        "failure_domain": "a",
        "version": "v1",
        "slots": 8,
    } | fields
    return TargetRecord(id=id, **values)


def target(clock, id="t1", **fields):
    return TargetState(record(id, **fields), 1, TargetLoad(clock))


def config(version=1, routes=None, **fields):
    services = {
        "models": GatewayService("models", 14.0, SHAPE),
        "ledger": GatewayService("ledger"),
    }
    values = {"services": services, "workspace_by_key": {"k1": "small"}} | fields
    return RoutingConfig(version, routes or (route(),), **values)
