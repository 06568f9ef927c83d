"""The check of a routing configuration before it is sent."""

import copy

import orjson
import pytest
from cleo.testers.command_tester import CommandTester

from jacinthcove.commands.routingcheck import (
    IN_FORCE_UNKNOWN,
    INVALID,
    USABLE,
    RoutingCheck,
    check,
)

ROUTE = {
    "name": "ask",
    "host": "desk.example",
    "path_prefix": "/ask/",
    "kind": "stream",
    "timeout_ms": 10_000,
    "target_latency_ms": 400,
    "service": "models",
    "max_attempts": 2,
    "can_resume": True,
}
ENGINES = {"name": "models", "engine": {"slots": 12, "kv_tokens": 388_355}, "cold_per_s": 7.8}
LIMITS = {"header_timeout_ms": 3_000, "idle_timeout_ms": 15_000, "tokens_per_s": 1_150_000}


@pytest.fixture
def spec():
    return {
        "version": 7,
        "routes": [copy.deepcopy(ROUTE)],
        "services": [copy.deepcopy(ENGINES)],
        "limits": dict(LIMITS),
        "tenants": [{"name": "north", "api_keys": ["k1"]}, {"name": "south", "api_keys": ["k2"]}],
    }


def reasons(result):
    return [str(problem) for problem in result.problems]


def test_a_sound_configuration_has_no_problem(spec):
    result = check(spec, None)
    assert result.usable and not result.problems and result.changes is None


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"timeout_ms": "soon"}, "routes[0]: cannot be read"),
        ({"kind": "sometimes"}, "routes[0]: cannot be read"),
        ({"path_prefix": "ask/"}, "'ask/' must begin and end with a slash"),
        ({"path_prefix": "/ask?x/"}, "never occurs in a path"),
        ({"host": ""}, "is no host, so nothing matches"),
        ({"service": "modles"}, "'modles' is not configured; did you mean 'models'?"),
        ({"traffic_split": [{"service": "models", "weight": 0}]}, "the weights add up to 0"),
        ({"timeout_ms": 0}, "0 is not above 0"),
    ],
)
def test_an_unusable_route_is_an_error(spec, change, expected):
    spec["routes"][0].update(change)
    result = check(spec, None)
    assert not result.usable and any(expected in line for line in reasons(result))


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"target_latency_ms": 12_000}, "12000 is above the timeout of 10000"),
        ({"kind": "safe"}, "has no effect, as the route is no stream"),
        ({"timeout": 5}, "routes[0].timeout: is not known, so it has no effect"),
    ],
)
def test_a_contradiction_in_a_route_is_a_warning(spec, change, expected):
    spec["routes"][0].update(change)
    result = check(spec, None)
    assert result.usable and any(expected in line for line in reasons(result))


def test_a_route_behind_one_with_the_same_address_can_never_match(spec):
    spec["routes"].append({**ROUTE, "name": "late", "host": "DESK.example"})
    result = check(spec, None)
    assert not result.usable
    assert "error: routes.late: can never match" in reasons(result)[0]


def test_a_service_without_a_route_receives_nothing(spec):
    spec["services"].append({"name": "ledger"})
    assert "receives no request" in reasons(check(spec, None))[0]


def test_names_and_keys_that_two_entries_claim_are_errors(spec):
    spec["services"].append(dict(ENGINES))
    spec["tenants"].append({"name": "west", "api_keys": ["k1"]})
    lines = reasons(check(spec, None))
    assert any("services.models: is listed 2 times" in line for line in lines)
    assert any("'west' holds a key of 'north'" in line for line in lines)


def test_limits_that_contradict_each_other_are_reported(spec):
    spec["limits"].update(header_timeout_ms=20_000)
    spec["services"][0]["engine"]["kv_tokens"] = 4
    lines = reasons(check(spec, None))
    assert any("20000 is above the idle timeout of 15000" in line for line in lines)
    assert any("4 tokens of memory cannot fill 12 slots" in line for line in lines)


def test_what_differs_from_the_version_in_force_is_listed_without_keys(spec):
    in_force = copy.deepcopy(spec)
    spec.update(version=8)
    spec["routes"][0]["timeout_ms"] = 9_000
    spec["tenants"][1]["api_keys"] = []
    result = check(spec, in_force)
    assert "~ routes.ask.timeout_ms: 10000 -> 9000" in result.changes
    assert any(line.startswith("- workspace_by_key.") for line in result.changes)
    assert not any("k2" in line for line in result.changes)
    assert any("'south' loses its last key" in line for line in reasons(result))


def test_a_version_that_routers_would_ignore_is_an_error(spec):
    assert "7 is not above 7" in reasons(check(spec, spec))[0]


@pytest.fixture
def run(tmp_path, spec):
    """Return a function that runs the command on `spec` and returns its tester."""

    def run_command(options="", text=None):
        file = tmp_path / "draft.json"
        file.write_bytes(orjson.dumps(spec) if text is None else text)
        tester = CommandTester(RoutingCheck())
        tester.execute(f"{file} {options}")
        return tester

    return run_command


def test_exit_codes_tell_invalid_files_from_an_unknown_version_in_force(run):
    assert run().status_code == USABLE
    assert run(text=b"{").status_code == INVALID
    assert run("--in-force /nonexistent.json").status_code == IN_FORCE_UNKNOWN
    assert run("--store not-an-address").status_code == IN_FORCE_UNKNOWN


def test_the_output_is_one_json_object_on_request(run, spec):
    spec["routes"][0]["service"] = "other"
    tester = run("--json")
    body = orjson.loads(tester.io.fetch_output())
    assert tester.status_code == INVALID and body["usable"] is False
    assert body["problems"][0]["path"] == "routes.ask.services" and body["changes"] is None
