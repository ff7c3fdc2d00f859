"""Numbers of the transfers of best-effort jobs, by which callers find their jobs.

The note of a transfer has a number, and a caller that follows it names that number from
then on. A group with a note serves a caller who names at least the number of the note,
because the job has come back since, and directs all others. A job that is accepted anew
by its home group must therefore get higher numbers than before: callers may have
followed transfers of its earlier runs, and other groups may still have notes of these.
"""

from __future__ import annotations

# Each term has numbers of its own, so that a leader need not know the earlier ones.
NUMBERS_PER_TERM = 10**12
# A job that is accepted anew begins at a multiple of this number.
NUMBERS_PER_JOB = 1000


def find_first_number(term: int, highest: int) -> int:
    """Return the number of a job that its home group accepts.

    Parameters
    ----------
    highest
        Highest number that callers have named to the leader of this term.
    """
    first = (term - 1) * NUMBERS_PER_TERM
    if highest <= first:
        return first
    return (highest // NUMBERS_PER_JOB + 1) * NUMBERS_PER_JOB


def is_of_term(number: int, term: int) -> bool:
    """Return whether a number may have been given in a term or in an earlier one."""
    return number < term * NUMBERS_PER_TERM


def count_transfers(number: int) -> int:
    """Return how often a job was transferred since its home group accepted it."""
    return number % NUMBERS_PER_JOB
