"""Stand-in of the platform's workers, as the page on running tasks describes them."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time
from dataclasses import dataclass, field
from typing import Any

from deployment import POOL, Record
from http_calls import Answer, Server, call

HEARTBEAT_INTERVAL = 1.5  # seconds
MAX_HOLD_MS = 1000
MAX_WAIT_MS = 2000
MAX_LISTED_ENDS = 500
LEASE_CHECK_INTERVAL = 0.01  # seconds
CPU = 64000  # thousandths of a core
MEMORY_MB = 262144


@dataclass
class Start:
    """A task that a worker has begun on an order."""

    task: str
    run: int
    worker: str
    life: int
    began_at: float
    ended_at: float | None = None
    how: str = ""


@dataclass
class Ledger:
    """All starts of all workers, in the order in which they began."""

    record: Record
    starts: list[Start] = field(default_factory=list)

    def begin(self, start: Start) -> None:
        """Note a start."""
        self.starts.append(start)
        self.record.note(f"worker {start.worker}: starts {start.task} run {start.run}")

    def end(self, start: Start, how: str) -> None:
        """Note the end of a start."""
        start.ended_at, start.how = self.record.now(), how
        self.record.note(
            f"worker {start.worker}: {start.task} run {start.run} ended {how}"
        )


@dataclass
class Running:
    """A run in progress."""

    start: Start
    deadline_ms: float
    timer: asyncio.TimerHandle
    began: float
    seconds: float


class Worker:
    """One worker, which runs a task for the ``work_ms`` in its ``spec``.

    A spec is JSON: ``work_ms``, and ``fail`` for a task that fails by its own fault.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        control: list[str],
        ledger: Ledger,
        *,
        zone: str = "rec",
        labels: tuple[str, ...] = ("a", "r1-1"),
        speed: float = 1.0,
    ):
        self.id, self.address, self.control = name, address, control
        self.ledger, self.zone, self.labels = ledger, zone, labels
        self.speed = speed
        self.life = 0
        self.state = "ready"
        self.up = False
        self._heartbeats: asyncio.Task[None] | None = None
        self._leases: asyncio.Task[None] | None = None
        self._server: Server | None = None
        self._reset()

    def _reset(self) -> None:
        self.running: dict[str, Running] = {}
        self.ended: list[list[Any]] = []
        self.numbers = itertools.count(1)
        self.highest_run: dict[str, int] = {}
        self.fence = 0
        self.sequence = 0
        self.clock_began = time.monotonic() - random.uniform(1, 100)
        self.changed = asyncio.Event()

    def clock_ms(self) -> int:
        """Return the worker's own steady clock."""
        return int((time.monotonic() - self.clock_began) * 1000)

    async def start(self) -> None:
        """Begin a life of the worker."""
        self._reset()
        self.life += 1
        self.born = int(time.time() * 1000)
        self.up = True
        self.state = "ready"
        self._server = Server(*self.address, self._handle)
        await self._server.open()
        self._heartbeats = asyncio.create_task(self._send_heartbeats())
        self._leases = asyncio.create_task(self._check_leases())

    async def crash(self) -> None:
        """End this life: nothing runs on, and nothing is said."""
        self.up = False
        for task in (self._heartbeats, self._leases):
            task.cancel()
        for running in list(self.running.values()):
            running.timer.cancel()
            self.ledger.end(running.start, "crashed")
        self.running.clear()
        await self._server.close()

    async def _send_heartbeats(self) -> None:
        addresses = list(self.control)
        random.shuffle(addresses)
        while True:
            for _ in range(len(addresses)):
                if await self._send_heartbeat(addresses[0]):
                    break
                addresses.append(addresses.pop(0))
            await asyncio.sleep(HEARTBEAT_INTERVAL)

    def make_heartbeat(self) -> dict[str, Any]:
        """Return what the worker says of itself."""
        return {
            "service": POOL,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": {"cpu": CPU, "mem_mb": MEMORY_MB, "gpu": 0},
            "labels": list(self.labels),
            "clock_ms": self.clock_ms(),
            "seq": self.sequence,
            "born": self.born,
        }

    async def _send_heartbeat(self, address: str) -> bool:
        self.sequence += 1
        url = f"http://{address}/boragetide/instances/{self.id}/heartbeat"
        status, _ = await call("POST", url, self.make_heartbeat(), timeout=1.0)
        return 200 <= status < 300

    async def _check_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL)
            now = self.clock_ms()
            for task, running in list(self.running.items()):
                if running.deadline_ms < now:
                    self._end(task, "lapsed")

    async def _handle(self, path: str, headers: dict[str, str], data: bytes) -> Answer:
        if headers.get("x-target-instance") != self.id:
            return 421, {}
        body = json.loads(data)
        name = path.rpartition("/")[2]
        if name == "run-start":
            status, answer = self._start(body)
        elif name == "run-stop":
            status, answer = self._stop(body)
        elif name == "hold":
            status, answer = await self._hold(body)
        else:
            return 400, {}
        return status, {"clock_ms": self.clock_ms(), "born": self.born, **answer}

    def _is_fenced(self, body: dict[str, Any]) -> bool:
        fence = body.get("fence", 0)
        if fence < self.fence:
            return True
        self.fence = fence
        return False

    def _limit(self, deadline_ms: float) -> float:
        return min(deadline_ms, self.clock_ms() + MAX_HOLD_MS)

    def _extend(self, deadline_ms: float) -> None:
        limited = self._limit(deadline_ms)
        for running in self.running.values():
            running.deadline_ms = max(running.deadline_ms, limited)

    def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, run = body["task"], body["run"]
        if self._is_fenced(body):
            return 409, {"reason": "fence"}
        if body["deadline_ms"] < self.clock_ms():
            return 409, {"reason": "late"}
        self._extend(body["deadline_ms"])
        known = self.running.get(task)
        if known is not None and known.start.run == run:
            return 200, {}
        if run <= self.highest_run.get(task, 0):
            return 409, {"reason": "old"}
        self.highest_run[task] = run
        if known is not None:
            self._end(task, "stopped")
        spec = json.loads(body["spec"])
        seconds = spec["work_ms"] / 1000 / self.speed
        start = Start(task, run, self.id, self.life, self.ledger.record.now())
        how = "failed" if spec.get("fail") else "done"
        loop = asyncio.get_running_loop()
        timer = loop.call_later(seconds, self._end, task, how)
        deadline = self._limit(body["deadline_ms"])
        self.running[task] = Running(start, deadline, timer, loop.time(), seconds)
        self.ledger.begin(start)
        return 200, {}

    def _end(self, task: str, how: str) -> None:
        running = self.running.pop(task)
        running.timer.cancel()
        self.ledger.end(running.start, how)
        self.ended.append([next(self.numbers), task, running.start.run, how, ""])
        self.changed.set()

    def fail(self, task: str) -> None:
        """Let a run in progress fail by the worker's fault."""
        self._end(task, "failed")

    def _stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if self._is_fenced(body):
            return 409, {"reason": "fence"}
        task, run = body["task"], body["run"]
        self.highest_run[task] = max(run, self.highest_run.get(task, 0))
        known = self.running.get(task)
        if known is not None and known.start.run == run:
            self._end(task, "stopped")
        return 200, {}

    async def _hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if self._is_fenced(body):
            return 409, {"reason": "fence"}
        last_seen = body.get("last_seen", 0)
        self.ended = [end for end in self.ended if end[0] > last_seen]
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        wait = min(body.get("wait_ms", 0), MAX_WAIT_MS) / 1000
        if wait and not self.ended:
            self.changed.clear()
            try:
                async with asyncio.timeout(wait):
                    await self.changed.wait()
            except TimeoutError:
                pass
        now = asyncio.get_running_loop().time()
        running = [
            [task, each.start.run, "", self._percent(each, now), 0]
            for task, each in self.running.items()
        ]
        return 200, {"running": running, "ended": self.ended[:MAX_LISTED_ENDS]}

    @staticmethod
    def _percent(running: Running, now: float) -> int:
        if not running.seconds:
            return 99
        return min(99, int(100 * (now - running.began) / running.seconds))
