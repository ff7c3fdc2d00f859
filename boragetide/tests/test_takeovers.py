"""The dispatcher at a change of the leader: takeover, fences, authority."""

from __future__ import annotations

from dataclasses import replace

import pytest

from boragetide.controllers.takeover import LEASE_EXPIRY_WAIT
from boragetide.durable import (
    EndReason,
    JobRecord,
    ListedEnd,
    ListedRun,
    Resources,
    Step,
)
from boragetide.messages import (
    AuthorityExtended,
    LeadershipLost,
    LookUpDurableJob,
    OrderResult,
    ReadFailed,
    ReplyStatus,
    ReportServer,
    SubmitDurableJob,
    Tick,
)
from boragetide.policy.fencing import get_term
from boragetide.policy.scheduling import expires_at
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    CALLER,
    NEEDS,
    PREDECESSOR_AUTHORITY,
    Leader,
    list_end,
    list_run,
    make_durable_job,
    make_report,
    make_task_ref,
    submit,
)


def test_end_of_an_earlier_leaders_run_leaves_nothing_behind(leader: Leader) -> None:
    """Guards against a leftover entry that fails when the server restarts later."""
    submit(leader, submitted_at=BEGIN)
    first, second = leader.starts()
    leader.answer(first, OrderResult.NO_ROOM)
    leader.answer(second, OrderResult.NO_ROOM)
    leader.list_runs(ended=(list_end(first, 1),), now=BEGIN + 0.1)
    assert (first.task.job_id, first.number) not in leader.state.server_by_task


def test_takeover_ends_with_the_leadership(settings: Settings) -> None:
    """Guards against an instance that completes a takeover after losing leadership."""
    leader = Leader(settings, term=2)
    leader.lead()
    leader.handle(ReportServer(report=make_report(), reply_to=CALLER))
    leader.handle(LeadershipLost(), BEGIN + 0.1)
    leader.list_runs(now=BEGIN + 0.2)
    assert leader.effects == []
    assert not leader.state.takeover_complete


def test_late_job_that_an_earlier_leader_started_goes_on(settings: Settings) -> None:
    """Guards against refusing an expired job while one of its tasks is running."""
    leader = Leader(settings, term=2)
    leader.lead()
    job = make_durable_job(best_effort=True, submitted_at=BEGIN)
    listed = ListedRun(make_task_ref(job.id, 0), 1)
    leader.handle(ReportServer(report=make_report(), reply_to=CALLER))
    now = expires_at(job) + 0.1
    leader.list_runs(running=(listed,), now=now)
    age = now - job.submitted_at
    leader.handle(SubmitDurableJob(job=job, age=age, reply_to=CALLER), now)
    assert leader.replies() == []
    assert job.id in leader.state.records_by_id


def test_new_leader_waits_for_every_server_it_knows(settings: Settings) -> None:
    """Guards against a second run of a task that an earlier leader has started."""
    leader = Leader(settings, term=2)
    for server_id in ("s1", "s2"):
        leader.handle(ReportServer(report=make_report(server_id)))
    leader.lead()
    leader.list_runs("s1")
    submit(leader)
    assert leader.starts() == []
    leader.list_runs("s2")
    assert len(leader.starts()) == 2


def test_new_leader_waits_for_leases_on_a_server_out_of_reach(
    settings: Settings,
) -> None:
    """Guards against two runs of a task when an old leader's server cannot be asked."""
    leader = Leader(settings, term=2)
    for server_id in ("s1", "s2"):
        leader.handle(ReportServer(report=make_report(server_id)))
    leader.lead()
    leader.list_runs("s1")
    job = make_durable_job("j1", Step(2, NEEDS, 2.0), best_effort=True)
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER))
    leader.handle(ReadFailed("s2", 2), BEGIN + 0.5)
    leader.handle(Tick(), BEGIN + PREDECESSOR_AUTHORITY + LEASE_EXPIRY_WAIT - 0.1)
    assert leader.starts() == []
    leader.list_runs("s1", now=BEGIN + PREDECESSOR_AUTHORITY + LEASE_EXPIRY_WAIT + 0.1)
    assert len(leader.starts()) == 2


@pytest.fixture
def successor(settings: Settings) -> Leader:
    """A new leader that reads a run of unknown job j1 and an end of unknown job j2."""
    made = Leader(settings, term=2)
    made.handle(ReportServer(report=make_report()))
    made.lead()
    made.list_runs(
        running=(ListedRun(make_task_ref("j1", 0), 1),), ended=(list_end_of("j2"),)
    )
    return made


def test_run_of_an_unknown_job_goes_on_when_its_caller_asks_again(
    successor: Leader,
) -> None:
    """Guards against two runs of a best-effort task, and against discarding a run."""
    submit(successor)
    assert [start.task.index for start in successor.starts()] == [1]
    successor.list_runs(
        running=(list_run(successor.starts()[0]),),
        ended=(list_end_of("j2"), replace(list_end_of("j1"), number=2)),
        now=BEGIN + 0.1,
    )
    assert successor.state.records_by_id["j1"].done == {0}


def test_listed_end_counts_for_a_job_that_is_submitted_again(
    successor: Leader,
) -> None:
    """Guards against a second run of a task that ended under an earlier leader."""
    successor.join("s2")
    submit(successor, job_id="j2")
    assert [start.task.index for start in successor.starts()] == [1]


def test_run_without_a_waiting_caller_is_stopped(successor: Leader) -> None:
    """Guards against capacity that stays occupied for a caller that is gone."""
    listed = ListedRun(make_task_ref("j1", 0), 1)
    successor.list_runs(running=(listed,), now=BEGIN + 0.5)
    assert successor.stops() == []
    successor.list_runs(running=(listed,), now=BEGIN + 1.1)
    assert [stop.task for stop in successor.stops()] == [listed.task]


def test_nothing_is_started_beside_a_run_of_unknown_size(successor: Leader) -> None:
    """Guards against exceeding a server's capacity after a change of leader."""
    submit(successor, job_id="j3")
    assert successor.starts() == []


def test_run_numbers_of_a_new_term_are_higher(settings: Settings) -> None:
    """Guards against a new run that a backend server refuses because of its number."""
    leader = Leader(settings, term=3)
    leader.lead()
    leader.join()
    submit(leader)
    assert {start.run for start in leader.starts()} == {2001}
    assert {get_term(start.fence) for start in leader.starts()} == {3}


def test_fenced_leader_gives_no_more_orders(leader: Leader) -> None:
    """Guards against an old leader that still gives orders beside a new one."""
    submit(leader, job_id="j1")
    start = leader.starts()[0]
    leader.answer(start, OrderResult.FENCED)
    leader.handle(Tick(), BEGIN + 0.1)
    assert (leader.starts(), leader.reads()) == ([], [])
    leader.handle(LookUpDurableJob(id="j1", reply_to=CALLER))
    assert leader.replies()[0].status is ReplyStatus.NOT_LEADER


def test_fence_counts_although_the_run_is_gone(leader: Leader) -> None:
    """Guards against orders of an old leader that has lost sight of a run."""
    submit(leader, job_id="j1")
    starts = leader.starts()
    for start in starts:
        leader.answer(start)
    (first, *_) = starts
    leader.list_runs(ended=(list_end(first, 1, EndReason.STOPPED),), now=BEGIN + 0.1)
    leader.answer(first, OrderResult.FENCED, now=BEGIN + 0.2)
    leader.handle(LookUpDurableJob(id="j1", reply_to=CALLER), BEGIN + 0.2)
    assert leader.replies()[0].status is ReplyStatus.NOT_LEADER


def test_extension_does_not_undo_a_fence(leader: Leader) -> None:
    """Guards against orders of a fenced leader whose log does not know it yet."""
    submit(leader, job_id="j1")
    leader.answer(leader.starts()[0], OrderResult.FENCED)
    leader.handle(AuthorityExtended(leader.term, BEGIN + 9.0), BEGIN + 0.1)
    leader.handle(Tick(), BEGIN + 0.1)
    assert (leader.starts(), leader.reads()) == ([], [])
    leader.handle(LookUpDurableJob(id="j1", reply_to=CALLER), BEGIN + 0.1)
    assert leader.replies()[0].status is ReplyStatus.NOT_LEADER


def test_extension_counts_for_its_term_alone(leader: Leader) -> None:
    """Guards against authority that was granted to an earlier term."""
    fenced_term = leader.term
    submit(leader, job_id="j1")
    leader.answer(leader.starts()[0], OrderResult.FENCED)
    leader.term = fenced_term + 2
    leader.lead(BEGIN + 1.0)
    until = leader.state.authority_until
    leader.handle(AuthorityExtended(fenced_term, until + 9.0), BEGIN + 1.1)
    assert leader.state.authority_until == until
    leader.handle(AuthorityExtended(leader.term, until + 1.0), BEGIN + 1.1)
    assert leader.state.authority_until == until + 1.0


def test_leader_without_authority_neither_starts_nor_answers(
    settings: Settings,
) -> None:
    """Guards against a paused leader that resumes after another one was elected."""
    leader = Leader(settings)
    leader.lead()
    leader.join()
    leader.state.authority_until = BEGIN + 0.8
    job = make_durable_job()
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER), BEGIN + 0.9)
    assert leader.replies()[0].status is ReplyStatus.NOT_LEADER
    assert leader.starts() == []


def test_lost_leadership_leaves_requests_undecided(leader: Leader) -> None:
    """Guards against reporting a job as refused although its tasks may have run."""
    submit(leader)
    leader.handle(LeadershipLost())
    assert [reply.status for reply in leader.replies()] == [ReplyStatus.UNDECIDED]


def test_end_under_an_earlier_leader_is_kept_and_not_run_again(
    settings: Settings,
) -> None:
    """Guards against a second run of a task that was done under an earlier leader."""
    leader = Leader(settings, term=2)
    leader.handle(ReportServer(report=make_report()))
    leader.lead(records=(JobRecord(make_durable_job()),))
    done = replace(list_end_of("j1"), run=4)
    leader.list_runs(ended=(done,))
    assert [start.task.index for start in leader.starts()] == [1]
    (appended,) = leader.appended()
    (command,) = appended.message.commands_by_id.values()
    assert [(end.task, end.run, end.failed) for end in command.ends] == [(0, 4, False)]


def list_end_of(job_id: str) -> ListedEnd:
    return ListedEnd(1, make_task_ref(job_id, 0), 1, EndReason.DONE)


def begin_takeover(settings: Settings) -> Leader:
    """Return a new leader that has read the runs of one of its two backend servers."""
    leader = Leader(settings, term=2)
    for server_id in ("s1", "s2"):
        leader.handle(ReportServer(report=make_report(server_id)))
    leader.lead()
    leader.list_runs("s1")
    return leader


@pytest.mark.parametrize("is_queued", [True, False], ids=["queued", "arrives_late"])
def test_expired_job_is_not_refused_before_all_earlier_runs_are_known(
    settings: Settings, is_queued: bool
) -> None:
    """Guards against a refusal of a job that an earlier leader has started."""
    leader = begin_takeover(settings)
    job = make_durable_job(best_effort=True)
    now = expires_at(job) + 0.1
    sent_at = BEGIN if is_queued else now
    age = sent_at - BEGIN
    message = SubmitDurableJob(job=job, age=age, attempt=2, reply_to=CALLER)
    leader.handle(message, sent_at)
    assert leader.replies() == []
    leader.handle(Tick(), now)
    assert leader.replies() == []
    listed = ListedRun(make_task_ref(job.id, 0), 1)
    leader.list_runs("s2", running=(listed,), now=now + 0.1)
    leader.handle(Tick(), now + 0.2)
    assert leader.replies() == []
    assert job.id in leader.state.started


def test_expired_job_is_refused_once_no_earlier_leader_runs_it(
    settings: Settings,
) -> None:
    """Guards against a caller that waits for an expired job after the takeover."""
    leader = begin_takeover(settings)
    job = make_durable_job(best_effort=True)
    now = expires_at(job) + 0.1
    age = now - BEGIN
    leader.handle(SubmitDurableJob(job=job, age=age, reply_to=CALLER), now)
    leader.list_runs("s2", now=now + 0.1)
    assert [reply.status for reply in leader.replies()] == [ReplyStatus.REFUSED]
    assert leader.starts() == []


def test_job_that_fits_no_known_server_is_not_refused_during_a_takeover(
    settings: Settings,
) -> None:
    """Guards against a refusal of a job that runs on a server not yet heard of."""
    leader = begin_takeover(settings)
    large = Step(1, Resources(70_000, 64), 0.2)
    job = make_durable_job("j1", large, best_effort=True)
    leader.handle(SubmitDurableJob(job=job, attempt=2, reply_to=CALLER))
    (reply,) = leader.replies()
    # The edge asks again only without a term.
    assert (reply.status, reply.term) == (ReplyStatus.UNDECIDED, 0)


def test_void_copy_is_undecided_during_a_takeover(settings: Settings) -> None:
    """Guards against a refusal by a note from an earlier term of the same instance."""
    leader = begin_takeover(settings)
    leader.state.fence.void("j1", BEGIN)
    job = make_durable_job(best_effort=True)
    copy = SubmitDurableJob(job=job, submitted_at=BEGIN - 0.1, reply_to=CALLER)
    leader.handle(copy, BEGIN + 0.1)
    assert [reply.status for reply in leader.replies()] == [ReplyStatus.UNDECIDED]
    assert "j1" not in leader.state.records_by_id


def test_job_whose_run_is_known_is_not_refused_because_its_server_leaves(
    successor: Leader,
) -> None:
    """Guards against a refusal of a job that runs in an evacuated zone."""
    successor.state.servers_by_id["s1"].evacuated = True
    assert successor.state.takeover_complete
    large = Step(1, Resources(70_000, 64), 0.2)
    job = make_durable_job("j1", large, best_effort=True)
    successor.handle(SubmitDurableJob(job=job, attempt=2, reply_to=CALLER))
    assert successor.replies() == []
    assert "j1" in successor.state.started
