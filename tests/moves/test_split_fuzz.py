"""Guards against a router that sends more than the canary share to the new version."""

from dataclasses import replace
from math import ceil

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthcove.clock import ManualClock
from jacinthcove.config.model import (
    FleetConfig,
    Move,
    MoveState,
    MoveStep,
    Route,
    Service,
    ServiceKind,
)
from jacinthcove.moves.split import VersionSplit, effective_share

WALL = 1_700_000_000_000
SERVICE = Service("s", ServiceKind.PLAIN, "v1", (Route("a"), Route("b")))
STEPS = (MoveStep(0.05, 10), MoveStep(0.5, 10))
MOVE = Move("m", "s", "v1", "v2", WALL - 1, WALL + 1_000, STEPS, 1, 0.5, MoveState.SHIFTING)


class Fleet:
    def __init__(self, move=MOVE):
        self.clock = ManualClock()
        self.move = move
        self.cut = set()
        self.usable = {"v1", "v2"}

    def split(self):
        return VersionSplit(
            lambda: FleetConfig(services={"s": SERVICE}, moves={"m": self.move}),
            self.clock,
            lambda move_id, route: route in self.cut,
            lambda service, version: version in self.usable,
        )


@settings(derandomize=True, database=None)
@given(
    st.floats(0.0, 1.0),
    st.lists(st.tuples(st.sampled_from("ab"), st.booleans()), max_size=300),
    st.integers(0, 1),
)
def test_share_never_exceeds_its_limit(share, requests, step):
    """`usable` of the new version comes and goes; the bound holds after every request."""
    fleet = Fleet(replace(MOVE, share=share, step=step))
    limit = effective_share(fleet.move, fleet.clock.wall())
    assert limit <= (0.05 if step == 0 else 1.0)
    split = fleet.split()
    counts = {"a": [0, 0], "b": [0, 0]}
    for route, usable in requests:
        fleet.usable = {"v1", "v2"} if usable else {"v1"}
        counts[route][split.choose("s", route) == "v2"] += 1
        old, new = counts[route]
        assert new <= ceil(limit * (old + new))
        if all(flag for _, flag in requests):
            assert new >= int(limit * (old + new) - 0.001)


@pytest.mark.parametrize("state", [MoveState.LOADING, MoveState.REVERTED])
def test_no_new_version_outside_shifting(state):
    split = Fleet(replace(MOVE, state=state, share=1.0)).split()
    assert {split.choose("s", "a") for _ in range(50)} == {"v1"}


def test_deadline_and_cut_return_to_the_old_version():
    """Guards against traffic to the new version on a cut route or after the deadline."""
    fleet = Fleet(replace(MOVE, share=1.0))
    split = fleet.split()
    assert split.choose("s", "a") == "v2"
    fleet.cut, fleet.usable = {"a"}, {"v2"}
    assert split.choose("s", "a") == "v1"
    assert split.choose("s", "b") == "v2"
    fleet.clock.advance(1_000)
    assert split.choose("s", "b") == "v1"


def test_version_without_usable_targets_is_replaced_by_the_other():
    fleet = Fleet(replace(MOVE, share=0.5))
    split = fleet.split()
    fleet.usable = {"v2"}
    assert {split.choose("s", "a") for _ in range(10)} == {"v2"}
    fleet.usable = {"v1"}
    assert {split.choose("s", "a") for _ in range(10)} == {"v1"}
