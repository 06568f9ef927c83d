"""A router must not deny a name for good once a newer version with that name may be in force."""

import pytest
from router_bed import http, stop_hearing
from store_standin import eventually

# A new version is in force after 2 s, a revoked key is no longer accepted after 5 s.
WITHOUT_WORD_MS = 3_000


@pytest.fixture
def router_without_word(start, operator, ledger):
    """Return a router that had no word from the store for `WITHOUT_WORD_MS`."""
    operator(7)
    router = start()
    eventually(router.ready)
    stop_hearing(router)
    router.active_config.confirmed_at = router.clock.boot() - WITHOUT_WORD_MS
    return router


@pytest.mark.parametrize(
    ("path", "key"), [("/publish/1", "key-of-version-8"), ("/route-of-version-8/1", "x")]
)
def test_a_name_is_not_denied_for_good_by_a_router_that_may_have_an_older_version(
    router_without_word, path, key
):
    status, headers, _ = http(router_without_word.settings.caller_listen, path, key)
    assert status == 503
    assert "retry-after" in headers


def test_known_names_are_served_until_their_key_may_be_revoked(router_without_word):
    assert http(router_without_word.settings.caller_listen)[0] == 200
