"""Guards against retry storms and against running a request twice."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.codes import ResultClass, ResultCode, result_class
from jacinthcove.delivery.retry import Retries, RetryBudget, may_retry


def test_budget_is_a_tenth_of_the_requests_plus_the_burst():
    budget = RetryBudget()
    taken = 0
    for _ in range(1_000):
        budget.request("w")
        taken += budget.take_retry("w")
    assert 100 <= taken <= 110
    assert budget.take_retry("other")


@pytest.mark.parametrize("code", list(ResultCode))
def test_only_not_run_results_are_retried_on_other_routes(code):
    """Guards against running non-idempotent work twice."""
    if may_retry(code, False, 1, 0, 100):
        assert result_class(code) is ResultClass.NOT_RUN
    if may_retry(code, True, 1, 0, 100):
        assert result_class(code) is not ResultClass.DONE
    assert not may_retry(code, True, 1, 100, 100)


def test_denied_retry_does_not_use_the_budget():
    retries = Retries(ManualClock(now_ms=0))
    assert not retries.allow_retry("w", ResultCode.STREAM_BROKEN, False, 1, 100)
    assert retries.allow_retry("w", ResultCode.NOT_ADMITTED, False, 1, 100)
    assert retries.budget.available("w") == 9.0
