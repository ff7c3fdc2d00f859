"""Members with the replicas and dispatchers of several groups, in simulated time.

Members are frozen, killed and cut off, their disks and mailboxes are slow, and calls to
backend servers are lost or late. The oracle is the state of the backend servers: a task
may not start while it runs at another one that is up.
"""

from __future__ import annotations

import copy
import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from functools import partial, singledispatchmethod
from typing import Any

from boragetide.controllers import configuration, dispatcher
from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.durable import DurableJob, Step
from boragetide.effects import (
    Effect,
    LogEvent,
    Persist,
    ReadRuns,
    Reply,
    SaveSnapshot,
    Send,
    StartRun,
    StopRun,
)
from boragetide.groups import find_group, name_controller, resolve_address
from boragetide.messages import (
    AuthorityExtended,
    DispatcherReply,
    LeadershipGained,
    OrderResult,
    ReadFailed,
    RemoveServer,
    ReplyStatus,
    ReportServer,
    RunOrdered,
    RunsRead,
    SubmitDurableJob,
    Tick,
    WokeUp,
)
from boragetide.policy.fencing import get_term
from boragetide.settings import CONTROLLERS, Peer, Settings
from boragetide.tests.durable_fixtures import BEGIN
from boragetide.types import GroupId, InstanceId, JobId, ReplyTo, Seconds
from properties.simulated_server import RunList, SimulatedServer

TICK: Seconds = 0.1
TICK_JITTER = 0.2
SUSPENSION_THRESHOLD: Seconds = 2.0
ORDER_TIMEOUT: Seconds = 0.2
ANNOUNCEMENT_INTERVAL: Seconds = 1.5
UPTIME: Seconds = 100.0  # for which the first processes have run when a test begins
MAX_CLOCK_OFFSET: Seconds = 2.0
CLOCK_PRECISION: Seconds = 1e-6  # of sums of times and offsets
MAX_HELD_TIME: Seconds = 3.0  # for which a connection holds a message
LATE_CALL_DELAYS: tuple[Seconds, ...] = (0.3, 1.0, 3.0, 12.0)
CALLER = "edge"
CALLER_PATIENCE: Seconds = 5.0
LABEL = "r1"


@dataclass(frozen=True)
class Slowness:
    """A time in which a member is behind with its work.

    Parameters
    ----------
    until
        Time until which what arrives is handled late.
    max_lag
        Longest time by which it is handled late.
    controllers
        Kinds of controllers whose messages are handled late.
    delays_timers
        Whether ticks, calls and messages to other members are sent late, and answers
        and timeouts of calls seen late.
    """

    until: Seconds
    max_lag: Seconds
    controllers: tuple[str, ...] = ("configuration", "dispatcher")
    delays_timers: bool = True


@dataclass
class Mailbox:
    """A controller of a member: its state, waiting messages and waiting effects.

    Parameters
    ----------
    messages
        Waiting messages, each with the time before which it is not handled.
    free_at
        Time until which the controller handles nothing, because it is busy.
    """

    name: str
    handle: Callable[[Any, Any, Seconds], Iterable[Effect]]
    state: Any
    messages: deque[tuple[Seconds, Any]] = field(default_factory=deque)
    effects: deque[Effect] = field(default_factory=deque)
    free_at: Seconds = 0.0
    last_handled_at: Seconds = 0.0
    is_syncing: bool = False


@dataclass
class Member:
    """An instance with a disk.

    Parameters
    ----------
    clock_offset
        Its clock minus the simulated time.
    process
        Number of its process; what an earlier process has scheduled is void.
    """

    id: InstanceId
    clock_offset: Seconds
    disk_by_controller: dict[str, list[Any]] = field(default_factory=dict)
    mailboxes_by_name: dict[str, Mailbox] = field(default_factory=dict)
    process: int = 0
    frozen_until: Seconds = 0.0
    sync_duration: Seconds = 0.01
    is_retired: bool = False
    slowness: Slowness | None = None

    @property
    def is_up(self) -> bool:
        return bool(self.mailboxes_by_name)


@dataclass
class Submission:
    """What one caller has asked at one instance: a job, which changes groups."""

    job: DurableJob
    group: GroupId
    received_at: Seconds
    transfers: int = 0
    attempts: int = 0
    is_over: bool = False


class MemberSite:
    """An installation of as many groups as members, in simulated time."""

    def __init__(self, seed: int, member_count: int = 3, spare_count: int = 1):
        self.random = random.Random(seed)
        self.now = BEGIN
        self.group_count = member_count
        self.counts: Counter[str] = Counter()
        self.trace: list[tuple[Seconds, str, str, dict[str, Any]]] = []
        self.events: list[tuple[Seconds, int, Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        ids = [f"m{number}" for number in range(member_count + spare_count)]
        self.settings = Settings(
            ids[0],
            "a",
            {id_: Peer(id_, "a", "", "", disk=True) for id_ in ids},
            None,
            controllers=(*CONTROLLERS, "dispatcher"),
            configuration_subscribers=(),
            founders=tuple(ids[:member_count]),
            member_count=member_count,
            group_count=member_count,
        )
        offset = MAX_CLOCK_OFFSET
        self.members_by_id = {
            id_: Member(id_, self.random.uniform(-offset, offset)) for id_ in ids
        }
        self.cut_links: set[tuple[str, str]] = set()
        self.last_delivery_by_link: dict[tuple[str, str], Seconds] = {}
        self.report_loss = self.call_loss = 0.0
        self.servers: list[SimulatedServer] = []
        self.group_by_server: dict[str, GroupId] = {}
        self.submissions: list[Submission] = []
        self.jobs_by_id: dict[JobId, DurableJob] = {}
        # End of the authority of each term, and when the terms before it are over.
        groups = range(self.group_count)
        self.orders_until_by_term: list[dict[int, Seconds]] = [{} for _ in groups]
        self.predecessor_until_by_term: list[dict[int, Seconds]] = [{} for _ in groups]
        for member in self.members_by_id.values():
            self.start_process(member, age=UPTIME)

    # Time

    def schedule(self, delay: Seconds, action: Callable[[], None]) -> None:
        """Run an action later."""
        event = (self.now + delay, next(self.event_numbers), action)
        heapq.heappush(self.events, event)

    def run_for(self, seconds: Seconds) -> None:
        """Advance the clock."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = end

    def read_clock(self, member: Member) -> Seconds:
        """Return the time on a member's clock."""
        return self.now + member.clock_offset

    # Processes

    def start_process(self, member: Member, age: Seconds = 0.0) -> None:
        """Start the next process of a member, which reads its journals."""
        member.process += 1
        member.frozen_until = 0.0
        member.slowness = None
        started_at = self.read_clock(member) - age
        incarnation = int(started_at * 1000)
        for group in range(self.group_count):
            own = replace(self.settings, id=member.id).for_group(group)
            name = name_controller("configuration", group)
            records = copy.deepcopy(tuple(member.disk_by_controller.get(name, ())))
            state = configuration.make_state(own, incarnation, records)
            state.replica.jitter = random.Random(self.random.random())
            boxes = (
                Mailbox(name, configuration.handle, state),
                Mailbox(
                    name_controller("dispatcher", group),
                    dispatcher.handle,
                    DispatcherState(own, incarnation),
                ),
            )
            for box in boxes:
                box.last_handled_at = self.now
                member.mailboxes_by_name[box.name] = box
        self.schedule(0.0, partial(self.tick, member, member.process))

    def stop_process(self, member: Member) -> None:
        """Kill the process of a member."""
        member.mailboxes_by_name = {}
        member.process += 1

    def defer_if_frozen(
        self, member: Member, process: int, action: Callable[[], None]
    ) -> bool:
        """Return whether an action of a process must wait, or is void."""
        if member.process != process:
            return True
        if self.now >= member.frozen_until:
            return False
        self.schedule(member.frozen_until - self.now, action)
        return True

    def tick(self, member: Member, process: int) -> None:
        """Send a tick to all controllers of a member."""
        if self.defer_if_frozen(member, process, partial(self.tick, member, process)):
            return
        for box in list(member.mailboxes_by_name.values()):
            self.put(member, box, Tick())
        jitter = self.random.uniform(1 - TICK_JITTER, 1 + TICK_JITTER)
        delay = TICK * jitter + self.draw_lag(member)
        self.schedule(delay, partial(self.tick, member, process))

    def put(self, member: Member, box: Mailbox, message: Any) -> None:
        """Put a message into a mailbox, which keeps the order of its messages."""
        due_at = self.now + self.draw_lag(member, box)
        if box.messages:
            due_at = max(due_at, box.messages[-1][0])
        box.messages.append((due_at, message))
        if len(box.messages) == 1:
            self.drain(member, member.process, box)

    def draw_lag(self, member: Member, box: Mailbox | None = None) -> Seconds:
        """Return by how much a member is late with a message, or else with a timer."""
        slowness = member.slowness
        if slowness is None or self.now >= slowness.until:
            return 0.0
        is_affected = slowness.delays_timers
        if box is not None:
            is_affected = box.name.partition(".")[0] in slowness.controllers
        if not is_affected:
            return 0.0
        return self.random.uniform(0.0, slowness.max_lag)

    def drain(self, member: Member, process: int, box: Mailbox) -> None:
        """Handle the messages of a mailbox."""
        again = partial(self.drain, member, process, box)
        if self.defer_if_frozen(member, process, again):
            return
        if self.now < box.free_at:
            self.schedule(box.free_at - self.now, again)
            return
        while box.messages:
            due_at, message = box.messages[0]
            if self.now < due_at:
                self.schedule(due_at - self.now, again)
                return
            now = self.read_clock(member)
            if self.now - box.last_handled_at > SUSPENSION_THRESHOLD:
                woke_up = WokeUp(box.last_handled_at + member.clock_offset)
                box.effects.extend(box.handle(woke_up, box.state, now))
            box.last_handled_at = self.now
            box.effects.extend(box.handle(message, box.state, now))
            box.messages.popleft()
            self.execute_effects(member, box)
            if member.process != process:
                return

    def execute_effects(self, member: Member, box: Mailbox) -> None:
        """Execute the waiting effects up to the next record to write."""
        while box.effects and not box.is_syncing:
            effect = box.effects.popleft()
            if isinstance(effect, Persist | SaveSnapshot):
                self.begin_sync(member, box, effect)
            else:
                self.execute(effect, member, box)

    def begin_sync(
        self, member: Member, box: Mailbox, effect: Persist | SaveSnapshot
    ) -> None:
        """Write records; a process that is killed meanwhile may have written them."""
        box.is_syncing = True
        disk = member.disk_by_controller.setdefault(box.name, [])
        written = self.random.random() < 0.5
        record = copy.deepcopy(effect)

        def write() -> None:
            if isinstance(record, SaveSnapshot):
                disk[:] = [record.record]
            else:
                disk.extend(record.records)

        def end_sync(process: int) -> None:
            again = partial(end_sync, process)
            if self.defer_if_frozen(member, process, again):
                return
            if not written:
                write()
            box.is_syncing = False
            self.execute_effects(member, box)

        if written:
            write()
        duration = member.sync_duration * self.random.uniform(0.5, 1.5)
        self.schedule(duration, partial(end_sync, member.process))

    # Messages

    @singledispatchmethod
    def execute(self, effect: Any, member: Member, box: Mailbox) -> None:
        """Execute an effect; metrics are ignored."""

    @execute.register
    def _(self, effect: LogEvent, member: Member, box: Mailbox) -> None:
        self.counts[effect.event] += 1
        self.trace.append(
            (self.now - BEGIN, member.id, box.name, {effect.event: effect.fields})
        )

    @execute.register
    def _(self, effect: Send, member: Member, box: Mailbox) -> None:
        to = resolve_address(effect.to, box.name)
        if isinstance(effect.message, LeadershipGained | AuthorityExtended):
            self.check_authority(effect.message, member, find_group(box.name))
        is_report = isinstance(effect.message, ReportServer | RemoveServer)
        if is_report and self.random.random() < self.report_loss:
            return
        if to.instance == member.id:
            own = member.mailboxes_by_name.get(to.controller)
            if own is not None:
                self.put(member, own, effect.message)
            return
        arrive = partial(self.arrive, to, effect.message)
        self.send(member.id, to.instance, arrive, self.draw_lag(member))

    def check_authority(
        self,
        message: LeadershipGained | AuthorityExtended,
        member: Member,
        group: GroupId,
    ) -> None:
        """Check that each later leader knows until when an earlier one gives orders."""
        term, offset = message.term, member.clock_offset
        until_by_term = self.orders_until_by_term[group]
        until = message.authority_until - offset
        until_by_term[term] = max(until, until_by_term.get(term, until))
        bounds_by_term = self.predecessor_until_by_term[group]
        if isinstance(message, LeadershipGained):
            bounds_by_term[term] = message.predecessor_until - offset
        for later, bound in bounds_by_term.items():
            for earlier, until in until_by_term.items():
                assert earlier >= later or until <= bound + CLOCK_PRECISION, (
                    f"authority of term {earlier} in group {group} ends at "
                    f"{until - BEGIN}, term {later} assumes {bound - BEGIN}"
                )

    def send(
        self,
        source: str,
        target: str,
        action: Callable[[], None],
        lag: Seconds = 0.0,
    ) -> None:
        """Let an action happen at the other end of a link, unless the link is cut.

        Parameters
        ----------
        lag
            Time by which the message is sent late.
        """
        delay = self.random.uniform(0.0005, 0.003)
        if (source, target) in self.cut_links:
            if self.random.random() < 0.7:
                return
            # A connection delivers what it holds when the cut is over.
            delay = self.random.uniform(0.1, MAX_HELD_TIME)
        link = (source, target)
        arrives_at = self.now + lag + delay
        if delay < 0.1:
            arrives_at = max(arrives_at, self.last_delivery_by_link.get(link, 0.0))
            self.last_delivery_by_link[link] = arrives_at
        self.schedule(arrives_at - self.now, action)

    def arrive(self, to: Any, message: Any) -> None:
        """Deliver a message to a member, if a process of it runs."""
        member = self.members_by_id.get(to.instance)
        box = None if member is None else member.mailboxes_by_name.get(to.controller)
        if box is not None:
            self.put(member, box, message)

    # Orders to backend servers

    @execute.register(StartRun)
    @execute.register(StopRun)
    @execute.register(ReadRuns)
    def _(self, effect: Any, member: Member, box: Mailbox) -> None:
        call = partial(self.send_call, effect, member, member.process, box)
        delay = self.random.uniform(0.0, 0.001) + self.draw_lag(member)
        self.schedule(delay, call)

    def send_call(self, order: Any, member: Member, process: int, box: Mailbox) -> None:
        """Send a call, unless the process is frozen or gone."""
        again = partial(self.send_call, order, member, process, box)
        if self.defer_if_frozen(member, process, again):
            return
        call = Call(order, member, process, box, self.read_clock(member))
        timeout = ORDER_TIMEOUT + getattr(order, "wait", 0.0)
        lag = self.draw_lag(member)
        self.schedule(timeout + lag, partial(self.answer, call, None))
        draw = self.random.random()
        is_cut = (member.id, order.server) in self.cut_links
        arrives = partial(self.carry_out, call, draw < 2 * self.call_loss)
        if draw < self.call_loss or is_cut:
            if self.random.random() < 0.5:
                latest = self.random.choice(LATE_CALL_DELAYS)
                self.schedule(self.random.uniform(0.01, latest), arrives)
            return
        self.schedule(self.random.uniform(0.0005, 0.003), arrives)

    def carry_out(self, call: Call, answer_is_lost: bool) -> None:
        """Let the process that an order was meant for carry it out."""
        server = self.find_server(call.order.server)
        if not server.is_up(self.now) or server.born != call.order.target_born:
            return
        if isinstance(call.order, ReadRuns):
            listed = server.list_runs(call.order, self.now)
            wait = 0.0 if listed is None or listed.ended else call.order.wait
            result: Any = listed if listed is not None else OrderResult.FENCED
            if wait and self.random.random() < 0.5:
                respond = partial(self.respond_later, call, server, server.born)
                self.schedule(wait, respond)
                return
        elif isinstance(call.order, StopRun):
            wait, result = 0.0, server.stop(call.order, self.now)
        else:
            step = self.find_step(call.order)
            check = partial(self.check_start, call, server)
            wait, result = 0.0, server.start(call.order, self.now, step, check)
        if answer_is_lost or (server.id, call.member.id) in self.cut_links:
            return
        answer = (result, server.read_clock(self.now))
        delay = wait + self.random.uniform(0.0005, 0.003)
        delay += self.draw_lag(call.member)
        self.schedule(delay, partial(self.answer, call, answer))

    def respond_later(self, call: Call, server: SimulatedServer, born: int) -> None:
        """List the runs as of the end of the wait."""
        if not server.is_up(self.now) or server.born != born:
            return
        if (server.id, call.member.id) in self.cut_links:
            return
        listed = server.show_runs(self.now)
        delay = 0.001 + self.draw_lag(call.member)
        self.schedule(delay, partial(self.answer, call, (listed, listed.clock)))

    def answer(self, call: Call, answer: tuple[Any, Seconds] | None) -> None:
        """Let the controller handle an answer, or the lack of one, once."""
        again = partial(self.answer, call, answer)
        if call.is_over or self.defer_if_frozen(call.member, call.process, again):
            return
        call.is_over = True
        self.put(call.member, call.box, call.make_result(answer))

    def find_step(self, order: StartRun) -> Step:
        """Return the step of a task."""
        return self.jobs_by_id[order.task.job_id].steps[order.task.step]

    def check_start(self, call: Call, server: SimulatedServer) -> None:
        """Check that a task that starts runs nowhere else."""
        self.counts["started"] += 1
        order = call.order
        for other in self.servers:
            other.advance(self.now)
            if other.is_up(self.now) and order.task in other.running:
                where = (other.id, other.running[order.task], server.id, order)
                raise AssertionError(f"two runs of one task: {where}")

    def find_server(self, name: str) -> SimulatedServer:
        """Return a backend server."""
        return next(server for server in self.servers if server.id == name)

    # Backend servers

    def add_server(self, group: GroupId, **fields: Any) -> SimulatedServer:
        """Add a backend server, which announces itself."""
        name = f"s{len(self.servers)}"
        server = SimulatedServer(name, self.now, **fields)
        self.servers.append(server)
        self.group_by_server[name] = group
        self.schedule(self.random.uniform(0.0, 0.1), partial(self.announce, server))
        return server

    def announce(self, server: SimulatedServer) -> None:
        """Announce a backend server at some member, and again after a while."""
        if server.is_up(self.now):
            self.tell_member(server, ReportServer(report=server.make_report(self.now)))
        pause = ANNOUNCEMENT_INTERVAL * self.random.uniform(0.9, 1.1)
        self.schedule(pause, partial(self.announce, server))

    def leave(self, server: SimulatedServer, seconds: Seconds) -> None:
        """Let a process say that it leaves; it goes on with its runs for a while."""
        self.tell_member(server, RemoveServer(id=server.id, born=server.born))
        born = server.born

        def end() -> None:
            if server.born == born:
                server.restart(self.now, self.random.uniform(0.2, 4.0))

        self.schedule(seconds, end)

    def tell_member(self, server: SimulatedServer, message: Any) -> None:
        """Send a message of a backend server to some member that runs."""
        members = [
            member
            for member in self.members_by_id.values()
            if member.is_up and (server.id, member.id) not in self.cut_links
        ]
        if not members or self.random.random() < self.report_loss:
            return
        member = self.random.choice(members)
        group = self.group_by_server[server.id]
        box = member.mailboxes_by_name[name_controller("dispatcher", group)]
        self.schedule(
            0.002, partial(self.put_if_same, member, member.process, box, message)
        )

    def put_if_same(
        self, member: Member, process: int, box: Mailbox, message: Any
    ) -> None:
        """Put a message into the mailbox of a process, if it still runs."""
        if member.process == process:
            self.put(member, box, message)

    # Callers

    def submit(self, job: DurableJob, group: GroupId) -> None:
        """Let a caller submit a job at an instance that knows of no transfer."""
        self.jobs_by_id[job.id] = job
        submission = Submission(job, group, self.now)
        self.submissions.append(submission)
        self.send_copy(submission, len(self.submissions) - 1)

    def send_copy(self, submission: Submission, number: int) -> None:
        """Send a copy to the leader, and another one if there is no answer."""
        waited = self.now - submission.received_at
        if submission.is_over or waited > CALLER_PATIENCE:
            return
        submission.attempts += 1
        attempt = submission.attempts
        leaders = self.list_leaders(submission.group)
        ups = [each for each in self.members_by_id.values() if each.is_up]
        if ups:
            is_known = leaders and self.random.random() < 0.9
            member = self.random.choice(leaders[:2] if is_known else ups)
            message = SubmitDurableJob(
                job=submission.job,
                reply_to=ReplyTo(CALLER, number),
                age=waited,
                attempt=attempt,
                transfers=submission.transfers,
            )
            name = name_controller("dispatcher", submission.group)
            box = member.mailboxes_by_name[name]
            put = partial(self.put_if_same, member, member.process, box, message)
            self.schedule(self.random.uniform(0.001, 0.003), put)

        def repeat() -> None:
            if submission.attempts == attempt:
                self.send_copy(submission, number)

        self.schedule(self.random.choice([0.1, 0.5, 2.0]), repeat)

    def list_leaders(self, group: GroupId) -> list[Member]:
        """Return the members whose dispatcher leads a group, the newest first."""
        name = name_controller("dispatcher", group)
        leaders = [
            (member.mailboxes_by_name[name].state.term, member.id)
            for member in self.members_by_id.values()
            if member.is_up and member.mailboxes_by_name[name].state.term
        ]
        return [self.members_by_id[id_] for _, id_ in sorted(leaders, reverse=True)]

    @execute.register
    def _(self, effect: Reply, member: Member, box: Mailbox) -> None:
        if effect.to is None or effect.to.instance != CALLER:
            return
        receive = partial(self.receive_reply, effect.to.request, effect.message)
        self.schedule(self.random.uniform(0.001, 0.003), receive)

    def receive_reply(self, number: int, reply: DispatcherReply) -> None:
        """Follow a transfer, ask again, or end a submission."""
        submission = self.submissions[number]
        self.counts[f"reply_{reply.status}"] += 1
        if reply.status is ReplyStatus.TRANSFERRED:
            submission.group, submission.transfers = reply.group, reply.transfers
            self.send_copy(submission, number)
        elif reply.status in (ReplyStatus.NOT_LEADER, ReplyStatus.UNDECIDED):
            submission.attempts += 1
            self.schedule(0.03, partial(self.send_copy, submission, number))
        else:
            submission.is_over = True


@dataclass
class Call:
    """A call to a backend server and what is needed to handle its answer."""

    order: Any
    member: Member
    process: int
    box: Mailbox
    sent_at: Seconds
    is_over: bool = False

    def make_result(self, answer: tuple[Any, Seconds] | None) -> Any:
        """Return the message about the answer; ``None`` stands for no answer."""
        order, term = self.order, get_term(self.order.fence)
        if isinstance(order, ReadRuns):
            if answer is None:
                return ReadFailed(order.server, term, target_born=order.target_born)
            listed, _ = answer
            fields: dict[str, Any] = {"fenced": True}
            if isinstance(listed, RunList):
                fields = {
                    "clock": listed.clock,
                    "born": listed.born,
                    "running": listed.running,
                    "ended": listed.ended,
                }
            return RunsRead(
                server=order.server,
                term=term,
                sent_at=self.sent_at,
                target_born=order.target_born,
                **fields,
            )
        result, clock = answer or (OrderResult.UNANSWERED, None)
        return RunOrdered(
            server=order.server,
            term=term,
            job_id=order.task.job_id,
            task=order.number,
            run=order.run,
            result=result,
            started=isinstance(order, StartRun),
            clock=clock,
            sent_at=self.sent_at,
            target_born=order.target_born,
        )
