"""How late the event loop is."""

import time

import gevent
import pytest

from jacinthcove.clock import ManualClock, SystemClock
from jacinthcove.gateway.loopdelay import (
    KEPT_PERIODS,
    LATE_DELAY_MS,
    PERIOD_MS,
    REFUSING_DELAY_MS,
    LoopDelay,
)


@pytest.fixture
def clock():
    return ManualClock()


def fire(delay, clock, late_ms=0):
    clock.advance(PERIOD_MS + late_ms)
    delay.sample()


def test_a_timely_loop_refuses_nothing(clock):
    delay = LoopDelay(clock)
    delay.sample()
    for _ in range(5):
        fire(delay, clock)
    assert delay.delay_ms() == 0
    assert not delay.refuses()


def test_a_late_loop_refuses_until_it_has_been_timely_again(clock):
    seen = []
    delay = LoopDelay(clock, seen.append)
    delay.sample()
    fire(delay, clock, REFUSING_DELAY_MS + 1)
    assert delay.refuses()
    assert seen == [REFUSING_DELAY_MS + 1]
    for _ in range(KEPT_PERIODS):
        fire(delay, clock)
    assert not delay.refuses()


def test_a_late_loop_refuses_a_part_that_rises_with_the_delay(clock):
    delay = LoopDelay(clock)
    delay.sample()
    parts = []
    for late_ms in (0, LATE_DELAY_MS, (LATE_DELAY_MS + REFUSING_DELAY_MS) // 2, REFUSING_DELAY_MS):
        for _ in range(KEPT_PERIODS):
            fire(delay, clock, late_ms)
        parts.append(delay.refused_part())
    assert parts == [0.0, 0.0, pytest.approx(0.5, abs=0.01), 1.0]


def test_a_timer_that_is_still_due_counts(clock):
    delay = LoopDelay(clock)
    delay.sample()
    clock.advance(PERIOD_MS + REFUSING_DELAY_MS + 1)
    assert delay.refuses()


def test_the_real_loop_is_measured():
    delay = LoopDelay(SystemClock())
    delay.start()
    gevent.sleep(PERIOD_MS / 2_000)
    time.sleep((PERIOD_MS + REFUSING_DELAY_MS + 100) / 1_000)
    gevent.sleep(0)
    assert delay.refuses()
    delay.close()


def test_a_router_is_late_for_new_callers_long_before_it_refuses(clock):
    delay = LoopDelay(clock)
    delay.sample()
    fire(delay, clock, LATE_DELAY_MS + 1)
    assert delay.is_late()
    assert not delay.refuses()
    for _ in range(KEPT_PERIODS):
        fire(delay, clock)
    assert not delay.is_late()


def test_greenlets_that_are_due_and_wait_for_their_turn_count():
    seen = []
    delay = LoopDelay(SystemClock(), seen.append)
    delay.start()
    gevent.sleep(PERIOD_MS / 1_000)

    def work():
        time.sleep(0.01)

    gevent.joinall([gevent.spawn(work) for _ in range(100)])
    gevent.sleep(2 * PERIOD_MS / 1_000)
    delay.close()
    assert max(seen) > REFUSING_DELAY_MS
