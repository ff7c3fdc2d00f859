"""Decides which request bodies a process holds, and which it discards when full.

All HTTP servers of a process share one budget. Bodies above a certain size may not
use the part that is reserved for small ones, so that ordinary callers are served while
large bodies compete for the rest. When the budget is used up, the unfinished body that
has gone longest without progress is discarded first. A body that was handed over to be
handled is never discarded, because its job may have started.

A body is charged from `receive` or `hand_over` until `release`. In between, `discard`
ends the charge of a body whose remaining bytes still have to be read.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import TypeAlias

from boragetide.types import Seconds

BodyId: TypeAlias = Hashable

# Parts of the budget that are reserved for small bodies.
RESERVED_SHARE = 0.125
# A job with a `spec` of 4,000 bytes and all of its steps stays below this size.
SMALL_BODY = 64 * 1024  # bytes
# A handed over body exists twice: in the buffer in which it was received, which tornado
# keeps until the response is sent, and as the body that is parsed or its parsed form.
HANDED_OVER_FACTOR = 2


@dataclass(slots=True)
class UnfinishedBody:
    """A body of which a part has arrived.

    Parameters
    ----------
    received
        Bytes that are held.
    began_at, progressed_at
        Times at which the first and the last bytes arrived.
    """

    received: int
    began_at: Seconds
    progressed_at: Seconds


@dataclass(slots=True)
class BodyBudget:
    """Bytes that the bodies of a process use.

    Parameters
    ----------
    limit
        Most bytes in use.
    small_by_id, large_by_id
        Unfinished bodies up to `SMALL_BODY` and above it. Those without progress for
        longest come first.
    discarded_by_id
        Unfinished bodies of which nothing is held, because they are too large or there
        was no room for them; those without progress for longest come first. What still
        arrives is not kept.
    handed_over_by_id
        Bytes charged for bodies that are being handled.
    used
        Bytes in use.
    used_by_large
        Those of them that bodies above `SMALL_BODY` use.
    """

    limit: int
    small_by_id: OrderedDict[BodyId, UnfinishedBody] = field(
        default_factory=OrderedDict
    )
    large_by_id: OrderedDict[BodyId, UnfinishedBody] = field(
        default_factory=OrderedDict
    )
    discarded_by_id: OrderedDict[BodyId, UnfinishedBody] = field(
        default_factory=OrderedDict
    )
    handed_over_by_id: dict[BodyId, int] = field(default_factory=dict)
    used: int = 0
    used_by_large: int = 0

    @property
    def limit_of_large(self) -> int:
        """Most bytes that bodies above `SMALL_BODY` may use together."""
        return self.limit - int(self.limit * RESERVED_SHARE)


def compute_smallest_limit(body_bytes: int) -> int:
    """Return the least limit with which a body of ``body_bytes`` can be handled."""
    return int(body_bytes * HANDED_OVER_FACTOR / (1 - RESERVED_SHARE)) + 1


def receive(
    budget: BodyBudget, body_id: BodyId, size: int, now: Seconds
) -> list[BodyId]:
    """Charge bytes that arrived, and return the bodies to discard for them.

    These are no longer charged. The list contains ``body_id`` itself if no other body
    can make room for it.
    """
    body = _take_unfinished(budget, body_id)
    received = size + (0 if body is None else body.received)
    began_at = now if body is None else body.began_at
    is_large = received > SMALL_BODY
    by_id = budget.large_by_id if is_large else budget.small_by_id
    by_id[body_id] = UnfinishedBody(received, began_at, now)
    _charge(budget, received, is_large)
    return _make_room(budget, is_large)


def discard(
    budget: BodyBudget, body_id: BodyId, now: Seconds, began_at: Seconds | None = None
) -> None:
    """Hold nothing of a body, and discard what arrives of it.

    Parameters
    ----------
    began_at
        Time at which its first bytes arrived, if the budget has no record of it.
    """
    body = _take_unfinished(budget, body_id)
    if body is not None:
        began_at = body.began_at
    elif began_at is None:
        began_at = now
    budget.discarded_by_id[body_id] = UnfinishedBody(0, began_at, now)


def hand_over(
    budget: BodyBudget, body_id: BodyId, size: int
) -> tuple[bool, list[BodyId]]:
    """Charge a complete body that is about to be handled.

    Parameters
    ----------
    size
        Bytes of the body, which need not have been passed to `receive`.

    Returns
    -------
    bool
        Whether it can be handled. If not, it is no longer charged and must be refused.
    list[BodyId]
        Unfinished bodies to discard for it, which are no longer charged.
    """
    _take_unfinished(budget, body_id)
    is_large = size > SMALL_BODY
    charged = size * HANDED_OVER_FACTOR
    _charge(budget, charged, is_large)
    if not _can_make_room(budget, is_large):
        _charge(budget, -charged, is_large)
        return False, []
    budget.handed_over_by_id[body_id] = charged
    return True, _make_room(budget, is_large)


def release(budget: BodyBudget, body_id: BodyId) -> None:
    """Stop charging a body, whether it is unfinished or was handed over."""
    charged = budget.handed_over_by_id.pop(body_id, None)
    if charged is None:
        _take_unfinished(budget, body_id)
    else:
        _charge(budget, -charged, charged > SMALL_BODY * HANDED_OVER_FACTOR)


def find_stalest(budget: BodyBudget) -> BodyId | None:
    """Return the unfinished body without progress for longest, if there is one."""
    return _find_stalest(budget.small_by_id, budget.large_by_id, budget.discarded_by_id)


def _find_stalest(*tables: OrderedDict[BodyId, UnfinishedBody]) -> BodyId | None:
    heads = [
        (body.progressed_at, body_id)
        for by_id in tables
        for body_id, body in _get_first(by_id)
    ]
    return min(heads, key=lambda head: head[0])[1] if heads else None


def find_overdue(budget: BodyBudget, timeout: Seconds, now: Seconds) -> list[BodyId]:
    """Return the unfinished bodies whose first byte arrived over ``timeout`` ago."""
    return [
        body_id
        for by_id in (budget.small_by_id, budget.large_by_id, budget.discarded_by_id)
        for body_id, body in by_id.items()
        if now - body.began_at > timeout
    ]


def _get_first(
    by_id: OrderedDict[BodyId, UnfinishedBody],
) -> list[tuple[BodyId, UnfinishedBody]]:
    return [next(iter(by_id.items()))] if by_id else []


def _take_unfinished(budget: BodyBudget, body_id: BodyId) -> UnfinishedBody | None:
    """Remove an unfinished body, which is no longer charged, and return it."""
    for by_id, is_large in (
        (budget.small_by_id, False),
        (budget.large_by_id, True),
        (budget.discarded_by_id, False),
    ):
        body = by_id.pop(body_id, None)
        if body is not None:
            _charge(budget, -body.received, is_large)
            return body
    return None


def _charge(budget: BodyBudget, size: int, is_large: bool) -> None:
    budget.used += size
    if is_large:
        budget.used_by_large += size


def _has_excess(budget: BodyBudget, is_large: bool) -> bool:
    if is_large and budget.used_by_large > budget.limit_of_large:
        return True
    return budget.used > budget.limit


def _can_make_room(budget: BodyBudget, is_large: bool) -> bool:
    """Return whether the budget suffices, at least without any unfinished body."""
    if not _has_excess(budget, is_large):
        return True
    large = sum(body.received for body in budget.large_by_id.values())
    small = sum(body.received for body in budget.small_by_id.values())
    if is_large and budget.used_by_large - large > budget.limit_of_large:
        return False
    return budget.used - large - small <= budget.limit


def _make_room(budget: BodyBudget, is_large: bool) -> list[BodyId]:
    """Release unfinished bodies until the budget suffices, or none is left."""
    released: list[BodyId] = []
    while _has_excess(budget, is_large):
        if is_large and budget.used_by_large > budget.limit_of_large:
            stalest = next(iter(budget.large_by_id), None)
        else:
            stalest = _find_stalest(budget.small_by_id, budget.large_by_id)
        if stalest is None:
            break
        release(budget, stalest)
        released.append(stalest)
    return released
