"""Guards against settings from the wrong source and against hidden problems."""

import pytest

from jacinthcove.config.settings import (
    ControllerSettings,
    LogLevel,
    RouterSettings,
    load_settings,
    read_settings,
)
from jacinthcove.errors import ConfigurationError

REQUIRED = ["--id", "r1", "--failure-domain=a", "--store", "127.0.0.1:9000"]


def test_a_flag_beats_the_environment_and_the_environment_beats_the_default():
    environment = {"JACINTHCOVE_MAX_DEADLINE": "2s", "JACINTHCOVE_LOG_LEVEL": "debug"}
    settings = load_settings(RouterSettings, [*REQUIRED, "--max-deadline=3s"], environment)
    assert (settings.max_deadline_ms, settings.log_level) == (3_000, LogLevel.DEBUG)
    assert settings.max_requests == 5_000


def test_all_problems_are_reported_at_once():
    arguments = ["--stor", "x", "--id", "--seeds=nowhere", "--log-level", "info", "--log-level=x"]
    errors = "\n".join(read_settings(RouterSettings, arguments, {}).failure())
    for part in ("--store", "--id needs", "--seeds: ", "given twice", "--failure-domain (or"):
        assert part in errors


def test_secrets_are_not_shown():
    environment = {"JACINTHCOVE_FLEET_KEY": "very-secret-key"}
    assert "very-secret" not in repr(load_settings(RouterSettings, REQUIRED, environment))


def test_an_order_may_not_outlive_the_lease():
    arguments = [*REQUIRED, "--router=127.0.0.1:1", "--order-timeout=9s", "--lease-ttl=6s"]
    with pytest.raises(ConfigurationError, match="--order-timeout must be below --lease-ttl"):
        load_settings(ControllerSettings, arguments, {})
