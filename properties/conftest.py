"""Hypothesis profiles: ``ci`` is deterministic, ``fuzz`` runs more examples."""

from __future__ import annotations

import os

import pytest
from hypothesis import HealthCheck, settings

from boragetide.controllers import transfers
from boragetide.policy import job_table, leader_balance
from boragetide.types import Seconds
from properties.group_site import LABEL, GroupSite

READY_TIME: Seconds = 1.0  # so that leaderships are handed over often
# Notes of transfers are dropped, and ended jobs forgotten, within a run. A note is kept
# for longer than a caller waits and a member is frozen, taken together.
NOTE_RETENTION: Seconds = 9.0
NOTE_REVIEW_INTERVAL: Seconds = 1.0
JOB_RETENTION: Seconds = 4.0

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


@pytest.fixture
def short_times(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten what takes longer than a run of the test."""
    monkeypatch.setattr(leader_balance, "READY_TIME", READY_TIME)
    monkeypatch.setattr(transfers, "MAX_DELIVERY_TIME", NOTE_RETENTION)
    monkeypatch.setattr(transfers, "NOTE_REVIEW_INTERVAL", NOTE_REVIEW_INTERVAL)
    monkeypatch.setattr(job_table, "BEST_EFFORT_RETENTION", JOB_RETENTION)
