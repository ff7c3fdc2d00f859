"""A minimal backend server for durable tasks: sleeps for the seconds in the spec.

The server implements the protocol for runs: fences, run numbers, leases and the list of
ended runs.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import time
from dataclasses import dataclass, field
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

ANNOUNCEMENT_INTERVAL = 0.5  # seconds between announcements
LEASE_CHECK_INTERVAL = 0.02  # seconds between checks for lapsed leases
CORES = 64.0
MEMORY = 64 << 30  # bytes
DONE, STOPPED, LAPSED, FAILED = "done", "stopped", "lapsed", "failed"


@dataclass
class RunServer:
    """State of one backend server; tasks are keyed by job, step and index."""

    id: str
    pool: str
    zone: str
    daemons: list[str]
    address: str = ""
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    sequence: int = 0
    fence: int = 0
    running: dict[tuple, dict[str, Any]] = field(default_factory=dict)
    highest_runs: dict[tuple, int] = field(default_factory=dict)
    ended: list[dict[str, Any]] = field(default_factory=list)
    end_count: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def start(self, body: dict[str, Any]) -> str:
        """Start a run and return the result of the order.

        The order is refused if a newer leader has given an order (``fenced``), if this
        or a newer run of the task was known before (``old_run``), or if the lease of
        the order has lapsed (``late``). A run that is in progress is not started again.
        """
        task = make_task_key(body)
        if body["fence"] < self.fence:
            return "fenced"
        self.fence = body["fence"]
        current = self.running.get(task)
        if current is not None and current["run"] == body["run"]:
            return DONE
        if body["run"] <= self.highest_runs.get(task, 0):
            return "old_run"
        if body["lease_until"] <= time.monotonic():
            return "late"
        self.highest_runs[task] = body["run"]
        work = asyncio.create_task(self._run_task(task, body["spec"]))
        self.running[task] = {**body, "work": work}
        return DONE

    async def _run_task(self, task: tuple, spec: str) -> None:
        try:
            await asyncio.sleep(float(spec or 0.05))
        except ValueError:
            self.end(task, FAILED)
        else:
            self.end(task, DONE)

    def stop(self, body: dict[str, Any]) -> str:
        """Stop a run; a start order for it that arrives later is refused."""
        task = make_task_key(body)
        if body["fence"] < self.fence:
            return "fenced"
        self.fence = body["fence"]
        highest = self.highest_runs.get(task, 0)
        self.highest_runs[task] = max(highest, body["run"])
        current = self.running.get(task)
        if current is not None and current["run"] <= body["run"]:
            current["work"].cancel()
            self.end(task, STOPPED)
        return DONE

    def end(self, task: tuple, reason: str) -> None:
        """End a run and list the end until it is acknowledged."""
        run = self.running.pop(task)
        self.end_count += 1
        listed = {key: run[key] for key in ("job", "step", "index", "run")}
        self.ended.append({**listed, "number": self.end_count, "reason": reason})
        self.changed.set()

    async def list_runs(self, body: dict[str, Any]) -> dict[str, Any] | None:
        """Renew the leases and list all runs.

        If no end is listed, wait for one for up to ``body["wait"]`` seconds. Returns
        None if a newer leader has given an order.
        """
        if body["fence"] < self.fence:
            return None
        self.fence = body["fence"]
        acknowledged = body["acknowledged"]
        self.ended = [end for end in self.ended if end["number"] > acknowledged]
        for run in self.running.values():
            run["lease_until"] = body.get("lease_until", run["lease_until"])
        if not self.ended and body["wait"]:
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), body["wait"])
        keys = ("job", "step", "index", "run")
        running = [{key: run[key] for key in keys} for run in self.running.values()]
        return {"born": self.born, "running": running, "ended": self.ended}

    async def watch_leases(self) -> None:
        """End the runs whose lease has lapsed."""
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL)
            now = time.monotonic()
            for task, run in list(self.running.items()):
                if run["lease_until"] < now:
                    run["work"].cancel()
                    self.end(task, LAPSED)

    async def announce(self) -> None:
        """Announce this backend server regularly, to the first daemon that answers."""
        client = AsyncHTTPClient()
        while True:
            for daemon in self.daemons:
                if await self._announce_at(client, daemon):
                    break
            await asyncio.sleep(ANNOUNCEMENT_INTERVAL)

    async def _announce_at(self, client: AsyncHTTPClient, daemon: str) -> bool:
        self.sequence += 1
        body = {
            "address": self.address,
            "pool": self.pool,
            "availability_zone": self.zone,
            "cores": CORES,
            "memory": MEMORY,
            "born": self.born,
            "sequence": self.sequence,
            "clock": time.monotonic(),
        }
        request = HTTPRequest(
            f"{daemon}/v1/run-servers/{self.id}",
            method="PUT",
            body=json.dumps(body),
            request_timeout=2.0,
        )
        try:
            await client.fetch(request)
        except (HTTPClientError, OSError):
            return False
        return True


def make_task_key(body: dict[str, Any]) -> tuple:
    """Return the key of the task that a body names."""
    return body["job"], body["step"], body["index"]


class RunsHandler(RequestHandler):
    """Handles start and stop orders and requests for the list of runs."""

    def initialize(self, server: RunServer) -> None:
        """Store the state of the backend server."""
        self.server = server

    async def post(self, action: str) -> None:
        """Execute an order; respond with 421 if it is for another backend server."""
        body = json.loads(self.request.body)
        if body["server"] != self.server.id:
            self.set_status(421)
            return
        if action == "list":
            answer = await self.server.list_runs(body)
            self._respond(200 if answer else 409, answer or {})
            return
        execute = self.server.start if action == "start" else self.server.stop
        result = execute(body)
        self._respond(200 if result == DONE else 409, {"result": result})

    def _respond(self, status: int, body: dict[str, Any]) -> None:
        self.set_status(status)
        self.finish(json.dumps({"clock": time.monotonic(), **body}))


async def serve(server: RunServer) -> None:
    """Listen on a free port, print the address, and run until the process ends."""
    (socket,) = bind_sockets(0, "127.0.0.1")
    server.address = f"http://127.0.0.1:{socket.getsockname()[1]}"
    routes = [(r"/v1/runs/(start|stop|list)", RunsHandler, {"server": server})]
    HTTPServer(Application(routes)).add_sockets([socket])
    print(server.address, flush=True)
    await asyncio.gather(server.announce(), server.watch_leases())


def main() -> None:
    """Run one backend server."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--pool", default="default")
    parser.add_argument("--zone", default="local")
    parser.add_argument("--daemon", action="append", required=True)
    arguments = parser.parse_args()
    server = RunServer(arguments.id, arguments.pool, arguments.zone, arguments.daemon)
    asyncio.run(serve(server))


if __name__ == "__main__":
    main()
