"""A minimal backend server: sleeps for the work of a task and echoes its payload.

Payloads are ``{"work": seconds, ...}``. A payload with ``"fail": true`` makes its task
fail.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import random
import signal
from dataclasses import dataclass, field
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

RETRY_DELAY = 0.2  # seconds after an announcement that no daemon answered
ANNOUNCE_TIMEOUT = 2.0  # seconds; longer than a daemon needs to reach the placer
DELAY_JITTER = 0.1  # largest share by which a delay is shortened at random


@dataclass
class BackendServerState:
    """State of one backend server.

    Parameters
    ----------
    speed
        Divisor of the work: a task takes its work divided by the speed.
    starts_by_task
        How often each task was started, to check at-most-once starts.
    announce_at
        The only daemon to announce to, to test announcements far from the placer.
    """

    id: str
    zone: str
    rack: str
    slots: int
    speed: float
    daemons: list[str]
    address: str = ""
    fail_all: bool = False
    leaving: bool = False
    lease: str = ""
    announce_at: str | None = None
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    starts_by_task: dict[str, int] = field(default_factory=dict)
    running_by_task: dict[str, asyncio.Task[Any]] = field(default_factory=dict)


class _Handler(RequestHandler):
    def initialize(self, state: BackendServerState) -> None:
        self.state = state


class TasksHandler(_Handler):
    """Starts a batch of tasks and streams one result line per task."""

    async def post(self) -> None:
        """Run the batch; respond with 409 if it was not sent under the newest lease."""
        batch = json.loads(self.request.body)
        if batch["lease"] != self.state.lease:
            self.set_status(409)
            self.finish(
                {
                    "status": "not_run",
                    "error": "batch was not sent under the newest lease",
                }
            )
            return
        self.set_header("Content-Type", "application/x-ndjson")
        runs = [self._start(task) for task in batch["tasks"]]
        for run in asyncio.as_completed(runs):
            self.write(json.dumps(await run) + "\n")
            await self.flush()
        self.finish()

    def _start(self, task: dict[str, Any]) -> asyncio.Task[Any]:
        starts = self.state.starts_by_task
        starts[task["id"]] = starts.get(task["id"], 0) + 1
        run = asyncio.create_task(_run_task(self.state, task))
        self.state.running_by_task[task["id"]] = run
        return run


async def _run_task(state: BackendServerState, task: dict[str, Any]) -> dict[str, Any]:
    payload = task["payload"] if isinstance(task["payload"], dict) else {}
    seconds = float(payload.get("work", 0.05)) / state.speed
    try:
        if state.fail_all or payload.get("fail"):
            return {
                "id": task["id"],
                "status": "failed",
                "error": "failure was requested",
            }
        await asyncio.sleep(min(seconds, task["timeout"]))
    except asyncio.CancelledError:
        return {"id": task["id"], "status": "cancelled", "error": "cancelled"}
    finally:
        state.running_by_task.pop(task["id"], None)
    if seconds > task["timeout"]:
        return {"id": task["id"], "status": "failed", "error": "timeout"}
    return {
        "id": task["id"],
        "status": "done",
        "result": task["payload"],
        "seconds": seconds,
    }


class TaskHandler(_Handler):
    """Cancels one task."""

    def delete(self, task_id: str) -> None:
        """Cancel a running task; respond with 404 if the task is not running."""
        run = self.state.running_by_task.get(task_id)
        if run is None:
            self.set_status(404)
        else:
            run.cancel()
        self.finish({})


class StartsHandler(_Handler):
    """Lists how often each task was started."""

    def get(self) -> None:
        """Return the counts by task."""
        self.finish(self.state.starts_by_task)


class ControlHandler(_Handler):
    """Changes the behaviour of this backend server during a test."""

    def post(self) -> None:
        """Set ``speed``, ``fail_all``, ``leaving`` or ``announce_at``."""
        for name, value in json.loads(self.request.body).items():
            if name not in ("speed", "fail_all", "leaving", "announce_at"):
                self.set_status(400)
                self.finish({"error": f"unknown option {name!r}"})
                return
            setattr(self.state, name, value)
        self.state.changed.set()
        self.finish({})


async def announce(state: BackendServerState) -> None:
    """Announce this backend server and renew its lease until cancelled.

    Announcements go to the lease holder, or to the other daemons in turn if it does
    not answer. A change, such as leaving, is announced at once.
    """
    client = AsyncHTTPClient()
    targets = list(state.daemons)
    while True:
        delay = RETRY_DELAY
        try:
            response = await client.fetch(
                HTTPRequest(
                    f"{state.announce_at or targets[0]}/v1/backend-servers/{state.id}",
                    method="PUT",
                    body=json.dumps(_describe(state)),
                    connect_timeout=1.0,
                    request_timeout=ANNOUNCE_TIMEOUT,
                )
            )
            granted = json.loads(response.body)
            state.lease = granted["lease"]
            targets = [granted["holder_address"], *state.daemons]
            delay = granted["renew_every"]
        except (HTTPClientError, OSError):
            targets = [*targets[1:], targets[0]]
        await _wait_for_change(state, delay)


async def _wait_for_change(state: BackendServerState, limit: float) -> None:
    jittered = limit * random.uniform(1 - DELAY_JITTER, 1)
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(state.changed.wait(), jittered)
    state.changed.clear()


def _describe(state: BackendServerState) -> dict[str, Any]:
    return {
        "address": state.address,
        "availability_zone": state.zone,
        "rack": state.rack,
        "slots": state.slots,
        "connections": 64,
        "cores": 64.0,
        "memory": 128 << 30,
        "leaving": state.leaving,
        "lease": state.lease,
    }


async def run(state: BackendServerState, port: int) -> None:
    """Serve until SIGTERM or SIGINT; print the address once the server listens."""
    shared = {"state": state}
    application = Application(
        [
            (r"/v1/tasks", TasksHandler, shared),
            (r"/v1/tasks/(.+)", TaskHandler, shared),
            (r"/starts", StartsHandler, shared),
            (r"/control", ControlHandler, shared),
        ],
        log_function=lambda handler: None,
    )
    sockets = bind_sockets(port, "127.0.0.1")
    server = HTTPServer(application)
    server.add_sockets(sockets)
    state.address = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"
    print(state.address, flush=True)
    announcing = asyncio.create_task(announce(state))
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await stop.wait()
    announcing.cancel()
    server.stop()


def main() -> None:
    """Run one backend server."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--zone", default="local")
    parser.add_argument("--rack", default="rack-1")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--speed", type=float, default=1.0)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--fail-all", action="store_true")
    parser.add_argument("--daemon", action="append", required=True, dest="daemons")
    arguments = vars(parser.parse_args())
    port = arguments.pop("port")
    asyncio.run(run(BackendServerState(**arguments), port))


if __name__ == "__main__":
    main()
