"""The model engine of the laboratory."""

import pytest

from jacinthcove.gateway.model import EngineCapacity, PromptPart, PromptShape
from jacinthcove.lab.engine import CHUNK_TOKENS, EngineSpeed, LabEngine

SPEED = EngineSpeed(step_ms=4.0, step_ms_per_slot=0.0, read_tokens_per_ms=100.0)


@pytest.fixture
def ever_read():
    return set()


def engine(ever_read, id="e1", memory=10_000):
    return LabEngine(id, "a", EngineCapacity(4, memory), SPEED, ever_read)


def prompt(key="doc", shared=1_000, own=500, output=2):
    return PromptShape(shared + own, output, (PromptPart(key, shared), PromptPart("own", own)))


def run_all(item):
    """Step until the engine is idle; return the time of each first token by id."""
    now, firsts = 0.0, {}
    while item.busy:
        duration, begun, _ = item.step(now)
        now += duration
        firsts |= {run.id: now for run in begun}
    return firsts


def test_a_prompt_is_read_before_its_first_token(ever_read):
    item = engine(ever_read)
    item.take("q1", prompt(), None)
    assert run_all(item) == {"q1": pytest.approx(4.0 + 15.0)}
    assert item.counts.read == 1_500


def test_prompts_are_read_in_order_and_in_chunks(ever_read):
    item = engine(ever_read)
    item.take("q1", prompt("a", 2 * CHUNK_TOKENS, 1), None)
    item.take("q2", prompt("b", 100, 100), None)
    firsts = run_all(item)
    assert firsts["q1"] < firsts["q2"] or firsts["q1"] == firsts["q2"]
    assert firsts["q1"] == pytest.approx(3 * 4.0 + (2 * CHUNK_TOKENS + 1 + 200) / 100, abs=2.5)


def test_a_kept_part_is_not_read_again_and_an_evicted_one_is(ever_read):
    item = engine(ever_read, memory=3_000)
    for _ in range(2):
        item.take("q1", prompt(), None)
        run_all(item)
    assert (item.counts.read, item.counts.read_again) == (2_000, 0)
    item.take("q2", prompt("other", 2_000), None)
    run_all(item)
    item.take("q3", prompt(), None)
    run_all(item)
    assert item.counts.read_again == 1_000


def test_a_part_is_copied_from_an_engine_that_keeps_it(ever_read):
    first, second = engine(ever_read), engine(ever_read, "e2")
    first.take("q1", prompt(), None)
    run_all(first)
    second.take("q2", prompt(), first)
    run_all(second)
    assert (second.counts.copied, second.counts.read, second.counts.read_again) == (1_000, 500, 0)


def test_slots_bound_what_runs_at_once(ever_read):
    item = engine(ever_read)
    for number in range(6):
        item.take(f"q{number}", prompt(own=10, output=50), None)
    item.step(0.0)
    assert (len(item.running), len(item.waiting)) == (4, 2)
