"""The limits that follow from the settings of a router."""

import pytest
from test_platform_decode import SETTINGS

from jacinthcove.clock import ManualClock
from jacinthcove.ingress.account import BodyAccount
from jacinthcove.platform.settings import decode_settings

MAX_BODY_BYTES = 4_194_304


def limits(more=""):
    return decode_settings(SETTINGS + more).unwrap().ingress


@pytest.mark.parametrize("memory_mb", [128, 160, 300, 552])
def test_two_bodies_of_the_largest_size_fit(memory_mb):
    """A request inside the configuration's limits must not meet a default in calm."""
    derived = limits(f"limits.memory_mb={memory_mb}\n")
    account = BodyAccount(ManualClock(), derived.body_bytes, derived.small_body_bytes)
    assert account.open("a").reserve(MAX_BODY_BYTES)
    other = account.open("b")
    other.workspace = "other"
    assert other.reserve(MAX_BODY_BYTES)


@pytest.mark.parametrize(
    ("memory_mb", "max_fds", "connections"),
    [(160, 1_638, 512), (300, 1_638, 655), (552, 10_250, 1_766), (128, 400, 160)],
)
def test_connections_leave_memory_and_descriptors_for_others(memory_mb, max_fds, connections):
    derived = limits(f"limits.memory_mb={memory_mb}\nlimits.max_fds={max_fds}\n")
    assert derived.max_connections == connections


def test_each_limit_can_be_set():
    values = {
        "max_connections": 70,
        "body_bytes": 1_000,
        "small_body_bytes": 500,
        "address_fraction": 0.2,
        "workspace_fraction": 0.1,
        "slow_body_ms": 7,
        "receive_buffer_bytes": 4_096,
    }
    found = limits("".join(f"ingress.{name}={value}\n" for name, value in values.items()))
    assert {name: getattr(found, name) for name in values} == values
