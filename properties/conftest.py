"""Hypothesis profiles: ``ci`` is deterministic, ``fuzz`` runs more examples."""

from __future__ import annotations

import os

import pytest
from hypothesis import HealthCheck, settings

from properties.group_site import LABEL, GroupSite

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


@pytest.fixture
def site() -> GroupSite:
    """Each group has a backend server with the label and one without it."""
    made = GroupSite()
    for group in range(3):
        made.add_server(f"labelled{group}", group, labels=(LABEL,))
        made.add_server(f"plain{group}", group)
    made.start()
    return made
