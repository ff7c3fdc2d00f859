"""A leader, its log, and backend servers that crash at command or by a deadly task."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, replace
from typing import Any

from boragetide.commands import JobCommand
from boragetide.controllers.takeover import LEASE_EXPIRY_WAIT
from boragetide.durable import JobPhase, Step
from boragetide.effects import LogEvent, Reply, Send, StartRun, StopRun
from boragetide.log_records import Catalogue
from boragetide.messages import (
    AppendCommands,
    DispatcherReply,
    JobsCommitted,
    LeadershipLost,
    ReadFailed,
    ReportServer,
    SubmitDurableJob,
    Tick,
)
from boragetide.policy.catalogue import apply_job_command
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
)

# Fields that the log adds to each line itself; an event with one ends its process.
RESERVED_FIELDS = frozenset({"time", "event", "instance", "group"})
SERVERS = ("s1", "s2", "s3", "s4")
# Time after which a run that was lost with a silent server is certainly over.
LOST_AFTER = LEASE_EXPIRY_WAIT + 0.1
LONG_STEP = Step(1, NEEDS, 5.0)


class Site:
    """A leader, its log, and backend servers that crash at command."""

    def __init__(self, settings: Settings, servers: tuple[str, ...] = SERVERS):
        self.leader = Leader(settings)
        self.catalogue = Catalogue()
        self.now = BEGIN
        self.servers = servers
        self.born = dict.fromkeys(servers, BORN)
        self.capacity = dict.fromkeys(servers, CAPACITY)
        self.pool = dict.fromkeys(servers, "pool")
        self.sequence = 1
        self.starts: list[StartRun] = []
        self.down: set[str] = set()
        self.log_is_held_up = False
        self.replies: list[Any] = []
        self.events: list[LogEvent] = []
        self.leader.lead()
        for server in servers:
            self.leader.join(server)

    def handle(self, message: Any) -> None:
        """Handle a message; commit what it appends."""
        effects = self.leader.handle(message, self.now)
        self.take(effects)

    def take(self, effects: list[Any]) -> None:
        """Collect effects; commit what they append."""
        self.starts += [each for each in effects if isinstance(each, StartRun)]
        self.replies += [
            each.message
            for each in effects
            if isinstance(each, Reply) and isinstance(each.message, DispatcherReply)
        ]
        events = [each for each in effects if isinstance(each, LogEvent)]
        assert not any(RESERVED_FIELDS & each.fields.keys() for each in events)
        self.events += events
        for effect in effects:
            if not self.log_is_held_up and _is_append(effect):
                self.commit(effect.message)
            if isinstance(effect, LogEvent) and effect.event == "suspect_server_asked":
                self.answer_question(effect.fields["server"])

    def answer_question(self, server: str) -> None:
        """Answer the question to an empty server, if it is up."""
        if server not in self.down:
            born = self.born[server]
            self.take(self.leader.list_runs(server, born=born, now=self.now))

    def commit(self, message: AppendCommands) -> None:
        """Apply commands as the log does and notify the dispatcher."""
        changed: set[str] = set()
        for command in message.commands_by_id.values():
            assert isinstance(command, JobCommand)
            changed |= apply_job_command(command, self.catalogue, self.now)
        records = tuple(self.catalogue.jobs_by_id[each] for each in sorted(changed))
        self.handle(JobsCommitted(tuple(message.commands_by_id), records))

    def submit(
        self,
        job_id: str,
        *steps: Step,
        best_effort: bool = True,
        pool: str = "pool",
    ) -> None:
        """Submit a job, by default one of a single long task."""
        job = make_durable_job(
            job_id,
            *(steps or (LONG_STEP,)),
            best_effort=best_effort,
            submitted_at=self.now,
        )
        job = replace(job, starts=replace(job.starts, pool=pool))
        message = SubmitDurableJob(job=job, submitted_at=self.now, reply_to=CALLER)
        self.handle(message)

    def take_start(self) -> StartRun:
        """Return the only start since the last call, and answer it."""
        (start,) = self.take_starts()
        return start

    def take_unanswered_start(self) -> StartRun:
        """Return the only start since the last call, and leave it without an answer."""
        (start,), self.starts = self.starts, []
        return start

    def take_starts(self) -> list[StartRun]:
        """Return the starts since the last call, and answer them."""
        starts, self.starts = self.starts, []
        for start in starts:
            self.take(self.leader.answer(start, now=self.now))
        return starts

    def answer_stops(self) -> None:
        """Answer the stops that the last message ordered."""
        for stop in self.leader.stops():
            self.take(self.leader.answer(stop, now=self.now))

    def pass_time(self, seconds: float) -> None:
        """Advance the clock; servers that are up announce themselves."""
        self.now += seconds
        self.handle(Tick())

    def lose(self, server: str) -> None:
        """Let a server answer nothing until the leases of its runs have lapsed."""
        self.down.add(server)
        self.handle(ReadFailed(server, 1))
        for other in self.servers:
            if other != server and not self.leader.state.servers_by_id[other].silent:
                self.announce(other)
        self.pass_time(LOST_AFTER)

    def announce(self, server: str, **fields: Any) -> None:
        """Announce the current process of a server."""
        self.sequence += 1
        fields = {"born": self.born[server], "sequence": self.sequence} | fields
        fields = {"capacity": self.capacity[server], "pool": self.pool[server]} | fields
        self.handle(ReportServer(report=make_report(server, **fields), passed_on=True))

    def return_server(self, server: str, *, crashed: bool) -> None:
        """Let a server answer again, as a new process if it has crashed."""
        self.down.discard(server)
        if crashed:
            self.born[server] += 5000
        self.announce(server)
        born = self.born[server]
        self.take(self.leader.list_runs(server, born=born, now=self.now))

    def crash(self, start: StartRun) -> None:
        """Let the server of a run crash and return."""
        self.lose(start.server)
        self.return_server(start.server, crashed=True)

    def find_events(self, name: str) -> list[dict[str, Any]]:
        """Return the fields of the log lines of an event."""
        return [each.fields for each in self.events if each.event == name]


def _is_append(effect: Any) -> bool:
    return isinstance(effect, Send) and isinstance(effect.message, AppendCommands)


@dataclass(slots=True)
class SimulatedRun:
    """A run in progress on a simulated backend server."""

    start: StartRun
    ends_at: float


class Fleet(Site):
    """A site whose backend servers carry out what they are told.

    Parameters
    ----------
    run_time
        Seconds for which each task runs.
    deadly
        Jobs of which each task crashes its server ``crashes_after`` seconds after its
        start; the server is back ``away_for`` seconds later.
    """

    STEP = 0.25  # seconds

    def __init__(
        self,
        settings: Settings,
        size: int,
        *,
        run_time: float = 5.0,
        deadly: Collection[str] = (),
        crashes_after: float = 0.0,
        away_for: float = 2.0,
    ):
        super().__init__(settings, tuple(f"s{number:02}" for number in range(size)))
        self.run_time = run_time
        self.deadly = set(deadly)
        self.crashes_after = crashes_after
        self.away_for = away_for
        self.running: dict[str, dict[Any, SimulatedRun]] = {s: {} for s in self.servers}
        self.ended: dict[str, list[Any]] = {server: [] for server in self.servers}
        self.back_at: dict[str, float] = {}
        self.starts_by_task: dict[tuple[str, int], int] = {}
        self.crashes_by_job: dict[str, int] = {}
        self.done: set[tuple[str, int]] = set()
        self.most_isolated = 0

    def take(self, effects: list[Any]) -> None:
        """Carry out the orders among the effects."""
        super().take(effects)
        for effect in effects:
            if isinstance(effect, StartRun):
                self._begin(effect)
            elif isinstance(effect, StopRun):
                self._stop(effect)
        self.most_isolated = max(
            self.most_isolated, len(self.leader.state.isolated_servers)
        )

    def _begin(self, start: StartRun) -> None:
        if start.server in self.down:
            return
        key = (start.task.job_id, start.number)
        assert all(key not in running for running in self.running.values()), key
        self.starts_by_task[key] = self.starts_by_task.get(key, 0) + 1
        seconds = self.run_time
        if start.task.job_id in self.deadly:
            seconds = self.crashes_after
        self.running[start.server][key] = SimulatedRun(start, self.now + seconds)
        self.take(self.leader.answer(start, now=self.now))

    def _stop(self, stop: StopRun) -> None:
        if stop.server not in self.down:
            self.running[stop.server].pop((stop.task.job_id, stop.number), None)
            self.take(self.leader.answer(stop, now=self.now))

    def run_for(self, seconds: float) -> None:
        """Let time pass in steps."""
        until = self.now + seconds
        while self.now < until:
            self.step()

    def step(self) -> None:
        """Let one step pass: ends, crashes, returns, lists and announcements."""
        self.now += self.STEP
        for server in self.servers:
            if server not in self.down:
                self._end_runs(server)
        for server, back_at in list(self.back_at.items()):
            if self.now >= back_at:
                del self.back_at[server]
                self.ended[server] = []
                self.return_server(server, crashed=True)
        for server in self.servers:
            if server in self.down:
                self.handle(ReadFailed(server, self.leader.term))
            else:
                self.announce(server)
                self._list(server)
        self.handle(Tick())

    def _end_runs(self, server: str) -> None:
        over = [r for r in self.running[server].values() if r.ends_at <= self.now]
        crashing = [r for r in over if r.start.task.job_id in self.deadly]
        if crashing:
            for run in crashing:
                job_id = run.start.task.job_id
                self.crashes_by_job[job_id] = self.crashes_by_job.get(job_id, 0) + 1
            self.take_down(server, self.away_for)
            return
        for run in over:
            key = (run.start.task.job_id, run.start.number)
            del self.running[server][key]
            self.done.add(key)
            number = len(self.ended[server]) + 1
            self.ended[server].append(list_end(run.start, number))

    def take_down(self, server: str, away_for: float | None) -> None:
        """Let a server crash; without a time it is lost for good."""
        self.down.add(server)
        self.running[server].clear()
        if away_for is not None:
            self.back_at[server] = self.now + away_for

    def _list(self, server: str) -> None:
        running = tuple(list_run(run.start) for run in self.running[server].values())
        ended = tuple(self.ended[server])
        fields = {"born": self.born[server], "now": self.now}
        self.take(self.leader.list_runs(server, running=running, ended=ended, **fields))

    def find_fullest(self) -> str:
        """Return the server that runs the most tasks."""
        return max(self.servers, key=lambda server: len(self.running[server]))

    def change_leader(self) -> None:
        """Let another instance lead, which knows what the log holds."""
        self.handle(LeadershipLost())
        self.leader.term += 1
        records = tuple(self.catalogue.jobs_by_id.values())
        self.leader.lead(self.now, records)
        self.take(self.leader.effects)

    def list_open_jobs(self) -> list[str]:
        """Return the jobs that have not ended."""
        return [
            job_id
            for job_id, record in self.catalogue.jobs_by_id.items()
            if record.phase is JobPhase.ACTIVE
        ]

    def list_failed_jobs(self) -> set[str]:
        """Return the jobs that have ended as failed."""
        return {
            job_id
            for job_id, record in self.catalogue.jobs_by_id.items()
            if record.phase is JobPhase.FAILED
        }
