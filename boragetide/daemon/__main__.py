"""Entry point of the daemon ``boragetided``."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from pathlib import Path
from typing import Any

from boragetide.api.application import make_server
from boragetide.controllers import (
    backend_servers,
    claims,
    configuration,
    instances,
    jobs,
)
from boragetide.daemon.logs import configure_logs, log_event, log_uncaught
from boragetide.daemon.performer import Performer, make_perform
from boragetide.daemon.runtime import Runtime, run_controller, run_ticks
from boragetide.errors import SettingsError
from boragetide.links.backend_client import make_client
from boragetide.links.peers import PeerLink, run_link, run_listener
from boragetide.messages import AcceptorRegistered
from boragetide.settings import Settings, load_settings

EXIT_FAULT = 1
EXIT_SETTINGS = 2


def main() -> None:
    """Run the daemon, or check its settings."""
    parser = argparse.ArgumentParser(prog="boragetided", description=__doc__)
    parser.add_argument("--config", type=Path, help="INI file with the settings")
    parser.add_argument("--check", action="store_true", help="validate and exit")
    parser.add_argument("--data-folder", type=Path, help="overrides the settings")
    arguments = parser.parse_args()
    try:
        settings = load_settings(arguments.config, arguments.data_folder)
    except SettingsError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if not arguments.check:
        configure_logs(settings.id)
        asyncio.run(run_daemon(settings))


async def run_daemon(settings: Settings) -> None:
    """Run all tasks of a daemon until it is asked to stop."""
    runtime = Runtime(settings, _make_links(settings))
    listening = asyncio.Event()
    tasks = [
        asyncio.create_task(
            run_listener(settings, runtime.deliver, runtime.report_fault, listening)
        ),
        *(
            asyncio.create_task(run_link(link, runtime.report_unsent))
            for link in runtime.links_by_id.values()
        ),
        *_start_controllers(runtime),
        asyncio.create_task(run_ticks(runtime)),
    ]
    for task in tasks:
        task.add_done_callback(_exit_on_fault)
    await listening.wait()
    server = make_server(runtime)
    host, port = settings.own.http_address.split(":")
    server.listen(int(port), host)
    log_event(
        "started",
        zone=settings.zone,
        http_address=settings.own.http_address,
        incarnation=runtime.incarnation,
    )
    # Stand-in until the configuration registers acceptors.
    runtime.send(runtime.local("claims"), AcceptorRegistered(first=True))
    await _wait_for_signal()
    runtime.stopping = True
    server.stop()
    log_event("stopped")
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _exit_on_fault(task: asyncio.Task[None]) -> None:
    """End the process when one of its tasks fails.

    A daemon without one of its controllers would answer nothing and still count as
    live; a supervisor restarts a process that has ended.
    """
    if not task.cancelled() and (error := task.exception()) is not None:
        log_uncaught(type(error), error, error.__traceback__)
        sys.exit(EXIT_FAULT)


def _make_links(settings: Settings) -> dict[str, PeerLink]:
    return {
        peer_id: PeerLink(peer)
        for peer_id, peer in settings.peers_by_id.items()
        if peer_id != settings.id
    }


def _start_controllers(runtime: Runtime) -> list[asyncio.Task[None]]:
    perform = make_perform(Performer(runtime, make_client()))
    settings, incarnation = runtime.settings, runtime.incarnation
    machines: dict[str, tuple[Any, Any]] = {
        "instances": (instances, instances.InstancesState(settings, incarnation)),
        "configuration": (
            configuration,
            configuration.ConfigurationState(settings, incarnation),
        ),
        "claims": (claims, claims.ClaimsState(settings, incarnation)),
        "backend_servers": (
            backend_servers,
            backend_servers.BackendServersState(settings, incarnation),
        ),
        "jobs": (jobs, jobs.JobsState(settings, incarnation)),
    }
    return [
        asyncio.create_task(
            run_controller(runtime, name, module.handle, state, perform)
        )
        for name, (module, state) in machines.items()
    ]


async def _wait_for_signal() -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


if __name__ == "__main__":
    main()
