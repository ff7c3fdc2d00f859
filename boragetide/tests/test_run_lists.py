"""Lists of runs of which some rows cannot be read."""

from __future__ import annotations

from typing import Any

import pytest

from boragetide.commands import RecordEnds
from boragetide.controllers.placing_runs import MAX_HELD_ENDS
from boragetide.controllers.runs import READ_MAX_WAIT
from boragetide.durable import EndReason, JobRecord, ListedEnd, TaskRef
from boragetide.effects import ReadRuns, Send
from boragetide.links.run_lists import UNREADABLE_TASK
from boragetide.messages import (
    AppendCommands,
    JobsCommitted,
    SubmitDurableJob,
    Tick,
)
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    Leader,
    list_end,
    list_run,
    make_durable_job,
)
from boragetide.types import ReplyTo


@pytest.fixture
def leader(settings: Settings) -> Leader:
    """A leader that has started both tasks of a job on its only server."""
    made = Leader(settings)
    made.lead(records=(JobRecord(make_durable_job()),))
    made.join()
    return made


def list_held_ends(first: int, count: int) -> tuple[ListedEnd, ...]:
    """Return ends of runs that are not known."""
    return tuple(
        ListedEnd(number, UNREADABLE_TASK, 0, EndReason.STOPPED)
        for number in range(first, first + count)
    )


def commit_appended(leader: Leader) -> list[Any]:
    """Commit the commands that the last message appended; return the ends in them."""
    appended = [
        each.message
        for each in leader.effects
        if isinstance(each, Send) and isinstance(each.message, AppendCommands)
    ]
    commands = {id_: c for each in appended for id_, c in each.commands_by_id.items()}
    leader.handle(JobsCommitted(tuple(commands), ()))
    ends = [c.ends for c in commands.values() if isinstance(c, RecordEnds)]
    return [end for each in ends for end in each]


def read_at(leader: Leader, now: float) -> ReadRuns:
    """Return the next request for the list of runs."""
    leader.handle(Tick(), now)
    (read,) = leader.reads()
    return read


def test_end_behind_an_unreadable_one_counts_and_is_not_acknowledged(
    leader: Leader,
) -> None:
    """Guards against an unreadable end that is forgotten, or that hides the others."""
    first, second = leader.starts()
    ended = (list_end(first, 1), list_end(second, 3))
    leader.list_runs(ended=ended, acknowledge_until=1)
    assert [end.task for end in commit_appended(leader)] == [0, 1]
    later = BEGIN + READ_MAX_WAIT + 0.01
    assert leader.state.servers_by_id["s1"].acknowledged == 1
    leader.list_runs(ended=ended[1:], acknowledge_until=0, now=later)
    assert leader.state.servers_by_id["s1"].acknowledged == 1
    leader.list_runs(ended=list_held_ends(2, 2), now=later + 1.0)
    assert leader.state.servers_by_id["s1"].acknowledged == 3


def test_list_with_an_unreadable_end_is_not_read_in_a_loop(leader: Leader) -> None:
    """Guards against requests without a pause, as a held end is listed at once."""
    runs = tuple(list_run(start) for start in leader.starts())
    leader.list_runs(running=runs, acknowledge_until=0)
    assert not leader.reads()
    assert read_at(leader, BEGIN + READ_MAX_WAIT).wait == 0.0


@pytest.mark.parametrize("held", [MAX_HELD_ENDS, MAX_HELD_ENDS + 1])
def test_server_with_many_held_ends_gets_no_new_runs(
    settings: Settings, held: int
) -> None:
    """Guards against runs whose ends do not fit in the list behind the held ones."""
    leader = Leader(settings)
    leader.lead()
    leader.join()
    leader.list_runs(ended=list_held_ends(1, held), acknowledge_until=0)
    job = make_durable_job("j2", best_effort=True)
    leader.handle(SubmitDurableJob(job=job, reply_to=ReplyTo("e1", 7)))
    assert len(leader.starts()) == (2 if held <= MAX_HELD_ENDS else 0)


def test_task_that_is_listed_under_an_unreadable_number_is_not_started_again(
    leader: Leader,
) -> None:
    """Guards against a second run of a task whose row is damaged."""
    first, second = leader.starts()
    for start in (first, second):
        leader.answer(start)
    unreadable = (TaskRef("j1", first.task.step, first.task.index),)
    leader.list_runs(unreadable=unreadable, now=BEGIN + 0.1)
    assert [start.task for start in leader.starts()] == [second.task]
