"""Guards against traffic that differs between runs with the same seed or has a wrong mix."""

from itertools import islice

import pytest

from jacinthcove.load.profiles import LAVALLEE, PROFILES, backlogged_sessions, power_cut_sessions


def test_same_seed_yields_the_same_requests():
    first, second = (backlogged_sessions(LAVALLEE, seed=7, outstanding=2) for _ in range(2))
    assert [next(s.requests) for s in first] == [next(s.requests) for s in second]


def test_no_two_requests_share_a_nonce_or_key():
    sessions = backlogged_sessions(LAVALLEE, seed=7, outstanding=3)
    specs = [spec for session in sessions for spec in islice(session.requests, 20)]
    assert len({spec.nonce for spec in specs}) == len(specs)


def test_power_cut_starts_every_caller_within_one_second():
    sessions = power_cut_sessions(LAVALLEE, seed=7, callers=200)
    assert len(sessions) == 200
    assert all(0 <= session.start_ms < 1_000 for session in sessions)


@pytest.mark.parametrize("profile", PROFILES.values(), ids=PROFILES)
def test_non_idempotent_routes_are_keyed_and_workspaces_prefer_one_to_four_routers(profile):
    assert all(route.keyed for route in profile.routes if not route.idempotent)
    assert len(profile.workspaces) == len(profile.configured_workspaces()) == 16
    assert {len(workspace.routers) for workspace in profile.workspaces} == {1, 2, 3, 4}
