"""Order of similarly urgent jobs that leaves little room unused.

The largest task that fits leaves the smallest gap, and a gap that is left by a small
task first is often too small for any other. Among jobs of similar urgency those whose
tasks need more cores therefore go first.
"""

from __future__ import annotations

from collections.abc import Sequence
from itertools import groupby

from boragetide.policy.job_queue import WaitingJob
from boragetide.types import Seconds

# The job with the largest need among those compared is ranked as if it were this much
# more urgent, and one with half that need as if it were half as much. A job is thus
# overtaken only by jobs that are less urgent by at most this time.
FIT_ADVANCE: Seconds = 0.15


def order_by_fit(waiting_jobs: Sequence[WaitingJob]) -> list[WaitingJob]:
    """Return jobs of scheduling order with larger needs first if similarly urgent.

    Jobs that can still be in time stay before those that are late.
    """
    if len(waiting_jobs) < 2:
        return list(waiting_jobs)
    largest = max([waiting.least_needs.millicores for waiting in waiting_jobs])
    advance = FIT_ADVANCE / max(largest, 1)
    ordered: list[WaitingJob] = []
    for _, of_lane in groupby(waiting_jobs, key=lambda waiting: id(waiting.lane)):
        ordered += sorted(
            of_lane,
            key=lambda waiting: (
                waiting.entry[0] - advance * waiting.least_needs.millicores
            ),
        )
    return ordered
