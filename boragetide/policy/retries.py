"""Decides which tasks may be started again, within a retry budget."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

from boragetide.types import Seconds, TaskStatus

BUDGET_SHARE = 0.1
BUDGET_WINDOW: Seconds = 10.0

# Retries allowed per window in any case: with few dispatches, 10% is less than one.
BUDGET_FLOOR = 10
MAX_ATTEMPTS = 4
FIRST_BACKOFF: Seconds = 0.05


@dataclass(slots=True)
class RetryBudget:
    """Numbers of dispatches and retries in the last window, for each second."""

    counts: deque[tuple[int, int, int]] = field(default_factory=deque)


def record(budget: RetryBudget, now: Seconds, dispatches: int, retries: int) -> None:
    """Add dispatches and retries to the counts of the current second."""
    second = int(now)
    if budget.counts and budget.counts[-1][0] == second:
        _, known_dispatches, known_retries = budget.counts.pop()
        dispatches += known_dispatches
        retries += known_retries
    budget.counts.append((second, dispatches, retries))
    while budget.counts[0][0] <= now - BUDGET_WINDOW - 1:
        budget.counts.popleft()


def has_budget(budget: RetryBudget, now: Seconds) -> bool:
    """Return whether one more retry is within the budget."""
    recent = [count for count in budget.counts if count[0] > now - BUDGET_WINDOW - 1]
    dispatches = sum(count[1] for count in recent)
    retries = sum(count[2] for count in recent)
    return retries < max(BUDGET_FLOOR, BUDGET_SHARE * dispatches)


def may_start_again(
    status: TaskStatus, attempts: int, idempotent: bool, overdue: bool
) -> bool:
    """Return whether a task with this outcome may be started again.

    Parameters
    ----------
    status
        Outcome of the last attempt. ``UNKNOWN`` means that its connection was lost.
    attempts
        Number of starts so far.
    idempotent
        Whether the task is a single request that may run more than once.
    overdue
        Whether the attempt timed out; another one would be too late.
    """
    if attempts >= MAX_ATTEMPTS or overdue:
        return False
    if status is TaskStatus.NOT_RUN:
        return True
    return idempotent and status is TaskStatus.UNKNOWN


def backoff(attempts: int, jitter: random.Random) -> Seconds:
    """Return the jittered wait in seconds before the next attempt.

    The wait doubles with each attempt.
    """
    return FIRST_BACKOFF * 2 ** (attempts - 1) * jitter.uniform(0.5, 1.5)
