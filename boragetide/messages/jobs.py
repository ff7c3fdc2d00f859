"""Messages of the controller ``jobs``."""

from __future__ import annotations

from dataclasses import dataclass

from boragetide.messages.common import Request
from boragetide.types import Answer, Claim, JobId, Submission, TaskOutcome

OTHER_CONTENT = "other_content"
# The submission may have been sent before the job was refused, and was not run.
EARLIER_REFUSAL = "earlier_refusal"


@dataclass(frozen=True, slots=True)
class SubmitJob(Request):
    """Runs a job under a decided claim; answered with `JobAnswer`.

    If the job is already known, the sender waits for its answer.

    Parameters
    ----------
    refusals
        How many refusals of the job the sender knows of. The message was certainly
        sent after these.
    """

    submission: Submission
    claim: Claim
    refusals: int = 0


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """Final answer of a job.

    Parameters
    ----------
    refused_for
        Why the job was not admitted, if so; `OTHER_CONTENT` if the id belongs to a job
        with other payloads; `EARLIER_REFUSAL` if the sender must submit the job again
        with ``refusals``, provided that its caller still waits.
    refusals
        How often the job has been refused.
    """

    answer: Answer
    refused_for: str | None = None
    refusals: int = 0


@dataclass(frozen=True, slots=True)
class LookUpJob(Request):
    """Asks the owner for a job; answered with `JobState`."""

    id: JobId


@dataclass(frozen=True, slots=True)
class CancelJob(Request):
    """Cancels a job at its owner; answered with `JobState`."""

    id: JobId


@dataclass(frozen=True, slots=True)
class JobState:
    """State of a job at its owner; ``answer`` is set once it has ended."""

    id: JobId
    state: str
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class TasksQueued:
    """The pool queued the tasks of a job."""

    job_id: JobId


@dataclass(frozen=True, slots=True)
class TasksRefused:
    """The pool refused the tasks of a job; none of them started."""

    job_id: JobId
    reason: str


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """A task ended, or will never start."""

    job_id: JobId
    index: int
    outcome: TaskOutcome
