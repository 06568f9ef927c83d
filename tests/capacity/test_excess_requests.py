"""Requests beyond their workspace's share, while engines have room and while they have none."""

from random import Random

import pytest

from jacinthcove.capacity.engineload import EngineLoad
from jacinthcove.clock import ManualClock
from jacinthcove.codes import ResultCode
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.admission import NO_ROOM_MS
from jacinthcove.gateway.targetrecord import TargetRecord
from jacinthcove.lab.scenarios import SCENARIOS
from jacinthcove.lab.simulation import SERVICE, LabFleet, LabRouter, route_of
from tests.gateway.samples import request

GOAL_MS = 600
SLOTS = LabFleet().capacity.slots


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def router(clock):
    """A router with one idle engine, at which no request of any workspace fits into its share."""
    router = LabRouter("r1", "a", clock, SCENARIOS["calm"].load, LabFleet(), Random(1))
    router.registry.put(TargetRecord("t1", SERVICE, "10.0.0.1:80", "a", "v1", SLOTS), 1)
    router.ledger.admitted_fraction = lambda workspace: 0.0
    return router


def decide(router, id="r"):
    route = route_of("question", GOAL_MS, 8_000)
    sent = request(router.admission.clock, id, route=route)
    pending = router.admission.begin(sent, SERVICE, frozenset())
    return router.admission.decide(pending)


def fill(router, requests, unread_tokens=0):
    load = router.registry.states["t1"].load
    for number in range(requests):
        load.begin(f"other-{number}", unread_tokens, 10)
    return load


def test_no_request_is_refused_for_its_share_while_an_engine_is_idle(router):
    """Most engines crash and return: the shares are still those of the crash, the engines empty."""
    assert decide(router).target.record.id == "t1"


@pytest.mark.parametrize(("running", "unread_tokens"), [(SLOTS * 7 // 10, 0), (1, 9_000)])
def test_excess_requests_leave_slots_and_queues_to_others(router, running, unread_tokens):
    """Several hot workspaces at full load: their excess would queue ahead of smaller workspaces."""
    fill(router, running, unread_tokens)
    with pytest.raises(RequestRefused) as refusal:
        decide(router)
    assert refusal.value.code is ResultCode.NO_CAPACITY
    router.ledger.admitted_fraction = lambda workspace: 1.0
    assert decide(router).target.record.id == "t1"


def test_many_excess_requests_compare_targets_only_now_and_then(router, clock):
    """A flood at a router of half a core: comparing targets for each refusal would make it late."""
    load = fill(router, SLOTS)
    with pytest.raises(RequestRefused):
        decide(router, "first")
    load.own.clear()
    with pytest.raises(RequestRefused):
        decide(router, "second")
    clock.advance(NO_ROOM_MS)
    assert decide(router, "third").target.record.id == "t1"


def test_excess_requests_wait_until_less_than_half_of_the_engines_have_a_backlog(router):
    """Many routers fill single places by old reports: answers of all workspaces come late."""
    router.ledger.capacity.load = EngineLoad(2, 0.5)
    with pytest.raises(RequestRefused):
        decide(router)
    router.ledger.capacity.load = EngineLoad(2, 0.4)
    assert decide(router).target.record.id == "t1"
