"""Waits that grow with counts which have no bound."""

from __future__ import annotations

import pytest

from boragetide.policy.exponential_wait import grow_wait

HUGE_COUNTS = [513, 1_024, 10**6, 10**400]


@pytest.mark.parametrize("factor", [1.5, 2.0, 4.0])
def test_wait_grows_by_its_factor_up_to_the_longest(factor: float) -> None:
    """Guards against a wait that differs from the power that it stands for."""
    for count in range(40):
        expected = min(30.0, 0.25 * factor**count)
        wait = grow_wait(0.25, count, longest=30.0, factor=factor)
        assert wait == pytest.approx(expected)


@pytest.mark.parametrize("count", HUGE_COUNTS)
def test_wait_of_any_count_is_the_longest(count: int) -> None:
    """Guards against an overflow that ends one process after the other."""
    assert grow_wait(0.25, count, longest=8.0, factor=4.0) == 8.0


def test_first_wait_may_be_the_longest() -> None:
    """Guards against a division or a logarithm that fails at the bound."""
    assert grow_wait(0.5, 0, longest=0.5) == 0.5
    assert grow_wait(2.0, 3, longest=0.5) == 0.5
