"""Guards against wrong prefix affinity after a restart or after late or duplicate events."""

import orjson
import pytest

from jacinthcove.targets.affinity import PrefixAffinity
from jacinthcove.targets.cacheevents import CacheEventReader


def body(boot_id, *events):
    items = [{"seq": seq, "kind": kind, "prefix_key": key} for seq, kind, key in events]
    return orjson.dumps({"boot_id": boot_id, "events": items})


@pytest.fixture
def reader():
    return CacheEventReader(PrefixAffinity())


def test_events_are_applied_once_and_in_order_despite_gaps(reader):
    reader.apply_response(body("one", (3, "evicted", "a"), (1, "stored", "a"), (7, "stored", "b")))
    assert not reader.affinity.probably_caches("a")
    assert reader.affinity.probably_caches("b")
    reader.affinity.remove_prefix("b")
    reader.apply_response(body("one", (7, "stored", "b")))
    assert not reader.affinity.probably_caches("b")
    assert reader.next_path() == "/cache-events?after=7"


def test_events_of_a_restarted_engine_are_read_from_the_start(reader):
    reader.apply_response(body("one", (9, "stored", "a")))
    reader.apply_response(body("two", (12, "stored", "late")))
    assert reader.next_path() == "/cache-events?after=0"
    reader.apply_response(body("two", (1, "stored", "c")))
    assert reader.affinity.probably_caches("c")
    assert not reader.affinity.probably_caches("late")


@pytest.mark.parametrize("malformed", [b"", b"[]", b'{"boot_id":"x","events":[{"seq":"y"}]}'])
def test_malformed_events_are_refused(reader, malformed):
    with pytest.raises(ValueError, match="malformed"):
        reader.apply_response(malformed)
