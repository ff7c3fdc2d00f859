"""Leases of the backend servers at one instance."""

from __future__ import annotations

from typing import Any

import pytest

from boragetide.controllers.backend_servers import BackendServersState, handle
from boragetide.effects import Reply, Send, StartTasks
from boragetide.messages import (
    AnnounceBackendServer,
    LeaseGranted,
    LeaseRefused,
    PlacerChanged,
    QueueTasks,
    TaskEnded,
    TaskReport,
    TasksRefused,
    Tick,
)
from boragetide.settings import Settings
from boragetide.types import BackendServer, ReplyTo, Task, TaskOutcome, TaskStatus

REPLY_TO = ReplyTo("a1", 1)
DONE = TaskOutcome(TaskStatus.DONE)


@pytest.fixture
def pool(settings: Settings) -> BackendServersState:
    """A pool whose instance is the placer of its zone."""
    state = BackendServersState(settings, 1)
    handle(PlacerChanged("a1"), state, 0.0)
    return state


def announce(
    pool: BackendServersState, now: float, lease: str | None, **changes: Any
) -> LeaseGranted | LeaseRefused:
    fence = changes.pop("fence", False)
    fields = {"address": "http://s1", "zone": "a", "rack": "r", "slots": 1}
    fields |= {"connections": 1, "cores": 1.0, "memory": 1, **changes}
    server = BackendServer("s1", **fields)
    message = AnnounceBackendServer(server, lease, fence, reply_to=REPLY_TO)
    replies = [e for e in handle(message, pool, now) if isinstance(e, Reply)]
    return replies[0].message


def join(pool: BackendServersState, now: float) -> str:
    """Announce and confirm the lease."""
    lease = announce(pool, now, "").lease
    announce(pool, now, lease)
    return lease


def queue(pool: BackendServersState, now: float, tasks: int = 1) -> list[Any]:
    message = QueueTasks("job", "default", (Task({}),) * tasks, idempotent=False)
    return handle(message, pool, now)


def find_starts(effects: list[Any]) -> list[StartTasks]:
    return [effect for effect in effects if isinstance(effect, StartTasks)]


def find_ended(effects: list[Any]) -> list[Any]:
    sent = [effect.message for effect in effects if isinstance(effect, Send)]
    return [m for m in sent if isinstance(m, TaskEnded | TasksRefused)]


def test_task_of_a_lost_server_ends_as_unknown(pool: BackendServersState) -> None:
    """Guards against a task that never ends because its server stopped answering."""
    join(pool, 0.0)
    assert find_starts(queue(pool, 0.0))
    assert find_ended(handle(Tick(), pool, 6.1)) == []
    ended = find_ended(handle(Tick(), pool, 12.3))
    assert [message.outcome.status for message in ended] == [TaskStatus.UNKNOWN]


def test_late_result_under_a_retired_lease_counts(pool: BackendServersState) -> None:
    """Guards against an unknown outcome although the result arrived."""
    lease = join(pool, 0.0)
    queue(pool, 0.0)
    handle(Tick(), pool, 6.1)
    report = TaskReport("s1", lease, "job.0", DONE)
    assert [m.outcome for m in find_ended(handle(report, pool, 7.0))] == [DONE]
    assert find_ended(handle(Tick(), pool, 13.0)) == []


@pytest.mark.parametrize(
    ("lease", "changes"), [("", {}), (None, {"address": "http://other"})]
)
def test_restarted_server_gets_a_new_lease(
    pool: BackendServersState, lease: str | None, changes: dict[str, str]
) -> None:
    """Guards against a restarted server that accepts dispatches to its old process."""
    first = join(pool, 0.0)
    assert announce(pool, 1.0, first).lease == first
    assert announce(pool, 2.0, lease, **changes).lease != first


def test_nothing_starts_before_the_server_knows_its_lease(
    pool: BackendServersState,
) -> None:
    """Guards against a dispatch that arrives before the lease and is refused."""
    queue(pool, 0.0)
    granted = announce(pool, 0.0, "")
    assert pool.queued_tasks
    assert granted.renew_every < 0.1
    announce(pool, 0.0, granted.lease)
    assert not pool.queued_tasks


def test_older_announcement_does_not_undo_leaving(pool: BackendServersState) -> None:
    """Guards against new tasks on a leaving server after a late announcement."""
    lease = join(pool, 0.0)
    announce(pool, 1.0, lease, leaving=True)
    announce(pool, 1.1, lease)
    assert find_starts(queue(pool, 1.2)) == []


@pytest.mark.parametrize("lease", ["", None])
def test_next_process_of_a_server_that_left_gets_tasks(
    pool: BackendServersState, lease: str | None
) -> None:
    """Guards against a restarted server that counts as leaving."""
    announce(pool, 1.0, join(pool, 0.0), leaving=True)
    granted = announce(pool, 2.0, lease).lease
    if lease is not None:
        announce(pool, 2.1, granted)
    assert find_starts(queue(pool, 2.2))


def test_leaving_server_gets_no_task(pool: BackendServersState) -> None:
    """Guards against new tasks on a server that has announced that it is leaving."""
    lease = join(pool, 0.0)
    announce(pool, 1.0, lease, leaving=True)
    assert find_starts(queue(pool, 1.0)) == []


def test_only_the_placer_grants_leases(pool: BackendServersState) -> None:
    """Guards against an instance that leases servers although it is not the placer."""
    handle(PlacerChanged("a2"), pool, 0.0)
    assert isinstance(announce(pool, 0.0, ""), LeaseRefused)
    assert isinstance(announce(pool, 0.0, "", fence=True), LeaseGranted)


def test_former_placer_keeps_its_servers_until_its_queue_is_started(
    pool: BackendServersState,
) -> None:
    """Guards against queued tasks that never start after the placer role moved."""
    lease = join(pool, 0.0)
    queue(pool, 0.0, tasks=2)
    handle(PlacerChanged("a2"), pool, 1.0)
    assert announce(pool, 3.0, lease).lease == lease
    starts = find_starts(handle(TaskReport("s1", lease, "job.1", DONE), pool, 3.1))
    assert [start.tasks[0].id for start in starts] == ["job.0"]
    assert isinstance(announce(pool, 3.2, lease), LeaseRefused)
    assert find_ended(handle(TaskReport("s1", lease, "job.0", DONE), pool, 3.5))


def test_job_on_an_instance_without_servers_is_refused(
    pool: BackendServersState,
) -> None:
    """Guards against a job that waits forever at an instance that gets no servers."""
    handle(PlacerChanged("a2"), pool, 0.0)
    queue(pool, 1.0)
    assert find_ended(handle(Tick(), pool, 6.9)) == []
    assert [type(m) for m in find_ended(handle(Tick(), pool, 7.1))] == [TasksRefused]
