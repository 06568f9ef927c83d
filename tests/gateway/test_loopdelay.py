"""Measurement of the event loop delay, and rejection of requests by it."""

import time

import gevent
import pytest

from jacinthcove.clock import ManualClock, SystemClock
from jacinthcove.gateway.loopdelay import (
    LATE_DELAY_MS,
    PERIOD_MS,
    REJECT_ALL_DELAY_MS,
    WINDOW_PERIODS,
    LoopDelay,
)


@pytest.fixture
def clock():
    return ManualClock()


def fire(delay, clock, late_ms=0):
    clock.advance(PERIOD_MS + late_ms)
    delay.sample()


def test_no_request_is_rejected_without_delay(clock):
    delay = LoopDelay(clock)
    delay.sample()
    for _ in range(5):
        fire(delay, clock)
    assert delay.delay_ms() == 0
    assert not delay.rejects_all()


def test_all_requests_are_rejected_until_the_delay_leaves_the_window(clock):
    samples = []
    delay = LoopDelay(clock, samples.append)
    delay.sample()
    fire(delay, clock, REJECT_ALL_DELAY_MS + 1)
    assert delay.rejects_all()
    assert samples == [REJECT_ALL_DELAY_MS + 1]
    for _ in range(WINDOW_PERIODS):
        fire(delay, clock)
    assert not delay.rejects_all()


def test_the_rejected_fraction_rises_with_the_delay(clock):
    delay = LoopDelay(clock)
    delay.sample()
    fractions = []
    for late_ms in (
        0,
        LATE_DELAY_MS,
        (LATE_DELAY_MS + REJECT_ALL_DELAY_MS) // 2,
        REJECT_ALL_DELAY_MS,
    ):
        for _ in range(WINDOW_PERIODS):
            fire(delay, clock, late_ms)
        fractions.append(delay.rejected_fraction())
    assert fractions == [0.0, 0.0, pytest.approx(0.5, abs=0.01), 1.0]


def test_an_overdue_timer_counts_before_it_fires(clock):
    delay = LoopDelay(clock)
    delay.sample()
    clock.advance(PERIOD_MS + REJECT_ALL_DELAY_MS + 1)
    assert delay.rejects_all()


def test_a_blocked_event_loop_is_measured():
    delay = LoopDelay(SystemClock())
    delay.start()
    gevent.sleep(PERIOD_MS / 2_000)
    time.sleep((PERIOD_MS + REJECT_ALL_DELAY_MS + 100) / 1_000)
    gevent.sleep(0)
    assert delay.rejects_all()
    delay.close()


def test_a_router_counts_as_late_long_before_it_rejects_all_requests(clock):
    delay = LoopDelay(clock)
    delay.sample()
    fire(delay, clock, LATE_DELAY_MS + 1)
    assert delay.is_late()
    assert not delay.rejects_all()
    for _ in range(WINDOW_PERIODS):
        fire(delay, clock)
    assert not delay.is_late()


def test_the_queue_of_ready_greenlets_counts_as_delay():
    samples = []
    delay = LoopDelay(SystemClock(), samples.append)
    delay.start()
    gevent.sleep(PERIOD_MS / 1_000)

    def work():
        time.sleep(0.01)

    gevent.joinall([gevent.spawn(work) for _ in range(100)])
    gevent.sleep(2 * PERIOD_MS / 1_000)
    delay.close()
    assert max(samples) > REJECT_ALL_DELAY_MS
