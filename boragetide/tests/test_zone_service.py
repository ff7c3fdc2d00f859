"""Every start obeys the evacuated zones, and zones return gradually."""

from __future__ import annotations

from dataclasses import replace

import pytest

from boragetide.controllers import backend_servers, isolating
from boragetide.controllers.placing import place_tasks
from boragetide.controllers.stranded_jobs import RoomTable, list_needs
from boragetide.controllers.zone_pool import OLD_VIEW_TOLERANCE
from boragetide.durable import Fit, JobRecord, Resources, RunLoss, Step
from boragetide.effects import Count, Effect, LogEvent, Send, StartRun, StartTasks
from boragetide.messages import (
    AnnounceBackendServer,
    ConfigurationChanged,
    ConfigurationConfirmed,
    LeadershipLost,
    OrderResult,
    PoolSize,
    QueueTasks,
    ReplyStatus,
    ReportServer,
    RunsRead,
    SubmitDurableJob,
    TasksRefused,
    Tick,
)
from boragetide.policy.zones import (
    FIRST_TRIAL_RUNS,
    MAX_TRIAL_TIME,
    MAX_VIEW_AGE,
    RETURN_SPREAD,
    TRIAL_RUNS,
    Obstacle,
    ZoneView,
    begin_trial,
    find_obstacle,
    may_take_run,
    record_trial_run,
)
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    BORN,
    CALLER,
    CAPACITY,
    NEEDS,
    Leader,
    list_end,
    list_run,
    make_durable_job,
    make_report,
    submit,
)
from boragetide.tests.pool_fixtures import NOW, describe_server, make_placer
from boragetide.types import Configuration, Task

IN_SERVICE = Configuration(version=1)
EVACUATED = Configuration(
    version=2, evacuated_zones=frozenset({"a"}), evacuation_used=True
)
RETURNED = Configuration(version=3, evacuation_used=True)
ALL_EVACUATED = replace(EVACUATED, evacuated_zones=frozenset({"a", "b"}))
SMALL = Resources(30_000, 100_000)


def apply(leader: Leader, configuration: Configuration, now: float = BEGIN) -> None:
    """Put a configuration in force which a leader of the log confirms now."""
    leader.handle(ConfigurationChanged(configuration), now)
    confirm(leader, configuration, now)


def confirm(leader: Leader, configuration: Configuration, now: float) -> None:
    leader.handle(ConfigurationConfirmed(configuration.version, now), now)


@pytest.fixture
def leader(settings: Settings) -> Leader:
    """A leader with one server, where the settings turn evacuation on."""
    made = Leader(replace(settings, evacuation=True))
    made.lead()
    apply(made, IN_SERVICE)
    made.join("s1", zone="a")
    return made


def renew(leader: Leader, *server_ids: str, now: float, **fields: str) -> None:
    """Let servers announce themselves again and list no runs."""
    for server_id in server_ids:
        known = leader.state.servers_by_id[server_id].report
        report = replace(known, sequence=known.sequence + 1)
        leader.handle(ReportServer(report=report), now)
        leader.list_runs(server_id, now=now)


def test_nothing_starts_in_an_evacuated_zone_and_running_tasks_go_on(
    leader: Leader,
) -> None:
    """Guards against starts in a zone that an operator has emptied."""
    submit(leader)
    assert len(leader.starts()) == 2
    apply(leader, EVACUATED)
    assert leader.stops() == []
    assert leader.state.servers_by_id["s1"].runs_by_task
    submit(leader, job_id="j2")
    assert (leader.starts(), leader.replies()[0].status) == ([], ReplyStatus.REFUSED)
    leader.join("s2", zone="b")
    submit(leader, job_id="j3")
    assert {start.server for start in leader.starts()} == {"s2"}


def test_jobs_that_wait_start_when_the_zone_returns(leader: Leader) -> None:
    """Guards against accepted jobs that a return does not serve."""
    leader.join("s2", zone="b", capacity=SMALL)
    apply(leader, EVACUATED)
    for number in range(2):
        leader.handle(SubmitDurableJob(job=make_durable_job(f"j{number}")))
        (accepted,) = leader.appended()
        leader.commit(accepted)
    assert leader.state.queue.waiting_by_id
    apply(leader, RETURNED)
    now = BEGIN + RETURN_SPREAD
    leader.handle(ConfigurationConfirmed(RETURNED.version, now), now)
    renew(leader, "s1", now=now)
    assert {start.server for start in leader.starts()} == {"s1"}


def test_start_is_not_repeated_in_an_evacuated_zone(leader: Leader) -> None:
    """Guards against a repeated order that is the first one to arrive."""
    submit(leader)
    lost = leader.starts()[0]
    apply(leader, EVACUATED)
    leader.answer(lost, OrderResult.UNANSWERED)
    assert leader.starts() == []
    assert [stop.run for stop in leader.stops()] == [lost.run]


def test_suspect_does_not_start_alone_in_an_evacuated_zone(leader: Leader) -> None:
    """Guards against starts that do not pass through the queue."""
    leader.join("s2", zone="b", capacity=SMALL)
    job = make_durable_job("j1", steps_for_suspect(), best_effort=True)
    state = leader.state
    state.records_by_id["j1"] = JobRecord(job)
    state.losses.put("j1", (RunLoss("j1", 0, "s0", "s0:80", BORN, BEGIN),))
    apply(leader, EVACUATED)
    state.suspects_by_job["j1"] = {0: job.steps[0]}
    isolating.place_suspects(state, BEGIN)
    assert not state.isolated_servers
    apply(leader, IN_SERVICE)
    state.servers_by_id["s1"].trial = None
    effects = isolating.place_suspects(state, BEGIN)
    assert [each.server for each in effects if isinstance(each, StartRun)] == ["s1"]


def steps_for_suspect() -> Step:
    """Return a step that fits only the larger server, in zone ``a``."""
    return Step(1, Resources(40_000, 64), 0.2)


def test_job_that_fits_no_zone_in_service_is_refused_at_once(leader: Leader) -> None:
    """Guards against callers that wait for a server which is not to be used."""
    leader.join("s2", zone="b", capacity=SMALL)
    apply(leader, EVACUATED)
    job = make_durable_job("j1", steps_for_suspect())
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER))
    (reply,) = leader.replies()
    assert reply.status is ReplyStatus.REFUSED
    assert reply.retry_after > 0
    assert Count("refusals_for_evacuation") in leader.effects
    apply(leader, RETURNED)
    leader.handle(SubmitDurableJob(job=replace(job, id="j2"), reply_to=CALLER))
    assert leader.replies() == []


def test_all_jobs_are_refused_while_every_zone_is_evacuated(leader: Leader) -> None:
    """Guards against the rule that any job fits while no server is known."""
    leader.join("s2", zone="b")
    apply(leader, ALL_EVACUATED)
    for best_effort in (True, False):
        job = make_durable_job(f"j{best_effort}", best_effort=best_effort)
        leader.handle(SubmitDurableJob(job=job, reply_to=CALLER))
        assert [reply.status for reply in leader.replies()] == [ReplyStatus.REFUSED]


def test_evacuated_servers_are_no_room_for_other_groups(leader: Leader) -> None:
    """Guards against transfers to a group that may not start the job."""
    (need,) = list_needs(leader.state, make_durable_job())
    assert RoomTable(leader.state, BEGIN).find_offer(need).fit is Fit.FREE
    apply(leader, EVACUATED)
    offer = RoomTable(leader.state, BEGIN).find_offer(need)
    assert (offer.fit, offer.slots) == (Fit.NONE, 0)


def test_server_that_joins_an_evacuated_zone_gets_nothing(leader: Leader) -> None:
    """Guards against servers that were not known when the zone was evacuated."""
    apply(leader, EVACUATED)
    leader.join("s3", zone="a")
    submit(leader)
    assert leader.starts() == []


def test_leader_that_is_cut_off_starts_nothing_after_the_bound(
    leader: Leader,
) -> None:
    """Guards against a member that is cut off together with the evacuated zone."""
    now = BEGIN + MAX_VIEW_AGE - 0.1
    renew(leader, "s1", now=now)
    submit(leader, submitted_at=now)
    assert leader.starts()
    now = BEGIN + MAX_VIEW_AGE + 0.1
    for start in leader.starts():
        leader.list_runs("s1", ended=(list_end(start, start.number + 1),), now=now)
    renew(leader, "s1", now=now)
    job = make_durable_job("j2", best_effort=True, submitted_at=now)
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER), now)
    assert leader.starts() == []
    leader.handle(Tick(), now)
    withheld = [e for e in leader.effects if isinstance(e, LogEvent)]
    assert "starts_withheld" in {event.event for event in withheld}
    confirm(leader, IN_SERVICE, now)
    assert leader.starts()


def test_confirmation_of_a_newer_version_does_not_count(leader: Leader) -> None:
    """Guards against a view that lacks what was confirmed."""
    now = BEGIN + MAX_VIEW_AGE + 0.1
    renew(leader, "s1", now=now)
    leader.handle(ConfigurationConfirmed(IN_SERVICE.version + 1, now), now)
    job = make_durable_job("j1", best_effort=True, submitted_at=now)
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER), now)
    assert leader.starts() == []


def test_view_counts_only_where_evacuation_is_used(settings: Settings) -> None:
    """Guards against installations without evacuation that depend on confirmations."""
    leader = Leader(settings)
    leader.lead()
    leader.join()
    leader.handle(ConfigurationChanged(IN_SERVICE))
    submit(leader)
    assert leader.starts()
    leader.handle(ConfigurationChanged(RETURNED))
    submit(leader, job_id="j2")
    assert leader.starts() == []


def test_next_leader_knows_the_evacuated_zones(leader: Leader) -> None:
    """Guards against an evacuation that is lost with the leader of a group."""
    leader.handle(LeadershipLost())
    apply(leader, EVACUATED)
    leader.term = 2
    leader.lead()
    leader.list_runs("s1")
    submit(leader)
    assert leader.starts() == []


def test_returning_server_gets_more_runs_as_it_shows_results(leader: Leader) -> None:
    """Guards against a burst of starts on servers that may be slow at first."""
    server = leader.state.servers_by_id["s1"]
    large = replace(server.report, capacity=Resources(640_000, 1_000_000), sequence=9)
    leader.handle(ReportServer(report=large))
    server.speed = 0.3
    apply(leader, EVACUATED)
    apply(leader, RETURNED)
    assert server.speed == 1.0
    now = BEGIN + RETURN_SPREAD
    renew(leader, "s1", now=now)
    confirm(leader, RETURNED, now)
    step = Step(20, NEEDS, 0.2)
    job = make_durable_job("j1", step, best_effort=True, submitted_at=now)
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER), now)
    running = leader.starts()
    assert len(running) == FIRST_TRIAL_RUNS
    at_a_time = []
    for number in range(1, TRIAL_RUNS + 1):
        ended, *running = running
        leader.handle(
            RunsRead(
                server="s1",
                term=1,
                sent_at=now,
                clock=500.0 + now - BEGIN,
                born=server.report.born,
                running=tuple(map(list_run, running)),
                ended=(list_end(ended, number),),
            ),
            now,
        )
        running += leader.starts()
        at_a_time.append(len(running))
    assert at_a_time == sorted(at_a_time)
    assert at_a_time[0] <= FIRST_TRIAL_RUNS + 1
    leader.handle(Tick(), now + 1.0)
    assert server.trial is None


def test_failed_run_begins_the_trial_anew() -> None:
    """Guards against a returning server that fails more runs with each failure."""
    trial = begin_trial("s1", BEGIN)
    now = BEGIN + RETURN_SPREAD
    for _ in range(TRIAL_RUNS - 1):
        record_trial_run(trial, failed=False)
    record_trial_run(trial, failed=True)
    assert not trial.is_over(now)
    assert may_take_run(trial, 0, now)
    assert not may_take_run(trial, 1, now)
    assert may_take_run(trial, 99, trial.begins_at + MAX_TRIAL_TIME + 0.1)


def test_servers_of_a_zone_return_one_after_the_other() -> None:
    """Guards against a burst of connections to all servers of a zone."""
    begins = [begin_trial(f"s{n}", BEGIN).begins_at - BEGIN for n in range(100)]
    assert 0 <= min(begins) <= max(begins) <= RETURN_SPREAD
    quarters = [
        sum(q <= 4 * b / RETURN_SPREAD < q + 1 for b in begins) for q in range(4)
    ]
    assert min(quarters) > 10


def test_obstacles() -> None:
    """Guards against an old view that rules out nothing, or a recent one that does."""
    view = ZoneView(enabled=True)
    view.apply(EVACUATED)
    assert find_obstacle("a", view, BEGIN) is Obstacle.EVACUATED
    assert find_obstacle("b", view, BEGIN) is Obstacle.OLD_VIEW
    view.confirm(EVACUATED.version, BEGIN)
    assert find_obstacle("b", view, BEGIN + MAX_VIEW_AGE) is None
    assert find_obstacle("b", view, BEGIN + MAX_VIEW_AGE + 0.1) is Obstacle.OLD_VIEW
    view.confirm(EVACUATED.version, BEGIN - 1.0)
    assert find_obstacle("b", view, BEGIN + MAX_VIEW_AGE) is None


def queue(job_id: str, count: int = 1) -> QueueTasks:
    return QueueTasks(job_id, "default", (Task(None, 0.1),) * count, False)


def test_pool_of_an_evacuated_zone_refuses_at_once_and_tells_its_size(
    settings: Settings,
) -> None:
    """Guards against at-most-once tasks in an evacuated zone, and against waiting."""
    pool = make_placer(settings)
    backend_servers.handle(AnnounceBackendServer(describe_server("s1")), pool, NOW)
    started = backend_servers.handle(queue("j1"), pool, NOW)
    assert any(isinstance(effect, StartTasks) for effect in started)
    effects = backend_servers.handle(ConfigurationChanged(EVACUATED), pool, NOW)
    confirmed = ConfigurationConfirmed(EVACUATED.version, NOW)
    backend_servers.handle(confirmed, pool, NOW)
    sent = [effect.message for effect in effects if isinstance(effect, Send)]
    assert PoolSize(0) in sent
    assert pool.servers_by_id["s1"].running_by_id, "the running task goes on"
    refused = backend_servers.handle(queue("j2"), pool, NOW)
    assert any(
        isinstance(effect, Send) and isinstance(effect.message, TasksRefused)
        for effect in refused
    )
    returned = backend_servers.handle(ConfigurationChanged(RETURNED), pool, NOW)
    assert PoolSize(1) in [e.message for e in returned if isinstance(e, Send)]


def test_returning_pool_begins_with_one_task_for_each_server(
    settings: Settings,
) -> None:
    """Guards against a burst of at-most-once tasks in a zone that returns."""
    pool = make_placer(settings)
    backend_servers.handle(AnnounceBackendServer(describe_server("s1")), pool, NOW)
    for configuration in (EVACUATED, RETURNED):
        backend_servers.handle(ConfigurationChanged(configuration), pool, NOW)
    now = NOW + RETURN_SPREAD
    confirmed = ConfigurationConfirmed(RETURNED.version, now)
    backend_servers.handle(confirmed, pool, now)
    backend_servers.handle(Tick(), pool, now)
    effects = backend_servers.handle(queue("j1", count=4), pool, now)
    starts = [effect for effect in effects if isinstance(effect, StartTasks)]
    assert [len(start.tasks) for start in starts] == [1]


def test_pool_with_an_old_view_starts_nothing(settings: Settings) -> None:
    """Guards against a placer that is cut off together with its zone."""
    pool = make_placer(replace(settings, evacuation=True))
    backend_servers.handle(AnnounceBackendServer(describe_server("s1")), pool, NOW)
    backend_servers.handle(ConfigurationChanged(IN_SERVICE), pool, NOW)
    confirmed = ConfigurationConfirmed(IN_SERVICE.version, NOW)
    backend_servers.handle(confirmed, pool, NOW)
    backend_servers.handle(queue("j1", count=9), pool, NOW)
    assert pool.queued_tasks == 5
    server = pool.servers_by_id["s1"]
    for running in list(server.running_by_id.values())[:1]:
        server.running_by_id.pop(running.id)
    now = NOW + MAX_VIEW_AGE + 0.1
    assert place_tasks(pool, now) == []
    queued = backend_servers.handle(queue("j2"), pool, now)
    assert not any(isinstance(effect, StartTasks) for effect in queued)
    now += OLD_VIEW_TOLERANCE + 0.1
    refused = backend_servers.handle(queue("j3"), pool, now)
    assert list_refused(refused) == ["j3"]


def list_refused(effects: list[Effect]) -> list[str]:
    """Return the ids of the jobs that a pool refuses."""
    sent = [effect.message for effect in effects if isinstance(effect, Send)]
    return [each.job_id for each in sent if isinstance(each, TasksRefused)]


def test_first_evacuation_of_another_zone_does_not_end_the_jobs_of_a_pool(
    settings: Settings,
) -> None:
    """Guards against a view that counts as old since ever in its first second.

    Without evacuation in the settings, no view is confirmed before the first use.
    """
    pool = make_placer(settings)
    announced = AnnounceBackendServer(describe_server("s1"))
    backend_servers.handle(announced, pool, NOW)
    backend_servers.handle(ConfigurationChanged(IN_SERVICE), pool, NOW)
    backend_servers.handle(queue("j1", count=7), pool, NOW)
    now = NOW
    while now < NOW + pool.settings.timing.lease_expiry + 1.0:
        now += 0.5
        backend_servers.handle(announced, pool, now)
        backend_servers.handle(Tick(), pool, now)
    waiting = pool.queued_tasks
    assert waiting > 0
    elsewhere = replace(EVACUATED, evacuated_zones=frozenset({"c"}))
    backend_servers.handle(ConfigurationChanged(elsewhere), pool, now)
    effects = backend_servers.handle(queue("j2"), pool, now)
    now += OLD_VIEW_TOLERANCE
    effects += backend_servers.handle(Tick(), pool, now)
    assert list_refused(effects) == []
    assert not any(isinstance(effect, StartTasks) for effect in effects)
    assert pool.queued_tasks == waiting + 1
    confirmed = ConfigurationConfirmed(elsewhere.version, now)
    backend_servers.handle(confirmed, pool, now)
    now += MAX_VIEW_AGE + 0.1
    backend_servers.handle(queue("j3"), pool, now)
    assert list_refused(backend_servers.handle(queue("j4"), pool, now)) == []


def test_jobs_of_a_pool_that_stays_cut_off_end(settings: Settings) -> None:
    """Guards against jobs that wait without bound for a confirmation."""
    pool = make_placer(replace(settings, evacuation=True))
    announced = AnnounceBackendServer(describe_server("s1"))
    backend_servers.handle(announced, pool, NOW)
    backend_servers.handle(ConfigurationChanged(IN_SERVICE), pool, NOW)
    backend_servers.handle(queue("j1"), pool, NOW)
    effects = []
    now = NOW
    while now < NOW + pool.settings.timing.lease_expiry + 0.5:
        now += 0.25
        backend_servers.handle(announced, pool, now)
        effects += backend_servers.handle(Tick(), pool, now)
    assert list_refused(effects) == ["j1"]


def test_report_has_the_zone(leader: Leader) -> None:
    """Guards against tests whose servers are all in one zone."""
    assert make_report("s9", zone="b").zone == "b"
    assert leader.state.servers_by_id["s1"].report.capacity == CAPACITY
