"""The dispatcher of durable jobs: capacity, attempts, ends and refusals."""

from __future__ import annotations

import pytest

from boragetide.durable import (
    EndReason,
    JobRecord,
    ListedEnd,
    Resources,
    Step,
)
from boragetide.messages import (
    LookUpDurableJob,
    ReplyStatus,
    ReportServer,
    SubmitDurableJob,
    Tick,
)
from boragetide.policy import job_table
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    BORN,
    CALLER,
    NEEDS,
    Leader,
    list_end,
    list_run,
    make_durable_job,
    make_report,
    make_task_ref,
    submit,
)


def test_capacity_is_never_exceeded(leader: Leader) -> None:
    """Guards against a third task of 27 cores on a backend server with 64 cores."""
    submit(leader, job_id="j1")
    submit(leader, job_id="j2")
    assert leader.starts() == []
    assert leader.state.servers_by_id["s1"].free_resources == Resources(10_000, 99_872)


def test_end_of_a_run_gives_its_room_to_the_next_task(leader: Leader) -> None:
    """Guards against freed capacity that stays idle until the next tick."""
    submit(leader, job_id="j1")
    first, second = leader.starts()
    submit(leader, job_id="j2")
    leader.answer(first)
    leader.answer(second)
    leader.list_runs(running=(list_run(second),), ended=(list_end(first, 1),))
    assert [start.task.job_id for start in leader.starts()] == ["j2"]


def test_failed_attempts_end_the_job_as_failed(leader: Leader) -> None:
    """Guards against unlimited attempts because failed runs are not counted."""
    submit(leader, attempts=2)
    first, second = leader.starts()
    leader.answer(first)
    leader.answer(second)
    leader.join("s2")
    failed = list_end(first, 1, EndReason.FAILED)
    leader.list_runs(running=(list_run(second),), ended=(failed,))
    (again,) = leader.starts()
    assert (again.server, again.run) == ("s2", first.run + 1)
    leader.answer(again)
    failed = list_end(again, 1, EndReason.FAILED)
    leader.list_runs("s2", ended=(failed,))
    assert [reply.state for reply in leader.replies()] == ["failed"]
    assert [stop.run for stop in leader.stops()] == [second.run]


def test_restart_of_a_server_keeps_an_end_that_is_on_its_way(leader: Leader) -> None:
    """Guards against a second run of a task whose end is still being committed."""
    job = make_durable_job()
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER))
    (accepted,) = leader.appended()
    leader.commit(accepted)
    first, second = leader.starts()
    leader.answer(first)
    leader.answer(second)
    leader.list_runs(ended=(list_end(first, 1),), running=(list_run(second),))
    (ends,) = leader.appended()
    report = make_report(born=BORN + 5)
    leader.handle(ReportServer(report=report, reply_to=CALLER), BEGIN + 0.1)
    leader.list_runs(born=BORN + 5, now=BEGIN + 0.2)
    assert [start.task for start in leader.starts()] == [second.task]
    leader.commit(ends, BEGIN + 0.3)
    assert leader.state.server_by_task.keys() == {(job.id, second.number)}


def test_ends_that_come_in_parts_are_all_acknowledged(leader: Leader) -> None:
    """Guards against a backend server whose list of ends never becomes shorter."""
    tasks = [
        ListedEnd(n, make_task_ref(f"x{n}", 0), 1, EndReason.DONE)
        for n in range(1, 601)
    ]
    leader.list_runs(ended=tuple(tasks[:500]), now=BEGIN + 0.1)
    (question,) = leader.reads()
    assert question.acknowledged == 500
    leader.list_runs(ended=tuple(tasks[500:]), now=BEGIN + 0.2)
    (question,) = leader.reads()
    assert question.acknowledged == 600


def test_draining_server_gets_nothing_new(leader: Leader) -> None:
    """Guards against new runs on a backend server after its drain was acknowledged."""
    draining = make_report(sequence=2, draining=True)
    leader.handle(ReportServer(report=draining, passed_on=True))
    submit(leader)
    assert leader.starts() == []


def test_durable_job_is_accepted_only_when_it_is_kept(leader: Leader) -> None:
    """Guards against an acknowledged job that is lost together with its leader."""
    job = make_durable_job()
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER))
    assert (leader.replies(), leader.starts()) == ([], [])
    (accepted,) = leader.appended()
    leader.commit(accepted)
    assert [reply.status for reply in leader.replies()] == [ReplyStatus.ACCEPTED]
    assert len(leader.starts()) == 2


def test_end_is_acknowledged_only_when_it_is_kept(leader: Leader) -> None:
    """Guards against an end that neither the backend server nor the log keeps."""
    leader.handle(SubmitDurableJob(job=make_durable_job(), reply_to=CALLER))
    (accepted,) = leader.appended()
    leader.commit(accepted)
    first, second = leader.starts()
    leader.answer(first)
    leader.answer(second)
    ends = (list_end(first, 1), list_end(second, 2))
    leader.list_runs(ended=ends)
    (kept,) = leader.appended()
    leader.handle(Tick(), BEGIN + 0.9)
    assert [read.acknowledged for read in leader.reads()] in ([], [0])
    leader.handle(LookUpDurableJob(id="j1", reply_to=CALLER))
    assert leader.replies()[0].state == "running"
    leader.state.servers_by_id["s1"].reading = False
    leader.commit(kept)
    assert [read.acknowledged for read in leader.reads()] == [2]
    leader.handle(LookUpDurableJob(id="j1", reply_to=CALLER))
    assert leader.replies()[0].state == "succeeded"


def test_job_that_fits_no_server_is_refused_at_once(leader: Leader) -> None:
    """Guards against a caller that waits for a job that can never run."""
    step = Step(1, Resources(70_000, 64), 0.2)
    job = make_durable_job("j1", step, best_effort=True)
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER))
    assert [reply.status for reply in leader.replies()] == [ReplyStatus.REFUSED]


def test_next_attempt_goes_to_another_server(leader: Leader) -> None:
    """Guards against spending all attempts of a task on one faulty backend server."""
    submit(leader)
    first, second = leader.starts()
    leader.answer(first)
    leader.answer(second)
    leader.join("s2")
    failed = list_end(first, 1, EndReason.FAILED)
    leader.list_runs(running=(list_run(second),), ended=(failed,))
    assert [start.server for start in leader.starts()] == ["s2"]


def test_ended_jobs_leave_nothing_behind(leader: Leader) -> None:
    """Guards against memory that grows with the number of jobs a leader has run."""
    submit(leader)
    first, second = leader.starts()
    leader.answer(first)
    leader.answer(second)
    leader.list_runs(ended=(list_end(first, 1), list_end(second, 2)))
    leader.handle(Tick(), BEGIN + 2 * job_table.BEST_EFFORT_RETENTION)
    state = leader.state
    assert not (state.records_by_id or state.run_number_by_task or state.server_by_task)
    assert not (state.active or state.started or state.waiters_by_job)
    assert not (state.queue.waiting_by_id or state.overdue_stopped_tasks)


@pytest.mark.parametrize(
    "blocking",
    [Step(1, NEEDS, 0.2, required_label="lost"), Step(1, Resources(60_000), 0.2)],
    ids=["label", "cores"],
)
def test_job_starts_behind_jobs_that_wait_for_a_lost_server(
    settings: Settings, blocking: Step
) -> None:
    """Guards against accepted jobs that never start beside idle backend servers."""
    waiting = [
        make_durable_job(f"w{number:02}", blocking, submitted_at=BEGIN - 60.0)
        for number in range(30)
    ]
    job = make_durable_job("j1", Step(1, NEEDS, 0.2), submitted_at=BEGIN - 50.0)
    leader = Leader(settings)
    leader.lead(records=tuple(JobRecord(each) for each in [*waiting, job]))
    leader.join("s1", capacity=Resources(30_000, 100_000), labels=("a",))
    assert [start.task.job_id for start in leader.starts()] == ["j1"]


def test_job_starts_behind_jobs_that_run_as_often_as_a_server_may_run_them(
    settings: Settings,
) -> None:
    """Guards against jobs that wait behind tasks that may not run on a server yet."""
    limited = Step(2, Resources(1_000, 64), 60.0, max_per_server=1)
    waiting = [
        make_durable_job(f"w{number:02}", limited, submitted_at=BEGIN - 300.0)
        for number in range(30)
    ]
    job = make_durable_job("x1", Step(1, NEEDS, 0.2), submitted_at=BEGIN - 50.0)
    leader = Leader(settings)
    leader.lead(records=tuple(JobRecord(each) for each in [*waiting, job]))
    leader.join("s1")
    assert "x1" in [start.task.job_id for start in leader.starts()]
