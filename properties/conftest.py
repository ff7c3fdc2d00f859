"""Hypothesis profiles: ``ci`` is deterministic, ``fuzz`` runs more examples."""

from __future__ import annotations

import os

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci", derandomize=True, max_examples=60, deadline=None, database=None
)
settings.register_profile(
    "fuzz",
    max_examples=2000,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
