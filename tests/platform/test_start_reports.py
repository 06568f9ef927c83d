"""Beyond the quota of a cold target, a request needs a connection to the start that is known."""

import itertools

import gevent
import pytest
from wire_bed import ROUTES, response

from jacinthcove.gateway.model import GatewayService, RoutingConfig
from jacinthcove.platform import startreport
from jacinthcove.platform.names import REPORT_PATH
from tests.platform.test_connection_reuse import KEEP_ALIVE, REUSE_AFTER_S, KeepAliveTarget

COLD_MS = 3_000
KNOWN_START, LATER_START = 1_700_000_000_000, 1_700_000_009_000


def reports(body, status="200 OK", extra=KEEP_ALIVE):
    """Return a script whose target answers requests for its report with `body`."""

    def script(target, sock, head):
        if not head.startswith(f"GET {REPORT_PATH} "):
            sock.sendall(response(head, extra=KEEP_ALIVE))
        elif body is not None:
            length = f"Content-Length: {len(body)}\r\n"
            sock.sendall(f"HTTP/1.1 {status}\r\n{extra}{length}\r\n{body}".encode())

    return script


def asked_for_report(target):
    return [head.startswith(f"GET {REPORT_PATH} ") for head in target.seen]


@pytest.fixture
def add(bed):
    services = {
        "ledger": GatewayService("ledger", 1.0, COLD_MS),
        "models": GatewayService("models"),
    }
    bed.active_config.apply(
        RoutingConfig(2, ROUTES, services, workspace_by_key={"key-of-small": "small"}), 2
    )

    def add_target(script, id="t1", started_at=KNOWN_START):
        target = KeepAliveTarget(id, "ledger", script)
        bed.targets.append(target)
        bed.registry.put(target.record(started_at=started_at), 1)
        return target

    return add_target


@pytest.fixture
def call(bed):
    numbers = itertools.count(1)

    def call_next():
        number = next(numbers)
        status, _, _ = bed.call(f"/publish/{number}", id=f"q{number}")
        gevent.sleep(REUSE_AFTER_S)
        return status

    return call_next


def test_connection_is_confirmed_once_and_then_reused_without_a_report(add, call):
    target = add(reports(f'{{"born": {KNOWN_START}}}'))
    assert [call() for _ in range(5)] == [200] * 5
    assert asked_for_report(target) == [False, True, False, False, False, False]
    assert len(target.connections) == 1


def test_later_start_gets_no_request_beyond_its_quota(bed, add, call):
    target = add(reports(f'{{"born": {LATER_START}}}'))
    assert [call() for _ in range(4)] == [200, 503, 503, 503]
    assert asked_for_report(target) == [False, True]
    state = bed.registry.states["t1"]
    assert state.record.started_at == LATER_START
    assert 0 < state.cold_until - bed.registry.clock.now() <= COLD_MS


@pytest.mark.parametrize("script", [reports("{}"), reports("", status="404 Not Found")])
def test_target_that_never_names_its_start_is_used_as_before(add, call, script):
    target = add(script, started_at=0)
    assert [call() for _ in range(3)] == [200] * 3
    assert asked_for_report(target) == [False, True, False, False]


@pytest.mark.parametrize("script", [reports("{}"), reports("", status="404 Not Found")])
def test_target_that_no_longer_names_its_start_gets_its_quota(add, call, script):
    target = add(script)
    assert [call() for _ in range(3)] == [200, 503, 503]
    assert asked_for_report(target).count(False) == 1


def test_start_is_learned_from_the_report_if_the_entry_has_none(bed, add, call):
    target = add(reports(f'{{"born": {KNOWN_START}}}'), started_at=0)
    assert [call(), call()] == [200, 503]
    bed.registry.put(target.record(), 2)
    state = bed.registry.states["t1"]
    assert state.record.started_at == KNOWN_START
    state.cold_until = 0
    assert [call() for _ in range(3)] == [200] * 3


@pytest.mark.parametrize(
    "script",
    [
        reports(None),
        reports("[]"),
        reports("not json"),
        reports(f'{{"born": {KNOWN_START}}}', status="500 Failed"),
        reports(f'{{"born": {KNOWN_START}}}', extra="Connection: close\r\n"),
    ],
)
def test_connection_without_a_usable_report_gets_no_request(monkeypatch, bed, add, call, script):
    monkeypatch.setattr(startreport, "REPORT_TIMEOUT_MS", 100)
    target = add(script)
    assert call() == 200
    assert call() == 503
    assert asked_for_report(target) == [False, True]
    assert bed.registry.states["t1"].unreachable_until > bed.registry.clock.now()


def test_answer_after_a_report_must_name_its_request(bed, add, call):
    def late_answer(target, sock, head):
        if head.startswith(f"GET {REPORT_PATH} "):
            body = f'{{"born": {KNOWN_START}}}'
            sock.sendall(
                f"HTTP/1.1 200 OK\r\n{KEEP_ALIVE}Content-Length: {len(body)}\r\n\r\n{body}".encode()
            )
        elif len(target.seen) == 3:
            sock.sendall(response(head, b"of another", id="another", extra=KEEP_ALIVE))
            sock.sendall(response(head, b"own", extra=KEEP_ALIVE))
        else:
            sock.sendall(response(head, extra=KEEP_ALIVE))

    target = add(late_answer)
    assert call() == 200
    assert bed.call("/publish/7", id="q7")[2] == b"own"
    assert asked_for_report(target) == [False, True, False]


def test_entry_of_the_start_before_does_not_undo_what_the_target_said(bed, add, call):
    target = add(reports(f'{{"born": {LATER_START}}}'))
    assert [call(), call()] == [200, 503]
    bed.registry.put(target.record(started_at=KNOWN_START), 2)
    state = bed.registry.states["t1"]
    assert state.record.started_at == LATER_START
    assert state.cold_until > bed.registry.clock.now()
    bed.registry.put(target.record(started_at=LATER_START, cold_for_ms=2_000), 3)
    assert state.record.started_at == LATER_START


def test_late_answer_to_a_request_is_not_taken_for_a_report(bed, add, call):
    def duplicating(target, sock, head):
        if head.startswith(f"GET {REPORT_PATH} "):
            sock.sendall(response(target.seen[0], b"late", extra=KEEP_ALIVE))
            reports(f'{{"born": {LATER_START}}}')(target, sock, head)
        else:
            sock.sendall(response(head, extra=KEEP_ALIVE))

    target = add(duplicating)
    assert [call() for _ in range(3)] == [200, 503, 503]
    assert asked_for_report(target).count(False) == 1
