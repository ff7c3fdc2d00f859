"""No request body makes a daemon fail: every response is a 200 or an expected 4xx."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from boragetide.tests.conftest import System, call

ALLOWED = frozenset({200, 400, 404, 409, 413})

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=5), inner, max_size=4)
    ),
    max_leaves=10,
)
job_ids = st.uuids().map(str)
tasks = st.fixed_dictionaries(
    {"payload": json_values},
    optional={
        "size": st.floats(0.01, 10) | json_values,
        "timeout": st.floats(0.01, 10) | json_values,
        "cores": st.floats(0, 4) | json_values,
        "memory": st.integers(0, 2**70) | json_values,
    },
)
jobs = st.fixed_dictionaries(
    {
        "id": job_ids | json_values,
        "class": st.just("default") | json_values,
        "tasks": st.lists(tasks, max_size=4) | json_values,
    },
    optional={"team": json_values},
)
requests = st.fixed_dictionaries(
    {
        "id": job_ids,
        "class": st.just("default"),
        "payload": json_values,
        "idempotent": st.booleans() | json_values,
    },
    optional={"timeout": st.floats(0.01, 10) | json_values},
)
servers = st.fixed_dictionaries(
    {
        "address": st.just("http://127.0.0.1:9") | json_values,
        "availability_zone": st.just("a") | json_values,
        "slots": st.just(0) | json_values.filter(lambda value: value != 1),
    },
    optional={"rack": json_values, "memory": json_values, "leaving": json_values},
)


@pytest.fixture(scope="module")
def installation(tmp_path_factory: pytest.TempPathFactory) -> Iterator[System]:
    """Start two daemons, so that bodies also pass the codec between instances."""
    system = System(tmp_path_factory.mktemp("border"))
    system.start({"a1": "a", "a2": "a"})
    system.add_server("s1", "a", speed=1000.0)
    yield system
    system.close()


def check_response(system: System, method: str, path: str, body: Any) -> None:
    """Send a body to the instance that is not the placer, and check the response."""
    daemon = system.daemons_by_id["a2"]
    code, answer = call(method, daemon.url + path, body, timeout=20.0)
    assert code in ALLOWED, (code, answer)
    # Two examples may draw the same id with different payloads.
    assert code != 409 or "another job with other payloads" in answer["error"]
    assert code == 200 or (answer["status"] == "not_run" and answer["error"])
    for each in system.daemons_by_id.values():
        assert "Traceback" not in each.log.read_text()


@given(body=st.binary(max_size=200) | json_values.map(lambda v: json.dumps(v).encode()))
def test_any_bytes_are_refused(installation: System, body: bytes) -> None:
    """Guards against bodies that cause an unhandled exception, not a refusal."""
    check_response(installation, "POST", "/v1/jobs", body)


@given(body=jobs)
def test_nearly_valid_jobs_are_answered(installation: System, body: Any) -> None:
    """Guards against values that pass validation but fail in later processing."""
    check_response(installation, "POST", "/v1/jobs", body)


@given(body=requests)
def test_nearly_valid_requests_are_answered(installation: System, body: Any) -> None:
    """Guards against values that pass validation but fail in later processing."""
    check_response(installation, "POST", "/v1/requests", body)


@given(
    job_id=st.text(min_size=1, max_size=20), method=st.sampled_from(["GET", "DELETE"])
)
def test_any_job_id_in_a_path_is_answered(
    installation: System, job_id: str, method: str
) -> None:
    """Guards against job ids that are validated in a body but not in a path."""
    path = "".join(f"%{byte:02x}" for byte in job_id.encode())
    url = f"{installation.daemons_by_id['a2'].url}/v1/jobs/{path}"
    code, answer = call(method, url, timeout=20.0)
    assert code in {400, 404}, (code, answer)


@given(body=json_values.filter(lambda value: value != {}))
def test_bad_requests_for_ids_are_refused(installation: System, body: Any) -> None:
    """Guards against counts that make a daemon generate ids without a limit."""
    check_response(installation, "POST", "/v1/job-ids", body)


@given(body=servers, server_id=st.text(min_size=1, max_size=10))
def test_bad_announcements_are_refused(
    installation: System, body: Any, server_id: str
) -> None:
    """Guards against announcements that add an invalid record to a pool."""
    path = "".join(f"%{byte:02x}" for byte in server_id.encode("utf-8"))
    check_response(installation, "PUT", f"/v1/backend-servers/{path}", body)
