"""The model of what is under way at a target."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.load import (
    INITIAL_TOKENS_PER_MS,
    MIN_TOKENS_PER_MS,
    REPORT_LIFETIME_MS,
    PeerLoad,
    TargetLoad,
)

READ_100_MS = int(100 * INITIAL_TOKENS_PER_MS)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def load(clock):
    return TargetLoad(clock)


def test_unread_prompts_make_later_requests_wait(load):
    load.begin("q1", READ_100_MS, 10)
    load.begin("q2", READ_100_MS, 10)
    assert load.wait_ms() == pytest.approx(200)
    load.first_event("q1")
    assert load.wait_ms() == pytest.approx(100, rel=0.1)
    load.end("q2")
    assert load.wait_ms() == 0


def test_peer_reports_count_until_they_are_read_or_old(load, clock):
    load.on_report("r2", PeerLoad(3, 700, READ_100_MS, clock.now()))
    assert (load.running, load.memory_tokens) == (3, 700)
    assert load.wait_ms() == pytest.approx(100)
    clock.advance(60)
    assert load.wait_ms() == pytest.approx(40)
    clock.advance(REPORT_LIFETIME_MS)
    assert (load.running, load.memory_tokens, load.wait_ms()) == (0, 0, 0)


def test_a_router_that_sends_nothing_does_not_believe_in_an_endless_wait(load, clock):
    # A freeze made one router see waits of 35 s at all engines, and it never learned better.
    for _ in range(100):
        load.on_report("r2", PeerLoad(9, 900, READ_100_MS, clock.now()))
        clock.advance(100)
    assert load.wait_ms() <= 100


def test_the_speed_follows_what_is_observed(load, clock):
    for number in range(200):
        load.begin(f"q{number}", READ_100_MS, 0)
        clock.advance(200)
        load.first_event(f"q{number}")
        load.end(f"q{number}")
    assert load.tokens_per_ms == pytest.approx(INITIAL_TOKENS_PER_MS / 2, rel=0.1)


def test_the_pace_follows_whole_streams(load):
    load.stream_end(100, 1_000)
    assert load.run_ms(300) == 3_000
    for _ in range(40):
        load.stream_end(100, 4_000)
    assert load.run_ms(100) == pytest.approx(4_000, rel=0.01)


def test_an_event_after_a_freeze_says_nothing_about_the_speed(load, clock):
    load.begin("q1", READ_100_MS, 0)
    clock.advance(10_000)
    load.first_event("q1")
    assert load.tokens_per_ms == INITIAL_TOKENS_PER_MS > MIN_TOKENS_PER_MS
