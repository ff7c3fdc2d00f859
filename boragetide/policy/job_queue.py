"""Queue of the durable jobs that have tasks to start, in scheduling order.

The order is designed for bursts in which not all jobs can be in time: one large job
that goes first would make many small ones late.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from boragetide.durable import DurableJob, Step
from boragetide.policy.scheduling import expires_at, latest_start
from boragetide.types import ClassName, JobId, Seconds

# Number of jobs that are considered if the first ones do not fit into the free
# resources. This bounds the time of a decision under overload.
LOOK_AHEAD = 24
# A job with the mean work of its class is ranked as if its latest start were this much
# later, and a job with twice that work as if it were twice as much later. Among equally
# urgent jobs small ones go first, but they can overtake a large one only for a bounded
# time.
SIZE_DELAY: Seconds = 0.05
# Weight of a new job in the moving mean of the work of its class.
MEAN_WORK_GAIN = 0.02


@dataclass(slots=True)
class WaitingJob:
    """A queued job with those of its tasks that may start now.

    Parameters
    ----------
    rank
        Sort key among the jobs that can be in time; the lowest goes first.
    min_millicores
        Thousandths of a core that the smallest step of the job needs.
    """

    job: DurableJob
    tasks: dict[int, Step]
    rank: Seconds
    latest_start: Seconds
    expires_at: Seconds
    min_millicores: int


@dataclass(slots=True)
class JobQueue:
    """Queued jobs, by the time at which they must start to be in time and by size.

    Parameters
    ----------
    in_time, in_time_by_start
        Jobs that can still be in time, sorted by rank and by latest start.
    late, expired
        Jobs that are late, and jobs whose result is by now of little use to their
        callers, sorted by latest start.
    mean_work_by_class
        Mean declared work of a job of each class, in seconds of one thousandth of a
        core.
    """

    waiting_by_id: dict[JobId, WaitingJob] = field(default_factory=dict)
    in_time: SortedList = field(default_factory=SortedList)
    in_time_by_start: SortedList = field(default_factory=SortedList)
    late: SortedList = field(default_factory=SortedList)
    expired: SortedList = field(default_factory=SortedList)
    mean_work_by_class: dict[ClassName, float] = field(default_factory=dict)

    def put(self, job: DurableJob, tasks: dict[int, Step]) -> None:
        """Replace the waiting tasks of a job; without tasks the job is removed."""
        waiting = self.waiting_by_id.get(job.id)
        if waiting is not None:
            waiting.tasks = tasks
            if not tasks:
                self._discard(waiting)
            return
        if not tasks:
            return
        waiting = WaitingJob(
            job=job,
            tasks=tasks,
            rank=latest_start(job) + SIZE_DELAY * self._relative_work(job),
            latest_start=latest_start(job),
            expires_at=expires_at(job),
            min_millicores=min(step.needs.millicores for step in job.steps),
        )
        self.waiting_by_id[job.id] = waiting
        self.in_time.add((waiting.rank, job.id))
        self.in_time_by_start.add((waiting.latest_start, job.id))

    def _relative_work(self, job: DurableJob) -> float:
        """Update the mean work of a class, and return the work of a job relative to it.

        The work is the declared one.
        """
        work = sum(
            step.count * step.estimate * step.needs.millicores for step in job.steps
        )
        mean = self.mean_work_by_class.get(job.class_name, work)
        mean += MEAN_WORK_GAIN * (work - mean)
        self.mean_work_by_class[job.class_name] = mean
        return work / mean if mean > 0 else 1.0

    def remove(self, job_id: JobId) -> None:
        """Remove a job if it is queued."""
        waiting = self.waiting_by_id.get(job_id)
        if waiting is not None:
            self._discard(waiting)

    def clear(self) -> None:
        """Remove all jobs."""
        self.waiting_by_id.clear()
        for jobs in (self.in_time, self.in_time_by_start, self.late, self.expired):
            jobs.clear()

    def iterate(self, now: Seconds) -> Iterator[WaitingJob]:
        """Yield the jobs to consider now, in scheduling order."""
        self._update_lateness(now)
        examined = 0
        for jobs in (self.in_time, self.late, self.expired):
            for _, job_id in list(jobs.islice(0, LOOK_AHEAD - examined)):
                examined += 1
                waiting = self.waiting_by_id.get(job_id)
                if waiting is not None:
                    yield waiting

    def list_expired(self, now: Seconds) -> list[WaitingJob]:
        """Return the jobs that are too late to be of use; they stay queued."""
        self._update_lateness(now)
        return [self.waiting_by_id[job_id] for _, job_id in self.expired]

    def _update_lateness(self, now: Seconds) -> None:
        while self.in_time_by_start and self.in_time_by_start[0][0] < now:
            entry = self.in_time_by_start.pop(0)
            self.in_time.remove((self.waiting_by_id[entry[1]].rank, entry[1]))
            self.late.add(entry)
        while self.late and self._is_expired(self.late[0][1], now):
            self.expired.add(self.late.pop(0))

    def _is_expired(self, job_id: JobId, now: Seconds) -> bool:
        return self.waiting_by_id[job_id].expires_at < now

    def _discard(self, waiting: WaitingJob) -> None:
        job_id = waiting.job.id
        del self.waiting_by_id[job_id]
        self.in_time.discard((waiting.rank, job_id))
        for jobs in (self.in_time_by_start, self.late, self.expired):
            jobs.discard((waiting.latest_start, job_id))
