"""Waits that grow by a factor with each repetition, up to a longest one."""

from __future__ import annotations

import math

from boragetide.types import Seconds


def grow_wait(
    first: Seconds, count: int, longest: Seconds, factor: float = 2.0
) -> Seconds:
    """Return the wait after ``count`` repetitions.

    No power of an unbounded count is computed: it would overflow.

    Parameters
    ----------
    first, longest
        Wait with no repetition, and its upper bound, in seconds; both positive.
    count
        Number of repetitions, 0 or more.
    factor
        Growth with each repetition, above 1.

    Examples
    --------
    >>> grow_wait(0.5, 2, longest=30.0)
    2.0
    >>> grow_wait(0.5, 10_000, longest=30.0)
    30.0
    """
    if count >= math.log(longest / first, factor):
        return longest
    return min(longest, first * factor**count)
