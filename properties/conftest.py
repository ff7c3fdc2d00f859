"""Hypothesis profiles: ``ci`` has a fixed seed, ``fuzz`` searches further."""

from __future__ import annotations

import os

from hypothesis import settings

settings.register_profile(
    "ci", derandomize=True, max_examples=50, deadline=None, database=None
)
settings.register_profile("fuzz", max_examples=2000, deadline=None, database=None)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
