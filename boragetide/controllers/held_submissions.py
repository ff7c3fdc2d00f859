"""Submissions that wait until it is known whether another group can run them.

A job that is too large for all backend servers of its group is refused only if no other
group has one that is large enough.
"""

from __future__ import annotations

from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.controllers.refusals import (
    REASON_ROOM_UNKNOWN,
    RETRY_AFTER,
    refuse_job,
    refuse_misfit,
)
from boragetide.controllers.stranded_jobs import RoomTable, list_needs
from boragetide.controllers.transfer_state import HeldSubmission
from boragetide.durable import DurableJob, Fit, Need
from boragetide.effects import Effect, Send
from boragetide.messages import SubmitDurableJob
from boragetide.types import Address, ReplyTo, Seconds

# The answers of other groups hold for this long.
ANSWER_LIFETIME: Seconds = 1.0
# A group without a leader does not answer. Its next leader may take longer than this.
HOLD_TIMEOUT: Seconds = 0.5


def fits_elsewhere(
    state: DispatcherState, job: DurableJob, rooms: RoomTable, now: Seconds
) -> bool | None:
    """Return whether the groups together can run all steps of a job.

    Parameters
    ----------
    rooms
        What the backend servers of this group have.

    Returns
    -------
    bool or None
        ``None`` if the other groups have not answered lately.
    """
    if state.settings.group_count == 1:
        return False
    for need in list_needs(state, job):
        if rooms.find_offer(need).fit > Fit.NONE:
            continue
        known = state.transfers.known_fit_by_need.get(need)
        if known is None or now - known.known_at > ANSWER_LIFETIME:
            return None
        if known.fit is Fit.NONE:
            return False
    return True


def forget_old_answers(state: DispatcherState, now: Seconds) -> None:
    """Forget the answers of other groups that do not hold any more."""
    known = state.transfers.known_fit_by_need
    for need in [
        need for need, fit in known.items() if now - fit.known_at > ANSWER_LIFETIME
    ]:
        del known[need]


def hold_submission(
    message: SubmitDurableJob, state: DispatcherState, now: Seconds
) -> None:
    """Let a submission wait for the answers of the other groups."""
    held = state.transfers.held_by_job.setdefault(message.job.id, [])
    held.append(HeldSubmission(message, now))


def list_held_needs(state: DispatcherState) -> list[Need]:
    """Return the needs of the jobs that wait for answers."""
    return [
        need
        for held in state.transfers.held_by_job.values()
        for need in list_needs(state, held[0].message.job)
    ]


def list_held_requests(state: DispatcherState) -> list[ReplyTo | None]:
    """Return the requests that wait for answers of other groups."""
    return [
        each.message.reply_to
        for held in state.transfers.held_by_job.values()
        for each in held
    ]


def settle_held(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Submit the held jobs that fit elsewhere, and refuse those that fit nowhere.

    A job is also refused if the other groups do not answer. Nothing of it has run.
    """
    if not state.transfers.held_by_job:
        return []
    rooms = RoomTable(state, now)
    effects: list[Effect] = []
    for job_id, held in list(state.transfers.held_by_job.items()):
        job = held[0].message.job
        verdict = fits_elsewhere(state, job, rooms, now)
        if verdict is None and now - held[0].held_at < HOLD_TIMEOUT:
            continue
        del state.transfers.held_by_job[job_id]
        if verdict:
            to = Address(state.settings.id, "dispatcher")
            effects += [Send(to, each.message) for each in held]
            continue
        waiters = [each.message.reply_to for each in held]
        if verdict is None:
            effects += refuse_job(
                state, job, waiters, REASON_ROOM_UNKNOWN, now, retry_after=RETRY_AFTER
            )
        else:
            effects += refuse_misfit(state, job, waiters, now)
    return effects
