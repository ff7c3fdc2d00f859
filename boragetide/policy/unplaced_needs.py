"""Needs for which no backend server had room earlier in the same pass."""

from __future__ import annotations

from boragetide.durable import Resources, Step
from boragetide.types import PoolName


class UnplacedNeeds:
    """What could not be placed in a pass, however late its job is.

    A pass only takes resources, so that a task that needs as much cannot be placed
    later in it either.
    """

    def __init__(self) -> None:
        self._needs_by_pool_and_label: dict[tuple[PoolName, str], list[Resources]] = {}

    def add(self, pool: PoolName, step: Step) -> None:
        """Record that no backend server has room for a task of a step."""
        key = pool, step.required_label
        self._needs_by_pool_and_label.setdefault(key, []).append(step.needs)

    def cover(self, pool: PoolName, step: Step) -> bool:
        """Return whether it is known that a task of a step cannot be placed."""
        if not self._needs_by_pool_and_label:
            return False
        return any(
            needs.fits_in(step.needs)
            for label in dict.fromkeys(("", step.required_label))
            for needs in self._needs_by_pool_and_label.get((pool, label), ())
        )
