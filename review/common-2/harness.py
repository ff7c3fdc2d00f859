"""Processes, stand-ins and a record for the scripts of the second review.

Everything here uses the standard library only. The programs under test are started with
the commands of ``deploy/system.toml``, each on a loopback address of its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD = 0
BROKEN = 1
NOT_RUN = 2
HOST = "desk.example"
POOL = "pool1"
RESTART_DELAY = 0.5  # seconds until the platform starts a process that has ended
HEARTBEAT_MS = 1500
MAX_HOLD_MS = 1000
MAX_LISTED_ENDS = 500
MAX_WAIT_MS = 2000
FORWARDED_VARIABLES = ("PATH", "HOME", "LANG")
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catchup_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "recovery_s": 12,
    "max_hold_ms": MAX_HOLD_MS,
    "stop_grace_ms": 50,
    "gang_wait_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "retry_ms": 1300,
}


class CannotRun(Exception):
    """The case could not run, so that it says nothing about the rule."""


class Record:
    """What was sent, answered and run, in order; written to ``record.txt``."""

    def __init__(self, folder: Path):
        self.began = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def note(self, event: str, **fields: Any) -> float:
        """Write one line and return its time in seconds since the start."""
        at = time.monotonic() - self.began
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        print(f"{at:8.3f} {event} {text}".rstrip(), file=self.file)
        return at

    def close(self) -> None:
        """Close the file."""
        self.file.close()


# HTTP


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict, bytes] | None:
    """Return the first line, the headers and the body of a message."""
    line = await reader.readline()
    if not line:
        return None
    headers: dict[str, str] = {}
    while (header := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return line.decode("latin-1").strip(), headers, body


class Connection:
    """A client's connection that stays open between requests."""

    def __init__(self, ip: str, port: int):
        self.ip, self.port = ip, port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(self.ip, self.port)

    async def send(
        self, method: str, path: str, body: Any = None, headers: dict | None = None
    ) -> None:
        """Send one request."""
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}"]
        named = {"Host": HOST, "Content-Type": "application/json", **(headers or {})}
        lines += [f"{name}: {value}" for name, value in named.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        await self.writer.drain()

    async def receive(self, timeout: float) -> tuple[int, Any]:
        """Return the status and the body; status 0 if there is no whole response."""
        try:
            message = await asyncio.wait_for(read_message(self.reader), timeout)
        except (OSError, EOFError, TimeoutError):
            return 0, None
        if message is None:
            return 0, None
        line, _, body = message
        with contextlib.suppress(ValueError):
            return int(line.split()[1]), json.loads(body)
        return int(line.split()[1]), None

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


async def call(
    ip: str,
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: dict | None = None,
    timeout: float = 5.0,
) -> tuple[int, Any]:
    """Make one request over a connection of its own; status 0 without a response."""
    connection = Connection(ip, port)
    try:
        await asyncio.wait_for(connection.open(), timeout)
        await connection.send(method, path, body, headers)
        return await connection.receive(timeout)
    except (OSError, TimeoutError):
        return 0, None
    finally:
        connection.close()


# Workers


@dataclass
class Running:
    """A run that is at work."""

    run: int
    began: float
    ending: asyncio.TimerHandle


@dataclass
class Over:
    """A run that is over.

    Parameters
    ----------
    noted
        Time at which ``last_seen`` reached the end of the run, if it did.
    """

    task: str
    run: int
    began: float
    ended: float
    how: str
    number: int
    noted: float | None = None


@dataclass
class Worker:
    """A worker that follows the users' pages.

    Parameters
    ----------
    seconds
        Run time of a task, from its spec.
    fails
        Whether the worker fails all that it starts.
    runs
        Each run that is over; the times are those of the record.
    lapsed_at
        Times at which the lease of this life passed, with or without runs.
    position
        Which of ``controls`` is called next.
    state
        ``ready`` or ``draining``.
    delayed_until
        Time of the event loop until which its link delivers nothing.
    """

    id: str
    record: Record
    controls: list[tuple[str, int]]
    capacity: dict[str, int]
    ip: str = "127.0.0.1"
    labels: tuple[str, ...] = ("a", "r1-1")
    seconds: Callable[[str], float] = float
    fails: bool = False
    runs: list[Over] = field(default_factory=list)
    lapsed_at: list[float] = field(default_factory=list)
    has_lease: bool = False
    state: str = "ready"
    drain_acknowledged_at: float = 0.0
    lives: list[list[Over]] = field(default_factory=list)
    port: int = 0
    position: int = 0
    delayed_until: float = 0.0
    fence: int = 0
    deadline: float = 0.0
    sequence: int = 0
    end_count: int = 0
    born: int = 0
    acknowledged: int = 0
    running: dict[str, Running] = field(default_factory=dict)
    highest: dict[str, int] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    ended_event: asyncio.Event = field(default_factory=asyncio.Event)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    tasks: list[asyncio.Task] = field(default_factory=list)
    clock_began: float = 0.0

    async def start(self) -> None:
        """Begin a life: nothing of an earlier one is known."""
        self.fence = self.sequence = self.end_count = self.acknowledged = 0
        self.deadline, self.has_lease, self.state = 0.0, False, "ready"
        self.lives.append([])
        self.running, self.highest, self.ended = {}, {}, []
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.clock_began = time.monotonic() - 1.0
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port, backlog=2048
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.tasks = [
            asyncio.create_task(self._send_heartbeats()),
            asyncio.create_task(self._check_lease()),
        ]
        self.record.note("worker_up", worker=self.id, born=self.born)

    def crash(self) -> None:
        """End at once; everything that runs ends with the worker."""
        self.record.note("worker_ended", worker=self.id, running=len(self.running))
        self.server.close()
        for task in self.tasks:
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.running):
            self._finish(task, "crashed", listed=False)

    async def leave(self, linger: float) -> None:
        """End as planned: drain, serve on after the acknowledgement, deregister."""
        self.state = "draining"
        self.record.note("draining", worker=self.id)
        while not await self._send_heartbeat():
            await asyncio.sleep(0.1)
        at = self.record.note("drain_acknowledged", worker=self.id)
        self.drain_acknowledged_at = at
        await asyncio.sleep(BOUNDS["drain_ms"] / 1000 + linger)
        ip, port = self.controls[self.position]
        path = f"/boragetide/instances/{self.id}/deregister"
        await call(ip, port, "POST", path, {"born": self.born}, timeout=1.0)
        self.crash()

    def read_clock(self) -> int:
        """Return the worker's clock in milliseconds."""
        return int((time.monotonic() - self.clock_began) * 1000)

    async def _send_heartbeats(self) -> None:
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _send_heartbeat(self) -> bool:
        """Call one daemon after the other until one acknowledges."""
        for _ in self.controls:
            await self._wait_for_link()
            ip, port = self.controls[self.position]
            path = f"/boragetide/instances/{self.id}/heartbeat"
            body = self._describe()
            status, _ = await call(ip, port, "POST", path, body, timeout=1.0)
            if status == 200:
                return True
            self.position = (self.position + 1) % len(self.controls)
        return False

    def _describe(self) -> dict[str, Any]:
        self.sequence += 1
        return {
            "service": POOL,
            "address": f"{self.ip}:{self.port}",
            "zone": "a",
            "version": "v1",
            "slots": 1200,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": self.capacity,
            "labels": list(self.labels),
            "clock_ms": self.read_clock(),
            "seq": self.sequence,
            "born": self.born,
        }

    async def _check_lease(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            if self.has_lease and self.read_clock() > self.deadline:
                self.has_lease = False
                self.lapsed_at.append(self.record.note("lapsed", worker=self.id))
                for task in list(self.running):
                    self._finish(task, "lapsed")

    async def _wait_for_link(self) -> None:
        loop = asyncio.get_running_loop()
        while (pause := self.delayed_until - loop.time()) > 0:
            await asyncio.sleep(pause)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                await self._wait_for_link()
                line, headers, body = message
                status, answer = await self._answer(line, headers, body)
                await self._wait_for_link()
                answer = {"clock_ms": self.read_clock(), "born": self.born, **answer}
                data = json.dumps(answer, separators=(",", ":")).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(
        self, line: str, headers: dict, body: bytes
    ) -> tuple[int, dict[str, Any]]:
        if headers.get("x-target-instance") != self.id:
            return 421, {}
        path = line.split()[1]
        order = json.loads(body)
        if order.get("fence", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = order.get("fence", 0)
        if path == "/boragetide/run-start":
            return self._start_run(order)
        if path == "/boragetide/run-stop":
            return self._stop_run(order)
        if path == "/boragetide/hold":
            return await self._hold(order)
        return 404, {}

    def _extend(self, deadline: float) -> None:
        limit = self.read_clock() + MAX_HOLD_MS
        self.deadline = max(self.deadline, min(deadline, limit))
        self.has_lease = self.has_lease or self.deadline > self.read_clock()

    def _start_run(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, run = order["task"], order["run"]
        if order["deadline_ms"] < self.read_clock():
            return 409, {"reason": "late"}
        self._extend(order["deadline_ms"])
        current = self.running.get(task)
        if current is not None and current.run == run:
            return 200, {}
        if run <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        self.highest[task] = run
        how = "failed" if self.fails else "done"
        ending = asyncio.get_running_loop().call_later(
            self.seconds(order["spec"]), self._finish, task, how
        )
        began = self.record.note("start", worker=self.id, task=task, run=run)
        self.running[task] = Running(run, began, ending)
        return 200, {}

    def _stop_run(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, run = order["task"], order["run"]
        self.highest[task] = max(run, self.highest.get(task, 0))
        current = self.running.get(task)
        if current is not None and current.run == run:
            self._finish(task, "stopped")
        return 200, {}

    def _finish(self, task: str, how: str, *, listed: bool = True) -> None:
        current = self.running.pop(task)
        current.ending.cancel()
        at = self.record.note(
            "end", worker=self.id, task=task, run=current.run, how=how
        )
        over = Over(task, current.run, current.began, at, how, 0)
        self.runs.append(over)
        if listed:
            self.end_count += 1
            over.number = self.end_count
            self.lives[-1].append(over)
            self.ended.append([self.end_count, task, current.run, how, ""])
            self.ended_event.set()

    async def _hold(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if "deadline_ms" in order:
            self._extend(order["deadline_ms"])
        seen = order.get("last_seen", 0)
        if seen > self.acknowledged:
            self.acknowledged = seen
            at = self.record.note("ends_seen", worker=self.id, last_seen=seen)
            for over in self.lives[-1]:
                if over.number <= seen and over.noted is None:
                    over.noted = at
        self.ended = [row for row in self.ended if row[0] > seen]
        wait = min(order.get("wait_ms", 0), MAX_WAIT_MS) / 1000
        if wait and not self.ended:
            self.ended_event.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.ended_event.wait(), wait)
        running = [[t, r.run, "", 50, 100] for t, r in self.running.items()]
        return 200, {"running": running, "ended": self.ended[:MAX_LISTED_ENDS]}


@dataclass(frozen=True)
class Start:
    """A start of a task, by whichever worker."""

    worker: str
    run: int
    at: float


def list_starts(workers: list[Worker]) -> dict[str, list[Start]]:
    """Return the starts of each task, in order of time."""
    starts: dict[str, list[Start]] = {}
    for worker in workers:
        runs = [(over.task, over.run, over.began) for over in worker.runs]
        runs += [(task, run.run, run.began) for task, run in worker.running.items()]
        for task, run, began in runs:
            starts.setdefault(task, []).append(Start(worker.id, run, began))
    for each in starts.values():
        each.sort(key=lambda start: start.at)
    return starts


def find_starts_after_done(workers: list[Worker]) -> list[str]:
    """Return the starts of tasks of which a run had ended ``done`` before.

    An end counts only if it was taken note of and the lease of its worker had not
    lapsed between the two.
    """
    starts = list_starts(workers)
    faults = []
    for worker in workers:
        for over in worker.runs:
            if over.how != "done" or over.noted is None:
                continue
            if any(over.ended <= at <= over.noted for at in worker.lapsed_at):
                continue
            faults += [
                f"TWICE: {over.task} run {over.run} ended done on {worker.id} at "
                f"{over.ended:.3f} (seen at {over.noted:.3f}); run {later.run} started "
                f"on {later.worker} at {later.at:.3f}"
                for later in starts[over.task]
                if later.at > over.ended
            ]
    return faults


# The system under test


@dataclass
class Program:
    """One process of the system and its settings file."""

    role: str
    ip: str
    command: list[str]
    environment: dict[str, str]
    log: Path
    process: subprocess.Popen | None = None
    exits: int = 0

    def start(self) -> None:
        """Start the process."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.command,
                stdout=log,
                stderr=log,
                env=self.environment,
                cwd=ROOT,
            )

    def kill(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class System:
    """Control and edge processes of a small deployment, with workers."""

    def __init__(self, folder: Path, *, controls: int = 3, edges: int = 2):
        target = ROOT / "target" / "deps"
        if not target.is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        base = f"127.{random.randrange(16, 240)}.{random.randrange(256)}"
        ips = [f"{base}.{number}" for number in range(2, 2 + controls + edges)]
        self.control_ips, self.edge_ips = ips[:controls], ips[controls:]
        names = ("frontend", "readiness", "control", "link")
        self.ports = dict(zip(names, _find_ports(ips, len(names)), strict=True))
        self.programs = [self._make("control", ip) for ip in self.control_ips]
        self.programs += [self._make("edge", ip) for ip in self.edge_ips]
        self.workers: list[Worker] = []
        self.watcher: asyncio.Task | None = None
        self.checker: asyncio.Task | None = None
        self.stopped: set[str] = set()

    def _make(self, role: str, ip: str) -> Program:
        listen = {"control": f"{ip}:{self.ports['control']}"}
        if role == "edge":
            listen["frontend"] = f"{ip}:{self.ports['frontend']}"
            listen["readiness"] = f"{ip}:{self.ports['readiness']}"
        data = None
        if role == "control":
            data = str(self.folder / ip)
            os.mkdir(data)
        port = self.ports["link"]
        settings = {
            "node": f"{role}-{ip.rpartition('.')[2]}",
            "role": role,
            "machine_class": "core" if role == "control" else "edge",
            "serves": self.deploy["roles"][role]["serves"],
            "ip": ip,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": listen,
            "port_range": [port, port],
            "seeds": [f"{seed}:{self.ports['control']}" for seed in self.control_ips],
            "bootstrap": True,
            "in_fault_budget": role == "control",
            "limits": {"cpu_share": 0.7, "cores": 2, "memory_mb": 300},
            "data_dir": data,
            "discovery": "self_register",
            "entry": "vip",
            "heartbeat_ms": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched"],
            "tolerate": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "orders": "rpc",
        }
        path = self.folder / f"{ip}.json"
        path.write_text(json.dumps(settings))
        environment = {
            name: os.environ[name] for name in FORWARDED_VARIABLES if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BORAGETIDE_NODE_FILE"] = str(path)
        command = self.deploy["roles"][role]["run"].split()
        return Program(role, ip, command, environment, self.folder / f"{ip}.log")

    @property
    def control_addresses(self) -> list[tuple[str, int]]:
        """Addresses at which the control programs serve workers and the operator."""
        return [(ip, self.ports["control"]) for ip in self.control_ips]

    def find(self, ip: str) -> Program:
        """Return the program at an address."""
        return next(program for program in self.programs if program.ip == ip)

    def find_logged(self, ip: str, event: str) -> list[str]:
        """Return the log lines of one event of a program."""
        lines = self.find(ip).log.read_text(errors="replace").splitlines()
        return [line for line in lines if f"event={event} " in f"{line} "]

    def find_leader(self) -> Program:
        """Return the control program that most recently began to dispatch."""
        begun = [
            (line, ip)
            for ip in self.control_ips
            for line in self.find_logged(ip, "dispatch_began")
        ]
        if not begun:
            raise CannotRun("there is no leader")
        return self.find(max(begun)[1])

    async def start(self, routes: list[dict[str, Any]], version: int = 1) -> None:
        """Start all processes and wait until every edge reports that it is ready."""
        for program in self.programs:
            program.start()
            self.record.note("process_started", role=program.role, ip=program.ip)
        self.watcher = asyncio.create_task(self._restart_ended())
        await self.publish(version, routes)
        for ip in self.edge_ips:
            await wait_for(lambda ip=ip: self.is_ready(ip), f"edge {ip} to be ready")
        self.checker = asyncio.create_task(self._check_readiness())

    async def _check_readiness(self) -> None:
        """Ask each edge once per second whether it is ready, as the platform does."""
        while True:
            await asyncio.gather(*map(self.is_ready, self.edge_ips))
            await asyncio.sleep(1.0)

    async def _restart_ended(self) -> None:
        """Start processes that have ended again, as the platform does."""
        while True:
            await asyncio.sleep(0.05)
            for program in self.programs:
                if program.process is None or program.process.poll() is None:
                    continue
                code = program.process.returncode
                program.process = None
                program.exits += 1
                self.record.note("process_ended", ip=program.ip, code=code)
                if program.ip not in self.stopped:
                    asyncio.get_running_loop().call_later(
                        RESTART_DELAY, self._restart, program
                    )

    def _restart(self, program: Program) -> None:
        program.start()
        self.record.note("process_started", role=program.role, ip=program.ip)

    async def publish(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Send a configuration until it is acknowledged."""
        body = {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": POOL,
                    "health_path": "/healthz",
                    "max_conns": 64,
                    "protocol": "h1",
                    "tls": False,
                    "admission_check": False,
                    "standby": False,
                }
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }

        async def send() -> bool:
            for ip, port in self.control_addresses:
                path = "/boragetide/config/replace"
                status, _ = await call(ip, port, "POST", path, body)
                if status == 200:
                    return True
            return False

        await wait_for(send, "the configuration to be acknowledged", 20.0)
        self.record.note("configuration_acknowledged", version=version)

    async def is_ready(self, ip: str) -> bool:
        """Return whether an edge reports that it is ready."""
        path = "/boragetide/readyz"
        status, _ = await call(ip, self.ports["readiness"], "GET", path, timeout=1.0)
        return status == 200

    async def add_worker(self, worker_id: str, **fields: Any) -> Worker:
        """Start a worker."""
        worker = Worker(worker_id, self.record, self.control_addresses, **fields)
        await worker.start()
        self.workers.append(worker)
        return worker

    async def call_queue(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        edge: int = 0,
        deadline: float = 5.0,
        note: bool = True,
    ) -> tuple[int, Any]:
        """Make a client's request at an edge, and record it with its answer."""
        headers = {"X-Deadline-Ms": str(int(deadline * 1000))}
        ip = self.edge_ips[edge]
        if note:
            self.record.note("sent", method=method, path=path, edge=ip)
        status, answer = await call(
            ip, self.ports["frontend"], method, path, body, headers, deadline
        )
        if note:
            self.record.note(
                "answered", method=method, path=path, status=status, body=answer
            )
        return status, answer

    async def close(self) -> None:
        """End all processes and workers that were started."""
        for task in (self.watcher, self.checker):
            if task is not None:
                task.cancel()
        for program in self.programs:
            program.kill()
        for worker in self.workers:
            for task in worker.tasks:
                task.cancel()
            for running in worker.running.values():
                running.ending.cancel()
            worker.server.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def _find_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free at all addresses."""
    ports: list[int] = []
    for _ in range(200):
        port = random.randrange(20_000, 32_000)
        if port not in ports and all(_is_free(ip, port) for ip in ips):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRun("no free ports")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def make_route(prefix: str, **fields: Any) -> dict[str, Any]:
    """Return a queue of the configuration."""
    return {
        "name": f"r{prefix.replace('/', '-')}",
        "host": HOST,
        "path_prefix": prefix,
        "kind": "unsafe",
        "timeout_ms": 1500,
        "target_latency_ms": 60,
        "priority": 0,
        "service": POOL,
        "attempts": 4,
        "stretch": 1.6,
        **fields,
    }


def make_id(number: int) -> str:
    """Return a job id; the ids are as random as those of clients."""
    return f"{random.Random(number).getrandbits(44):011x}{number:05x}"


async def wait_for(
    condition: Callable[[], Awaitable[bool]], what: str, timeout: float = 30.0
) -> None:
    """Wait until a condition holds.

    Raises
    ------
    CannotRun
        If it does not hold in time.
    """
    until = time.monotonic() + timeout
    while not await condition():
        if time.monotonic() > until:
            raise CannotRun(f"waited in vain for {what}")
        await asyncio.sleep(0.1)


def has_trouble() -> bool:
    """Return whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    case: Callable[[System], Awaitable[list[str]]], folder: Path, **options: Any
) -> None:
    """Run a case, which returns how the rule was broken, and exit accordingly."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    sys.exit(asyncio.run(_run(case, folder, options)))


async def _run(case: Any, folder: Path, options: dict[str, Any]) -> int:
    try:
        system = System(folder, **options)
    except CannotRun as error:
        print(f"not run: {error}")
        return NOT_RUN
    try:
        faults = await asyncio.wait_for(case(system), 115)
    except (CannotRun, TimeoutError) as error:
        system.record.note("not_run", reason=repr(error))
        print(f"not run: {error!r}")
        return NOT_RUN
    finally:
        await system.close()
    for fault in faults[:20]:
        print(fault)
    print(f"{len(faults)} faults" if faults else "the rule held")
    return BROKEN if faults else HELD
