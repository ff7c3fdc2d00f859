"""Pauses of backend servers after failed runs."""

from __future__ import annotations

import pytest

from boragetide.controllers.server_health import (
    FIRST_FAILURE_COOLDOWN,
    MAX_FAILURE_COOLDOWN,
    record_outcome,
)
from boragetide.durable import EndReason, ListedEnd, Resources, Step
from boragetide.messages import SubmitDurableJob, Tick
from boragetide.tests.durable_fixtures import (
    BEGIN,
    CALLER,
    Leader,
    make_durable_job,
)

# A power of 4 with a larger exponent cannot be converted to a floating-point number.
OVERFLOWING_COUNT = 512
SMALL_STEP = Step(50, Resources(10, 1), 1.0)


@pytest.mark.parametrize("failures", [OVERFLOWING_COUNT + 1, 20_000])
def test_server_may_fail_any_number_of_runs_in_a_row(
    leader: Leader, failures: int
) -> None:
    """Guards against an overflow that ends the leader's process, and the next one's."""
    server = leader.state.servers_by_id["s1"]
    for number in range(failures):
        record_outcome(server, failed=True, now=BEGIN + number)
    pause = server.cooldown_until - (BEGIN + failures - 1)
    assert pause == MAX_FAILURE_COOLDOWN
    record_outcome(server, failed=False, now=BEGIN)
    record_outcome(server, failed=True, now=BEGIN)
    assert server.cooldown_until == BEGIN + FIRST_FAILURE_COOLDOWN


@pytest.mark.parametrize(("jobs", "list_size"), [(11, 50), (22, 500), (11, 1)], ids=str)
def test_lists_of_failed_ends_leave_the_leader_running(
    leader: Leader, jobs: int, list_size: int
) -> None:
    """Guards against a server whose lists end each leader that reads them."""
    for number in range(jobs):
        job = make_durable_job(f"j{number}", SMALL_STEP, attempts=9, best_effort=True)
        leader.handle(SubmitDurableJob(job=job, reply_to=CALLER))
        starts = leader.starts()
        assert len(starts) == SMALL_STEP.count
        for start in starts:
            leader.answer(start)
    runs = list(leader.state.servers_by_id["s1"].runs_by_task.values())
    ends = tuple(
        ListedEnd(number, run.ref, run.number, EndReason.FAILED)
        for number, run in enumerate(runs, start=1)
    )
    now = BEGIN
    for first in range(0, len(ends), list_size):
        now += 0.001
        leader.list_runs(
            ended=ends[first : first + list_size],
            running=(),
            now=now,
            sent_at=BEGIN - 1.0,
        )
    leader.handle(Tick(), now)
    server = leader.state.servers_by_id["s1"]
    assert server.consecutive_failures == len(ends) > OVERFLOWING_COUNT
