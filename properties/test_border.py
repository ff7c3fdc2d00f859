"""No request body makes a daemon fail: every answer is a whole one or a 4xx."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from boragetide.tests.conftest import System, call

ALLOWED = frozenset({200, 400, 404, 413})

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
    """Two daemons, so that bodies also pass the codec between instances."""
    made = System(tmp_path_factory.mktemp("border"))
    made.start({"a1": "a", "a2": "a"})
    made.add_server("s1", "a", speed=1000.0)
    yield made
    made.close()


def check(system: System, method: str, path: str, body: Any) -> None:
    """Send a body to the instance that does not place, and judge the answer."""
    daemon = system.daemons_by_id["a2"]
    code, answer = call(method, daemon.url + path, body, timeout=20.0)
    assert code in ALLOWED, (code, answer)
    assert code == 200 or (answer["status"] == "not_run" and answer["error"])
    for each in system.daemons_by_id.values():
        assert "Traceback" not in each.log.read_text()


@given(body=st.binary(max_size=200) | json_values.map(lambda v: json.dumps(v).encode()))
def test_any_bytes_are_refused(installation: System, body: bytes) -> None:
    """Guards against bodies that reach a traceback instead of a refusal."""
    check(installation, "POST", "/v1/jobs", body)


@given(body=jobs)
def test_nearly_valid_jobs_are_answered(installation: System, body: Any) -> None:
    """Guards against values that pass the border and break something behind it."""
    check(installation, "POST", "/v1/jobs", body)


@given(body=requests)
def test_nearly_valid_requests_are_answered(installation: System, body: Any) -> None:
    """Guards against values that pass the border and break something behind it."""
    check(installation, "POST", "/v1/requests", body)


@given(body=servers, server_id=st.text(min_size=1, max_size=10))
def test_bad_announcements_are_refused(
    installation: System, body: Any, server_id: str
) -> None:
    """Guards against announcements that put a broken record into a pool."""
    path = "".join(f"%{byte:02x}" for byte in server_id.encode("utf-8"))
    check(installation, "PUT", f"/v1/backend-servers/{path}", body)
