"""What backend servers say of the runs on them, and the leases of these runs."""

from __future__ import annotations

from collections import Counter

from boragetide.commands import JobCommand, RecordEnds
from boragetide.controllers.dispatch_state import (
    DispatcherState,
    KeptEnds,
    Run,
    RunPhase,
    Server,
    has_authority,
    keep_record,
    name_command,
)
from boragetide.controllers.placing_runs import extend_lease, requeue
from boragetide.durable import (
    EndReason,
    JobPhase,
    JobRecord,
    ListedEnd,
    ListedRun,
    Resources,
    RunEnd,
    TaskRef,
    number_task,
    refer_to_task,
)
from boragetide.effects import (
    Count,
    Effect,
    LogEvent,
    Observe,
    ReadRuns,
    Reply,
    Send,
    StopRun,
)
from boragetide.messages import (
    AppendCommands,
    DispatcherReply,
    OrderResult,
    ReadFailed,
    ReplyStatus,
    RunOrdered,
    RunsRead,
)
from boragetide.policy import job_table
from boragetide.types import Address, BackendServerId, JobId, Seconds

# A read waits this long for an end, so that a lease of `LEASE` is renewed twice even if
# one answer is lost.
READ_WAIT: Seconds = 0.25
# A lease is renewed although ends wait to be kept when less than this is left of it.
RENEW_BEFORE: Seconds = 0.4
READ_RETRY: Seconds = 0.1
# A backend server that refuses because it is unhealthy, or stops answering for a run,
# gets no new ones for a while.
AVOID_UNHEALTHY: Seconds = 1.0
# So does one that failed a run, longer with each failure in a row: the next attempt
# goes elsewhere. One run in 500 fails by itself, so that the first pause is short.
AVOID_FAILED: Seconds = 0.25
# Callers ask a new leader again within some tenths of a second.
FOREIGN_WAIT: Seconds = 1.0
AVOID_LONGEST: Seconds = 8.0
# Share of a new observation in the learned speed; declared times are off by 40%. A run
# that took more than twice as long as expected shows more than that.
SPEED_LEARNING = 0.1
SLOWDOWN_LEARNING = 0.4
# A declared time that is 40% too short on a backend server that is as slow as learned
# takes 1.7 times as long as expected.
OVERDUE_FACTOR = 3.0
OVERDUE_MARGIN: Seconds = 0.3
AVOID_OVERDUE: Seconds = 2.0
SPEED_MIN, SPEED_MAX = 0.05, 10.0


def read_runs(state: DispatcherState, server: Server, now: Seconds) -> list[Effect]:
    """Read the runs of a backend server if there is a reason to."""
    if server.reading or server.gone or now < server.read_again_at:
        return []
    if not has_authority(state, now):
        return []
    is_first = server.read_term != state.term
    has_runs = any(
        run.phase is not RunPhase.ENDED for run in server.runs_by_task.values()
    )
    owes_acknowledgement = server.acknowledged > server.acknowledged_sent
    if not (is_first or has_runs or owes_acknowledgement or server.foreign):
        return []
    if server.unkept and now < server.lapsed_at - RENEW_BEFORE:
        return []
    server.reading = True
    server.acknowledged_sent = server.acknowledged
    # An unanswered renewal may arrive: where one was not answered no other is sent, so
    # that the lease certainly lapses if the backend server stays out of reach.
    holds = has_runs or bool(server.foreign)
    renews = server.clock_ahead is not None and holds and not server.silent
    waits = has_runs and not (is_first or server.unkept or server.silent)
    return [
        ReadRuns(
            server=server.report.id,
            address=server.report.address,
            fence=state.term,
            acknowledged=server.acknowledged,
            lease_until=extend_lease(server, now) if renews else None,
            wait=READ_WAIT if waits else 0.0,
        )
    ]


def take_runs(state: DispatcherState, message: RunsRead, now: Seconds) -> list[Effect]:
    """Compare what a backend server lists with what is known of it."""
    server = state.servers_by_id.get(message.server)
    if server is None or message.term != state.term:
        return []
    server.reading = False
    if message.fenced:
        return [lose_authority(state, server.report.id)]
    if message.born and server.report.born and message.born != server.report.born:
        return []
    server.heard_at = now
    server.silent = False
    server.clock_ahead = message.clock - now
    effects: list[Effect] = []
    if server.read_term != state.term:
        server.read_term = state.term
        fields = {"server": message.server, "term": state.term}
        effects.append(LogEvent("backend_server_read", fields))
    effects += _take_ends(state, server, message.ended, now)
    for listed in message.running:
        effects += _take_running(state, server, listed, message.sent_at, now)
    effects += _free_missing(state, server, message, now)
    return effects


def lose_authority(state: DispatcherState, server_id: BackendServerId) -> Effect:
    """Give no more orders in this term: a newer leader does."""
    state.authority_until = 0.0
    return LogEvent("fenced", {"server": server_id, "term": state.term})


def _take_running(
    state: DispatcherState,
    server: Server,
    listed: ListedRun,
    sent_at: Seconds,
    now: Seconds,
) -> list[Effect]:
    record = state.records_by_id.get(listed.task.job_id)
    number = None if record is None else number_task(record.job, listed.task)
    key = (listed.task.job_id, -1 if number is None else number)
    run = server.runs_by_task.get(key)
    if run is not None and run.number == listed.run:
        if run.phase in (RunPhase.ORDERED, RunPhase.UNSURE):
            run.phase, run.started_at = RunPhase.RUNNING, now
        return []
    if number is None:
        return _take_foreign(state, server, listed, now)
    if not _is_wanted(state, record, server, key, listed.run):
        return _stop_unknown(state, server, listed, now)
    return adopt_run(state, server, record, listed, sent_at, now)


def _take_foreign(
    state: DispatcherState, server: Server, listed: ListedRun, now: Seconds
) -> list[Effect]:
    """Keep a run of an unknown job for a while: its caller may ask again here."""
    since = server.foreign.setdefault(listed, now)
    if now - since < FOREIGN_WAIT:
        return []
    return _stop_unknown(state, server, listed, now)


def _stop_unknown(
    state: DispatcherState, server: Server, listed: ListedRun, now: Seconds
) -> list[Effect]:
    """Stop a run that is not wanted; it is in the way until it is no longer listed."""
    server.foreign.setdefault(listed, now)
    fields = {"job": listed.task.job_id, "task": listed.task.index, "run": listed.run}
    fields |= {"server": server.report.id, "reason": "not_wanted"}
    stop = StopRun(
        server.report.id,
        server.report.address,
        listed.task,
        listed.task.index,
        listed.run,
        state.term,
    )
    return [LogEvent("run_stopped", fields), stop]


def adopt_run(
    state: DispatcherState,
    server: Server,
    record: JobRecord,
    listed: ListedRun,
    sent_at: Seconds,
    now: Seconds,
) -> list[Effect]:
    """Go on with a run that an earlier leader started."""
    number = number_task(record.job, listed.task)
    key = (record.job.id, number)
    step = record.job.steps[listed.task.step]
    run = Run(key[0], number, listed.run, step.needs, now, RunPhase.RUNNING)
    run.settled_at = sent_at
    server.foreign.pop(listed, None)
    server.runs_by_task[key] = run
    state.occupied[key] = server.report.id
    state.started.add(key[0])
    state.run_by_task[key] = max(state.run_by_task.get(key, 0), listed.run)
    requeue(state, key[0])
    fields = {"job": key[0], "task": number, "run": listed.run}
    return [LogEvent("run_adopted", {**fields, "server": server.report.id})]


def adopt_foreign(
    state: DispatcherState, record: JobRecord, now: Seconds
) -> list[Effect]:
    """Go on with what an earlier leader started of a job that is submitted again."""
    effects: list[Effect] = []
    job_id = record.job.id
    for server in state.servers_by_id.values():
        for listed in [run for run in server.foreign if run.task.job_id == job_id]:
            number = number_task(record.job, listed.task)
            if number is not None and (job_id, number) not in state.occupied:
                effects += adopt_run(state, server, record, listed, now, now)
    done = [task for task in state.foreign_done if task.job_id == job_id]
    numbers = [number_task(record.job, task) for task in done]
    ends = tuple(RunEnd(job_id, n, 0, False) for n in numbers if n is not None)
    if job_table.record_ends(state.records_by_id, ends, now):
        effects += take_record(state, state.records_by_id[job_id], now)
    return effects


def _is_wanted(
    state: DispatcherState,
    record: JobRecord,
    server: Server,
    key: tuple[JobId, int],
    run: int,
) -> bool:
    """Tell whether a run that is not known here may go on."""
    return (
        record.phase is JobPhase.ACTIVE
        and key[1] not in record.done
        and key not in state.occupied
        and run >= state.run_by_task.get(key, 0)
    )


def _free_missing(
    state: DispatcherState, server: Server, message: RunsRead, now: Seconds
) -> list[Effect]:
    """End the runs that should be listed and are not.

    Only a run whose last order was answered before the question was sent must be
    listed: answers overtake each other.
    """
    listed = {(run.task, run.run) for run in message.running}
    server.foreign = {
        run: since
        for run, since in server.foreign.items()
        if (run.task, run.run) in listed
    }
    effects: list[Effect] = []
    for run in list(server.runs_by_task.values()):
        if run.phase is RunPhase.ENDED or run.settled_at is None:
            continue
        if run.settled_at >= message.sent_at:
            continue
        record = state.records_by_id.get(run.job_id)
        task = None if record is None else refer_to_task(record.job, run.task)
        if (task, run.number) in listed:
            continue
        effects += free_run(state, server, run, "not_listed")
    return effects


def free_run(
    state: DispatcherState, server: Server, run: Run, reason: str
) -> list[Effect]:
    """Forget a run that is certainly over; its task may start again."""
    server.runs_by_task.pop(run.key, None)
    if state.occupied.get(run.key) == server.report.id:
        del state.occupied[run.key]
    requeue(state, run.job_id)
    fields = {"job": run.job_id, "task": run.task, "run": run.number}
    fields |= {"server": server.report.id, "reason": reason, "term": state.term}
    return [LogEvent("run_over", fields)]


def _take_ends(
    state: DispatcherState,
    server: Server,
    ended: tuple[ListedEnd, ...],
    now: Seconds,
) -> list[Effect]:
    """Hand new ends to the log; the others are over as soon as they are listed."""
    effects: list[Effect] = []
    to_keep: list[RunEnd] = []
    numbers: list[int] = []
    new = [end for end in ended if end.number > server.listed]
    for end in sorted(new, key=lambda end: end.number):
        server.listed = end.number
        kept, more = _take_end(state, server, end, now)
        effects += more
        if kept is not None:
            to_keep.append(kept)
            numbers.append(end.number)
    effects += [
        Count("runs_ended", {"how": reason.value}, count)
        for reason, count in Counter(end.reason for end in new).items()
    ]
    server.unkept.update(numbers)
    _advance_acknowledged(server)
    if not to_keep:
        return effects
    tasks = tuple((end.job_id, end.task) for end in to_keep)
    kept_ends = KeptEnds(server.report.id, server.report.born, tuple(numbers), tasks)
    command = RecordEnds(tuple(to_keep))
    return [*effects, append_command(state, command, ends=kept_ends)]


def append_command(
    state: DispatcherState,
    command: JobCommand,
    *,
    ends: KeptEnds | None = None,
) -> Effect:
    """Hand a command to the log; `JobsCommitted` says that it is kept."""
    command_id = name_command(state)
    if ends is not None:
        state.ends_by_command[command_id] = ends
    to = Address(state.settings.id, "configuration")
    return Send(to, AppendCommands(state.term, {command_id: command}))


def _take_end(
    state: DispatcherState, server: Server, end: ListedEnd, now: Seconds
) -> tuple[RunEnd | None, list[Effect]]:
    """Return what must be kept of an end, if anything."""
    record = state.records_by_id.get(end.task.job_id)
    number = None if record is None else number_task(record.job, end.task)
    fields = {
        "job": end.task.job_id,
        "task": -1 if number is None else number,
        "run": end.run,
        "server": server.report.id,
        "end": end.number,
        "how": end.reason.value,
    }
    log = LogEvent("run_ended", fields)
    if number is None:
        if record is None and end.reason is EndReason.DONE:
            state.foreign_done[end.task] = now
        return None, [log]
    key = (end.task.job_id, number)
    run = server.runs_by_task.get(key)
    is_current = run is not None and run.number == end.run
    if is_current and end.reason in (EndReason.STOPPED, EndReason.LAPSED):
        return None, [log, *free_run(state, server, run, end.reason.value)]
    if end.reason not in (EndReason.DONE, EndReason.FAILED):
        return None, [log]
    failed = end.reason is EndReason.FAILED
    if is_current:
        run.phase = RunPhase.ENDED
        _learn(server, run, failed, now)
    elif end.run < state.run_by_task.get(key, 0) or key in state.occupied:
        # A newer run exists: this one counts only as a failed attempt.
        if not failed:
            return None, [log]
    elif not failed:
        _hold_task(state, server, key, end, record, now)
    if record.phase is not JobPhase.ACTIVE:
        return None, [log, *_drop_ended(state, server, run, is_current)]
    kept = RunEnd(key[0], number, end.run, failed)
    if record.job.best_effort:
        return None, [log, *_end_best_effort(state, server, run, kept, now)]
    return kept, [log]


def _end_best_effort(
    state: DispatcherState,
    server: Server,
    run: Run | None,
    end: RunEnd,
    now: Seconds,
) -> list[Effect]:
    """Take over an end at once: nothing of a best-effort job is kept."""
    effects: list[Effect] = []
    if run is not None:
        effects += free_run(state, server, run, "listed")
    if job_table.record_ends(state.records_by_id, (end,), now):
        effects += take_record(state, state.records_by_id[end.job_id], now)
    return effects


def _drop_ended(
    state: DispatcherState, server: Server, run: Run | None, is_current: bool
) -> list[Effect]:
    return free_run(state, server, run, "job_ended") if is_current else []


def _hold_task(
    state: DispatcherState,
    server: Server,
    key: tuple[JobId, int],
    end: ListedEnd,
    record: JobRecord,
    now: Seconds,
) -> None:
    """Occupy a task whose run ended under an earlier leader, until that is kept."""
    run = Run(key[0], key[1], end.run, Resources(), now, RunPhase.ENDED)
    server.runs_by_task[key] = run
    state.occupied[key] = server.report.id
    state.started.add(key[0])
    state.run_by_task[key] = end.run
    requeue(state, key[0])


def _learn(server: Server, run: Run, failed: bool, now: Seconds) -> None:
    if failed:
        pause = min(AVOID_LONGEST, AVOID_FAILED * 4**server.failures_in_row)
        server.failures_in_row += 1
        server.avoided_until = now + pause
        return
    server.failures_in_row = 0
    server.done_at = now
    if run.started_at is None or not run.estimate:
        return
    observed = run.estimate / max(now - run.started_at, 0.001)
    observed = min(SPEED_MAX, max(SPEED_MIN, observed))
    slowed = observed < server.speed / 2
    learning = SLOWDOWN_LEARNING if slowed else SPEED_LEARNING
    server.speed += learning * (observed - server.speed)


def _advance_acknowledged(server: Server) -> None:
    server.acknowledged = min(server.unkept, default=server.listed + 1) - 1


def note_kept(state: DispatcherState, ends: KeptEnds) -> None:
    """Acknowledge ends that are kept, and let their tasks go."""
    server = state.servers_by_id.get(ends.server_id)
    if server is None or server.report.born != ends.born:
        return
    server.unkept.difference_update(ends.numbers)
    _advance_acknowledged(server)
    for key in ends.tasks:
        run = server.runs_by_task.get(key)
        if run is not None and run.phase is RunPhase.ENDED:
            free_run(state, server, run, "kept")


def take_record(
    state: DispatcherState, record: JobRecord, now: Seconds, *, is_new: bool = False
) -> list[Effect]:
    """Take over a change of a job; its end stops its runs and answers its waiters."""
    job_id = record.job.id
    keep_record(state, record)
    state.command_by_job.pop(job_id, None)
    requeue(state, job_id)
    fields = {
        "job": job_id,
        "class": record.job.class_name,
        "phase": record.phase.value,
        "done": len(record.done),
        "tasks": record.job.task_count,
        "failures": len(record.failures),
        "age": now - record.job.submitted_at,
        "term": state.term,
    }
    if record.phase is JobPhase.ACTIVE:
        return [LogEvent("job_accepted", fields)] if is_new else []
    ended = DispatcherReply(ReplyStatus.ACCEPTED, state=record.phase.value)
    age = now - record.job.submitted_at
    return [
        LogEvent("job_ended", fields),
        Observe("durable_job_seconds", age, {"phase": record.phase.value}),
        *(Reply(to, ended) for to in state.waiters_by_job.pop(job_id, ())),
        *_stop_runs(state, job_id),
    ]


def _stop_runs(state: DispatcherState, job_id: JobId) -> list[Effect]:
    effects: list[Effect] = []
    record = state.records_by_id[job_id]
    for number in range(record.job.task_count):
        server_id = state.occupied.get((job_id, number))
        if server_id is None:
            continue
        server = state.servers_by_id[server_id]
        effects += stop_run(
            state, server, server.runs_by_task[job_id, number], "job_ended"
        )
    return effects


def take_order(
    state: DispatcherState, message: RunOrdered, now: Seconds
) -> list[Effect]:
    """Take over how a start or stop ended."""
    server = state.servers_by_id.get(message.server)
    if server is None or message.term != state.term:
        return []
    run = server.runs_by_task.get((message.job_id, message.task))
    if run is None or run.number != message.run:
        return []
    if message.result is OrderResult.FENCED:
        return [lose_authority(state, server.report.id)]
    if message.clock is not None:
        server.heard_at = now
        server.clock_ahead = message.clock - now
    if message.started:
        return _take_start(state, server, run, message.result, now)
    return _take_stop(state, server, run, message.result, now)


def _take_start(
    state: DispatcherState,
    server: Server,
    run: Run,
    result: OrderResult,
    now: Seconds,
) -> list[Effect]:
    if result is OrderResult.DONE:
        if run.phase is RunPhase.ORDERED:
            run.phase, run.started_at = RunPhase.RUNNING, now
        run.settled_at = now
        return []
    fields = {"job": run.job_id, "task": run.task, "run": run.number}
    fields |= {"server": server.report.id, "result": result.value}
    log = LogEvent("run_refused", fields)
    if result is OrderResult.UNANSWERED:
        return [log, *stop_run(state, server, run, "unanswered")]
    if run.phase not in (RunPhase.ORDERED, RunPhase.UNSURE):
        return [log]
    if result in (OrderResult.UNHEALTHY, OrderResult.NO_ROOM):
        server.avoided_until = now + AVOID_UNHEALTHY
    if result is OrderResult.OTHER_LIFE:
        server.gone = True
    return [log, *free_run(state, server, run, result.value)]


def _take_stop(
    state: DispatcherState,
    server: Server,
    run: Run,
    result: OrderResult,
    now: Seconds,
) -> list[Effect]:
    if result in (OrderResult.DONE, OrderResult.OLD_RUN):
        # It is listed until its end is; where it never arrived it never will run.
        run.settled_at = now
    elif result is OrderResult.OTHER_LIFE:
        server.gone = True
    return []


def stop_run(
    state: DispatcherState, server: Server, run: Run, reason: str
) -> list[Effect]:
    """Order the end of a run; it occupies its task until the end is certain."""
    record = state.records_by_id.get(run.job_id)
    if record is None or run.phase is RunPhase.ENDED:
        return []
    run.phase = RunPhase.STOPPING
    run.settled_at = None
    task: TaskRef = refer_to_task(record.job, run.task)
    fields = {"job": run.job_id, "task": run.task, "run": run.number}
    fields |= {"server": server.report.id, "reason": reason}
    return [
        LogEvent("run_stopped", fields),
        StopRun(
            server.report.id,
            server.report.address,
            task,
            run.task,
            run.number,
            state.term,
        ),
    ]


def take_failed_read(
    state: DispatcherState, message: ReadFailed, now: Seconds
) -> list[Effect]:
    """Start nothing where a question was not answered, and ask again."""
    server = state.servers_by_id.get(message.server)
    if server is None or message.term != state.term:
        return []
    server.reading = False
    server.read_again_at = now + READ_RETRY
    if message.other_life:
        server.gone = True
    if server.silent:
        return []
    server.silent = True
    fields = {"server": message.server, "heard_ago": now - server.heard_at}
    return [LogEvent("backend_server_silent", fields)]


def stop_overdue(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Stop runs that stand still, as far as can be told; their tasks start elsewhere.

    A task is stopped for this once: its declared time may be what is wrong.
    """
    effects: list[Effect] = []
    for server in state.servers_by_id.values():
        overdue = [
            run
            for run in server.runs_by_task.values()
            if run.key not in state.stopped_once and _is_overdue(server, run, now)
        ]
        if overdue:
            server.avoided_until = now + AVOID_OVERDUE
            server.speed = max(SPEED_MIN, server.speed / 2)
        for run in overdue:
            state.stopped_once.add(run.key)
            effects += stop_run(state, server, run, "overdue")
    return effects


def _is_overdue(server: Server, run: Run, now: Seconds) -> bool:
    if run.phase is not RunPhase.RUNNING or run.started_at is None:
        return False
    if server.done_at > run.started_at:
        return False
    expected = run.estimate / server.speed
    return now - run.started_at > OVERDUE_FACTOR * expected + OVERDUE_MARGIN


def free_lapsed(state: DispatcherState, now: Seconds) -> list[Effect]:
    """End the runs of backend servers that were not reached until all leases lapsed."""
    effects: list[Effect] = []
    for server in state.servers_by_id.values():
        if not (server.silent or server.gone) or now < server.lapsed_at:
            continue
        for run in list(server.runs_by_task.values()):
            if run.phase is not RunPhase.ENDED:
                effects += free_run(state, server, run, "lease_lapsed")
    return effects
