"""Tests of the simulated model engine."""

import pytest

from jacinthcove.gateway.model import EngineCapacity, PromptPart, PromptShape
from jacinthcove.lab.engine import PREFILL_CHUNK_TOKENS, EngineSpeed, LabEngine

SPEED = EngineSpeed(batch_ms=4.0, batch_ms_per_slot=0.0, prefill_tokens_per_ms=100.0)


@pytest.fixture
def ever_prefilled():
    return set()


def engine(ever_prefilled, id="e1", memory=10_000):
    return LabEngine(id, "a", EngineCapacity(4, memory), SPEED, ever_prefilled)


def prompt(key="doc", shared=1_000, own=500, output=2):
    return PromptShape(shared + own, output, (PromptPart(key, shared), PromptPart("own", own)))


def run_until_idle(model_engine):
    """Run batches until the engine is idle; return the time of each first token by request id."""
    now, first_token_times = 0.0, {}
    while model_engine.has_work:
        duration, started, _ = model_engine.run_batch(now)
        now += duration
        first_token_times |= {request.id: now for request in started}
    return first_token_times


def test_a_prompt_is_prefilled_before_its_first_token(ever_prefilled):
    model_engine = engine(ever_prefilled)
    model_engine.enqueue("q1", prompt(), None)
    assert run_until_idle(model_engine) == {"q1": pytest.approx(4.0 + 15.0)}
    assert model_engine.token_counts.prefilled == 1_500


def test_prompts_are_prefilled_in_order_and_in_chunks(ever_prefilled):
    model_engine = engine(ever_prefilled)
    model_engine.enqueue("q1", prompt("a", 2 * PREFILL_CHUNK_TOKENS, 1), None)
    model_engine.enqueue("q2", prompt("b", 100, 100), None)
    first_token_times = run_until_idle(model_engine)
    assert (
        first_token_times["q1"] < first_token_times["q2"]
        or first_token_times["q1"] == first_token_times["q2"]
    )
    assert first_token_times["q1"] == pytest.approx(
        3 * 4.0 + (2 * PREFILL_CHUNK_TOKENS + 1 + 200) / 100, abs=2.5
    )


def test_only_an_evicted_part_is_prefilled_again(ever_prefilled):
    model_engine = engine(ever_prefilled, memory=3_000)
    for _ in range(2):
        model_engine.enqueue("q1", prompt(), None)
        run_until_idle(model_engine)
    assert (model_engine.token_counts.prefilled, model_engine.token_counts.prefilled_again) == (
        2_000,
        0,
    )
    model_engine.enqueue("q2", prompt("other", 2_000), None)
    run_until_idle(model_engine)
    model_engine.enqueue("q3", prompt(), None)
    run_until_idle(model_engine)
    assert model_engine.token_counts.prefilled_again == 1_000


def test_a_part_is_copied_from_an_engine_that_has_it_cached(ever_prefilled):
    first, second = engine(ever_prefilled), engine(ever_prefilled, "e2")
    first.enqueue("q1", prompt(), None)
    run_until_idle(first)
    second.enqueue("q2", prompt(), first)
    run_until_idle(second)
    assert (
        second.token_counts.copied,
        second.token_counts.prefilled,
        second.token_counts.prefilled_again,
    ) == (1_000, 500, 0)


def test_slots_limit_the_requests_that_run_at_once(ever_prefilled):
    model_engine = engine(ever_prefilled)
    for number in range(6):
        model_engine.enqueue(f"q{number}", prompt(own=10, output=50), None)
    model_engine.run_batch(0.0)
    assert (len(model_engine.running), len(model_engine.waiting)) == (4, 2)
