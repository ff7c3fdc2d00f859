"""The dispatcher and runs of best-effort jobs whose records are dropped before."""

from __future__ import annotations

import pytest

from boragetide.durable import Step
from boragetide.effects import StartRun
from boragetide.messages import (
    OrderResult,
    SubmitDurableJob,
    Tick,
    WithdrawSubmissions,
)
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    NEEDS,
    Leader,
    list_run,
    make_durable_job,
)
from boragetide.types import ReplyTo

CALLER = ReplyTo("e1", 7)
EXPIRED_AT = BEGIN + 1.5


def submit(leader: Leader, now: float) -> list[StartRun]:
    """Submit a job of three tasks, of which two find capacity."""
    job = make_durable_job("j1", Step(3, NEEDS, 0.2), best_effort=True)
    message = SubmitDurableJob(job=job, submitted_at=now, reply_to=CALLER)
    leader.handle(message, now)
    return leader.starts()


@pytest.fixture
def leader(settings: Settings) -> Leader:
    """A leader that has refused a job while the runs of an earlier copy are stopped."""
    made = Leader(settings)
    made.lead()
    made.join()
    starts = submit(made, BEGIN)
    for start in starts:
        made.answer(start)
    made.handle(WithdrawSubmissions("j1", "e1", BEGIN + 0.1), BEGIN + 0.1)
    for stop in made.stops():
        made.answer(stop, OrderResult.UNANSWERED, BEGIN + 0.3)
    assert submit(made, BEGIN + 0.31) == []
    running = tuple(list_run(start) for start in starts)
    made.list_runs(running=running, now=EXPIRED_AT - 0.1)
    made.handle(Tick(), EXPIRED_AT)
    assert "j1" not in made.state.records_by_id
    for stop in made.stops():
        made.answer(stop, OrderResult.UNANSWERED, EXPIRED_AT + 0.2)
    return made


def test_stop_without_an_answer_is_repeated_after_its_job_is_forgotten(
    leader: Leader,
) -> None:
    """Guards against a task that is blocked for ever and capacity that stays in use."""
    leader.handle(Tick(), EXPIRED_AT + 0.4)
    assert len(leader.stops()) == 2
