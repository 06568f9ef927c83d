"""When callers refused for their workspace's share return, under several rates of demand."""

from random import Random
from statistics import mean

import pytest

from jacinthcove.capacity.returntime import (
    EARLY_MAX_FRACTION,
    EARLY_MIN_FRACTION,
    MAX_SPREAD,
    return_after_ms,
)

WINDOW_MS = 4_000
GOAL_MS = 600
CALLERS = 2_000


def delays(fair_share, asked):
    rng = Random(1)
    return [return_after_ms(fair_share, asked, WINDOW_MS, GOAL_MS, rng) for _ in range(CALLERS)]


def test_the_callers_of_a_workspace_within_its_share_return_within_their_goal():
    """A crowd has ended: a constant delay would make callers late that can be served at once."""
    found = delays(1_000, 500)
    assert min(found) >= GOAL_MS * EARLY_MIN_FRACTION
    assert max(found) <= GOAL_MS * EARLY_MAX_FRACTION


@pytest.mark.parametrize(("asked", "early_fraction"), [(2_000, 0.5), (10_000, 0.1)])
def test_no_more_callers_return_early_than_the_share_serves(asked, early_fraction):
    """A flood: callers that return before their workspace has capacity are refused twice."""
    early = [delay for delay in delays(1_000, asked) if delay <= GOAL_MS * EARLY_MAX_FRACTION]
    assert len(early) / CALLERS == pytest.approx(early_fraction, abs=0.05)


def test_the_delay_grows_with_the_excess_and_ends_with_the_window():
    """Several workspaces over their share: the one that asks for most has capacity last."""
    assert mean(delays(1_000, 1_500)) < mean(delays(1_000, 3_000)) < mean(delays(1_000, 20_000))
    assert max(delays(1_000, 20_000)) <= MAX_SPREAD * WINDOW_MS


def test_callers_do_not_return_at_the_same_time():
    """All callers of a flood are refused at once: a constant delay brings them back at once."""
    late = [delay for delay in delays(1_000, 4_000) if delay > GOAL_MS]
    by_second = [sum(second <= delay / 500 < second + 1 for delay in late) for second in range(12)]
    assert max(by_second) < 0.3 * len(late)
