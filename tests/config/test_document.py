"""Guards against document handling that loses, adds or misattributes configuration values."""

from dataclasses import replace
from pathlib import Path

import pytest

from jacinthcove.config.checks import require_valid
from jacinthcove.config.document import ConfigFile, decode, diff, encode, parse
from jacinthcove.config.model import FleetConfig, Move, MoveState, MoveStep
from jacinthcove.config.schema import hash_key
from jacinthcove.config.state import keep_operational_state, set_drained, start_move
from jacinthcove.errors import ConfigurationError

EXAMPLES = Path(__file__).parent.parent.parent / "examples"
NOW_MS = 1_772_431_200_000
BASE = """
site: test
operators: {op: {key: operator-key-0001}}
failure_domains: {a: {}, b: {}}
workspaces:
  north: {share: 4, key: workspace-key-north}
  south: {share: 2, key: workspace-key-south}
services:
  drafting: {kind: engine, version: v1, routes: {draft: {}}}
"""


def parse_test_files(overlay="", base=BASE):
    return parse(ConfigFile("base.yml", base), ConfigFile("site.yml", overlay), NOW_MS)


@pytest.fixture
def fleet():
    return parse_test_files().require_config()


@pytest.fixture
def move():
    steps = (MoveStep(0.05, 10), MoveStep(1.0, 10))
    return Move("m", "drafting", "v1", "v2", NOW_MS, NOW_MS + 3_600_000, steps)


@pytest.mark.parametrize("site", ["lavallee", "sereno"])
def test_example_files_have_no_problems(site):
    sources = [ConfigFile(n, (EXAMPLES / n).read_text()) for n in ("base.yml", f"{site}.yml")]
    result = parse(*sources)
    assert (result.errors, result.warnings) == ((), ())
    assert len(result.require_config().workspaces) == 16


def test_overlay_changes_only_the_keys_it_sets():
    fleet = parse_test_files("workspaces: {north: {share: 8}, south: null}").require_config()
    assert {name: item.share for name, item in fleet.workspaces.items()} == {"north": 8}
    assert fleet.workspaces["north"].key_hash == hash_key("workspace-key-north")


def test_problem_names_the_file_that_set_the_value():
    result = parse_test_files(
        "workspaces: {north: {share: -1, shar: 2}}", BASE.replace("engine", "engin")
    )
    assert {(p.file, p.path) for p in result.errors} == {
        ("site.yml", "workspaces.north.share"),
        ("site.yml", "workspaces.north.shar"),
        ("base.yml", "services.drafting.kind"),
    }


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("site: [", "not valid YAML"),
        ("site: a\nsite: b", "duplicate key"),
        ("workspaces: {1: {}}", "put it in quotes"),
        ("- a", "expected a mapping"),
        ("workspaces: {west: {share: 1}}", "give either key_hash or key"),
        ("workspaces: {west: {share: 1, key: workspace-key-north}}", "has the same key as"),
        ("workspaces: {'../x': {share: 1, key: workspace-key-west}}", "expected a name"),
        ("services: {drafting: {limits: {cold: 9, max: 3}}}", "is above max"),
    ],
)
def test_invalid_file_is_rejected_with_the_reason(text, reason):
    assert reason in "\n".join(str(problem) for problem in parse_test_files(text).errors)


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("workspaces: {north: {share: 900}}", None),
        (
            "workspaces: {e: {share: 1, key: workspace-key-east}, f: {share: 900,"
            " key: workspace-key-west}}",
            "far above",
        ),
        ("workspaces: {}", "holds a secret"),
        ("services: {drafting: {routes: {draft: {idempotent: false}}}}", "no route may be"),
        ("services: {drafting: {routes: null}}", "has no routes"),
        ("failure_domains: {a: {drained: true}, b: {drained: true}}", "all failure domains"),
    ],
)
def test_likely_mistake_causes_a_warning(text, reason):
    result = parse_test_files(text)
    warnings = "\n".join(str(problem) for problem in result.warnings)
    assert not result.errors
    assert ("far above" not in warnings) if reason is None else (reason in warnings)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"service": "draftin"}, "did you mean 'drafting'"),
        ({"to_version": "v1"}, "is the version that the move starts from"),
        ({"from_version": "v0"}, "is not the version"),
        ({"steps": (MoveStep(0.5, 1), MoveStep(0.5, 1))}, "do not rise"),
        ({"steps": (MoveStep(0.5, 1),)}, "instead of 1.0"),
        ({"steps": ()}, "at least one step"),
        ({"deadline_ms": NOW_MS}, "is not after start"),
    ],
)
def test_move_that_cannot_finish_is_rejected(fleet, move, change, reason):
    with pytest.raises(ConfigurationError, match=reason):
        require_valid(start_move(fleet, replace(move, **change)))


def test_move_with_too_little_time_causes_a_warning():
    times = "start: 2026-03-02T06:00:00Z, deadline: 2026-03-02T06:01:00Z"
    result = parse_test_files(f"moves: {{m: {{service: drafting, from: v1, to: v2, {times}}}}}")
    assert "leaves only 60 s" in "\n".join(str(problem) for problem in result.warnings)


def test_encoding_is_lossless_and_canonical(fleet, move):
    fleet = start_move(replace(fleet, revision=7), move)
    turned = replace(fleet, workspaces=dict(reversed(fleet.workspaces.items())))
    assert decode(encode(fleet)) == fleet
    assert encode(turned) == encode(fleet)


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b"{}", b'{"revision": -1}', b'{"revision": 1, "workspaces": {"a": {"name": 3}}}'],
)
def test_malformed_body_is_rejected(body):
    with pytest.raises(ConfigurationError):
        decode(body)


def test_diff_shows_changes_but_no_secrets(fleet):
    north = replace(fleet.workspaces["north"], share=5.0, key_hash="f" * 64)
    new = replace(fleet, workspaces={"north": north}, fleet_key="fleet-key-0123456789")
    lines = diff(fleet, new)
    assert "~ workspaces.north.share: 4.0 -> 5.0" in lines
    assert "- workspaces.south.share: 2.0" in lines
    assert "f" * 64 not in str(lines) and "0123456789" not in str(lines)


def test_applying_files_keeps_operational_state(fleet, move):
    progress = replace(move, step=1, share=0.05, state=MoveState.SHIFTING)
    now = start_move(set_drained(replace(fleet, fleet_key="k" * 16), "a", True), progress)
    carried, warnings = keep_operational_state(now, fleet)
    assert carried == now
    assert "stays drained" in warnings[0]


def test_applying_old_files_does_not_undo_a_finished_move(fleet, move):
    done = start_move(fleet, replace(move, state=MoveState.DONE))
    service = replace(fleet.services["drafting"], version="v2")
    carried, warnings = keep_operational_state(replace(done, services={"drafting": service}), fleet)
    assert carried.services["drafting"].version == "v2"
    assert "finished at v2" in warnings[0]


def test_diff_ignores_the_revision():
    assert diff(FleetConfig(), FleetConfig(revision=3)) == []
