"""The dispatcher and backend servers of which some calls get no answer."""

from __future__ import annotations

from typing import Any

import pytest

from boragetide.controllers.list_timing import (
    LOSSY_READ_WAIT,
    READ_MAX_WAIT,
    RENEWAL_PERIOD,
    SHORT_READ_WAIT,
)
from boragetide.controllers.placing_runs import MAX_START_COPIES
from boragetide.controllers.server_state import MAX_FAILED_LISTS, Server
from boragetide.durable import EndReason, Step
from boragetide.effects import Count, LogEvent, ReadRuns, StartRun, StopRun
from boragetide.messages import (
    OrderResult,
    ReadFailed,
    RemoveServer,
    ReplyStatus,
    SubmitDurableJob,
    Tick,
    WithdrawSubmissions,
)
from boragetide.policy.call_timeouts import (
    LOSSY_PERIOD,
    MIN_CALL_TIMEOUT,
    MIN_LOSSY_TIMEOUT,
)
from boragetide.policy.scheduling import expires_at
from boragetide.tests.durable_fixtures import (
    BEGIN,
    CALLER,
    NEEDS,
    Leader,
    list_end,
    list_run,
    make_durable_job,
)


def start_one(
    leader: Leader, job_id: str = "j1", now: float = BEGIN, estimate: float = 4.0
) -> StartRun:
    """Start a task of a best-effort job, and return the order."""
    step = Step(1, NEEDS, estimate)
    job = make_durable_job(job_id, step, best_effort=True, submitted_at=now)
    leader.handle(SubmitDurableJob(job=job, submitted_at=now, reply_to=CALLER), now)
    (start,) = leader.starts()
    return start


def time_out(leader: Leader, order: StartRun | StopRun, sent_at: float) -> float:
    """Let an order time out; return the time at which it does."""
    now = sent_at + MIN_CALL_TIMEOUT
    leader.answer(order, OrderResult.UNANSWERED, now=now, sent_at=sent_at)
    return now


def fail_list(leader: Leader, now: float, sent_at: float | None = None) -> None:
    """Let a list fail that was sent long enough before to have timed out."""
    sent_at = now - MIN_CALL_TIMEOUT if sent_at is None else sent_at
    leader.handle(ReadFailed("s1", leader.term, sent_at=sent_at), now)


def get_server(leader: Leader, server_id: str = "s1") -> Server:
    return leader.state.servers_by_id[server_id]


def lose_copies(leader: Leader, start: StartRun, count: int) -> float:
    """Let copies of a start time out; return the time of the last timeout."""
    now = BEGIN
    for number in range(count):
        now = time_out(leader, start, now)
        if number < MAX_START_COPIES - 1:
            (again,) = leader.starts()
            assert (again.run, again.server) == (start.run, start.server)
    return now


def read_once(leader: Leader, now: float) -> ReadRuns:
    """Return the request for a list that the leader sends at a tick."""
    leader.handle(Tick(), now)
    (request,) = leader.reads()
    return request


def test_list_counts_as_lost_soon_after_its_wait(leader: Leader) -> None:
    """Guards against ends that stay unknown for half a second."""
    start = start_one(leader)
    leader.answer(start)
    (request,) = leader.reads()
    assert request.wait == READ_MAX_WAIT
    assert request.timeout == pytest.approx(READ_MAX_WAIT + MIN_CALL_TIMEOUT)


def test_lists_wait_for_less_while_calls_go_unanswered(leader: Leader) -> None:
    """Guards against lost lists that hide the ends of all runs for long."""
    start = start_one(leader)
    leader.answer(start)
    lost_at = BEGIN + 0.3
    fail_list(leader, lost_at)
    running = (list_run(start),)
    leader.list_runs(running=running, now=lost_at + 0.01)
    (request,) = leader.reads()
    assert request.wait == LOSSY_READ_WAIT
    leader.list_runs(running=running, now=lost_at + LOSSY_PERIOD + 0.01)
    (request,) = leader.reads()
    assert request.wait == READ_MAX_WAIT


def test_lists_wait_for_least_when_a_run_is_about_to_end(leader: Leader) -> None:
    """Guards against short runs whose ends are learned too late to be of use."""
    start = start_one(leader, estimate=0.3)
    leader.answer(start)
    fail_list(leader, BEGIN + 0.05)
    leader.list_runs(running=(list_run(start),), now=BEGIN + 0.25)
    (request,) = leader.reads()
    assert request.wait == SHORT_READ_WAIT


def test_overdue_run_does_not_keep_the_waits_of_lists_short(leader: Leader) -> None:
    """Guards against many lists because a run takes longer than expected."""
    start = start_one(leader, estimate=0.3)
    leader.answer(start)
    fail_list(leader, BEGIN + 0.5)
    leader.list_runs(running=(list_run(start),), now=BEGIN + 0.6)
    (request,) = leader.reads()
    assert request.wait == LOSSY_READ_WAIT


def test_list_that_times_out_is_asked_for_again_at_once(leader: Leader) -> None:
    """Guards against pauses that add to the timeouts of several lost lists."""
    leader.answer(start_one(leader))
    for number in range(1, MAX_FAILED_LISTS + 1):
        fail_list(leader, BEGIN + 0.1 * number)
        (request,) = leader.reads()
        assert request.wait == 0.0
    fail_list(leader, BEGIN + 0.1 * MAX_FAILED_LISTS + 0.1)
    fail_list(leader, BEGIN + 0.1 * MAX_FAILED_LISTS + 0.2)
    assert leader.reads() == []


def test_list_of_a_server_that_becomes_slow_gets_more_time(leader: Leader) -> None:
    """Guards against a server that is lost because its answers take longer."""
    leader.answer(start_one(leader))
    timeouts = []
    for number in range(1, MAX_FAILED_LISTS):
        fail_list(leader, BEGIN + 0.2 * number)
        timeouts += [request.timeout for request in leader.reads()]
    assert timeouts[0] == MIN_LOSSY_TIMEOUT
    assert timeouts[-1] > 3 * MIN_CALL_TIMEOUT


def test_server_that_answers_other_calls_takes_tasks_although_a_list_is_lost(
    leader: Leader,
) -> None:
    """Guards against servers that are out of use for a lost list."""
    start = start_one(leader)
    leader.answer(start, now=BEGIN + 0.1)
    fail_list(leader, BEGIN + 0.3, sent_at=BEGIN + 0.05)
    assert not get_server(leader).silent
    assert start_one(leader, "j2", BEGIN + 0.31).server == "s1"


def test_server_that_answers_nothing_gets_no_task(leader: Leader) -> None:
    """Guards against starts at a server that is gone."""
    leader.answer(start_one(leader), now=BEGIN + 0.01)
    fail_list(leader, BEGIN + 0.3, sent_at=BEGIN + 0.02)
    logged = [each.event for each in leader.effects if isinstance(each, LogEvent)]
    assert "backend_server_silent" in logged
    leader.join("s2", now=BEGIN + 0.3)
    assert start_one(leader, "j2", BEGIN + 0.31).server == "s2"


def test_server_whose_lists_all_fail_is_silent_although_it_answers_starts(
    leader: Leader,
) -> None:
    """Guards against starts at a server of which no end would be learned."""
    start = start_one(leader)
    for number in range(1, MAX_FAILED_LISTS + 1):
        now = BEGIN + 0.1 * number
        leader.answer(start, now=now)
        assert not get_server(leader).silent
        fail_list(leader, now + 0.05)
    assert get_server(leader).silent


def test_leases_are_renewed_while_some_lists_are_lost(leader: Leader) -> None:
    """Guards against runs that are killed because a list and its copy were lost."""
    leader.answer(start_one(leader))
    fail_list(leader, BEGIN + 0.3)
    fail_list(leader, BEGIN + 0.4)
    fail_list(leader, BEGIN + 0.5)
    (request,) = leader.reads()
    assert request.lease_until is not None


def test_leases_of_a_server_that_stays_silent_end(leader: Leader) -> None:
    """Guards against tasks of a lost server that never start again."""
    leader.answer(start_one(leader))
    fail_list(leader, BEGIN + 0.3)
    fail_list(leader, BEGIN + 0.4)
    fail_list(leader, BEGIN + 0.3 + RENEWAL_PERIOD)
    (request,) = leader.reads()
    assert request.lease_until is None


def test_start_is_repeated_several_times_before_its_run_is_stopped(
    leader: Leader,
) -> None:
    """Guards against runs that are given up for two lost calls."""
    start = start_one(leader)
    leader.list_runs()
    leader.join("s2", now=BEGIN + 0.001)
    now = lose_copies(leader, start, MAX_START_COPIES)
    (stop,) = leader.stops()
    assert leader.starts() == []
    leader.handle(Tick(), now + 0.01)
    assert leader.starts() == []
    leader.answer(stop, now=now + 0.02)
    assert leader.starts() == []
    leader.list_runs(now=now + 0.04, sent_at=now + 0.03)
    (elsewhere,) = leader.starts()
    assert (elsewhere.task, elsewhere.run) == (start.task, start.run + 1)


def test_last_copy_of_a_start_has_more_time(leader: Leader) -> None:
    """Guards against runs that are stopped because their server pauses for a moment."""
    leader.answer(start_one(leader, "j0"))
    start = start_one(leader)
    assert start.timeout == MIN_CALL_TIMEOUT
    lose_copies(leader, start, MAX_START_COPIES - 1)
    (last,) = leader.starts()
    assert last.timeout > 3 * MIN_CALL_TIMEOUT


def test_start_is_not_repeated_often_at_a_silent_server(leader: Leader) -> None:
    """Guards against messages to a server that is gone."""
    start = start_one(leader)
    now = time_out(leader, start, BEGIN)
    fail_list(leader, now, sent_at=BEGIN)
    time_out(leader, start, now)
    assert leader.starts() == []
    assert [stop.run for stop in leader.stops()] == [start.run]


def test_start_is_not_repeated_when_the_budget_is_used_up(leader: Leader) -> None:
    """Guards against a fault that multiplies the messages."""
    start = start_one(leader)
    get_server(leader).calls.repetitions = 0.0
    time_out(leader, start, BEGIN)
    assert leader.starts() == []
    assert [stop.run for stop in leader.stops()] == [start.run]


def test_late_answer_to_the_first_copy_shows_that_the_run_began(leader: Leader) -> None:
    """Guards against stopping a run at a server that is slow to answer."""
    start = start_one(leader)
    now = lose_copies(leader, start, MAX_START_COPIES - 1)
    leader.answer(start, now=now + 0.01, sent_at=BEGIN)
    time_out(leader, start, now)
    assert (leader.starts(), leader.stops()) == ([], [])
    assert get_server(leader).calls.find_timeout() > MIN_CALL_TIMEOUT


@pytest.mark.parametrize("refusal", [OrderResult.NO_ROOM, OrderResult.LATE])
def test_late_refusal_of_one_copy_does_not_free_the_task(
    leader: Leader, refusal: OrderResult
) -> None:
    """Guards against two runs: another copy of the start may still be carried out."""
    start = start_one(leader)
    leader.join("s2", now=BEGIN + 0.001)
    now = time_out(leader, start, BEGIN)
    leader.answer(start, refusal, now=now + 0.01, sent_at=BEGIN)
    leader.handle(Tick(), now + 0.02)
    assert leader.starts() == []
    assert leader.state.server_by_task["j1", 0] == "s1"


def test_stop_with_a_late_answer_is_not_repeated(leader: Leader) -> None:
    """Guards against a task that waits for the answer to a needless stop."""
    start = start_one(leader)
    now = lose_copies(leader, start, MAX_START_COPIES)
    (stop,) = leader.stops()
    late = time_out(leader, stop, now)
    leader.answer(stop, now=late + 0.01, sent_at=now)
    leader.handle(Tick(), late + 0.2)
    assert leader.stops() == []


def test_answer_to_a_start_does_not_end_the_repetition_of_a_stop(
    leader: Leader,
) -> None:
    """Guards against a run that goes on because its start was answered late."""
    start = start_one(leader)
    now = lose_copies(leader, start, MAX_START_COPIES)
    (stop,) = leader.stops()
    leader.answer(start, now=now + 0.01, sent_at=BEGIN)
    late = time_out(leader, stop, now)
    leader.handle(Tick(), late + 0.2)
    assert [each.run for each in leader.stops()] == [start.run]


def test_start_at_a_server_that_has_left_is_not_repeated_again(leader: Leader) -> None:
    """Guards against copies to a process that may be replaced at any moment."""
    start = start_one(leader)
    now = time_out(leader, start, BEGIN)
    leader.handle(RemoveServer("s1", passed_on=True), now)
    time_out(leader, start, now)
    assert leader.starts() == []


def expire(leader: Leader, job_id: str, now: float) -> list[Any]:
    """Return the answers to the callers of a job once it has expired."""
    late = expires_at(leader.state.records_by_id[job_id].job) + 0.01
    assert late > now
    leader.state.authority_until = late + 1.0
    leader.handle(Tick(), late)
    return leader.replies()


def answer_stop(leader: Leader, stop: StopRun, now: float) -> float:
    """Answer the stop of a run; return the time of a list without it."""
    get_server(leader).cooldown_until = BEGIN + 100.0
    leader.answer(stop, now=now + 0.01)
    leader.list_runs(now=now + 0.03, sent_at=now + 0.02)
    return now + 0.03


def test_job_whose_run_was_stopped_before_it_began_is_refused(leader: Leader) -> None:
    """Guards against an answer of 504 for a job of which nothing has run."""
    start = start_one(leader)
    now = lose_copies(leader, start, MAX_START_COPIES)
    (stop,) = leader.stops()
    for number in range(MAX_START_COPIES):
        sent_at = BEGIN + number * MIN_CALL_TIMEOUT
        leader.answer(start, OrderResult.NO_ROOM, now=now, sent_at=sent_at)
    now = answer_stop(leader, stop, now)
    (reply,) = expire(leader, "j1", now)
    assert reply.status is ReplyStatus.REFUSED


def test_job_with_a_copy_of_its_start_without_an_answer_is_not_refused(
    leader: Leader,
) -> None:
    """Guards against a refused job that the next process of a server begins late."""
    start = start_one(leader)
    now = lose_copies(leader, start, MAX_START_COPIES)
    (stop,) = leader.stops()
    for number in range(MAX_START_COPIES - 1):
        sent_at = BEGIN + number * MIN_CALL_TIMEOUT
        leader.answer(start, OrderResult.NO_ROOM, now=now, sent_at=sent_at)
    now = answer_stop(leader, stop, now)
    assert ("j1", 0) not in leader.state.server_by_task
    assert expire(leader, "j1", now) == []


def test_job_whose_only_start_was_refused_is_refused(leader: Leader) -> None:
    """Guards against an answer of 504 for a job that its server has refused."""
    start = start_one(leader)
    get_server(leader).cooldown_until = BEGIN + 100.0
    leader.answer(start, OrderResult.LATE, now=BEGIN + 0.01)
    (reply,) = expire(leader, "j1", BEGIN + 0.01)
    assert reply.status is ReplyStatus.REFUSED


def test_job_with_a_stop_without_an_answer_is_not_refused(leader: Leader) -> None:
    """Guards against a refusal of a job that may still begin."""
    lose_copies(leader, start_one(leader), MAX_START_COPIES)
    assert expire(leader, "j1", BEGIN + 1.0) == []


def test_job_whose_run_was_listed_is_not_refused(leader: Leader) -> None:
    """Guards against a refusal of a job of which a task has run."""
    start = start_one(leader)
    now = time_out(leader, start, BEGIN)
    leader.list_runs(running=(list_run(start),), now=now + 0.01)
    get_server(leader).cooldown_until = BEGIN + 100.0
    leader.answer(start, now=now + 0.02)
    leader.list_runs(now=now + 0.04, sent_at=now + 0.03)
    assert ("j1", 0) not in leader.state.server_by_task
    assert expire(leader, "j1", now) == []


def test_run_of_an_earlier_submission_is_not_counted_for_the_next(
    leader: Leader,
) -> None:
    """Guards against a refusal of a job whose other task has begun.

    The job was withdrawn and submitted again while its first run was being stopped.
    """
    leader.join("s2")
    step = Step(2, NEEDS, 4.0, max_per_server=1)
    job = make_durable_job("j1", step, best_effort=True)
    leader.handle(SubmitDurableJob(job=job, submitted_at=BEGIN, reply_to=CALLER))
    starts = {start.server: start for start in leader.starts()}
    first, other = starts["s1"], starts["s2"]
    leader.answer(other)
    now = lose_copies(leader, first, MAX_START_COPIES)
    leader.handle(WithdrawSubmissions("j1", CALLER.instance, now), now)
    stops = {stop.server: stop for stop in leader.stops()}
    leader.answer(stops["s2"], now=now)
    ended = (list_end(other, 1, EndReason.STOPPED),)
    leader.list_runs("s2", ended=ended, now=now + 0.01)
    again = SubmitDurableJob(job=job, submitted_at=now + 0.02, reply_to=CALLER)
    leader.handle(again, now + 0.02)
    assert {start.server for start in leader.starts()} == {"s2"}
    for server in leader.state.servers_by_id.values():
        server.cooldown_until = BEGIN + 100.0
    leader.answer(stops["s1"], now=now + 0.03)
    leader.list_runs("s1", now=now + 0.05, sent_at=now + 0.04)
    assert expire(leader, "j1", now) == []


def test_operators_see_which_calls_go_unanswered(leader: Leader) -> None:
    """Guards against a fault of the network that only the callers notice."""
    leader.handle(Tick(), BEGIN)
    start = start_one(leader)
    now = lose_copies(leader, start, MAX_START_COPIES)
    fail_list(leader, now)
    counted = [each for each in leader.effects if isinstance(each, Count)]
    labels = {"call": "list", "reaction": "repeated"}
    assert Count("calls_unanswered", labels) in counted
    leader.handle(Tick(), BEGIN + 1.1)
    (line,) = list_reports(leader)
    assert line["count"] == MAX_START_COPIES + 1
    assert (line["start"], line["list"]) == (MAX_START_COPIES, 1)
    assert (line["repeated"], line["stopped"]) == (MAX_START_COPIES, 1)
    assert line["most"] == f"s1:{MAX_START_COPIES + 1}"
    leader.handle(Tick(), BEGIN + 2.2)
    assert list_reports(leader) == []


def list_reports(leader: Leader) -> list[dict[str, Any]]:
    return [
        each.fields
        for each in leader.effects
        if isinstance(each, LogEvent) and each.event == "calls_unanswered"
    ]


@pytest.mark.parametrize("answers", [1, 2])
def test_start_with_late_answers_to_all_copies_is_not_carried_out_late(
    leader: Leader, answers: int
) -> None:
    """Guards against a task that waits 13 s for the late start of a lost server."""
    start = start_one(leader)
    now = time_out(leader, start, BEGIN)
    for number in range(answers):
        leader.answer(start, now=now + 0.01, sent_at=BEGIN + number * MIN_CALL_TIMEOUT)
    fail_list(leader, now + 0.3)
    fail_list(leader, now + 0.4)
    lapsed_at = get_server(leader).leases_expired_at + 0.01
    leader.state.authority_until = lapsed_at + 1.0
    leader.handle(Tick(), lapsed_at)
    assert (("j1", 0) in leader.state.server_by_task) == (answers == 1)


def test_late_list_counts_for_the_runs_that_it_shows(leader: Leader) -> None:
    """Guards against a slow server whose runs are lost for want of a timely list."""
    start = start_one(leader)
    leader.answer(start)
    fail_list(leader, BEGIN + 0.3, sent_at=BEGIN + 0.01)
    assert get_server(leader).silent
    ended = (list_end(start, 1),)
    leader.list_runs(ended=ended, now=BEGIN + 0.31, sent_at=BEGIN + 0.01, late=True)
    server = get_server(leader)
    assert not server.silent
    assert server.runs_by_task == {}
    assert server.reading


def test_late_list_is_dropped_once_a_newer_one_has_been_applied(
    leader: Leader,
) -> None:
    """Guards against a run that is adopted again after its end."""
    start = start_one(leader)
    leader.answer(start)
    fail_list(leader, BEGIN + 0.3, sent_at=BEGIN + 0.01)
    failure = list_end(start, 1, EndReason.FAILED)
    leader.list_runs(ended=(failure,), now=BEGIN + 0.31, sent_at=BEGIN + 0.3)
    get_server(leader).cooldown_until = BEGIN + 100.0
    running = (list_run(start),)
    leader.list_runs(running=running, now=BEGIN + 0.32, sent_at=BEGIN + 0.01, late=True)
    assert ("j1", 0) not in leader.state.server_by_task
    assert get_server(leader).unexpected_runs == {}
