"""The calls of the store that a fleet makes in a day must not grow with its number of routers."""

import pytest
from calls_bed import FAULTS, play_day, rows

# Limits of a day of 60 and of 80 routers.
MAX_CALLS = {
    "calm": (1_800, 2_400),
    "silent": (3_800, 5_000),
    "resets": (8_800, 11_700),
    "answers 503": (8_500, 11_400),
    "rejects some": (2_300, 2_900),
}


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize(("domains", "size"), [(3, 20), (4, 20)], ids=["60", "80"])
def test_calls_of_a_day(monkeypatch, fault, domains, size):
    fleet = play_day(monkeypatch, fault, domains, size)
    print(f"\n{fault}, {domains * size} routers: call, in the day, in the 8 s of the fault")
    print("\n".join(rows(fleet)))
    assert fleet.store.calls.total() < MAX_CALLS[fault][domains - 3]
