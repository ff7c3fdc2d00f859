"""Order of a controller's effects around records that must be durable."""

from __future__ import annotations

import asyncio
from itertools import pairwise
from typing import Any

from boragetide.daemon.effect_queue import MAX_CALLS_PER_TURN, EffectQueue
from boragetide.effects import CancelTasks, LogEvent, Persist, SaveSnapshot


class FakeDisk:
    """Records the effects it is given; `finish_syncs` completes their syncs."""

    def __init__(self) -> None:
        self.executed: list[Any] = []
        self.syncs: list[asyncio.Future[None]] = []

    def execute(self, effect: Any) -> Any:
        """Record an effect and return its sync, if the effect must be durable."""
        self.executed.append(effect)
        if not isinstance(effect, Persist | SaveSnapshot):
            return None
        self.syncs.append(asyncio.get_running_loop().create_future())
        return self.syncs[-1]

    async def finish_syncs(self) -> None:
        """Complete all syncs in progress."""
        for sync in self.syncs:
            if not sync.done():
                sync.set_result(None)
        for _ in range(3):
            await asyncio.sleep(0)


def run(scenario: Any) -> None:
    async def main() -> None:
        disk = FakeDisk()
        async with asyncio.TaskGroup() as group:
            await scenario(disk, EffectQueue(disk.execute, group))

    asyncio.run(main())


SENT = [LogEvent(f"sent {number}") for number in range(4)]
RECORDS = [Persist((number,)) for number in range(3)]


def test_effects_wait_for_the_record_before_them() -> None:
    """Guards against an answer that is sent before its record is durable."""

    async def scenario(disk: FakeDisk, queue: EffectQueue) -> None:
        queue.put([SENT[0], RECORDS[0], SENT[1]])
        assert disk.executed == [SENT[0], RECORDS[0]]
        queue.put([SENT[2]])
        assert disk.executed == [SENT[0], RECORDS[0]]
        await disk.finish_syncs()
        assert disk.executed == [SENT[0], RECORDS[0], SENT[1], SENT[2]]

    run(scenario)


def test_records_that_wait_share_the_next_sync() -> None:
    """Guards against one sync per record for messages that arrived together."""

    async def scenario(disk: FakeDisk, queue: EffectQueue) -> None:
        queue.put([RECORDS[0]])
        queue.put([RECORDS[1], SENT[1]])
        queue.put([RECORDS[2], SENT[2]])
        await disk.finish_syncs()
        assert disk.executed == [*RECORDS]
        await disk.finish_syncs()
        assert disk.executed == [*RECORDS, SENT[1], SENT[2]]

    run(scenario)


def test_snapshot_is_not_overtaken_by_later_records() -> None:
    """Guards against a snapshot that replaces records written after it."""

    async def scenario(disk: FakeDisk, queue: EffectQueue) -> None:
        snapshot = SaveSnapshot("all")
        queue.put([RECORDS[0], snapshot, RECORDS[1]])
        assert disk.executed == [RECORDS[0]]
        await disk.finish_syncs()
        assert disk.executed == [RECORDS[0], snapshot]
        await disk.finish_syncs()
        assert disk.executed == [RECORDS[0], snapshot, RECORDS[1]]
        await disk.finish_syncs()

    run(scenario)


def make_calls(count: int) -> list[CancelTasks]:
    """Build effects that each begin a call."""
    return [CancelTasks(f"s{number}", "", ()) for number in range(count)]


def test_calls_of_one_message_begin_in_several_turns() -> None:
    """Guards against hundreds of calls between two heartbeats of the log."""
    calls = make_calls(3 * MAX_CALLS_PER_TURN)

    async def scenario(disk: FakeDisk, queue: EffectQueue) -> None:
        queue.put([*calls, SENT[0]])
        queue.put([SENT[1]])
        sizes = [len(disk.executed)]
        while len(disk.executed) < len(calls) + 2:
            await asyncio.sleep(0)
            sizes.append(len(disk.executed))
        steps = [after - before for before, after in pairwise([0, *sizes])]
        assert max(steps) <= MAX_CALLS_PER_TURN + 2
        assert disk.executed == [*calls, SENT[0], SENT[1]]

    run(scenario)


def test_records_are_written_after_effects_that_take_several_turns() -> None:
    """Guards against a record that overtakes the effects before it, or is lost."""
    calls = make_calls(2 * MAX_CALLS_PER_TURN)

    async def scenario(disk: FakeDisk, queue: EffectQueue) -> None:
        queue.put([*calls, RECORDS[0], SENT[0]])
        while len(disk.executed) <= len(calls):
            await asyncio.sleep(0)
        assert disk.executed == [*calls, RECORDS[0]]
        await disk.finish_syncs()
        assert disk.executed == [*calls, RECORDS[0], SENT[0]]

    run(scenario)
