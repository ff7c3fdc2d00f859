"""Jobs from submission to answer, with real processes."""

from __future__ import annotations

from boragetide.tests.conftest import System, make_job


def test_job_submitted_at_any_instance_gets_its_whole_answer(system: System) -> None:
    """Guards against jobs that get their whole answer only at the placer itself."""
    system.start({"a1": "a", "a2": "a"})
    system.add_server("s1", "a", speed=2.0)
    for daemon_id in ("a1", "a2"):
        job = make_job(f"job-{daemon_id}", tasks=20, work=0.05)
        code, answer = system.submit(daemon_id, job)
        assert (code, answer["status"]) == (200, "complete")
        assert answer["results"] == [task["payload"] for task in job["tasks"]]


def test_resubmission_at_another_instance_starts_no_task_again(system: System) -> None:
    """Guards against a second start of a job that was submitted at another instance."""
    system.start({"a1": "a", "a2": "a"})
    system.add_server("s1", "a")
    job = make_job("job-1")
    running = system.submit_later("a1", job)
    second = system.submit("a2", job)
    assert running.result() == second
    assert system.submit("a2", job) == second
    assert set(system.starts_by_task().values()) == {1}


def test_placement_writes_one_log_line_per_task(system: System) -> None:
    """Guards against placements that operators cannot trace in the log."""
    system.start({"a1": "a"})
    system.add_server("s1", "a")
    system.submit("a1", make_job("job-1", tasks=3))
    lines = system.daemons_by_id["a1"].log_lines("placement")
    assert len(lines) == 3
    assert all("server=s1" in line and "candidates=1" in line for line in lines)
