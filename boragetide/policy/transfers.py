"""Which waiting jobs go to another group, and to which one.

The groups divide jobs and backend servers without regard to what a task needs, so that
a group may have no backend server for a job while another one has several. Such a job
is transferred. The rules hold for durable and for best-effort jobs.

A job never leaves a group in which one of its tasks can start, so that groups that are
alike exchange nothing.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from boragetide.durable import Fit, Need, Offer, Resources
from boragetide.types import GroupId, JobId, PoolName, Seconds

# A backend server that missed one call is usually back within this time.
OUT_OF_SERVICE_PATIENCE: Seconds = 0.5
# A job that waits for a busy backend server goes to a free one elsewhere after this
# time, which is longer than most tasks run.
BUSY_PATIENCE: Seconds = 2.0
# A job that only waits for busy backend servers is transferred at most this often.
MAX_TRANSFERS_WHEN_BUSY = 8


@dataclass(frozen=True, slots=True)
class ServerRoom:
    """What a backend server has, as the leader of its group knows it.

    Parameters
    ----------
    largest, capacity, free
        Largest capacity that the process has announced, the current capacity, and the
        part of it that no run uses.
    in_service
        Whether the backend server is in contact and is to stay.
    usable
        Whether it may get new runs at this moment.
    """

    pool: PoolName
    labels: tuple[str, ...]
    largest: Resources
    capacity: Resources
    free: Resources
    in_service: bool
    usable: bool


@dataclass(frozen=True, slots=True)
class StrandedJob:
    """A waiting job of which no task can start in its group.

    Parameters
    ----------
    task_count_by_need
        Number of the waiting tasks by their need.
    fit
        Best fit of these needs in the job's own group, below `Fit.FREE`.
    since
        Time at which the job was first found stranded.
    transfers
        How often the job was transferred before.
    """

    id: JobId
    task_count_by_need: Mapping[Need, int]
    fit: Fit
    since: Seconds
    best_effort: bool = False
    transfers: int = 0


def make_offer(need: Need, rooms: Iterable[ServerRoom]) -> Offer:
    """Return what some backend servers, those of one group, have for a need."""
    fit = Fit.NONE
    slots = 0
    for room in rooms:
        if room.pool != need.pool or (need.label and need.label not in room.labels):
            continue
        of_server = _rate_room(need.resources, room)
        fit = max(fit, of_server)
        if of_server is Fit.FREE:
            slots += _count_slots(need.resources, room.free)
    return Offer(need, fit, slots)


def _rate_room(resources: Resources, room: ServerRoom) -> Fit:
    if not resources.fits_in(room.largest):
        return Fit.NONE
    if not (room.in_service and resources.fits_in(room.capacity)):
        return Fit.OUT_OF_SERVICE
    if not (room.usable and resources.fits_in(room.free)):
        return Fit.BUSY
    return Fit.FREE


def _count_slots(resources: Resources, free: Resources) -> int:
    """Return how many tasks fit into the free resources, at least one."""
    pairs = (
        (free.millicores, resources.millicores),
        (free.memory, resources.memory),
        (free.accelerators, resources.accelerators),
    )
    return min((have // needed for have, needed in pairs if needed > 0), default=1)


def may_leave(job: StrandedJob, now: Seconds) -> bool:
    """Return whether a stranded job has waited long enough in its group.

    A job waits for a backend server that may be back soon, unless it is a best-effort
    job, whose caller waits for its end.
    """
    waited = now - job.since
    if job.fit is Fit.BUSY:
        return waited >= BUSY_PATIENCE and job.transfers < MAX_TRANSFERS_WHEN_BUSY
    if job.fit is Fit.OUT_OF_SERVICE:
        return job.best_effort or waited >= OUT_OF_SERVICE_PATIENCE
    return True


@dataclass(slots=True)
class _Slots:
    """Slots that other groups have offered and that no job has taken yet."""

    offers_by_group: Mapping[GroupId, Mapping[Need, Offer]]
    taken: dict[tuple[GroupId, Need], int] = field(default_factory=dict)

    def find_fit(self, group: GroupId, job: StrandedJob) -> Fit:
        """Return the best fit that a group offers for any task of a job."""
        return find_fit(job.task_count_by_need, self.offers_by_group[group])

    def count(self, group: GroupId, job: StrandedJob) -> int:
        """Return how many tasks of a job a group can start now."""
        offers = self.offers_by_group[group]
        return sum(
            max(0, offers[need].slots - self.taken.get((group, need), 0))
            for need in job.task_count_by_need
            if need in offers
        )

    def take(self, group: GroupId, job: StrandedJob) -> None:
        """Use up the slots of a job."""
        for need, tasks in job.task_count_by_need.items():
            self.taken[group, need] = self.taken.get((group, need), 0) + tasks


def assign_groups(
    jobs: Iterable[StrandedJob],
    offers_by_group: Mapping[GroupId, Mapping[Need, Offer]],
) -> dict[JobId, GroupId]:
    """Return the group that each job goes to; a job that should stay is left out.

    The group with the most free slots takes a job. If no group has any, a job that its
    own group cannot serve goes to one that can serve it later. Such jobs are spread
    evenly, by their ids.

    Parameters
    ----------
    jobs
        Jobs for which `may_leave` holds, the most urgent first.
    offers_by_group
        Offers of the other groups.
    """
    slots = _Slots(offers_by_group)
    group_by_job: dict[JobId, GroupId] = {}
    for job in jobs:
        group = _choose_group(job, slots)
        if group is not None:
            slots.take(group, job)
            group_by_job[job.id] = group
    return group_by_job


def _choose_group(job: StrandedJob, slots: _Slots) -> GroupId | None:
    least = max(Fit.BUSY, job.fit + 1)
    groups = [
        group for group in slots.offers_by_group if slots.find_fit(group, job) >= least
    ]
    free = [group for group in groups if slots.count(group, job) > 0]
    if free:
        return max(free, key=lambda group: (slots.count(group, job), -group))
    if job.fit is Fit.BUSY or not groups:
        return None
    return max(groups, key=lambda group: _rank_group(job.id, group))


def _rank_group(job_id: JobId, group: GroupId) -> bytes:
    """Return a rank that spreads the jobs evenly (rendezvous hashing)."""
    return hashlib.blake2b(f"{job_id}/{group}".encode(), digest_size=8).digest()


def find_fit(needs: Iterable[Need], offers: Mapping[Need, Offer]) -> Fit:
    """Return the best fit for any of the needs among the offers of one group."""
    return max((offers[need].fit for need in needs if need in offers), default=Fit.NONE)


def find_best_fit(
    need: Need, offers_by_group: Mapping[GroupId, Mapping[Need, Offer]]
) -> Fit:
    """Return the best fit for a need that any of the groups offers."""
    fits = (find_fit((need,), offers) for offers in offers_by_group.values())
    return max(fits, default=Fit.NONE)


def have_all_answered(offers_by_group: Collection[GroupId], group_count: int) -> bool:
    """Return whether each other group has answered a question for its offers."""
    return len(offers_by_group) >= group_count - 1
