"""Invalid input at every endpoint, and the state that operators read."""

from __future__ import annotations

import http.client
import json
import socket
from collections.abc import Iterator
from typing import Any

import pytest

from boragetide.json_values import find_unsupported_value, may_have_unsupported_value
from boragetide.tests.conftest import System, call, make_job

BODY_LIMIT = 20_000  # bytes


@pytest.fixture(scope="module")
def limited_system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[System]:
    """One daemon with small limits, shared by the tests of this module."""
    made = System(tmp_path_factory.mktemp("api"))
    limits = f"body-bytes = {BODY_LIMIT}\ntasks-per-job = 5\nqueued-tasks = 3\n"
    made.start({"a1": "a"}, timing=f"[limits]\n{limits}")
    yield made
    made.close()


def change(**fields: Any) -> dict[str, Any]:
    """Build a job with some fields replaced; ``class_`` stands for ``class``."""
    return make_job("job-1") | {k.rstrip("_"): v for k, v in fields.items()}


def change_task(**fields: Any) -> dict[str, Any]:
    """Build a job whose only task has these fields."""
    return change(tasks=[{"payload": 1, **fields}])


SERVER = {"address": "http://127.0.0.1:9", "availability_zone": "a", "slots": 1}
COMMAND = {
    "command_id": "c1",
    "expected_version": 0,
    "command": {"kind": "drain_backend_server", "id": "s1"},
}
REQUEST = {"id": "r", "class": "default", "payload": 1, "idempotent": False}


@pytest.mark.parametrize(
    ("method", "path", "body", "code", "error"),
    [
        ("POST", "/v1/jobs", b"", 400, "body: Invalid JSON"),
        ("POST", "/v1/jobs", b"\xff\x00", 400, "body: Invalid JSON"),
        ("POST", "/v1/jobs", b"[]", 400, "body: Input should be an object"),
        ("POST", "/v1/jobs", {}, 400, "id: field is missing"),
        ("POST", "/v1/jobs", change(id=7), 400, "id: "),
        ("POST", "/v1/jobs", change(id="a b"), 400, "id: "),
        ("POST", "/v1/jobs", change(id="x" * 201), 400, "id: "),
        ("POST", "/v1/jobs", change(tasks=[]), 400, "tasks: "),
        ("POST", "/v1/jobs", change(tasks="x"), 400, "tasks: "),
        ("POST", "/v1/jobs", change(class_="none"), 404, "class: unknown class 'none'"),
        ("POST", "/v1/jobs", change(priority=1), 400, "priority: unknown field"),
        ("POST", "/v1/jobs", make_job("j", tasks=6), 413, "tasks: 6 tasks, at most 5"),
        ("POST", "/v1/jobs", change_task(size="1"), 400, "tasks.0.size: "),
        ("POST", "/v1/jobs", change_task(timeout=0), 400, "tasks.0.timeout: "),
        ("POST", "/v1/jobs", change_task(memory=2**70), 400, "tasks.0.memory: "),
        ("POST", "/v1/jobs", change_task(payload=2**70), 400, "tasks.0.payload: int"),
        (
            "POST",
            "/v1/jobs",
            change_task(payload=[float("nan")]),
            400,
            "tasks.0.payload: number",
        ),
        (
            "POST",
            "/v1/jobs",
            change_task(payload="x" * BODY_LIMIT),
            413,
            "body: larger",
        ),
        (
            "POST",
            "/v1/jobs",
            b"x" * (BODY_LIMIT * 9),
            413,
            "body: larger than 20000 bytes",
        ),
        ("POST", "/v1/requests", REQUEST | {"idempotent": 1}, 400, "idempotent: "),
        ("POST", "/v1/requests", REQUEST | {"timeout": None}, 400, "timeout: "),
        ("PUT", "/v1/backend-servers/a%20b", SERVER, 400, "id: "),
        ("PUT", "/v1/backend-servers/%ff", SERVER, 400, "Invalid unicode"),
        ("PUT", "/v1/backend-servers/s", SERVER | {"slots": 0}, 400, "slots: "),
        (
            "PUT",
            "/v1/backend-servers/s",
            SERVER | {"availability_zone": "b"},
            400,
            "availability_zone: unknown availability zone 'b'",
        ),
        (
            "PUT",
            "/v1/backend-servers/s",
            SERVER | {"address": "http://a b/"},
            400,
            "address: ",
        ),
        ("POST", "/v1/job-ids", {"count": 1001}, 400, "count: "),
        ("GET", "/v1/jobs/a%20b", None, 400, "id: "),
        ("DELETE", "/v1/jobs/" + "x" * 201, None, 400, "id: "),
        (
            "POST",
            "/v1/configuration/commands",
            COMMAND | {"expected_version": 2**70},
            400,
            "expected_version: ",
        ),
        (
            "POST",
            "/v1/configuration/commands",
            COMMAND | {"command": 1},
            400,
            "command",
        ),
        (
            "POST",
            "/v1/configuration/commands",
            COMMAND | {"command": {"kind": "evacuate_zone", "zone": "b"}},
            400,
            "zone: unknown availability zone 'b'; known are a",
        ),
        (
            "POST",
            "/v1/configuration/commands",
            COMMAND | {"command": {"kind": "return_zone", "zone": "a b"}},
            400,
            "command.return_zone.zone: ",
        ),
        (
            "GET",
            "/v1/configuration/history?limit=" + "9" * 5000,
            None,
            400,
            "limit: ",
        ),
        ("GET", "/v2/none", None, 404, "path '/v2/none' does not exist"),
        ("POST", "/v2/none", b"x" * (BODY_LIMIT + 1), 413, "body: larger"),
        ("GET", "/v1/jobs", None, 405, "method GET is not allowed on '/v1/jobs'"),
        ("DELETE", "/v1/status", None, 405, "method DELETE is not allowed"),
    ],
)
def test_bad_input_is_not_run_and_names_the_field(
    limited_system: System, method: str, path: str, body: Any, code: int, error: str
) -> None:
    """Guards against refusals that callers cannot act on, and against tracebacks."""
    url = limited_system.daemons_by_id["a1"].url
    answered, answer = call(method, url + path, body)
    assert (answered, answer["status"]) == (code, "not_run")
    assert answer["error"].startswith(error), answer
    assert "traceback" not in limited_system.daemons_by_id["a1"].log.read_text().lower()


def test_chunked_body_above_the_limit_gets_413(limited_system: System) -> None:
    """Guards against a limit that is enforced only for a declared length."""
    address = limited_system.daemons_by_id["a1"].url.removeprefix("http://")
    connection = http.client.HTTPConnection(address, timeout=10)
    for _ in range(2):
        chunks = (b"x" * (BODY_LIMIT // 2) for _ in range(3))
        connection.request("POST", "/v1/jobs", chunks, encode_chunked=True)
        response = connection.getresponse()
        assert response.status == 413
        assert json.load(response)["status"] == "not_run"
    connection.close()


def test_expect_100_continue_is_refused_before_a_large_body(
    limited_system: System,
) -> None:
    """Guards against transferring a body that is certain to be refused."""
    host, port = (
        limited_system.daemons_by_id["a1"].url.removeprefix("http://").split(":")
    )
    with socket.create_connection((host, int(port)), timeout=10) as connection:
        connection.sendall(
            b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 30000\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        assert connection.makefile("rb").read().startswith(b"HTTP/1.1 413 ")


def test_overload_is_not_run_with_retry_after(limited_system: System) -> None:
    """Guards against refused callers that retry immediately."""
    address = limited_system.daemons_by_id["a1"].url.removeprefix("http://")
    connection = http.client.HTTPConnection(address, timeout=10)
    connection.request("POST", "/v1/jobs", json.dumps(make_job("full", tasks=4)))
    response = connection.getresponse()
    assert (response.status, response.headers["Retry-After"]) == (503, "1")
    assert json.load(response)["status"] == "not_run"
    connection.request("GET", "/metrics")
    samples = connection.getresponse().read().decode().splitlines()
    assert "boragetide_pool_queued_tasks 0" in samples
    assert 'boragetide_mailbox_messages{controller="jobs"} 0' in samples
    assert any('_count{class="default",status="not_run"} 1' in line for line in samples)
    connection.close()


def test_deep_payload_is_refused() -> None:
    """Guards against values that the codec between instances cannot encode."""
    text = b"[" * 300 + b"]" * 300
    assert may_have_unsupported_value(text)
    assert (
        find_unsupported_value(json.loads(text)) == "nested more than 200 levels deep"
    )
    assert not may_have_unsupported_value(b"[" * 9 + b"]" * 9)
    assert find_unsupported_value([[[1]]]) is None


def test_operators_see_servers_of_all_zones_and_roles(system: System) -> None:
    """Guards against lists that show only the daemon's own zone."""
    system.start({"a1": "a", "a2": "a", "b1": "b"})
    system.add_server("s1", "a", slots=4)
    system.add_server("s2", "b")
    url = system.daemons_by_id["a2"].url
    listed = call("GET", f"{url}/v1/backend-servers")[1]
    servers = listed["backend_servers"]
    assert [each["id"] for each in servers] == ["s1", "s2"]
    assert [each["availability_zone"] for each in servers] == ["a", "b"]
    assert listed["silent_placers"] == listed["zones_without_placer"] == []
    status = call("GET", f"{url}/v1/status")[1]
    roles = {each["id"]: each["role"] for each in status["instances"]}
    assert roles == {"a1": "placer", "a2": "entry", "b1": "placer"}
    assert (status["instance"], status["availability_zone"]) == ("a2", "a")
    placer = call("GET", f"{system.daemons_by_id['a1'].url}/v1/status")[1]
    assert placer["pool"]["slots"] == 4
