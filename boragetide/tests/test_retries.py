"""Retries and their budget."""

from __future__ import annotations

import random

import pytest

from boragetide.policy.retries import (
    BUDGET_FLOOR,
    MAX_ATTEMPTS,
    RetryBudget,
    backoff,
    has_budget,
    may_start_again,
    record,
)
from boragetide.types import TaskStatus


@pytest.mark.parametrize("status", list(TaskStatus))
@pytest.mark.parametrize("idempotent", [False, True])
def test_only_certain_or_idempotent_outcomes_are_retried(
    status: TaskStatus, idempotent: bool
) -> None:
    """Guards against a second start of a task that may have run."""
    expected = status is TaskStatus.NOT_RUN or (
        idempotent and status is TaskStatus.UNKNOWN
    )
    assert may_start_again(status, 1, idempotent, False) is expected
    assert not may_start_again(status, MAX_ATTEMPTS, idempotent, False)
    assert not may_start_again(status, 1, idempotent, True)


def test_budget_is_a_tenth_of_the_recent_dispatches() -> None:
    """Guards against retries that multiply the load of a failing pool."""
    budget = RetryBudget()
    record(budget, 100.0, 500, 0)
    for number in range(50):
        assert has_budget(budget, 100.5), number
        record(budget, 100.5, 0, 1)
    assert not has_budget(budget, 101.0)
    assert has_budget(budget, 115.0)


def test_quiet_pool_has_a_minimum_retry_budget() -> None:
    """Guards against a lone task that is not retried because 10% of one is none."""
    budget = RetryBudget()
    record(budget, 100.0, 1, BUDGET_FLOOR - 1)
    assert has_budget(budget, 100.0)
    record(budget, 100.0, 0, 1)
    assert not has_budget(budget, 100.0)


def test_backoff_grows_and_is_jittered() -> None:
    """Guards against many tasks that retry at the same time."""
    draw = random.Random(1)
    first = {backoff(1, draw) for _ in range(10)}
    assert len(first) == 10
    assert max(first) < min(backoff(4, draw) for _ in range(10))
