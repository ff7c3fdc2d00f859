"""Sorted list of waiting jobs that skips those that need too much."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Sequence
from dataclasses import dataclass
from functools import reduce

from boragetide.durable import Resources
from boragetide.types import JobId, Seconds

# Sort key and id of a waiting job.
Entry = tuple[Seconds, JobId]

# Number of entries above which a block is split in two.
MAX_BLOCK_SIZE = 512


@dataclass(slots=True)
class _Block:
    """Consecutive entries of the list.

    Parameters
    ----------
    needs
        Least resources that each entry needs.
    least
        Resources that every entry needs at least.
    is_exact
        Whether ``least`` is the minimum of ``needs``; it may be lower after a removal.
    """

    entries: list[Entry]
    needs: list[Resources]
    least: Resources
    is_exact: bool = True

    def update_least(self) -> None:
        """Determine the minimum again."""
        self.least = reduce(Resources.minimum, dict.fromkeys(self.needs))
        self.is_exact = True


class DemandList:
    """Entries in order, with the least resources that each of them needs.

    A search skips whole blocks of entries of which each needs more than any backend
    server has.
    """

    def __init__(self) -> None:
        self._blocks: list[_Block] = []
        self._last_entries: list[Entry] = []

    def __bool__(self) -> bool:
        return bool(self._blocks)

    def find_least_millicores(self) -> int:
        """Return a number of millicores that each entry needs at least."""
        return min(block.least.millicores for block in self._blocks)

    def add(self, entry: Entry, needs: Resources) -> None:
        """Insert an entry."""
        if not self._blocks:
            self._blocks.append(_Block([entry], [needs], needs))
            self._last_entries.append(entry)
            return
        position = bisect_left(self._last_entries, entry)
        position = min(position, len(self._blocks) - 1)
        block = self._blocks[position]
        index = bisect_left(block.entries, entry)
        block.entries.insert(index, entry)
        block.needs.insert(index, needs)
        block.least = block.least.minimum(needs)
        self._last_entries[position] = block.entries[-1]
        if len(block.entries) > MAX_BLOCK_SIZE:
            self._split(position)

    def _split(self, position: int) -> None:
        block = self._blocks[position]
        middle = len(block.entries) // 2
        upper = _Block(block.entries[middle:], block.needs[middle:], block.least)
        del block.entries[middle:], block.needs[middle:]
        block.update_least()
        upper.update_least()
        self._blocks.insert(position + 1, upper)
        self._last_entries[position : position + 1] = [
            block.entries[-1],
            upper.entries[-1],
        ]

    def remove(self, entry: Entry) -> None:
        """Remove an entry that is in the list."""
        position = bisect_left(self._last_entries, entry)
        block = self._blocks[position]
        index = block.entries.index(entry, bisect_left(block.entries, entry))
        del block.entries[index], block.needs[index]
        block.is_exact = False
        if block.entries:
            self._last_entries[position] = block.entries[-1]
        else:
            del self._blocks[position], self._last_entries[position]

    def find_next(
        self, after: Entry | None, capacities: Sequence[Resources]
    ) -> Entry | None:
        """Return the next entry whose needs fit in one of the capacities.

        Parameters
        ----------
        after
            Entry after which the search begins, or ``None`` for the beginning.
        """
        position = 0 if after is None else bisect_right(self._last_entries, after)
        for block in self._blocks[position:]:
            found = _find_in_block(block, after, capacities)
            if found is not None:
                return found
        return None


def _find_in_block(
    block: _Block, after: Entry | None, capacities: Sequence[Resources]
) -> Entry | None:
    if not _fits_any(block.least, capacities):
        return None
    begin = 0 if after is None else bisect_right(block.entries, after)
    for index in range(begin, len(block.entries)):
        if _fits_any(block.needs[index], capacities):
            return block.entries[index]
    if not block.is_exact:
        block.update_least()
    return None


def _fits_any(needs: Resources, capacities: Sequence[Resources]) -> bool:
    return any(needs.fits_in(capacity) for capacity in capacities)
