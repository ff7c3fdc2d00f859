"""Decisions on request bodies when many of them are held."""

from __future__ import annotations

from boragetide.policy.body_budget import (
    HANDED_OVER_FACTOR,
    SMALL_BODY,
    BodyBudget,
    compute_smallest_limit,
    discard,
    find_overdue,
    find_stalest,
    hand_over,
    receive,
    release,
)

LIMIT = 16 * SMALL_BODY
LARGE = 4 * SMALL_BODY


def test_stalest_large_body_is_dropped_first() -> None:
    """Guards against a budget that drops a body which still arrives."""
    budget = BodyBudget(LIMIT)
    for number in range(3):
        assert receive(budget, number, LARGE, now=number) == []
    receive(budget, 0, 1, now=3.0)
    assert receive(budget, "new", LARGE, now=4.0) == [1]
    assert set(budget.large_by_id) == {0, 2, "new"}


def test_large_bodies_leave_the_reserved_part_to_small_ones() -> None:
    """Guards against large bodies that keep ordinary callers from being served."""
    budget = BodyBudget(LIMIT)
    for number in range(20):
        receive(budget, number, LARGE, now=number)
    assert budget.used_by_large <= budget.limit_of_large
    unfinished = set(budget.large_by_id)
    reserved = LIMIT - budget.limit_of_large
    assert receive(budget, "small", reserved // 2, now=20.0) == []
    assert hand_over(budget, "small", reserved // 2) == (True, [])
    assert set(budget.large_by_id) == unfinished


def test_small_bodies_that_stop_are_dropped_for_new_ones() -> None:
    """Guards against a crowd of small unfinished bodies that uses up the budget."""
    budget = BodyBudget(LIMIT)
    count = LIMIT // SMALL_BODY
    dropped = []
    for number in range(count + 3):
        dropped += receive(budget, number, SMALL_BODY, now=number)
    assert dropped == [0, 1, 2]
    assert budget.used == LIMIT


def test_body_that_nothing_can_make_room_for_is_dropped_itself() -> None:
    """Guards against a single body that exceeds the budget."""
    budget = BodyBudget(LIMIT)
    assert receive(budget, "one", LIMIT, now=0.0) == ["one"]
    assert budget.used == budget.used_by_large == 0


def test_handed_over_body_is_never_dropped() -> None:
    """Guards against a refusal with `not_run` of a body whose job may have begun."""
    budget = BodyBudget(LIMIT)
    receive(budget, "handled", LARGE, now=0.0)
    assert hand_over(budget, "handled", LARGE) == (True, [])
    dropped = []
    for number in range(20):
        dropped += receive(budget, number, LARGE, now=1.0 + number)
    assert "handled" not in dropped
    assert budget.used <= LIMIT
    release(budget, "handled")
    for number in list(budget.large_by_id):
        release(budget, number)
    assert budget.used == budget.used_by_large == 0


def test_complete_body_is_refused_if_the_handled_ones_use_the_budget() -> None:
    """Guards against complete bodies that wait without a limit."""
    budget = BodyBudget(LIMIT)
    accepted = []
    for number in range(20):
        receive(budget, number, LARGE, now=number)
        accepted.append(hand_over(budget, number, LARGE)[0])
    assert True in accepted
    assert False in accepted
    assert budget.used_by_large <= budget.limit_of_large
    charged = sum(budget.handed_over_by_id.values())
    assert budget.used == charged == accepted.count(True) * LARGE * HANDED_OVER_FACTOR


def test_largest_body_is_handled_when_the_process_is_idle() -> None:
    """Guards against a limit that refuses a body within the interface's bounds."""
    size = 8 * 1024 * 1024
    budget = BodyBudget(compute_smallest_limit(size))
    for _ in range(128):
        assert receive(budget, "one", size // 128, now=0.0) == []
    assert hand_over(budget, "one", size) == (True, [])
    release(budget, "one")
    assert budget.used == 0


def test_stalest_body_is_found_among_both_sizes() -> None:
    """Guards against small bodies that are dropped before staler large ones."""
    budget = BodyBudget(LIMIT)
    assert find_stalest(budget) is None
    receive(budget, "large", LARGE, now=1.0)
    receive(budget, "small", 10, now=2.0)
    assert find_stalest(budget) == "large"
    receive(budget, "large", 10, now=3.0)
    assert find_stalest(budget) == "small"


def test_body_that_arrives_too_slowly_is_found() -> None:
    """Guards against a client that sends a byte at a time for ever."""
    budget = BodyBudget(LIMIT)
    receive(budget, "slow", 1, now=0.0)
    receive(budget, "slow", LARGE, now=5.0)
    receive(budget, "later", 1, now=5.0)
    assert find_overdue(budget, timeout=6.0, now=6.0) == []
    assert find_overdue(budget, timeout=6.0, now=7.0) == ["slow"]


def test_discarded_body_uses_nothing_and_can_be_dropped() -> None:
    """Guards against a body above the limit that nothing ends."""
    budget = BodyBudget(LIMIT)
    receive(budget, "above", LARGE, now=0.0)
    discard(budget, "above", now=4.0)
    assert budget.used == budget.used_by_large == 0
    assert find_stalest(budget) == "above"
    assert find_overdue(budget, timeout=5.0, now=6.0) == ["above"]


def test_discarded_body_is_not_dropped_to_make_room() -> None:
    """Guards against the loss of refusals of bodies that hold nothing."""
    budget = BodyBudget(LIMIT)
    discard(budget, "discarded", now=1.0, began_at=0.0)
    for number in range(LIMIT // SMALL_BODY):
        assert receive(budget, number, SMALL_BODY, now=2.0) == []
    assert receive(budget, "new", SMALL_BODY, now=3.0) == [0]
    assert find_overdue(budget, timeout=1.5, now=2.0) == ["discarded"]


def test_body_that_cannot_be_handled_costs_no_other_body() -> None:
    """Guards against unfinished bodies that are dropped for one that is refused."""
    budget = BodyBudget(LIMIT)
    hand_over(budget, "handled", 5 * SMALL_BODY)
    receive(budget, "unfinished", 2 * SMALL_BODY, now=0.0)
    assert hand_over(budget, "complete", 3 * SMALL_BODY) == (False, [])
    assert find_stalest(budget) == "unfinished"
    assert hand_over(budget, "smaller", 2 * SMALL_BODY) == (True, ["unfinished"])
    assert budget.used == 14 * SMALL_BODY
