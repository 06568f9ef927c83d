"""What a router keeps and sends for other routers must be bounded in bytes, not only in number."""

import gc
import tracemalloc

import orjson
import pytest
from relay_bed import at

from jacinthcove.clock import ManualClock
from jacinthcove.errors import StoreUnavailable
from jacinthcove.store.changelog import MAX_BATCHES, ChangeLog
from jacinthcove.store.kinds import Change, KindObject, WatchResult
from jacinthcove.store.relaycodec import decode_result, encode_result

MIB = 1024 * 1024
# A list of empty records takes about 30 times its length when it is decoded.
RECORDS = b"[" + b"{}," * 20_000 + b"{}]"
ROUTES = orjson.dumps([{"name": f"r-{n}", "host": "h", "path_prefix": "/p/"} for n in range(1_400)])


def log_with(versions, text, clock):
    """Return a log in which one object was written `versions` times."""
    log = ChangeLog(clock)
    log.restart(at(0), clock.boot())
    for number in range(versions):
        clock.advance(100)
        item = KindObject("main", number + 1, orjson.loads(text))
        result = WatchResult([Change(item, False)], at(number + 1))
        log.add(at(number), result, clock.boot())
    return log


@pytest.mark.parametrize("text", [RECORDS, ROUTES], ids=["records", "routes"])
def test_many_versions_of_a_large_object_do_not_fill_the_memory(text):
    """190 versions of a configuration with 1,400 routes took a router over 300 MB."""
    gc.collect()
    tracemalloc.start()
    log = log_with(MAX_BATCHES, text, ManualClock())
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept < 6 * MIB
    newest = decode_result(encode_result(log.since(at(MAX_BATCHES - 1), 0)))
    assert [change.object.spec for change in newest.changes] == [orjson.loads(text)]


def test_a_reader_behind_the_kept_changes_asks_the_store():
    log = log_with(MAX_BATCHES, ROUTES, ManualClock())
    with pytest.raises(StoreUnavailable):
        log.since(at(1), 0)


def test_a_reply_to_a_reader_far_behind_is_bounded_and_the_rest_follows():
    clock = ManualClock()
    log = log_with(40, ROUTES, clock)
    revision, seen = log.base_revision, []
    while revision < at(40):
        result = log.since(revision, 0)
        message = encode_result(result)
        assert message.ByteSize() < 2 * MIB
        seen += [change.object.revision for change in result.changes]
        revision = result.revision
    assert seen == list(range(log.base_revision.number + 1, 41))


def test_a_part_of_the_changes_is_not_taken_for_a_recent_state():
    """A reader that has only older changes must not count them as confirmed now."""
    clock = ManualClock()
    log = log_with(40, ROUTES, clock)
    result = log.since(log.base_revision, 0)
    missing = 40 - result.revision.number
    assert missing
    assert result.relay_age_ms == missing * 100
