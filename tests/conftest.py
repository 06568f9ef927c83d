"""Hypothesis profiles: `default` is deterministic, `long` runs more and random examples."""

import os

from hypothesis import HealthCheck, settings

_SLOW = [HealthCheck.too_slow, HealthCheck.data_too_large]
settings.register_profile(
    "default", derandomize=True, deadline=None, max_examples=30, suppress_health_check=_SLOW
)
settings.register_profile("long", deadline=None, max_examples=500, suppress_health_check=_SLOW)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "default"))
