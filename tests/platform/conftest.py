"""Fixtures of the tests against the platform's stand-ins."""

import pytest
from wire_bed import GatewayBed

from jacinthcove.gateway import targets


@pytest.fixture
def no_pause(monkeypatch):
    """Let targets that are full be used again at once."""
    monkeypatch.setattr(targets, "FULL_PAUSE_MS", 0)


@pytest.fixture
def bed():
    """A running gateway without targets."""
    bed = GatewayBed()
    bed.start()
    yield bed
    bed.close()
