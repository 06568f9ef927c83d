"""Decoding of settings, targets, the configuration and prompt headers."""

import pytest
from returns.result import Failure, Success

from jacinthcove.gateway.model import RetrySafety
from jacinthcove.platform.codec import decode_prompt
from jacinthcove.platform.decode import decode_config, decode_target
from jacinthcove.platform.settings import decode_settings

ENTRY = {
    "service": "models",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 4,
    "born": 1_764_000_000_000,
}
SETTINGS = """node=front-1
zone=a
ip=10.1.0.33
listen.front=10.1.0.33:8783
listen.ready=10.1.0.33:8780
listen.directory=10.1.0.33:8789
internal_ports=7400,7415
seeds=10.1.0.33:8785,10.2.0.18:8785
platform.address=10.200.1.7:8781
bounds.revoke_ms=5000
bounds.grace_s=8
unknown.field=7
"""
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "desk.example",
            "path_prefix": "/draft/",
            "kind": "stream",
            "timeout_ms": 12_000,
            "target_latency_ms": 800,
            "priority": 1,
            "traffic_split": [
                {"service": "models", "weight": 90},
                {"service": "spare", "weight": 0},
            ],
            "max_attempts": 2,
            "anonymous": False,
            "sticky": True,
            "can_resume": True,
            "gap_aim_ms": 400,
        },
        {
            "name": "r2",
            "host": "desk.example",
            "path_prefix": "/publish/",
            "kind": "unsafe",
            "timeout_ms": 1_200,
            "service": "ledger",
        },
    ],
    "services": [
        {
            "name": "models",
            "max_conns": 370,
            "cold_s": 3.0,
            "cold_per_s": 14.0,
            "engine": {"slots": 64, "kv_tokens": 518_522},
        },
        {"name": "ledger", "max_conns": 110},
    ],
    "limits": {"max_header_bytes": 16_384, "idle_timeout_ms": 15_000},
    "tenants": [{"name": "small", "api_keys": ["k1", "k2"], "priority": 1}],
}


def test_target_entry_is_decoded():
    record = decode_target("i-1", ENTRY)
    assert (record.id, record.address, record.failure_domain) == ("i-1", "10.128.0.9:8080", "a")
    assert (record.leaving, record.slots, record.started_at) == (False, 64, 1_764_000_000_000)
    assert decode_target("i-1", ENTRY | {"state": "draining"}).leaving


@pytest.mark.parametrize(
    "change",
    [
        {"service": None},
        {"service": ""},
        {"address": "10.128.0.9"},
        {"address": "10.128.0.9:http"},
        {"address": "10.128.0.9:99999"},
        {"zone": 4},
        {"slots": "64"},
        {"slots": 0},
        {"slots": True},
        {"state": "resting"},
        {"state": ["ready"]},
        {"cold_left_ms": "soon"},
        {"cold_left_ms": -1},
    ],
)
def test_malformed_target_field_is_rejected(change):
    with pytest.raises(ValueError, match="."):
        decode_target("i-1", ENTRY | change)


@pytest.mark.parametrize("spec", [None, "text", 7, [], {}])
def test_entry_that_is_no_target_object_is_rejected(spec):
    with pytest.raises(ValueError, match="."):
        decode_target("i-1", spec)


def test_configuration_is_decoded():
    config = decode_config(CONFIG)
    draft, publish = config.routes
    assert config.version == 7
    assert (draft.retry_safety, draft.resumable, draft.idempotent) == (
        RetrySafety.STREAM,
        True,
        True,
    )
    assert [share.service for share in draft.services] == ["models"]
    assert (publish.idempotent, publish.max_attempts) == (False, 1)
    assert config.workspace_by_key == {"k1": "small", "k2": "small"}
    assert config.services["models"].engine.slots == 64
    assert config.services["ledger"].engine is None
    assert (config.limits.max_header_bytes, config.limits.idle_timeout_ms) == (16_384, 15_000)


def test_no_api_key_is_required_without_tenants():
    assert decode_config({**CONFIG, "tenants": None}).workspace_by_key is None


def test_own_mesh_port_is_used_for_every_seed():
    result = decode_settings(SETTINGS)
    assert isinstance(result, Success)
    settings = result.unwrap()
    assert settings.mesh_listen == "10.1.0.33:7400"
    assert settings.seeds == ("10.1.0.33:7400", "10.2.0.18:7400")
    assert (settings.bounds.revoke_ms, settings.bounds.grace_ms) == (5_000, 8_000)


def test_all_problems_of_settings_are_reported():
    broken = SETTINGS.replace("zone=a\n", "").replace("grace_s=8", "grace_s=soon")
    result = decode_settings(broken)
    assert isinstance(result, Failure)
    assert result.failure() == ("zone is missing", "bounds.grace_s must be a number, not 'soon'")


def test_prompt_headers_are_decoded():
    prompt = decode_prompt("1460,80", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
    assert (prompt.input_tokens, prompt.output_tokens, prompt.own_tokens) == (1_460, 80, 250)
    assert [part.id for part in prompt.parts] == ["5c1e07a2", "91bd3f06", "e4402b7d"]
    assert decode_prompt("", "").share_cost_tokens == 0


ODD_ENTRIES = {
    "deep list": {"service": [[[["x"]]] * 3]},
    "port out of range": {"address": "10.0.0.1:70000"},
    "port with other digits": {"address": "10.0.0.1:８０８０"},
    "no IP": {"address": "a b\r\nX-Tenant: other:80"},
    "number too large": {"cold_left_ms": 1e300},
    "start too large": {"born": 2.0**64},
    "slots too large": {"slots": 1e18},
}


@pytest.mark.parametrize("what", sorted(ODD_ENTRIES))
def test_an_odd_entry_names_no_target(what):
    with pytest.raises(ValueError):
        decode_target("i-1", ENTRY | ODD_ENTRIES[what])


def test_an_id_that_would_break_a_header_names_no_target():
    with pytest.raises(ValueError, match="header"):
        decode_target("i-1\r\nX-Tenant: other", ENTRY)


def test_the_reason_for_a_very_deep_entry_can_be_logged():
    deep = current = []
    for _ in range(5_000):
        current.append([])
        current = current[0]
    with pytest.raises(ValueError, match="a list"):
        decode_target("i-1", ENTRY | {"service": deep})
