"""The model of the in-flight requests at a target."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.load import (
    INITIAL_TOKENS_PER_MS,
    MIN_TOKENS_PER_MS,
    REPORT_LIFETIME_MS,
    PeerLoad,
    TargetLoad,
)

TOKENS_PER_100_MS = int(100 * INITIAL_TOKENS_PER_MS)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def load(clock):
    return TargetLoad(clock)


def test_later_requests_wait_for_unread_prompts(load):
    load.begin("q1", TOKENS_PER_100_MS, 10)
    load.begin("q2", TOKENS_PER_100_MS, 10)
    assert load.wait_ms() == pytest.approx(200)
    load.on_first_event("q1")
    assert load.wait_ms() == pytest.approx(100, rel=0.1)
    load.end("q2")
    assert load.wait_ms() == 0


def test_peer_reports_count_until_prefilled_or_expired(load, clock):
    load.on_report("r2", PeerLoad(3, 700, TOKENS_PER_100_MS, clock.now()))
    assert (load.running, load.memory_tokens) == (3, 700)
    assert load.wait_ms() == pytest.approx(100)
    clock.advance(60)
    assert load.wait_ms() == pytest.approx(40)
    clock.advance(REPORT_LIFETIME_MS)
    assert (load.running, load.memory_tokens, load.wait_ms()) == (0, 0, 0)


def test_repeated_reports_do_not_add_up_at_a_router_that_sends_nothing(load, clock):
    # After a suspension, one router permanently computed waits of 35 s for all engines.
    for _ in range(100):
        load.on_report("r2", PeerLoad(9, 900, TOKENS_PER_100_MS, clock.now()))
        clock.advance(100)
    assert load.wait_ms() <= 100


def test_the_prefill_speed_follows_the_observed_times(load, clock):
    for number in range(200):
        load.begin(f"q{number}", TOKENS_PER_100_MS, 0)
        clock.advance(200)
        load.on_first_event(f"q{number}")
        load.end(f"q{number}")
    assert load.tokens_per_ms == pytest.approx(INITIAL_TOKENS_PER_MS / 2, rel=0.1)


def test_the_generation_time_follows_completed_streams(load):
    load.on_stream_end(100, 1_000)
    assert load.generation_ms(300) == 3_000
    for _ in range(40):
        load.on_stream_end(100, 4_000)
    assert load.generation_ms(100) == pytest.approx(4_000, rel=0.01)


def test_a_first_event_after_a_suspension_does_not_change_the_speed(load, clock):
    load.begin("q1", TOKENS_PER_100_MS, 0)
    clock.advance(10_000)
    load.on_first_event("q1")
    assert load.tokens_per_ms == INITIAL_TOKENS_PER_MS > MIN_TOKENS_PER_MS
