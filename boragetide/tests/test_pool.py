"""The pool controller: placement, cancellation, deadlines and limits of servers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from boragetide.controllers.backend_servers import BackendServersState, handle
from boragetide.effects import CancelTasks, Effect, LogEvent, Send, StartTasks
from boragetide.messages import (
    AnnounceBackendServer,
    CancelQueued,
    ConfigurationChanged,
    QueueTasks,
    TaskEnded,
    TaskReport,
    TasksRefused,
    Tick,
)
from boragetide.settings import Settings
from boragetide.tests.pool_fixtures import NOW, describe_server, make_placer
from boragetide.types import (
    Configuration,
    Task,
    TaskOutcome,
    TaskStatus,
)


@pytest.fixture
def pool(settings: Settings) -> BackendServersState:
    """A placer without backend servers."""
    return make_placer(settings)


@pytest.fixture
def apply(pool: BackendServersState) -> Callable[..., list[Effect]]:
    """Return a function that applies a message to the pool."""
    return lambda message, now=NOW: handle(message, pool, now)


def queue(job_id: str, *sizes: float, **options: Any) -> QueueTasks:
    """Build the request to queue a job with tasks of these declared sizes."""
    tasks = tuple(Task(None, size, timeout=5.0) for size in sizes)
    return QueueTasks(job_id, "default", tasks, **{"idempotent": False, **options})


def find_by_kind(effects: list[Effect], kind: type) -> list[Any]:
    """Return the effects of a kind, or the messages sent of a kind."""
    sent = [effect.message for effect in effects if isinstance(effect, Send)]
    return [found for found in [*effects, *sent] if isinstance(found, kind)]


def test_tasks_for_one_server_travel_in_one_batch_with_a_log_line_each(apply) -> None:
    """Guards against one message per task, and placements without a log line."""
    apply(AnnounceBackendServer(describe_server("s1")))
    effects = apply(queue("j", 0.1, 0.3, 0.2))
    (start,) = find_by_kind(effects, StartTasks)
    assert [task.id for task in start.tasks] == ["j.1", "j.2", "j.0"]
    lines = [
        line for line in find_by_kind(effects, LogEvent) if line.event == "placement"
    ]
    assert [line.fields["server"] for line in lines] == ["s1"] * 3
    assert all({"task", "candidates", "reason"} <= set(x.fields) for x in lines)


def test_tasks_that_do_not_fit_now_let_others_pass(apply) -> None:
    """Guards against a queue that is blocked by tasks that wait for cores."""
    apply(AnnounceBackendServer(describe_server("s1", slots=30)))
    large = tuple(Task(None, 0.01, cores=8.0) for _ in range(20))
    for number in range(20):
        apply(QueueTasks(f"large-{number}", "default", large, False))
    assert find_by_kind(apply(queue("plain", 1.0)), StartTasks)


def test_batch_holds_its_connection_until_its_last_task_ends(apply) -> None:
    """Guards against more connections than a backend server accepts."""
    apply(AnnounceBackendServer(describe_server("s1", connections=1)))
    (start,) = find_by_kind(apply(queue("j", 0.1, 0.1)), StartTasks)
    assert not find_by_kind(apply(queue("k", 0.1)), StartTasks)
    done = TaskOutcome(TaskStatus.DONE)
    report = TaskReport("s1", start.lease, "j.0", done, 0.1)
    assert not find_by_kind(apply(report, NOW + 0.1), StartTasks)
    report = TaskReport("s1", start.lease, "j.1", done, 0.1)
    assert find_by_kind(apply(report, NOW + 0.1), StartTasks)


def test_cancellation_is_one_batch_without_tasks_that_end_soon(apply) -> None:
    """Guards against cancellations that arrive after the task has ended."""
    apply(AnnounceBackendServer(describe_server("s1")))
    apply(queue("j", 1.0, 2.0, 0.02))
    (cancel,) = find_by_kind(apply(CancelQueued("j")), CancelTasks)
    assert sorted(cancel.task_ids) == ["j.0", "j.1"]


def test_result_that_is_overdue_ends_the_task_as_unknown(apply) -> None:
    """Guards against callers that wait forever, and against slots that stay taken."""
    apply(AnnounceBackendServer(describe_server("s1", slots=1)))
    (start,) = find_by_kind(apply(queue("j", 0.1)), StartTasks)
    apply(queue("k", 0.1))
    for now in (NOW + 4.0, NOW + 8.0):
        apply(AnnounceBackendServer(describe_server("s1", slots=1)), now)
    effects = apply(Tick(), NOW + 8.1)
    (ended,) = find_by_kind(effects, TaskEnded)
    assert (ended.job_id, ended.outcome.status) == ("j", TaskStatus.UNKNOWN)
    assert [s.tasks[0].id for s in find_by_kind(effects, StartTasks)] == ["k.0"]
    late = TaskReport("s1", start.lease, "j.0", TaskOutcome(TaskStatus.DONE), 8.0)
    assert not find_by_kind(apply(late, NOW + 8.2), TaskEnded)


@pytest.mark.parametrize("how", ["leaving", "drained"])
def test_leaving_and_drained_servers_get_nothing_new(apply, how: str) -> None:
    """Guards against new tasks on a server that is about to stop."""
    apply(AnnounceBackendServer(describe_server("s1")))
    assert find_by_kind(apply(queue("j", 0.1)), StartTasks)
    if how == "leaving":
        effects = apply(AnnounceBackendServer(describe_server("s1", leaving=True)))
    else:
        changed = Configuration(version=1, drained=frozenset({"s1"}))
        effects = apply(ConfigurationChanged(changed))
    assert not find_by_kind(effects, CancelTasks)
    assert not find_by_kind(apply(queue("k", 0.1)), StartTasks)


def test_job_waits_for_a_first_server_no_longer_than_a_lease(apply) -> None:
    """Guards against callers that wait in a zone that has no backend servers."""
    assert not find_by_kind(apply(queue("j", 0.1)), TasksRefused)
    assert not find_by_kind(apply(Tick(), NOW + 5.0), TasksRefused)
    assert find_by_kind(apply(Tick(), NOW + 6.5), TasksRefused)


def test_refused_dispatch_is_retried_and_then_refused_as_not_run(apply) -> None:
    """Guards against failing a job although none of its tasks ran."""
    apply(AnnounceBackendServer(describe_server("s1")))
    effects, now = apply(queue("j", 0.1)), NOW
    attempts = 0
    while starts := find_by_kind(effects, StartTasks):
        attempts += 1
        (start,) = starts
        outcome = TaskOutcome(TaskStatus.NOT_RUN, error="refused")
        report = TaskReport("s1", start.lease, start.tasks[0].id, outcome)
        assert not find_by_kind(apply(report, now), TaskEnded)
        now += 1.0
        effects = apply(Tick(), now)
    assert attempts > 1


def test_unknown_outcome_is_retried_for_an_idempotent_request_only(apply) -> None:
    """Guards against a second start of a task that may have run."""
    apply(AnnounceBackendServer(describe_server("s1")))
    for job_id, idempotent in (("once", False), ("again", True)):
        (start,) = find_by_kind(
            apply(queue(job_id, 0.1, idempotent=idempotent)), StartTasks
        )
        outcome = TaskOutcome(TaskStatus.UNKNOWN, error="connection lost")
        report = TaskReport("s1", start.lease, f"{job_id}.0", outcome)
        assert bool(find_by_kind(apply(report), TaskEnded)) is not idempotent
    assert find_by_kind(apply(Tick(), NOW + 1.0), StartTasks)
