"""A router process beside many large entries of another writer."""

import gevent
import pytest
from test_platform_decode import ENTRY

MEMORY_MB = 160
MEMORY_FRACTION = 0.8
ODD_ENTRIES = 48
ODD_ENTRY = {"service": [{"id": 7}] * 110_000, "state": "ready"}
KINDS = ("servers", "config", "evacuations", "rollouts", "jacinthcove-routers")


@pytest.mark.parametrize("written_before", [True, False])
def test_many_large_entries_of_another_writer_do_not_fill_the_memory(store, start, written_before):
    """16 of them took each router over 300 MB, and over it again at each start."""
    settings = f"limits.memory_mb={MEMORY_MB}\n"
    router = None if written_before else start(settings)
    for number in range(ODD_ENTRIES):
        store.put(KINDS[number % len(KINDS)], f"x-{number}", ODD_ENTRY)
    store.put("servers", "i-2", ENTRY)
    router = router or start(settings)
    gevent.sleep(4)
    assert router.ask() == 200
    assert router.memory_mb() < MEMORY_FRACTION * MEMORY_MB
