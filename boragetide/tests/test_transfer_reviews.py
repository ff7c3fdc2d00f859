"""What the leader of a group answers about jobs that came from another group."""

from __future__ import annotations

import pytest

from boragetide.durable import Step
from boragetide.effects import Send
from boragetide.messages import (
    OrderResult,
    ReadFailed,
    ReviewTransfers,
    SubmitDurableJob,
    Tick,
    TransfersReviewed,
    WithdrawSubmissions,
)
from boragetide.policy.job_table import BEST_EFFORT_RETENTION
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    CALLER,
    NEEDS,
    Leader,
    make_durable_job,
)
from boragetide.types import Seconds

FORGOTTEN_AT: Seconds = BEGIN + BEST_EFFORT_RETENTION + 1.5


@pytest.fixture
def leader(settings: Settings) -> Leader:
    """A leader that has started a job of another group at its only backend server."""
    made = Leader(settings)
    made.lead()
    made.join()
    job = make_durable_job("j1", Step(1, NEEDS, 4.0), best_effort=True)
    made.handle(SubmitDurableJob(job=job, reply_to=CALLER, transfers=1))
    return made


def list_forgotten(leader: Leader, now: Seconds) -> tuple[str, ...]:
    """Return the jobs that the leader says it has forgotten."""
    leader.handle(ReviewTransfers("a2", 1, ("j1",)), now)
    return tuple(
        job_id
        for effect in leader.effects
        if isinstance(effect, Send) and isinstance(effect.message, TransfersReviewed)
        for job_id in effect.message.unknown
    )


def forget_job(leader: Leader) -> None:
    """Withdraw the job and wait until its record is dropped."""
    leader.handle(WithdrawSubmissions("j1", CALLER.instance), BEGIN + 0.4)
    leader.handle(Tick(), FORGOTTEN_AT)
    assert not leader.state.records_by_id


def test_job_is_not_forgotten_while_an_order_of_it_may_be_carried_out_late(
    leader: Leader,
) -> None:
    """Guards against a run in each of two groups after a start without an answer."""
    (start,) = leader.starts()
    leader.answer(start, OrderResult.UNANSWERED, BEGIN + 0.2)
    leader.handle(ReadFailed("s1", 1), BEGIN + 0.2)
    forget_job(leader)
    assert leader.state.server_by_task, "the run may begin at the next process"
    assert not list_forgotten(leader, FORGOTTEN_AT)


def test_withdrawn_job_is_forgotten_once_its_run_is_over(leader: Leader) -> None:
    """Guards against notes of transfers that are kept for good."""
    (start,) = leader.starts()
    leader.answer(start)
    leader.handle(WithdrawSubmissions("j1", CALLER.instance), BEGIN + 0.4)
    (stop,) = leader.stops()
    leader.answer(stop, now=BEGIN + 0.4)
    leader.list_runs(now=BEGIN + 0.6, sent_at=BEGIN + 0.5)
    leader.handle(Tick(), FORGOTTEN_AT)
    assert list_forgotten(leader, FORGOTTEN_AT) == ("j1",)
