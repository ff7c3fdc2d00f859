"""Which tasks are suspected of crashing the backend servers that run them.

A crash puts all tasks that ran on the backend server under suspicion. Most of them, or
all, are innocent. They are divided among backend servers on which only suspects run,
as in adaptive group testing: whatever ends there is cleared, and the next crash leaves
fewer suspects, which run in smaller groups, and in the end alone. A task is given up
only after a crash under it alone.

A run whose start was neither answered nor listed may not have begun: the backend server
may have been down already. A crash under such a run is possible, but not certain. A
task may also crash each backend server before it answers, so that possible crashes
count as well, but less.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Set

from boragetide.durable import LossFate, RunLoss
from boragetide.policy.exponential_wait import grow_wait
from boragetide.types import Seconds

Losses = tuple[RunLoss, ...]

# A task is given up after this many certain crashes, the last of them while it ran
# alone.
MAX_CRASHES = 2
# It is also given up after this many crashes, certain or possible.
MAX_POSSIBLE_CRASHES = 4
# A suspect runs beside others until runs of it were lost with this many backend
# servers, so that a task that crashes them is started five times at most, although a
# new leader may not know of one loss.
MAX_SHARED_LOSSES = 3
# A suspect that was lost while it ran alone starts again only when the fate of that
# backend server is known, or after this time. The wait doubles with each such loss.
FATE_WAIT: Seconds = 10.0
MAX_FATE_WAIT: Seconds = 3600.0
# Share of the backend servers of a pool that may be set apart for suspects.
MAX_ISOLATED_SHARE = 0.15
# As long as no lost group awaits its fate, it may be this share if the servers are
# empty, because most suspects are innocent.
MAX_EMPTY_ISOLATED_SHARE = 0.5
# All tasks of a job run as its suspects do once runs of it were lost with this many
# backend servers.
SUSPECT_JOB_SERVER_COUNT = 2
# The suspects of a job run alone once this many groups of them were lost and none of
# its tasks has been done.
MAX_LOST_GROUPS = 2
_ROUNDING_MARGIN = 1e-9  # absolute error of a computed group size


def merge_losses(known: Losses, new: Iterable[RunLoss]) -> Losses:
    """Return the losses after an update; the update is idempotent.

    A known fate replaces an unknown one. The loss of a run whose backend server has
    survived is removed.
    """
    by_key = {loss.key: loss for loss in known}
    for loss in new:
        current = by_key.get(loss.key)
        if current is None or current.fate is LossFate.UNKNOWN:
            by_key[loss.key] = loss
    return tuple(loss for loss in by_key.values() if loss.fate is not LossFate.SURVIVED)


def find_suspects(losses: Losses, done: Set[int]) -> set[int]:
    """Return the tasks that are not done and of which a run was lost."""
    return {loss.task for loss in losses if loss.task not in done}


def count_crashes(losses: Losses, task: int) -> int:
    """Return the number of backend servers that have crashed under a task."""
    return len(_list_crashes(losses, task))


def count_certain_crashes(losses: Losses, task: int) -> int:
    """Return the number of backend servers that certainly ran a task and crashed."""
    return len(_list_certain(_list_crashes(losses, task)))


def is_guilty(losses: Losses, task: int) -> bool:
    """Return whether a task is to blame for crashes of the servers that run it."""
    crashes = _list_crashes(losses, task)
    return _is_last_alone(_list_certain(crashes), MAX_CRASHES) or _is_last_alone(
        crashes, MAX_POSSIBLE_CRASHES
    )


def _is_last_alone(crashes: list[RunLoss], count: int) -> bool:
    """Return whether there are enough crashes, the last of them under one run alone."""
    return len(crashes) >= count and crashes[-1].alone


def _list_certain(crashes: list[RunLoss]) -> list[RunLoss]:
    return [crash for crash in crashes if crash.began]


def _list_crashes(losses: Losses, task: int) -> list[RunLoss]:
    return [
        loss for loss in losses if loss.task == task and loss.fate is LossFate.CRASHED
    ]


def awaits_fate(loss: RunLoss, now: Seconds) -> bool:
    """Return whether the fate of a backend server may still become known."""
    return loss.fate is LossFate.UNKNOWN and now < loss.lost_at + FATE_WAIT


def may_start_at(losses: Losses, task: int) -> Seconds:
    """Return the time from which a suspect may start again; never if it is guilty."""
    if is_guilty(losses, task):
        return math.inf
    open_losses = [
        loss
        for loss in losses
        if loss.task == task and loss.alone and loss.fate is LossFate.UNKNOWN
    ]
    if not open_losses:
        return 0.0
    wait = grow_wait(FATE_WAIT, len(open_losses) - 1, MAX_FATE_WAIT)
    return open_losses[-1].lost_at + wait


def group_by_task(losses: Losses) -> dict[int, Losses]:
    """Return the losses of each task, oldest first."""
    by_task: defaultdict[int, list[RunLoss]] = defaultdict(list)
    for loss in losses:
        by_task[loss.task].append(loss)
    return {task: tuple(of_task) for task, of_task in by_task.items()}


def is_suspect_job(losses: Losses) -> bool:
    """Return whether all tasks of a job are treated as its suspects are.

    Several tasks of such a job may crash their backend servers.
    """
    return len({loss.process for loss in losses}) >= SUSPECT_JOB_SERVER_COUNT


def max_group_size(loss_count: int, lost_together: int) -> int:
    """Return how many suspects may run together with a suspect, itself included.

    With ``n`` tasks lost together and ``k`` further groups until a suspect runs alone,
    groups of ``n ** (k / (k + 1))`` tasks shrink by the same factor each time. The
    number of crashes that one guilty task causes is thus bounded, whatever ``n`` is.

    Parameters
    ----------
    loss_count
        Number of backend servers with which runs of the suspect were lost.
    lost_together
        Number of suspects that were lost with the last of them.
    """
    groups_left = max(MAX_SHARED_LOSSES - loss_count, 0)
    size = lost_together ** (groups_left / (groups_left + 1))
    return max(1, math.floor(size + _ROUNDING_MARGIN))


def max_isolated_servers(pool_size: int) -> int:
    """Return how many backend servers of a pool suspects may use at a time."""
    return max(1, math.floor(pool_size * MAX_ISOLATED_SHARE))


def max_empty_isolated_servers(pool_size: int) -> int:
    """Return how many suspects may use if no server has to be emptied for them."""
    return max(1, math.floor(pool_size * MAX_EMPTY_ISOLATED_SHARE))
