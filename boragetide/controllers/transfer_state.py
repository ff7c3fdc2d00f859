"""State of a group's leader about jobs that change groups."""

from __future__ import annotations

from dataclasses import dataclass, field

from sortedcontainers import SortedDict

from boragetide.durable import Fit, Need, Offer
from boragetide.messages import SubmitDurableJob
from boragetide.policy.transfers import StrandedJob
from boragetide.types import Address, GroupId, JobId, Seconds


@dataclass(slots=True)
class RoomQuestion:
    """A question to the other groups for what they have.

    Parameters
    ----------
    offers_by_group
        Answers, by group and need.
    """

    number: int
    sent_at: Seconds
    needs: tuple[Need, ...]
    offers_by_group: dict[GroupId, dict[Need, Offer]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class KnownFit:
    """The best fit for a need that the other groups have, and when it was asked."""

    fit: Fit
    known_at: Seconds


@dataclass(frozen=True, slots=True)
class HeldSubmission:
    """A submission that waits for the offers of other groups."""

    message: SubmitDurableJob
    held_at: Seconds


@dataclass(frozen=True, slots=True)
class PendingAdoption:
    """Jobs of another group that a pending command stores here.

    Parameters
    ----------
    reply_address
        Address of the leader that delivered the jobs.
    until
        Sequence number of the last one.
    """

    reply_address: Address
    group: GroupId
    until: int


@dataclass(slots=True)
class TransferState:
    """State that only a leader has; it is empty after each change of the leadership.

    Parameters
    ----------
    stranded_by_id
        Waiting jobs of which no task can start in this group.
    unexamined
        Waiting jobs that the current pass over the queue has not reached.
    question, question_count
        Question that awaits answers, and number of questions so far.
    next_question_at, next_review_at, next_note_review_at, next_report_at
        Earliest times of the next question, of the next reviews of waiting jobs and of
        notes, and of the next report that no other group has room.
    known_fit_by_need
        What the other groups have answered lately.
    held_by_job
        Submissions that wait for these answers.
    command_by_job
        Commands that transfer jobs, until they are committed. Nothing of such a job is
        started.
    outbox_by_group
        Transferred jobs that are to be delivered, by sequence number.
    next_delivery_by_group
        Earliest time of the next delivery.
    confirmed_by_group
        Newest sequence number whose confirmation was appended to the log.
    adoption_by_command
        Adoptions that are not committed yet.
    note_used_at_by_job
        Time at which a caller was last directed to the group that a note names.
    highest_number
        Highest number of a transfer in this term that a caller has named; see
        `policy.transfer_numbers`.
    drop_command_by_job
        Commands that remove notes, until they are committed. Neither group may serve
        such a job.
    """

    stranded_by_id: dict[JobId, StrandedJob] = field(default_factory=dict)
    unexamined: list[JobId] = field(default_factory=list)
    question: RoomQuestion | None = None
    question_count: int = 0
    next_question_at: Seconds = 0.0
    next_review_at: Seconds = 0.0
    next_note_review_at: Seconds = 0.0
    next_report_at: Seconds = 0.0
    known_fit_by_need: dict[Need, KnownFit] = field(default_factory=dict)
    held_by_job: dict[JobId, list[HeldSubmission]] = field(default_factory=dict)
    command_by_job: dict[JobId, str] = field(default_factory=dict)
    outbox_by_group: dict[GroupId, SortedDict] = field(default_factory=dict)
    next_delivery_by_group: dict[GroupId, Seconds] = field(default_factory=dict)
    confirmed_by_group: dict[GroupId, int] = field(default_factory=dict)
    adoption_by_command: dict[str, PendingAdoption] = field(default_factory=dict)
    note_used_at_by_job: dict[JobId, Seconds] = field(default_factory=dict)
    highest_number: int = 0
    drop_command_by_job: dict[JobId, str] = field(default_factory=dict)
