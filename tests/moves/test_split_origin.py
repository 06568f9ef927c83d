"""Guards against fleets in which no router uses the new version for a long time.

That happens when each router starts with zero credit and has few requests.
"""

from dataclasses import replace
from math import ceil

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.config.model import FleetConfig, Move, MoveState, MoveStep, Service, ServiceKind
from jacinthcove.moves.split import VersionSplit

WALL = ManualClock().wall()
MOVE = Move(
    "m", "s", "v1", "v2", WALL, WALL + 1_000, (MoveStep(0.05, 10),), 0, 0.05, MoveState.SHIFTING
)
CONFIG = FleetConfig(services={"s": Service("s", ServiceKind.PLAIN, "v1", ())}, moves={"m": MOVE})
ROUTERS = 400


def make_split(origin, config=CONFIG):
    return VersionSplit(
        lambda: config, ManualClock(), lambda move_id, route: False, lambda *names: True, origin
    )


@pytest.mark.parametrize("requests", [5, 10, 19])
def test_fleet_share_is_met_when_each_router_has_few_requests(requests):
    """With zero initial credit, the fleet would send no request to the new version."""
    splits = [make_split(f"router-{n}") for n in range(ROUTERS)]
    new = sum(split.choose("s", "a") == "v2" for split in splits for _ in range(requests))
    expected = 0.05 * requests * ROUTERS
    # Three standard deviations of a sum of independent draws.
    assert abs(new - expected) <= 3 * expected**0.5


@pytest.mark.parametrize("origin", [f"router-{n}" for n in range(20)])
def test_each_router_stays_within_the_rounded_up_share(origin):
    split = make_split(origin)
    new = 0
    for total in range(1, 500):
        new += split.choose("s", "a") == "v2"
        assert int(0.05 * total + 1e-9) <= new <= ceil(0.05 * total - 1e-9)


def test_initial_credit_is_the_same_after_a_restart():
    """Guards against a router that sends one more request after each restart."""
    first = [make_split("r").choose("s", "a") for _ in range(3)]
    assert len(set(first)) == 1
    other = replace(MOVE, id="n")
    starts = {make_split(f"r{n}").initial_credit(other, "a") for n in range(10)}
    assert len(starts) == 10
