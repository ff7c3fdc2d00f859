"""Numbers of the transfers of best-effort jobs."""

from __future__ import annotations

import pytest

from boragetide.policy.transfer_numbers import (
    NUMBERS_PER_JOB,
    NUMBERS_PER_TERM,
    count_transfers,
    find_first_number,
    is_of_term,
)


@pytest.mark.parametrize("term", [1, 2, 9])
@pytest.mark.parametrize("highest", [0, 1, 2, NUMBERS_PER_JOB, NUMBERS_PER_JOB + 7])
def test_first_number_is_above_all_earlier_ones(term: int, highest: int) -> None:
    """Guards against a job that begins anew with numbers that callers know."""
    first = find_first_number(term, highest)
    assert first > highest or first == highest == 0
    assert count_transfers(first) == 0
    assert count_transfers(first + 3) == 3


def test_next_term_begins_above_the_numbers_of_the_last() -> None:
    """Guards against a next leader that gives numbers again."""
    highest = find_first_number(4, 3 * NUMBERS_PER_TERM + 5 * NUMBERS_PER_JOB) + 8
    assert is_of_term(highest, 4)
    assert not is_of_term(find_first_number(5, 0) + 1, 4)
    assert find_first_number(5, 0) > highest
