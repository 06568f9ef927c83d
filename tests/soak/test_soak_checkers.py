"""Each soak checker finds a planted fault and accepts histories that are allowed."""

import pytest

from soak import checkers
from soak.history import Arrival, Call, History, Span
from soak.schedule import Kind, make_schedule

NEVER = float("inf")


def call(id="c1", route="publish", sent_at=10.0, status=200, body=b"done", **fields):
    values = {"key": "k", "router": "r1", "ended_at": sent_at + 0.1} | fields
    return Call(id, f"/{route}/1", sent_at=sent_at, status=status, body=body, **values)


def arrival(id="c1", route="publish", at=10.05, ran=True, body=b"done", **fields):
    values = {"workspace": "small", "target": "i-1", "service": "ledger", "failure_domain": "a"}
    return Arrival(id, route, at=at, ran=ran, body=body, **(values | fields))


def history(calls=(), arrivals=(), **fields):
    return History(list(calls), list(arrivals), workspaces={"k": "small"}, **fields)


SERVED_ONCE = history([call()], [arrival()])


@pytest.mark.parametrize("checker", checkers.CHECKERS)
def test_checker_accepts_a_request_that_was_served_once(checker):
    assert not checker(SERVED_ONCE)


PLANTED_FAULTS = {
    "another answer": (checkers.whole_answers, history([call(body=b"don")], [arrival()])),
    "answer without a run": (checkers.whole_answers, history([call()])),
    "two runs": (checkers.at_most_once, history([call()], [arrival(), arrival(target="i-2")])),
    "refused but run": (checkers.not_run_is_true, history([call(status=503)], [arrival()])),
    "refused and run later": (
        checkers.not_run_is_true,
        history([call(status=429)], [arrival(at=40.0)]),
    ),
    "unknown sender": (checkers.known_keys_and_routes, history([], [arrival()])),
    "wrong workspace": (
        checkers.known_keys_and_routes,
        history([call()], [arrival(workspace="large")]),
    ),
    "revoked key": (
        checkers.known_keys_and_routes,
        history([call()], [arrival()], removed_keys=[Span("key", 4.5, NEVER, "k")]),
    ),
    "removed route": (
        checkers.known_keys_and_routes,
        history([call()], [arrival()], removed_routes=[Span("route", 7.5, NEVER, "publish")]),
    ),
    "drained target": (
        checkers.drained_targets_get_nothing,
        history([call()], [arrival()], drained_targets=[Span("d", 7.0, NEVER, "i-1")]),
    ),
    "drained failure domain": (
        checkers.drained_targets_get_nothing,
        history([call()], [arrival()], drained_domains=[Span("d", 4.0, 12.0, "a")]),
    ),
    "cold target": (
        checkers.cold_targets_are_spared,
        history(
            [],
            [arrival(f"c{number}", at=10 + number / 50) for number in range(24)],
            cold=[Span("cold", 9.0, 12.0, "i-1")],
        ),
    ),
    "cold start of a restarted target": (
        checkers.cold_targets_are_spared,
        history(
            [],
            [arrival(f"c{number}", at=10 + number / 50, born=2) for number in range(24)],
            cold=[Span("cold", 9.0, 12.0, "i-1", 2)],
        ),
    ),
    "slow stop": (
        checkers.stops_are_graceful,
        history(terminated=[Span("router_term", 5.0, 14.5, "r1")]),
    ),
    "cut by a stop": (
        checkers.stops_are_graceful,
        history(
            [call(status=0, body=None)],
            [arrival()],
            terminated=[Span("router_term", 10.05, 14.0, "r1")],
            disturbances=[Span("router_term", 10.05, 10.05, "r1")],
        ),
    ),
    "no recovery": (
        checkers.serves_again,
        history([call(f"c{n}", status=503) for n in range(20)], faults_over_at=1.0),
    ),
    "no recovery of the key in force": (
        checkers.serves_again,
        history(
            [
                *(call(f"c{n}", status=401, key="taken") for n in range(20)),
                *(call(f"d{n}", status=401) for n in range(16)),
                *(call(f"e{n}") for n in range(4)),
            ],
            faults_over_at=1.0,
            removed_keys=[Span("key", 2.0, NEVER, "taken")],
        ),
    ),
    "crash": (checkers.processes_live, history(exit_codes={"router-1": 1})),
}


@pytest.mark.parametrize("name", PLANTED_FAULTS)
def test_checker_finds_its_planted_fault(name):
    checker, observed = PLANTED_FAULTS[name]
    assert checker(observed)
    assert checker.__name__ in checkers.check(observed)


ALLOWED_CASES = {
    "two runs of an idempotent request": (
        checkers.at_most_once,
        history([call(route="status")], [arrival(route="status"), arrival(route="status")]),
    ),
    "refused by the target": (
        checkers.not_run_is_true,
        history([call(status=503)], [arrival(ran=False)]),
    ),
    "key taken away a moment ago": (
        checkers.known_keys_and_routes,
        history([call()], [arrival()], removed_keys=[Span("key", 6.0, NEVER, "k")]),
    ),
    "drained during a fault": (
        checkers.drained_targets_get_nothing,
        history(
            [call()],
            [arrival()],
            drained_targets=[Span("d", 7.0, NEVER, "i-1")],
            disturbances=[Span("store_slow", 6.0, 8.0)],
        ),
    ),
    "requests to the start before": (
        checkers.cold_targets_are_spared,
        history(
            [],
            [
                arrival(f"c{number}", at=10 + number / 50, born=1 + number % 2)
                for number in range(44)
            ],
            cold=[Span("cold", 9.0, 12.0, "i-1", 2)],
        ),
    ),
    "refusals of a key and a route that are gone": (
        checkers.serves_again,
        history(
            [
                *(call(f"c{n}", status=401, key="taken") for n in range(40)),
                *(call(f"d{n}", route="gone", status=404) for n in range(40)),
                *(call(f"e{n}") for n in range(12)),
            ],
            faults_over_at=1.0,
            removed_keys=[Span("key", 2.0, NEVER, "taken")],
            removed_routes=[Span("route", 0.0, NEVER, "gone")],
        ),
    ),
    "cut by a kill": (
        checkers.stops_are_graceful,
        history(
            [call(status=0, body=None)],
            [arrival()],
            terminated=[Span("router_term", 10.05, 14.0, "r1")],
            disturbances=[Span("router_kill", 10.1, 10.1, "r1")],
        ),
    ),
}


@pytest.mark.parametrize("name", ALLOWED_CASES)
def test_checker_accepts_an_allowed_case(name):
    checker, observed = ALLOWED_CASES[name]
    assert not checker(observed)


def test_every_checker_has_a_planted_fault():
    assert {checker for checker, _ in PLANTED_FAULTS.values()} == set(checkers.CHECKERS)


def test_a_seed_always_gives_the_same_schedule():
    assert make_schedule(7, 20) == make_schedule(7, 20)
    assert make_schedule(7, 20) != make_schedule(8, 20)


def test_every_action_kind_occurs_in_some_schedule():
    observed = {action.kind for seed in range(200) for action in make_schedule(seed, 20, 1)}
    assert observed == set(Kind)


def test_restarts_leave_the_other_actions_of_a_seed_as_they_are():
    for seed in range(50):
        actions = make_schedule(seed, 20, 3)
        others = [action for action in actions if action.kind is not Kind.TARGET_RESTART]
        assert others == make_schedule(seed, 20)
