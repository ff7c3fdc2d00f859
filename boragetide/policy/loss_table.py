"""Losses of runs by job, by task and by the process that was lost.

The cost of a look-up depends on what it asks for, and not on how many tasks were lost
with one backend server or of one job.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Set
from dataclasses import dataclass, field
from typing import TypeAlias

from boragetide.durable import LossFate, RunLoss, ServerProcess
from boragetide.policy.crash_suspicion import Losses, group_by_task, is_suspect_job
from boragetide.types import BackendServerId, JobId, Seconds

# Job and number of the task over all steps of the job.
TaskKey: TypeAlias = tuple[JobId, int]


@dataclass(slots=True)
class JobLosses:
    """Losses of one job.

    Parameters
    ----------
    losses
        All of them, oldest first.
    by_task
        The same by the number of the task.
    is_suspect
        Whether all tasks of the job are treated as suspects.
    lost_groups
        Number of backend servers that were lost while they ran only suspects, among
        them some of this job.
    open_tasks
        Tasks with losses that are not known to be done.
    """

    losses: Losses
    by_task: dict[int, Losses]
    is_suspect: bool
    lost_groups: int
    open_tasks: set[int]

    def suspects(self, task: int) -> bool:
        """Return whether a task that is not done is a suspect."""
        return bool(self.open_tasks) and (self.is_suspect or task in self.open_tasks)

    def forget_done(self, done: Set[int], changed: Iterable[int] | None = None) -> bool:
        """Clear the tasks that are done; return whether the last one was cleared now.

        Parameters
        ----------
        changed
            Tasks that may have been done since the last call; all if not given.
        """
        if not self.open_tasks:
            return False
        candidates = list(self.open_tasks if changed is None else changed)
        self.open_tasks.difference_update(task for task in candidates if task in done)
        return not self.open_tasks


def make_job_losses(losses: Losses) -> JobLosses:
    """Index the losses of a job."""
    by_task = group_by_task(losses)
    groups = {loss.process for of_task in by_task.values() for loss in of_task[1:]}
    return JobLosses(
        losses, by_task, is_suspect_job(losses), len(groups), open_tasks=set(by_task)
    )


@dataclass(slots=True)
class LostProcess:
    """A process of a backend server with which runs were lost.

    Parameters
    ----------
    lost_at
        Time at which the first of the runs was known to be over.
    tasks
        Tasks of the lost runs.
    open_losses
        Losses of which the fate is not known, by task.
    repeated
        Those of the tasks that had been lost before, so that the server was set apart
        for suspects.
    """

    address: str
    lost_at: Seconds
    tasks: dict[TaskKey, None] = field(default_factory=dict)
    open_losses: dict[TaskKey, RunLoss] = field(default_factory=dict)
    repeated: set[TaskKey] = field(default_factory=set)


@dataclass(slots=True)
class LossTable:
    """Losses that count for the suspicion of their tasks.

    Parameters
    ----------
    by_job, by_process
        Changed only by `put`, `remove` and `clear`.
    """

    by_job: dict[JobId, JobLosses] = field(default_factory=dict)
    by_process: dict[ServerProcess, LostProcess] = field(default_factory=dict)

    def put(self, job_id: JobId, losses: Losses) -> None:
        """Replace the losses of a job; they become the newest ones."""
        self.remove(job_id)
        if not losses:
            return
        of_job = self.by_job[job_id] = make_job_losses(losses)
        for task, of_task in of_job.by_task.items():
            for position, loss in enumerate(of_task):
                self._add(job_id, task, loss, is_repeated=position > 0)

    def _add(
        self, job_id: JobId, task: int, loss: RunLoss, *, is_repeated: bool
    ) -> None:
        lost = self.by_process.get(loss.process)
        if lost is None:
            lost = LostProcess(loss.address, loss.lost_at)
            self.by_process[loss.process] = lost
        key = (job_id, task)
        lost.tasks[key] = None
        if loss.fate is LossFate.UNKNOWN:
            lost.open_losses[key] = loss
        if is_repeated or loss.alone:
            lost.repeated.add(key)

    def remove(self, job_id: JobId) -> Losses:
        """Remove the losses of a job and return them."""
        of_job = self.by_job.pop(job_id, None)
        if of_job is None:
            return ()
        for loss in of_job.losses:
            lost = self.by_process[loss.process]
            key = (job_id, loss.task)
            lost.tasks.pop(key, None)
            lost.open_losses.pop(key, None)
            lost.repeated.discard(key)
            if not lost.tasks:
                del self.by_process[loss.process]
        return of_job.losses

    def clear(self) -> None:
        """Remove all losses."""
        self.by_job.clear()
        self.by_process.clear()

    def get(self, job_id: JobId) -> Losses:
        """Return the losses of a job, oldest first."""
        of_job = self.by_job.get(job_id)
        return () if of_job is None else of_job.losses

    def get_of_task(self, job_id: JobId, task: int) -> Losses:
        """Return the losses of a task, oldest first."""
        of_job = self.by_job.get(job_id)
        return () if of_job is None else of_job.by_task.get(task, ())

    def iterate_open(self) -> Iterator[tuple[ServerProcess, LostProcess]]:
        """Yield the processes whose fate is not known."""
        for process, lost in list(self.by_process.items()):
            if lost.open_losses:
                yield process, lost

    def has_open(self, server: BackendServerId) -> bool:
        """Return whether the fate of a process of a backend server is not known."""
        return any(process.server == server for process, _ in self.iterate_open())

    def list_open(self, processes: Iterable[ServerProcess]) -> list[RunLoss]:
        """Return the losses with these processes of which the fate is not known."""
        return [
            loss
            for process in processes
            for loss in self.by_process[process].open_losses.values()
        ]
