"""Numbers that a process gives, and that the next process of its instance must not.

Answers to an earlier process may arrive at the next one, which has the same address.
The clock may be set back between two starts, so that the time of the start does not
tell two processes apart for certain.
"""

from __future__ import annotations

import secrets

# The numbers of two processes overlap with a probability of one in 2**30 if each of
# them gives 2**31 numbers.
FIRST_NUMBER_BITS = 62


def choose_first_number() -> int:
    """Return a random positive number from which a process counts upwards.

    Counts that begin there fit into 63 bits.
    """
    return 1 + secrets.randbits(FIRST_NUMBER_BITS)
