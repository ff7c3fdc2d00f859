"""Lists of a backend server that do not hold all ends."""

from __future__ import annotations

import pytest

from boragetide.commands import RecordEnds
from boragetide.controllers.runs import PARTIAL_LIST_PAUSE
from boragetide.durable import EndReason, JobPhase, ListedEnd, Resources, Step
from boragetide.effects import StartRun
from boragetide.links.run_lists import MAX_LISTED_ENDS, RowTypes, read_run_lists
from boragetide.messages import LeadershipLost, SubmitDurableJob, Tick
from boragetide.tests.durable_fixtures import (
    BEGIN,
    CALLER,
    Leader,
    make_durable_job,
)

SMALL_STEP = Step(50, Resources(10, 1), 1.0)


def run_jobs(leader: Leader, jobs: int, *, best_effort: bool) -> list[StartRun]:
    """Submit jobs of small tasks; return the starts, which are all answered."""
    starts: list[StartRun] = []
    for number in range(jobs):
        job = make_durable_job(f"j{number}", SMALL_STEP, best_effort=best_effort)
        leader.handle(SubmitDurableJob(job=job, reply_to=CALLER))
        for accepted in leader.appended():
            leader.commit(accepted)
        new = leader.starts()
        starts += new
        for start in new:
            leader.answer(start)
    return starts


def make_ends(starts: list[StartRun]) -> tuple[ListedEnd, ...]:
    """Build the ends of runs that are all done."""
    return tuple(
        ListedEnd(number, start.task, start.run, EndReason.DONE)
        for number, start in enumerate(starts, start=1)
    )


@pytest.mark.parametrize("best_effort", [False, True])
@pytest.mark.parametrize("jobs", [11, 21])
def test_run_whose_end_follows_in_the_next_list_is_not_started_again(
    leader: Leader, best_effort: bool, jobs: int
) -> None:
    """Guards against a second run of a task that is done (TWICE)."""
    starts = run_jobs(leader, jobs, best_effort=best_effort)
    ends = make_ends(starts)
    now = BEGIN + 0.5
    again: list[StartRun] = []
    while ends:
        part, ends = ends[:MAX_LISTED_ENDS], ends[MAX_LISTED_ENDS:]
        is_partial = len(part) == MAX_LISTED_ENDS
        leader.list_runs(ended=part, is_partial=is_partial, now=now)
        again += leader.starts()
        for stored in leader.appended():
            leader.commit(stored, now)
            again += leader.starts()
        now += PARTIAL_LIST_PAUSE + 0.01
        leader.handle(Tick(), now)
        again += leader.starts()
    assert again == []
    phases = {record.phase for record in leader.state.records_by_id.values()}
    assert phases == {JobPhase.SUCCEEDED}


def test_next_leader_starts_nothing_before_it_has_read_all_ends(
    leader: Leader,
) -> None:
    """Guards against a second run after a takeover, at a server with many ends."""
    starts = run_jobs(leader, 11, best_effort=False)
    ends = make_ends(starts)
    leader.handle(LeadershipLost())
    leader.term = 2
    now = BEGIN + 1.0
    leader.lead(now, tuple(leader.catalogue.jobs_by_id.values()))
    leader.list_runs(ended=ends[:MAX_LISTED_ENDS], is_partial=True, now=now)
    (stored,) = leader.appended()
    assert leader.starts() == []
    assert isinstance(next(iter(stored.message.commands_by_id.values())), RecordEnds)
    leader.commit(stored, now)
    assert leader.starts() == []
    now += PARTIAL_LIST_PAUSE + 0.01
    leader.handle(Tick(), now)
    (question,) = leader.reads()
    assert question.acknowledged == MAX_LISTED_ENDS
    leader.list_runs(ended=ends[MAX_LISTED_ENDS:], now=now)
    (stored,) = leader.appended()
    assert leader.starts() == []
    leader.commit(stored, now)
    assert leader.starts() == []
    phases = {record.phase for record in leader.state.records_by_id.values()}
    assert phases == {JobPhase.SUCCEEDED}


def test_partial_list_is_not_asked_for_again_before_its_ends_are_kept(
    leader: Leader,
) -> None:
    """Guards against requests without a pause, each answered with the same ends."""
    starts = run_jobs(leader, 11, best_effort=False)
    ends = make_ends(starts)
    leader.list_runs(ended=ends[:MAX_LISTED_ENDS], is_partial=True, now=BEGIN + 0.5)
    assert leader.reads() == []


@pytest.mark.parametrize("count", [MAX_LISTED_ENDS - 1, MAX_LISTED_ENDS])
def test_full_list_may_not_hold_all_ends(count: int) -> None:
    """Guards against a full list that is taken for a complete one."""
    rows = [None] * count
    types = RowTypes(run=int, task=int, end=int, number=int)
    assert read_run_lists((), rows, types).is_partial is (count == MAX_LISTED_ENDS)
