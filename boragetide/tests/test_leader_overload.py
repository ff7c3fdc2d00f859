"""The dispatcher of a leader in front of which submissions wait too long."""

from __future__ import annotations

import pytest

from boragetide.controllers import configuration
from boragetide.durable import Resources, Step
from boragetide.effects import Send, StartRun
from boragetide.messages import (
    AdmissionChanged,
    LeaderNotice,
    LeadershipLost,
    RefuseSubmissions,
    ReplyStatus,
    SubmitDurableJob,
    Tick,
)
from boragetide.policy.leadership import record_subscriber
from boragetide.policy.overload import WINDOW, AdmissionControl
from boragetide.policy.scheduling import latest_start
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    NEEDS,
    Leader,
    make_durable_job,
)
from boragetide.types import Address, ReplyTo

CALLER = ReplyTo("e1", 7)
OVERLOAD_WAIT = 0.2  # seconds that submissions wait in front of an overloaded leader
OVERLOAD_TIME = 3 * WINDOW
USUAL_ORDER_TIME = 0.002  # seconds


@pytest.fixture
def leader(settings: Settings) -> Leader:
    """A leader with one backend server that has capacity for two tasks."""
    made = Leader(settings)
    made.lead()
    made.join()
    return made


def overload(leader: Leader, now: float = BEGIN) -> list[float]:
    """Deliver submissions that waited too long; return the announced shares."""
    shares: list[float] = []
    interval = WINDOW / 10
    for number in range(round(OVERLOAD_TIME / interval)):
        job = make_durable_job(f"overload-{number}")
        at = now + number * interval
        leader.handle(SubmitDurableJob(job, submitted_at=at - OVERLOAD_WAIT), at)
        shares += [
            effect.message.share
            for effect in leader.effects
            if isinstance(effect, Send) and isinstance(effect.message, AdmissionChanged)
        ]
    return shares


def test_standing_delay_in_front_of_the_leader_is_announced(leader: Leader) -> None:
    """Guards against an overload that the leader keeps for itself."""
    assert min(overload(leader)) < 1.0
    assert len(overload(leader, BEGIN + 1.0)) <= OVERLOAD_TIME / WINDOW


def test_overloaded_leader_accepts_no_job_that_can_only_be_late(leader: Leader) -> None:
    """Guards against late work that makes other jobs late."""
    overload(leader)
    now = BEGIN + OVERLOAD_TIME
    late = make_durable_job("late", best_effort=True)
    limit = latest_start(late) - late.submitted_at
    message = SubmitDurableJob(late, submitted_at=now - limit - 0.01, reply_to=CALLER)
    leader.handle(message, now)
    assert [reply.status for reply in leader.replies()] == [ReplyStatus.REFUSED]
    in_time = make_durable_job("in-time", best_effort=True)
    message = SubmitDurableJob(in_time, submitted_at=now - limit / 2, reply_to=CALLER)
    leader.handle(message, now)
    assert leader.replies() == []


def test_new_term_admits_everything(leader: Leader) -> None:
    """Guards against refusals because of the load of an earlier term."""
    overload(leader)
    leader.handle(LeadershipLost(), BEGIN + 1.0)
    assert leader.state.admission == AdmissionControl()


def refuse(leader: Leader, job_id: str, now: float = BEGIN) -> tuple[str, ...]:
    """Refuse a job at an edge; return the jobs that the leader knows."""
    batch = RefuseSubmissions("e1", 1, (job_id,))
    (send,) = leader.handle(batch, now)
    assert (send.to, send.message.number) == (Address("e1", "directory"), 1)
    return send.message.known_job_ids


def test_job_that_an_edge_refuses_does_not_run_by_an_earlier_submission(
    leader: Leader,
) -> None:
    """Guards against a run of a job that its caller was told had been refused."""
    job = make_durable_job("j1", best_effort=True)
    assert refuse(leader, "j1", BEGIN + 0.1) == ()
    leader.handle(SubmitDurableJob(job, submitted_at=BEGIN), BEGIN + 0.15)
    assert leader.starts() == []
    leader.handle(SubmitDurableJob(job, submitted_at=BEGIN + 0.2), BEGIN + 0.2)
    assert len(leader.starts()) == 2


def test_job_that_the_leader_knows_is_not_refused(leader: Leader) -> None:
    """Guards against refusing a job that runs by an earlier submission."""
    job = make_durable_job("j1", best_effort=True)
    leader.handle(SubmitDurableJob(job, submitted_at=BEGIN))
    assert refuse(leader, "j1") == ("j1",)


def test_nothing_is_refused_before_the_takeover_is_complete(
    settings: Settings,
) -> None:
    """Guards against refusing a job that ran under the leader before."""
    leader = Leader(settings)
    leader.lead()
    assert refuse(leader, "j1") == ("j1",)


def test_admitted_share_reaches_the_instances_that_follow_the_leader(
    settings: Settings,
) -> None:
    """Guards against an overload that the other instances learn of only by asking."""
    state = configuration.make_state(settings, incarnation=1)
    record_subscriber(state.leadership, "e1", 0, BEGIN)
    (send,) = configuration.handle(AdmissionChanged(0.25), state, BEGIN)
    assert (send.to.instance, send.to.controller) == ("e1", "directory")
    assert isinstance(send.message, LeaderNotice)
    assert send.message.admitted_share == 0.25


def test_orders_that_are_answered_late_are_announced(settings: Settings) -> None:
    """Guards against a leader that decides faster than it can carry out."""
    leader = Leader(settings)
    leader.lead()
    leader.join(capacity=Resources(64 * NEEDS.millicores, 64 * NEEDS.memory))
    for start in submit_wide_job(leader, "j1", BEGIN):
        leader.answer(start, now=BEGIN + USUAL_ORDER_TIME)
    leader.handle(Tick(), BEGIN + WINDOW)
    assert leader.state.admission.share == 1.0
    begin = BEGIN + 2 * WINDOW
    for number, start in enumerate(submit_wide_job(leader, "j2", begin)):
        leader.answer(start, now=begin + OVERLOAD_WAIT + number * WINDOW / 10)
    assert leader.state.admission.share < 1.0


def submit_wide_job(leader: Leader, job_id: str, now: float) -> list[StartRun]:
    """Submit a job of many tasks and return their starts."""
    job = make_durable_job(job_id, Step(30, NEEDS, 0.2), best_effort=True)
    leader.handle(SubmitDurableJob(job, submitted_at=now), now)
    return leader.starts()
