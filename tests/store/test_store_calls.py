"""The calls of the store that a fleet makes in a day must not grow with its number of routers."""

import pytest
from calls_bed import FAULTS, play_day, rows

# Limit of a day, whatever the store does in it.
MAX_CALLS = 1_500


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize(("domains", "size"), [(3, 20), (4, 20)], ids=["60", "80"])
def test_calls_of_a_day(monkeypatch, fault, domains, size):
    fleet = play_day(monkeypatch, fault, domains, size)
    print(f"\n{fault}, {domains * size} routers: call, in the day, in the 8 s of the fault")
    print("\n".join(rows(fleet)))
    assert fleet.store.calls.total() < MAX_CALLS
