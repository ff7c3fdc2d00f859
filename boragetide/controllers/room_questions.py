"""Questions of a leader for room in other groups, and what it does with the answers.

They are asked for stranded jobs, which then go to a group that fits, and for
submissions of which a task fits no backend server of this group.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from typing import Any

from boragetide.commands import TransferJobs
from boragetide.controllers.dispatch_state import (
    RUNS_PER_TERM,
    DispatcherState,
    has_authority,
)
from boragetide.controllers.group_messages import address_sender, send_to_group
from boragetide.controllers.held_submissions import (
    forget_old_answers,
    list_held_needs,
    settle_held,
)
from boragetide.controllers.job_records import append_command
from boragetide.controllers.stranded_jobs import (
    RoomTable,
    find_stranded,
    is_settled,
    update_stranded,
)
from boragetide.controllers.takeover import is_young
from boragetide.controllers.transfer_state import KnownFit, RoomQuestion
from boragetide.durable import Fit, Need, Offer
from boragetide.effects import Effect, LogEvent, Send, SetGauge
from boragetide.messages import FindRoom, RoomFound
from boragetide.policy.transfer_table import make_note
from boragetide.policy.transfers import (
    StrandedJob,
    assign_groups,
    find_best_fit,
    find_fit,
    have_all_answered,
    may_leave,
)
from boragetide.types import GroupId, JobId, Seconds

REVIEW_INTERVAL: Seconds = 0.25
QUESTION_INTERVAL: Seconds = 0.25
NO_ROOM_INTERVAL: Seconds = 0.5
# Answers take a few milliseconds. A group that has no leader does not answer.
ANSWER_WAIT: Seconds = 0.15
MAX_ASKED_NEEDS = 32
REPORT_INTERVAL: Seconds = 5.0

OffersByGroup = Mapping[GroupId, Mapping[Need, Offer]]


def find_room(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Find stranded jobs, and ask for room for them and for held submissions."""
    effects = settle_held(state, now)
    if now >= state.transfers.next_review_at and _knows_servers(state, now):
        state.transfers.next_review_at = now + REVIEW_INTERVAL
        effects += _review_waiting_jobs(state, now)
    question = state.transfers.question
    if question is not None and now - question.sent_at >= ANSWER_WAIT:
        effects += _use_answers(state, question, now)
    return [*effects, *ask_for_room(state, now)]


def _knows_servers(state: DispatcherState, now: Seconds) -> bool:
    """Return whether this leader knows its backend servers well enough to judge.

    The announcements that an overloaded leader has not handled make its backend servers
    look lost.
    """
    return (
        state.takeover_complete
        and not is_young(state, now)
        and not state.admission.is_overloaded
    )


def _review_waiting_jobs(state: DispatcherState, now: Seconds) -> list[Effect]:
    before = len(state.transfers.stranded_by_id)
    update_stranded(state, now)
    after = len(state.transfers.stranded_by_id)
    return [] if before == after else [SetGauge("stranded_jobs", after)]


def ask_for_room(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Ask the other groups for what stranded jobs and held submissions need."""
    transfers = state.transfers
    if transfers.question is not None or now < transfers.next_question_at:
        return []
    needs = dict.fromkeys(list_held_needs(state))
    for job in transfers.stranded_by_id.values():
        if may_leave(job, now):
            needs |= dict.fromkeys(job.task_count_by_need)
    if not needs:
        return []
    transfers.next_question_at = now + QUESTION_INTERVAL
    transfers.question_count += 1
    asked = _take_turns(tuple(needs), transfers.question_count)
    transfers.question = RoomQuestion(transfers.question_count, now, asked)
    message = FindRoom(
        state.settings.id,
        state.settings.group,
        state.term,
        transfers.question_count,
        asked,
    )
    others = set(range(state.settings.group_count)) - {state.settings.group}
    return [
        each
        for group in sorted(others)
        for each in send_to_group(state, group, message)
    ]


def _take_turns(needs: tuple[Need, ...], turn: int) -> tuple[Need, ...]:
    """Return the needs for one question; if there are many, others at each turn."""
    begin = turn * MAX_ASKED_NEEDS % len(needs)
    return (needs[begin:] + needs[:begin])[:MAX_ASKED_NEEDS]


def answer_room_question(
    message: FindRoom, state: DispatcherState, now: Seconds
) -> list[Effect]:
    """Answer what this group has, unless this leader cannot judge that."""
    if not has_authority(state, now) or not _knows_servers(state, now):
        return []
    rooms = RoomTable(state, now)
    offers = tuple(rooms.find_offer(need) for need in message.needs)
    answer = RoomFound(state.settings.group, message.term, message.number, offers)
    return [Send(address_sender(message), answer)]


def record_room(
    message: RoomFound, state: DispatcherState, now: Seconds
) -> list[Effect]:
    """Record what another group has, and use the answers once they are complete."""
    question = state.transfers.question
    if not has_authority(state, now) or question is None:
        return []
    if (message.term, message.number) != (state.term, question.number):
        # The question was asked in an earlier term, maybe for other needs.
        return []
    question.offers_by_group[message.group] = {
        offer.need: offer for offer in message.offers
    }
    if not have_all_answered(question.offers_by_group, state.settings.group_count):
        return []
    return [*_use_answers(state, question, now), *ask_for_room(state, now)]


def _use_answers(
    state: DispatcherState, question: RoomQuestion, now: Seconds
) -> list[Effect]:
    """Transfer stranded jobs, and decide on held submissions."""
    state.transfers.question = None
    offers_by_group = question.offers_by_group
    is_complete = have_all_answered(offers_by_group, state.settings.group_count)
    forget_old_answers(state, now)
    for need in question.needs:
        fit = find_best_fit(need, offers_by_group)
        if is_complete or fit > Fit.NONE:
            state.transfers.known_fit_by_need[need] = KnownFit(fit, now)
    effects = settle_held(state, now)
    return [*effects, *_transfer_stranded(state, offers_by_group, now)]


def _transfer_stranded(
    state: DispatcherState, offers_by_group: OffersByGroup, now: Seconds
) -> list[Effect]:
    """Append the transfers of the jobs for which another group has made an offer."""
    transfers = state.transfers
    transfers.stranded_by_id = find_stranded(state, transfers.stranded_by_id, now)
    jobs = [
        job
        for job in transfers.stranded_by_id.values()
        if may_leave(job, now) and is_settled(state, job.id)
    ]
    group_by_job = assign_groups(jobs, offers_by_group)
    if not group_by_job:
        transfers.next_question_at = now + NO_ROOM_INTERVAL
        return _report_no_room(state, jobs, offers_by_group, now)
    logs: list[Effect] = []
    ids_by_group: dict[GroupId, list[JobId]] = defaultdict(list)
    for job in jobs:
        if job.id in group_by_job:
            group = group_by_job[job.id]
            ids_by_group[group].append(job.id)
            logs.append(_describe_decision(state, job, group, offers_by_group, now))
            _withhold(state, job.id)
    appends = [
        _append_transfer(state, group, ids) for group, ids in ids_by_group.items()
    ]
    return [*logs, *appends]


def _withhold(state: DispatcherState, job_id: JobId) -> None:
    """Start nothing of a job from now on."""
    state.queue.remove(job_id)
    state.suspects_by_job.pop(job_id, None)
    state.progress_by_id.pop(job_id, None)
    del state.transfers.stranded_by_id[job_id]


def _append_transfer(
    state: DispatcherState, group: GroupId, job_ids: list[JobId]
) -> Effect:
    records = [state.records_by_id[job_id] for job_id in job_ids]
    command = TransferJobs(
        group=group,
        job_ids=tuple(each.job.id for each in records if not each.job.best_effort),
        best_effort=tuple(make_note(each) for each in records if each.job.best_effort),
        run_span=state.term * RUNS_PER_TERM,
    )
    append = append_command(state, command)
    (command_id,) = append.message.commands_by_id
    state.transfers.command_by_job |= dict.fromkeys(job_ids, command_id)
    return append


def _describe_decision(
    state: DispatcherState,
    job: StrandedJob,
    group: GroupId,
    offers_by_group: OffersByGroup,
    now: Seconds,
) -> LogEvent:
    fields = {
        "job": job.id,
        "to": group,
        **_describe_inputs(job, offers_by_group, now),
        "transfers": job.transfers,
        "term": state.term,
    }
    return LogEvent("transfer_decided", fields)


def _describe_inputs(
    job: StrandedJob, offers_by_group: OffersByGroup, now: Seconds
) -> dict[str, Any]:
    """Return the fields of a log line that tell what a decision is based on."""
    return {
        "own_fit": job.fit.name.lower(),
        "stranded_for": now - job.since,
        "offers": _format_offers(job, offers_by_group),
    }


def _format_offers(job: StrandedJob, offers_by_group: OffersByGroup) -> str:
    """Return the best fit and the slots of each group that has answered."""
    texts = []
    for group, offers in sorted(offers_by_group.items()):
        needs = job.task_count_by_need
        fit = find_fit(needs, offers)
        slots = sum(offers[need].slots for need in needs if need in offers)
        texts.append(f"{group}:{fit.name.lower()}:{slots}")
    return ",".join(texts)


def _report_no_room(
    state: DispatcherState,
    jobs: list[StrandedJob],
    offers_by_group: OffersByGroup,
    now: Seconds,
) -> list[Effect]:
    if not jobs or now < state.transfers.next_report_at:
        return []
    state.transfers.next_report_at = now + REPORT_INTERVAL
    oldest = min(jobs, key=lambda job: job.since)
    fields = {
        "jobs": len(jobs),
        "job": oldest.id,
        **_describe_inputs(oldest, offers_by_group, now),
        "term": state.term,
    }
    return [LogEvent("no_room_elsewhere", fields)]
