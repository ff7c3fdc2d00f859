"""Lists of runs that are read from backend servers, and the leases of these runs."""

from __future__ import annotations

from boragetide.controllers.dispatch_state import (
    DispatcherState,
    add_run,
    get_fence,
    has_authority,
    update_server_index,
)
from boragetide.controllers.freed_runs import (
    remember_freed_run,
    report_listed_freed_runs,
)
from boragetide.controllers.list_timing import (
    READ_MAX_WAIT,
    find_list_timeout,
    find_wait,
    may_renew,
)
from boragetide.controllers.orders import (
    REASON_NOT_LISTED,
    free_run,
    lose_authority,
    make_stop,
)
from boragetide.controllers.placing_runs import ANNOUNCEMENT_TIMEOUT, extend_lease
from boragetide.controllers.possible_runs import discard_possible_run
from boragetide.controllers.queue_updates import update_tasks
from boragetide.controllers.run_ends import apply_ends
from boragetide.controllers.server_state import Run, RunPhase, Server
from boragetide.controllers.server_table import replace_process
from boragetide.controllers.suspect_hosts import isolate
from boragetide.durable import (
    JobPhase,
    JobRecord,
    ListedRun,
    UnansweredStart,
    get_task_number,
)
from boragetide.effects import Effect, LogEvent, ReadRuns
from boragetide.messages import RunsRead
from boragetide.types import JobId, Seconds

# While ends wait to be committed, a lease is renewed only if less than this is left.
RENEWAL_THRESHOLD: Seconds = 0.4
# Pause after a list that does not hold all ends, in which these may be committed.
PARTIAL_LIST_PAUSE: Seconds = 0.05
# In this time, a lease becomes about 0.1 s shorter if the clock is not read.
MAX_CLOCK_AGE: Seconds = 5.0
# Most suspects on a backend server that runs one of an earlier leader.
ADOPTED_GROUP_SIZE = 2
# A run of an unknown job is stopped after this time. Callers submit their jobs again to
# a new leader within some tenths of a second.
UNKNOWN_JOB_GRACE_PERIOD: Seconds = 1.0


def read_runs(
    state: DispatcherState, server: Server, now: Seconds, *, wanted: bool = False
) -> list[Effect]:
    """Read the runs of a backend server if there is a reason to.

    Parameters
    ----------
    wanted
        Whether the caller has a reason of its own.
    """
    if server.reading or server.departed or now < server.next_read_at:
        return []
    if not has_authority(state, now):
        return []
    is_first = server.read_term != state.term
    has_runs = any(
        run.phase is not RunPhase.ENDED for run in server.runs_by_task.values()
    )
    # Each process numbers its ends from 1. An acknowledgement that reaches the next
    # process makes it forget its own ends. A number is therefore sent only once, and
    # only after an answer has shown which process it is.
    may_acknowledge = not server.list_failed
    acknowledges = server.acknowledged > server.acknowledged_sent and may_acknowledge
    # A silent backend server is used again only after an answer.
    is_back = server.list_failed and now - server.last_contact_at < ANNOUNCEMENT_TIMEOUT
    has_reason = wanted or is_first or has_runs or acknowledges or is_back
    has_reason = has_reason or _has_old_clock(server, now)
    if not (has_reason or server.unexpected_runs):
        return []
    if server.uncommitted_ends and now < server.leases_expired_at - RENEWAL_THRESHOLD:
        return []
    if acknowledges:
        server.acknowledged_sent = server.acknowledged
    holds_runs = has_runs or bool(server.unexpected_runs)
    renews = server.clock.offset is not None and holds_runs and may_renew(server, now)
    waits = has_runs and not (is_first or server.uncommitted_ends or server.list_failed)
    # Ends that are not acknowledged are listed at once, each time.
    waits = waits and server.acknowledge_until is None
    wait = find_wait(server, now) if waits else 0.0
    server.reading = True
    if not server.list_failed:
        server.calls.add_call()
    return [
        ReadRuns(
            server=server.report.id,
            address=server.report.address,
            fence=get_fence(state, server),
            acknowledged=server.acknowledged if acknowledges else 0,
            lease_until=extend_lease(server, now) if renews else None,
            wait=wait,
            target_born=server.report.born,
            timeout=wait + find_list_timeout(server, now),
        )
    ]


def _has_old_clock(server: Server, now: Seconds) -> bool:
    """Return whether a server in use must be asked for its clock.

    The bound of the clock becomes less certain with time, so that leases would end too
    early. Announcements that include the clock make the question unnecessary.
    """
    age = server.clock.find_age(now)
    is_announced = now - server.announced_at < ANNOUNCEMENT_TIMEOUT
    return (
        age is not None
        and age > MAX_CLOCK_AGE
        and is_announced
        and not server.list_failed
    )


def reconcile_runs(
    state: DispatcherState, message: RunsRead, now: Seconds
) -> list[Effect]:
    """Reconcile the known runs of a backend server with the runs that it lists."""
    server = state.servers_by_id.get(message.server)
    if server is None or message.term != state.term:
        return []
    if message.late and message.sent_at <= server.runs_requested_at:
        # A list that was asked for later has been applied.
        return []
    if not message.late:
        # A late list belongs to a request that was given up; a newer one may be under
        # way.
        server.reading = False
    is_current = server.is_target(message.target_born)
    if message.fenced:
        return [lose_authority(state, server.report.id)] if is_current else []
    effects: list[Effect] = []
    if message.born and server.report.born and message.born != server.report.born:
        if not _is_later_process(server, message):
            return []
        effects += replace_process(state, server, message.born, now)
        server = state.servers_by_id[message.server]
        is_current = False
    listed_at = server.record_answer(message.clock, message.sent_at, now)
    if not message.waited:
        server.calls.record_response(now - message.sent_at)
    # An end that was listed late, after unanswered requests, does not show the speed.
    may_learn = not server.list_failed
    server.unanswered = 0
    server.runs_requested_at, server.runs_listed_at = message.sent_at, listed_at
    is_first = server.read_term != state.term
    if is_first and message.running:
        server.bound_unknown_leases(now)
    if is_first and is_current and not message.is_partial:
        server.read_term = state.term
        fields = {"server": message.server, "term": state.term}
        effects.append(LogEvent("backend_server_read", fields))
    effects += report_listed_freed_runs(state, message, now)
    _note_unreadable_ends(server, message, now)
    effects += apply_ends(state, server, message.ended, may_learn, listed_at, now)
    for listed in message.running:
        effects += _reconcile_run(state, server, listed, message.sent_at, now)
    _forget_unlisted_unexpected_runs(server, message)
    if message.is_partial:
        effects.append(_await_further_ends(server, message, now))
    elif is_current:
        effects += _free_unlisted_runs(state, server, message, now)
    update_server_index(state, server)
    return effects


def _await_further_ends(server: Server, message: RunsRead, now: Seconds) -> Effect:
    """Ask for the other ends only after those of this list can be acknowledged."""
    if server.uncommitted_ends:
        server.next_read_at = now + PARTIAL_LIST_PAUSE
    fields = {"server": message.server, "term": message.term}
    fields |= {"ends": len(message.ended), "until": server.listed}
    return LogEvent("runs_listed_in_part", fields)


def _is_later_process(server: Server, message: RunsRead) -> bool:
    """Return whether another process than the known one has replaced it.

    It has if it answers a request that was meant for the known one. `born` alone does
    not tell, because the time of day may have been set back.
    """
    answers_for_known = message.target_born == server.report.born
    return answers_for_known or message.born > server.report.born


def _note_unreadable_ends(server: Server, message: RunsRead, now: Seconds) -> None:
    """Acknowledge no end behind one that cannot be read, and read less often."""
    until = message.acknowledge_until
    server.acknowledge_until = until
    server.held_ends = 0
    if until is not None:
        server.held_ends = sum(end.number > until for end in message.ended)
        server.next_read_at = now + READ_MAX_WAIT


def _reconcile_run(
    state: DispatcherState,
    server: Server,
    listed: ListedRun,
    sent_at: Seconds,
    now: Seconds,
) -> list[Effect]:
    record = state.records_by_id.get(listed.task.job_id)
    number = None if record is None else get_task_number(record.job, listed.task)
    key = (listed.task.job_id, -1 if number is None else number)
    run = server.runs_by_task.get(key)
    if run is not None and run.number == listed.run:
        run.seen_born = server.report.born
        run.began = True
        if run.phase is RunPhase.ORDERED:
            run.phase, run.started_at = RunPhase.RUNNING, server.runs_listed_at
        return []
    if number is None:
        return _tolerate_unknown_run(state, server, listed, now)
    if not _is_wanted(state, record, server, key, listed.run):
        return _stop_unexpected_run(state, server, listed, now)
    return adopt_run(state, server, record, listed, sent_at, now)


def _tolerate_unknown_run(
    state: DispatcherState, server: Server, listed: ListedRun, now: Seconds
) -> list[Effect]:
    """Let a run of an unknown job go on for a while: the job may be submitted again.

    A run of a cancelled job is stopped at once.
    """
    since = server.unexpected_runs.setdefault(listed, now)
    is_cancelled = listed.task.job_id in state.cancelled_at_by_job
    if not is_cancelled and now - since < UNKNOWN_JOB_GRACE_PERIOD:
        return []
    return _stop_unexpected_run(state, server, listed, now)


def _stop_unexpected_run(
    state: DispatcherState, server: Server, listed: ListedRun, now: Seconds
) -> list[Effect]:
    """Stop an unwanted run; it blocks new runs on its server while it is listed."""
    server.unexpected_runs.setdefault(listed, now)
    fields = {"job": listed.task.job_id, "task": listed.task.index, "run": listed.run}
    fields |= {"server": server.report.id, "reason": "not_wanted"}
    stop = make_stop(state, server, listed.task, listed.task.index, listed.run)
    return [LogEvent("run_stopped", fields), stop]


def adopt_run(
    state: DispatcherState,
    server: Server,
    record: JobRecord,
    listed: ListedRun,
    sent_at: Seconds,
    now: Seconds,
) -> list[Effect]:
    """Adopt a run that an earlier leader started."""
    number = get_task_number(record.job, listed.task)
    key = (record.job.id, number)
    step = record.job.steps[listed.task.step]
    run = Run(*key, listed.task, listed.run, step.needs, now, RunPhase.RUNNING)
    run.adopted = run.began = True
    run.order_answered_at = sent_at
    if UnansweredStart(*key, server.report.id) in state.earlier_starts:
        run.start_unanswered_at = state.predecessor_until
        run.start_repeated = True
    server.unexpected_runs.pop(listed, None)
    add_run(state, server, run)
    if state.losses.get_of_task(*key):
        # The earlier leader may have started others beside it, so that a crash does
        # not count as one under this run alone.
        run.group_size = ADOPTED_GROUP_SIZE
        isolate(state, server)
    state.run_number_by_task[key] = max(
        state.run_number_by_task.get(key, 0), listed.run
    )
    update_tasks(state, key[0], (number,))
    fields = {"job": key[0], "task": number, "run": listed.run}
    return [LogEvent("run_adopted", {**fields, "server": server.report.id})]


def _is_wanted(
    state: DispatcherState,
    record: JobRecord,
    server: Server,
    key: tuple[JobId, int],
    run: int,
) -> bool:
    """Return whether a listed run that is not known here may go on."""
    return (
        record.phase is JobPhase.ACTIVE
        and key[1] not in record.done
        and key not in state.server_by_task
        and not _is_done_without_commit(state, key)
        and run >= state.run_number_by_task.get(key, 0)
    )


def _is_done_without_commit(state: DispatcherState, key: tuple[JobId, int]) -> bool:
    return any(not end.failed for end in state.uncommitted_ends_by_task.get(key, ()))


def _forget_unlisted_unexpected_runs(server: Server, message: RunsRead) -> None:
    listed = set(message.running)
    server.unexpected_runs = {
        run: since for run, since in server.unexpected_runs.items() if run in listed
    }


def _can_no_longer_begin(run: Run) -> bool:
    """Return whether a run that is not listed has not begun, and never will.

    A copy of its start without an answer may still begin it at the next process of the
    backend server.
    """
    is_unanswered = run.start_unanswered_at is not None
    may_have_begun = run.began or run.adopted or is_unanswered
    return run.stop_answered and not may_have_begun


def _free_unlisted_runs(
    state: DispatcherState, server: Server, message: RunsRead, now: Seconds
) -> list[Effect]:
    """Free the runs that should be listed but are not.

    The list was requested with the fencing token of the process that made it, and holds
    all ends that are not acknowledged.
    """
    listed = {(run.task, run.run) for run in message.running}
    effects: list[Effect] = []
    for run in list(server.runs_by_task.values()):
        if run.phase is RunPhase.ENDED or not _must_be_listed(server, run, message):
            continue
        if (run.ref, run.number) in listed or run.ref in message.unreadable:
            continue
        remember_freed_run(state, server, run, REASON_NOT_LISTED, now)
        if _can_no_longer_begin(run):
            discard_possible_run(state, run)
        effects += free_run(state, server, run, REASON_NOT_LISTED)
    return effects


def _must_be_listed(server: Server, run: Run, message: RunsRead) -> bool:
    """Return whether a run that is not in the list is certainly over.

    Answers may overtake each other, so only a run whose last order was answered before
    the list was requested must be in it. What was ordered from an earlier process
    either had begun when the list was made, or is refused.
    """
    if run.server_born != server.report.born:
        return True
    answered_at = run.order_answered_at
    return answered_at is not None and answered_at < message.sent_at
