"""Hypothesis profiles: ``ci`` repeats its examples, ``fuzz`` looks for new ones."""

from __future__ import annotations

import os

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.register_profile(
    "fuzz",
    max_examples=2_000,
    stateful_step_count=60,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
