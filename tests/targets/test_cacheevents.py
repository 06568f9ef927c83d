"""Guards against cache knowledge that survives a restart or a late or doubled event."""

import orjson
import pytest

from jacinthcove.targets.affinity import PrefixAffinity
from jacinthcove.targets.cacheevents import CacheEventFollower


def body(boot_id, *events):
    items = [{"seq": seq, "kind": kind, "prefix_key": key} for seq, kind, key in events]
    return orjson.dumps({"boot_id": boot_id, "events": items})


@pytest.fixture
def follower():
    return CacheEventFollower(PrefixAffinity())


def test_events_apply_in_order_once_and_gaps_are_tolerated(follower):
    follower.take(body("one", (3, "evicted", "a"), (1, "stored", "a"), (7, "stored", "b")))
    assert not follower.affinity.holds("a")
    assert follower.affinity.holds("b")
    follower.affinity.evict("b")
    follower.take(body("one", (7, "stored", "b")))
    assert not follower.affinity.holds("b")
    assert follower.path() == "/cache-events?after=7"


def test_a_restarted_engine_is_read_from_the_start(follower):
    follower.take(body("one", (9, "stored", "a")))
    follower.take(body("two", (12, "stored", "late")))
    assert follower.path() == "/cache-events?after=0"
    follower.take(body("two", (1, "stored", "c")))
    assert follower.affinity.holds("c")
    assert not follower.affinity.holds("late")


@pytest.mark.parametrize("malformed", [b"", b"[]", b'{"boot_id":"x","events":[{"seq":"y"}]}'])
def test_malformed_events_are_refused(follower, malformed):
    with pytest.raises(ValueError, match="malformed"):
        follower.take(malformed)
