"""Builders for tests of durable jobs."""

from __future__ import annotations

from typing import Any

from boragetide.commands import (
    RecordUnansweredStarts,
    RegisterBackendServers,
    UnregisterBackendServers,
)
from boragetide.controllers import dispatcher
from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.durable import (
    DurableJob,
    EndReason,
    ListedEnd,
    ListedRun,
    Resources,
    ServerReport,
    Step,
    TaskRef,
)
from boragetide.effects import Effect, ReadRuns, Reply, Send, StartRun, StopRun
from boragetide.log_records import Catalogue
from boragetide.messages import (
    AppendCommands,
    JobsCommitted,
    LeadershipGained,
    OrderResult,
    ReportServer,
    RunOrdered,
    RunsRead,
    SubmitDurableJob,
)
from boragetide.policy.catalogue import apply_job_command
from boragetide.policy.fencing import get_term
from boragetide.settings import Settings
from boragetide.types import DurableStarts, ReplyTo

# Commands that the leader appends for its successor, whatever the jobs are.
SERVER_COMMANDS = (
    RegisterBackendServers,
    UnregisterBackendServers,
    RecordUnansweredStarts,
)
BEGIN = 1_000_000.0  # Unix time at which the tests begin, in seconds
BORN = 900_000_000  # Unix milliseconds at which the backend servers started
CAPACITY = Resources(64_000, 100_000)
NEEDS = Resources(27_000, 64)
SERVER_CLOCK = 500.0  # clock of a backend server when the tests begin, in seconds
PREDECESSOR_AUTHORITY = 0.4  # seconds for which an earlier leader may still give orders
CALLER = ReplyTo("e1", 7)
UPTIME = 60.0  # seconds for which the instance has run when a test begins


def make_durable_job(
    job_id: str = "j1",
    *steps: Step,
    attempts: int = 2,
    best_effort: bool = False,
    submitted_at: float = BEGIN,
) -> DurableJob:
    """Build a job, by default one of a single step with two tasks."""
    return DurableJob(
        id=job_id,
        class_name="proofs",
        spec="spec",
        steps=steps or (Step(2, NEEDS, 0.2),),
        starts=DurableStarts("pool", attempts=attempts, stretch=1.6),
        submitted_at=submitted_at,
        response_time=0.06,
        best_effort=best_effort,
    )


def make_report(
    server_id: str = "s1", *, sequence: int = 1, born: int = BORN, **fields: Any
) -> ServerReport:
    """Build an announcement of a backend server with capacity for two tasks."""
    return ServerReport(
        id=server_id,
        address=f"{server_id}:80",
        pool=fields.pop("pool", "pool"),
        zone=fields.pop("zone", "a"),
        capacity=fields.pop("capacity", CAPACITY),
        born=born,
        sequence=sequence,
        **fields,
    )


class Leader:
    """A leading dispatcher that records the effects of the last message.

    Registrations of backend servers and starts without an answer are committed at once,
    unless the log is held up.
    """

    def __init__(
        self, settings: Settings, term: int = 1, catalogue: Catalogue | None = None
    ):
        incarnation = int((BEGIN - UPTIME) * 1000)
        self.state = DispatcherState(settings, incarnation)
        self.effects: list[Effect] = []
        self.term = term
        self.catalogue = catalogue or Catalogue()
        self.log_is_held_up = False

    def lead(self, now: float = BEGIN, records: tuple[Any, ...] = ()) -> None:
        """Gain the leadership."""
        gained = LeadershipGained(
            self.term,
            records,
            now + 1000.0,
            now + PREDECESSOR_AUTHORITY,
            server_born_by_id=dict(self.catalogue.server_born_by_id),
            unanswered_starts=self.catalogue.unanswered_starts,
            cancelled_at_by_job=dict(self.catalogue.cancelled_at_by_job),
        )
        self.handle(gained, now)

    def handle(self, message: Any, now: float = BEGIN) -> list[Effect]:
        """Handle one message, and the commit of the registrations that it appends."""
        self.effects = dispatcher.handle(message, self.state, now)
        if not self.log_is_held_up:
            for appended in self.registrations():
                self.commit(appended, now)
        return self.effects

    def appended(self) -> list[Send]:
        """Return the commands that the last message appended to the log."""
        return [
            effect
            for effect in self.effects
            if isinstance(effect, Send) and isinstance(effect.message, AppendCommands)
        ]

    def registrations(self) -> list[Send]:
        """Return the appended commands about backend servers of the last message."""
        return [
            effect
            for effect in self.appended()
            if all(
                isinstance(command, SERVER_COMMANDS)
                for command in effect.message.commands_by_id.values()
            )
        ]

    def commit(self, appended: Send, now: float = BEGIN) -> None:
        """Commit appended commands; the effects join those of the message."""
        commands_by_id = appended.message.commands_by_id
        changed: set[str] = set()
        for command in commands_by_id.values():
            changed |= apply_job_command(command, self.catalogue, now)
        records = tuple(self.catalogue.jobs_by_id[id_] for id_ in sorted(changed))
        committed = JobsCommitted(tuple(commands_by_id), records)
        self.effects = [effect for effect in self.effects if effect is not appended]
        self.effects += dispatcher.handle(committed, self.state, now)

    def join(self, server_id: str = "s1", now: float = BEGIN, **fields: Any) -> None:
        """Announce a backend server and deliver its empty list of runs."""
        report = make_report(server_id, **fields)
        self.handle(ReportServer(report=report, reply_to=ReplyTo("a1", 1)), now)
        self.list_runs(server_id, now=now)

    def list_runs(
        self,
        server_id: str = "s1",
        *,
        running: tuple[ListedRun, ...] = (),
        ended: tuple[ListedEnd, ...] = (),
        now: float = BEGIN,
        sent_at: float | None = None,
        read_at: float | None = None,
        **fields: Any,
    ) -> list[Effect]:
        """Deliver a backend server's list of its runs, which it made at ``read_at``."""
        read_at = now if read_at is None else read_at
        return self.handle(
            RunsRead(
                server=server_id,
                term=fields.pop("term", self.term),
                sent_at=read_at if sent_at is None else sent_at,
                clock=SERVER_CLOCK + read_at - BEGIN,
                born=fields.pop("born", BORN),
                running=running,
                ended=ended,
                **fields,
            ),
            now,
        )

    def answer(
        self,
        order: StartRun | StopRun,
        result: OrderResult = OrderResult.DONE,
        now: float = BEGIN,
        sent_at: float | None = None,
    ) -> list[Effect]:
        """Deliver the answer to an order, which was sent at ``sent_at``."""
        return self.handle(
            RunOrdered(
                server=order.server,
                term=get_term(order.fence),
                job_id=order.task.job_id,
                task=order.number,
                run=order.run,
                result=result,
                started=isinstance(order, StartRun),
                clock=SERVER_CLOCK + now - BEGIN,
                sent_at=now if sent_at is None else sent_at,
                target_born=order.target_born,
            ),
            now,
        )

    def starts(self) -> list[StartRun]:
        """Return the starts that the last message ordered."""
        return [each for each in self.effects if isinstance(each, StartRun)]

    def stops(self) -> list[StopRun]:
        """Return the stops that the last message ordered."""
        return [each for each in self.effects if isinstance(each, StopRun)]

    def reads(self) -> list[ReadRuns]:
        """Return the requests for lists of runs that the last message caused."""
        return [each for each in self.effects if isinstance(each, ReadRuns)]

    def replies(self) -> list[Any]:
        """Return the replies that the last message caused."""
        return [each.message for each in self.effects if isinstance(each, Reply)]


def list_run(start: StartRun) -> ListedRun:
    """Return the run that a start order begins, as the backend server lists it."""
    return ListedRun(start.task, start.run)


def list_end(
    start: StartRun, number: int, reason: EndReason = EndReason.DONE
) -> ListedEnd:
    """Return the end of a run as the backend server lists it."""
    return ListedEnd(number, start.task, start.run, reason)


def make_task_ref(job_id: str, index: int, step: int = 0) -> TaskRef:
    """Build a reference to a task."""
    return TaskRef(job_id, step, index)


def submit(leader: Leader, **fields: Any) -> None:
    """Submit a best-effort job of the caller."""
    job = make_durable_job(best_effort=True, **fields)
    age = BEGIN - job.submitted_at
    leader.handle(SubmitDurableJob(job=job, age=age, reply_to=CALLER))
