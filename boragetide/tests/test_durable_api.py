"""Durable jobs through the product's HTTP interface, with real processes."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from boragetide.cli.__main__ import run as run_cli
from boragetide.tests.conftest import System, call, wait_for

DURABLE = {"pool": "renders", "attempts": 2, "stretch": 2.0}


class DurableSystem:
    """Daemons with a durable class and two backend servers for it."""

    def __init__(self, system: System):
        self.system = system
        self.url = next(iter(system.daemons_by_id.values())).url
        self.processes: list[subprocess.Popen[bytes]] = []

    def add_server(self, server_id: str) -> None:
        """Start a backend server that knows the addresses of all daemons."""
        command = [sys.executable, "-m", "examples.run_server", f"--id={server_id}"]
        command += ["--pool=renders", "--zone=a"]
        command += [f"--daemon={d.url}" for d in self.system.daemons_by_id.values()]
        self.system.processes.append(subprocess.Popen(command, stdout=subprocess.PIPE))

    def set_class(self, name: str, durable: dict[str, Any] | None) -> None:
        """Set a class in the configuration."""
        version = call("GET", f"{self.url}/v1/configuration")[1]["version"]
        command = {
            "kind": "set_class",
            "name": name,
            "response_time": 1.0,
            "busy_share": 1.0,
        }
        body = {
            "command_id": f"set-{name}-{version}",
            "expected_version": version,
            "command": command | ({"durable": durable} if durable else {}),
        }
        assert call("POST", f"{self.url}/v1/configuration/commands", body)[0] == 200

    def submit(self, job_id: str, **fields: Any) -> tuple[int, Any]:
        """Submit a job of two tasks at the first daemon."""
        steps = [{"count": 2, "cores": 27.0, "estimate": 0.1}]
        body = {"id": job_id, "class": "proofs", "spec": "0.1", "steps": steps}
        return call("POST", f"{self.url}/v1/durable-jobs", {**body, **fields})

    def show(self, job_id: str, url: str | None = None) -> tuple[int, Any]:
        """Return the state of a job as a daemon shows it."""
        return call("GET", f"{url or self.url}/v1/durable-jobs/{job_id}")

    def wait_for_state(self, job_id: str, state: str, url: str | None = None) -> None:
        """Wait until a job is shown in a state."""
        wait_for(
            lambda: self.show(job_id, url)[1].get("state") == state,
            f"{job_id} to be {state}",
        )


@pytest.fixture
def durable(system: System) -> Iterator[DurableSystem]:
    """Three daemons that dispatch durable jobs to two backend servers."""
    system.start({"a1": "a", "a2": "a", "a3": "a"})
    made = DurableSystem(system)
    made.set_class("proofs", DURABLE)
    made.set_class("plain", None)
    for server_id in ("r1", "r2"):
        made.add_server(server_id)
    yield made


def test_job_with_dependent_steps_ends_and_is_shown_everywhere(
    durable: DurableSystem,
) -> None:
    """Guards against durable jobs that work only through the platform's front end."""
    step = {"count": 2, "cores": 27.0, "estimate": 0.1}
    steps = [step, {**step, "depends_on": [0]}]
    assert durable.submit("j1", steps=steps) == (200, {"id": "j1", "state": "accepted"})
    for daemon in durable.system.daemons_by_id.values():
        durable.wait_for_state("j1", "succeeded", daemon.url)


def test_best_effort_job_is_answered_with_its_end(durable: DurableSystem) -> None:
    """Guards against a best-effort job that is answered before its end."""
    wait_for(lambda: durable.submit("warm", spec="0")[0] == 200, "an accepted job")
    durable.wait_for_state("warm", "succeeded")
    answer = durable.submit("j1", best_effort=True)
    assert answer == (200, {"id": "j1", "state": "succeeded"})


def test_accepted_job_survives_its_leader_and_can_be_cancelled(
    durable: DurableSystem,
) -> None:
    """Guards against a job that is lost with a daemon or runs on when cancelled."""
    assert durable.submit("j1", spec="1.0")[0] == 200
    leader = next(
        daemon
        for daemon in durable.system.daemons_by_id.values()
        if daemon.log_lines("dispatch_began")
    )
    leader.kill()
    others = [d for d in durable.system.daemons_by_id.values() if d is not leader]
    durable.url = others[0].url
    durable.wait_for_state("j1", "succeeded")
    assert durable.submit("j2", spec="60")[0] == 200
    durable.wait_for_state("j2", "running")
    deleted = call("DELETE", f"{durable.url}/v1/durable-jobs/j2")
    assert deleted == (200, {"id": "j2", "state": "cancelled"})
    durable.wait_for_state("j2", "cancelled", others[1].url)


def test_wrong_jobs_are_refused_with_a_reason(durable: DurableSystem) -> None:
    """Guards against invalid jobs that wait forever or fail without a reason."""
    step = {"cores": 1.0, "estimate": 0.1}
    cases = [
        ({"class": "none"}, 404, "class 'none' does not exist"),
        ({"class": "plain"}, 400, "class 'plain' is not durable"),
        ({"steps": []}, 400, "steps"),
        ({"steps": [{**step, "depends_on": [0]}]}, 400, "no earlier step"),
        ({"steps": [{**step, "count": 2000}]}, 413, "2000 tasks are more than 1200"),
        ({"steps": [{**step, "cores": -1.0}]}, 400, "steps.0.cores"),
    ]
    for fields, status, message in cases:
        answered, body = durable.submit("j1", **fields)
        assert (answered, body["status"]) == (status, "not_run"), fields
        assert message in body["error"]
    assert durable.show("j1")[0] == 404


def test_command_line_submits_shows_and_cancels(
    durable: DurableSystem, tmp_path: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a command line that lacks operations of the HTTP interface."""
    server = f"--server={durable.url}"
    options = ["--response-time=1s", "--pool=renders", "--attempts=3", server]
    assert run_cli(["class", "set", "etchings", *options]) == 0
    path = tmp_path / "job.json"
    path.write_text(
        '{"id": "j9", "class": "etchings", "spec": "60", '
        '"steps": [{"cores": 1.0, "estimate": 0.1}]}'
    )
    assert run_cli(["durable", "submit", str(path), server]) == 0
    assert run_cli(["durable", "show", "j9", server]) == 0
    assert run_cli(["durable", "cancel", "j9", server]) == 0
    assert "j9: cancelled" in capsys.readouterr().out
    assert run_cli(["durable", "show", "j404", server]) == 1


def test_placement_is_explained_without_a_submission(
    durable: DurableSystem, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against an explanation that runs the job, or hides a job of its name."""
    steps = [{"count": 5, "cores": 27.0, "estimate": 0.1}]
    body = {"id": "j1", "class": "proofs", "spec": "0.1", "steps": steps}
    url = f"{durable.url}/v1/durable-jobs/explain"

    def explain() -> dict[str, Any]:
        return call("POST", url, body)[1]["steps"][0]

    wait_for(lambda: len(explain()["tasks_by_server"]) == 2, "room on both servers")
    explained = explain()
    assert sum(explained["tasks_by_server"].values()) == 4
    assert explained["servers_by_reason"] == {"busy": 2}
    file = tmp_path / "job.json"
    file.write_text(json.dumps(body))
    assert run_cli(["job", "explain", str(file), f"--server={durable.url}"]) == 0
    printed = capsys.readouterr().out
    assert "step 0: 4 of 5 tasks would start now" in printed
    assert durable.show("j1")[0] == 404
    assert call("POST", url, {**body, "class": "plain"})[0] == 400
    assert durable.submit("explain")[0] == 200
    durable.wait_for_state("explain", "succeeded")
