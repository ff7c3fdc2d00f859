"""Sets of task numbers behave as sets of integers do."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from boragetide.limits import MAX_TASKS
from boragetide.task_set import EMPTY, TaskSet

NUMBERS = st.sets(st.integers(0, MAX_TASKS - 1), max_size=50)


@given(NUMBERS, NUMBERS, st.integers(-1, MAX_TASKS))
def test_set_has_the_numbers_that_were_given(
    numbers: set[int], others: set[int], probe: int
) -> None:
    """Guards against a task that counts as done although it is not."""
    tasks = TaskSet(numbers)
    assert list(tasks) == sorted(numbers)
    assert (len(tasks), bool(tasks)) == (len(numbers), bool(numbers))
    assert (probe in tasks) is (probe in numbers)
    assert tasks == numbers
    assert tasks.subtract(TaskSet(others)) == numbers - others
    assert hash(tasks) == hash(frozenset(numbers))


@given(NUMBERS, st.integers(0, MAX_TASKS - 1), st.integers(0, 500))
def test_added_task_leaves_the_first_set_as_it_was(
    numbers: set[int], number: int, width: int
) -> None:
    """Guards against a record that changes after it was stored."""
    tasks = TaskSet(numbers)
    assert tasks.add(number) == numbers | {number}
    assert tasks == numbers
    between = [each for each in numbers if number <= each < number + width]
    assert tasks.count_between(number, number + width) == len(between)


@pytest.mark.parametrize("number", [-1, MAX_TASKS, 2**53])
def test_number_that_no_task_has_is_refused(number: int) -> None:
    """Guards against a message that makes a member allocate all its memory."""
    with pytest.raises(ValueError, match=str(number)):
        TaskSet([number])
    assert set() == EMPTY
