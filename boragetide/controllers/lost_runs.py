"""Runs that were lost with their backend servers, and what became of these servers.

A later process with the same id or at the same address shows that a backend server has
crashed. An answer of the same process shows that it was only cut off or paused.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import replace

from boragetide.commands import RecordLosses
from boragetide.controllers.dispatch_state import DispatcherState, has_authority
from boragetide.controllers.job_records import append_command, apply_record
from boragetide.controllers.queue_updates import update_queue
from boragetide.controllers.run_state import LostRun
from boragetide.durable import (
    JobPhase,
    JobRecord,
    LossFate,
    RunLoss,
    ServerProcess,
    ServerReport,
)
from boragetide.effects import Count, Effect, LogEvent
from boragetide.policy import job_table
from boragetide.policy.crash_suspicion import (
    count_certain_crashes,
    count_crashes,
    is_guilty,
    merge_losses,
)
from boragetide.types import BackendServerId, JobId, Seconds

# Losses of a best-effort job are remembered this long, because its caller may submit it
# again.
LOSS_RETENTION: Seconds = 60.0
# Most lost runs that the log line of one crash names.
MAX_LOGGED_RUNS = 20


def assess_lost_runs(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Put the tasks of newly lost runs under suspicion."""
    lost_runs, state.lost_runs = state.lost_runs, []
    losses = [
        _make_loss(lost, now)
        for lost in lost_runs
        if _is_unfinished(state, lost.run.job_id, lost.run.task)
    ]
    if not losses:
        return []
    losses = _settle_known_fates(state, losses)
    lost_by_process = Counter(loss.process for loss in losses)
    logs = [
        _describe(
            "task_suspected", state, loss, lost_together=lost_by_process[loss.process]
        )
        for loss in losses
    ]
    crashed = [loss for loss in losses if loss.fate is LossFate.CRASHED]
    return [
        *logs,
        Count("runs_lost", value=len(losses)),
        *_describe_crashes(crashed),
        *_store_losses(state, losses, now),
    ]


def _make_loss(lost: LostRun, now: Seconds) -> RunLoss:
    run = lost.run
    return RunLoss(
        job_id=run.job_id,
        task=run.task,
        server=lost.server,
        address=lost.address,
        born=run.seen_born,
        lost_at=now,
        alone=run.alone,
        began=run.began,
    )


def _settle_known_fates(state: DispatcherState, losses: list[RunLoss]) -> list[RunLoss]:
    """Return the losses, with a crash where the next process is known already."""
    loss_by_process = {loss.process: loss for loss in losses}
    crashed = {
        process
        for process, loss in loss_by_process.items()
        if any(
            _is_later_life(server.report, loss, has_answered=True)
            for server in state.servers_by_id.values()
        )
    }
    return [
        replace(loss, fate=LossFate.CRASHED) if loss.process in crashed else loss
        for loss in losses
    ]


def _is_unfinished(state: DispatcherState, job_id: JobId, task: int) -> bool:
    record = state.records_by_id.get(job_id)
    if record is None or record.phase is not JobPhase.ACTIVE:
        return False
    return task not in record.done


def _is_later_life(
    report: ServerReport, loss: RunLoss, *, has_answered: bool = False
) -> bool:
    """Return whether a process has taken the place of the one that ran a lost run.

    Parameters
    ----------
    has_answered
        Whether the process is the one that answers at present. The time of day may have
        been set back before it started.
    """
    if has_answered and report.id == loss.server:
        return report.born != loss.born
    if report.born <= loss.born:
        return False
    return report.id == loss.server or report.address == loss.address


def settle_crashes(
    state: DispatcherState,
    report: ServerReport,
    now: Seconds,
    *,
    has_answered: bool = False,
) -> list[Effect]:
    """Count a crash for all tasks that ran on the predecessor of a process.

    Parameters
    ----------
    has_answered
        Whether the process has just listed its runs.
    """
    later = [
        process
        for process, lost in state.losses.iterate_open()
        if _is_later_life(
            report, next(iter(lost.open_losses.values())), has_answered=has_answered
        )
    ]
    crashed = [
        replace(loss, fate=LossFate.CRASHED) for loss in state.losses.list_open(later)
    ]
    if not crashed:
        return []
    return [*_describe_crashes(crashed), *_store_losses(state, crashed, now)]


def settle_survival(
    state: DispatcherState, server_id: BackendServerId, born: int, now: Seconds
) -> list[Effect]:
    """Clear the tasks whose runs were lost with a process that has not crashed."""
    process = ServerProcess(server_id, born)
    if process not in state.losses.by_process:
        return []
    survived = [
        replace(loss, fate=LossFate.SURVIVED)
        for loss in state.losses.list_open([process])
    ]
    logs = [_describe("task_cleared", state, loss) for loss in survived]
    return [*logs, *_store_losses(state, survived, now)]


def settle_announced(
    state: DispatcherState, report: ServerReport, now: Seconds
) -> list[Effect]:
    """Settle the losses whose fate an announcement shows."""
    if not (state.losses.by_process and has_authority(state, now)):
        return []
    if report.draining:
        return settle_survival(state, report.id, report.born, now)
    return settle_crashes(state, report, now)


def load_losses(
    state: DispatcherState, records: Iterable[JobRecord], now: Seconds
) -> list[Effect]:
    """Load the stored losses and settle those whose fate has been announced."""
    state.losses.clear()
    for record in records:
        adopt_losses(state, record)
    effects: list[Effect] = []
    for server in state.servers_by_id.values():
        effects += settle_crashes(state, server.report, now)
    return effects


def adopt_losses(state: DispatcherState, record: JobRecord) -> None:
    """Remember the stored losses of a job that this leader has not known."""
    if record.losses and record.phase is JobPhase.ACTIVE:
        state.losses.put(record.job.id, record.losses)


def apply_known_losses(
    state: DispatcherState, job_id: JobId, now: Seconds
) -> list[Effect]:
    """Apply the known losses of a best-effort job that was submitted again."""
    losses = state.losses.get(job_id)
    if not job_table.record_losses(state.records_by_id, losses, now):
        return []
    return apply_record(state, state.records_by_id[job_id], now)


def remove_old_losses(state: DispatcherState, now: Seconds) -> None:
    """Forget the losses of jobs that ended long ago, and of silent servers."""
    for job_id, of_job in list(state.losses.by_job.items()):
        is_old = now - of_job.losses[-1].lost_at > LOSS_RETENTION
        if is_old and job_id not in state.active:
            state.losses.remove(job_id)


def _store_losses(
    state: DispatcherState, losses: list[RunLoss], now: Seconds
) -> list[Effect]:
    """Remember losses, and commit those of jobs that outlive the leader."""
    by_job: dict[JobId, list[RunLoss]] = defaultdict(list)
    for loss in losses:
        by_job[loss.job_id].append(loss)
    effects: list[Effect] = []
    to_commit: list[RunLoss] = []
    for job_id, of_job in by_job.items():
        state.losses.put(job_id, merge_losses(state.losses.get(job_id), of_job))
        update_queue(state, job_id)
        record = state.records_by_id.get(job_id)
        if record is None or record.phase is not JobPhase.ACTIVE:
            continue
        effects += _describe_guilt(state, record, of_job)
        if not record.job.best_effort:
            to_commit += of_job
        elif job_table.record_losses(state.records_by_id, tuple(of_job), now):
            effects += apply_record(state, state.records_by_id[job_id], now)
    if to_commit:
        effects.append(append_command(state, RecordLosses(tuple(to_commit))))
    return effects


def describe_cleared(state: DispatcherState, job_id: JobId, task: int) -> list[Effect]:
    """Describe that a suspect was done; return no effects if it is no suspect."""
    of_task = state.losses.get_of_task(job_id, task)
    return [_describe("task_cleared", state, loss) for loss in of_task[-1:]]


def _describe(
    event: str, state: DispatcherState, loss: RunLoss, **details: int
) -> LogEvent:
    losses = state.losses.get_of_task(loss.job_id, loss.task)
    fields = {
        "job": loss.job_id,
        "task": loss.task,
        "server": loss.server,
        "born": loss.born,
        "alone": loss.alone,
        "began": loss.began,
        "fate": loss.fate.value,
        "crashes": count_crashes(losses, loss.task),
        "certain_crashes": count_certain_crashes(losses, loss.task),
        **details,
    }
    return LogEvent(event, fields)


def _describe_crashes(crashed: list[RunLoss]) -> list[Effect]:
    tasks_by_process: dict[ServerProcess, list[str]] = defaultdict(list)
    for loss in crashed:
        tasks_by_process[loss.process].append(f"{loss.job_id}/{loss.task}")
    return [
        each
        for process, tasks in tasks_by_process.items()
        for each in (
            LogEvent(
                "server_crashed",
                {
                    "server": process.server,
                    "born": process.born,
                    "lost": len(tasks),
                    "runs_lost": ",".join(tasks[:MAX_LOGGED_RUNS]),
                },
            ),
            Count("server_crashes"),
        )
    ]


def _describe_guilt(
    state: DispatcherState, record: JobRecord, changed: list[RunLoss]
) -> list[Effect]:
    """Describe the tasks of a job that are given up for their new losses."""
    job_id = record.job.id
    effects: list[Effect] = []
    for task in sorted({loss.task for loss in changed} - record.done):
        of_task = state.losses.get_of_task(job_id, task)
        if is_guilty(of_task, task):
            effects.append(_describe("task_given_up", state, of_task[-1]))
            effects.append(Count("tasks_given_up"))
    return effects
