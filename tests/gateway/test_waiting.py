"""How often requests that wait for a target ask again."""

from random import Random

import gevent
import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.admission import ASKING_PART, LOOK_MS, WAIT_STEP_MS
from jacinthcove.gateway.shares import Standing
from jacinthcove.gateway.targets import TargetRecord
from jacinthcove.lab.loads import CASES
from jacinthcove.lab.play import SERVICE, LabFleet, LabRouter, route_of
from tests.gateway.samples import request

GOAL_MS = 600


@pytest.fixture
def make_admission():
    def make(targets):
        clock = ManualClock()
        router = LabRouter("r1", "a", clock, CASES["calm"].load, LabFleet(), Random(1))
        for number in range(targets):
            id = f"t{number}"
            router.book.put(TargetRecord(id, SERVICE, f"10.0.0.{number}:80", "a", "v1", 8), 1)
            router.book.states[id].load.begin("long", 1_000_000, 100)
        return router.admission

    return make


def wait(admission, count):
    """Let `count` requests find that no target has room yet."""
    for number in range(count):
        asked = request(admission.clock, f"q{number}", route=route_of("draft", GOAL_MS, 8_000))
        assert admission.decide(admission.begin(asked, SERVICE, frozenset())) is None


def test_few_requests_ask_often(make_admission):
    admission = make_admission(6)
    wait(admission, 3)
    assert admission.wait_step_ms(SERVICE) == WAIT_STEP_MS


def test_many_requests_leave_the_router_time_for_others(make_admission):
    admission = make_admission(45)
    wait(admission, 100)
    asking_ms = len(admission.waiting) * 45 * LOOK_MS
    assert asking_ms / admission.wait_step_ms(SERVICE) <= ASKING_PART


def test_requests_that_are_served_or_refused_wait_no_longer(make_admission):
    admission = make_admission(6)
    asked = request(admission.clock, "q", route=route_of("draft", GOAL_MS, 8_000))
    pending = admission.begin(asked, SERVICE, frozenset())
    assert admission.decide(pending) is None
    assert admission.waiting == {"q"}
    admission.book.states["t3"].load.end("long")
    assert admission.ledger.standing(asked.workspace) is Standing.WITHIN
    assert admission.decide(pending) is not None
    assert not admission.waiting


def test_a_late_router_lets_nobody_wait(make_admission):
    admission = make_admission(6)
    admission.is_late = lambda: True
    asked = request(admission.clock, "q", route=route_of("draft", GOAL_MS, 8_000))
    with pytest.raises(RequestRefused):
        admission.decide(admission.begin(asked, SERVICE, frozenset()))


def test_a_caller_that_leaves_waits_no_longer(make_admission):
    admission = make_admission(6)
    asked = request(admission.clock, "q", route=route_of("draft", GOAL_MS, 8_000))
    job = gevent.spawn(admission.acquire, asked, SERVICE, frozenset())
    gevent.sleep(0)
    assert admission.waiting == {"q"}
    job.kill()
    assert not admission.waiting
