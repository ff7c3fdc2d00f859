"""Executes the effects of one controller in order and groups journal syncs.

One message may cause thousands of effects. They are executed in parts, so that the
event loop sends the heartbeats of the log and receives messages in between.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from boragetide.daemon.clock import read_clock
from boragetide.effects import (
    CancelTasks,
    Effect,
    Persist,
    ReadRuns,
    SaveSnapshot,
    StartRun,
    StartTasks,
    StopRun,
)
from boragetide.types import Seconds

_DURABLE_EFFECTS = (Persist, SaveSnapshot)
# Each of them begins an HTTP call in the next turn of the event loop.
_CALL_EFFECTS = (StartRun, StopRun, ReadRuns, StartTasks, CancelTasks)
# Most calls that begin in one turn of the event loop. Each takes about a millisecond.
MAX_CALLS_PER_TURN = 16
# Time after which the execution of effects goes on in the next turn.
MAX_TURN: Seconds = 0.01


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
    is_waiting
        Whether a task is awaiting a sync, or the next turn of the event loop.
    """

    execute: Callable[[Effect], Awaitable[None] | None]
    task_group: asyncio.TaskGroup
    waiting: deque[Effect] = field(default_factory=deque)
    is_waiting: bool = False

    def put(self, effects: Iterable[Effect]) -> None:
        """Execute effects after all earlier ones, at once if none of these waits."""
        self.waiting.extend(effects)
        if not self.is_waiting:
            self._execute_part()

    def _execute_part(self) -> None:
        """Execute effects up to the next sync, or as many as one turn may have."""
        calls = 0
        began = read_clock()
        while self.waiting:
            if isinstance(self.waiting[0], _DURABLE_EFFECTS):
                self.is_waiting = True
                self.task_group.create_task(self._await_syncs(self._write_records()))
                return
            if calls >= MAX_CALLS_PER_TURN or read_clock() - began > MAX_TURN:
                self.is_waiting = True
                self.task_group.create_task(self._await_turn())
                return
            effect = self.waiting.popleft()
            calls += isinstance(effect, _CALL_EFFECTS)
            self.execute(effect)

    async def _await_turn(self) -> None:
        await asyncio.sleep(0)
        self.is_waiting = False
        self._execute_part()

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
        self.is_waiting = False
        self._execute_part()
