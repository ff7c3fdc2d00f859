"""A daemon whose placer binds each task to a backend server on arrival.

``python -m benchmarks.baseline_daemon --policy random --config FILE`` differs from
``boragetided`` in the choice of the backend server only: leases, claims, jobs and
messages are the same, so that the policies are compared in the same harness.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import singledispatch
from pathlib import Path
from typing import Any, TypeAlias

from boragetide.controllers import backend_servers
from boragetide.daemon.__main__ import make_state_machines, run_daemon
from boragetide.daemon.logs import configure_logs
from boragetide.effects import Effect, Send, StartTasks
from boragetide.messages import (
    CancelQueued,
    QueueTasks,
    TaskEnded,
    TaskReport,
    TasksQueued,
)
from boragetide.settings import load_settings
from boragetide.types import (
    Address,
    BackendServerId,
    JobId,
    Seconds,
    TaskId,
    TaskStart,
)

SEED = 1


@dataclass(slots=True)
class BaselineState:
    """State of a pool: its leases, and one queue for each backend server.

    Parameters
    ----------
    choose_server
        Returns the backend server for the next task.
    running_by_server
        Started tasks as (job, index), by task id.
    """

    pool: backend_servers.BackendServersState
    choose_server: ChooseServer
    queues_by_server: dict[BackendServerId, deque[TaskStart]] = field(
        default_factory=dict
    )
    running_by_server: dict[BackendServerId, dict[TaskId, tuple[JobId, int]]] = field(
        default_factory=dict
    )

    def count_outstanding(self, server_id: BackendServerId) -> int:
        """Return the number of tasks that are queued for or running on a server."""
        queued = len(self.queues_by_server.get(server_id, ()))
        return queued + len(self.running_by_server.get(server_id, ()))


ChooseServer: TypeAlias = Callable[
    [BaselineState, list[BackendServerId]], BackendServerId
]


def make_random() -> ChooseServer:
    """Return a policy that chooses a server uniformly at random."""
    rng = random.Random(SEED)
    return lambda state, servers: rng.choice(servers)


def make_round_robin() -> ChooseServer:
    """Return a policy that chooses the servers in turn."""
    turns: Iterator[int] = itertools.count()
    return lambda state, servers: servers[next(turns) % len(servers)]


def make_fewest_outstanding() -> ChooseServer:
    """Return a policy that chooses the server with the fewest outstanding tasks."""
    rng = random.Random(SEED)
    return lambda state, servers: min(
        servers, key=lambda server: (state.count_outstanding(server), rng.random())
    )


POLICIES = {
    "random": make_random,
    "round_robin": make_round_robin,
    "fewest_outstanding": make_fewest_outstanding,
}


@singledispatch
def handle(message: Any, state: BaselineState, now: Seconds) -> list[Effect]:
    """Apply one message to the pool."""
    raise TypeError(f"baseline cannot handle {message!r}")


@handle.register
def _(message: QueueTasks, state: BaselineState, now: Seconds) -> list[Effect]:
    servers = sorted(state.pool.servers_by_id)
    bound: set[BackendServerId] = set()
    for index, task in enumerate(message.tasks):
        server_id = state.choose_server(state, servers)
        start = TaskStart(
            f"{message.job_id}.{index}",
            message.job_id,
            message.class_name,
            task.payload,
            task.timeout,
        )
        state.queues_by_server.setdefault(server_id, deque()).append(start)
        bound.add(server_id)
    jobs = Address(state.pool.settings.id, "jobs")
    starts = [
        effect for server in sorted(bound) for effect in _start_queued(state, server)
    ]
    return [Send(jobs, TasksQueued(message.job_id)), *starts]


def _start_queued(state: BaselineState, server_id: BackendServerId) -> list[Effect]:
    leased = state.pool.servers_by_id.get(server_id)
    queue = state.queues_by_server.get(server_id)
    if leased is None or not queue:
        return []
    running = state.running_by_server.setdefault(server_id, {})
    batch = []
    while queue and len(running) < leased.server.slots:
        start = queue.popleft()
        running[start.id] = (start.job_id, int(start.id.rpartition(".")[2]))
        batch.append(start)
    if not batch:
        return []
    address, lease = leased.server.address, leased.lease
    return [StartTasks(server_id, address, lease, tuple(batch))]


@handle.register
def _(message: TaskReport, state: BaselineState, now: Seconds) -> list[Effect]:
    running = state.running_by_server.get(message.server, {})
    found = running.pop(message.task_id, None)
    if found is None:
        return []
    ended = TaskEnded(*found, message.outcome)
    jobs = Address(state.pool.settings.id, "jobs")
    return [Send(jobs, ended), *_start_queued(state, message.server)]


@handle.register
def _(message: CancelQueued, state: BaselineState, now: Seconds) -> list[Effect]:
    for server_id, queue in state.queues_by_server.items():
        kept = (start for start in queue if start.job_id != message.job_id)
        state.queues_by_server[server_id] = deque(kept)
    return []


def _delegate_to_pool(message: Any, state: BaselineState, now: Seconds) -> list[Effect]:
    """Delegate messages that are not about tasks to the product's controller."""
    return backend_servers.handle(message, state.pool, now)


for _message_type in backend_servers.handle.registry.keys() - handle.registry.keys():
    handle.register(_message_type, _delegate_to_pool)


def main() -> None:
    """Run a daemon with a baseline policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--config", type=Path, required=True)
    parser.add_argument("--policy", choices=sorted(POLICIES), required=True)
    arguments = parser.parse_args()
    settings = load_settings(arguments.config)
    configure_logs(settings.id)

    def make(*args: Any) -> dict[str, Any]:
        state_machines = make_state_machines(*args)
        _, pool = state_machines["backend_servers"]
        state = BaselineState(pool, POLICIES[arguments.policy]())
        return {**state_machines, "backend_servers": (handle, state)}

    raise SystemExit(asyncio.run(run_daemon(settings, make)))


if __name__ == "__main__":
    main()
