"""Profiles of hypothesis: fixed examples for CI, longer runs for ``make fuzz``."""

from __future__ import annotations

import os

from hypothesis import settings

settings.register_profile(
    "ci",
    derandomize=True,
    max_examples=50,
    stateful_step_count=50,
    deadline=None,
    database=None,
)
settings.register_profile(
    "fuzz", max_examples=1000, stateful_step_count=100, deadline=None, database=None
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
