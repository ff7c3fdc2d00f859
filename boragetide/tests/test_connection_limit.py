"""Decisions on connections and on answers that are not read."""

from __future__ import annotations

from boragetide.policy.connection_limit import (
    ConnectionTable,
    UnreadAnswers,
    add_answer,
    find_idle_for_too_long,
    find_longest_idle,
    find_overdue,
    forget,
    mark_active,
    mark_idle,
    remove_answer,
)


def test_connection_that_was_idle_for_longest_is_found() -> None:
    """Guards against the close of a connection that has just been used."""
    table = ConnectionTable(limit=3)
    for number in range(3):
        mark_idle(table, number, now=number)
    assert table.is_full()
    mark_active(table, 0)
    assert find_longest_idle(table) == 1
    mark_idle(table, 0, now=5.0)
    assert forget(table, 1) == 1.0
    assert find_longest_idle(table) == 2
    assert table.count == 2
    assert not table.is_full()


def test_connections_with_a_request_are_not_idle() -> None:
    """Guards against the close of a connection whose request is being handled."""
    table = ConnectionTable(limit=2)
    for number in range(2):
        mark_idle(table, number, now=number)
        mark_active(table, number)
    assert find_longest_idle(table) is None
    assert table.is_full()
    assert forget(table, 0) is None
    assert table.count == 1


def test_closed_connection_does_not_become_active() -> None:
    """Guards against a count that grows with each connection that was closed."""
    table = ConnectionTable(limit=2)
    mark_idle(table, 1, now=0.0)
    forget(table, 1)
    mark_active(table, 1)
    assert table.count == 0


def test_oldest_unread_answers_make_room() -> None:
    """Guards against answers that pile up for clients that do not read them."""
    answers = UnreadAnswers(limit=10)
    for number in range(3):
        assert add_answer(answers, number, 3, now=number) == []
    assert add_answer(answers, 3, 6, now=3.0) == [0, 1]
    remove_answer(answers, 2)
    remove_answer(answers, 2)
    assert answers.used == 6


def test_single_answer_may_exceed_the_limit() -> None:
    """Guards against a large answer that no client can ever get."""
    answers = UnreadAnswers(limit=10)
    add_answer(answers, 1, 5, now=0.0)
    assert add_answer(answers, 2, 20, now=1.0) == [1]
    assert set(answers.by_connection) == {2}


def test_answers_that_are_not_read_in_time_are_found() -> None:
    """Guards against a client that keeps an answer waiting for ever."""
    answers = UnreadAnswers(limit=10)
    add_answer(answers, 1, 1, now=0.0)
    add_answer(answers, 2, 1, now=5.0)
    assert find_overdue(answers, timeout=6.0, now=6.0) == []
    assert find_overdue(answers, timeout=6.0, now=7.0) == [1]
    assert find_overdue(answers, timeout=6.0, now=12.0) == [1, 2]


def test_connections_without_a_request_for_too_long_are_found() -> None:
    """Guards against idle connections that stay open for ever."""
    table = ConnectionTable(limit=3)
    for number in range(3):
        mark_idle(table, number, now=number)
    mark_active(table, 0)
    assert find_idle_for_too_long(table, timeout=5.0, now=6.5) == [1]
    assert find_idle_for_too_long(table, timeout=5.0, now=7.5) == [1, 2]


def test_some_connections_are_reserved_for_essential_servers() -> None:
    """Guards against readiness checks that wait behind the requests of callers."""
    table = ConnectionTable(limit=20)
    for number in range(18):
        mark_idle(table, number, now=number)
        mark_active(table, number)
    assert table.is_full()
    assert not table.is_full(essential=True)
    for number in range(18, 20):
        mark_idle(table, number, now=number)
    assert table.is_full(essential=True)
    assert ConnectionTable(limit=10_000).reserved == 8
