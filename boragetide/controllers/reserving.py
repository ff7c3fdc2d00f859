"""Reservations of backend servers for overtaken jobs, as the leader makes them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.controllers.server_state import RunPhase, Server
from boragetide.durable import DurableJob, Resources, Step
from boragetide.effects import Count, Effect, LogEvent
from boragetide.policy.job_queue import WaitingJob
from boragetide.policy.reservations import (
    MIN_TIMES_OVERTAKEN,
    SEARCH_INTERVAL,
    Reservation,
    ServerOutlook,
    choose_reservation,
)
from boragetide.types import Seconds


def make_outlook(state: DispatcherState, server: Server, now: Seconds) -> ServerOutlook:
    """Return the expected ends of the runs on a backend server.

    No end is expected of runs that an earlier leader ordered, whose begin is not known.
    """
    ends = []
    for run in server.runs_by_task.values():
        record = state.records_by_id.get(run.job_id)
        if run.phase is RunPhase.ENDED or run.adopted or record is None:
            continue
        begin = run.ordered_at if run.started_at is None else run.started_at
        expected = state.run_times.predict(
            record.job.class_name, run.estimate, server.speed, begin
        )
        at = expected.find_end(now)
        if at is not None:
            ends.append((at, run.needs))
    return ServerOutlook(
        server.report.id, server.free_resources, server.speed, tuple(ends)
    )


def may_use(
    state: DispatcherState,
    server: Server,
    job: WaitingJob,
    step: Step,
    now: Seconds,
    planned: Resources | None = None,
) -> bool:
    """Return whether reservations leave a backend server to a task of a job.

    Parameters
    ----------
    planned
        Resources that earlier tasks of the job would use there, if any.
    """
    reservation = state.reservations.by_server.get(server.report.id)
    if reservation is None or reservation.job_id == job.job.id:
        return True
    expected = state.run_times.predict(
        job.job.class_name, step.estimate, server.speed, now
    )
    starts_by = None if job.find_slack(now) is None else job.latest_start
    outlook = make_outlook(state, server, now)
    if planned is not None:
        outlook = replace(outlook, free=outlook.free.minus(planned))
    return reservation.admits(step, starts_by, expected.at, outlook)


def review_reservations(
    state: DispatcherState, is_usable: Callable[[Server], bool], now: Seconds
) -> list[Effect]:
    """Give up the reservations that cannot be kept, or that their job does not need."""
    effects: list[Effect] = []
    for reservation in list(state.reservations.by_server.values()):
        reason = _find_fault(state, reservation, is_usable, now)
        if reason is not None:
            state.reservations.give_up(reservation, now)
            effects += _report(reservation, "given_up", now, reason=reason)
    return effects


def _find_fault(
    state: DispatcherState,
    reservation: Reservation,
    is_usable: Callable[[Server], bool],
    now: Seconds,
) -> str | None:
    if reservation.job_id not in state.queue.waiting_by_id:
        return "not_waiting"
    server = state.servers_by_id.get(reservation.server)
    if server is None or server.isolated or not is_usable(server):
        return "server_out_of_service"
    if not reservation.needs.fits_in(server.report.capacity):
        return "server_shrank"
    return reservation.find_fault(now)


def may_reserve(state: DispatcherState, waiting: WaitingJob, now: Seconds) -> bool:
    """Return whether an overtaken job may have a reservation.

    Tasks of several steps and those with a limit for each backend server get none: they
    do not need the same room everywhere.
    """
    if waiting.times_overtaken < MIN_TIMES_OVERTAKEN:
        return False
    steps = waiting.steps.steps
    if len(steps) != 1 or steps[0].max_per_server:
        return False
    if waiting.find_slack(now) is None:
        return False
    return state.reservations.may_reserve(waiting.job.id, now)


def reserve(
    state: DispatcherState,
    waiting: WaitingJob,
    usable: Iterable[Server],
    now: Seconds,
) -> list[Effect]:
    """Reserve room for a job that may have a reservation, if some will be free soon.

    None is reserved on a server whose zone has just returned: its runs are limited for
    a while, so that the job may not start there although the room is free.

    Parameters
    ----------
    usable
        Backend servers of the job's pool that may get new runs.
    """
    reservations = state.reservations
    reservations.next_search_at = now + SEARCH_INTERVAL
    slack = waiting.find_slack(now)
    (step,) = waiting.steps.steps
    outlooks = (
        make_outlook(state, server, now)
        for server in usable
        if server.report.id not in reservations.by_server
        and not server.isolated
        and server.trial is None
        and server.kind.could_run(step)
    )
    chosen = choose_reservation(step, slack, outlooks, now)
    if chosen is None:
        return []
    outlook, at = chosen
    reservation = Reservation(
        job_id=waiting.job.id,
        server=outlook.id,
        needs=step.needs,
        latest_start=waiting.latest_start,
        in_time_until=now + slack + step.estimate - step.estimate / outlook.speed,
        expected_at=at,
        made_at=now,
    )
    reservations.by_server[outlook.id] = reservation
    return _report(reservation, "made", now, slack=slack, room_in=at - now)


def settle_reservation(
    state: DispatcherState,
    job: DurableJob,
    server: Server,
    overtaken: int,
    now: Seconds,
) -> tuple[dict[str, Any], list[Effect]]:
    """Remove the reservation that a start on the server uses, which is thereby kept.

    Parameters
    ----------
    overtaken
        Number of more urgent jobs that might fit and are placed later.

    Returns
    -------
    tuple
        Fields for the log line of the start, which tell why the task starts there, and
        the effects of a kept reservation.
    """
    reservation = state.reservations.by_server.get(server.report.id)
    if reservation is None:
        why = "best_fit" if overtaken else "first_fit"
        return {"why": why, "overtaken": overtaken}, []
    if reservation.job_id != job.id:
        return {"why": "beside_reservation", "reserved_for": reservation.job_id}, []
    del state.reservations.by_server[server.report.id]
    late = now - reservation.expected_at
    kept = _report(reservation, "kept", now, late=late)
    return {"why": "reserved", "overtaken": overtaken}, kept


def _report(
    reservation: Reservation, outcome: str, now: Seconds, **details: Any
) -> list[Effect]:
    fields = {
        "job": reservation.job_id,
        "server": reservation.server,
        "millicores": reservation.needs.millicores,
        "age": now - reservation.made_at,
        **details,
    }
    labels = {"outcome": outcome}
    if "reason" in details:
        labels["reason"] = details["reason"]
    return [LogEvent(f"reservation_{outcome}", fields), Count("reservations", labels)]
