"""Steps about faulty streams, the power cut and bad input of callers."""

from collections import Counter
from dataclasses import replace
from random import Random

import orjson
from behave import given, then, when

from features.support.site import ENGINE, LONGEST_DEADLINE_MS, PLAIN, PROFILE, wait_until
from features.support.traffic import Traffic
from jacinthcove.codes import ResultCode, result_class
from jacinthcove.load.profiles import POWER_CUT_WINDOW_MS
from jacinthcove.store.connections import Connections
from testbed.fleet import http

# Each engine shows one of these; the counts are chunks of one connection.
STREAM_FAULTS = (
    {"cut_after": 4},
    {"silent_after": 30},
    {"duplicate_rate": 0.3},
    {"reorder_rate": 0.3},
    {"cut_after": 12, "duplicate_rate": 0.2, "reorder_rate": 0.2},
    {"cut_after": 60, "on_resume": True},
)
OVERSIZED_BYTES = 3_000_000
CALL_TIMEOUT_MS = 5_000
IDLE_TIMEOUT_S = 20.0


@given("engines that cut, silence, duplicate and reorder their streams")
def step_faulty_streams(context):
    for number, address in enumerate(context.site.addresses(ENGINE)):
        context.site.fleet.set_faults(address, **STREAM_FAULTS[number % len(STREAM_FAULTS)])


@given("{callers:d} callers with seed {seed:d} that reconnect within one second after a power cut")
def step_power_cut(context, callers, seed):
    context.traffic = Traffic(context.site, seed)
    context.power_cut_at = context.traffic.clock.now()
    random = Random(seed)
    shares = [workspace.share for workspace in PROFILE.workspaces]
    for number in range(callers):
        # Every workspace has callers, the large ones most of them.
        if number < len(PROFILE.workspaces):
            workspace = PROFILE.workspaces[number]
        else:
            workspace = random.choices(PROFILE.workspaces, shares)[0]
        requests = context.traffic.specs(workspace, number)
        specs = (replace(spec, deadline_ms=LONGEST_DEADLINE_MS) for spec in requests)
        delay_ms = 1 + random.randrange(POWER_CUT_WINDOW_MS)
        context.traffic.add(workspace, specs, delay_ms=delay_ms)


@then("callers found the queue of their workspace full")
def step_queue_full(context):
    assert context.site.counted('jacinthcove_requests_total{code="queue_full"}')


@then("every workspace received whole answers in the first {seconds:d} seconds")
def step_every_workspace(context, seconds):
    ends_at = context.power_cut_at + seconds * 1000
    served = Counter(
        r.workspace
        for r in context.records
        if r.last.complete and r.started_at + r.last.total_ms <= ends_at
    )
    missing = [w.name for w in PROFILE.workspaces if not served[w.name]]
    assert not missing, f"without service: {missing}; served: {served}"


def total_runs(site):
    """Return how many requests all targets have run."""
    addresses = [*site.addresses(ENGINE), *site.addresses(PLAIN)]
    return sum(site.executions("requests", addresses).values())


@given("the targets are idle")
def step_idle(context):
    addresses = [*context.site.addresses(ENGINE), *context.site.addresses(PLAIN)]
    wait_until(
        "the targets to be idle",
        lambda: not any(http(address, "GET", "/load")["running"] for address in addresses),
        IDLE_TIMEOUT_S,
    )
    context.runs_before = total_runs(context.site)


def send(context, body, key="", path="/v1/requests", method="POST"):
    """Send one raw call to the first router and keep its reply."""
    headers = {"Authorization": f"Bearer {key or PROFILE.workspaces[0].key}"}
    connections = Connections(context.site.fleet.callers()[0], CALL_TIMEOUT_MS)
    try:
        context.reply = connections.request(method, path, body, headers)
    finally:
        connections.close()


def request_body(**changes):
    """Return the body of a valid request with some changes."""
    valid = {
        "service": ENGINE,
        "route": "question",
        "payload": {"prompt": "p", "input_tokens": 10, "max_tokens": 5},
        "hints": {"input_tokens": 10, "output_tokens": 5},
        "deadline_ms": 5_000,
        "stream": True,
    }
    return orjson.dumps({**valid, **changes})


@when("a caller sends malformed JSON")
def step_malformed(context):
    send(context, b'{"service": "drafting", ')


@when("a caller sends a list as body")
def step_list(context):
    send(context, b"[1, 2]")


@when("a caller sends an oversized body")
def step_oversized(context):
    send(context, request_body(payload={"prompt": "x" * OVERSIZED_BYTES}))


@when("a caller sends an unknown service")
def step_unknown_service(context):
    send(context, request_body(service="unheard-of"))


@when("a caller sends an unknown route")
def step_unknown_route(context):
    send(context, request_body(route="unheard-of"))


@when("a caller sends an impossible deadline")
def step_deadline(context):
    send(context, request_body(deadline_ms=-1))


@when("a caller sends a negative hint")
def step_hint(context):
    send(context, request_body(hints={"input_tokens": 10, "output_tokens": -5}))


@when("a caller sends a wrong key")
def step_wrong_key(context):
    send(context, request_body(), key="wrong")


@when("a caller sends a forged resume token")
def step_forged_token(context):
    send(context, b"", path="/v1/streams/Zm9yZ2Vk.Zm9yZ2Vk?offset=0", method="GET")


@then('it is refused with HTTP status {status:d} and code {name} of class "{class_name}"')
def step_code(context, status, name, class_name):
    data = orjson.loads(context.reply.body)
    seen = (context.reply.status, data["code"], data["class"])
    assert seen == (status, int(ResultCode[name]), class_name), (seen, data)
    assert result_class(ResultCode[name]).value == class_name
    assert data["message"]


@then("no target has run anything")
def step_nothing_ran(context):
    assert total_runs(context.site) == context.runs_before
