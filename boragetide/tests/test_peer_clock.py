"""Bounds of another instance's clock."""

from __future__ import annotations

import pytest

from boragetide.policy.peer_clock import PeerClock
from boragetide.tests.durable_fixtures import BEGIN

AHEAD = 3.0  # seconds by which the peer's clock is ahead


def record(clock: PeerClock, delay: float, now: float = BEGIN) -> None:
    clock.record_reading(now + AHEAD - delay, now)


def test_offset_is_unknown_before_the_first_reading() -> None:
    """Guards against taking two clocks for equal."""
    assert PeerClock().find_offset(BEGIN) is None


def test_late_message_does_not_loosen_the_bound() -> None:
    """Guards against jobs that look old because one message was slow."""
    clock = PeerClock()
    record(clock, delay=0.001)
    record(clock, delay=0.5, now=BEGIN + 1.0)
    assert clock.find_offset(BEGIN + 1.0) == pytest.approx(AHEAD - 0.001, abs=0.002)


def test_bound_holds_for_clocks_that_are_slewed_apart() -> None:
    """Guards against a job that looks younger than it is."""
    clock = PeerClock()
    slew = 2 * 500e-6  # seconds per second
    for elapsed in (0.0, 100.0, 600.0):
        now = BEGIN + elapsed
        offset = AHEAD - slew * elapsed
        clock.record_reading(now + offset, now)
        assert clock.find_offset(now + 10.0) <= offset - slew * 10.0 + 1e-6
