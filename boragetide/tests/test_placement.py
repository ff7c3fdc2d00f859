"""Choice between a free slot and a faster one that becomes free soon."""

from __future__ import annotations

from boragetide.policy.placement import (
    ExpectedRelease,
    FreeServer,
    choose_server,
    expected_wait,
    find_faster_release,
    max_size_without_waiting,
)


def test_fastest_free_server_is_chosen() -> None:
    """Guards against tasks on slow servers while fast ones idle."""
    assert choose_server([FreeServer("a", 1.0), FreeServer("b", 2.0)]).id == "b"


def test_long_task_waits_for_a_fast_slot_and_a_short_one_does_not() -> None:
    """Guards against long tasks on slow servers, and against short ones that wait."""
    releases = [ExpectedRelease(wait=0.1, speed=4.0)]
    assert find_faster_release(2.0, 1.0, releases) is releases[0]
    assert find_faster_release(0.1, 1.0, releases) is None
    limit = max_size_without_waiting(1.0, releases)
    assert find_faster_release(limit * 1.01, 1.0, releases) is not None
    assert find_faster_release(limit * 0.99, 1.0, releases) is None


def test_release_is_promised_to_one_task_only() -> None:
    """Guards against many tasks that all wait for the same slot."""
    releases = [ExpectedRelease(wait=0.1, speed=4.0, reserved=True)]
    assert find_faster_release(2.0, 1.0, releases) is None


def test_overrunning_task_is_expected_to_go_on() -> None:
    """Guards against waiting for a slot whose task should have ended long ago."""
    assert expected_wait(11.0, 10.0, 10.5) == 0.5
    assert expected_wait(11.0, 10.0, 20.0) >= 2.0
