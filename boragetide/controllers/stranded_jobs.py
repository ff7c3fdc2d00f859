"""Finds the waiting jobs that no backend server of this group can start."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable
from itertools import chain, islice

from boragetide.controllers.dispatch_state import DispatcherState, is_occupied
from boragetide.controllers.placing_runs import find_pool, is_in_service, is_usable
from boragetide.durable import (
    DurableJob,
    Fit,
    JobRecord,
    Need,
    Offer,
    Step,
    make_need,
)
from boragetide.policy.transfer_numbers import count_transfers
from boragetide.policy.transfers import ServerRoom, StrandedJob, make_offer
from boragetide.types import JobId, Seconds

# Bounds the time of a review under overload; longer queues are examined in parts.
MAX_EXAMINED_JOBS = 300
# More jobs with the same needs are found when these have left.
MAX_STRANDED_JOBS_PER_NEEDS = 64


class RoomTable:
    """What the backend servers of this group have, at one moment.

    Parameters
    ----------
    state
        State of the leader.
    now
        Unix time in seconds.
    """

    def __init__(self, state: DispatcherState, now: Seconds):
        self._rooms = [
            ServerRoom(
                pool=server.report.pool,
                labels=server.report.labels,
                largest=server.largest_capacity,
                capacity=server.report.capacity,
                free=server.free_resources,
                in_service=is_in_service(server, now),
                usable=is_usable(state, server, now),
            )
            for server in state.servers_by_id.values()
            if not (server.departed or server.evacuated)
        ]
        self._offers_by_need: dict[Need, Offer] = {}

    def find_offer(self, need: Need) -> Offer:
        """Return what the group has for a need."""
        offer = self._offers_by_need.get(need)
        if offer is None:
            offer = self._offers_by_need[need] = make_offer(need, self._rooms)
        return offer


def list_needs(state: DispatcherState, job: DurableJob) -> tuple[Need, ...]:
    """Return the needs of all steps of a job."""
    pool = find_pool(state, job)
    return tuple(dict.fromkeys(make_need(pool, step) for step in job.steps))


def update_stranded(state: DispatcherState, now: Seconds) -> None:
    """Examine the next part of the waiting jobs, and again those that are stranded."""
    transfers = state.transfers
    if not transfers.unexamined:
        waiting = chain(state.queue.waiting_by_id, state.suspects_by_job)
        transfers.unexamined = list(dict.fromkeys(waiting))
    examined = dict.fromkeys(transfers.stranded_by_id)
    examined |= dict.fromkeys(islice(transfers.unexamined, MAX_EXAMINED_JOBS))
    del transfers.unexamined[:MAX_EXAMINED_JOBS]
    transfers.stranded_by_id = find_stranded(state, examined, now)


def find_stranded(
    state: DispatcherState, job_ids: Iterable[JobId], now: Seconds
) -> dict[JobId, StrandedJob]:
    """Return those of the given jobs that wait and cannot start here.

    Of the jobs with the same needs, only the first ones are returned.
    """
    found: dict[JobId, StrandedJob] = {}
    counts_by_needs: Counter[frozenset[Need]] = Counter()
    rooms: RoomTable | None = None
    for job_id in job_ids:
        rooms = rooms or RoomTable(state, now)
        stranded = _examine(state, job_id, rooms, now)
        if stranded is None:
            continue
        needs = frozenset(stranded.task_count_by_need)
        counts_by_needs[needs] += 1
        if counts_by_needs[needs] <= MAX_STRANDED_JOBS_PER_NEEDS:
            found[job_id] = stranded
    return found


def _examine(
    state: DispatcherState, job_id: JobId, rooms: RoomTable, now: Seconds
) -> StrandedJob | None:
    waiting = state.queue.waiting_by_id.get(job_id)
    suspects = state.suspects_by_job.get(job_id, {})
    record = state.records_by_id.get(job_id)
    if record is None or not (waiting or suspects):
        return None
    counts = _count_by_need(state, record.job, suspects.values())
    if waiting is not None:
        pool = find_pool(state, record.job)
        for group in waiting.tasks.group_by_position.values():
            counts[make_need(pool, group.step)] += len(group.numbers)
    fit = max(rooms.find_offer(need).fit for need in counts)
    # A suspect waits until a backend server is set apart for it, whatever is free.
    if fit is Fit.FREE or (suspects and fit is Fit.BUSY):
        return None
    if _has_runs(state, record.job):
        return None
    if record.job.best_effort and job_id in state.started:
        return None
    known = state.transfers.stranded_by_id.get(job_id)
    is_continued = known is not None and (known.fit is Fit.BUSY) == (fit is Fit.BUSY)
    return StrandedJob(
        id=job_id,
        task_count_by_need=counts,
        fit=fit,
        since=known.since if is_continued else now,
        best_effort=record.job.best_effort,
        transfers=_count_transfers(record),
    )


def _count_transfers(record: JobRecord) -> int:
    if record.job.best_effort:
        return count_transfers(record.transfers)
    return record.transfers


def _count_by_need(
    state: DispatcherState, job: DurableJob, steps: Collection[Step]
) -> Counter[Need]:
    """Count tasks, given by their steps, by what they need."""
    pool = find_pool(state, job)
    # The tasks of a step share one object. Hashing it for each task would be slow.
    step_by_id = {id(step): step for step in steps}
    counts: Counter[Need] = Counter()
    for step_id, count in Counter(map(id, steps)).items():
        counts[make_need(pool, step_by_id[step_id])] += count
    return counts


def _has_runs(state: DispatcherState, job: DurableJob) -> bool:
    """Return whether a task of a job may run, or has ended without a commit."""
    return any(is_occupied(state, (job.id, number)) for number in range(job.task_count))


def is_settled(state: DispatcherState, job_id: JobId) -> bool:
    """Return whether nothing that backend servers have listed of a job is open here.

    The end or the loss of a run must be in the job's record before the record leaves.
    """
    has_pending_ends = any(key[0] == job_id for key in state.uncommitted_ends_by_task)
    is_listed = any(
        run.task.job_id == job_id
        for server in state.servers_by_id.values()
        for run in server.unexpected_runs
    )
    is_lost = any(lost.run.job_id == job_id for lost in state.lost_runs)
    return not (has_pending_ends or is_listed or is_lost)
