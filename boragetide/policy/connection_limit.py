"""Decides which connections a process closes when it has too many, or reads too late.

All HTTP servers of a process share one table of connections and one of the answers that
their clients have not read.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import TypeAlias

from boragetide.types import Seconds

ConnectionId: TypeAlias = Hashable

# Part of the connections that only readiness checks and the reader of the metrics may
# open, so that they are answered while all others are in use.
RESERVED_SHARE = 0.1
MAX_RESERVED = 8
# File descriptors that remain for files.
RESERVED_DESCRIPTORS = 200
# Part of the other descriptors that connections of clients may use. The rest is for
# links to other instances and for calls to backend servers.
CONNECTIONS_SHARE = 0.5


def compute_connection_limit(descriptors: int) -> int:
    """Return how many connections a limit on the open files of a process allows."""
    return max(int((descriptors - RESERVED_DESCRIPTORS) * CONNECTIONS_SHARE), 1)


@dataclass(slots=True)
class ConnectionTable:
    """Open connections of a process.

    Parameters
    ----------
    limit
        Most connections that are open.
    idle_since_by_id
        Connections without a request, with unfinished headers, or of whose body nothing
        has arrived, and since when. The one that has been so for longest comes first.
    active
        Connections whose body is being read, or whose request is being handled.
    """

    limit: int
    idle_since_by_id: OrderedDict[ConnectionId, Seconds] = field(
        default_factory=OrderedDict
    )
    active: set[ConnectionId] = field(default_factory=set)

    @property
    def count(self) -> int:
        """Number of open connections."""
        return len(self.idle_since_by_id) + len(self.active)

    @property
    def reserved(self) -> int:
        """Number of connections that are reserved for essential servers."""
        return min(int(self.limit * RESERVED_SHARE), MAX_RESERVED)

    def is_full(self, essential: bool = False) -> bool:
        """Return whether one more connection would exceed the limit.

        Parameters
        ----------
        essential
            Whether it may use the reserved part.
        """
        return self.count >= self.limit - (0 if essential else self.reserved)


def mark_idle(table: ConnectionTable, connection: ConnectionId, now: Seconds) -> None:
    """Record that a connection is new, was answered, or has sent headers only."""
    table.active.discard(connection)
    table.idle_since_by_id[connection] = now
    table.idle_since_by_id.move_to_end(connection)


def mark_active(table: ConnectionTable, connection: ConnectionId) -> None:
    """Record that a part of a body, or a complete request, has arrived."""
    if table.idle_since_by_id.pop(connection, None) is not None:
        table.active.add(connection)


def forget(table: ConnectionTable, connection: ConnectionId) -> Seconds | None:
    """Remove a connection; return since when it was idle, if it was."""
    table.active.discard(connection)
    return table.idle_since_by_id.pop(connection, None)


def find_idle_for_too_long(
    table: ConnectionTable, timeout: Seconds, now: Seconds
) -> list[ConnectionId]:
    """Return the connections that have been without a request for over ``timeout``."""
    found = []
    for connection, since in table.idle_since_by_id.items():
        if now - since <= timeout:
            break
        found.append(connection)
    return found


def find_longest_idle(table: ConnectionTable) -> ConnectionId | None:
    """Return the connection that was without a request for longest, if there is one."""
    return next(iter(table.idle_since_by_id), None)


@dataclass(frozen=True, slots=True)
class UnreadAnswer:
    """An answer that the client has not read completely.

    Parameters
    ----------
    size
        Bytes of the answer.
    since
        Time at which it was written.
    """

    size: int
    since: Seconds


@dataclass(slots=True)
class UnreadAnswers:
    """Answers that wait in the process until their clients read them.

    Parameters
    ----------
    limit
        Most bytes of all answers; a single one may be larger.
    by_connection
        The oldest comes first.
    used
        Bytes of all answers.
    """

    limit: int
    by_connection: OrderedDict[ConnectionId, UnreadAnswer] = field(
        default_factory=OrderedDict
    )
    used: int = 0


def add_answer(
    answers: UnreadAnswers, connection: ConnectionId, size: int, now: Seconds
) -> list[ConnectionId]:
    """Add an answer, and return the connections that must be closed for it.

    The answers that have waited for longest are given up first.
    """
    remove_answer(answers, connection)
    closed = []
    while answers.by_connection and answers.used + size > answers.limit:
        oldest = next(iter(answers.by_connection))
        remove_answer(answers, oldest)
        closed.append(oldest)
    answers.by_connection[connection] = UnreadAnswer(size, now)
    answers.used += size
    return closed


def has_room(answers: UnreadAnswers, size: int) -> bool:
    """Return whether an answer can be added without closing a connection."""
    return not answers.by_connection or answers.used + size <= answers.limit


def remove_answer(answers: UnreadAnswers, connection: ConnectionId) -> None:
    """Remove an answer that was read, or whose connection is closed."""
    answer = answers.by_connection.pop(connection, None)
    if answer is not None:
        answers.used -= answer.size


def find_overdue(
    answers: UnreadAnswers, timeout: Seconds, now: Seconds
) -> list[ConnectionId]:
    """Return the connections whose answer was written more than ``timeout`` ago."""
    overdue = []
    for connection, answer in answers.by_connection.items():
        if now - answer.since <= timeout:
            break
        overdue.append(connection)
    return overdue
