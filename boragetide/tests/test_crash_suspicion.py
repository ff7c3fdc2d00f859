"""Suspicion of tasks whose runs were lost with their backend servers."""

from __future__ import annotations

import math

import pytest

from boragetide.durable import LossFate, RunLoss
from boragetide.policy.crash_suspicion import (
    FATE_WAIT,
    MAX_FATE_WAIT,
    MAX_SHARED_LOSSES,
    find_suspects,
    is_guilty,
    is_suspect_job,
    max_group_size,
    max_isolated_servers,
    may_start_at,
    merge_losses,
)
from boragetide.tests.durable_fixtures import BEGIN

CRASHED, UNKNOWN, SURVIVED = LossFate.CRASHED, LossFate.UNKNOWN, LossFate.SURVIVED


def make_loss(
    server: str,
    fate: LossFate = CRASHED,
    *,
    task: int = 0,
    alone: bool = False,
    began: bool = True,
) -> RunLoss:
    return RunLoss("j1", task, server, f"{server}:80", 1, BEGIN, alone, fate, began)


def make_crashes(kinds: str) -> tuple[RunLoss, ...]:
    """Build the crashes under one task: certain ones (c) and possible ones (p).

    Each but the first run was alone.
    """
    return tuple(
        make_loss(f"s{number}", alone=number > 0, began=kind == "c")
        for number, kind in enumerate(kinds)
    )


def test_crash_of_one_server_counts_once() -> None:
    """Guards against a task that is given up because a crash is reported twice."""
    crash = make_loss("s1", alone=True)
    losses = merge_losses((), (crash, crash, make_loss("s1", UNKNOWN)))
    assert losses == (crash,)


def test_known_fate_replaces_an_unknown_one() -> None:
    """Guards against a suspect that is never cleared after a cut."""
    lost = make_loss("s1", UNKNOWN)
    assert merge_losses((lost,), (make_loss("s1"),)) == (make_loss("s1"),)
    assert merge_losses((lost,), (make_loss("s1", SURVIVED),)) == ()


@pytest.mark.parametrize(
    ("losses", "guilty"),
    [
        ([make_loss("s1")], False),
        ([make_loss("s1"), make_loss("s2")], False),
        ([make_loss("s1"), make_loss("s2", UNKNOWN, alone=True)], False),
        ([make_loss("s1"), make_loss("s2", task=1, alone=True)], False),
        ([make_loss("s1"), make_loss("s2", alone=True)], True),
    ],
)
def test_only_a_second_crash_alone_proves_guilt(
    losses: list[RunLoss], guilty: bool
) -> None:
    """Guards against an innocent task that is given up with a deadly one."""
    assert is_guilty(tuple(losses), 0) is guilty


@pytest.mark.parametrize("kinds", ["c", "cp", "pc", "ppp", "cpp", "pcp"])
def test_crash_that_may_have_come_before_the_run_is_no_proof(kinds: str) -> None:
    """Guards against a job that is given up after one server has crashed under it."""
    assert not is_guilty(make_crashes(kinds), 0)


@pytest.mark.parametrize("kinds", ["cc", "cpc", "pcc", "pppp", "cppp", "ppcp"])
def test_task_that_crashes_servers_before_they_answer_is_guilty(kinds: str) -> None:
    """Guards against a task that starts three times more after three crashes."""
    assert is_guilty(make_crashes(kinds), 0)


def test_done_task_is_no_suspect() -> None:
    """Guards against a job that waits for a suspect that has ended."""
    losses = (make_loss("s1"), make_loss("s1", task=1))
    assert find_suspects(losses, frozenset({0})) == {1}


def test_suspect_lost_alone_waits_longer_each_time() -> None:
    """Guards against a task that takes down server after server that never returns."""
    first = make_loss("s1", UNKNOWN, alone=True)
    second = make_loss("s2", UNKNOWN, alone=True)
    assert may_start_at((make_loss("s0", UNKNOWN),), 0) == 0
    assert may_start_at((first,), 0) == BEGIN + FATE_WAIT
    assert may_start_at((first, second), 0) == BEGIN + 2 * FATE_WAIT


def test_guilty_task_never_starts_again() -> None:
    """Guards against a start while the end of its job is being committed."""
    losses = (make_loss("s1"), make_loss("s2", alone=True))
    assert may_start_at(losses, 0) == math.inf


def test_other_tasks_are_suspects_after_the_loss_of_two_servers() -> None:
    """Guards against a job whose tasks take a server each, and against idle ones."""
    assert not is_suspect_job((make_loss("s1"), make_loss("s1", task=1)))
    assert is_suspect_job((make_loss("s1"), make_loss("s2", task=1)))


@pytest.mark.parametrize("lost_together", [*range(1, 300), 1_000, 10_000])
def test_lost_groups_shrink_until_a_suspect_runs_alone(lost_together: int) -> None:
    """Guards against a guilty task that crashes more servers than BUDGET allows.

    The worst case is a group that is lost whole each time.
    """
    size, losses = lost_together, 0
    while size > 1:
        losses += 1
        assert max_group_size(losses, size) < size
        size = max_group_size(losses, size)
    assert losses <= MAX_SHARED_LOSSES


def test_group_of_a_wide_loss_is_a_part_that_grows_with_it() -> None:
    """Guards against tasks of a lost server that start again one at a time."""
    assert [max_group_size(1, count) for count in (2, 8, 64, 256)] == [1, 4, 16, 40]
    assert [max_group_size(2, count) for count in (2, 16, 40)] == [1, 4, 6]
    assert max_group_size(MAX_SHARED_LOSSES, 10_000) == 1


@pytest.mark.parametrize(("size", "limit"), [(1, 1), (3, 1), (24, 3), (176, 26)])
def test_suspects_use_a_small_share_of_a_pool(size: int, limit: int) -> None:
    """Guards against deadly tasks that take most of the servers down."""
    assert max_isolated_servers(size) == limit


def test_wait_for_a_fate_has_a_longest() -> None:
    """Guards against an overflow, and against a task that never starts again."""
    losses = tuple(make_loss(f"s{n}", UNKNOWN, alone=True) for n in range(2000))
    assert may_start_at(losses, 0) == BEGIN + MAX_FATE_WAIT
