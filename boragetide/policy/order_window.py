"""Bounds the orders of one kind without an answer, so that they are given in parts.

A leader that ordered thousands of starts or stops in one go would keep the renewals of
its leases waiting behind them, and would lose its authority before the backend servers
carry them out.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeAlias

from boragetide.types import BackendServerId, JobId, Seconds

MAX_ORDERS_IN_PROGRESS = 256
# Orders go on once so many have been answered that a pass over the queue, or over the
# runs, is worth it.
RESUME_ORDERS_IN_PROGRESS = 128
# A call ends earlier; one that failed unexpectedly leaves no result.
RESULT_TIMEOUT: Seconds = 2.0

# Backend server, job, number of the task over all steps of the job, and run.
OrderKey: TypeAlias = tuple[BackendServerId, JobId, int, int]


@dataclass(slots=True)
class OrderWindow:
    """Orders in progress of one leader.

    Parameters
    ----------
    ordered_at_by_order
        Time at which each order was given.
    is_full
        Whether no other order may be given for now.
    """

    ordered_at_by_order: dict[OrderKey, Seconds] = field(default_factory=dict)
    is_full: bool = False

    def add(self, order: OrderKey, now: Seconds) -> None:
        """Record an order that is given."""
        self.ordered_at_by_order[order] = now
        if len(self.ordered_at_by_order) >= MAX_ORDERS_IN_PROGRESS:
            self.is_full = True

    def remove(self, order: OrderKey) -> bool:
        """Record the result of an order; return whether orders may go on from now."""
        self.ordered_at_by_order.pop(order, None)
        return self._reopen()

    def remove_old(self, now: Seconds) -> bool:
        """Forget the orders that have no result although they should have one.

        Returns
        -------
        bool
            Whether orders may go on from now.
        """
        old = [
            order
            for order, ordered_at in self.ordered_at_by_order.items()
            if now - ordered_at > RESULT_TIMEOUT
        ]
        for order in old:
            del self.ordered_at_by_order[order]
        return self._reopen()

    def _reopen(self) -> bool:
        was_full = self.is_full
        if len(self.ordered_at_by_order) <= RESUME_ORDERS_IN_PROGRESS:
            self.is_full = False
        return was_full and not self.is_full
