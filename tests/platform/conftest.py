"""Fixtures of the tests against stand-ins of the platform."""

import pytest
from wire_bed import GatewayTestBed

from jacinthcove.gateway import targets


@pytest.fixture
def no_pause(monkeypatch):
    """Let the router use a target again at once after it was full."""
    monkeypatch.setattr(targets, "FULL_PAUSE_MS", 0)


@pytest.fixture
def bed():
    """Yield a running gateway that has no targets yet."""
    bed = GatewayTestBed()
    bed.start()
    yield bed
    bed.close()
