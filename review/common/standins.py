"""Stand-ins of the platform, its workers, its clients and its operator.

They follow the users' pages. Everything runs in one event loop, on loopback addresses.
Each event that a rule is judged by is written to a record.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.web import Application, RequestHandler

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
HEARTBEAT_TIMEOUT_S = 1.0
MAX_HOLD_MS = 1000
MAX_LISTED_ENDS = 500
HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "huvo11a"
DEADLINE_MS = 1500
EXIT_HELD, EXIT_BROKEN, EXIT_FAILED = 0, 1, 2
BOUNDS = {
    "seed_lag_s": 3,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catchup_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "recovery_s": 12,
    "max_hold_ms": MAX_HOLD_MS,
    "stop_grace_ms": 50,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "enforce_fencing": True,
    "lease_ms": 3000,
    "retry_ms": 1300,
}


class CannotRunError(Exception):
    """The case could not be run."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path):
        self.began = time.monotonic()
        self.file = path.open("w")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


@dataclass
class Run:
    """One run of a task at a worker."""

    task: str
    run: int
    timer: asyncio.TimerHandle | None = None


@dataclass
class Start:
    """A start that a worker carried out, with the number of like tasks there."""

    at: float
    worker: str
    task: str
    run: int
    beside: int


class Worker:
    """A worker. The spec of a job holds the milliseconds that a task takes.

    A spec that begins with ``fail`` makes each run end as failed. A worker that is
    ``unhealthy`` answers 503 to each start.
    """

    def __init__(
        self,
        system: System,
        worker_id: str,
        ip: str,
        port: int,
        labels: tuple[str, ...],
        cpu: int = 64_000,
    ):
        self.system, self.id, self.ip, self.port = system, worker_id, ip, port
        self.labels, self.cpu = labels, cpu
        self.unhealthy = False
        self.server: HTTPServer | None = None
        self.beating: asyncio.Task[None] | None = None
        self._forget()

    def _forget(self) -> None:
        self.born = int(time.time() * 1000)
        self.birth = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.lease_end = 0
        self.runs: dict[str, Run] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.end_count = 0
        self.changed = asyncio.Event()
        self.lease_timer: asyncio.TimerHandle | None = None

    @property
    def clock_ms(self) -> int:
        """The worker's own steady clock."""
        return int((time.monotonic() - self.birth) * 1000)

    @property
    def is_up(self) -> bool:
        """Whether the worker's process runs."""
        return self.server is not None

    def start(self) -> None:
        """Start the process, which knows nothing of an earlier one."""
        self._forget()
        handler = (r"/boragetide/(.+)", _WorkerHandler, {"worker": self})
        self.server = HTTPServer(Application([handler], log_function=lambda _: None))
        self.server.add_sockets(bind_sockets(self.port, self.ip))
        self.beating = asyncio.create_task(self._beat())
        self.system.record.write(f"worker {self.id} starts")

    async def crash(self) -> None:
        """End the process at once."""
        self.system.record.write(f"worker {self.id} crashes, running {list(self.runs)}")
        await self.stop()

    async def stop(self) -> None:
        """End the process at once, without a record."""
        server, self.server = self.server, None
        self.beating.cancel()
        for run in self.runs.values():
            run.timer.cancel()
            self.system.note_end(self.id, run.task, run.run, "crashed")
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        self.runs.clear()
        server.stop()
        await server.close_all_connections()

    async def _beat(self) -> None:
        while True:
            for control in self.system.list_control(self.id):
                if await self._beat_once(control):
                    break
            await asyncio.sleep(HEARTBEAT_S)

    async def _beat_once(self, control: str) -> bool:
        self.sequence += 1
        body = {
            "service": SERVICE,
            "address": f"{self.ip}:{self.port}",
            "zone": "rec",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 262_144, "gpu": 0},
            "labels": list(self.labels),
            "clock_ms": self.clock_ms,
            "seq": self.sequence,
            "born": self.born,
        }
        url = f"http://{control}/boragetide/instances/{self.id}/heartbeat"
        status, _ = await self.system.call("POST", url, body, HEARTBEAT_TIMEOUT_S)
        return 200 <= status < 300

    def order(self, path: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Carry out ``run-start`` or ``run-stop``."""
        fence = body.get("fence", 0)
        if fence < self.fence:
            return 409, {"reason": "fence"}
        self.fence = fence
        if path == "run-start":
            return self._start_run(body)
        task, run = body["task"], body["run"]
        self.highest[task] = max(run, self.highest.get(task, 0))
        if task in self.runs and self.runs[task].run == run:
            self._end(task, "stopped")
        return 200, {}

    def _start_run(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, run, deadline = body["task"], body["run"], body["deadline_ms"]
        if task in self.runs and self.runs[task].run == run:
            self._extend(deadline)
            return 200, {}
        if run <= self.highest.get(task, 0) or task in self.runs:
            self._extend(deadline)
            return 409, {"reason": "old"}
        if deadline <= self.clock_ms:
            return 409, {"reason": "late"}
        self._extend(deadline)
        self.highest[task] = run
        step = task.rpartition(".")[0]
        beside = sum(other.rpartition(".")[0] == step for other in self.runs)
        started = Run(task, run)
        words = body["spec"].split()
        how = "failed" if words[0] == "fail" else "done"
        seconds = float(words[-1]) / 1000
        loop = asyncio.get_running_loop()
        started.timer = loop.call_later(seconds, self._end, task, how)
        self.runs[task] = started
        self.system.note_start(Start(0.0, self.id, task, run, beside))
        return 200, {}

    def _extend(self, deadline: int) -> None:
        deadline = min(deadline, self.clock_ms + MAX_HOLD_MS)
        self.lease_end = max(self.lease_end, deadline)
        if self.lease_timer is None:
            self._watch_lease()

    def _watch_lease(self) -> None:
        left = self.lease_end - self.clock_ms
        if left <= 0:
            self.lease_timer = None
            self.system.lapses.append((self.system.record.now(), self.id))
            for task in list(self.runs):
                self._end(task, "lapsed")
            return
        loop = asyncio.get_running_loop()
        self.lease_timer = loop.call_later(left / 1000, self._watch_lease)

    def _end(self, task: str, how: str) -> None:
        run = self.runs.pop(task)
        run.timer.cancel()
        self.end_count += 1
        self.ended.append([self.end_count, task, run.run, how, ""])
        self.system.note_end(self.id, task, run.run, how)
        self.changed.set()

    async def hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Carry out ``hold``: extend the lease and list the runs."""
        fence = body.get("fence", 0)
        if fence < self.fence:
            return 409, {"reason": "fence"}
        self.fence = fence
        last_seen = body.get("last_seen", 0)
        for end in self.ended:
            if end[0] <= last_seen:
                self.system.note_seen(self.id, end)
        self.ended = [end for end in self.ended if end[0] > last_seen]
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        if not self.ended and body.get("wait_ms"):
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self.changed.wait(), min(body["wait_ms"], 2000) / 1000
                )
        running = [[run.task, run.run, "", 50, 0] for run in self.runs.values()]
        listed = self.ended[:MAX_LISTED_ENDS]
        return 200, {"running": running, "ended": listed, "born": self.born}


class _WorkerHandler(RequestHandler):
    def initialize(self, worker: Worker) -> None:
        self.worker = worker

    async def post(self, path: str) -> None:
        worker = self.worker
        if self.request.headers.get("X-Target-Instance", worker.id) != worker.id:
            self.set_status(421)
            return
        body = json.loads(self.request.body)
        if path == "hold":
            status, answer = await worker.hold(body)
        elif path == "run-start" and worker.unhealthy:
            worker.system.record.write(f"{worker.id} answers 503 for {body['task']}")
            self.set_status(503)
            return
        elif path in ("run-start", "run-stop"):
            status, answer = worker.order(path, body)
        else:
            self.set_status(404)
            return
        self.set_status(status)
        self.finish({"clock_ms": worker.clock_ms, **answer})


@dataclass
class Program:
    """One of the project's programs, as a process of its own."""

    role: str
    ip: str
    words: list[str]
    settings: Path
    log: Path
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BORAGETIDE_NODE_FILE"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.words, stdout=log, stderr=log, env=environment, cwd=ROOT
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    def find_log_lines(self, event: str) -> list[str]:
        """Return the log lines of one event."""
        if not self.log.exists():
            return []
        lines = self.log.read_text(errors="replace").splitlines()
        return [line for line in lines if f"event={event} " in line]


class Cut:
    """A proxy in front of the links of one program, which can cut them.

    Parameters
    ----------
    ways
        Address to listen on and address to forward to, of each way.
    """

    def __init__(self, ways: list[tuple[tuple[str, int], tuple[str, int]]]):
        self.ways = ways
        self.is_cut = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.servers: list[asyncio.Server] = []

    async def open(self) -> None:
        """Listen on all addresses."""
        for (ip, port), target in self.ways:

            def accept(
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
                target: tuple[str, int] = target,
            ) -> Any:
                return self._accept(reader, writer, target)

            self.servers.append(await asyncio.start_server(accept, ip, port))

    def cut(self) -> None:
        """Hold back all bytes, without a word to either side."""
        self.is_cut = True

    def heal(self) -> None:
        """Forward again; the connections of before are reset with what they held."""
        self.is_cut = False
        for writer in list(self.writers):
            writer.transport.abort()

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: tuple[str, int],
    ) -> None:
        try:
            to_reader, to_writer = await asyncio.open_connection(*target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, to_writer}
        await asyncio.gather(
            self._pump(reader, to_writer), self._pump(to_reader, writer)
        )
        self.writers -= {writer, to_writer}

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                if not self.is_cut:
                    writer.write(data)
                    await writer.drain()
        writer.transport.abort()


@dataclass
class System:
    """A small deployment with its stand-ins.

    Parameters
    ----------
    tolerated
        Machines with a disk whose loss is to be borne; twice as many and one run the
        control program.
    has_cut
        Whether the links of the first edge pass through a proxy that can cut them.
    """

    record: Record
    tolerated: int = 1
    edge_count: int = 2
    has_cut: bool = False
    controls: list[Program] = field(default_factory=list)
    edges: list[Program] = field(default_factory=list)
    workers: dict[str, Worker] = field(default_factory=dict)
    starts: list[Start] = field(default_factory=list)
    ends: list[tuple[float, str, str, int, str]] = field(default_factory=list)
    seen: list[tuple[float, str, list[Any]]] = field(default_factory=list)
    lapses: list[tuple[float, str]] = field(default_factory=list)
    ports: dict[str, int] = field(default_factory=dict)
    folder: Path = field(
        default_factory=lambda: Path(tempfile.mkdtemp(prefix="review-"))
    )

    async def start(self, version: int = 1, **route: Any) -> None:
        """Start all programs, publish a configuration and wait for the edges."""
        self.client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=1000, defaults={"connect_timeout": 2.0}
        )
        self.network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        names = ("control", "frontend", "readiness", "link")
        self.ports = dict(zip(names, _find_free_ports(self.network), strict=True))
        control_count = 2 * self.tolerated + 1
        for number in range(control_count + self.edge_count):
            role = "control" if number < control_count else "edge"
            ip = f"{self.network}.{10 + number}"
            words = shlex.split(deploy["roles"][role]["run"])
            program = self._make_program(role, ip, number, words)
            (self.controls if role == "control" else self.edges).append(program)
        if self.has_cut:
            await self._open_cut()
        for program in [*self.controls, *self.edges]:
            await program.start()
        await self.publish(version, **route)
        for program in self.edges:
            await self.wait_for(lambda p=program: self._is_ready(p), "a ready edge")
        self.record.write("all edges are ready")

    async def _open_cut(self) -> None:
        """Give the first edge another link port, and lead its links through a proxy."""
        edge, *others = [*self.edges, *self.controls]
        port = self.ports["link"]
        own_port = port + 20
        settings = json.loads(edge.settings.read_text())
        settings["port_range"] = [own_port, own_port + 15]
        edge.settings.write_text(json.dumps(settings))
        ways = [((other.ip, own_port), (other.ip, port)) for other in others]
        self.cut = Cut([((edge.ip, port), (edge.ip, own_port)), *ways])
        await self.cut.open()

    def _make_program(
        self, role: str, ip: str, number: int, words: list[str]
    ) -> Program:
        zones = ("rec", "ssa", "for")
        serves = ["control_plane"] if role == "control" else ["edge", "control_plane"]
        listen = {"control": f"{ip}:{self.ports['control']}"}
        if role == "edge":
            listen["frontend"] = f"{ip}:{self.ports['frontend']}"
            listen["readiness"] = f"{ip}:{self.ports['readiness']}"
        seeds = [
            f"{self.network}.{10 + each}:{self.ports['control']}" for each in range(3)
        ]
        data = self.folder / f"data-{number}"
        if role == "control":
            data.mkdir()
        settings = {
            "node": f"{role}-{number}",
            "role": role,
            "machine_class": "core" if role == "control" else "edge",
            "serves": serves,
            "ip": ip,
            "zone": zones[number % 3],
            "region": "ne-br",
            "zones": dict.fromkeys(zones, "ne-br"),
            "listen": listen,
            "port_range": [self.ports["link"], self.ports["link"] + 15],
            "seeds": seeds,
            "bootstrap": True,
            "in_fault_budget": role == "control",
            "limits": {"cpu_share": 0.717, "cores": 3, "memory_mb": 296},
            "data_dir": str(data) if role == "control" else None,
            "discovery": "self_register",
            "entry": "vip",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "tolerate": {"machines": self.tolerated, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "orders": "rpc",
        }
        path = self.folder / f"settings-{number}.json"
        path.write_text(json.dumps(settings))
        return Program(role, ip, words, path, self.folder / f"log-{number}.txt")

    async def close(self) -> None:
        """End everything that was started, and remove the temporary folder."""
        for program in [*self.controls, *self.edges]:
            await program.kill()
        for worker in self.workers.values():
            if worker.is_up:
                await worker.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def add_worker(
        self, number: int, labels: tuple[str, ...], port: int, cpu: int = 64_000
    ) -> Worker:
        """Start a worker; neighbouring numbers have neighbouring addresses."""
        worker_id = f"i-{number:08x}"
        ip = f"{self.network}.{100 + number}"
        worker = Worker(self, worker_id, ip, port, labels, cpu)
        self.workers[worker_id] = worker
        worker.start()
        return worker

    def list_control(self, caller: str) -> list[str]:
        """Return the addresses that serve control, in an order that varies."""
        programs = [*self.controls, *self.edges]
        random.shuffle(programs)
        return [f"{program.ip}:{self.ports['control']}" for program in programs]

    async def call(
        self, method: str, url: str, body: Any = None, timeout: float = 5.0
    ) -> tuple[int, Any]:
        """Make one call; the status is 0 if there was no answer."""
        headers = {"Content-Type": "application/json", "Host": HOST}
        headers["X-Deadline-Ms"] = str(int(timeout * 1000))
        data = None if body is None else json.dumps(body)
        try:
            response = await self.client.fetch(
                url,
                method=method,
                body=data,
                headers=headers,
                request_timeout=timeout,
                raise_error=False,
                allow_nonstandard_methods=True,
            )
        except Exception:
            return 0, None
        if response.code == 599:
            return 0, None
        try:
            return response.code, json.loads(response.body or b"null")
        except ValueError:
            return response.code, None

    async def publish(self, version: int, **route: Any) -> None:
        """Publish a configuration, as the operator does, until it is acknowledged."""
        body = make_configuration(version, **route)
        until = time.monotonic() + 30
        while time.monotonic() < until:
            for control in self.list_control("operator"):
                url = f"http://{control}/boragetide/config/replace"
                status, _ = await self.call("POST", url, body, 5.0)
                if status == 200:
                    self.record.write(f"configuration {version} acknowledged")
                    return
            await asyncio.sleep(0.2)
        raise CannotRunError("the configuration was not acknowledged")

    async def _is_ready(self, program: Program) -> bool:
        url = f"http://{program.ip}:{self.ports['readiness']}/boragetide/readyz"
        status, _ = await self.call("GET", url, None, 1.0)
        return status == 200

    async def wait_for(
        self, condition: Callable[[], Any], what: str, timeout: float = 30.0
    ) -> None:
        """Wait until a condition, which may be a coroutine function, holds."""
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"waited in vain for {what}")

    async def request(
        self,
        method: str,
        job_id: str,
        body: Any = None,
        timeout: float = DEADLINE_MS / 1000,
    ) -> tuple[int, Any]:
        """Send a client's request for a job to any edge."""
        edge = random.choice(self.edges)
        url = f"http://{edge.ip}:{self.ports['frontend']}{PREFIX}{job_id}"
        sent = self.record.now()
        status, answer = await self.call(method, url, body, timeout)
        self.record.write(
            f"{method} {job_id} at {edge.ip}, sent {sent:.3f}: {status} {answer}"
        )
        return status, answer

    async def submit(self, job_id: str, body: Any) -> bool:
        """Submit a job until there is a clear answer; return whether it is accepted."""
        for _ in range(20):
            status, _ = await self.request("POST", job_id, body)
            if 200 <= status < 300:
                return True
            if status in (429, 503):
                await asyncio.sleep(1.0)
            elif status not in (0, 502, 504):
                return False
        return False

    async def fetch_state(self, job_id: str) -> str:
        """Return the state of a job, or what is answered in its place."""
        status, answer = await self.request("GET", job_id)
        if status == 200:
            return answer["state"]
        return f"status {status}"

    def note_start(self, start: Start) -> None:
        """Record a start."""
        start.at = self.record.now()
        self.starts.append(start)
        self.record.write(f"start of {start.task} run {start.run} on {start.worker}")

    def note_end(self, worker: str, task: str, run: int, how: str) -> None:
        """Record the end of a run."""
        self.ends.append((self.record.now(), worker, task, run, how))
        self.record.write(f"end of {task} run {run} on {worker}: {how}")

    def note_seen(self, worker: str, end: list[Any]) -> None:
        """Record that ``last_seen`` has reached an end."""
        self.seen.append((self.record.now(), worker, end))
        self.record.write(f"end {end[0]} of {worker} taken note of: {end}")

    def find_runner(self, task: str) -> Worker | None:
        """Return the worker on which a task runs."""
        for worker in self.workers.values():
            if task in worker.runs:
                return worker
        return None


def make_configuration(version: int, **route: Any) -> dict[str, Any]:
    """Return a configuration with one queue."""
    queue = {
        "name": "r-3hwrr6x",
        "host": HOST,
        "path_prefix": PREFIX,
        "kind": "unsafe",
        "timeout_ms": 1500,
        "target_latency_ms": 60,
        "priority": 0,
        "service": SERVICE,
        "attempts": 4,
        "stretch": 1.6,
        **route,
    }
    service = {
        "name": SERVICE,
        "health_path": "/healthz",
        "max_conns": 64,
        "protocol": "h1",
        "tls": False,
        "admission_check": False,
        "standby": False,
    }
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {
        "version": version,
        "routes": [queue],
        "services": [service],
        "limits": limits,
    }


def make_job_id() -> str:
    """Return a new job id."""
    return f"{random.getrandbits(64):016x}"


def _find_free_ports(network: str) -> list[int]:
    """Return four ports, apart from each other, that are free on the network."""
    found: list[int] = []
    while len(found) < 4:
        port = random.randint(20_000, 30_000)
        if any(abs(port - other) < 40 for other in found):
            continue
        with socket.socket() as probe:
            try:
                probe.bind((f"{network}.10", port))
            except OSError:
                continue
        found.append(port)
    return found


def is_troubled() -> bool:
    """Return whether the case includes its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, case: Callable[[System], Any], **options: Any) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 otherwise."""

    async def play() -> int:
        record = Record(folder / "record.txt")
        system = System(record, **options)
        try:
            async with asyncio.timeout(112):
                broken = await case(system)
        except Exception as error:
            # A fault of the case itself must not count as a broken rule.
            record.write(f"the case could not run: {error!r}")
            return EXIT_FAILED
        finally:
            await system.close()
        record.write(f"BROKEN: {broken}" if broken else "held")
        return EXIT_BROKEN if broken else EXIT_HELD

    code = asyncio.run(play())
    tail = (folder / "record.txt").read_text().splitlines()[-1]
    print(tail)
    sys.exit(code)
