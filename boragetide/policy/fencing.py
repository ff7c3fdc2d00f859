"""Fencing tokens of the orders to backend servers.

A backend server does nothing for a token that is lower than one that it has seen.
Tokens rise with the term, so that orders of an earlier leader are refused. Within a
term they rise with each process that the leader comes to know, so that a restarted
backend server that has seen the token of its own process refuses the orders that were
meant for an earlier one.
"""

from __future__ import annotations

PROCESSES_PER_TERM = 1_000_000


def make_fence(term: int, process: int) -> int:
    """Return the fencing token of a term's orders to one process.

    Parameters
    ----------
    process
        Number of the process among those that the leader has come to know.
    """
    return term * PROCESSES_PER_TERM + process


def get_term(fence: int) -> int:
    """Return the term of a fencing token."""
    return fence // PROCESSES_PER_TERM
