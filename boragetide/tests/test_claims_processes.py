"""Claims with real processes that are killed, restarted and paused."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from boragetide.tests.conftest import System, call, make_job, wait_for

ZONE = {"a1": "a", "a2": "a", "a3": "a"}


def start_zone(system: System, *, slots: int = 8) -> None:
    """Start three instances of one zone; ``a1`` starts first and is the placer."""
    system.start(ZONE)
    system.add_server("s1", "a", slots=slots)


def wait_for_starts(system: System, tasks: int) -> None:
    wait_for(lambda: len(system.starts_by_task()) >= tasks, f"{tasks} started tasks")


def disable_placer(system: System, disable: Callable[[], None]) -> None:
    """Kill or pause ``a1`` and wait until another instance is the placer."""
    others = [system.daemons_by_id["a2"], system.daemons_by_id["a3"]]
    known = [len(daemon.log_lines("backend_server_joined")) for daemon in others]
    disable()
    wait_for(
        lambda: [len(d.log_lines("backend_server_joined")) for d in others] != known,
        "the new placer to lease s1",
    )


def check_single_starts(system: System, tasks: int) -> None:
    assert list(system.starts_by_task().values()) == [1] * tasks


def call_daemon(
    system: System, method: str, daemon_id: str, path: str
) -> tuple[int, Any]:
    return call(method, system.daemons_by_id[daemon_id].url + path)


def test_job_of_a_killed_owner_is_never_run_again(system: System) -> None:
    """Guards against a new placer that runs jobs of its predecessor a second time."""
    start_zone(system)
    job = make_job("job-1", work=5.0)
    running = system.submit_later("a2", job)
    wait_for_starts(system, 4)
    disable_placer(system, system.daemons_by_id["a1"].kill)
    assert running.result()[1]["status"] == "unknown"
    for daemon_id in ("a2", "a3"):
        assert system.submit(daemon_id, job)[1]["status"] == "unknown"
    assert system.submit("a3", make_job("job-2"))[1]["status"] == "complete"
    check_single_starts(system, 8)


def test_resubmission_gets_the_answer_that_a_killed_entry_missed(
    system: System,
) -> None:
    """Guards against answers that are lost with the instance that accepted the job."""
    start_zone(system)
    job = make_job("job-1", work=0.5)
    system.submit_later("a2", job)
    wait_for_starts(system, 4)
    system.daemons_by_id["a2"].kill()
    code, answer = system.submit("a3", job)
    assert (code, answer["status"]) == (200, "complete")
    check_single_starts(system, 4)


def test_restarted_acceptor_and_the_loss_of_another_start_nothing_again(
    system: System,
) -> None:
    """Guards against an acceptor that grants an id again after its restart."""
    start_zone(system)
    job = make_job("job-1")
    assert system.submit("a2", job)[1]["status"] == "complete"
    acceptor = system.daemons_by_id["a2"]
    known = len(acceptor.log_lines("acceptor_complete"))
    acceptor.kill()
    acceptor.start()
    wait_for(
        lambda: len(acceptor.log_lines("acceptor_complete")) > known,
        "a2 to catch up",
    )
    system.wait_for_members(3)
    disable_placer(system, system.daemons_by_id["a1"].kill)
    assert system.submit("a3", job)[1]["status"] == "unknown"
    assert system.submit("a2", job)[1]["status"] == "unknown"
    check_single_starts(system, 4)


def test_owner_that_was_frozen_starts_no_further_task(system: System) -> None:
    """Guards against an owner that continues jobs that were reported as unknown."""
    start_zone(system, slots=2)
    job = make_job("job-1", work=3.0)
    running = system.submit_later("a2", job)
    wait_for_starts(system, 2)
    owner = system.daemons_by_id["a1"]
    disable_placer(system, owner.pause)
    assert running.result()[1]["status"] == "unknown"
    assert system.submit("a3", job)[1]["status"] == "unknown"
    assert system.submit("a3", make_job("job-2", tasks=1))[1]["status"] == "complete"
    owner.resume()
    wait_for(lambda: owner.log_lines("job_ended"), "a1 to give up the job")
    system.wait_for_members(3)
    assert system.submit("a3", job)[1]["status"] == "unknown"
    check_single_starts(system, 3)


def test_single_daemon_keeps_its_claims_on_disk(system: System) -> None:
    """Guards against running jobs again after a restart of the only instance."""
    system.start({"a1": "a"})
    system.add_server("s1", "a")
    job = make_job("job-1")
    assert system.submit("a1", job)[1]["status"] == "complete"
    daemon = system.daemons_by_id["a1"]
    daemon.kill()
    daemon.start()
    wait_for(lambda: daemon.status()["pool"]["backend_servers"], "s1 to come back")
    assert system.submit("a1", job)[1]["status"] == "unknown"
    assert system.submit("a1", make_job("job-2"))[1]["status"] == "complete"
    check_single_starts(system, 8)


def test_job_is_shown_and_cancelled_at_any_instance(system: System) -> None:
    """Guards against look-ups that only the owner can answer."""
    start_zone(system)
    url = system.daemons_by_id["a3"].url
    (job_id,) = call("POST", f"{url}/v1/job-ids", {"count": 1})[1]["ids"]
    running = system.submit_later("a2", make_job(job_id, work=10.0))
    wait_for_starts(system, 4)
    assert (
        call_daemon(system, "GET", "a3", f"/v1/jobs/{job_id}")[1]["state"] == "running"
    )
    code, body = call_daemon(system, "DELETE", "a3", f"/v1/jobs/{job_id}")
    assert (code, body["state"], body["answer"]["status"]) == (200, "ended", "failed")
    assert running.result()[1] == body["answer"]
    assert call_daemon(system, "GET", "a2", "/v1/jobs/never")[0] == 404


def test_id_with_other_payloads_is_refused(system: System) -> None:
    """Guards against returning the answer of one job to another job of the same id."""
    start_zone(system)
    first = system.submit("a2", make_job("job-1"))
    code, answer = system.submit("a3", make_job("job-1", tasks=5))
    assert (code, answer["status"]) == (409, "not_run")
    assert system.submit("a3", make_job("job-1")) == first
    check_single_starts(system, 4)
