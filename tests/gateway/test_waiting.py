"""How often waiting requests check for a target, and when they stop waiting."""

from random import Random

import gevent
import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.admission import (
    MAX_POLLING_FRACTION,
    MIN_POLL_INTERVAL_MS,
    TARGET_CHECK_MS,
)
from jacinthcove.gateway.sampling import MAX_COMPARED
from jacinthcove.gateway.shares import Standing
from jacinthcove.gateway.targetrecord import TargetRecord
from jacinthcove.lab.scenarios import SCENARIOS
from jacinthcove.lab.simulation import SERVICE, LabFleet, LabRouter, route_of
from tests.gateway.samples import request

GOAL_MS = 600


@pytest.fixture
def make_admission():
    def make(targets):
        clock = ManualClock()
        router = LabRouter("r1", "a", clock, SCENARIOS["calm"].load, LabFleet(), Random(1))
        for number in range(targets):
            id = f"t{number}"
            router.registry.put(TargetRecord(id, SERVICE, f"10.0.0.{number}:80", "a", "v1", 8), 1)
            router.registry.states[id].load.begin("long", 1_000_000, 100)
        return router.admission

    return make


def wait(admission, count):
    """Let `count` requests start to wait because no target has capacity yet."""
    for number in range(count):
        asked = request(admission.clock, f"q{number}", route=route_of("draft", GOAL_MS, 8_000))
        assert admission.decide(admission.begin(asked, SERVICE, frozenset())) is None


def test_few_waiting_requests_poll_at_the_shortest_interval(make_admission):
    admission = make_admission(6)
    wait(admission, 3)
    assert admission.poll_interval_ms(SERVICE) == MIN_POLL_INTERVAL_MS


def test_the_polling_of_many_requests_leaves_cpu_time_for_others(make_admission):
    admission = make_admission(45)
    wait(admission, 100)
    polling_ms = len(admission.waiting) * MAX_COMPARED * TARGET_CHECK_MS
    assert polling_ms / admission.poll_interval_ms(SERVICE) <= MAX_POLLING_FRACTION


def test_a_request_with_a_target_stops_waiting(make_admission):
    admission = make_admission(6)
    asked = request(admission.clock, "q", route=route_of("draft", GOAL_MS, 8_000))
    pending = admission.begin(asked, SERVICE, frozenset())
    assert admission.decide(pending) is None
    assert admission.waiting == {"q"}
    admission.registry.states["t3"].load.end("long")
    assert admission.ledger.standing(asked.workspace) is Standing.WITHIN
    assert admission.decide(pending) is not None
    assert not admission.waiting


def test_a_late_router_rejects_requests_without_a_wait(make_admission):
    admission = make_admission(6)
    admission.is_late = lambda: True
    asked = request(admission.clock, "q", route=route_of("draft", GOAL_MS, 8_000))
    with pytest.raises(RequestRefused):
        admission.decide(admission.begin(asked, SERVICE, frozenset()))


def test_the_request_of_a_caller_that_disconnects_stops_waiting(make_admission):
    admission = make_admission(6)
    asked = request(admission.clock, "q", route=route_of("draft", GOAL_MS, 8_000))
    job = gevent.spawn(admission.acquire, asked, SERVICE, frozenset())
    gevent.sleep(0)
    assert admission.waiting == {"q"}
    job.kill()
    assert not admission.waiting
