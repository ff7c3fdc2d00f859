"""Timeouts of the calls to a backend server, and the budget of their repetitions."""

from __future__ import annotations

import pytest

from boragetide.policy.call_timeouts import (
    LOSSY_PERIOD,
    MAX_CALL_TIMEOUT,
    MAX_SAVED_REPETITIONS,
    MIN_CALL_TIMEOUT,
    MIN_LOSSY_TIMEOUT,
    CallRecord,
)
from boragetide.tests.durable_fixtures import BEGIN


def make_record(*seconds: float) -> CallRecord:
    record = CallRecord()
    for each in seconds:
        record.record_response(each)
    return record


def test_first_call_has_the_longest_timeout() -> None:
    """Guards against repetitions at a distant server that has not answered yet."""
    assert make_record().find_timeout() == MAX_CALL_TIMEOUT


@pytest.mark.parametrize("seconds", [0.0, 0.001, -0.5], ids=["0", "1 ms", "clock set"])
def test_fast_server_has_the_shortest_timeout(seconds: float) -> None:
    """Guards against repetitions for the waits of a leader that is not overloaded."""
    assert make_record(*[seconds] * 20).find_timeout() == MIN_CALL_TIMEOUT


def test_slow_server_gets_the_time_that_it_needs() -> None:
    """Guards against calls that are all repeated because a server is slow."""
    timeout = make_record(*[0.05, 0.06] * 20).find_timeout()
    assert 0.06 < timeout < MAX_CALL_TIMEOUT


def test_timeout_follows_a_server_that_becomes_slow() -> None:
    """Guards against a timeout that stays below the response times."""
    record = make_record(*[0.001] * 100)
    for _ in range(5):
        record.record_response(0.08)
    assert record.find_timeout() > 0.08


def test_repeated_call_has_a_longer_timeout_within_the_bound() -> None:
    """Guards against a run that is stopped because its server pauses for a moment."""
    record = make_record(0.0)
    assert record.find_timeout(2.0) == 2 * MIN_CALL_TIMEOUT
    assert record.find_timeout(100.0) == MAX_CALL_TIMEOUT


def test_repetitions_at_most_double_the_calls() -> None:
    """Guards against a fault that multiplies the messages."""
    record = CallRecord()
    calls = 1000
    repeated = 0
    for _ in range(calls):
        record.add_call()
        while record.take_repetition():
            repeated += 1
    assert calls <= repeated <= calls + MAX_SAVED_REPETITIONS


def test_losses_are_expected_for_a_while() -> None:
    """Guards against more frequent lists long after a fault, or without one."""
    record = CallRecord()
    assert not record.expects_losses(BEGIN)
    record.unanswered_at = BEGIN
    assert record.expects_losses(BEGIN + LOSSY_PERIOD - 0.01)
    assert not record.expects_losses(BEGIN + LOSSY_PERIOD)


def test_timeout_is_shorter_while_losses_are_expected() -> None:
    """Guards against short tasks that are late for each lost call."""
    fast, slow = make_record(*[0.001] * 20), make_record(*[0.05, 0.06] * 20)
    assert fast.find_timeout(lossy=True) == MIN_LOSSY_TIMEOUT
    assert slow.find_timeout(lossy=True) == slow.find_timeout()
