"""Entry point of the daemon ``boragetided``."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

from tornado.httpserver import HTTPServer

from boragetide import commands
from boragetide.api.application import make_application
from boragetide.controllers import (
    backend_servers,
    claims,
    configuration,
    instances,
    jobs,
)
from boragetide.daemon.logs import configure_logs, log_event
from boragetide.daemon.performer import Performer, make_perform
from boragetide.daemon.runtime import Runtime, run_controller, run_ticks
from boragetide.errors import BoragetideError, SettingsError, StorageError
from boragetide.links.backend_client import make_client
from boragetide.links.peers import PeerLink, run_link, run_listener
from boragetide.settings import Settings, load_settings
from boragetide.storage.journal import Journals, Recovered, open_journal, run_journals

EXIT_FAILURE = 1
EXIT_SETTINGS = 2

RECORD_TYPES_BY_CONTROLLER = {"configuration": commands.RECORD_TYPES}


def main() -> None:
    """Run the daemon, or check its settings."""
    parser = argparse.ArgumentParser(prog="boragetided", description=__doc__)
    parser.add_argument("--config", type=Path, help="INI file with the settings")
    parser.add_argument("--check", action="store_true", help="validate and exit")
    parser.add_argument("--data-folder", type=Path, help="overrides the settings")
    arguments = parser.parse_args()
    try:
        settings = load_settings(arguments.config)
    except SettingsError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if arguments.data_folder is not None:
        settings = replace(settings, data_folder=arguments.data_folder)
    if not arguments.check:
        configure_logs(settings.id)
        try:
            asyncio.run(run_daemon(settings))
        except BoragetideError as error:
            log_event("failed", error=str(error))
            sys.exit(EXIT_FAILURE)


async def run_daemon(settings: Settings) -> None:
    """Run all tasks of a daemon until it is asked to stop.

    Raises
    ------
    StorageError
        If the files of the data folder cannot be used.
    """
    journals, recovered = _open_journals(settings)
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
        asyncio.create_task(run_journals(journals)),
        *_start_controllers(runtime, journals, recovered),
        asyncio.create_task(run_ticks(runtime)),
    ]
    await listening.wait()
    server = HTTPServer(
        make_application(runtime), max_body_size=settings.limits.body_bytes
    )
    host, port = settings.own.http_address.split(":")
    server.listen(int(port), host)
    log_event(
        "started",
        zone=settings.zone,
        http_address=settings.own.http_address,
        incarnation=runtime.incarnation,
    )
    await _wait_for_signal(tasks)
    runtime.stopping = True
    server.stop()
    log_event("stopped")
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _make_links(settings: Settings) -> dict[str, PeerLink]:
    return {
        peer_id: PeerLink(peer)
        for peer_id, peer in settings.peers_by_id.items()
        if peer_id != settings.id
    }


def _open_journals(settings: Settings) -> tuple[Journals, dict[str, Recovered]]:
    journals = Journals({})
    recovered: dict[str, Recovered] = {}
    if settings.data_folder is None:
        return journals, recovered
    for controller, types in RECORD_TYPES_BY_CONTROLLER.items():
        path = settings.data_folder / f"{controller}.journal"
        journal, recovered[controller] = open_journal(path, types)
        journals.journals_by_controller[controller] = journal
        if recovered[controller].lost:
            log_event("journal_corrupt", controller=controller, path=str(path))
    configuration_lost = recovered["configuration"].lost
    if configuration_lost and len(settings.disk_ids) == 1:
        raise StorageError(
            f"{settings.data_folder}: the journal of the configuration is corrupt, and "
            "no other instance has a disk to restore it from"
        )
    return journals, recovered


def _start_controllers(
    runtime: Runtime, journals: Journals, recovered: dict[str, Recovered]
) -> list[asyncio.Task[None]]:
    perform = make_perform(Performer(runtime, make_client(), journals))
    settings, incarnation = runtime.settings, runtime.incarnation
    machines: dict[str, tuple[Any, Any]] = {
        "instances": (instances, instances.InstancesState(settings, incarnation)),
        "configuration": (
            configuration,
            configuration.make_state(
                settings, incarnation, _get_records(recovered, "configuration")
            ),
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


def _get_records(recovered: dict[str, Recovered], controller: str) -> tuple[Any, ...]:
    return recovered[controller].records if controller in recovered else ()


async def _wait_for_signal(tasks: list[asyncio.Task[None]]) -> None:
    """Wait for a signal to stop, or raise the error of a task that failed."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    stopped = asyncio.create_task(stop.wait())
    ended, _ = await asyncio.wait(
        [stopped, *tasks], return_when=asyncio.FIRST_COMPLETED
    )
    for task in ended:
        task.result()


if __name__ == "__main__":
    main()
