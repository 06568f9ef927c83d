"""Guards against moves without a warning whose steps cannot end by the deadline."""

from jacinthcove.clock import ManualClock
from jacinthcove.config.model import MoveStep
from jacinthcove.moves.rates import RequestRates, deadline_warnings

STEPS = (MoveStep(0.05, 10), MoveStep(0.3, 30), MoveStep(1.0, 30))


def test_rate_covers_the_last_complete_window():
    clock = ManualClock()
    rates = RequestRates(clock)
    assert rates.per_second() == {}
    for _ in range(50):
        rates.count("s")
    clock.advance(10_000)
    assert rates.per_second() == {"s": 5.0}
    clock.advance(10_000)
    assert rates.per_second() == {}


def test_warns_only_when_the_steps_cannot_end_in_time():
    assert deadline_warnings(STEPS, 100.0, 40_000) == []
    assert "at least" in deadline_warnings(STEPS, 10.0, 40_000)[0]
    assert "no requests" in deadline_warnings(STEPS, 0.0, 40_000)[0]
    assert deadline_warnings(STEPS, None, 40_000) == []
