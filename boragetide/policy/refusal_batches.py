"""Refusals that an instance gives only after the leader has confirmed them.

A caller may have submitted the same job before, at another instance, so that the leader
may know it or a copy of that submission may still be on its way. Only the leader can
promise that the job does not run. One batch at a time is on its way to the leader, so
that the refusals of an instance cost the leader little, however many they are.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from boragetide.policy.process_numbers import choose_first_number
from boragetide.types import ClassName, JobId, ReplyTo, Seconds

CONFIRMATION_TIMEOUT: Seconds = 0.5


@dataclass(frozen=True, slots=True)
class PendingRefusal:
    """A submission to refuse once the leader has confirmed it."""

    job_id: JobId
    class_name: ClassName
    retry_after: Seconds
    reply_to: ReplyTo | None


@dataclass(slots=True)
class RefusalBatches:
    """Refusals that wait for the leader's confirmation.

    Parameters
    ----------
    waiting
        Refusals for the next batch.
    sent, sent_at
        Refusals of the batch on its way, and the time at which it was sent.
    number
        Number of the last batch, which no other process of this instance uses.
    """

    waiting: list[PendingRefusal] = field(default_factory=list)
    sent: list[PendingRefusal] = field(default_factory=list)
    sent_at: Seconds = 0.0
    number: int = field(default_factory=choose_first_number)

    def start_batch(self, now: Seconds) -> bool:
        """Begin the next batch, unless one is on its way or there is nothing in it."""
        if self.sent or not self.waiting:
            return False
        self.sent, self.waiting = self.waiting, []
        self.sent_at = now
        self.number += 1
        return True

    def end_batch(self, number: int) -> list[PendingRefusal]:
        """Return the refusals of a batch that was answered, if it is the last one."""
        if number != self.number:
            return []
        ended, self.sent = self.sent, []
        return ended

    def take_overdue(self, now: Seconds) -> list[PendingRefusal]:
        """Return the refusals of a batch that the leader has not answered in time."""
        if now - self.sent_at < CONFIRMATION_TIMEOUT:
            return []
        return self.end_batch(self.number)

    def take_all(self) -> list[PendingRefusal]:
        """Return all refusals that wait; the leader that was asked is replaced."""
        taken = [*self.sent, *self.waiting]
        self.sent, self.waiting = [], []
        return taken
