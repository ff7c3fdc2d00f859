"""Jobs that this instance owns: their tasks, waiting callers and kept answers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from functools import singledispatch
from typing import Any

from boragetide.effects import Count, Effect, LogEvent, Reply, Send
from boragetide.messages import (
    CancelJob,
    CancelQueued,
    Drain,
    DrainState,
    JobAnswer,
    JobState,
    LookUpJob,
    QueueTasks,
    StopRequested,
    SubmitJob,
    TaskEnded,
    TasksQueued,
    TasksRefused,
    Tick,
    WokeUp,
)
from boragetide.settings import Settings
from boragetide.types import (
    Address,
    Answer,
    JobId,
    ReplyTo,
    Seconds,
    Status,
    Submission,
    TaskOutcome,
    TaskStatus,
)


class JobPhase(StrEnum):
    """Where a job stands at its owner."""

    REFUSED = "refused"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(slots=True)
class Job:
    """A job in the owner's table.

    Parameters
    ----------
    outcomes_by_index
        Outcomes that have arrived, by position of the task.
    """

    submission: Submission
    submitted_at: Seconds
    phase: JobPhase = JobPhase.RUNNING
    waiting: list[ReplyTo] = field(default_factory=list)
    outcomes_by_index: dict[int, TaskOutcome] = field(default_factory=dict)
    answer: Answer | None = None
    ended_at: Seconds | None = None


@dataclass(slots=True)
class JobsState:
    """The job table of one incarnation of this instance."""

    settings: Settings
    incarnation: int
    jobs_by_id: dict[JobId, Job] = field(default_factory=dict)
    stopping: bool = False


@singledispatch
def handle(message: Any, state: JobsState, now: Seconds) -> list[Effect]:
    """Apply one message to the job table."""
    raise TypeError(f"jobs controller cannot handle {message!r}")


@handle.register
def _(message: SubmitJob, state: JobsState, now: Seconds) -> list[Effect]:
    submission = message.submission
    if not _is_owner(message, state, now):
        return [_answer_unknown(message, "the owner of this job has restarted")]
    job = state.jobs_by_id.get(submission.id)
    if job is None:
        job = Job(submission, now)
        state.jobs_by_id[submission.id] = job
    elif job.phase is JobPhase.ENDED:
        return [_answer_again(message, job)]
    elif job.phase is JobPhase.RUNNING:
        job.waiting.append(message.reply_to)
        return []
    job.phase = JobPhase.RUNNING
    job.waiting.append(message.reply_to)
    queue = QueueTasks(
        job_id=submission.id,
        class_name=submission.class_name,
        tasks=submission.tasks,
        idempotent=submission.idempotent,
        team=submission.team,
    )
    return [Send(Address(state.settings.id, "backend_servers"), queue)]


def _is_owner(message: SubmitJob, state: JobsState, now: Seconds) -> bool:
    claim = message.claim
    return (
        claim.owner == state.settings.id
        and claim.owner_incarnation == state.incarnation
        and now - claim.claimed_at < state.settings.timing.resubmission_window
    )


def _answer_unknown(message: SubmitJob, reason: str) -> Effect:
    answer = Answer(message.submission.id, Status.UNKNOWN, error=reason)
    return Reply(message.reply_to, JobAnswer(answer))


def _answer_again(message: SubmitJob, job: Job) -> Effect:
    if job.answer is None:
        return _answer_unknown(message, "the answer is no longer kept")
    return Reply(message.reply_to, JobAnswer(job.answer))


@handle.register
def _(message: TasksQueued, state: JobsState, now: Seconds) -> list[Effect]:
    return []


@handle.register
def _(message: TasksRefused, state: JobsState, now: Seconds) -> list[Effect]:
    job = state.jobs_by_id.get(message.job_id)
    if job is None or job.phase is not JobPhase.RUNNING:
        return []
    job.phase = JobPhase.REFUSED
    answer = Answer(message.job_id, Status.NOT_RUN, error=message.reason)
    waiting, job.waiting = job.waiting, []
    return [
        LogEvent("job_refused", {"job": message.job_id, "reason": message.reason}),
        *(Reply(to, JobAnswer(answer, message.reason)) for to in waiting),
    ]


@handle.register
def _(message: TaskEnded, state: JobsState, now: Seconds) -> list[Effect]:
    job = state.jobs_by_id.get(message.job_id)
    if job is None or job.phase is not JobPhase.RUNNING:
        return [Count("late_outcomes", {})]
    job.outcomes_by_index.setdefault(message.index, message.outcome)
    if message.outcome.status is not TaskStatus.DONE:
        return [*_drop_rest(job, state), *_end(job, _failed_answer(job), now)]
    if len(job.outcomes_by_index) < len(job.submission.tasks):
        return []
    results = tuple(
        job.outcomes_by_index[index].result
        for index in range(len(job.submission.tasks))
    )
    return _end(job, Answer(job.submission.id, Status.COMPLETE, results), now)


def _failed_answer(job: Job) -> Answer:
    index, outcome = next(
        (index, outcome)
        for index, outcome in job.outcomes_by_index.items()
        if outcome.status is not TaskStatus.DONE
    )
    error = f"task {index}: {outcome.status}: {outcome.error}"
    return Answer(job.submission.id, Status.FAILED, error=error)


def _drop_rest(job: Job, state: JobsState) -> list[Effect]:
    message = CancelQueued(job.submission.id)
    return [Send(Address(state.settings.id, "backend_servers"), message)]


def _end(job: Job, answer: Answer, now: Seconds) -> list[Effect]:
    job.phase = JobPhase.ENDED
    job.answer = answer
    job.ended_at = now
    waiting, job.waiting = job.waiting, []
    fields = {
        "job": answer.id,
        "status": answer.status,
        "tasks": len(job.submission.tasks),
        "seconds": now - job.submitted_at,
    }
    return [
        LogEvent("job_ended", fields),
        Count("jobs", {"class": job.submission.class_name, "status": answer.status}),
        *(Reply(to, JobAnswer(answer)) for to in waiting),
    ]


@handle.register
def _(message: LookUpJob, state: JobsState, now: Seconds) -> list[Effect]:
    return [Reply(message.reply_to, _describe(message.id, state))]


def _describe(job_id: JobId, state: JobsState) -> JobState:
    job = state.jobs_by_id.get(job_id)
    if job is None:
        return JobState(job_id, "not_found")
    return JobState(job_id, job.phase, job.answer)


@handle.register
def _(message: CancelJob, state: JobsState, now: Seconds) -> list[Effect]:
    job = state.jobs_by_id.get(message.id)
    effects: list[Effect] = []
    if job is not None and job.phase is JobPhase.RUNNING:
        answer = Answer(message.id, Status.FAILED, error="cancelled")
        effects = [*_drop_rest(job, state), *_end(job, answer, now)]
    return [*effects, Reply(message.reply_to, _describe(message.id, state))]


@handle.register
def _(message: StopRequested, state: JobsState, now: Seconds) -> list[Effect]:
    state.stopping = True
    return []


@handle.register
def _(message: Drain, state: JobsState, now: Seconds) -> list[Effect]:
    running = sum(job.phase is JobPhase.RUNNING for job in state.jobs_by_id.values())
    return [Reply(message.reply_to, DrainState(running))]


@handle.register
def _(message: WokeUp, state: JobsState, now: Seconds) -> list[Effect]:
    """Fence this instance: peers gave up on its jobs while it did not run."""
    effects: list[Effect] = []
    for job in state.jobs_by_id.values():
        if job.phase is JobPhase.RUNNING:
            error = "the owner did not run for a while"
            answer = Answer(job.submission.id, Status.UNKNOWN, error=error)
            effects += [*_drop_rest(job, state), *_end(job, answer, now)]
    return effects


@handle.register
def _(message: Tick, state: JobsState, now: Seconds) -> list[Effect]:
    timing = state.settings.timing
    for job_id, job in list(state.jobs_by_id.items()):
        if job.ended_at is None:
            continue
        if now - job.ended_at > timing.answer_retention:
            job.answer = None
        if now - job.submitted_at > 2 * timing.resubmission_window:
            del state.jobs_by_id[job_id]
    return []
