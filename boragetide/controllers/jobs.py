"""Controller of the jobs that this instance owns: tasks, callers and kept answers."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from functools import singledispatch
from typing import Any

from boragetide.effects import Count, Effect, LogEvent, Reply, Send
from boragetide.messages import (
    EARLIER_REFUSAL,
    OTHER_CONTENT,
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


class OwnedJobPhase(StrEnum):
    """Phase of a job at its owner."""

    REFUSED = "refused"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(slots=True)
class Job:
    """A job in the owner's table.

    Parameters
    ----------
    submission
        The submitted job; ``None`` once the job was refused or has ended.
    digest
        Distinguishes a resubmission from another job with the same id.
    deadline
        Unix time at which the claim becomes too old for further starts.
    keep_until
        Unix time from which the record may be dropped.
    outcomes_by_index
        Outcomes that have arrived, by position of the task.
    refusals
        How often the job has been refused.
    """

    submission: Submission | None
    digest: str
    submitted_at: Seconds
    deadline: Seconds
    keep_until: Seconds
    phase: OwnedJobPhase = OwnedJobPhase.RUNNING
    waiting: list[ReplyTo] = field(default_factory=list)
    outcomes_by_index: dict[int, TaskOutcome] = field(default_factory=dict)
    answer: Answer | None = None
    refusals: int = 0


@dataclass(slots=True)
class JobsState:
    """The job table of one incarnation of this instance.

    Parameters
    ----------
    records
        Heap of (Unix time at which to check the record again, job id).
    kept_answers
        Ended jobs as (Unix time until which the answer is kept, job id), in the order
        of these times.
    kept_results
        Number of results in the kept answers.
    cancelled_at_by_id
        Jobs that were cancelled before their submission arrived, the oldest
        cancellation first.
    """

    settings: Settings
    incarnation: int
    jobs_by_id: dict[JobId, Job] = field(default_factory=dict)
    records: list[tuple[Seconds, JobId]] = field(default_factory=list)
    kept_answers: deque[tuple[Seconds, JobId]] = field(default_factory=deque)
    kept_results: int = 0
    cancelled_at_by_id: dict[JobId, Seconds] = field(default_factory=dict)
    stopping: bool = False


@singledispatch
def handle(message: Any, state: JobsState, now: Seconds) -> list[Effect]:
    """Apply one message to the job table."""
    raise TypeError(f"jobs controller cannot handle {message!r}")


@handle.register
def _(message: SubmitJob, state: JobsState, now: Seconds) -> list[Effect]:
    if not _is_owner(message, state, now):
        return [_answer_unknown(message, "the owner of this job has restarted")]
    job = state.jobs_by_id.get(message.submission.id)
    if job is None:
        return _start_job(message, state, 0, now)
    job.keep_until = now + _retention(state)
    if job.phase is OwnedJobPhase.REFUSED:
        if message.refusals < job.refusals:
            return [_refuse_early_submission(message, job)]
        return _start_job(message, state, job.refusals, now)
    if job.digest != message.submission.digest:
        return [_refuse_other_content(message)]
    if job.phase is OwnedJobPhase.ENDED:
        return [_answer_again(message, job)]
    if message.reply_to not in job.waiting:
        job.waiting.append(message.reply_to)
    return []


def _start_job(
    message: SubmitJob, state: JobsState, refusals: int, now: Seconds
) -> list[Effect]:
    submission = message.submission
    window = state.settings.timing.resubmission_window
    deadline = message.claim.claimed_at + window
    keep_until = now + _retention(state)
    job = Job(submission, submission.digest, now, deadline, keep_until)
    job.refusals = refusals
    job.waiting.append(message.reply_to)
    state.jobs_by_id[submission.id] = job
    heapq.heappush(state.records, (deadline, submission.id))
    if submission.id in state.cancelled_at_by_id:
        return _end_job(job, _make_cancelled_answer(submission.id), state, now)
    queue = QueueTasks(
        job_id=submission.id,
        class_name=submission.class_name,
        tasks=submission.tasks,
        idempotent=submission.idempotent,
        team=submission.team,
    )
    return [Send(Address(state.settings.id, "backend_servers"), queue)]


def _retention(state: JobsState) -> Seconds:
    """Return how long a record is kept after the last submission of its id.

    A claim made just before the end of the window is valid for another window.
    """
    return 2 * state.settings.timing.resubmission_window


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


def _refuse_other_content(message: SubmitJob) -> Effect:
    """Refuse a submission whose id belongs to a job with other payloads.

    The refused payloads did not run, and will not run while the id is held.
    """
    error = (
        "id: another job with other payloads has this id; "
        "the payloads of this request did not run"
    )
    answer = Answer(message.submission.id, Status.NOT_RUN, error=error)
    return Reply(message.reply_to, JobAnswer(answer, OTHER_CONTENT))


def _refuse_early_submission(message: SubmitJob, job: Job) -> Effect:
    """Refuse a submission that may have been sent before the job was refused.

    The caller was told that the job has not run. A submission from before, which may
    arrive late, must not run it. This refusal counts as well, because the caller may
    get it as its answer.
    """
    job.refusals += 1
    error = "the job was refused and has not run"
    answer = Answer(message.submission.id, Status.NOT_RUN, error=error)
    return Reply(message.reply_to, JobAnswer(answer, EARLIER_REFUSAL, job.refusals))


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
    if job is None or job.phase is not OwnedJobPhase.RUNNING:
        return []
    job.phase = OwnedJobPhase.REFUSED
    job.refusals += 1
    job.submission = None
    answer = Answer(message.job_id, Status.NOT_RUN, error=message.reason)
    waiting, job.waiting = job.waiting, []
    return [
        LogEvent("job_refused", {"job": message.job_id, "reason": message.reason}),
        *(Reply(to, JobAnswer(answer, message.reason)) for to in waiting),
    ]


@handle.register
def _(message: TaskEnded, state: JobsState, now: Seconds) -> list[Effect]:
    job = state.jobs_by_id.get(message.job_id)
    if job is None or job.phase is not OwnedJobPhase.RUNNING:
        return [Count("late_outcomes", {})]
    if message.index in job.outcomes_by_index:
        return [Count("duplicate_outcomes", {})]
    if not 0 <= message.index < len(job.submission.tasks):
        return [Count("late_outcomes", {})]
    job.outcomes_by_index[message.index] = message.outcome
    if message.outcome.status is not TaskStatus.DONE:
        return [
            *_cancel_remaining_tasks(job, state),
            *_end_job(job, _failed_answer(job), state, now),
        ]
    if len(job.outcomes_by_index) < len(job.submission.tasks):
        return []
    results = tuple(
        job.outcomes_by_index[index].result
        for index in range(len(job.submission.tasks))
    )
    answer = Answer(job.submission.id, Status.COMPLETE, results)
    return _end_job(job, answer, state, now)


def _failed_answer(job: Job) -> Answer:
    index, outcome = next(
        (index, outcome)
        for index, outcome in job.outcomes_by_index.items()
        if outcome.status is not TaskStatus.DONE
    )
    error = f"task {index}: {outcome.status}: {outcome.error}"
    return Answer(job.submission.id, Status.FAILED, error=error)


def _cancel_remaining_tasks(job: Job, state: JobsState) -> list[Effect]:
    message = CancelQueued(job.submission.id)
    return [Send(Address(state.settings.id, "backend_servers"), message)]


def _end_job(job: Job, answer: Answer, state: JobsState, now: Seconds) -> list[Effect]:
    submission, job.submission = job.submission, None
    waiting, job.waiting = job.waiting, []
    job.phase = OwnedJobPhase.ENDED
    job.outcomes_by_index = {}
    job.answer = answer
    state.kept_results += len(answer.results)
    kept_until = now + state.settings.timing.answer_retention
    state.kept_answers.append((kept_until, answer.id))
    fields = {
        "job": answer.id,
        "status": answer.status,
        "tasks": len(submission.tasks),
        "seconds": now - job.submitted_at,
    }
    return [
        LogEvent("job_ended", fields),
        Count("jobs", {"class": submission.class_name, "status": answer.status}),
        *(Reply(to, JobAnswer(answer)) for to in waiting),
        *_drop_answers(state, now),
    ]


def _drop_answers(state: JobsState, now: Seconds) -> list[Effect]:
    """Drop answers whose retention is over, and the oldest ones beyond the limit."""
    limit = state.settings.limits.kept_results
    dropped_early = 0
    while state.kept_answers:
        kept_until, job_id = state.kept_answers[0]
        if now < kept_until and state.kept_results <= limit:
            break
        state.kept_answers.popleft()
        job = state.jobs_by_id.get(job_id)
        if job is not None and job.answer is not None:
            state.kept_results -= len(job.answer.results)
            job.answer = None
            dropped_early += now < kept_until
    return [Count("answers_dropped_early", {}, dropped_early)] if dropped_early else []


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
    if job is None:
        # Another instance may own the job, so the answer is that it is not known here.
        state.cancelled_at_by_id.setdefault(message.id, now)
    elif job.phase is OwnedJobPhase.RUNNING:
        answer = _make_cancelled_answer(message.id)
        effects = [
            *_cancel_remaining_tasks(job, state),
            *_end_job(job, answer, state, now),
        ]
    return [*effects, Reply(message.reply_to, _describe(message.id, state))]


def _make_cancelled_answer(job_id: JobId) -> Answer:
    return Answer(job_id, Status.FAILED, error="cancelled")


def _drop_cancellations(state: JobsState, now: Seconds) -> None:
    """Drop the cancellations whose submissions are too late to be accepted."""
    for job_id, cancelled_at in list(state.cancelled_at_by_id.items()):
        if now - cancelled_at < _retention(state):
            break
        del state.cancelled_at_by_id[job_id]


@handle.register
def _(message: StopRequested, state: JobsState, now: Seconds) -> list[Effect]:
    state.stopping = True
    return []


@handle.register
def _(message: Drain, state: JobsState, now: Seconds) -> list[Effect]:
    running = sum(
        job.phase is OwnedJobPhase.RUNNING for job in state.jobs_by_id.values()
    )
    return [Reply(message.reply_to, DrainState(running))]


@handle.register
def _(message: WokeUp, state: JobsState, now: Seconds) -> list[Effect]:
    """Fence this instance: peers gave up on its jobs while its process was paused."""
    error = "the process of the owner was paused"
    return _abandon_jobs(list(state.jobs_by_id.values()), error, state, now)


def _abandon_jobs(
    jobs: list[Job], error: str, state: JobsState, now: Seconds
) -> list[Effect]:
    """End running jobs with an unknown outcome; none of their waiting tasks starts."""
    effects: list[Effect] = []
    for job in jobs:
        if job.phase is OwnedJobPhase.RUNNING:
            answer = Answer(job.submission.id, Status.UNKNOWN, error=error)
            effects += [
                *_cancel_remaining_tasks(job, state),
                *_end_job(job, answer, state, now),
            ]
    return effects


@handle.register
def _(message: Tick, state: JobsState, now: Seconds) -> list[Effect]:
    _drop_cancellations(state, now)
    return [*_drop_answers(state, now), *_review_records(state, now)]


def _review_records(state: JobsState, now: Seconds) -> list[Effect]:
    """End jobs that have outlived their claims, and later drop their records.

    Acceptors drop a claim after its deadline, and another instance may then own the id.
    """
    effects: list[Effect] = []
    while state.records and now >= state.records[0][0]:
        _, job_id = heapq.heappop(state.records)
        job = state.jobs_by_id.get(job_id)
        if job is None:
            continue
        if now >= job.deadline:
            effects += _abandon_jobs([job], "the job outlived its claim", state, now)
        if now >= job.keep_until:
            del state.jobs_by_id[job_id]
            continue
        running = job.phase is OwnedJobPhase.RUNNING
        next_check = job.deadline if running else job.keep_until
        heapq.heappush(state.records, (next_check, job_id))
    return effects
