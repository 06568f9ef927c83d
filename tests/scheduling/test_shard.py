"""Guards against wrong queue order, reserved slots, cache affinity and trust in hints."""

import pytest

from jacinthcove.config.model import Limits
from jacinthcove.scheduling.estimate import (
    HINTS_TO_REGAIN_TRUST,
    CostEstimator,
    engine_units,
    plain_units,
)
from jacinthcove.scheduling.fairqueue import FairQueue, QueuedTicket, QueueFull
from jacinthcove.scheduling.shard import RESERVE_HOLD_MS
from scheduling.fakes import Fleet, fleet_config


def ticket(name, workspace="w", deadline=10**9, **more):
    return QueuedTicket(name, "gone", workspace, "draft", "v1", "write", 10.0, deadline, **more)


def test_the_queue_is_limited_ordered_and_expires_tickets():
    levels = {"w": 2.0, "x": 1.0}
    queue = FairQueue(levels.__getitem__)
    queue.add(ticket("w1", deadline=5), 2)
    queue.add(ticket("w2"), 2)
    queue.add(ticket("w2"), 2)
    with pytest.raises(QueueFull):
        queue.add(ticket("w3"), 2)
    queue.add(ticket("x1", "x"), 2)
    assert queue.first_fitting(lambda _: True).id == "x1"
    assert queue.first_fitting(lambda t: t.workspace == "w").id == "w1"
    assert [t.id for t in queue.take_tickets(5, max_level=1.5)] == ["x1"]
    assert [t.id for t in queue.remove_expired(5)] == ["w1"]
    assert queue.remove("w2").id == "w2"
    assert queue.remove("w2") is None
    assert not queue.workspaces()


@pytest.fixture
def scheduler():
    fleet = Fleet(1, 1, fleet_config({"w": 1.0}, Limits(cold=8, max=8)))
    (found,) = fleet.dispatches["r0"].owner_side.schedulers.values()
    # Grants are not delivered to the entry router "gone", so their slots stay in use.
    found.deliver_grant = lambda scheduler, slot: None
    found.fleet = fleet
    yield found
    fleet.close()


def test_one_slot_in_eight_is_reserved_for_short_tickets(scheduler):
    scheduler.offer(ticket("s1", short=True))
    for i in range(10):
        scheduler.offer(ticket(f"q{i}"))
    assert len(scheduler.slots) == 8
    scheduler.free(next(iter(scheduler.slots)))
    scheduler.grant_free_slots()
    assert len(scheduler.slots) == 7
    scheduler.offer(ticket("s2", short=True))
    assert len(scheduler.slots) == 8


def test_the_reserve_ends_without_new_short_tickets(scheduler):
    scheduler.offer(ticket("s1", short=True))
    for i in range(10):
        scheduler.offer(ticket(f"q{i}"))
    scheduler.free(next(iter(scheduler.slots)))
    scheduler.fleet.clock.advance(RESERVE_HOLD_MS)
    scheduler.grant_free_slots()
    assert len(scheduler.slots) == 8


def test_a_ticket_goes_to_a_target_that_has_its_prefix_cached():
    fleet = Fleet(1, 2, fleet_config({"w": 1.0}, Limits(cold=4, max=4)), domains="a")
    (scheduler,) = fleet.dispatches["r0"].owner_side.schedulers.values()
    scheduler.deliver_grant = lambda scheduler, slot: None
    for i in range(3):
        scheduler.offer(ticket(f"q{i}", prefix_key="p"))
    assert len({slot.state for slot in scheduler.slots.values()}) == 1
    scheduler.offer(ticket("avoids", prefix_key="p", avoid=frozenset({"t0"})))
    assert {s.state.target.id for s in scheduler.slots.values() if s.ticket.avoid} == {"t1"}
    fleet.close()


def test_a_wrong_hint_ends_short_requests_until_hints_are_correct_again():
    estimator = CostEstimator()
    wrong = estimator.estimate("w", "write", 10.0)
    assert wrong.short
    estimator.observe("w", "write", wrong, 500.0)
    for _ in range(HINTS_TO_REGAIN_TRUST):
        assert not estimator.estimate("w", "write", 10.0).short
        estimator.observe("w", "write", estimator.estimate("w", "write", 10.0), 10.0)
    assert estimator.estimate("w", "write", 10.0).short
    assert estimator.estimate("x", "write", 10.0).short
    assert engine_units(100, 20) == 30
    assert plain_units(310) == 10
