"""A request that is passed on must be handled under the version of the router that has it."""

from router_bed import http, stop_hearing
from store_standin import eventually
from wire_bed import KEY

from jacinthcove.gateway.directory import Candidate

NEW_KEY = "key-of-version-8"


def write_version_8(operator, router, keys):
    operator(8, keys)
    eventually(lambda: router.active_config.version() == 8)


def statuses(router, key, count=20):
    return {http(router.settings.caller_listen, key=key)[0] for _ in range(count)}


def test_a_request_with_a_new_key_is_not_denied_by_a_helper_that_does_not_know_it(
    passing, operator
):
    late, helper = passing
    stop_hearing(helper)
    write_version_8(operator, late, (KEY, NEW_KEY))
    assert statuses(late, NEW_KEY) <= {200, 503}


def test_a_request_with_a_revoked_key_is_not_run_by_a_helper_that_still_knows_it(
    passing, operator, ledger
):
    late, helper = passing
    stop_hearing(helper)
    write_version_8(operator, late, (NEW_KEY,))
    assert statuses(late, KEY) <= {401, 503}
    assert not ledger.seen


def test_callers_of_a_router_do_not_see_a_version_come_and_go_through_its_helper(passing, operator):
    late, helper = passing
    stop_hearing(late)
    write_version_8(operator, helper, (KEY, NEW_KEY))
    assert 200 not in statuses(late, NEW_KEY)


def test_a_router_without_recent_word_of_the_store_serves_no_requests_of_others(passing, ledger):
    """The store may hold a newer version that neither router has."""
    late, helper = passing
    stop_hearing(helper)
    helper.active_config.confirmed_at = helper.clock.boot() - 3_000
    # The helper soon reports that it has no room, and the late router would serve some itself.
    choice = Candidate("front-2", helper.settings.caller_listen, "qc-east-a", 0)
    late.handover.helpers.choose = lambda open_requests, passed_on: choice
    seen = len(ledger.seen)
    assert statuses(late, KEY, 5) == {503}
    assert len(ledger.seen) == seen
    eventually(lambda: not late.fleet.helpers())


def test_requests_are_passed_on_again_once_both_routers_have_the_version(passing, operator):
    late, helper = passing
    write_version_8(operator, late, (KEY, NEW_KEY))
    eventually(lambda: helper.active_config.version() == 8)
    passed_on = late.handover.passed_on
    before = passed_on.value
    eventually(lambda: statuses(late, NEW_KEY, 1) and passed_on.value > before)
