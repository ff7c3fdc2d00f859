"""The dispatcher of durable jobs: runs, leases, takeover, best-effort jobs."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from boragetide.commands import AcceptJob, RecordEnds
from boragetide.controllers.orders import STOP_RETRY_DELAY
from boragetide.controllers.placing_runs import LEASE_EXPIRY_WAIT
from boragetide.controllers.refusals import REASON_TOO_LATE
from boragetide.controllers.server_state import LEASE_DURATION
from boragetide.durable import (
    EndReason,
    JobPhase,
    JobRecord,
    ListedEnd,
    ListedRun,
    Resources,
    Step,
)
from boragetide.effects import Send, StartRun
from boragetide.messages import (
    AppendCommands,
    AuthorityExtended,
    CancelDurableJob,
    JobsCommitted,
    LeadershipLost,
    LookUpDurableJob,
    OrderResult,
    ReadFailed,
    ReplyStatus,
    ReportServer,
    SubmitDurableJob,
    Tick,
    WithdrawSubmissions,
)
from boragetide.messages.common import add_arrival_time
from boragetide.policy import job_table
from boragetide.policy.fencing import get_term
from boragetide.policy.scheduling import expires_at
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    BORN,
    NEEDS,
    PREDECESSOR_AUTHORITY,
    Leader,
    list_end,
    list_run,
    make_durable_job,
    make_report,
    make_task_ref,
)
from boragetide.types import ReplyTo

CALLER = ReplyTo("e1", 7)


@pytest.fixture
def leader(settings: Settings) -> Leader:
    """A leader with one backend server that has capacity for two tasks."""
    made = Leader(settings)
    made.lead()
    made.join()
    return made


def submit(leader: Leader, **fields: Any) -> None:
    job = make_durable_job(best_effort=True, **fields)
    age = BEGIN - job.submitted_at
    leader.handle(SubmitDurableJob(job=job, age=age, reply_to=CALLER))


def find_append(leader: Leader) -> AppendCommands:
    (message,) = [
        effect.message
        for effect in leader.effects
        if isinstance(effect, Send) and isinstance(effect.message, AppendCommands)
    ]
    return message


def commit(leader: Leader, message: AppendCommands, now: float = BEGIN) -> None:
    """Apply commands as the replicated log does and notify the dispatcher."""
    records = leader.state.records_by_id.copy()
    changed = set()
    for command in message.commands_by_id.values():
        if isinstance(command, AcceptJob):
            changed |= job_table.accept_job(records, command.job, now)
        if isinstance(command, RecordEnds):
            changed |= job_table.record_ends(records, command.ends, now)
    committed = tuple(records[job_id] for job_id in sorted(changed))
    leader.handle(JobsCommitted(tuple(message.commands_by_id), committed), now)


def test_best_effort_job_starts_at_once_and_is_answered_at_its_end(
    leader: Leader,
) -> None:
    """Guards against an answer before the job ended, and a wait for the log."""
    submit(leader)
    first, second = leader.starts()
    assert leader.replies() == []
    for start in (first, second):
        leader.answer(start)
    leader.list_runs(running=(list_run(second),), ended=(list_end(first, 1),))
    assert leader.replies() == []
    leader.list_runs(ended=(list_end(first, 1), list_end(second, 2)))
    (reply,) = leader.replies()
    assert (reply.status, reply.state) == (ReplyStatus.ACCEPTED, "succeeded")


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


def test_unanswered_start_occupies_its_task_until_the_server_tells(
    leader: Leader,
) -> None:
    """Guards against two runs of one task when a server carries out a start late."""
    leader.join("s2")
    submit(leader)
    first, second = leader.starts()
    leader.answer(second)
    lose_start(leader, first)
    assert leader.starts() == []
    (stop,) = leader.stops()
    leader.handle(Tick(), BEGIN + 0.1)
    assert leader.starts() == []
    leader.answer(stop, now=BEGIN + 0.2)
    running = (list_run(second),) if second.server == stop.server else ()
    leader.list_runs(stop.server, running=running, now=BEGIN + 0.3)
    assert [start.task for start in leader.starts()] == [first.task]


def test_silent_server_is_used_again_after_its_runs_lapsed(leader: Leader) -> None:
    """Guards against a backend server that stays unused after a lost answer."""
    submit(leader)
    for start in leader.starts():
        leader.answer(start)
    leader.handle(ReadFailed("s1", 1), BEGIN + 0.1)
    leader.handle(Tick(), BEGIN + 2.0)
    leader.handle(ReadFailed("s1", 1), BEGIN + 2.1)
    submit(leader, job_id="j2", submitted_at=BEGIN + 2.1)
    leader.handle(Tick(), BEGIN + 2.5)
    (question,) = leader.reads()
    assert question.server == "s1"
    leader.list_runs(now=BEGIN + 2.6)
    assert {start.server for start in leader.starts()} == {"s1"}


def lose_start(leader: Leader, start: StartRun) -> None:
    """Lose the answers to a start and to its repetition."""
    leader.answer(start, OrderResult.UNANSWERED)
    (repeated,) = leader.starts()
    leader.answer(repeated, OrderResult.UNANSWERED)


def test_unanswered_start_is_repeated_with_the_same_number(leader: Leader) -> None:
    """Guards against stopping a run because the answer to its start was lost."""
    submit(leader)
    first, second = leader.starts()
    leader.answer(second)
    leader.answer(first, OrderResult.UNANSWERED, now=BEGIN + 0.2)
    (again,) = leader.starts()
    assert leader.stops() == []
    assert (again.task, again.run, again.server) == (
        first.task,
        first.run,
        first.server,
    )
    leader.answer(again, now=BEGIN + 0.3)
    leader.list_runs(running=(list_run(first), list_run(second)), now=BEGIN + 0.4)
    assert (leader.starts(), leader.stops()) == ([], [])


def test_repeated_start_of_a_run_that_ended_waits_for_its_end(leader: Leader) -> None:
    """Guards against a second run of a task that ended, before its end is listed."""
    submit(leader)
    first, second = leader.starts()
    leader.answer(second)
    leader.answer(first, OrderResult.UNANSWERED, now=BEGIN + 0.2)
    leader.answer(first, OrderResult.OLD_RUN, now=BEGIN + 0.3)
    assert leader.starts() == []
    leader.list_runs(
        running=(list_run(second),), ended=(list_end(first, 1),), now=BEGIN + 0.4
    )
    assert leader.starts() == []
    assert leader.state.records_by_id["j1"].done == {first.number}


def test_refused_repetition_of_a_start_is_stopped_first(leader: Leader) -> None:
    """Guards against two runs of a task: the first start may still be carried out."""
    submit(leader)
    first, second = leader.starts()
    leader.answer(second)
    leader.answer(first, OrderResult.UNANSWERED, now=BEGIN + 0.2)
    leader.answer(first, OrderResult.NO_ROOM, now=BEGIN + 0.3)
    assert leader.starts() == []
    assert [stop.task for stop in leader.stops()] == [first.task]


def test_unanswered_start_that_is_listed_goes_on(leader: Leader) -> None:
    """Guards against stopping a listed run because the answer to its start was lost."""
    submit(leader)
    first, second = leader.starts()
    leader.answer(second)
    leader.list_runs(running=(list_run(first), list_run(second)), now=BEGIN + 0.1)
    leader.answer(first, OrderResult.UNANSWERED, now=BEGIN + 0.2)
    assert (leader.starts(), leader.stops()) == ([], [])


def test_restart_of_a_server_keeps_an_end_that_is_on_its_way(leader: Leader) -> None:
    """Guards against a second run of a task whose end is still being committed."""
    job = make_durable_job()
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER))
    commit(leader, find_append(leader))
    first, second = leader.starts()
    leader.answer(first)
    leader.answer(second)
    leader.list_runs(ended=(list_end(first, 1),), running=(list_run(second),))
    ends = find_append(leader)
    report = make_report(born=BORN + 5)
    leader.handle(ReportServer(report=report, reply_to=CALLER), BEGIN + 0.1)
    leader.list_runs(born=BORN + 5, now=BEGIN + 0.2)
    assert [start.task for start in leader.starts()] == [second.task]
    commit(leader, ends, BEGIN + 0.3)
    assert leader.state.server_by_task.keys() == {(job.id, second.number)}


def test_end_of_an_earlier_leaders_run_leaves_nothing_behind(leader: Leader) -> None:
    """Guards against a leftover entry that fails when the server restarts later."""
    submit(leader, submitted_at=BEGIN)
    first, second = leader.starts()
    leader.answer(first, OrderResult.NO_ROOM)
    leader.answer(second, OrderResult.NO_ROOM)
    leader.list_runs(ended=(list_end(first, 1),), now=BEGIN + 0.1)
    assert (first.task.job_id, first.number) not in leader.state.server_by_task


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


def test_takeover_ends_with_the_leadership(settings: Settings) -> None:
    """Guards against an instance that completes a takeover after losing leadership."""
    leader = Leader(settings, term=2)
    leader.lead()
    leader.handle(ReportServer(report=make_report(), reply_to=CALLER))
    leader.handle(LeadershipLost(), BEGIN + 0.1)
    leader.list_runs(now=BEGIN + 0.2)
    assert leader.effects == []
    assert not leader.state.takeover_complete


def test_late_failure_of_an_old_run_leaves_the_new_one_alone(leader: Leader) -> None:
    """Guards against a second run of a task while another one is in progress."""
    submit(leader, attempts=4)
    first, second = leader.starts()
    leader.answer(second)
    leader.answer(first, OrderResult.NO_ROOM)
    leader.handle(Tick(), BEGIN + 1.1)
    assert [start.task for start in leader.starts()] == [first.task]
    failure = list_end(first, 1, EndReason.FAILED)
    running = (list_run(second),)
    leader.list_runs(running=running, ended=(failure,), now=BEGIN + 1.2)
    assert leader.starts() == []
    assert (first.task.job_id, first.number) in leader.state.server_by_task


def test_job_that_arrives_too_late_is_refused_at_once(leader: Leader) -> None:
    """Guards against an overloaded leader that starts jobs that have expired."""
    job = make_durable_job(best_effort=True, submitted_at=BEGIN)
    now = expires_at(job) + 0.1
    age = now - job.submitted_at
    leader.handle(SubmitDurableJob(job=job, age=age, reply_to=CALLER), now)
    (reply,) = leader.replies()
    assert (reply.status, reply.term) == (ReplyStatus.REFUSED, 1)
    assert leader.starts() == []
    assert leader.state.records_by_id == {}


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


@pytest.mark.parametrize("ahead", [-2.5, 2.5])
def test_clock_of_the_submitting_instance_may_be_seconds_off(
    leader: Leader, ahead: float
) -> None:
    """Guards against jobs that seem too late because an instance's clock is off."""
    job = make_durable_job(best_effort=True, submitted_at=BEGIN + ahead)
    leader.handle(SubmitDurableJob(job=job, age=0.25, reply_to=CALLER), BEGIN)
    assert len(leader.starts()) == 2
    assert leader.state.records_by_id["j1"].job.submitted_at == BEGIN - 0.25


def test_time_in_the_mailbox_counts_as_age(leader: Leader) -> None:
    """Guards against an overloaded leader that ignores the wait in its own mailbox."""
    job = make_durable_job(best_effort=True, submitted_at=BEGIN)
    submission = SubmitDurableJob(job=job, reply_to=CALLER)
    arrived = add_arrival_time(submission, BEGIN)
    leader.handle(arrived, expires_at(job) + 0.1)
    (reply,) = leader.replies()
    assert reply.status is ReplyStatus.REFUSED


def test_unanswered_stop_is_ordered_again(leader: Leader) -> None:
    """Guards against a task that waits forever after a start and a stop were lost."""
    submit(leader)
    first, second = leader.starts()
    leader.answer(second)
    lose_start(leader, first)
    (stop,) = leader.stops()
    leader.answer(stop, OrderResult.UNANSWERED, now=BEGIN + 0.2)
    leader.list_runs(running=(list_run(second),), now=BEGIN + 0.3)
    assert leader.starts() == []
    leader.handle(Tick(), BEGIN + 0.2 + STOP_RETRY_DELAY)
    (again,) = leader.stops()
    assert (again.task, again.run) == (stop.task, stop.run)
    leader.handle(Tick(), BEGIN + 0.4)
    assert leader.stops() == []
    leader.answer(again, OrderResult.OLD_RUN, now=BEGIN + 0.5)
    leader.list_runs(running=(list_run(second),), now=BEGIN + 0.6)
    assert [start.task for start in leader.starts()] == [first.task]


def start_one_after_the_other(
    leader: Leader, now: float, server: str
) -> list[StartRun]:
    """Return the starts of suspects, each of which runs alone and is done."""
    starts: list[StartRun] = []
    leader.handle(Tick(), now)
    while leader.starts():
        (start,) = leader.starts()
        starts.append(start)
        leader.answer(start, now=now)
        now += 0.1
        leader.list_runs(server, ended=(list_end(start, len(starts)),), now=now)
    return starts


def test_silent_server_keeps_its_tasks_until_their_leases_lapse(
    leader: Leader,
) -> None:
    """Guards against two runs of one task while a backend server is unreachable."""
    job = make_durable_job()
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER))
    commit(leader, find_append(leader))
    starts = leader.starts()
    for start in starts:
        leader.answer(start)
    leader.handle(ReadFailed("s1", 1), BEGIN + 0.1)
    leader.join("s2", BEGIN + 0.5)
    assert leader.starts() == []
    leader.handle(Tick(), BEGIN + LEASE_DURATION)
    assert leader.starts() == []
    again = start_one_after_the_other(leader, BEGIN + LEASE_DURATION + 0.3, "s2")
    assert [start.task for start in again] == [start.task for start in starts]


def test_silent_server_is_asked_without_a_new_lease(leader: Leader) -> None:
    """Guards against a lease that never lapses because requests for lists extend it."""
    submit(leader)
    for start in leader.starts():
        leader.answer(start)
    for number in (1, 2, 3):
        leader.handle(ReadFailed("s1", 1), BEGIN + 0.5 * number)
        leader.handle(Tick(), BEGIN + 0.5 * number + 0.4)
    (question,) = leader.reads()
    assert question.lease_until is None


def test_lost_answer_is_asked_for_again_at_once(leader: Leader) -> None:
    """Guards against a late read of ends because one answer of a server was lost."""
    submit(leader)
    for start in leader.starts():
        leader.answer(start)
    leader.handle(ReadFailed("s1", 1), BEGIN + 0.1)
    (question,) = leader.reads()
    assert question.wait == 0.0
    assert question.lease_until is not None
    leader.handle(ReadFailed("s1", 1), BEGIN + 0.2)
    assert leader.reads() == []


def test_restarted_server_frees_its_tasks_at_once(leader: Leader) -> None:
    """Guards against waiting for runs of a backend server's earlier process."""
    submit(leader)
    for start in leader.starts():
        leader.answer(start)
    report = make_report(born=BORN + 5)
    leader.handle(ReportServer(report=report, passed_on=True), BEGIN + 0.2)
    leader.list_runs(born=BORN + 5, now=BEGIN + 0.3)
    (first,) = leader.starts()
    end = list_end(first, 1)
    leader.list_runs(born=BORN + 5, ended=(end,), now=BEGIN + 0.35)
    (second,) = leader.starts()
    assert {(each.number, each.run) for each in (first, second)} == {(0, 2), (1, 2)}


@pytest.mark.parametrize("result", [OrderResult.DONE, OrderResult.UNANSWERED])
def test_restarted_server_may_carry_out_an_order_before_its_announcement(
    leader: Leader, result: OrderResult
) -> None:
    """Guards against a second run of a task after a restart that is announced late."""
    leader.join("s2")
    submit(leader)
    starts = leader.starts()
    (server,) = {start.server for start in starts}
    for start in starts:
        leader.answer(start, result)
    report = make_report(server, born=BORN + 5)
    leader.handle(ReportServer(report=report, passed_on=True), BEGIN + 0.2)
    leader.handle(Tick(), BEGIN + 0.21)
    assert leader.starts() == []
    running = tuple(list_run(start) for start in starts)
    leader.list_runs(server, born=BORN + 5, running=running, now=BEGIN + 0.3)
    leader.handle(Tick(), BEGIN + 0.4)
    assert (leader.starts(), leader.stops()) == ([], [])


def test_late_announcement_of_an_earlier_process_changes_nothing(
    leader: Leader,
) -> None:
    """Guards against applying an old announcement after a server's restart.

    A partition can hold up such an announcement.
    """
    late = make_report(born=BORN - 5, sequence=99, draining=True)
    leader.handle(ReportServer(report=late, passed_on=True))
    assert not leader.state.servers_by_id["s1"].report.draining


def test_draining_server_gets_nothing_new(leader: Leader) -> None:
    """Guards against new runs on a backend server after its drain was acknowledged."""
    draining = make_report(sequence=2, draining=True)
    leader.handle(ReportServer(report=draining, passed_on=True))
    submit(leader)
    assert leader.starts() == []


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


def test_durable_job_is_accepted_only_when_it_is_kept(leader: Leader) -> None:
    """Guards against an acknowledged job that is lost together with its leader."""
    job = make_durable_job()
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER))
    assert (leader.replies(), leader.starts()) == ([], [])
    commit(leader, find_append(leader))
    assert [reply.status for reply in leader.replies()] == [ReplyStatus.ACCEPTED]
    assert len(leader.starts()) == 2


def test_end_is_acknowledged_only_when_it_is_kept(leader: Leader) -> None:
    """Guards against an end that neither the backend server nor the log keeps."""
    leader.handle(SubmitDurableJob(job=make_durable_job(), reply_to=CALLER))
    commit(leader, find_append(leader))
    first, second = leader.starts()
    leader.answer(first)
    leader.answer(second)
    ends = (list_end(first, 1), list_end(second, 2))
    leader.list_runs(ended=ends)
    kept = find_append(leader)
    leader.handle(Tick(), BEGIN + 0.9)
    assert [read.acknowledged for read in leader.reads()] in ([], [0])
    leader.handle(LookUpDurableJob(id="j1", reply_to=CALLER))
    assert leader.replies()[0].state == "running"
    leader.state.servers_by_id["s1"].reading = False
    commit(leader, kept)
    assert [read.acknowledged for read in leader.reads()] == [2]
    leader.handle(LookUpDurableJob(id="j1", reply_to=CALLER))
    assert leader.replies()[0].state == "succeeded"


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
    (command,) = find_append(leader).commands_by_id.values()
    assert [(end.task, end.run, end.failed) for end in command.ends] == [(0, 4, False)]


def list_end_of(job_id: str) -> ListedEnd:
    return ListedEnd(1, make_task_ref(job_id, 0), 1, EndReason.DONE)


def test_cancelled_best_effort_job_stops_and_frees_its_room(leader: Leader) -> None:
    """Guards against running tasks for a caller that has left."""
    submit(leader)
    starts = leader.starts()
    for start in starts:
        leader.answer(start)
    leader.handle(CancelDurableJob(id="j1"))
    assert [stop.run for stop in leader.stops()] == [start.run for start in starts]
    assert leader.state.records_by_id["j1"].phase is JobPhase.CANCELLED


def submit_from(leader: Leader, *instances: str) -> None:
    """Send one copy of the submission of a best-effort job from each instance."""
    job = make_durable_job(best_effort=True)
    for number, instance in enumerate(instances):
        to = ReplyTo(instance, number)
        leader.handle(SubmitDurableJob(job=job, submitted_at=BEGIN, reply_to=to))


def test_job_whose_only_caller_left_is_cancelled_in_spite_of_copies(
    leader: Leader,
) -> None:
    """Guards against copies of a submission that count as further callers."""
    submit_from(leader, "e1", "e1")
    leader.handle(WithdrawSubmissions("j1", "e1"))
    assert leader.state.records_by_id["j1"].phase is JobPhase.CANCELLED


def test_job_goes_on_until_its_last_caller_has_left(leader: Leader) -> None:
    """Guards against a job that is cancelled while a caller waits, or never."""
    submit_from(leader, "e1", "e2", "e1")
    leader.handle(WithdrawSubmissions("j1", "e1"))
    assert leader.state.records_by_id["j1"].phase is JobPhase.ACTIVE
    leader.handle(WithdrawSubmissions("j1", "e2"))
    assert leader.state.records_by_id["j1"].phase is JobPhase.CANCELLED


def test_requested_cancellation_holds_for_all_callers(leader: Leader) -> None:
    """Guards against a confirmed cancellation of a job that goes on."""
    submit_from(leader, "e1", "e2")
    leader.handle(CancelDurableJob(id="j1", reply_to=ReplyTo("e3", 1)))
    assert leader.state.records_by_id["j1"].phase is JobPhase.CANCELLED


def test_expired_job_is_refused_before_its_place_is_sought(leader: Leader) -> None:
    """Guards against work for jobs that waited too long in front of the leader."""
    step = Step(1, Resources(70_000, 64), 0.2)
    job = make_durable_job("j1", step, best_effort=True)
    leader.handle(SubmitDurableJob(job=job, age=10.0, reply_to=CALLER), BEGIN + 10.0)
    (reply,) = leader.replies()
    assert (reply.status, reply.reason) == (ReplyStatus.REFUSED, REASON_TOO_LATE)


def test_resubmission_of_a_running_job_waits_for_the_same_end(leader: Leader) -> None:
    """Guards against a second run of a job that its caller submits again."""
    submit(leader)
    submit(leader)
    assert leader.starts() == []
    assert len(leader.state.waiters_by_job["j1"]) == 2


def test_job_that_fits_no_server_is_refused_at_once(leader: Leader) -> None:
    """Guards against a caller that waits for a job that can never run."""
    step = Step(1, Resources(70_000, 64), 0.2)
    job = make_durable_job("j1", step, best_effort=True)
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER))
    assert [reply.status for reply in leader.replies()] == [ReplyStatus.REFUSED]


def test_run_that_is_not_listed_any_longer_is_started_again(leader: Leader) -> None:
    """Guards against a task that is lost when its run disappears from the server."""
    submit(leader)
    first, second = leader.starts()
    leader.answer(first, now=BEGIN + 0.1)
    leader.answer(second, now=BEGIN + 0.1)
    leader.list_runs(running=(list_run(second),), now=BEGIN + 0.3, sent_at=BEGIN + 0.05)
    assert leader.starts() == []
    leader.list_runs(running=(list_run(second),), now=BEGIN + 0.4, sent_at=BEGIN + 0.2)
    assert [start.task for start in leader.starts()] == [first.task]


def test_job_that_comes_too_late_is_refused_before_its_caller_gives_up(
    leader: Leader,
) -> None:
    """Guards against a caller that waits for a job that has expired."""
    submit(leader, job_id="j1")
    submit(leader, job_id="j2")
    late = expires_at(make_durable_job("j2"))
    leader.handle(Tick(), late - 0.1)
    assert leader.replies() == []
    leader.handle(Tick(), late + 0.1)
    (reply,) = leader.replies()
    assert reply.status is ReplyStatus.REFUSED
    assert reply.retry_after > 0
    leader.handle(LookUpDurableJob(id="j1", reply_to=CALLER), late + 0.1)
    assert leader.replies()[0].state == "running"


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


def test_stalled_run_is_stopped_and_started_elsewhere(
    leader: Leader,
) -> None:
    """Guards against a job that waits for a backend server that hangs."""
    submit(leader)
    starts = leader.starts()
    for start in starts:
        leader.answer(start)
    leader.join("s2", BEGIN + 0.8)
    running = tuple(list_run(start) for start in starts)
    leader.list_runs(running=running, now=BEGIN + 0.85)
    leader.handle(Tick(), BEGIN + 0.95)
    assert leader.stops() == []
    leader.list_runs(running=running, now=BEGIN + 0.95)
    leader.handle(Tick(), BEGIN + 0.95)
    stops = leader.stops()
    assert [stop.run for stop in stops] == [start.run for start in starts]
    for stop in stops:
        leader.answer(stop, now=BEGIN + 0.96)
    leader.list_runs("s1", now=BEGIN + 0.98)
    assert [start.server for start in leader.starts()] == ["s2", "s2"]


def test_run_is_not_overdue_if_nothing_was_listed(leader: Leader) -> None:
    """Guards against stopping runs that may have ended while answers were lost."""
    submit(leader)
    for start in leader.starts():
        leader.answer(start)
    leader.handle(ReadFailed("s1", 1), BEGIN + 0.3)
    leader.handle(Tick(), BEGIN + 0.95)
    assert leader.stops() == []


def test_speed_is_not_learned_from_a_late_list(leader: Leader) -> None:
    """Guards against rating a backend server as slow because answers were lost."""
    submit(leader)
    starts = leader.starts()
    for start in starts:
        leader.answer(start)
    leader.handle(ReadFailed("s1", 1), BEGIN + 0.5)
    ended = tuple(list_end(start, number) for number, start in enumerate(starts, 1))
    leader.list_runs(ended=ended, now=BEGIN + 2.0)
    assert leader.state.servers_by_id["s1"].speed == 1.0


def test_slow_server_is_tried_again(leader: Leader) -> None:
    """Guards against a backend server that stays unused after it was slow."""
    submit(leader)
    starts = leader.starts()
    for start in starts:
        leader.answer(start)
    ended = tuple(list_end(start, number) for number, start in enumerate(starts, 1))
    leader.list_runs(ended=ended, now=BEGIN + 1.6)
    slow = leader.state.servers_by_id["s1"].speed
    assert slow < 0.7
    for seconds in range(3, 10):
        leader.handle(Tick(), BEGIN + seconds)
    assert leader.state.servers_by_id["s1"].speed > 0.9


def test_run_is_not_overdue_if_other_runs_end(leader: Leader) -> None:
    """Guards against rating a backend server as slow for a wrong declared run time."""
    submit(leader)
    first, second = leader.starts()
    leader.answer(first)
    leader.answer(second)
    ended = (list_end(first, 1),)
    running = (list_run(second),)
    leader.list_runs(running=running, ended=ended, now=BEGIN + 0.2)
    leader.handle(Tick(), BEGIN + 1.0)
    assert leader.stops() == []


def test_task_that_is_longer_than_declared_ends_at_the_second_run(
    leader: Leader,
) -> None:
    """Guards against stopping a task repeatedly.

    This happens when its declared run time is too short.
    """
    submit(leader)
    starts = leader.starts()
    for start in starts:
        leader.answer(start)
    leader.join("s2", BEGIN + 0.9)
    running = tuple(list_run(start) for start in starts)
    leader.list_runs(running=running, now=BEGIN + 0.95)
    leader.handle(Tick(), BEGIN + 0.95)
    stops = leader.stops()
    assert len(stops) == len(starts)
    for stop in stops:
        leader.answer(stop, now=BEGIN + 0.96)
    leader.list_runs("s1", now=BEGIN + 0.98)
    starts = leader.starts()
    for start in starts:
        leader.answer(start, now=BEGIN + 0.98)
    running = tuple(list_run(start) for start in starts)
    leader.list_runs("s2", running=running, now=BEGIN + 9.0)
    leader.handle(Tick(), BEGIN + 9.0)
    assert leader.stops() == []


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
