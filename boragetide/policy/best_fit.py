"""Order of similarly urgent jobs that leaves little room unused.

The largest task that fits leaves the smallest gap, and a gap that is left by a small
task first is often too small for any other. Among jobs of similar urgency those whose
tasks need more cores therefore go first.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
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
    if waiting_jobs[0].lane is waiting_jobs[-1].lane:
        return _sort(waiting_jobs, advance)
    ordered: list[WaitingJob] = []
    for _, of_lane in groupby(waiting_jobs, key=lambda waiting: id(waiting.lane)):
        ordered += _sort(of_lane, advance)
    return ordered


def _sort(waiting_jobs: Iterable[WaitingJob], advance: float) -> list[WaitingJob]:
    """Return jobs of one lane by their rank less what their needs advance it."""
    ranked = [
        (_find_rank(waiting, advance), number, waiting)
        for number, waiting in enumerate(waiting_jobs)
    ]
    ranked.sort()
    return [waiting for _, _, waiting in ranked]


def _find_rank(waiting: WaitingJob, advance: float) -> float:
    """Return a rank that is advanced by the needs, unless it is a share of the work."""
    if not waiting.is_ranked_by_time:
        return waiting.entry[0]
    return waiting.entry[0] - advance * waiting.least_needs.millicores
