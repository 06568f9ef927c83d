"""The measured part of the time in which the event loop works."""

import time

import gevent
import pytest

from jacinthcove.gateway.loopwork import LoopWork

WORK_S = 0.004


def work():
    ends_at = time.process_time() + WORK_S
    while time.process_time() < ends_at:
        pass


@pytest.fixture
def loop_work():
    measured = LoopWork()
    measured.start()
    yield measured
    measured.close()


def test_work_of_greenlets_counts_and_waiting_does_not(loop_work):
    gevent.sleep(0.1)
    assert loop_work.take_fraction() < 0.2
    spent_s = time.process_time()
    started_at = time.monotonic()
    for _ in range(25):
        gevent.spawn(work)
        gevent.sleep(2 * WORK_S)
    spent = (time.process_time() - spent_s) / (time.monotonic() - started_at)
    assert loop_work.take_fraction() > 0.8 * spent


def test_each_measurement_begins_anew(loop_work):
    work()
    loop_work.take_fraction()
    gevent.sleep(0.1)
    assert loop_work.take_fraction() < 0.2
