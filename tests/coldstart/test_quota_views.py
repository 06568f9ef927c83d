"""Quotas of routers with different views of the fleet stay within the limit of a cold target."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.gateway.fleetquota import SETTLE_MS, FleetQuota
from tests.coldstart.restart_bed import ALLOWED_PER_S

RATE_PER_S = ALLOWED_PER_S * 0.8


@pytest.mark.parametrize(
    ("old", "added"),
    [
        (81, 15),
        pytest.param(8, 8, marks=pytest.mark.known_red),
        pytest.param(30, 30, marks=pytest.mark.known_red),
        pytest.param(81, 81, marks=pytest.mark.known_red),
    ],
)
def test_routers_that_never_hear_of_added_ones_do_not_exceed_the_limit(old, added):
    clock = ManualClock()
    before = [f"r{number}" for number in range(old)]
    after = before + [f"x{number}" for number in range(added)]
    quotas = {router: FleetQuota(clock, router) for router in after}
    for router in before:
        quotas[router].set_routers(before)
    clock.advance(SETTLE_MS)
    for router in after[old:]:
        quotas[router].set_routers(after)
    assert sum(quota.quota("t1", RATE_PER_S) for quota in quotas.values()) <= ALLOWED_PER_S
