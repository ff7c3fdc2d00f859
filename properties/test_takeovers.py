"""Changes of the leaders of several groups beside runs of best-effort jobs."""

from __future__ import annotations

import os

import pytest
from hypothesis import settings

from properties.disturbances import Disturbances

# In some installations nothing can be served for most of the time.
MIN_STARTS = 20
FIRST_SEED = int(os.environ.get("TAKEOVER_SEED", "0"))
SEEDS = max(5, settings.default.max_examples // 20)


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))
def test_tasks_run_once_at_a_time_whatever_happens_to_leaders(
    seed: int, short_times: None
) -> None:
    """Guards against a second run of a task after leaders of groups have changed."""
    disturbances = Disturbances(seed)
    disturbances.run()
    assert disturbances.site.counts["started"] >= MIN_STARTS
