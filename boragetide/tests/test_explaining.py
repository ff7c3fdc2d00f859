"""Explanations of where a job would be placed, without a network."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from boragetide.controllers import placing_runs
from boragetide.controllers.dispatch_state import update_server_index
from boragetide.durable import DurableJob, Resources, Step
from boragetide.messages import (
    ConfigurationChanged,
    ConfigurationConfirmed,
    ExplainDurableJob,
    JobExplanation,
    LeadershipLost,
    ReplyStatus,
    SubmitDurableJob,
)
from boragetide.policy.reservations import Reservation
from boragetide.policy.zones import FIRST_TRIAL_RUNS, Trial
from boragetide.settings import DispatchSettings, PlacementRule, Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    CALLER,
    NEEDS,
    Leader,
    make_durable_job,
)
from boragetide.types import Configuration

STEP = Step(3, NEEDS, 0.2)


def explain(leader: Leader, *steps: Step) -> JobExplanation:
    """Ask the leader where a job would be placed."""
    job = make_durable_job("asked", *steps, best_effort=True)
    leader.handle(ExplainDurableJob(job=job, reply_to=CALLER))
    (reply,) = leader.replies()
    assert reply.status is ReplyStatus.FOUND
    return reply.explanation


def set_speed(leader: Leader, server_id: str, speed: float) -> None:
    """Set the learned speed of a backend server."""
    server = leader.state.servers_by_id[server_id]
    server.speed = speed
    update_server_index(leader.state, server)


def lead_with_reservation(settings: Settings, needs: Resources) -> Leader:
    """Return a leader whose only backend server has a reservation."""
    dispatch = DispatchSettings(placement=PlacementRule.LOOK_AHEAD)
    leader = Leader(replace(settings, dispatch=dispatch))
    leader.lead()
    leader.join()
    leader.state.reservations.by_server["s1"] = Reservation(
        job_id="big",
        server="s1",
        needs=needs,
        latest_start=BEGIN,
        in_time_until=BEGIN + 1.0,
        expected_at=BEGIN + 0.1,
        made_at=BEGIN,
    )
    return leader


def test_explanation_starts_and_stores_nothing(leader: Leader) -> None:
    """Guards against a question that runs the job, or that holds its room."""
    explained = explain(leader, STEP)
    assert explained.steps[0].tasks_by_server == {"s1": 2}
    assert explained.steps[0].servers_by_reason == {"busy": 1}
    assert (explained.pool, explained.jobs_ahead) == ("pool", 0)
    assert not leader.starts()
    assert not leader.appended()
    assert not leader.state.records_by_id
    assert not leader.state.queue.waiting_by_id
    assert explain(leader, STEP) == explained


@pytest.mark.parametrize("seed", range(20))
def test_job_starts_where_it_was_explained(settings: Settings, seed: int) -> None:
    """Guards against an explanation by other rules than those of the dispatcher."""
    rng = Random(seed)
    leader = Leader(settings)
    leader.lead()
    for number in range(6):
        cores = rng.choice([32_000, 64_000, 96_000])
        leader.join(f"s{number}", capacity=Resources(cores, 100_000))
        set_speed(leader, f"s{number}", rng.uniform(0.4, 2.0))
    for number in range(12):
        needs = Resources(rng.randrange(8_000, 40_000), 64)
        step = Step(rng.randrange(1, 5), needs, rng.choice([0.05, 0.2, 1.0]))
        (explained,) = explain(leader, step).steps
        job: DurableJob = make_durable_job(f"j{number}", step, best_effort=True)
        leader.handle(SubmitDurableJob(job=job, age=0.0, reply_to=CALLER))
        starts = [each for each in leader.starts() if each.task.job_id == job.id]
        assert Counter(each.server for each in starts) == explained.tasks_by_server
        for each in leader.starts():
            leader.answer(each)


def test_reasons_name_what_keeps_tasks_from_servers(settings: Settings) -> None:
    """Guards against an operator who cannot tell why a job waits."""
    leader = Leader(settings)
    leader.lead()
    labels = ("big",)
    leader.join("drained", labels=labels, draining=True)
    leader.join("plain")
    leader.join("small", labels=labels, capacity=Resources(20_000, 100_000))
    leader.join("slow", labels=labels)
    leader.join("full", labels=labels)
    leader.join("elsewhere", labels=labels, pool="other")
    set_speed(leader, "slow", 0.1)
    (step,) = explain(leader, replace(STEP, required_label="big")).steps
    assert step.tasks_by_server == {"full": 2}
    assert step.servers_by_reason == {
        "out_of_service": 1,
        "lacks_label": 1,
        "too_small": 1,
        "too_slow": 1,
        "busy": 1,
    }


def test_servers_of_evacuated_zones_are_explained(leader: Leader) -> None:
    """Guards against an evacuation that is shown as a fault of the servers."""
    leader.join("s2", zone="b")
    evacuated = Configuration(
        version=2, evacuated_zones=frozenset({"b"}), evacuation_used=True
    )
    leader.handle(ConfigurationChanged(evacuated))
    leader.handle(ConfigurationConfirmed(evacuated.version, BEGIN))
    explained = explain(leader, STEP)
    assert explained.can_start
    assert explained.steps[0].tasks_by_server == {"s1": 2}
    assert explained.steps[0].servers_by_reason == {"busy": 1, "evacuated": 1}


def test_nothing_is_shown_to_start_with_an_old_view_of_the_zones(
    leader: Leader,
) -> None:
    """Guards against a job that is shown to start while starts are withheld."""
    changed = Configuration(version=2, evacuation_used=True)
    assert explain(leader, STEP).can_start
    leader.handle(ConfigurationChanged(changed))
    assert not explain(leader, STEP).can_start
    leader.handle(ConfigurationConfirmed(changed.version, BEGIN))
    assert explain(leader, STEP).can_start


def test_limit_by_server_is_explained(leader: Leader) -> None:
    """Guards against a limit of the job itself that is shown as a full server."""
    (step,) = explain(leader, replace(STEP, max_per_server=1)).steps
    assert step.tasks_by_server == {"s1": 1}
    assert step.servers_by_reason == {"limit_reached": 1}


def test_reserved_server_is_explained(settings: Settings) -> None:
    """Guards against reserved room that is shown as free or as in use."""
    leader = lead_with_reservation(settings, Resources(50_000, 64))
    (step,) = explain(leader, STEP).steps
    assert (step.tasks_by_server, step.servers_by_reason) == ({}, {"reserved": 1})


def test_job_starts_beside_a_reservation_as_it_was_explained(
    settings: Settings, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against more tasks in the answer than fit beside a reservation."""
    leader = lead_with_reservation(settings, Resources(20_000, 64))
    # The job of the reservation is not known, so that a review would give it up.
    monkeypatch.setattr(placing_runs, "review_reservations", lambda *_: [])
    step = Step(3, Resources(20_000, 64), 0.2)
    (explained,) = explain(leader, step).steps
    assert explained.tasks_by_server == {"s1": 2}
    job = make_durable_job("j1", step, best_effort=True)
    leader.handle(SubmitDurableJob(job=job, age=0.0, reply_to=CALLER))
    assert len(leader.starts()) == 2


def test_returning_server_gets_as_many_runs_as_explained(leader: Leader) -> None:
    """Guards against more tasks in the answer than a returning server may run."""
    leader.state.servers_by_id["s1"].trial = Trial(BEGIN - 1.0)
    step = Step(4, Resources(10_000, 64), 0.2)
    first, second = explain(leader, step, step).steps
    assert first.tasks_by_server == {"s1": FIRST_TRIAL_RUNS}
    assert second.tasks_by_server == {}
    job = make_durable_job("j1", step, step, best_effort=True)
    leader.handle(SubmitDurableJob(job=job, age=0.0, reply_to=CALLER))
    assert len(leader.starts()) == FIRST_TRIAL_RUNS


def test_later_steps_wait_for_earlier_ones(leader: Leader) -> None:
    """Guards against tasks that are shown to start before what they depend on."""
    first, second = explain(leader, STEP, replace(STEP, depends_on=(0,))).steps
    assert first.tasks_by_server
    assert (second.tasks_by_server, second.waits_for) == ({}, (0,))


def test_steps_share_the_room(leader: Leader) -> None:
    """Guards against two steps that are both shown in the same room."""
    first, second = explain(leader, replace(STEP, count=1), STEP).steps
    assert (first.tasks_by_server, second.tasks_by_server) == ({"s1": 1}, {"s1": 1})


def test_only_the_leader_explains(leader: Leader) -> None:
    """Guards against an answer by the old view of a former leader."""
    leader.handle(LeadershipLost())
    job = make_durable_job("asked", STEP)
    leader.handle(ExplainDurableJob(job=job, reply_to=CALLER))
    (reply,) = leader.replies()
    assert reply.status is ReplyStatus.NOT_LEADER
