"""Hypothesis profiles: `default` is deterministic, `long` runs more and random examples.

`unshrunk` plays the examples of the default profile and reports a failure as it was found.
"""

import gc
import os
from collections.abc import Iterator

import pytest
from hypothesis import HealthCheck, Phase, settings

_SLOW = [HealthCheck.too_slow, HealthCheck.data_too_large]
settings.register_profile(
    "default", derandomize=True, deadline=None, max_examples=30, suppress_health_check=_SLOW
)
settings.register_profile(
    "unshrunk", settings.get_profile("default"), phases=[Phase.explicit, Phase.generate]
)
settings.register_profile("long", deadline=None, max_examples=500, suppress_health_check=_SLOW)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "default"))


@pytest.fixture(autouse=True)
def _short_collections() -> Iterator[None]:
    """Keep the objects of earlier tests out of collections, which stop the routers of a test."""
    gc.collect()
    gc.freeze()
    yield
