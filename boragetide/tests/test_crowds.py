"""Clients that hold memory and connections of a daemon, by a real process.

A daemon must stay alive, within the memory and the descriptors of its machine, and
answer ordinary callers while such clients stay connected.
"""

from __future__ import annotations

from uuid import uuid4

import pytest

from boragetide.tests.conftest import System, make_job, wait_for
from boragetide.tests.crowds import (
    MIB,
    Sending,
    Server,
    check_with_crowd,
    encode,
    fetch,
    few_file_descriptors,
    make_body_crowds,
    make_connection_crowds,
    make_unread_crowd,
)

pytestmark = [pytest.mark.crowd, pytest.mark.usefixtures("one_crowd_at_a_time")]
# The daemon's settings do not name the memory of its machine. With this body limit,
# that of the small machine must suffice.
BODY_BYTES = MIB
SETTINGS = f"[limits]\nbody-bytes = {BODY_BYTES}\n"
UNREAD_CONNECTIONS = 100
RESULT_BYTES = 800 * 1024
CROWDS = {**make_body_crowds(BODY_BYTES), **make_connection_crowds()}


@pytest.fixture
def small_system(system: System) -> System:
    """Start one daemon with few descriptors, and a backend server."""
    with few_file_descriptors():
        system.start({"a1": "a"}, timing=SETTINGS)
    system.add_server("b1", "a")
    return system


def find_server(system: System, path: str, method: str = "POST") -> Server:
    """Return the daemon's server with a path."""
    host, port = system.daemons_by_id["a1"].url.removeprefix("http://").split(":")
    return Server(host, int(port), path, method)


def is_served(system: System) -> bool:
    """Return whether a job, readiness checks and the metrics are answered."""
    job = encode(make_job(uuid4().hex, tasks=1, work=0.01))
    if fetch(find_server(system, "/v1/jobs"), job)[0] != 200:
        return False
    paths = ("/healthz", "/readyz", "/metrics", "/v1/status")
    return all(fetch(find_server(system, path, "GET"))[0] == 200 for path in paths)


def check(system: System, server: Server, sending: Sending) -> None:
    """Let a crowd connect to the daemon, and check the daemon."""
    pid = system.daemons_by_id["a1"].process.pid
    check_with_crowd(server, sending, pid, {server.port}, lambda: is_served(system))


@pytest.mark.parametrize("kind", CROWDS)
def test_callers(small_system: System, kind: str) -> None:
    """Guards against a daemon that is ended by clients that hold connections."""
    check(small_system, find_server(small_system, "/v1/jobs"), CROWDS[kind])


@pytest.mark.parametrize("kind", ["whole", "large-chunks"])
def test_announcements(small_system: System, kind: str) -> None:
    """Guards against a daemon that is ended by announcements that stay unfinished."""
    server = find_server(small_system, "/v1/backend-servers/b9", "PUT")
    check(small_system, server, CROWDS[kind])


def test_large_answers_that_are_not_read(small_system: System) -> None:
    """Guards against large answers that pile up."""
    job = {**make_job("", tasks=1, work=0.01), "id": "large"}
    job["tasks"][0]["payload"]["fill"] = "x" * RESULT_BYTES
    jobs = find_server(small_system, "/v1/jobs")
    wait_for(lambda: fetch(jobs, encode(job))[0] == 200, "the large job")
    get = find_server(small_system, "/v1/jobs/large", "GET")
    assert len(fetch(get)[1]) > RESULT_BYTES
    check(small_system, get, make_unread_crowd(UNREAD_CONNECTIONS))
