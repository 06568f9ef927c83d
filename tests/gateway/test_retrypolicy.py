"""The retry policy, for every kind of route and outcome of an attempt."""

import itertools

import pytest

from jacinthcove.gateway.model import RetrySafety
from jacinthcove.gateway.retrypolicy import (
    MAX_UNREACHABLE,
    AttemptOutcome,
    AttemptProgress,
    NextAction,
    next_action,
    without_retry_budget,
)
from tests.gateway.samples import route

ROUTES = [
    route(kind, attempts, resumable)
    for kind, attempts, resumable in itertools.product(RetrySafety, (1, 2), (False, True))
]
FIRST = AttemptProgress(sends=1, unreachable=0, time_left=True)
RETRIES = (NextAction.RETRY, NextAction.RESUME)
MAY_HAVE_RUN = [
    end for end in AttemptOutcome if not end.not_run and end is not AttemptOutcome.COMPLETE
]


@pytest.mark.parametrize("end", MAY_HAVE_RUN)
@pytest.mark.parametrize("item", [item for item in ROUTES if not item.idempotent])
def test_a_request_that_may_have_run_is_retried_only_if_idempotent(item, end):
    assert next_action(item, end, FIRST) not in RETRIES


@pytest.mark.parametrize("end", MAY_HAVE_RUN)
@pytest.mark.parametrize("item", ROUTES)
def test_a_request_that_may_have_run_is_never_reported_as_not_run(item, end):
    for sends in (1, 2):
        step = next_action(item, end, AttemptProgress(sends, 0, True))
        assert step is not NextAction.REFUSE
        assert without_retry_budget(step, end) is not NextAction.REFUSE


@pytest.mark.parametrize("end", list(AttemptOutcome))
@pytest.mark.parametrize("item", ROUTES)
def test_retries_are_bounded_by_attempts_and_time(item, end):
    if end is AttemptOutcome.UNREACHABLE:
        assert (
            next_action(item, end, AttemptProgress(0, MAX_UNREACHABLE, True)) is NextAction.REFUSE
        )
        return
    assert next_action(item, end, AttemptProgress(item.max_attempts, 0, True)) not in RETRIES
    assert next_action(item, end, AttemptProgress(1, 0, False)) not in RETRIES


@pytest.mark.parametrize("end", list(AttemptOutcome))
@pytest.mark.parametrize("item", ROUTES)
def test_nothing_is_retried_without_retry_budget(item, end):
    assert without_retry_budget(next_action(item, end, FIRST), end) not in RETRIES


def test_a_broken_stream_is_resumed_only_on_a_resumable_route():
    midway = AttemptOutcome.BROKEN_MIDWAY
    assert next_action(route(attempts=2, resumable=True), midway, FIRST) is NextAction.RESUME
    assert next_action(route(attempts=2, resumable=False), midway, FIRST) is NextAction.ABORT
    assert next_action(route(RetrySafety.SAFE, attempts=2), midway, FIRST) is NextAction.ABORT


def test_a_failure_of_the_target_is_delivered_unless_it_is_retried():
    end = AttemptOutcome.ANSWERED_FAILURE
    assert next_action(route(RetrySafety.UNSAFE), end, FIRST) is NextAction.DELIVER_FAILURE
    assert next_action(route(RetrySafety.SAFE, attempts=2), end, FIRST) is NextAction.RETRY
