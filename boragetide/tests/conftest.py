"""Shared fixtures: settings, and real daemons and backend servers as processes."""

from __future__ import annotations

import fcntl
import itertools
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

import pytest

from boragetide.policy.routing import find_claim_group
from boragetide.settings import Settings, load_settings, parse_settings
from boragetide.tests.durable_fixtures import Leader
from boragetide.tests.relay import Relay, RelayLoop

WAIT_LIMIT = 20.0  # seconds to wait for an event before the test fails
POLL = 0.05  # seconds
DAEMON_MODULE = ("boragetide.daemon",)


# Ports below the kernel's ephemeral range, so that no outgoing connection takes a port
# between the check that it is free and the moment when the daemon listens on it.
_PORTS = itertools.cycle(range(12_000, 32_000))
for _ in range(random.SystemRandom().randrange(20_000)):
    next(_PORTS)
# A port stays free until its daemon listens, so another test process could choose the
# same one. Each test process therefore holds a file lock on the ports it has chosen.
_PORT_LOCKS = Path(tempfile.gettempdir()) / "boragetide-test-ports"
_held_locks: list[IO[bytes]] = []


def free_port() -> int:
    """Return a free loopback TCP port and reserve it for this test process."""
    for port in _PORTS:
        if not _lock_port(port):
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise AssertionError("no free port")


def _lock_port(port: int) -> bool:
    _PORT_LOCKS.mkdir(exist_ok=True)
    lock = (_PORT_LOCKS / str(port)).open("ab")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        lock.close()
        return False
    _held_locks.append(lock)
    return True


def wait_for(
    condition: Callable[[], Any], description: str, limit: float = WAIT_LIMIT
) -> Any:
    """Poll until a condition is true and return its value."""
    deadline = time.monotonic() + limit
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL)
    raise AssertionError(f"timed out after {limit} s waiting for {description}")


def call(
    method: str, url: str, body: Any = None, timeout: float = 60.0
) -> tuple[int, Any]:
    """Make one HTTP call and return its status code and JSON body."""
    data = (
        body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
    )
    request = urllib.request.Request(
        url, data, {"Content-Type": "application/json"}, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, json.load(response)
    except urllib.error.HTTPError as error:
        return error.code, json.load(error)


@dataclass
class Daemon:
    """A daemon as a process."""

    id: str
    zone: str
    url: str
    config: Path
    log: Path
    module: tuple[str, ...] = DAEMON_MODULE
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process and wait until it answers."""
        self.spawn()
        wait_for(self.is_up, f"daemon {self.id}")

    def spawn(self) -> None:
        """Start the process without waiting for it."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self.module, "--config", self.config],
                stderr=log,
            )

    def is_up(self) -> bool:
        """Return whether the daemon answers health checks."""
        try:
            return call("GET", f"{self.url}/healthz", timeout=1.0)[0] == 200
        except OSError:
            return False

    def is_ready(self) -> bool:
        """Return whether the daemon accepts requests."""
        try:
            return call("GET", f"{self.url}/readyz", timeout=5.0)[0] == 200
        except OSError:
            return False

    def stop(self) -> int:
        """Stop the process gracefully and return its exit code."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(WAIT_LIMIT)

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.process.kill()
        self.process.wait(WAIT_LIMIT)

    def pause(self) -> None:
        """Pause the process with SIGSTOP."""
        os.kill(self.process.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process."""
        os.kill(self.process.pid, signal.SIGCONT)

    def status(self) -> dict[str, Any]:
        """Return the status that the daemon reports."""
        return call("GET", f"{self.url}/v1/status")[1]

    def metric(self, name: str) -> float:
        """Return the sum of a counter over all its labels."""
        with urllib.request.urlopen(f"{self.url}/metrics", timeout=5.0) as response:
            lines = response.read().decode().splitlines()
        pattern = re.compile(rf"boragetide_{name}_total({{.*}})? ")
        return sum(float(line.split()[-1]) for line in lines if pattern.match(line))

    def log_lines(self, event: str) -> list[str]:
        """Return the log lines of an event."""
        lines = self.log.read_text().splitlines()
        return [line for line in lines if f"event={event} " in line + " "]


@dataclass
class System:
    """Daemons and backend servers of one test."""

    folder: Path
    module: tuple[str, ...] = DAEMON_MODULE
    daemons_by_id: dict[str, Daemon] = field(default_factory=dict)
    servers_by_id: dict[str, str] = field(default_factory=dict)
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)
    relays_by_link: dict[tuple[str, str], Relay] = field(default_factory=dict)
    relay_loop: RelayLoop | None = None
    pool: ThreadPoolExecutor = field(default_factory=lambda: ThreadPoolExecutor(64))

    def start(
        self,
        zones_by_id: dict[str, str],
        *,
        disks: tuple[str, ...] | None = None,
        timing: str = "",
        relayed: bool = False,
    ) -> None:
        """Start one daemon per entry and wait until all of them are ready.

        Ready means that the daemons see each other, accept requests and have registered
        their acceptors.

        Parameters
        ----------
        zones_by_id
            Availability zone of each instance.
        disks
            Ids of the instances that have a disk; by default the first three.
        timing
            Lines of the settings section ``[timing]``, and sections that follow it.
        relayed
            Whether each link from one daemon to another goes through its own relay.
        """
        ids = tuple(zones_by_id)
        disks = ids[:3] if disks is None else disks
        ports = {peer: (free_port(), free_port()) for peer in ids}
        for own in ids:
            config = self.folder / f"{own}.ini"
            connect_ports = self._relay(own, ports) if relayed else ports
            sections = [
                _format_peer(
                    peer,
                    own,
                    zones_by_id[peer],
                    connect_ports[peer],
                    disks,
                    self.folder,
                )
                for peer in ids
            ]
            config.write_text("\n".join([*sections, f"[timing]\n{timing}"]))
            url = f"http://127.0.0.1:{ports[own][0]}"
            log = self.folder / f"{own}.log"
            self.daemons_by_id[own] = Daemon(
                own, zones_by_id[own], url, config, log, self.module
            )
        for daemon in self.daemons_by_id.values():
            daemon.start()
        self.wait_for_members(len(ids))
        for daemon in self.daemons_by_id.values():
            wait_for(daemon.is_ready, f"{daemon.id} to be ready")
        settings = load_settings(self.daemons_by_id[ids[0]].config)
        for zone in settings.zones:
            for acceptor in find_claim_group(zone, settings):
                wait_for(
                    lambda name=acceptor: self.daemons_by_id[name].log_lines(
                        "acceptor_complete"
                    ),
                    f"{acceptor} to be registered",
                )

    def _relay(
        self, own: str, ports: dict[str, tuple[int, int]]
    ) -> dict[str, tuple[int, int]]:
        self.relay_loop = self.relay_loop or RelayLoop()
        connect_ports = dict(ports)
        for peer, (http_port, peer_port) in ports.items():
            if peer != own:
                relay = Relay(self.relay_loop, free_port(), peer_port)
                self.relays_by_link[own, peer] = relay
                connect_ports[peer] = (http_port, relay.port)
        return connect_ports

    def relays_across(self, inside: Iterable[str]) -> list[Relay]:
        """Return the relays between the daemons in ``inside`` and all others."""
        inside = set(inside)
        return [
            relay
            for ends, relay in self.relays_by_link.items()
            if len(inside.intersection(ends)) == 1
        ]

    def wait_for_members(self, count: int) -> None:
        """Wait until every running daemon sees ``count`` instances."""
        for daemon in self.daemons_by_id.values():
            if daemon.process.poll() is None:
                wait_for(
                    lambda daemon=daemon: len(daemon.status()["instances"]) == count,
                    f"{daemon.id} to see {count} instances",
                )

    def add_server(
        self, server_id: str, zone: str, *, slots: int = 8, speed: float = 1.0
    ) -> None:
        """Start a backend server and wait until a placer of its zone leases it."""
        daemons = [d for d in self.daemons_by_id.values() if d.zone == zone]
        command = [sys.executable, "-m", "examples.backend_server"]
        command += [f"--id={server_id}", f"--zone={zone}", f"--slots={slots}"]
        command += [f"--speed={speed}", *(f"--daemon={d.url}" for d in daemons)]
        process = subprocess.Popen(command, stdout=subprocess.PIPE)
        self.processes.append(process)
        self.servers_by_id[server_id] = process.stdout.readline().decode().strip()
        wait_for(
            lambda: any(
                f"server={server_id} " in line + " "
                for daemon in daemons
                for line in daemon.log_lines("backend_server_joined")
            ),
            f"backend server {server_id} to join",
        )

    def starts_by_task(self) -> dict[str, int]:
        """Return how often each task was started, over all backend servers."""
        total: dict[str, int] = {}
        for address in self.servers_by_id.values():
            for task, count in call("GET", f"{address}/starts")[1].items():
                total[task] = total.get(task, 0) + count
        return total

    def control(self, server_id: str, **options: Any) -> None:
        """Change the behaviour of a backend server."""
        call("POST", f"{self.servers_by_id[server_id]}/control", options)

    def submit(self, daemon_id: str, body: dict[str, Any]) -> tuple[int, Any]:
        """Submit a job and wait for its answer."""
        return call("POST", f"{self.daemons_by_id[daemon_id].url}/v1/jobs", body)

    def submit_later(
        self, daemon_id: str, body: dict[str, Any]
    ) -> Future[tuple[int, Any]]:
        """Submit a job in the background."""
        return self.pool.submit(self.submit, daemon_id, body)

    def close(self) -> None:
        """Kill every process that this system started and close the relays."""
        daemons = [d.process for d in self.daemons_by_id.values() if d.process]
        for process in [*daemons, *self.processes]:
            if process.poll() is None:
                process.kill()
                process.wait(WAIT_LIMIT)
            if process.stdout is not None:
                process.stdout.close()
        for relay in self.relays_by_link.values():
            relay.cut()
        if self.relay_loop is not None:
            self.relay_loop.close()
        self.pool.shutdown(wait=False, cancel_futures=True)


def _format_peer(
    peer: str,
    own: str,
    zone: str,
    ports: tuple[int, int],
    disks: tuple[str, ...],
    folder: Path,
) -> str:
    lines = [f"[instance]\nid = {peer}" if peer == own else f"[peer {peer}]"]
    lines.append(f"availability-zone = {zone}")
    lines.append(f"http-address = 127.0.0.1:{ports[0]}")
    lines.append(f"peer-address = 127.0.0.1:{ports[1]}")
    if peer in disks:
        lines.append("disk = yes")
        if peer == own:
            lines.append(f"data-folder = {folder / own}-data")
    return "\n".join(lines)


def make_job(job_id: str, tasks: int = 4, work: float = 0.1) -> dict[str, Any]:
    """Build the body of a job whose tasks take ``work`` seconds at speed 1."""
    return {
        "id": job_id,
        "class": "default",
        "tasks": [
            {"payload": {"work": work, "number": number}, "size": work}
            for number in range(tasks)
        ],
    }


@pytest.fixture
def system(tmp_path: Path) -> Iterator[System]:
    """Real daemons and backend servers, killed after the test."""
    made = System(tmp_path)
    yield made
    made.close()


@pytest.fixture
def settings() -> Settings:
    """Settings of instance ``a1`` among three instances of one zone."""
    return make_settings("a1", {"a1": "a", "a2": "a", "a3": "a"})


def make_settings(own: str, zones_by_id: dict[str, str]) -> Settings:
    """Build settings for unit tests; every instance has a disk."""
    sections = [
        _format_peer(
            peer,
            own,
            zone,
            (8000 + number, 9000 + number),
            tuple(zones_by_id),
            Path("unused"),
        )
        for number, (peer, zone) in enumerate(zones_by_id.items())
    ]
    return parse_settings("\n".join(sections))


@pytest.fixture
def leader(settings: Settings) -> Leader:
    """A leader with one backend server that has capacity for two tasks."""
    made = Leader(settings)
    made.lead()
    made.join()
    return made
