"""Leaders of several groups with their logs, backend servers and callers.

The oracle is the state of the backend servers and what the callers were told. Messages
between groups may be lost, repeated, or arrive late.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import singledispatchmethod
from typing import Any

from boragetide.commands import JobCommand
from boragetide.controllers import dispatcher
from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.durable import DurableJob, JobPhase, JobRecord
from boragetide.effects import LogEvent, ReadRuns, Reply, Send, StartRun, StopRun
from boragetide.filters.durable import DIRECTION_LIFETIME
from boragetide.groups import find_group, name_controller, resolve_address
from boragetide.log_records import Catalogue
from boragetide.messages import (
    AppendCommands,
    CancelDurableJob,
    DispatcherReply,
    JobsCommitted,
    LeadershipGained,
    LeadershipLost,
    LookUpDurableJob,
    OrderResult,
    ReadFailed,
    ReplyStatus,
    ReportServer,
    RunOrdered,
    RunsRead,
    SubmitDurableJob,
    Tick,
)
from boragetide.policy.catalogue import apply_job_command
from boragetide.policy.fencing import get_term
from boragetide.policy.job_table import drop_ended_jobs
from boragetide.policy.transfer_table import is_undelivered
from boragetide.settings import EMBEDDED_DEFAULT, parse_settings
from boragetide.tests.durable_fixtures import BEGIN
from boragetide.types import GroupId, JobId, ReplyTo, Seconds
from properties.simulated_server import SimulatedServer

STEP: Seconds = 0.05
TRANSIT: Seconds = 0.001
ORDER_TIMEOUT: Seconds = 0.2
AUTHORITY_DURATION: Seconds = 0.4
ANNOUNCEMENT_INTERVAL: Seconds = 1.5
UPTIME: Seconds = 100.0  # for which all processes have run when a test begins
RETRY_DELAY: Seconds = 0.05
LATE_DELAY: Seconds = 2.0
CALLER = "edge"
LABEL = "r1"


@dataclass
class Group:
    """One group: its log, its current leader, and the backend servers that it uses."""

    number: GroupId
    state: DispatcherState
    term: int = 0
    catalogue: Catalogue = field(default_factory=Catalogue)
    servers: list[SimulatedServer] = field(default_factory=list)
    appended: list[AppendCommands] = field(default_factory=list)

    @property
    def controller(self) -> str:
        """Name of the dispatcher."""
        return name_controller("dispatcher", self.number)


@dataclass
class Call:
    """A request of a caller, which follows its job from group to group.

    Parameters
    ----------
    home, group
        Group that was asked first, and the one that is asked now.
    reply
        Final answer, once there is one.
    directed_at
        Time at which the request was sent that was answered with the group, if any.
    is_cut_off
        Whether the instance of the caller receives and sends nothing.
    """

    request: Any
    home: GroupId
    group: GroupId
    sent_at: Seconds
    transfers: int = 0
    reply: DispatcherReply | None = None
    directed_at: Seconds | None = None
    is_cut_off: bool = False

    @property
    def is_at_home(self) -> bool:
        """Whether the home group is asked now."""
        return self.group == self.home


class GroupSite:
    """An installation of several groups on one instance, in simulated time."""

    def __init__(self, group_count: int = 3):
        embedded = replace(parse_settings(EMBEDDED_DEFAULT), group_count=group_count)
        self.settings = embedded
        self.now = BEGIN
        self.groups = [
            Group(number, self.make_state(number)) for number in range(group_count)
        ]
        self.jobs: dict[JobId, DurableJob] = {}
        self.calls: list[Call] = []
        self.starts: list[StartRun] = []
        self.events: list[LogEvent] = []
        self.scheduled: list[tuple[Seconds, Callable[[], None]]] = []
        self.posted: list[tuple[Seconds, Callable[[], None]]] = []
        self.sent: list[tuple[GroupId, GroupId, Any]] = []
        self.cut_pairs: set[frozenset[GroupId]] = set()
        self.message_fates: tuple[str, ...] = ("delivered",)
        self.lost_types: tuple[type, ...] = ()
        self.mute_servers: set[str] = set()  # carry out calls, but nobody hears them
        self.next_announcement = self.now

    def make_state(self, group: GroupId) -> DispatcherState:
        """Return the state of a process that has run for a while."""
        incarnation = int((self.now - UPTIME) * 1000)
        return DispatcherState(self.settings.for_group(group), incarnation)

    def add_server(self, name: str, group: GroupId, **fields: Any) -> SimulatedServer:
        """Add a backend server of a group."""
        server = SimulatedServer(name, self.now - UPTIME, **fields)
        self.groups[group].servers.append(server)
        return server

    def start(self) -> None:
        """Start a leader of each group, and let them read their backend servers."""
        for group in self.groups:
            self.change_leader(group.number)
        self.run_for(1.0)

    def change_leader(self, number: GroupId) -> None:
        """Replace the leader of a group by one that knows only the log."""
        group = self.groups[number]
        if group.term:
            self.handle(group, LeadershipLost())
        group.appended.clear()
        group.state = self.make_state(number)
        group.term += 1
        gained = LeadershipGained(
            group.term,
            tuple(group.catalogue.jobs_by_id.values()),
            self.now + AUTHORITY_DURATION,
            self.now,
            server_born_by_id=dict(group.catalogue.server_born_by_id),
            unanswered_starts=group.catalogue.unanswered_starts,
            cancelled_at_by_job=dict(group.catalogue.cancelled_at_by_job),
        )
        self.announce(group)
        self.handle(group, gained)

    def announce(self, group: Group) -> None:
        """Announce the backend servers of a group that are up."""
        for server in group.servers:
            if server.is_up(self.now) and not server.cut:
                self.handle(group, ReportServer(report=server.make_report(self.now)))

    def run_for(self, seconds: Seconds) -> None:
        """Advance the clock: messages arrive, commands are committed, leases lapse."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            for group in self.groups:
                for server in group.servers:
                    server.advance(self.now)
            self.run_scheduled()
            if self.now >= self.next_announcement:
                self.next_announcement = self.now + ANNOUNCEMENT_INTERVAL
                for group in self.groups:
                    self.announce(group)
            for group in self.groups:
                group.state.authority_until = self.now + AUTHORITY_DURATION
                self.handle(group, Tick())

    def run_scheduled(self) -> None:
        """Run what is due, and what becomes due by that."""
        while due := self.take_due(self.scheduled) + self.take_due(self.posted):
            for _, action in due:
                action()

    def take_due(self, actions: list[Any]) -> list[Any]:
        """Remove and return the actions whose time has come."""
        due = [each for each in actions if each[0] <= self.now]
        actions[:] = [each for each in actions if each[0] > self.now]
        return due

    def schedule(self, delay: Seconds, action: Callable[[], None]) -> None:
        """Run an action later."""
        self.scheduled.append((self.now + delay, action))

    def handle(self, group: Group, message: Any) -> None:
        """Let the leader of a group handle a message, and execute the effects."""
        for effect in dispatcher.handle(message, group.state, self.now):
            self.execute(effect, group)

    @singledispatchmethod
    def execute(self, effect: Any, group: Group) -> None:
        """Execute an effect; metrics are ignored."""

    @execute.register
    def _(self, effect: LogEvent, group: Group) -> None:
        self.events.append(effect)

    @execute.register
    def _(self, effect: Send, group: Group) -> None:
        message = effect.message
        if isinstance(message, AppendCommands):
            group.appended.append(message)
            self.schedule(TRANSIT, lambda: self.commit(group, message))
            return
        to = resolve_address(effect.to, group.controller)
        if to.controller.partition(".")[0] == "dispatcher":
            self.post(group.number, find_group(to.controller), message)

    def post(self, source: GroupId, target: GroupId, message: Any) -> None:
        """Send a message to the leader of a group; it may be lost or arrive twice."""
        self.sent.append((source, target, message))
        is_cut = frozenset((source, target)) in self.cut_pairs
        if is_cut or isinstance(message, self.lost_types):
            return
        fate, *others = self.message_fates
        self.message_fates = (*others, fate)
        delays = {
            "delivered": (TRANSIT,),
            "lost": (),
            "twice": (TRANSIT, LATE_DELAY),
            "late": (LATE_DELAY,),
        }
        for delay in delays[fate]:
            self.posted.append(
                (
                    self.now + delay,
                    lambda: self.handle(self.groups[target], message),
                )
            )

    def commit(self, group: Group, message: AppendCommands) -> None:
        """Commit commands of the current term in order, and notify the leader."""
        if message not in group.appended or message.term != group.term:
            return
        group.appended.remove(message)
        changed: set[JobId] = set()
        for command in message.commands_by_id.values():
            assert isinstance(command, JobCommand)
            changed |= apply_job_command(command, group.catalogue, self.now)
        known = group.catalogue.jobs_by_id
        drop_ended_jobs(known, self.now)
        records = tuple(known[each] for each in sorted(changed) if each in known)
        self.handle(group, JobsCommitted(tuple(message.commands_by_id), records))

    @execute.register
    def _(self, effect: Reply, group: Group) -> None:
        reply = effect.message
        if effect.to is None or not isinstance(reply, DispatcherReply):
            return
        call = self.calls[effect.to.request]
        if call.is_cut_off:
            return
        if reply.status is ReplyStatus.TRANSFERRED:
            call.group, call.transfers = reply.group, reply.transfers
            call.directed_at = self.now - TRANSIT
            self.schedule(TRANSIT, lambda: self.send_call(effect.to))
        elif reply.status in (ReplyStatus.NOT_LEADER, ReplyStatus.UNDECIDED):
            if not reply.term:
                self.schedule(RETRY_DELAY, lambda: self.send_call(effect.to))
        elif call.reply is None:
            call.reply = reply

    def send_call(self, reply_to: ReplyTo) -> None:
        """Send a copy of a request to the leader of the group that has its job."""
        call = self.calls[reply_to.request]
        if call.reply is not None or call.is_cut_off:
            return
        directed_at = self.now if call.directed_at is None else call.directed_at
        directed_age = self.now - directed_at
        if directed_age > DIRECTION_LIFETIME:
            call.group, call.transfers, call.directed_at = call.home, 0, None
            directed_age = 0.0
        fields: dict[str, Any] = {"reply_to": reply_to, "transfers": call.transfers}
        if isinstance(call.request, SubmitDurableJob):
            fields |= {"age": self.now - call.sent_at, "submitted_at": call.sent_at}
            fields["directed_age"] = directed_age
        self.handle(self.groups[call.group], replace(call.request, **fields))

    def ask(self, request: Any, group: GroupId) -> Call:
        """Send a request to a group, as an instance without a log does."""
        self.calls.append(Call(request, group, group, self.now))
        self.send_call(ReplyTo(CALLER, len(self.calls) - 1))
        return self.calls[-1]

    def cut_off(self, call: Call) -> None:
        """Cut the instance of a caller off from all groups."""
        call.is_cut_off = True

    def reconnect(self, call: Call) -> None:
        """Let the instance of a caller ask again, which it has not ceased to try."""
        call.is_cut_off = False
        self.send_call(ReplyTo(CALLER, self.calls.index(call)))

    def submit(self, job: DurableJob, group: GroupId) -> Call:
        """Submit a job to its group."""
        job = replace(job, submitted_at=self.now)
        self.jobs[job.id] = job
        return self.ask(SubmitDurableJob(job=job), group)

    def look_up(self, job_id: JobId, group: GroupId) -> Call:
        """Ask for the state of a job."""
        return self.ask(LookUpDurableJob(id=job_id), group)

    def cancel(self, job_id: JobId, group: GroupId) -> Call:
        """Cancel a job."""
        return self.ask(CancelDurableJob(id=job_id), group)

    @execute.register
    def _(self, effect: StartRun, group: Group) -> None:
        self.starts.append(effect)
        self.send_order(effect, group)

    @execute.register
    def _(self, effect: StopRun, group: Group) -> None:
        self.send_order(effect, group)

    def send_order(self, order: StartRun | StopRun, group: Group) -> None:
        """Let a backend server carry out an order, unless it cannot be reached."""
        server = self.find_server(order.server)
        is_reached = server.is_up(self.now) and not server.cut
        result = OrderResult.UNANSWERED
        if is_reached and isinstance(order, StopRun):
            result = server.stop(order, self.now)
        elif is_reached:
            step = self.jobs[order.task.job_id].steps[order.task.step]
            result = server.start(
                order, self.now, step, lambda: self.check_start(order, server)
            )
        if server.id in self.mute_servers:
            is_reached, result = False, OrderResult.UNANSWERED
        answer = RunOrdered(
            server=order.server,
            term=get_term(order.fence),
            job_id=order.task.job_id,
            task=order.number,
            run=order.run,
            result=result,
            started=isinstance(order, StartRun),
            clock=server.read_clock(self.now) if is_reached else None,
            sent_at=self.now,
            target_born=order.target_born,
        )
        delay = TRANSIT if is_reached else ORDER_TIMEOUT
        self.schedule(delay, lambda: self.handle(group, answer))

    def check_start(self, order: StartRun, server: SimulatedServer) -> None:
        """Check that a task has no other run, and that none was done before."""
        for other in self.servers:
            assert order.task not in other.running, (order.task, other.id, server.id)
            if not self.jobs[order.task.job_id].best_effort:
                assert order.task not in other.acknowledged, order.task

    @execute.register
    def _(self, effect: ReadRuns, group: Group) -> None:
        server = self.find_server(effect.server)
        term = get_term(effect.fence)
        answer: Any = ReadFailed(effect.server, term, target_born=effect.target_born)
        delay = ORDER_TIMEOUT
        if server.is_up(self.now) and not server.cut:
            listed = self.list_runs(effect, server)
            if server.id not in self.mute_servers:
                answer, delay = listed, max(effect.wait, STEP)
        self.schedule(delay, lambda: self.handle(group, answer))

    def list_runs(self, order: ReadRuns, server: SimulatedServer) -> RunsRead:
        """Return what a backend server answers to a request for its runs."""
        listed = server.list_runs(order, self.now)
        fields: dict[str, Any] = {"fenced": True}
        if listed is not None:
            fields = {
                "clock": listed.clock,
                "born": listed.born,
                "running": listed.running,
                "ended": listed.ended,
            }
        return RunsRead(
            server=order.server,
            term=get_term(order.fence),
            sent_at=self.now,
            target_born=order.target_born,
            **fields,
        )

    @property
    def servers(self) -> list[SimulatedServer]:
        """The backend servers of all groups."""
        return [server for group in self.groups for server in group.servers]

    def find_server(self, name: str) -> SimulatedServer:
        """Return a backend server."""
        return next(server for server in self.servers if server.id == name)

    def find_records(self, job_id: JobId) -> dict[GroupId, JobRecord]:
        """Return what each log has of a job."""
        return {
            group.number: group.catalogue.jobs_by_id[job_id]
            for group in self.groups
            if job_id in group.catalogue.jobs_by_id
        }

    def find_phase(self, job_id: JobId) -> JobPhase | None:
        """Return the phase of a durable job in the group that has it."""
        phases = [
            record.phase
            for record in self.find_records(job_id).values()
            if record.phase is not JobPhase.TRANSFERRED
        ]
        return phases[0] if phases else None

    def check_one_owner(self, job_id: JobId) -> None:
        """Check that exactly one group has a stored job, or has it ready to deliver.

        A delivery that is stored but not confirmed counts once.
        """
        records = self.find_records(job_id)
        owners = [
            number
            for number, record in records.items()
            if record.phase is not JobPhase.TRANSFERRED
        ]
        assert len(owners) <= 1, (job_id, owners)
        if not owners:
            assert any(map(is_undelivered, records.values())), (job_id, records)

    def list_started(self) -> set[JobId]:
        """Return the jobs of which a start was ordered."""
        return {start.task.job_id for start in self.starts}
