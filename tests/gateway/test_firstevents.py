"""Time to the first event of each version, relative to the time that its load explains."""

import random

import pytest

from jacinthcove.gateway.firstevents import (
    BUCKETS,
    MIN_COMPARED,
    FirstEventCounts,
    FirstEventKey,
    FirstEventLog,
    FleetFirstEvents,
    bucket_of,
    compare,
    slowdown,
)

NEW = FirstEventKey("order", 0, "ask", "v2")
OLD = FirstEventKey("order", 0, "ask", "")


def counts_of(slowdowns):
    log = FirstEventLog()
    for ratio in slowdowns:
        log.record_sent(NEW)
        log.record_slowdown(NEW, ratio)
    return log.by_key.get(NEW, FirstEventCounts())


def test_short_expected_times_are_raised_to_the_minimum():
    assert slowdown(60, 2) == slowdown(60, 30) == 2


def test_buckets_increase_with_the_slowdown():
    buckets = [bucket_of(2**number / 8) for number in range(24)]
    assert buckets == sorted(buckets)
    assert (buckets[0], buckets[-1]) == (0, BUCKETS - 1)


@pytest.mark.parametrize("factor", [1.0, 2.0, 4.0])
def test_only_a_slower_version_is_found_significantly_slower(factor):
    rng = random.Random(3)
    old = counts_of(rng.lognormvariate(0, 0.7) for _ in range(500))
    new = counts_of(factor * rng.lognormvariate(0, 0.7) for _ in range(40))
    assert compare(new, old).is_significant(0.65) == (factor > 1)


def test_a_few_late_responses_do_not_make_a_version_slower():
    old = counts_of([1.0] * 500)
    new = counts_of([1.0] * 37 + [60.0] * 3)
    assert not compare(new, old).is_significant(0.65)


def test_too_few_results_are_not_compared():
    assert compare(counts_of([50.0] * (MIN_COMPARED - 1)), counts_of([1.0] * 500)).deviations == 0


def test_requests_without_outcome_lower_the_resolved_fraction():
    log = FirstEventLog()
    for _ in range(4):
        log.record_sent(NEW)
    log.record_failed(NEW)
    log.record_slowdown(NEW, 1.0)
    assert log.by_key[NEW].resolved_fraction() == 0.5
    assert FirstEventCounts().resolved_fraction() == 1.0


def test_reports_of_all_routers_add_up_and_older_ones_are_ignored():
    log, fleet = FirstEventLog(), FleetFirstEvents()
    older_report = log.to_messages()
    for key in (NEW, OLD):
        log.record_sent(key)
        log.record_slowdown(key, 1.0)
    for router in ("r1", "r2"):
        for report in (log.to_messages(), older_report):
            fleet.merge_report(router, 1, report)
    assert fleet.total("order", "v2", 0).resolved == 2
    assert fleet.total("order", "v2", 1).resolved == 0
    assert fleet.total("order", "", route="ask").resolved == 2
    fleet.retain_only(set())
    assert fleet.total("order", "v2").resolved == 0
