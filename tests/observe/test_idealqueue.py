"""The bound of an ideal queue, on cases computed by hand and against a real queue."""

from random import Random

import pytest
from structlog.testing import capture_logs

from jacinthcove.clock import ManualClock
from jacinthcove.observe.arrivals import MAX_REQUESTS, PERIOD_MS, ArrivalLog, EngineStats
from jacinthcove.observe.idealqueue import (
    Arrival,
    Capacity,
    arrivals_from_lines,
    capacities_from_lines,
    max_within_goal,
)

STEADY = [Capacity(0, 10.0)]


def at_once(*tokens, goal_ms=100):
    return [Arrival(0, item, goal_ms) for item in tokens]


@pytest.mark.parametrize(
    ("arrivals", "most"),
    [
        ([], 0),
        # 100 ms at 10 tokens per ms are 1,000 tokens.
        (at_once(1_000), 1),
        (at_once(1_001), 0),
        (at_once(500, 500), 2),
        (at_once(900, 500, 400), 2),
        (at_once(900, 200, 200, 200, 200, 200), 5),
        # The second arrives when the prefill of the first is done.
        ([Arrival(0, 1_000, 100), Arrival(100, 1_000, 100)], 2),
        # The second arrives halfway; only a goal of 150 ms leaves enough time for it.
        ([Arrival(0, 1_000, 100), Arrival(50, 1_000, 100)], 1),
        ([Arrival(0, 1_000, 100), Arrival(50, 1_000, 150)], 2),
    ],
)
def test_constant_capacity_answers_what_fits_within_goals(arrivals, most):
    assert max_within_goal(arrivals, STEADY) == most


def test_capacity_changes_count_from_their_time_on():
    arrivals = [Arrival(n * 100, 1_000, 100) for n in range(4)]
    assert max_within_goal(arrivals, STEADY) == 4
    assert max_within_goal(arrivals, [Capacity(0, 10.0), Capacity(200, 0.0)]) == 2
    assert max_within_goal(arrivals, [Capacity(0, 10.0), Capacity(200, 5.0)]) == 2
    assert max_within_goal(arrivals, [Capacity(0, 0.0), Capacity(200, 10.0)]) == 2
    assert max_within_goal(arrivals, []) == 0


def served_in_order(arrivals, tokens_per_ms):
    """Return how many requests a FIFO queue answers that refuses those that would be late."""
    free_at, served = 0.0, 0
    for arrival in arrivals:
        done = max(free_at, arrival.at_ms) + arrival.tokens / tokens_per_ms
        if done <= arrival.at_ms + arrival.goal_ms:
            free_at, served = done, served + 1
    return served


@pytest.mark.parametrize("seed", range(20))
def test_fifo_queue_never_exceeds_the_bound(seed):
    rng = Random(seed)
    times = sorted(rng.uniform(0, 2_000) for _ in range(120))
    arrivals = [Arrival(at, rng.randint(10, 600), rng.choice((50, 100))) for at in times]
    most = max_within_goal(arrivals, STEADY)
    assert served_in_order(arrivals, 10.0) <= most <= len(arrivals)
    assert max_within_goal(arrivals, [Capacity(0, 20.0)]) >= most


def test_logged_arrivals_are_parsed_back():
    clock = ManualClock()
    arrivals = ArrivalLog(clock, lambda: EngineStats(3, 50.0))
    with capture_logs() as lines:
        arrivals.record_arrival(700, 600)
        clock.advance(PERIOD_MS)
        arrivals.record_arrival(40, 500)
        clock.advance(30)
        arrivals.close()
        arrivals.close()
    assert [line["requests"] for line in lines] == [[(PERIOD_MS, 700, 600)], [(30, 40, 500)]]
    parsed = [(1.0, lines[0]), (1.03, lines[1])]
    assert arrivals_from_lines(parsed) == [Arrival(0.0, 700, 600), Arrival(1_000.0, 40, 500)]
    assert capacities_from_lines(parsed) == [Capacity(1_000, 150.0)]


def test_line_lists_a_limited_number_of_requests():
    arrivals = ArrivalLog(ManualClock(), EngineStats)
    with capture_logs() as lines:
        for _ in range(MAX_REQUESTS + 5):
            arrivals.record_arrival(1, 100)
        arrivals.close()
    assert (len(lines[0]["requests"]), lines[0]["uncounted"]) == (MAX_REQUESTS, 5)
