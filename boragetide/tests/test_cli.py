"""The command-line client against a scripted daemon, and against a real one."""

from __future__ import annotations

import asyncio
import json
import threading
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from boragetide.cli.__main__ import COMMANDS, run
from boragetide.cli.base import SERVER_VARIABLE
from boragetide.cli.client import Call, send
from boragetide.errors import ReplyTimeout
from boragetide.tests.conftest import (
    Daemon,
    System,
    call,
    free_port,
    make_job,
    wait_for,
)
from boragetide.tests.stream_server import ScriptedServer, serve_streams

CLOSE_CONNECTION = object()  # scripted answer: close the connection without a response
EVACUATION = "[evacuation]\nenabled = yes\n"
CONFIGURATION = {
    "version": 7,
    "classes": [{"name": "default", "response_time": 10.0, "busy_share": 1.0}],
    "drained": ["s9"],
}


@dataclass
class ScriptedDaemon:
    """A daemon that answers from a script and records the requests."""

    url: str = ""
    answers_by_request: dict[str, list[Any]] = field(default_factory=dict)
    requests: list[tuple[str, Any]] = field(default_factory=list)

    def set_answers(self, request: str, *answers: Any) -> None:
        """Set the answers to a request, of which the last one is repeated.

        Each answer is ``(status, body)`` or `CLOSE_CONNECTION`.
        """
        self.answers_by_request[request] = list(answers)

    def bodies(self, request: str) -> list[Any]:
        """Return the bodies of all requests of this method and path."""
        return [body for name, body in self.requests if name == request]


class _ScriptedHandler(RequestHandler):
    def initialize(self, script: ScriptedDaemon) -> None:
        self.script = script

    def answer(self) -> None:
        name = f"{self.request.method} {self.request.uri}"
        body = json.loads(self.request.body) if self.request.body else None
        self.script.requests.append((name, body))
        answers = self.script.answers_by_request[name]
        answer = answers.pop(0) if len(answers) > 1 else answers[0]
        if answer is CLOSE_CONNECTION:
            self.detach().close()
            return
        self.set_status(answer[0])
        self.finish(answer[1])

    get = post = delete = answer


@pytest.fixture
def script() -> Iterator[ScriptedDaemon]:
    """A scripted daemon that runs in its own thread."""
    made = ScriptedDaemon()
    made.set_answers("GET /v1/configuration", (200, CONFIGURATION))
    loop = asyncio.new_event_loop()
    started, stop = threading.Event(), asyncio.Event()

    async def serve() -> None:
        sockets = bind_sockets(0, "127.0.0.1")
        server = HTTPServer(Application([(r".*", _ScriptedHandler, {"script": made})]))
        server.add_sockets(sockets)
        made.url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"
        started.set()
        await stop.wait()
        server.stop()

    thread = threading.Thread(target=loop.run_until_complete, args=(serve(),))
    thread.start()
    started.wait(10)
    yield made
    loop.call_soon_threadsafe(stop.set)
    thread.join(10)
    loop.close()


PROPOSE = "POST /v1/configuration/commands"


def test_change_reads_the_version_and_prints_its_command_id(
    script: ScriptedDaemon, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against changes that cannot be resent, or that reset values not given."""
    script.set_answers(PROPOSE, (200, {"status": "accepted", "version": 8}))
    arguments = ["class", "set", "default", "--busy-share=25%", "--json"]
    assert run([*arguments, f"--server={script.url}"]) == 0
    printed = json.loads(capsys.readouterr().out)
    (sent,) = script.bodies(PROPOSE)
    assert sent["command_id"] == printed["command_id"]
    assert (sent["expected_version"], printed["version"]) == (7, 8)
    assert sent["command"] == {
        "kind": "set_class",
        "name": "default",
        "response_time": 10.0,
        "busy_share": 0.25,
    }


def test_lost_answer_leads_to_the_same_command_again(
    script: ScriptedDaemon, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against applying a change twice because its first answer was lost."""
    unknown = (503, {"status": "unknown", "error": "no leader"})
    accepted = (200, {"status": "accepted", "version": 8})
    script.set_answers(PROPOSE, CLOSE_CONNECTION, unknown, accepted)
    assert run(["backend-server", "drain", "s1", f"--server={script.url}"]) == 0
    bodies = script.bodies(PROPOSE)
    assert len(bodies) == 3
    assert bodies[0] == bodies[1] == bodies[2]
    assert bodies[0]["command"] == {"kind": "drain_backend_server", "id": "s1"}


@pytest.mark.parametrize(
    ("answer", "code", "text"),
    [
        ((409, {"status": "conflict", "version": 9}), 1, "expected version 5, current"),
        ((400, {"status": "not_run", "error": "id: bad"}), 1, "refused: id: bad"),
        ((503, {"status": "unknown", "error": "x"}), 3, "--command-id=c1"),
        (CLOSE_CONNECTION, 3, "--expected-version=5"),
    ],
)
def test_each_outcome_has_its_exit_code(
    script: ScriptedDaemon,
    capsys: pytest.CaptureFixture[str],
    answer: Any,
    code: int,
    text: str,
) -> None:
    """Guards against scripts that mistake an unknown outcome for a refusal."""
    script.set_answers(PROPOSE, answer)
    arguments = ["backend-server", "return", "s1", "--command-id=c1"]
    arguments += ["--expected-version=5", "--resend-for=300ms", "--json"]
    assert run([*arguments, f"--server={script.url}"]) == code
    printed = capsys.readouterr()
    assert text in printed.err
    assert json.loads(printed.out)["command_id"] == "c1"


def test_refusal_after_a_lost_answer_is_unknown(
    script: ScriptedDaemon, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    """Guards against ``not_run`` for a job whose first submission may have run."""
    job = tmp_path / "job.json"
    job.write_text(json.dumps(make_job("job-1")))
    refusal = (503, {"id": "job-1", "status": "not_run", "error": "the queue is full"})
    script.set_answers("POST /v1/jobs", CLOSE_CONNECTION, refusal)
    arguments = ["job", "submit", str(job), f"--server={script.url}", "--json"]
    assert run([*arguments, "--resend-for=300ms"]) == 3
    assert json.loads(capsys.readouterr().out)["status"] == "unknown"
    script.set_answers("POST /v1/jobs", refusal)
    assert run(arguments) == 1


def test_refusal_before_a_lost_answer_is_unknown(
    script: ScriptedDaemon, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against ``refused`` for a command that another daemon may have run."""
    refusal = (503, {"id": "job-1", "status": "not_run", "error": "the queue is full"})
    script.set_answers("DELETE /v1/jobs/job-1", refusal, CLOSE_CONNECTION)
    other_url = script.url.replace("127.0.0.1", "localhost")
    arguments = ["job", "cancel", "job-1", f"--server={script.url}"]
    arguments += [f"--server={other_url}", "--resend-for=0s"]
    assert run(arguments) == 3
    assert "outcome unknown" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("request_line", "arguments"),
    [
        ("DELETE /v1/jobs/job-1", ["job", "cancel", "job-1"]),
        ("POST /v1/jobs", ["job", "submit", "job.json"]),
    ],
)
def test_refusal_after_a_connection_that_ended_is_unknown(
    script: ScriptedDaemon,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    request_line: str,
    arguments: list[str],
) -> None:
    """Guards against ``refused`` for a request that a daemon has handled."""
    monkeypatch.chdir(tmp_path)
    Path("job.json").write_text(json.dumps(make_job("job-1")))
    refusal = (503, {"id": "job-1", "status": "not_run", "error": "the queue is full"})
    script.set_answers(request_line, refusal, CLOSE_CONNECTION, refusal)
    servers = [f"--server={script.url}"] * 2
    assert run([*arguments, *servers, "--resend-for=0s"]) == 3
    assert len(script.bodies(request_line)) == 2


def test_command_that_was_redirected_is_not_certainly_refused() -> None:
    """Guards against "not accepted" because the target of a redirection is down."""
    port, closed_port = free_port(), free_port()
    status = f"303 See Other\r\nLocation: http://127.0.0.1:{closed_port}/"
    server = ScriptedServer([(status, "")])

    async def run_command() -> None:
        command = Call("POST", "/v1/x", {"a": 1}, timeout=1.0, resend_for=0.0)
        async with serve_streams(port, server):
            with pytest.raises(ReplyTimeout):
                await send(command, (f"http://127.0.0.1:{port}",))

    asyncio.run(run_command())
    assert len(server.received) == 1


def test_servers_are_tried_in_order(
    script: ScriptedDaemon,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a client that depends on one particular daemon."""
    closed = f"http://127.0.0.1:{free_port()}"
    monkeypatch.setenv(SERVER_VARIABLE, f"{closed}, {script.url}")
    assert run(["config", "show"]) == 0
    assert "version 7" in capsys.readouterr().out
    assert run(["config", "show", f"--server={closed}"]) == 4
    assert run(["class", "show", "none"]) == 1


def test_job_without_an_id_gets_one(
    script: ScriptedDaemon, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    """Guards against jobs that cannot be resubmitted because they have no id."""
    job = tmp_path / "job.json"
    job.write_text('{"class": "default", "tasks": [{"payload": 1}]}')
    script.set_answers("POST /v1/job-ids", (200, {"ids": ["a:a1:1:1"]}))
    answer = {"id": "a:a1:1:1", "status": "complete", "results": [1]}
    script.set_answers("POST /v1/jobs", (200, answer))
    assert run(["job", "submit", str(job), f"--server={script.url}"]) == 0
    printed = capsys.readouterr()
    assert "job id a:a1:1:1" in printed.err
    assert printed.out == "a:a1:1:1: complete\n1\n"
    assert script.bodies("POST /v1/jobs")[0]["id"] == "a:a1:1:1"


def test_jobs_and_history_are_shown(
    script: ScriptedDaemon, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against job ids that are not escaped in URL paths."""
    ended = {"id": "a/b", "status": "failed", "error": "cancelled"}
    state = {"id": "a/b", "state": "ended", "answer": ended}
    script.set_answers("DELETE /v1/jobs/a%2Fb", (200, state))
    server = f"--server={script.url}"
    assert run(["job", "cancel", "a/b", server]) == 0
    assert capsys.readouterr().out == "a/b: ended\na/b: failed\ncancelled\n"
    script.set_answers("DELETE /v1/jobs/y", CLOSE_CONNECTION)
    assert run(["job", "cancel", "y", server, "--resend-for=100ms"]) == 3
    script.set_answers("GET /v1/jobs/y", CLOSE_CONNECTION)
    assert run(["job", "show", "y", server, "--resend-for=100ms"]) == 4
    script.set_answers(
        "GET /v1/jobs/x", (404, {"status": "not_run", "error": "never claimed"})
    )
    assert run(["job", "show", "x", server]) == 1
    entry = {"version": 7, "command_id": "c", "command": {}, "accepted_at": 0.0}
    script.set_answers(
        "GET /v1/configuration/history?limit=2", (200, {"entries": [entry]})
    )
    assert run(["config", "history", "--limit=2", server]) == 0
    assert "1970-01-01T00:00:00Z" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        (["frob"], '"frob" does not exist'),
        (["class", "set"], 'missing: "name"'),
        (["class", "set", "x", "--response-time=5"], "--response-time = 5: not a num"),
        (["class", "set", "x", "--busy-share=200%"], "--busy-share = 200%: not above"),
        (["class", "set", "x", "--busy-share=x"], "not a percentage"),
        (["config", "history", "--limit=-1"], "not a positive whole number"),
        (["status", "--server=localhost"], "--server = localhost: not a URL"),
        (["job", "submit", "/none/job.json"], "No such file"),
    ],
)
def test_wrong_usage_exits_2(
    capsys: pytest.CaptureFixture[str], arguments: list[str], text: str
) -> None:
    """Guards against mistyped commands that reach a daemon or give a traceback."""
    assert run(arguments) == 2
    assert text in capsys.readouterr().err


@pytest.mark.parametrize("name", [command.name for command in COMMANDS])
def test_help_shows_an_example(capsys: pytest.CaptureFixture[str], name: str) -> None:
    """Guards against commands whose help does not show how to use them."""
    assert run([*name.split(), "--help"]) == 0
    printed = capsys.readouterr().out
    assert f"Example: boragetide {name}" in printed
    assert "--json" in printed


def test_real_daemon_is_shown_and_runs_a_job(
    system: System, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    """Guards against request bodies that only the scripted daemon accepts."""
    system.start({"a1": "a", "a2": "a"})
    system.add_server("s1", "a", speed=4.0)
    servers = [f"--server={d.url}" for d in system.daemons_by_id.values()]
    job = tmp_path / "job.json"
    job.write_text(json.dumps(make_job("job-1", tasks=2)))
    assert run(["job", "submit", str(job), *servers]) == 0
    assert capsys.readouterr().out.startswith("job-1: complete\n")
    assert run(["job", "show", "job-1", *servers]) == 0
    assert capsys.readouterr().out.startswith("job-1: ended\njob-1: complete\n")
    assert run(["job", "cancel", "job-1", *servers]) == 0
    assert run(["job", "show", "none", *servers]) == 1
    job.write_text(json.dumps({k: v for k, v in make_job("").items() if k != "id"}))
    capsys.readouterr()
    assert run(["job", "submit", str(job), "--json", *servers]) == 0
    printed = capsys.readouterr()
    assert printed.err == f"job id {json.loads(printed.out)['id']}\n"
    assert run(["status", *servers]) == 0
    assert "2 of 2 instances live" in capsys.readouterr().out
    assert run(["backend-server", "list", *servers]) == 0
    assert "s1" in capsys.readouterr().out


def test_operators_change_targets_and_drain_on_real_daemons(
    system: System, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against accepted changes that do not reach the placer within 5 s."""
    system.start({"a1": "a", "a2": "a", "a3": "a"})
    system.add_server("s1", "a")
    system.add_server("s2", "a")
    servers = [f"--server={system.daemons_by_id['a3'].url}"]
    target = ["--response-time=2s", "--busy-share=50%"]
    assert run(["class", "set", "proofs", *target, *servers]) == 0
    assert run(["backend-server", "drain", "s1", *servers]) == 0
    assert run(["class", "set", "proofs", *target, "--expected-version=0", *servers])
    capsys.readouterr()
    assert run(["class", "show", "proofs", *servers]) == 0
    assert "proofs" in capsys.readouterr().out
    assert run(["config", "history", "--json", *servers]) == 0
    assert len(json.loads(capsys.readouterr().out)["entries"]) == 2
    for daemon in system.daemons_by_id.values():
        wait_for(lambda daemon=daemon: has_drained(daemon, "s1"), "the drain", 5.0)
    job = make_job("job-1", tasks=12) | {"class": "proofs"}
    assert system.submit("a2", job)[1]["status"] == "complete"
    assert call("GET", f"{system.servers_by_id['s1']}/starts")[1] == {}
    assert run(["backend-server", "return", "s1", *servers]) == 0


def has_drained(daemon: Daemon, server_id: str) -> bool:
    """Return whether the configuration in force at a daemon drains a server."""
    configuration = call("GET", f"{daemon.url}/v1/configuration")[1]
    return server_id in configuration["drained"]


@pytest.mark.parametrize("action", ["evacuate", "return"])
def test_zone_is_changed_with_the_version_that_was_read(
    script: ScriptedDaemon, capsys: pytest.CaptureFixture[str], action: str
) -> None:
    """Guards against a command that names no version, or the wrong zone."""
    script.set_answers(PROPOSE, (200, {"status": "accepted", "version": 8}))
    arguments = ["zone", action, "b", "--command-id=c1", "--json"]
    assert run([*arguments, f"--server={script.url}"]) == 0
    (sent,) = script.bodies(PROPOSE)
    assert sent["command"] == {"kind": f"{action}_zone", "zone": "b"}
    assert (sent["command_id"], sent["expected_version"]) == ("c1", 7)
    assert json.loads(capsys.readouterr().out)["version"] == 8


def test_zones_are_listed_with_those_that_the_settings_have_dropped(
    script: ScriptedDaemon, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against an evacuated zone that no list shows."""
    status = {
        "configuration_version": 8,
        "availability_zones": ["a", "b"],
        "evacuated_zones": ["b", "old"],
    }
    script.set_answers("GET /v1/status", (200, status))
    assert run(["zone", "list", "--json", f"--server={script.url}"]) == 0
    listed = json.loads(capsys.readouterr().out)["zones"]
    states = {each["zone"]: each["evacuated"] for each in listed}
    assert states == {"a": False, "b": True, "old": True}


def test_operator_evacuates_a_zone_of_real_daemons(
    system: System, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against at-most-once tasks in an evacuated zone, and jobs that wait."""
    system.start({"a1": "a", "a2": "a", "a3": "a"}, timing=EVACUATION)
    system.add_server("s1", "a")
    assert system.submit("a2", make_job("job-1", tasks=2))[1]["status"] == "complete"
    before = call("GET", f"{system.servers_by_id['s1']}/starts")
    server = f"--server={system.daemons_by_id['a3'].url}"
    for action in ("evacuate", "return"):
        assert run(["zone", action, "nowhere", server]) == 1
        assert "known are a" in capsys.readouterr().err
    assert run(["zone", "evacuate", "a", server]) == 0
    assert run(["zone", "evacuate", "a", server]) == 0
    capsys.readouterr()
    assert run(["status", "--json", server]) == 0
    assert json.loads(capsys.readouterr().out)["evacuated_zones"] == ["a"]
    for daemon in system.daemons_by_id.values():
        wait_for(lambda daemon=daemon: has_evacuated(daemon, "a"), "the zones", 5.0)
    status, answer = system.submit("a2", make_job("job-2"))
    assert (status, answer["status"]) == (503, "not_run")
    assert call("GET", f"{system.servers_by_id['s1']}/starts") == before
    assert run(["zone", "return", "a", server]) == 0
    numbers = iter(range(100))

    def is_served() -> bool:
        _, answer = system.submit("a2", make_job(f"job-r{next(numbers)}"))
        return answer["status"] == "complete"

    wait_for(is_served, "service after the return")


def has_evacuated(daemon: Daemon, zone: str) -> bool:
    """Return whether the configuration in force at a daemon evacuates a zone."""
    configuration = call("GET", f"{daemon.url}/v1/configuration")[1]
    return zone in configuration["evacuated_zones"]
