"""Demand counts a request once, although its caller sends it again after a refusal."""

from random import Random

import pytest

from jacinthcove.capacity.retries import MAX_REFUSED, RefusedRequests
from jacinthcove.clock import ManualClock
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.shares import MIN_MULTIPLES, Standing
from jacinthcove.lab.scenarios import SCENARIOS
from jacinthcove.lab.simulation import SERVICE, LabFleet, LabRouter, route_of
from tests.gateway.samples import prompt, request

LIFETIME_MS = 4_000


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def refused(clock):
    return RefusedRequests(clock, LIFETIME_MS)


def test_a_retry_is_recognised_once_within_the_window(refused, clock):
    """Callers retry under a new request id, after up to a third of the time that they have left."""
    refused.record(request(clock, "first"))
    assert not refused.take(request(clock, "other", workspace="large"))
    assert not refused.take(request(clock, "longer", prompt=prompt(own=501)))
    assert refused.take(request(clock, "second"))
    assert not refused.take(request(clock, "third"))
    refused.record(request(clock, "late"))
    clock.advance(LIFETIME_MS)
    assert not refused.take(request(clock, "later"))


def test_a_flood_of_refusals_takes_bounded_memory(refused, clock):
    """A flood of different prompts at a router of 160 MB."""
    for number in range(MAX_REFUSED + 10):
        refused.record(request(clock, prompt=prompt(own=number + 1)))
    assert len(refused.refused_at) == MAX_REFUSED


@pytest.fixture
def admission(clock):
    """Admission without targets, which refuses everything."""
    return LabRouter("r1", "a", clock, SCENARIOS["calm"].load, LabFleet(), Random(1)).admission


def send(admission, clock, own):
    sent = request(clock, route=route_of("question", 500, 8_000), prompt=prompt(own=own))
    pending = admission.begin(sent, SERVICE, frozenset())
    clock.advance(pending.give_up_at - clock.now())
    with pytest.raises(RequestRefused):
        admission.decide(pending)
    return sent.prompt.share_cost_tokens


def test_refused_callers_that_retry_once_do_not_double_the_demand(admission, clock):
    """A day of high load: the ledger had three times what the callers of a workspace asked for."""
    total = sum(send(admission, clock, own) for own in range(100, 120))
    for own in range(100, 120):
        send(admission, clock, own)
    admission.ledger.tick()
    assert admission.ledger.window_usage["small"].asked == total


def test_the_admitted_fraction_applies_to_tries(admission, clock):
    """Two hot workspaces: the one whose callers retry must not be admitted twice its share."""
    ledger = admission.ledger
    for own in [*range(100, 120), *range(100, 120)]:
        send(admission, clock, own)
    ledger.tick()
    asked = ledger.window_usage["small"].asked
    ledger.fair_share = asked / 10
    ledger.headroom = MIN_MULTIPLES[Standing.BEHIND]
    admitted = ledger.admitted_fraction("small") * 2 * asked
    assert admitted == pytest.approx(ledger.headroom * ledger.fair_share)


def test_prompts_that_are_all_alike_still_count_at_least_half(admission, clock):
    """A load generator sends one prompt again and again, and each looks like a retry."""
    tokens = sum(send(admission, clock, 100) for _ in range(40))
    admission.ledger.tick()
    assert admission.ledger.window_usage["small"].asked >= tokens / 2
