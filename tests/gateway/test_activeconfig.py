"""The configuration in force and its age."""

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.codes import ResultCode
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.activeconfig import ActiveConfig
from tests.gateway.samples import config

MAX_AGE_MS = 4_500
APPLY_MS = 2_000


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def active_config(clock):
    active_config = ActiveConfig(clock, MAX_AGE_MS, APPLY_MS)
    active_config.apply(config(version=3), 10)
    active_config.confirm(clock.boot())
    return active_config


def test_requests_are_refused_before_the_first_configuration(clock):
    with pytest.raises(RequestRefused) as refused:
        ActiveConfig(clock, MAX_AGE_MS, APPLY_MS).routes()
    assert refused.value.code is ResultCode.CONFIGURATION_STALE


def test_the_version_in_force_is_known_to_logs_and_metrics(active_config, clock):
    assert ActiveConfig(clock, MAX_AGE_MS, APPLY_MS).version() == 0
    assert active_config.version() == 3


@pytest.mark.parametrize("version", [2, 3])
def test_an_older_or_equal_version_is_not_applied(active_config, version):
    active_config.apply(config(version=version, routes=()), 11)
    assert len(active_config.routes().config.routes) == 1


def test_keys_are_accepted_for_a_bounded_time_without_a_confirmation(active_config, clock):
    clock.advance(MAX_AGE_MS - 1)
    active_config.require_fresh("small")
    clock.advance(1)
    with pytest.raises(RequestRefused) as refused:
        active_config.require_fresh("small")
    assert refused.value.code is ResultCode.CONFIGURATION_STALE
    active_config.require_fresh("")
    active_config.confirm(clock.boot())
    active_config.require_fresh("small")


def test_a_router_knows_when_a_newer_version_may_have_to_be_in_force(active_config, clock):
    assert not ActiveConfig(clock, MAX_AGE_MS, APPLY_MS).is_current()
    clock.advance(APPLY_MS - 1)
    assert active_config.is_current()
    clock.advance(1)
    assert not active_config.is_current()


def test_time_in_which_the_vm_is_suspended_counts(active_config, clock):
    clock.suspend(MAX_AGE_MS)
    assert not active_config.check_freshness()


def test_an_older_confirmation_does_not_raise_the_age(active_config, clock):
    clock.advance(1_000)
    active_config.confirm(clock.boot() - 3_000)
    assert active_config.age_ms() == 1_000
