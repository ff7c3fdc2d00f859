"""Entry point of the daemon ``boragetided``."""

from __future__ import annotations

import argparse
import asyncio
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any, TypeAlias

from tornado.netutil import bind_sockets

from boragetide import commands
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
from boragetide.daemon.runtime import (
    Handle,
    Runtime,
    keep_running,
    run_controller,
    run_ticks,
)
from boragetide.daemon.stopping import StopSignals, stop_gracefully
from boragetide.errors import SettingsError, StorageError
from boragetide.links.backend_client import make_client
from boragetide.links.peers import PeerLink, run_link, run_listener
from boragetide.messages import SavedClaims
from boragetide.settings import Settings, load_settings
from boragetide.storage.journal import Journals, Recovered, open_journal, run_journals
from boragetide.types import Claim

EXIT_FAILURE = 1
EXIT_SETTINGS = 2
CANCEL_PERIOD = 0.1  # seconds

Machines: TypeAlias = dict[str, tuple[Handle, Any]]

RECORD_TYPES_BY_CONTROLLER = {
    "configuration": commands.RECORD_TYPES,
    "claims": (SavedClaims, Claim),
}


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
        try:
            sys.exit(asyncio.run(run_daemon(settings)))
        except StorageError as error:
            log_event("failed", error=str(error))
            sys.exit(EXIT_FAILURE)


async def run_daemon(
    settings: Settings, make: Callable[..., Machines] | None = None
) -> int:
    """Run all tasks of a daemon until it is asked to stop; returns the exit code.

    Parameters
    ----------
    make
        Makes the state machines; `make_machines` unless another policy is measured.

    Raises
    ------
    StorageError
        If the data folder cannot be read, or is lost for good.
    """
    signals = StopSignals()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, signals.note)
    host, port = settings.own.http_address.split(":")
    sockets = bind_sockets(int(port), host)
    journals, recovered = _open_journals(settings)
    runtime = Runtime(settings, _make_links(settings))
    listening = asyncio.Event()
    listener, *links = _start_links(runtime, listening)
    await _wait_until_listening(listener, listening)
    machines = (make or make_machines)(settings, runtime.incarnation, recovered)
    kept = claims.read_journal(_get_records(recovered, "claims"))
    runtime.send(runtime.local("claims"), kept)
    required = [
        listener,
        asyncio.create_task(run_journals(journals), name="journals"),
        *_start_controllers(runtime, journals, machines),
        asyncio.create_task(run_ticks(runtime), name="ticks"),
    ]
    serving = asyncio.create_task(_serve(runtime, sockets, signals))
    await asyncio.wait({serving, *required}, return_when=asyncio.FIRST_COMPLETED)
    code = _report_failures([*required, serving])
    await end_tasks({serving, *links, *required})
    if code == 0:
        log_event("stopped")
    return code


async def _wait_until_listening(
    listener: asyncio.Task[None], listening: asyncio.Event
) -> None:
    """Wait for the listener, so that no controller starts where it cannot listen."""
    waiting = asyncio.create_task(listening.wait())
    await asyncio.wait({listener, waiting}, return_when=asyncio.FIRST_COMPLETED)
    waiting.cancel()
    if listener.done():
        listener.result()


async def end_tasks(tasks: set[asyncio.Task[None]]) -> None:
    """Cancel tasks until they have ended.

    pynng drops a cancellation that meets a send or receive that has just ended, so the
    task of a busy link may have to be cancelled more than once.
    """
    while tasks:
        for task in tasks:
            task.cancel()
        _, tasks = await asyncio.wait(tasks, timeout=CANCEL_PERIOD)


async def _serve(
    runtime: Runtime,
    sockets: list[socket.socket],
    signals: StopSignals,
) -> None:
    settings = runtime.settings
    server = make_server(runtime)
    server.add_sockets(sockets)
    log_event(
        "started",
        zone=settings.zone,
        http_address=settings.own.http_address,
        incarnation=runtime.incarnation,
    )
    await signals.first.wait()
    await stop_gracefully(runtime, signals)
    server.stop()


def _report_failures(tasks: list[asyncio.Task[None]]) -> int:
    """Log tasks that failed; without one of them the state may be inconsistent."""
    failed = [task for task in tasks if task.done() and task.exception() is not None]
    for task in failed:
        error = task.exception()
        log_uncaught(type(error), error, error.__traceback__)
    return EXIT_FAILURE if failed else 0


def _start_links(
    runtime: Runtime, listening: asyncio.Event
) -> list[asyncio.Task[None]]:
    count = runtime.metrics.count

    def listen() -> Awaitable[None]:
        return run_listener(
            runtime.settings, runtime.deliver, runtime.report_fault, count, listening
        )

    links = {
        f"link {peer_id}": partial(run_link, link, runtime.report_unsent, count)
        for peer_id, link in runtime.links_by_id.items()
    }
    return [
        asyncio.create_task(keep_running("listener", listen, needed=listening)),
        *(asyncio.create_task(keep_running(name, run)) for name, run in links.items()),
    ]


def _make_links(settings: Settings) -> dict[str, PeerLink]:
    return {
        peer_id: PeerLink(peer)
        for peer_id, peer in settings.peers_by_id.items()
        if peer_id != settings.id
    }


def _open_journals(settings: Settings) -> tuple[Journals, dict[str, Recovered]]:
    journals = Journals({})
    recovered = {controller: Recovered(()) for controller in RECORD_TYPES_BY_CONTROLLER}
    if not settings.own.disk:
        return journals, recovered
    for controller, types in RECORD_TYPES_BY_CONTROLLER.items():
        path = settings.data_folder / f"{controller}.journal"
        journal, recovered[controller] = open_journal(path, types)
        journals.journals_by_controller[controller] = journal
        if recovered[controller].lost:
            log_event("journal_corrupt", controller=controller, path=str(path))
    if recovered["configuration"].lost and len(settings.disk_ids) == 1:
        raise StorageError(
            f"{settings.data_folder}: the journal of the configuration is corrupt, and "
            "no other instance has a disk to restore it from"
        )
    return journals, recovered


def make_machines(
    settings: Settings, incarnation: int, recovered: dict[str, Recovered]
) -> Machines:
    """Return the state machine of each controller with its first state.

    Parameters
    ----------
    settings, incarnation
        Of this process.
    recovered
        Records of the journals, by controller.
    """
    records = _get_records(recovered, "configuration")
    return {
        "instances": (
            instances.handle,
            instances.InstancesState(settings, incarnation),
        ),
        "configuration": (
            configuration.handle,
            configuration.make_state(settings, incarnation, records),
        ),
        "claims": (claims.handle, claims.ClaimsState(settings, incarnation)),
        "backend_servers": (
            backend_servers.handle,
            backend_servers.BackendServersState(settings, incarnation),
        ),
        "jobs": (jobs.handle, jobs.JobsState(settings, incarnation)),
    }


def _start_controllers(
    runtime: Runtime, journals: Journals, machines: Machines
) -> list[asyncio.Task[None]]:
    perform = make_perform(Performer(runtime, make_client(), journals))
    return [
        asyncio.create_task(
            run_controller(runtime, name, handle, state, perform), name=name
        )
        for name, (handle, state) in machines.items()
    ]


def _get_records(recovered: dict[str, Recovered], controller: str) -> tuple[Any, ...]:
    return recovered[controller].records if controller in recovered else ()


if __name__ == "__main__":
    main()
