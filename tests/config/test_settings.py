"""Guards against settings from the wrong source and against unreported errors."""

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


def test_flag_overrides_variable_and_variable_overrides_default():
    environment = {"JACINTHCOVE_MAX_DEADLINE": "2s", "JACINTHCOVE_LOG_LEVEL": "debug"}
    settings = load_settings(RouterSettings, [*REQUIRED, "--max-deadline=3s"], environment)
    assert (settings.max_deadline_ms, settings.log_level) == (3_000, LogLevel.DEBUG)
    assert settings.max_requests == 5_000


def test_all_errors_are_reported_at_once():
    arguments = ["--stor", "x", "--id", "--seeds=nowhere", "--log-level", "info", "--log-level=x"]
    errors = "\n".join(read_settings(RouterSettings, arguments, {}).failure())
    for expected in ("--store", "--id needs", "--seeds: ", "given twice", "--failure-domain (or"):
        assert expected in errors


def test_repr_hides_secrets():
    environment = {"JACINTHCOVE_FLEET_KEY": "very-secret-key"}
    assert "very-secret" not in repr(load_settings(RouterSettings, REQUIRED, environment))


def test_order_timeout_must_be_below_the_lease_ttl():
    arguments = [*REQUIRED, "--router=127.0.0.1:1", "--order-timeout=9s", "--lease-ttl=6s"]
    with pytest.raises(ConfigurationError, match="--order-timeout must be below --lease-ttl"):
        load_settings(ControllerSettings, arguments, {})
