"""Executes the effects of one controller in order and groups journal syncs."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from boragetide.effects import Effect, Persist, SaveSnapshot

_DURABLE_EFFECTS = (Persist, SaveSnapshot)


@dataclass(slots=True)
class EffectQueue:
    """Queue of effects that wait until an earlier effect is durable.

    Parameters
    ----------
    execute
        Executes one effect; a returned awaitable completes when the effect is durable.
    task_group
        Task group for the tasks that await syncs.
    waiting
        Effects that have not been executed, in order.
    is_syncing
        Whether a task is awaiting a sync.
    """

    execute: Callable[[Effect], Awaitable[None] | None]
    task_group: asyncio.TaskGroup
    waiting: deque[Effect] = field(default_factory=deque)
    is_syncing: bool = False

    def put(self, effects: Iterable[Effect]) -> None:
        """Execute effects after all earlier ones, at once if none of these waits."""
        self.waiting.extend(effects)
        if not self.is_syncing:
            self._execute_until_sync()

    def _execute_until_sync(self) -> None:
        while self.waiting:
            if isinstance(self.waiting[0], _DURABLE_EFFECTS):
                self.is_syncing = True
                self.task_group.create_task(self._await_syncs(self._write_records()))
                return
            self.execute(self.waiting.popleft())

    def _write_records(self) -> list[Awaitable[None]]:
        """Write all waiting records up to the next snapshot, so that they share a sync.

        A record may therefore become durable before effects that precede it.
        """
        if isinstance(self.waiting[0], SaveSnapshot):
            return [self.execute(self.waiting.popleft())]
        syncs, others = [], []
        while self.waiting and not isinstance(self.waiting[0], SaveSnapshot):
            effect = self.waiting.popleft()
            if isinstance(effect, Persist):
                syncs.append(self.execute(effect))
            else:
                others.append(effect)
        self.waiting.extendleft(reversed(others))
        return syncs

    async def _await_syncs(self, syncs: list[Awaitable[None]]) -> None:
        for sync in syncs:
            await sync
        self.is_syncing = False
        self._execute_until_sync()
