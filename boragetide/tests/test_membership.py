"""Membership of instances and backend servers, through real processes."""

from __future__ import annotations

import itertools
import re
import threading
import time
from collections.abc import Iterator
from concurrent.futures import Future
from contextlib import contextmanager
from datetime import datetime
from typing import Any

import pytest

from boragetide.tests.conftest import Daemon, System, call, make_job, wait_for

QUICK_TIMING = "heartbeat-interval = 200 ms\ninstance-silence = 1 s"
THREE_INSTANCES = {"a1": "a", "a2": "a", "a3": "a"}
SERVICE_LIMIT = 5.0  # seconds until a zone serves again


def find_placer(daemon: Daemon, zone: str = "a") -> str | None:
    """Return the placer of a zone as a daemon sees it."""
    for record in daemon.status()["instances"]:
        if record["availability_zone"] == zone and record["role"] == "placer":
            return record["id"]
    return None


def wait_for_placer(system: System, placer: str, *daemons: str) -> None:
    """Wait until the named daemons agree on the placer."""
    for daemon_id in daemons:
        daemon = system.daemons_by_id[daemon_id]
        wait_for(
            lambda daemon=daemon: find_placer(daemon) == placer,
            f"{daemon_id} to see placer {placer}",
        )


@contextmanager
def generate_load(
    system: System, *daemons: str, clients: int = 2
) -> Iterator[list[Any]]:
    """Submit jobs one after another through each daemon; yields the answers.

    A client that is refused because its daemon is stopping waits until the daemon is
    ready again, as a load balancer does.
    """
    stop = threading.Event()
    answers: list[tuple[str, int, Any]] = []

    def submit_all(daemon: str, client: int) -> None:
        for number in itertools.count():
            if stop.is_set():
                return
            job = make_job(f"{daemon}-{client}-{number}", tasks=4, work=0.05)
            code, answer = system.submit(daemon, job)
            answers.append((daemon, code, answer))
            if "stopping" in (answer.get("error") or ""):
                wait_for(
                    lambda: stop.is_set() or system.daemons_by_id[daemon].is_ready(),
                    f"{daemon} to be ready",
                )

    running: list[Future[None]] = [
        system.pool.submit(submit_all, daemon, client)
        for daemon in daemons
        for client in range(clients)
    ]
    yield answers
    stop.set()
    for future in running:
        future.result(30.0)


def find_unexpected_answers(answers: list[Any], *stopped: str) -> list[Any]:
    """Return the unexpected answers of a load during which some daemons were stopped.

    Every answer must be ``complete``, except that a stopped daemon may refuse a job
    with status 503 and ``not_run``.
    """
    return [
        (daemon, code, answer)
        for daemon, code, answer in answers
        if answer["status"] != "complete"
        and not (daemon in stopped and answer["status"] == "not_run" and code == 503)
    ]


def wait_for_more(answers: list[Any], count: int) -> None:
    """Wait until ``count`` further answers have arrived."""
    wanted = len(answers) + count
    wait_for(lambda: len(answers) >= wanted, f"{count} answers")


def read_times(daemon: Daemon, event: str) -> list[float]:
    """Return when an event was logged, in Unix time."""
    times = (re.search(r"time=(\S+)", line)[1] for line in daemon.log_lines(event))
    return [datetime.fromisoformat(text).timestamp() for text in times]


def wait_for_service(system: System, daemon: str, name: str) -> None:
    """Wait until a daemon completes a job, for as long as a role change may take."""
    numbers = itertools.count()

    def is_served() -> bool:
        job = make_job(f"{name}-{next(numbers)}", tasks=1, work=0.05)
        return system.submit(daemon, job)[1]["status"] == "complete"

    wait_for(is_served, f"{daemon} to serve", SERVICE_LIMIT)


def test_planned_restarts_of_each_placer_lose_no_request(system: System) -> None:
    """Guards against requests that a planned stop fails, cuts off or leaves unknown."""
    system.start(THREE_INSTANCES)
    for number in range(3):
        system.add_server(f"s{number}", "a")
    with generate_load(system, "a1", "a2", "a3") as answers:
        wait_for_more(answers, 10)
        for daemon_id, placer in (("a1", "a2"), ("a2", "a3"), ("a3", "a1")):
            wait_for_placer(system, daemon_id, "a1", "a2", "a3")
            daemon = system.daemons_by_id[daemon_id]
            assert daemon.stop() == 0
            daemon.start()
            system.wait_for_members(3)
            wait_for(daemon.is_ready, f"{daemon_id} to be ready")
            wait_for_placer(system, placer, "a1", "a2", "a3")
            wait_for_more(answers, 10)
    assert find_unexpected_answers(answers, "a1", "a2", "a3") == []
    assert set(system.starts_by_task().values()) == {1}


def test_killed_placer_is_replaced_within_5_s(system: System) -> None:
    """Guards against a zone that is not served any more after its placer was killed."""
    system.start(THREE_INSTANCES)
    system.add_server("s1", "a")
    running = system.submit_later("a2", make_job("job-1", work=10.0))
    wait_for(system.starts_by_task, "the job to start")
    system.daemons_by_id["a1"].kill()
    wait_for_service(system, "a3", "after")
    assert running.result(SERVICE_LIMIT)[1]["status"] == "unknown"


def test_frozen_placer_is_replaced_and_does_not_take_the_role_back(
    system: System,
) -> None:
    """Guards against a placer role that moves back to an instance after its pause."""
    system.start(THREE_INSTANCES)
    system.add_server("s1", "a")
    frozen = system.daemons_by_id["a1"]
    frozen.pause()
    wait_for_service(system, "a3", "frozen")
    frozen.resume()
    wait_for_placer(system, "a2", "a1", "a2", "a3")
    wait_for_service(system, "a1", "resumed")
    for other in ("a2", "a3"):
        lines = system.daemons_by_id[other].log_lines("placer_changed")
        assert [re.search(r"placer=(\S+)", line)[1] for line in lines][-1:] == ["a2"]
        assert len(lines) <= 3


@pytest.mark.parametrize("both", [False, True])
def test_silent_link_is_replaced_within_5_s(system: System, both: bool) -> None:
    """Guards against keeping an open connection that no longer delivers anything."""
    system.start(THREE_INSTANCES, relayed=True)
    ends = [("a1", "a2"), ("a2", "a1")] if both else [("a1", "a2")]
    relays = [system.relays_by_link[link] for link in ends]
    for relay in relays:
        relay.silence()
    before = [relay.forwarded_bytes for relay in relays]
    wait_for(
        lambda: all(
            relay.forwarded_bytes > count
            for relay, count in zip(relays, before, strict=True)
        ),
        "new connections to carry messages",
        5.0,
    )
    system.wait_for_members(3)


def test_zone_that_was_cut_off_serves_and_heals_without_a_surge(
    system: System,
) -> None:
    """Guards against bursts of messages and of role changes when a partition heals."""
    system.start(
        {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}, relayed=True, timing=QUICK_TIMING
    )
    system.add_server("s1", "a")
    system.add_server("s2", "b")
    normal = count_messages(system)
    for relay in system.relays_across(("a1", "a2")):
        relay.cut()
    system.wait_for_members(2)
    for daemon_id, job_id in (("a2", "a:1"), ("b2", "b:1")):
        code, answer = system.submit(daemon_id, make_job(job_id))
        assert (code, answer["status"]) == (200, "complete")
    changes = count_role_changes(system)
    for relay in system.relays_across(("a1", "a2")):
        relay.heal()
    healing = count_messages(system)
    system.wait_for_members(4)
    assert healing < 1.5 * normal
    assert count_role_changes(system) == changes


def count_messages(system: System, seconds: float = 1.0) -> float:
    """Count the messages that all daemons send in ``seconds``."""

    def read() -> float:
        daemons = system.daemons_by_id.values()
        return sum(daemon.metric("peer_messages_sent") for daemon in daemons)

    before = read()
    time.sleep(seconds)
    return read() - before


def count_role_changes(system: System) -> int:
    """Count the changes of placer that all daemons have logged."""
    daemons = system.daemons_by_id.values()
    return sum(len(daemon.log_lines("placer_changed")) for daemon in daemons)


def test_leaving_server_finishes_its_task_and_gets_nothing_new(system: System) -> None:
    """Guards against new tasks on a leaving server, and against stopping its task."""
    system.start(THREE_INSTANCES)
    system.add_server("s1", "a", slots=1)
    long = system.submit_later("a2", make_job("long", tasks=1, work=4.0))
    wait_for(system.starts_by_task, "the task to start")
    system.control("s1", leaving=True)
    left_at = time.time()
    system.add_server("s2", "a", slots=1)
    with generate_load(system, "a1", "a2", "a3") as answers:
        wait_for(lambda: time.time() > left_at + 3.0, "3 s")
        wait_for_more(answers, 5)
    assert find_unexpected_answers(answers) == []
    assert long.result()[1]["status"] == "complete"
    assert list(call("GET", f"{system.servers_by_id['s1']}/starts")[1]) == ["long.0"]


def test_leaving_announced_behind_a_partition_ends_dispatches(
    system: System,
) -> None:
    """Guards against a placer that keeps using a leaving server it was not told about.

    The announcement reaches only ``a3``, which is cut off from the placer ``a1``.
    ``a3`` regards ``a2`` as the next placer, while ``a2`` still follows ``a1``.
    """
    system.start(THREE_INSTANCES, relayed=True)
    system.add_server("s1", "a", slots=4)
    system.submit_later("a1", make_job("job-1", tasks=400, work=0.1))
    wait_for(system.starts_by_task, "the job to start")
    for ends in (("a1", "a3"), ("a3", "a1")):
        system.relays_by_link[ends].silence(include_new=True)
    url = system.daemons_by_id["a3"].url
    system.control("s1", leaving=True, announce_at=url)
    left_at = time.time()
    wait_for(lambda: time.time() > left_at + 3.0, "3 s")
    starts = len(system.starts_by_task())
    assert 4 <= starts < 400
    wait_for(lambda: time.time() > left_at + 4.0, "another second")
    assert len(system.starts_by_task()) == starts


def test_seven_daemons_over_three_zones_see_each_other_within_5_s(
    system: System,
) -> None:
    """Guards against slow or incomplete views with the expected number of instances."""
    zones = {f"{zone}{number}": zone for zone in "abc" for number in (1, 2)}
    system.start({**zones, "c3": "c"})
    daemons = system.daemons_by_id.values()
    started = max(max(read_times(daemon, "started")) for daemon in daemons)
    heard = max(max(read_times(daemon, "instance_heard")) for daemon in daemons)
    assert heard - started < 5.0
    assert all(len(daemon.log_lines("instance_lost")) == 0 for daemon in daemons)
