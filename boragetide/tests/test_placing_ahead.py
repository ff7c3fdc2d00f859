"""Placement that looks ahead, by the dispatcher without a network."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from boragetide.controllers.reserving import make_outlook
from boragetide.durable import JobRecord, Resources, Step
from boragetide.effects import Count, LogEvent, StartRun
from boragetide.messages import (
    ExplainDurableJob,
    LeadershipLost,
    RemoveServer,
    ReportServer,
    SubmitDurableJob,
    Tick,
    WithdrawSubmissions,
)
from boragetide.policy.reservations import MAX_DELAY, MIN_TIMES_OVERTAKEN
from boragetide.policy.scheduling import latest_start
from boragetide.policy.zones import Trial
from boragetide.settings import DispatchSettings, PlacementRule, Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    BORN,
    CALLER,
    CAPACITY,
    Leader,
    list_end,
    list_run,
    make_durable_job,
    make_report,
)

HALF = Step(1, Resources(30_000, 64), 0.3)
BIG = Step(1, Resources(50_000, 64), 0.2)
TINY = Step(1, Resources(10, 1), 0.2)
BIG_AT = BEGIN + 0.19
# Small jobs are ranked up to 0.05 s earlier than large ones.
OVERTAKEN_AT = BEGIN + 0.25
EXPECTED_AT = BEGIN + 0.3  # end of the runs that occupy the server


def set_placement(settings: Settings, rule: PlacementRule) -> Settings:
    return replace(settings, dispatch=DispatchSettings(placement=rule))


@pytest.fixture(params=[PlacementRule.LOOK_AHEAD])
def busy(settings: Settings, request: pytest.FixtureRequest) -> Busy:
    """A leader whose only server is used by two runs until `EXPECTED_AT`."""
    return Busy(set_placement(settings, request.param))


class Busy(Leader):
    """A leader with one backend server, on which two runs leave 4 cores free.

    Parameters
    ----------
    events
        Log lines since the last call of `take_events`.
    """

    def __init__(self, settings: Settings):
        super().__init__(settings)
        self.events: list[LogEvent] = []
        self.counts: list[Count] = []
        self.lead()
        self.join()
        submit_at(self, "a", replace(HALF, count=2), BEGIN)
        self.first, self.second = self.starts()
        self.answer(self.first)
        self.answer(self.second)
        self.ended = ()

    def handle(self, message: Any, now: float = BEGIN) -> list[Any]:
        """Handle one message and note the log lines and counts."""
        effects = super().handle(message, now)
        self.events += [each for each in effects if isinstance(each, LogEvent)]
        self.counts += [each for each in effects if isinstance(each, Count)]
        return effects

    def send(self, job_id: str, step: Step, now: float) -> list[StartRun]:
        """Submit a job of one step and answer the starts."""
        submit_at(self, job_id, step, now)
        starts = self.starts()
        for start in starts:
            self.answer(start, now=now)
        return starts

    def overtake(self, times: int = MIN_TIMES_OVERTAKEN) -> None:
        """Let a large job wait and be overtaken by small ones."""
        assert not self.send("big", BIG, BIG_AT)
        for number in range(times):
            assert self.send(f"tiny-{number}", TINY, OVERTAKEN_AT)

    def end(self, start: StartRun, now: float) -> list[StartRun]:
        """List a run as ended, and return the starts that this causes."""
        number = len(self.ended) + 1
        self.ended += (list_end(start, number),)
        running = tuple(
            list_run(each)
            for each in (self.first, self.second)
            if all(end.task != each.task for end in self.ended)
        )
        self.list_runs(running=running, ended=self.ended, now=now, sent_at=BEGIN)
        return self.starts()

    def take_events(self, name: str) -> list[dict[str, Any]]:
        """Return and forget the fields of the log lines of a name."""
        found = [event.fields for event in self.events if event.event == name]
        self.events = [event for event in self.events if event.event != name]
        return found


def submit_at(leader: Leader, job_id: str, step: Step, now: float) -> None:
    """Submit a best-effort job of one step."""
    job = make_durable_job(job_id, step, best_effort=True, submitted_at=now)
    leader.handle(SubmitDurableJob(job=job, age=0.0, reply_to=CALLER), now)


def test_overtaken_job_gets_the_room_that_ends_soon(busy: Busy) -> None:
    """Guards against a large job that waits while small ones take all room."""
    busy.overtake()
    (made,) = busy.take_events("reservation_made")
    assert (made["job"], made["server"]) == ("big", "s1")
    assert not busy.end(busy.first, EXPECTED_AT - 0.02)
    assert not busy.send("half", HALF, EXPECTED_AT - 0.01)
    (start,) = busy.end(busy.second, EXPECTED_AT)
    assert start.task.job_id == "big"
    (kept,) = busy.take_events("reservation_kept")
    assert kept["job"] == "big"
    ordered = busy.take_events("run_ordered")[-1]
    assert (ordered["job"], ordered["why"]) == ("big", "reserved")
    outcomes = [c.labels["outcome"] for c in busy.counts if c.metric == "reservations"]
    assert outcomes == ["made", "kept"]


@pytest.mark.parametrize("busy", [PlacementRule.FIRST_FIT], indirect=True)
def test_first_fit_reserves_nothing(busy: Busy) -> None:
    """Guards against reservations in installations that did not turn them on."""
    busy.overtake()
    assert not busy.take_events("reservation_made")
    busy.end(busy.first, EXPECTED_AT - 0.02)
    (start,) = busy.send("half", HALF, EXPECTED_AT - 0.01)
    assert start.task.job_id == "half"
    assert all("why" not in fields for fields in busy.take_events("run_ordered"))


def test_job_that_is_overtaken_less_often_gets_no_reservation(busy: Busy) -> None:
    """Guards against room that is held free for jobs that find some anyway."""
    busy.overtake(MIN_TIMES_OVERTAKEN - 1)
    assert not busy.take_events("reservation_made")


def test_short_task_starts_beside_a_reservation(busy: Busy) -> None:
    """Guards against reserved room that is idle although a task would end in time."""
    busy.overtake()
    busy.end(busy.first, EXPECTED_AT - 0.03)
    (start,) = busy.send("short", replace(HALF, estimate=0.01), EXPECTED_AT - 0.029)
    assert start.task.job_id == "short"
    ordered = busy.take_events("run_ordered")[-1]
    assert ordered["why"] == "beside_reservation"
    assert ordered["reserved_for"] == "big"


def test_late_job_does_not_take_reserved_room(busy: Busy) -> None:
    """Guards against late jobs that count as more urgent than one that is in time."""
    busy.overtake()
    busy.end(busy.first, EXPECTED_AT - 0.02)
    now, age = EXPECTED_AT - 0.01, 0.5
    job = make_durable_job("late", HALF, best_effort=True, submitted_at=now - age)
    assert latest_start(job) < now
    busy.handle(SubmitDurableJob(job=job, age=age, reply_to=CALLER), now)
    assert not busy.starts()
    (start,) = busy.end(busy.second, EXPECTED_AT)
    assert start.task.job_id == "big"


def test_reservation_is_given_up_if_an_end_is_late(busy: Busy) -> None:
    """Guards against a server that stays idle behind a run of the long tail."""
    busy.overtake()
    busy.end(busy.first, EXPECTED_AT - 0.02)
    assert not busy.send("half", HALF, EXPECTED_AT - 0.01)
    busy.handle(Tick(), EXPECTED_AT + MAX_DELAY + 0.005)
    assert [start.task.job_id for start in busy.starts()] == ["half"]
    (given_up,) = busy.take_events("reservation_given_up")
    assert given_up["reason"] == "end_late"
    busy.take_events("reservation_made")
    for number in range(MIN_TIMES_OVERTAKEN):
        busy.send(f"more-{number}", TINY, EXPECTED_AT + MAX_DELAY + 0.006)
    assert not busy.take_events("reservation_made")


def test_reservation_is_given_up_if_the_job_is_too_late(busy: Busy) -> None:
    """Guards against a server that is held free for a job that cannot be in time."""
    busy.overtake()
    job = busy.state.queue.waiting_by_id["big"]
    reservation = busy.state.reservations.by_server["s1"]
    assert reservation.in_time_until == pytest.approx(job.latest_start)
    busy.state.reservations.by_server["s1"] = replace(
        reservation, in_time_until=EXPECTED_AT - 0.03
    )
    busy.end(busy.first, EXPECTED_AT - 0.02)
    (given_up,) = busy.take_events("reservation_given_up")
    assert given_up["reason"] == "too_late"
    assert busy.send("half", HALF, EXPECTED_AT - 0.01)


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"draining": True}, "server_out_of_service"),
        ({"capacity": Resources(40_000, 100_000)}, "server_shrank"),
    ],
)
def test_reservation_ends_with_what_it_relies_on(
    busy: Busy, fields: dict[str, Any], reason: str
) -> None:
    """Guards against a reservation of a server that its job cannot use any more."""
    busy.overtake()
    report = make_report(sequence=2, **fields)
    busy.handle(ReportServer(report=report), EXPECTED_AT - 0.03)
    busy.handle(Tick(), EXPECTED_AT - 0.02)
    (given_up,) = busy.take_events("reservation_given_up")
    assert given_up["reason"] == reason
    assert not busy.state.reservations.by_server


def test_reservation_ends_with_the_life_of_its_server(busy: Busy) -> None:
    """Guards against room that is awaited at a process that is gone."""
    busy.overtake()
    busy.handle(RemoveServer(id="s1", born=BORN), EXPECTED_AT - 0.03)
    busy.handle(Tick(), EXPECTED_AT - 0.02)
    assert busy.take_events("reservation_given_up")
    assert not busy.state.reservations.by_server


def test_job_that_starts_elsewhere_leaves_its_reservation(busy: Busy) -> None:
    """Guards against room that stays reserved for a job that has started."""
    busy.overtake()
    busy.join("s2", now=EXPECTED_AT - 0.04)
    busy.handle(Tick(), EXPECTED_AT - 0.03)
    assert [fields["server"] for fields in busy.take_events("run_ordered")][-1] == "s2"
    busy.send("tiny-last", TINY, EXPECTED_AT - 0.02)
    (given_up,) = busy.take_events("reservation_given_up")
    assert given_up["reason"] == "not_waiting"


def test_no_room_is_reserved_on_a_server_that_returns(busy: Busy) -> None:
    """Guards against reservations given up because a trial limits the runs."""
    server = busy.state.servers_by_id["s1"]
    overtaking = MIN_TIMES_OVERTAKEN + 1
    server.trial = Trial(BEGIN, max_runs=len(server.runs_by_task) + overtaking)
    busy.overtake(overtaking)
    assert not busy.send("tiny-last", TINY, OVERTAKEN_AT)
    busy.handle(Tick(), OVERTAKEN_AT + 0.001)
    assert not busy.take_events("reservation_given_up")
    assert not busy.take_events("reservation_made")
    server.trial = None
    busy.send("tiny-next", TINY, OVERTAKEN_AT + 0.02)
    (made,) = busy.take_events("reservation_made")
    assert made["job"] == "big"


def test_reservation_ends_with_its_job_although_nothing_waits(busy: Busy) -> None:
    """Guards against a server that stays reserved for a job that was withdrawn."""
    busy.overtake()
    busy.handle(WithdrawSubmissions("big", CALLER.instance), EXPECTED_AT - 0.04)
    assert not busy.state.queue.waiting_by_id
    busy.handle(Tick(), EXPECTED_AT - 0.03)
    (given_up,) = busy.take_events("reservation_given_up")
    assert (given_up["job"], given_up["reason"]) == ("big", "not_waiting")
    job = make_durable_job("asked", replace(TINY, estimate=9.0), best_effort=True)
    busy.handle(ExplainDurableJob(job=job, reply_to=CALLER), EXPECTED_AT - 0.02)
    (reply,) = busy.replies()
    assert reply.explanation.steps[0].tasks_by_server == {"s1": 1}


def test_new_leader_reserves_nothing_behind_runs_that_it_adopted(busy: Busy) -> None:
    """Guards against ends that a leader expects of runs whose begin it has not seen."""
    busy.overtake()
    busy.handle(LeadershipLost(), OVERTAKEN_AT)
    assert not busy.state.reservations.by_server
    assert not busy.state.run_times.model_by_class
    job = make_durable_job("a", replace(HALF, count=2), submitted_at=BEGIN)
    busy.term = 2
    busy.lead(OVERTAKEN_AT, (JobRecord(job),))
    running = list_run(busy.first), list_run(busy.second)
    busy.list_runs(running=running, now=OVERTAKEN_AT)
    server = busy.state.servers_by_id["s1"]
    assert len(server.runs_by_task) == 2
    assert make_outlook(busy.state, server, OVERTAKEN_AT).ends == ()


def test_no_room_is_exceeded_beside_reservations(busy: Busy) -> None:
    """Guards against a task that starts where there is no room, or twice."""
    busy.overtake()
    busy.end(busy.first, EXPECTED_AT - 0.02)
    busy.end(busy.second, EXPECTED_AT)
    for number in range(5):
        busy.send(f"half-{number}", HALF, EXPECTED_AT + 0.001 * number)
    server = busy.state.servers_by_id["s1"]
    assert server.used.fits_in(CAPACITY)
    orders = busy.take_events("run_ordered")
    assert len({(each["job"], each["task"]) for each in orders}) == len(orders)
