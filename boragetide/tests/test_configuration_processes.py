"""The configuration of real daemons that are killed, paused or lose their data."""

from __future__ import annotations

import shutil
import time
from typing import Any

import pytest

from boragetide.tests.conftest import WAIT_LIMIT, System, call, wait_for

ZONES = {"a1": "a", "a2": "a", "a3": "a"}
PROPAGATION_LIMIT = 5.0  # seconds until all instances use an accepted change


def propose(
    system: System, daemon: str, command_id: str, version: int, **command: Any
) -> tuple[int, Any]:
    """Propose the given command, or one that sets the class ``batch`` if omitted."""
    target = {"kind": "set_class", "name": "batch", "response_time": 2.0}
    body = {
        "command_id": command_id,
        "expected_version": version,
        "command": command or {**target, "busy_share": 0.5},
    }
    url = f"{system.daemons_by_id[daemon].url}/v1/configuration/commands"
    return call("POST", url, body)


def read_configuration(system: System, daemon: str) -> dict[str, Any]:
    return call("GET", f"{system.daemons_by_id[daemon].url}/v1/configuration")[1]


def list_history(system: System, daemon: str) -> list[dict[str, Any]]:
    url = f"{system.daemons_by_id[daemon].url}/v1/configuration/history?limit=2000"
    return call("GET", url)[1]["entries"]


def is_ready(system: System, daemon: str) -> bool:
    return call("GET", f"{system.daemons_by_id[daemon].url}/readyz")[0] == 200


def wait_ready(system: System, daemon: str) -> None:
    wait_for(lambda: is_ready(system, daemon), f"{daemon} to be ready")


def wait_for_version(system: System, daemon: str, version: int) -> None:
    wait_for(
        lambda: read_configuration(system, daemon).get("version") == version,
        f"version {version} at {daemon}",
        PROPAGATION_LIMIT,
    )


def find_leader(system: System) -> str:
    """Return the running daemon that was elected in the newest term."""
    elections = [
        (int(line.split(" term=")[1].split()[0]), daemon.id)
        for daemon in system.daemons_by_id.values()
        if daemon.process.poll() is None
        for line in daemon.log_lines("leader_elected")
    ]
    return max(elections, default=(0, ""))[1]


def start(system: System, zones: dict[str, str] = ZONES, **options: Any) -> str:
    system.start(zones, **options)
    for daemon in zones:
        wait_ready(system, daemon)
    return wait_for(lambda: find_leader(system), "a leader")


def test_single_instance_is_ready_within_seconds(system: System) -> None:
    """Guards against a single instance that waits for other members."""
    system.start({"a1": "a"})
    wait_for(lambda: is_ready(system, "a1"), "a1 to be ready", 1.0)
    assert propose(system, "a1", "c1", 0) == (200, {"status": "accepted", "version": 1})


def test_seven_instances_elect_and_distribute(system: System) -> None:
    """Guards against changes that reach only instances with a disk."""
    zones = {f"{zone}{n}": zone for zone in "abc" for n in (1, 2)} | {"a3": "a"}
    system.start(zones, disks=("a1", "b1", "c1"))
    wait_for(lambda: find_leader(system), "a leader", 5.0)
    for daemon in zones:
        wait_ready(system, daemon)
    assert propose(system, "a3", "c1", 0)[0] == 200
    for daemon in zones:
        wait_for_version(system, daemon, 1)
        lines = system.daemons_by_id[daemon].log_lines("configuration_in_force")
        assert "version=1" in lines[-1]
    drain = {"kind": "drain_backend_server", "id": "s1"}
    assert propose(system, "b2", "c2", 1, **drain)[0] == 200
    assert [entry["command_id"] for entry in list_history(system, "a3")] == ["c2", "c1"]
    assert list_history(system, "a3")[0]["command"] == drain


def test_racing_operators_and_a_resent_command(system: System) -> None:
    """Guards against two accepted commands for one version, and applying one twice."""
    start(system)
    racing = [
        system.pool.submit(propose, system, daemon, f"c-{daemon}", 0)
        for daemon in ZONES
    ]
    outcomes = [future.result() for future in racing]
    assert sorted(code for code, _ in outcomes) == [200, 409, 409]
    assert {body["version"] for _, body in outcomes} == {1}
    assert propose(system, "a1", "late", 1)[1]["version"] == 2
    for daemon, outcome in zip(ZONES, outcomes, strict=True):
        for other in ZONES:
            assert propose(system, other, f"c-{daemon}", 0) == outcome
    assert len(list_history(system, "a1")) == 2


def test_invalid_command_is_refused_with_its_field(system: System) -> None:
    """Guards against invalid commands that change the configuration."""
    start(system, {"a1": "a"})
    code, body = propose(
        system, "a1", "c1", 0, kind="set_class", name="x", response_time=1, busy_share=2
    )
    assert (code, body["status"]) == (400, "not_run")
    assert "busy_share" in body["error"]
    assert read_configuration(system, "a1")["version"] == 0


def test_killed_leader_loses_no_accepted_change(system: System) -> None:
    """Guards against losing accepted changes that only the leader had."""
    leader = start(system)
    others = [daemon for daemon in ZONES if daemon != leader]
    accepted: dict[int, str] = {}

    def operate(daemon: str) -> None:
        version, number = 0, 0
        while len(accepted) < 40:
            number += 1
            command_id = f"{daemon}-{number}"
            code, body = propose(system, daemon, command_id, version)
            while code == 503:
                code, body = propose(system, daemon, command_id, version)
            if code == 200:
                accepted[body["version"]] = command_id
            version = body["version"]

    operators = [system.pool.submit(operate, daemon) for daemon in others]
    wait_for(lambda: len(accepted) >= 10, "ten changes")
    system.daemons_by_id[leader].kill()
    for operator in operators:
        operator.result(WAIT_LIMIT)
    system.daemons_by_id[leader].start()
    for daemon in ZONES:
        wait_for_version(system, daemon, max(accepted))
        history = list_history(system, daemon)
        assert {e["version"]: e["command_id"] for e in history} == accepted


@pytest.mark.parametrize("damage", ["lost", "corrupt"])
def test_lost_disk_followed_by_a_second_loss(system: System, damage: str) -> None:
    """Guards against a member that lost changes and then takes part in decisions."""
    leader = start(system)
    lost, second = leader, next(daemon for daemon in ZONES if daemon != leader)
    for version in range(5):
        assert propose(system, second, f"c{version}", version)[0] == 200
    system.daemons_by_id[lost].kill()
    folder = system.folder / f"{lost}-data"
    if damage == "lost":
        shutil.rmtree(folder)
    else:
        journal = folder / "configuration.journal"
        data = bytearray(journal.read_bytes())
        data[len(data) // 2] ^= 1
        journal.write_bytes(bytes(data))
    system.daemons_by_id[lost].start()
    wait_for(
        lambda: system.daemons_by_id[lost].log_lines("disk_caught_up"),
        f"{lost} to catch up",
    )
    system.daemons_by_id[second].kill()
    wait_for(
        lambda: (
            propose(system, lost, "after", 5)
            == (200, {"status": "accepted", "version": 6})
        ),
        "a change without the second member",
    )
    assert len(list_history(system, lost)) == 6


def test_restart_after_a_thousand_changes(system: System) -> None:
    """Guards against a restart that replays all changes, or reverts some."""
    start(system, {"a1": "a"})
    for version in range(1_000):
        assert propose(system, "a1", f"c{version}", version)[0] == 200
    journal = system.folder / "a1-data" / "configuration.journal"
    assert journal.stat().st_size < 400_000
    daemon = system.daemons_by_id["a1"]
    daemon.kill()
    began = time.monotonic()
    daemon.start()
    wait_ready(system, "a1")
    print(f"ready {time.monotonic() - began:.2f} s after the restart")
    assert time.monotonic() - began < 3.0
    assert read_configuration(system, "a1")["version"] == 1_000
    assert propose(system, "a1", "c17", 17)[1] == {"status": "accepted", "version": 18}


def test_minority_refuses_changes_and_serves(system: System) -> None:
    """Guards against a change that a minority accepts, or one that is lost later."""
    leader = start(system)
    assert propose(system, leader, "c0", 0)[0] == 200
    paused = [daemon for daemon in ZONES if daemon != leader]
    for daemon in paused:
        system.daemons_by_id[daemon].pause()
    code, body = propose(system, leader, "c1", 1)
    assert (code, body["status"]) == (503, "unknown")
    assert read_configuration(system, leader)["version"] == 1
    assert is_ready(system, leader)
    for daemon in paused:
        system.daemons_by_id[daemon].resume()
    wait_for(
        lambda: propose(system, paused[0], "c1", 1)[0] == 200, "the resent command"
    )
    for daemon in ZONES:
        wait_for_version(system, daemon, 2)


def test_restarts_never_revert_the_configuration(system: System) -> None:
    """Guards against an instance that serves an older version after a restart."""
    zones = {**ZONES, "x1": "a"}
    start(system, zones, disks=tuple(ZONES))
    assert propose(system, "x1", "c0", 0)[0] == 200
    for daemon in zones:
        wait_for_version(system, daemon, 1)
    for daemon in system.daemons_by_id.values():
        daemon.kill()
    for daemon in system.daemons_by_id.values():
        daemon.start()
    for daemon in zones:
        wait_ready(system, daemon)
        assert read_configuration(system, daemon)["version"] == 1
        lines = system.daemons_by_id[daemon].log_lines("configuration_in_force")
        versions = [int(line.split(" version=")[1].split()[0]) for line in lines]
        assert versions == sorted(versions)
