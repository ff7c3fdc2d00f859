"""Step definitions of the feature files, which state the promises to users."""

from __future__ import annotations

import json
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from boragetide.tests.conftest import System, make_job, wait_for

scenarios("features")


@pytest.fixture
def answers() -> list[tuple[int, Any]]:
    """Answers in the order of the submissions."""
    return []


@given(parsers.re(r"instances (?P<first>.+) in zone (?P<zone>\w+) and (?P<rest>.+)"))
def start_instances(system: System, first: str, zone: str, rest: str) -> None:
    other, other_zone = rest.split(" in zone ")
    zones_by_id = dict.fromkeys(first.split(", "), zone)
    system.start(zones_by_id | dict.fromkeys(other.split(", "), other_zone))


@given(parsers.parse("backend server {server} in zone {zone}, known to every instance"))
def start_server(system: System, server: str, zone: str) -> None:
    system.add_server(server, zone, speed=2.0)
    for daemon in system.daemons_by_id.values():
        wait_for(
            lambda daemon=daemon: any(
                instance["backend_servers"] for instance in daemon.status()["instances"]
            ),
            f"{daemon.id} to learn of {server}",
        )


@when(parsers.parse('job "{job}" with {tasks:d} tasks is submitted at {daemon}'))
@when(parsers.parse('job "{job}" with {tasks:d} tasks is submitted again at {daemon}'))
def submit(
    system: System, answers: list[Any], job: str, tasks: int, daemon: str
) -> None:
    answers.append(system.submit(daemon, make_job(job, tasks=tasks)))


@when(
    parsers.parse(
        'job "{job}" with {tasks:d} tasks of which one fails is submitted at {daemon}'
    )
)
def submit_failing(
    system: System, answers: list[Any], job: str, tasks: int, daemon: str
) -> None:
    body = make_job(job, tasks=tasks)
    body["tasks"][1]["payload"]["fail"] = True
    answers.append(system.submit(daemon, body))


@when(parsers.parse('job "{job}" with {field} set to {value} is submitted at {daemon}'))
def submit_changed(
    system: System, answers: list[Any], job: str, field: str, value: str, daemon: str
) -> None:
    body = make_job(job) | {field: json.loads(value)}
    answers.append(system.submit(daemon, body))


@then(parsers.parse("its answer is complete with {count:d} results in task order"))
def check_complete(answers: list[Any], count: int) -> None:
    code, answer = answers[-1]
    assert (code, answer["status"]) == (200, "complete")
    assert [result["number"] for result in answer["results"]] == list(range(count))


@then("its answer is failed without results")
def check_failed(answers: list[Any]) -> None:
    code, answer = answers[-1]
    assert (code, answer["status"]) == (200, "failed")
    assert "results" not in answer


@then("both answers are the same")
def check_same(answers: list[Any]) -> None:
    assert answers[0] == answers[1]
    assert answers[0][1]["status"] == "complete"


@then(parsers.parse("each of its {count:d} tasks started once"))
def check_starts(system: System, count: int) -> None:
    assert list(system.starts_by_task().values()) == [1] * count


@then(parsers.parse("it is refused with {code:d} and a message about {field}"))
def check_refused(answers: list[Any], code: int, field: str) -> None:
    answered, answer = answers[-1]
    assert (answered, answer["status"]) == (code, "not_run")
    assert answer["error"].startswith(f"{field}: ")


@then("no task started")
def check_nothing_started(system: System) -> None:
    assert system.starts_by_task() == {}
