"""How much of its callers' requests a router serves, passes on and refuses."""

import random

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.intake import MAX_WORK_FRACTION, Intake
from jacinthcove.gateway.loopdelay import LATE_DELAY_MS, REJECT_ALL_DELAY_MS, LoopDelay

PASSING_COST = 0.2


class Router:
    """A router whose work follows from its callers; `load` is their work, 1 all that it can do."""

    def __init__(self):
        self.load = 0.0
        self.delay = LoopDelay(ManualClock())
        self.intake = Intake(self.delay, self.work, random.Random(1))

    def work(self):
        passed = self.intake.passed_fraction
        return min(1.0, self.load * (1 - passed + PASSING_COST * passed))

    def run(self, load, periods=30):
        self.load = load
        for _ in range(periods):
            self.intake.sample()


@pytest.fixture
def router():
    return Router()


def test_a_router_with_time_to_spare_serves_all_of_its_callers(router):
    router.run(0.9 * MAX_WORK_FRACTION)
    assert router.intake.passed_fraction == 0
    assert not router.intake.passes_on()


@pytest.mark.parametrize("load", [1.2, 2.0, 3.5])
def test_a_router_with_several_times_its_work_keeps_to_its_bound(router, load):
    router.run(load)
    assert router.work() == pytest.approx(MAX_WORK_FRACTION, abs=0.05)
    assert router.intake.refusal() is None


def test_a_router_serves_its_callers_itself_again_after_a_burst(router):
    router.run(3.0)
    router.run(0.5 * MAX_WORK_FRACTION)
    assert router.intake.passed_fraction == 0


def test_a_late_router_passes_on_whatever_its_work(router):
    router.delay.recent = [LATE_DELAY_MS + 1]
    router.run(0.1)
    assert router.intake.passes_on()


def test_a_very_late_router_passes_nothing_on_and_refuses(router):
    router.delay.recent = [REJECT_ALL_DELAY_MS + 1]
    router.run(1.0)
    assert not router.intake.passes_on()
    assert "late" in router.intake.refusal().message
    with pytest.raises(RequestRefused):
        router.intake.check_may_send()
