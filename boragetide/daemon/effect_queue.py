"""Executes the effects of one controller in order and groups journal syncs."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from boragetide.effects import Effect, Persist, SaveSnapshot


@dataclass(slots=True)
class EffectQueue:
    """Queue of effects that wait until an earlier effect is durable.

    Parameters
    ----------
    perform
        Executes one effect; a returned awaitable completes when the effect is durable.
    group
        Task group for the tasks that await syncs.
    waiting
        Effects that have not been executed, in order.
    is_syncing
        Whether a task is awaiting a sync.
    """

    perform: Callable[[Effect], Awaitable[None] | None]
    group: asyncio.TaskGroup
    waiting: deque[Effect] = field(default_factory=deque)
    is_syncing: bool = False

    def put(self, effects: Iterable[Effect]) -> None:
        """Execute effects after all earlier ones, at once if none of these waits."""
        self.waiting.extend(effects)
        if not self.is_syncing:
            self._advance()

    def _advance(self) -> None:
        while self.waiting:
            if isinstance(self.waiting[0], Persist | SaveSnapshot):
                self.is_syncing = True
                self.group.create_task(self._sync(self._take_records()))
                return
            self.perform(self.waiting.popleft())

    def _take_records(self) -> list[Awaitable[None]]:
        """Write all waiting records up to the next snapshot, so that they share a sync.

        A record may therefore become durable before effects that precede it.
        """
        if isinstance(self.waiting[0], SaveSnapshot):
            return [self.perform(self.waiting.popleft())]
        synced, others = [], []
        while self.waiting and not isinstance(self.waiting[0], SaveSnapshot):
            effect = self.waiting.popleft()
            if isinstance(effect, Persist):
                synced.append(self.perform(effect))
            else:
                others.append(effect)
        self.waiting.extendleft(reversed(others))
        return synced

    async def _sync(self, synced: list[Awaitable[None]]) -> None:
        for each in synced:
            await each
        self.is_syncing = False
        self._advance()
