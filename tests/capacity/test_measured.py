"""The measured rate of the engines, under loads that rise, end, or lose engines."""

import pytest

from jacinthcove.capacity.engineload import EngineLoad
from jacinthcove.capacity.measured import MeasuredCapacity

TICKS_PER_S = 4


def learn(capacity, ticks, begun_per_s, ready=10, backlogged=1.0):
    for _ in range(ticks):
        capacity.update(begun_per_s, EngineLoad(ready, backlogged))


@pytest.fixture
def capacity():
    result = MeasuredCapacity()
    learn(result, 5 * TICKS_PER_S, 1_000_000)
    return result


def test_a_rise_is_followed_within_two_seconds():
    """Load rises to what the engines can do: a level from an older rate would refuse requests."""
    capacity = MeasuredCapacity()
    learn(capacity, 2 * TICKS_PER_S, 1_000_000)
    assert capacity.tokens_per_s > 900_000


def test_the_end_of_a_crowd_does_not_lower_the_capacity(capacity):
    """A crowd goes and the engines are idle: they can still begin as much as before."""
    learn(capacity, 20 * TICKS_PER_S, 10_000, backlogged=0.0)
    assert capacity.tokens_per_s == pytest.approx(1_000_000, rel=0.01)


def test_a_slow_period_with_a_backlog_lowers_the_capacity(capacity):
    """Work takes 2.5 times as long for some seconds: the level must follow what engines do."""
    learn(capacity, 3 * TICKS_PER_S, 400_000)
    assert capacity.tokens_per_s < 600_000


def test_engines_lost_and_returned_scale_the_capacity_at_once(capacity):
    """Most engines crash for 3 s: neither the loss nor the return waits for a window to pass."""
    learn(capacity, 1, 1_000_000, ready=4)
    assert capacity.tokens_per_s == pytest.approx(400_000, rel=0.1)
    learn(capacity, 3 * TICKS_PER_S, 400_000, ready=4)
    learn(capacity, 1, 400_000, ready=10, backlogged=0.2)
    assert capacity.tokens_per_s == pytest.approx(1_000_000, rel=0.1)


def test_without_engines_the_rate_of_one_is_kept(capacity):
    """All engines crash at once: the rate is known again as soon as the first ones return."""
    learn(capacity, 4, 0, ready=0, backlogged=0.0)
    assert capacity.tokens_per_s == 0
    learn(capacity, 1, 0, ready=5, backlogged=0.0)
    assert capacity.tokens_per_s == pytest.approx(500_000, rel=0.1)
