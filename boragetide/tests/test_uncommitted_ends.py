"""Ends that a leader has read from backend servers and that are not committed yet."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from boragetide.durable import (
    EndReason,
    JobPhase,
    JobRecord,
    ListedEnd,
    ListedRun,
    Step,
)
from boragetide.effects import Send
from boragetide.log_records import Catalogue
from boragetide.messages import ReportServer
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    BORN,
    NEEDS,
    Leader,
    list_end,
    make_durable_job,
    make_report,
    make_task_ref,
)

TASK = make_task_ref("j1", 0)
DONE, FAILED = EndReason.DONE, EndReason.FAILED


@pytest.fixture
def succeed(settings: Settings) -> Callable[..., Leader]:
    """Build a second leader that knows a job of one task and two backend servers."""

    def make(failures: tuple[tuple[int, int], ...] = ()) -> Leader:
        job = make_durable_job("j1", Step(1, NEEDS, 0.2), attempts=2)
        record = JobRecord(job, failures=failures)
        catalogue = Catalogue(jobs_by_id={"j1": record})
        leader = Leader(settings, term=2, catalogue=catalogue)
        for server_id in ("s1", "s2"):
            leader.handle(ReportServer(report=make_report(server_id)))
        leader.lead(records=(record,))
        return leader

    return make


def list_end_of(number: int, run: int, reason: EndReason) -> ListedEnd:
    return ListedEnd(number, TASK, run, reason)


def take_appended(leader: Leader) -> Send:
    (appended,) = leader.appended()
    return appended


def read_end(leader: Leader, server: str, run: int, reason: EndReason) -> Send:
    """Let a server list its first end; return what is appended to the log."""
    leader.list_runs(server, ended=(list_end_of(1, run, reason),))
    return take_appended(leader)


def end_two_runs(leader: Leader, *reasons: EndReason) -> JobPhase:
    """Read the ends of two runs before either is committed; nothing may start.

    Returns
    -------
    JobPhase
        Phase of the job once both ends are committed.
    """
    appended = [
        read_end(leader, server, run, reason)
        for server, run, reason in zip(("s1", "s2"), (1, 2), reasons, strict=True)
    ]
    for each in appended:
        leader.commit(each)
        assert leader.starts() == []
    return leader.state.records_by_id["j1"].phase


def test_last_failed_attempt_under_an_earlier_leader_is_not_followed_by_another(
    succeed: Callable[..., Leader],
) -> None:
    """Guards against a start while the last failure is on its way into the log."""
    leader = succeed(failures=((0, 1),))
    ends = read_end(leader, "s1", 2, FAILED)
    leader.list_runs("s2")
    assert leader.starts() == []
    leader.commit(ends, BEGIN + 0.1)
    assert leader.starts() == []
    assert leader.state.records_by_id["j1"].phase is JobPhase.FAILED


def test_failed_attempt_under_an_earlier_leader_is_repeated_after_its_commit(
    succeed: Callable[..., Leader],
) -> None:
    """Guards against a task that stays held once its end is committed."""
    leader = succeed()
    ends = read_end(leader, "s1", 1, FAILED)
    leader.list_runs("s2")
    assert leader.starts() == []
    leader.commit(ends)
    assert [start.task for start in leader.starts()] == [TASK]


def test_end_that_is_read_while_its_task_is_queued_holds_the_task(
    succeed: Callable[..., Leader],
) -> None:
    """Guards against a start of a task that was queued before its end was read."""
    leader = succeed(failures=((0, 1),))
    leader.list_runs("s2")
    assert "j1" in leader.state.queue.waiting_by_id
    leader.list_runs("s1", ended=(list_end_of(1, 2, FAILED),))
    assert leader.starts() == []
    assert "j1" not in leader.state.queue.waiting_by_id


def test_commit_of_one_end_does_not_release_a_task_with_another_end(
    succeed: Callable[..., Leader],
) -> None:
    """Guards against a start after the first of two ends of a task is committed."""
    assert end_two_runs(succeed(), FAILED, FAILED) is JobPhase.FAILED


def test_end_of_an_older_run_does_not_free_a_newer_one_that_has_ended(
    succeed: Callable[..., Leader],
) -> None:
    """Guards against a start while the end of the newest run is not committed."""
    leader = succeed()
    leader.list_runs("s2")
    leader.list_runs("s1")
    (start,) = leader.starts()
    leader.answer(start)
    older = list_end_of(1, 1, FAILED)
    leader.list_runs(
        start.server, ended=(older,), running=(ListedRun(TASK, start.run),)
    )
    first = take_appended(leader)
    ended = (older, list_end(start, 2, FAILED))
    leader.list_runs(start.server, ended=ended, now=BEGIN + 0.1)
    second = take_appended(leader)
    leader.commit(first, BEGIN + 0.2)
    assert leader.starts() == []
    leader.commit(second, BEGIN + 0.3)
    assert leader.state.records_by_id["j1"].phase is JobPhase.FAILED


@pytest.mark.parametrize("reason", [EndReason.STOPPED, EndReason.LAPSED])
def test_stopped_run_does_not_release_a_task_with_a_failure(
    reason: EndReason, succeed: Callable[..., Leader]
) -> None:
    """Guards against a start after a run was freed that needs no commit."""
    leader = succeed(failures=((0, 1),))
    leader.list_runs("s2")
    leader.list_runs("s1", running=(ListedRun(TASK, 3),))
    ended = (list_end_of(1, 2, FAILED), list_end_of(2, 3, reason))
    leader.list_runs("s1", ended=ended, now=BEGIN + 0.1)
    assert leader.starts() == []
    leader.commit(take_appended(leader), BEGIN + 0.2)
    assert leader.state.records_by_id["j1"].phase is JobPhase.FAILED


def test_success_counts_beside_a_failure_of_an_earlier_run(
    succeed: Callable[..., Leader],
) -> None:
    """Guards against another run of a task that was done at its second attempt."""
    assert end_two_runs(succeed(), FAILED, DONE) is JobPhase.SUCCEEDED


def test_run_goes_on_beside_a_failure_of_an_earlier_run(
    succeed: Callable[..., Leader],
) -> None:
    """Guards against stopping the second attempt because the first one failed."""
    leader = succeed()
    leader.list_runs("s1", ended=(list_end_of(1, 1, FAILED),))
    leader.list_runs("s2", running=(ListedRun(TASK, 2),))
    assert (leader.starts(), leader.stops()) == ([], [])
    assert leader.state.server_by_task == {("j1", 0): "s2"}


def test_task_is_released_although_its_server_was_replaced(
    succeed: Callable[..., Leader],
) -> None:
    """Guards against a task that waits for ever because its server has restarted."""
    leader = succeed()
    ends = read_end(leader, "s1", 1, FAILED)
    leader.list_runs("s2")
    del leader.state.servers_by_id["s1"]
    leader.handle(ReportServer(report=make_report("s1", born=BORN + 5)))
    leader.commit(ends)
    assert [start.server for start in leader.starts()] == ["s2"]
