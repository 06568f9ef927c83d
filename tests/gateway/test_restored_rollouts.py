"""Roll-outs whose last states an older copy of the store lacks."""

from dataclasses import replace

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.rollouts import KEPT_MS, Rollout, RolloutState
from jacinthcove.store.kinds import Gap
from tests.gateway.test_rollouts import ROLLOUT, Fleet, healthy, make_rollout, versions


@pytest.fixture
def clock():
    return ManualClock()


ROLLED_BACK = make_rollout(RolloutState.ROLLED_BACK, 0.0)


@pytest.mark.parametrize("written_again", [False, True])
def test_a_rollout_that_was_rolled_back_does_not_begin_again_with_an_older_copy(
    clock, written_again
):
    """The copy holds its earlier state, or lacks it until the operator has written it again."""
    fleet = Fleet(clock, 1, healthy, ROLLED_BACK)
    rollouts = fleet.routers[0]
    earlier = make_rollout(RolloutState.RUNNING, 0.25)
    rollouts.replace_all([] if written_again else [earlier], Gap.OLDER_COPY)
    assert versions(rollouts) == [{"v1"}]
    if written_again:
        rollouts.put(replace(ROLLOUT, revision=3, created_revision=3))
    assert versions(rollouts) == [{"v1"}]
    assert rollouts.unsaved() and not rollouts.active()


def test_the_state_of_a_rollout_is_written_again_after_an_older_copy(clock):
    fleet = Fleet(clock, 2, healthy, ROLLED_BACK)
    fleet.rollout = make_rollout(RolloutState.RUNNING, 0.25)
    for rollouts in fleet.routers:
        rollouts.replace_all([fleet.rollout], Gap.OLDER_COPY)
    fleet.drivers[0].tick()
    assert (fleet.rollout.state, fleet.rollout.share) == (RolloutState.ROLLED_BACK, 0.0)


def test_a_rollout_that_nobody_writes_again_after_an_older_copy_ends(clock):
    rollouts = Fleet(clock, 1, healthy, make_rollout(share=0.25)).routers[0]
    rollouts.replace_all([], Gap.OLDER_COPY)
    rollouts.expire()
    assert rollouts.by_name
    clock.advance(KEPT_MS)
    rollouts.expire()
    assert not rollouts.by_name


def test_another_order_after_an_older_copy_begins_from_the_start(clock):
    rollouts = Fleet(clock, 1, healthy, ROLLED_BACK).routers[0]
    rollouts.replace_all([], Gap.OLDER_COPY)
    rollouts.put(Rollout("models", "models", "v3", 15_000, revision=9, created_revision=9))
    assert not rollouts.unsaved()
    assert rollouts.by_name["models"].state is RolloutState.REQUESTED
