"""Orders to backend servers: their results, and when a run is certainly over."""

from __future__ import annotations

from boragetide.controllers.call_counts import Call, Reaction
from boragetide.controllers.dispatch_state import (
    DispatcherState,
    get_fence,
    has_authority,
    update_server_index,
    vacate_task,
)
from boragetide.controllers.freed_runs import remember_freed_run
from boragetide.controllers.order_answers import (
    record_order_response,
    record_start_answer,
    shows_begin,
)
from boragetide.controllers.placing_runs import MAX_START_COPIES, make_start
from boragetide.controllers.possible_runs import discard_possible_run
from boragetide.controllers.queue_updates import update_tasks
from boragetide.controllers.run_state import LostRun, Run, RunPhase
from boragetide.controllers.server_health import MIN_SPEED
from boragetide.controllers.server_state import (
    LATE_RUN_WAIT,
    LEASE_DURATION,
    MAX_LEASE_DURATION,
    MAX_ORDER_DELAY,
    MIN_CLOCK_RATE,
    Server,
)
from boragetide.controllers.unanswered_calls import count_unanswered, find_reaction
from boragetide.controllers.zone_service import is_open
from boragetide.durable import TaskRef
from boragetide.effects import Effect, LogEvent, StopRun
from boragetide.messages import OrderResult, RunOrdered
from boragetide.policy.call_timeouts import has_timed_out
from boragetide.types import BackendServerId, Seconds

STOP_RETRY_DELAY: Seconds = 0.05
# Time of the next stop of a run whose first one waits for others to be answered.
STOP_POSTPONED: Seconds = 0.0
REASON_LISTED = "listed"  # reason of a run that is over because its end was listed
REASON_LEASE_LAPSED = "lease_lapsed"
REASON_NOT_LISTED = "not_listed"
# A backend server that refuses a run because it is unhealthy or has no free resources
# gets no new runs for this long.
REFUSAL_COOLDOWN: Seconds = 1.0
# A task whose declared time is 40% too short takes 1.7 times as long as expected on a
# backend server whose learned speed is right.
OVERDUE_FACTOR = 3.0
OVERDUE_MARGIN: Seconds = 0.3
# Time from the end of a lease until it has expired at a process that carries the order
# out late, by the clock of an earlier one.
LATE_ORDER_WAIT: Seconds = (
    MAX_ORDER_DELAY + (MAX_LEASE_DURATION - LEASE_DURATION) / MIN_CLOCK_RATE
)
# A backend server with an overdue run gets no new runs for this long.
OVERDUE_COOLDOWN: Seconds = 2.0


def apply_order_result(
    state: DispatcherState, message: RunOrdered, now: Seconds
) -> list[Effect]:
    """Apply the result of a start or stop order."""
    server = state.servers_by_id.get(message.server)
    if server is None or message.term != state.term:
        return []
    is_current = server.is_target(message.target_born)
    if message.result is OrderResult.FENCED and is_current:
        return [lose_authority(state, server.report.id)]
    run = server.runs_by_task.get((message.job_id, message.task))
    if run is None or run.number != message.run:
        return []
    answered_at = now
    if message.clock is not None and is_current:
        answered_at = server.record_answer(message.clock, message.sent_at, now)
    if is_current:
        record_order_response(server, message, answered_at, now)
    if message.result is OrderResult.OTHER_LIFE and is_current:
        server.departed = True
    is_unanswered = message.result is OrderResult.UNANSWERED
    if message.started:
        record_start_answer(run, message)
        run.began |= shows_begin(run, message.result)
        effects = _apply_start_result(state, server, run, message, answered_at, now)
        call, reaction = Call.START, find_reaction(effects)
    else:
        effects = _apply_stop_result(run, message.result, now)
        is_repeated = run.next_stop_at is not None
        call, reaction = Call.STOP, Reaction.DELAYED if is_repeated else Reaction.NONE
    if is_unanswered:
        effects.append(count_unanswered(state, message.server, call, reaction))
    return effects


def _was_ordered_in_this_life(server: Server, run: Run) -> bool:
    """Return whether the backend server is still the process that got the order."""
    return run.server_born == server.report.born


def _apply_start_result(
    state: DispatcherState,
    server: Server,
    run: Run,
    message: RunOrdered,
    answered_at: Seconds,
    now: Seconds,
) -> list[Effect]:
    result = message.result
    if result is OrderResult.DONE:
        if run.phase is RunPhase.ORDERED:
            run.phase, run.started_at = RunPhase.RUNNING, answered_at
        run.order_answered_at = now
        return []
    fields = {"job": run.job_id, "task": run.task, "run": run.number}
    fields |= {"server": server.report.id, "result": result.value}
    log = LogEvent("run_refused", fields)
    if run.phase is RunPhase.RUNNING:
        # The run has been listed, so it was started although the answer was lost.
        run.order_answered_at = now
        return [log]
    if run.phase is not RunPhase.ORDERED:
        return [log]
    if result in (OrderResult.UNHEALTHY, OrderResult.NO_ROOM):
        server.cooldown_until = now + REFUSAL_COOLDOWN
    if result is OrderResult.UNANSWERED and _take_start_repetition(
        state, server, run, message.sent_at, now
    ):
        return [log, *_repeat_start(state, server, run, now)]
    if result is OrderResult.OLD_RUN and run.start_repeated:
        # The first order was carried out: either the end of the run is listed next, or
        # the run was stopped.
        run.order_answered_at = now
        return [log]
    if result is OrderResult.UNANSWERED or run.start_repeated:
        return [log, *stop_run(state, server, run, result.value, now)]
    remember_freed_run(state, server, run, result.value, now)
    discard_possible_run(state, run)
    return [log, *free_run(state, server, run, result.value)]


def _take_start_repetition(
    state: DispatcherState, server: Server, run: Run, sent_at: Seconds, now: Seconds
) -> bool:
    """Return whether a start without an answer is ordered again, and count this.

    A repeated start may be the first to arrive, so the zone must be open. The second
    repetition is for calls that are lost on the way: not for those that fail at once,
    nor at a server that answers nothing else.

    Parameters
    ----------
    sent_at
        Time at which the unanswered copy was sent.
    """
    if run.start_copies >= MAX_START_COPIES or not is_open(state, server, now):
        return False
    if not _was_ordered_in_this_life(server, run):
        return False
    if run.start_repeated:
        is_lost = server.silent or server.departed
        if is_lost or not has_timed_out(sent_at, now):
            return False
    return server.calls.take_repetition()


def _repeat_start(
    state: DispatcherState, server: Server, run: Run, now: Seconds
) -> list[Effect]:
    """Repeat a start with the same run number, so that the task runs only once.

    If that is not possible, `repeat_stops` stops the run.
    """
    record = state.records_by_id.get(run.job_id)
    if record is None or not has_authority(state, now):
        run.phase = RunPhase.STOPPING
        run.next_stop_at = now
        return []
    run.start_repeated = True
    return [make_start(state, server, record.job, run, now)]


def _apply_stop_result(run: Run, result: OrderResult, now: Seconds) -> list[Effect]:
    if result in (OrderResult.DONE, OrderResult.OLD_RUN):
        # The run stays in the list until its end is listed. If its start has not
        # arrived yet, the run will never begin.
        run.order_answered_at = now
        run.stop_answered = True
        run.next_stop_at = None
    elif not run.stop_answered:
        run.next_stop_at = now + STOP_RETRY_DELAY
    return []


def stop_run(
    state: DispatcherState, server: Server, run: Run, reason: str, now: Seconds
) -> list[Effect]:
    """Order the stop of a run; it occupies its task until it is certainly over.

    While many stops are in progress, `repeat_stops` orders it later.
    """
    if run.phase is RunPhase.ENDED:
        return []
    run.phase = RunPhase.STOPPING
    run.order_answered_at = None
    run.stop_answered = False
    if state.stop_window.is_full:
        run.next_stop_at = STOP_POSTPONED
        return []
    run.next_stop_at = None
    state.stop_window.add((server.report.id, *run.key, run.number), now)
    fields = {"job": run.job_id, "task": run.task, "run": run.number}
    fields |= {"server": server.report.id, "reason": reason}
    return [
        LogEvent("run_stopped", fields),
        make_stop(state, server, run.ref, run.task, run.number),
    ]


def repeat_stops(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Order the stops that were postponed, or that may not have arrived.

    Only backend servers that answer are called.

    Without an answer to the stop, the run may still begin. On a backend server that
    answers nothing at all, the expiry of the lease ends the run.
    """
    effects: list[Effect] = []
    for server in state.servers_by_id.values():
        if server.silent or server.departed:
            continue
        for run in list(server.runs_by_task.values()):
            if state.stop_window.is_full:
                return effects
            if run.phase is not RunPhase.STOPPING or run.next_stop_at is None:
                continue
            if now >= run.next_stop_at:
                is_first = run.next_stop_at == STOP_POSTPONED
                reason = "stop_postponed" if is_first else "stop_unanswered"
                effects += stop_run(state, server, run, reason, now)
    return effects


def make_stop(
    state: DispatcherState, server: Server, task: TaskRef, number: int, run: int
) -> StopRun:
    """Return the order that stops a run of a task."""
    report = server.report
    return StopRun(
        server=report.id,
        address=report.address,
        task=task,
        number=number,
        run=run,
        fence=get_fence(state, server),
        target_born=report.born,
        timeout=server.calls.find_timeout(),
    )


def stop_overdue(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Stop runs that appear to make no progress, so that their tasks start elsewhere.

    A task is stopped for this reason only once, because its declared time may be wrong.
    """
    effects: list[Effect] = []
    for server in state.servers_by_id.values():
        overdue = [
            run
            for run in server.runs_by_task.values()
            if run.key not in state.overdue_stopped_tasks and _is_overdue(server, run)
        ]
        if overdue:
            server.cooldown_until = now + OVERDUE_COOLDOWN
            server.speed = max(MIN_SPEED, server.speed / 2)
            server.speed_updated_at = now
            update_server_index(state, server)
        for run in overdue:
            state.overdue_stopped_tasks.add(run.key)
            effects += stop_run(state, server, run, "overdue", now)
    return effects


def _is_overdue(server: Server, run: Run) -> bool:
    if run.phase is not RunPhase.RUNNING or run.started_at is None:
        return False
    if server.last_run_done_at > run.started_at:
        return False
    expected = run.estimate / server.speed
    # The run is known to have been running only up to the last list.
    observed = server.runs_listed_at - run.started_at
    return observed > OVERDUE_FACTOR * expected + OVERDUE_MARGIN


def free_expired_runs(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Free the runs of silent or departed backend servers whose leases have expired."""
    effects: list[Effect] = []
    for server in state.servers_by_id.values():
        is_lost = server.silent or server.departed
        if not is_lost or not server.have_leases_expired(now):
            continue
        for run in list(server.runs_by_task.values()):
            if run.phase is RunPhase.ENDED or not _has_lapsed(state, server, run, now):
                continue
            remember_freed_run(
                state, server, run, REASON_LEASE_LAPSED, now, may_have_ended=True
            )
            effects += free_run(state, server, run, REASON_LEASE_LAPSED)
    return effects


def _has_lapsed(state: DispatcherState, server: Server, run: Run, now: Seconds) -> bool:
    """Return whether a run is certainly over at a server whose leases have expired.

    Any call without an answer may be carried out late. That changes nothing at the
    process that it was meant for, whose clock has passed the end of the lease, but the
    next one may begin the run by it, or hold its lease for longer.
    """
    if server.read_term == state.term and not may_begin_late(server, run):
        return True
    return now >= _find_late_runs_over_at(state, server, run)


def _find_late_runs_over_at(
    state: DispatcherState, server: Server, run: Run
) -> Seconds:
    """Return when a run is over even if each call was carried out as late as it can be.

    The calls of earlier leaders concern only their own runs: a process that begins a
    run of this leader has seen its fencing token.
    """
    over_at = server.leases_expired_at + LATE_ORDER_WAIT
    if run.start_unanswered_at is not None:
        over_at = max(over_at, run.start_unanswered_at + LATE_RUN_WAIT)
    if run.adopted:
        over_at = max(over_at, state.predecessor_until + LATE_RUN_WAIT)
    return over_at


def may_begin_late(server: Server, run: Run) -> bool:
    """Return whether the next process of a server may begin a run."""
    ordered_at = run.start_unanswered_at
    return ordered_at is not None and (
        server.runs_requested_at < ordered_at + MAX_ORDER_DELAY
    )


def free_run(
    state: DispatcherState, server: Server, run: Run, reason: str
) -> list[Effect]:
    """Remove a run that is certainly over, so that its task may start again."""
    server.remove_run(run.key)
    update_server_index(state, server)
    if state.server_by_task.get(run.key) == server.report.id:
        vacate_task(state, run)
    if _was_lost_with_server(server, run, reason):
        report = server.report
        state.lost_runs.append(LostRun(run, report.id, report.address))
    update_tasks(state, run.job_id, (run.task,))
    if reason == REASON_LISTED:
        # The end was already logged when it was listed.
        return []
    fields = {"job": run.job_id, "task": run.task, "run": run.number}
    fields |= {"server": server.report.id, "reason": reason, "term": state.term}
    return [LogEvent("run_over", fields)]


def _was_lost_with_server(server: Server, run: Run, reason: str) -> bool:
    """Return whether a run ended because its backend server did not go on with it."""
    if reason == REASON_LEASE_LAPSED:
        return not server.ends_as_planned
    is_of_earlier_life = run.seen_born != server.report.born
    return (
        reason == REASON_NOT_LISTED
        and is_of_earlier_life
        and not server.follows_planned_end
    )


def lose_authority(state: DispatcherState, server_id: BackendServerId) -> Effect:
    """Send no more orders in this term, because a newer leader sends them."""
    state.authority_until = 0.0
    state.fenced_term = state.term
    return LogEvent("fenced", {"server": server_id, "term": state.term})
