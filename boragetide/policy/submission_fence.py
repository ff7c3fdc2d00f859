"""Remembers which submissions of a job are void, because they must not run any more.

An instance may send several copies of a submission, and a connection that was replaced
can deliver an early copy after a later one. Once one copy is refused or withdrawn, no
other copy may run.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from boragetide.types import JobId, Seconds

# A copy that was on its way for longer is neither accepted nor refused, because a
# refusal of another copy may be forgotten by then.
MAX_DELIVERY_TIME: Seconds = 30.0


@dataclass(slots=True)
class SubmissionFence:
    """Times up to which the submissions of a job are void.

    A caller may submit a refused job again. Its new submission is younger than the
    refusal and is not covered.

    Parameters
    ----------
    void_until_by_job
        Time of the last refusal or withdrawal of each job, in the order in which they
        were recorded. A withdrawal may be recorded some seconds after its time.
    """

    void_until_by_job: dict[JobId, Seconds] = field(default_factory=dict)

    def void(self, job_id: JobId, until: Seconds) -> None:
        """Void all submissions of a job that were made until a time."""
        known = self.void_until_by_job.pop(job_id, until)
        self.void_until_by_job[job_id] = max(known, until)

    def is_void(self, job_id: JobId, submitted_at: Seconds | None) -> bool:
        """Return whether a submission is void.

        Parameters
        ----------
        submitted_at
            Time at or before which the job was submitted, by the clock of this
            instance. If it is ``None``, the submission may be older than the fence and
            is void if there is one.
        """
        void_until = self.void_until_by_job.get(job_id)
        if void_until is None:
            return False
        return submitted_at is None or submitted_at <= void_until

    def remove_old(self, now: Seconds) -> None:
        """Remove what no copy that may still be accepted can be affected by."""
        for job_id, void_until in list(self.void_until_by_job.items()):
            if now - void_until <= MAX_DELIVERY_TIME:
                break
            del self.void_until_by_job[job_id]
