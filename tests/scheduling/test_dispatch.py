"""Guards against wrong results of acquiring and freeing slots of local and remote shards."""

import random
from dataclasses import replace
from itertools import count

import gevent
import pytest

from jacinthcove.codes import ResultCode
from jacinthcove.config.model import Limits
from jacinthcove.errors import RequestRefused
from jacinthcove.mesh.peers import MemberState
from jacinthcove.scheduling.codec import ticket_for_request
from jacinthcove.scheduling.entry import OFFER_ROUND_PAUSE_MS, WaitingRequest
from jacinthcove.scheduling.ticket import TicketRequest, Usage
from scheduling.fakes import Fleet, fleet_config


def request(fleet: Fleet, name: str, workspace: str = "w", wait_ms: int = 60_000, **more):
    deadline = fleet.clock.now() + wait_ms
    return TicketRequest(name, workspace, "draft", "write", "v1", 10.0, deadline, **more)


@pytest.fixture
def make_fleet():
    fleets: list[Fleet] = []

    def make(routers: int, targets: int, limits: Limits | None = None) -> Fleet:
        fleets.append(Fleet(routers, targets, fleet_config({"w": 1.0, "x": 1.0}, limits)))
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.close()


@pytest.mark.parametrize("routers", [1, 4])
def test_a_slot_is_granted_and_freed(make_fleet, routers):
    fleet = make_fleet(routers, 4)
    for name, dispatch in fleet.dispatches.items():
        grant = dispatch.acquire(request(fleet, f"q-{name}"))
        assert grant.target_id in fleet.tables[name].targets
        assert fleet.in_flight() == 1
        dispatch.report(grant, Usage(5.0, ended=True))
        fleet.settle()
        assert fleet.in_flight() == 0
        assert not dispatch.entry_side.grants_in_use


def test_a_request_without_targets_is_refused_at_once(make_fleet):
    fleet = make_fleet(1, 0)
    with pytest.raises(RequestRefused) as refusal:
        fleet.dispatches["r0"].acquire(request(fleet, "q"))
    assert refusal.value.code is ResultCode.NO_TARGET


def test_a_request_waiting_past_its_deadline_is_refused_as_not_run(make_fleet):
    fleet = make_fleet(2, 1, Limits(cold=1, max=1))
    fleet.dispatches["r0"].acquire(request(fleet, "first"))
    waiting = gevent.spawn(fleet.dispatches["r1"].acquire, request(fleet, "second", wait_ms=500))
    fleet.settle()
    fleet.step(600)
    with pytest.raises(RequestRefused) as refusal:
        waiting.get(timeout=1)
    assert refusal.value.code is ResultCode.DEADLINE_BEFORE_START
    # Without a retry time the caller does not know that it may retry.
    assert refusal.value.retry_after_ms
    assert fleet.in_flight() == 1


def test_a_full_queue_refuses_with_a_retry_time(make_fleet):
    fleet = make_fleet(1, 1, Limits(cold=1, max=1))
    dispatch = fleet.dispatches["r0"]
    jobs = [gevent.spawn(dispatch.acquire, request(fleet, f"q{i}")) for i in range(202)]
    fleet.settle()
    refused = [job for job in jobs if job.ready() and not job.successful()]
    assert [job.exception.code for job in refused] == [ResultCode.QUEUE_FULL]
    assert refused[0].exception.retry_after_ms > 0
    gevent.killall(jobs)


def test_waiting_tickets_move_when_their_owner_leaves_and_drains(make_fleet):
    fleet = make_fleet(4, 2, Limits(cold=1, max=1))
    jobs = [gevent.spawn(fleet.dispatches["r0"].acquire, request(fleet, f"h{i}")) for i in (0, 1)]
    fleet.settle()
    fleet.pull()
    held = [job.get(timeout=1) for job in jobs]
    waiting = gevent.spawn(fleet.dispatches["r1"].acquire, request(fleet, "q"))
    fleet.settle()
    owner = fleet.dispatches["r1"].entry_side.waiting["q"].owner
    for members in fleet.members.values():
        members.set_state(owner, MemberState.LEAVING)
    fleet.dispatches[owner].drain()
    fleet.step(100)
    assert fleet.dispatches["r1"].entry_side.waiting["q"].owner not in ("", owner)
    for grant in held:
        fleet.dispatches["r0"].report(grant, Usage(1.0, ended=True))
    fleet.step(100)
    assert waiting.get(timeout=1).owner != owner


@pytest.mark.parametrize("transit_ms", [0, 5])
def test_a_local_grant_does_not_expire_while_it_is_delivered(make_fleet, transit_ms):
    fleet = make_fleet(1, 1)
    dispatch = fleet.dispatches["r0"]
    now = fleet.clock.now
    # Every reading is 1 ms later than the one before.
    ticks = count()
    fleet.clock.now = lambda: now() + next(ticks)
    if transit_ms:
        # The offset of a ticket that was pulled back here is low by its transit time.
        queued = replace(ticket_for_request(request(fleet, "q"), "r0"), entry_offset=-transit_ms)
        dispatch.entry_side.waiting["q"] = waiting = WaitingRequest(request(fleet, "q"))
        next(iter(dispatch.owner_side.schedulers.values())).offer(queued)
        assert waiting.grant is not None
    else:
        assert gevent.spawn(dispatch.acquire, request(fleet, "q")).get(timeout=1)


def test_a_ticket_is_offered_again_only_after_the_pause(make_fleet):
    fleet = make_fleet(2, 1, Limits(cold=1, max=1))
    offers: list[str] = []
    fleet.network.fate = lambda s, r, kind: (offers.append(kind), "lose")[1]
    waiting = gevent.spawn(fleet.dispatches["r0"].acquire, request(fleet, "q"))
    other = gevent.spawn(fleet.dispatches["r1"].acquire, request(fleet, "r"))
    fleet.settle()
    before = len(offers)
    assert before
    gevent.sleep(2 * OFFER_ROUND_PAUSE_MS / 1000)
    assert len(offers) == before
    fleet.step(2 * OFFER_ROUND_PAUSE_MS)
    assert len(offers) > before
    gevent.killall([waiting, other])


def test_random_draws_elsewhere_do_not_change_placement(make_fleet):
    def place_requests() -> list[str]:
        fleet = make_fleet(3, 8, Limits(cold=1, max=1))
        jobs = [
            gevent.spawn(dispatch.acquire, request(fleet, f"q-{name}-{number}"))
            for number in range(2)
            for name, dispatch in fleet.dispatches.items()
        ]
        fleet.step(100)
        return [job.get(timeout=1).target_id for job in jobs]

    first = place_requests()
    for _ in range(5):
        random.random()
        assert place_requests() == first
