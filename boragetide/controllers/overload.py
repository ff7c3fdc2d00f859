"""Limits the submissions to a leader whose processor is too small for the load."""

from __future__ import annotations

from boragetide.controllers.dispatch_state import DispatcherState, has_authority
from boragetide.controllers.refusals import list_jobs_of_earlier_leaders
from boragetide.effects import Effect, LogEvent, Send, SetGauge
from boragetide.messages import (
    AdmissionChanged,
    RefuseSubmissions,
    RunOrdered,
    SubmissionsRefused,
    SubmitDurableJob,
)
from boragetide.policy.overload import WINDOW, record_order, record_wait, update_share
from boragetide.types import Address, Seconds


def measure_submission(
    message: SubmitDurableJob, state: DispatcherState, now: Seconds
) -> list[Effect]:
    """Measure how long a submission waited before it is handled."""
    waited = message.mailbox_wait(now) + max(message.transit(now) or 0.0, 0.0)
    if not record_wait(state.admission, waited, now):
        return []
    return _announce_share(state)


def measure_order(
    message: RunOrdered, state: DispatcherState, now: Seconds
) -> list[Effect]:
    """Measure in which time the start of a run was answered, or found unanswered."""
    server = state.servers_by_id.get(message.server)
    if server is None or message.term != state.term or not message.started:
        return []
    run = server.runs_by_task.get((message.job_id, message.task))
    if run is None or run.number != message.run or run.start_repeated:
        return []
    if not record_order(state.admission, now - run.ordered_at, now):
        return []
    return _announce_share(state)


def check_admission(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Raise the admitted share again if nothing waits."""
    return _announce_share(state) if update_share(state.admission, now) else []


def refuse_submissions(
    message: RefuseSubmissions, state: DispatcherState, now: Seconds
) -> list[Effect]:
    """Void all submissions of jobs that are not known here, and name the others.

    Before the takeover is complete, any job may have run under an earlier leader.
    """
    known = message.job_ids
    if has_authority(state, now) and state.takeover_complete:
        listed = list_jobs_of_earlier_leaders(state)
        known = tuple(
            job_id
            for job_id in message.job_ids
            if job_id in state.records_by_id
            or job_id in state.command_by_job
            or job_id in listed
        )
        for job_id in set(message.job_ids) - set(known):
            state.fence.void(job_id, now)
    to = Address(message.sender, "directory")
    return [Send(to, SubmissionsRefused(message.number, known))]


def _announce_share(state: DispatcherState) -> list[Effect]:
    admission = state.admission
    fields = {
        "share": admission.share,
        "standing_delay": admission.standing_delay,
        "window": WINDOW,
        "term": state.term,
    }
    to = Address(state.settings.id, "configuration")
    return [
        LogEvent("admission_changed", fields),
        SetGauge("admitted_share", admission.share),
        Send(to, AdmissionChanged(admission.share)),
    ]
