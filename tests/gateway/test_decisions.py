"""What follows an attempt, for every kind of route and end."""

import itertools

import pytest

from jacinthcove.gateway.decisions import (
    MAX_UNREACHABLE,
    AttemptEnd,
    Progress,
    Step,
    next_step,
    without_budget,
)
from jacinthcove.gateway.model import RetrySafety
from tests.gateway.samples import route

ROUTES = [
    route(kind, attempts, resumable)
    for kind, attempts, resumable in itertools.product(RetrySafety, (1, 2), (False, True))
]
FIRST = Progress(sends=1, unreachable=0, time_left=True)
SENT_AGAIN = (Step.RETRY, Step.RESUME)
MAY_HAVE_RUN = [end for end in AttemptEnd if not end.not_run and end is not AttemptEnd.COMPLETE]


@pytest.mark.parametrize("end", MAY_HAVE_RUN)
@pytest.mark.parametrize("item", [item for item in ROUTES if not item.idempotent])
def test_what_may_have_run_is_not_sent_again_unless_idempotent(item, end):
    assert next_step(item, end, FIRST) not in SENT_AGAIN


@pytest.mark.parametrize("end", MAY_HAVE_RUN)
@pytest.mark.parametrize("item", ROUTES)
def test_what_may_have_run_is_never_refused_as_not_run(item, end):
    for sends in (1, 2):
        step = next_step(item, end, Progress(sends, 0, True))
        assert step is not Step.REFUSE
        assert without_budget(step, end) is not Step.REFUSE


@pytest.mark.parametrize("end", list(AttemptEnd))
@pytest.mark.parametrize("item", ROUTES)
def test_attempts_and_time_bound_repeats(item, end):
    if end is AttemptEnd.UNREACHABLE:
        assert next_step(item, end, Progress(0, MAX_UNREACHABLE, True)) is Step.REFUSE
        return
    assert next_step(item, end, Progress(item.max_attempts, 0, True)) not in SENT_AGAIN
    assert next_step(item, end, Progress(1, 0, False)) not in SENT_AGAIN


@pytest.mark.parametrize("end", list(AttemptEnd))
@pytest.mark.parametrize("item", ROUTES)
def test_without_budget_nothing_is_sent_again(item, end):
    assert without_budget(next_step(item, end, FIRST), end) not in SENT_AGAIN


def test_a_stream_goes_on_only_where_it_may_be_resumed():
    midway = AttemptEnd.BROKEN_MIDWAY
    assert next_step(route(attempts=2, resumable=True), midway, FIRST) is Step.RESUME
    assert next_step(route(attempts=2, resumable=False), midway, FIRST) is Step.ABORT
    assert next_step(route(RetrySafety.SAFE, attempts=2), midway, FIRST) is Step.ABORT


def test_a_failure_of_the_target_is_delivered_when_it_is_final():
    end = AttemptEnd.ANSWERED_FAILURE
    assert next_step(route(RetrySafety.UNSAFE), end, FIRST) is Step.DELIVER_FAILURE
    assert next_step(route(RetrySafety.SAFE, attempts=2), end, FIRST) is Step.RETRY
