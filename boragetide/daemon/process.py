"""One daemon process: its controllers, links, journals and HTTP servers."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any, TypeAlias

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from boragetide.api.server_limits import get_server_limits
from boragetide.daemon.effect_execution import EffectContext, bind_execute_effect
from boragetide.daemon.logs import log_event, log_uncaught
from boragetide.daemon.runtime import (
    MessageHandler,
    Runtime,
    run_controller,
    run_ticks,
    run_with_restarts,
)
from boragetide.daemon.stopping import (
    StopSignals,
    interrupt_requests,
    stop_gracefully,
)
from boragetide.errors import StorageError
from boragetide.links.peers import PeerLink, run_link, run_listener
from boragetide.messages import Request
from boragetide.settings import Peer, Settings
from boragetide.storage.journal import Journals, Recovered, open_journal, run_journals
from boragetide.types import InstanceId, Seconds

EXIT_FAILURE = 1
CANCEL_PERIOD = 0.1  # seconds
OVERDUE_CHECK_PERIOD = 1.0  # seconds
# Size requested for the kernel's buffers of a client's connection, per direction; Linux
# uses twice as much. Without a limit they grow to several MiB for each connection whose
# bytes are not read. A window of this size carries 5 MB/s at a round trip of 6 ms.
KERNEL_BUFFER_BYTES = 32 * 1024

StateMachines: TypeAlias = dict[str, tuple[MessageHandler, Any]]
RecoveredByController: TypeAlias = dict[str, Recovered]


@dataclass(frozen=True, slots=True)
class Composition:
    """Components of a daemon.

    Parameters
    ----------
    make_state_machines
        Makes the state machine of each controller with its initial state.
    servers_by_address
        Functions that make the HTTP server for each listening address.
    record_types_by_controller
        Record types of the controllers that have a journal on an instance with a disk.
    make_effect_context
        Makes the `EffectContext` on which effects are executed.
    make_first_messages
        Makes the messages that controllers receive before any other.
    last_requests
        Requests that a planned stop sends when all work is finished.
    min_stop_time
        Minimum time for which the process keeps serving during a planned stop, in
        seconds, so that instances that still send to it learn of the stop. ``None``
        stands for `MIN_STOP_TIME` in `boragetide.daemon.stopping`.
    background
        Additional tasks of the process.
    """

    make_state_machines: Callable[[Settings, int, RecoveredByController], StateMachines]
    servers_by_address: Mapping[str, Callable[[Runtime], HTTPServer]]
    record_types_by_controller: Mapping[str, Iterable[type]]
    make_effect_context: Callable[[Runtime, Journals], EffectContext]
    make_first_messages: Callable[[RecoveredByController], dict[str, Any]] = (
        lambda recovered: {}
    )
    last_requests: tuple[tuple[str, Request], ...] = ()
    min_stop_time: Seconds | None = None
    background: tuple[Callable[[Runtime], Awaitable[None]], ...] = ()


async def run_process(settings: Settings, composition: Composition) -> int:
    """Run all tasks of a daemon until it is asked to stop, and return the exit code.

    Raises
    ------
    StorageError
        If the data folder cannot be read or its content cannot be recovered.
    """
    signals = StopSignals()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, signals.record)
    sockets_by_address = {
        address: _bind(address) for address in composition.servers_by_address
    }
    types = composition.record_types_by_controller
    journals, recovered = open_journals(settings, types)
    runtime = Runtime(settings, _make_links(settings))
    listening = asyncio.Event()
    listener, *links = _start_links(runtime, listening)
    await _wait_until_listening(listener, listening)
    state_machines = composition.make_state_machines(
        settings, runtime.incarnation, recovered
    )
    for controller, message in composition.make_first_messages(recovered).items():
        runtime.send(runtime.local(controller), message)
    required = [
        listener,
        asyncio.create_task(run_journals(journals), name="journals"),
        *_start_controllers(
            composition.make_effect_context(runtime, journals), state_machines
        ),
        asyncio.create_task(run_ticks(runtime), name="ticks"),
        asyncio.create_task(_close_overdue_connections(runtime), name="connections"),
        *(asyncio.create_task(run(runtime)) for run in composition.background),
    ]
    serving = asyncio.create_task(
        _serve(runtime, composition, sockets_by_address, signals)
    )
    await asyncio.wait({serving, *required}, return_when=asyncio.FIRST_COMPLETED)
    exit_code = _report_failures([*required, serving])
    await end_tasks({serving, *links, *required})
    if exit_code == 0:
        log_event("stopped")
    return exit_code


def _bind(address: str) -> list[socket.socket]:
    host, port = address.split(":")
    sockets = bind_sockets(int(port), host)
    # Accepted connections inherit the sizes.
    for each in sockets:
        each.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
        each.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
    return sockets


async def _close_overdue_connections(runtime: Runtime) -> None:
    """Close connections whose headers, body or reading of an answer is overdue."""
    limits = get_server_limits(runtime)
    while True:
        await asyncio.sleep(OVERDUE_CHECK_PERIOD)
        limits.close_overdue()


async def _wait_until_listening(
    listener: asyncio.Task[None], listening: asyncio.Event
) -> None:
    """Wait for the listener, so that no controller starts if it cannot listen."""
    waiting = asyncio.create_task(listening.wait())
    await asyncio.wait({listener, waiting}, return_when=asyncio.FIRST_COMPLETED)
    waiting.cancel()
    if listener.done():
        listener.result()


async def end_tasks(tasks: set[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait until all have ended.

    pynng drops a cancellation that arrives when a send or receive has just completed,
    so the task of a busy link may have to be cancelled more than once.
    """
    while tasks:
        for task in tasks:
            task.cancel()
        _, tasks = await asyncio.wait(tasks, timeout=CANCEL_PERIOD)


async def _serve(
    runtime: Runtime,
    composition: Composition,
    sockets_by_address: dict[str, list[socket.socket]],
    signals: StopSignals,
) -> None:
    settings = runtime.settings
    servers = []
    for address, make_server in composition.servers_by_address.items():
        server = make_server(runtime)
        server.add_sockets(sockets_by_address[address])
        servers.append(server)
    log_event(
        "started",
        zone=settings.zone,
        http_address=settings.own_peer.http_address,
        incarnation=runtime.incarnation,
    )
    await signals.first.wait()
    await stop_gracefully(
        runtime, signals, composition.last_requests, composition.min_stop_time
    )
    for server in servers:
        server.stop()
    await interrupt_requests(runtime)


def _report_failures(tasks: list[asyncio.Task[None]]) -> int:
    """Log the tasks that failed and return the exit code.

    The process ends after such a failure because its state may be inconsistent.
    """
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
            runtime.settings,
            runtime.deliver,
            runtime.log_decode_error,
            count,
            listening,
        )

    def start_link(instance: InstanceId, link: PeerLink) -> asyncio.Task[None]:
        on_unsent = partial(runtime.report_unsent, instance)
        run = partial(run_link, link, on_unsent, count)
        return asyncio.create_task(run_with_restarts(f"link {instance}", run))

    def make_link(instance: InstanceId) -> PeerLink:
        link = PeerLink(_make_peer_from_address(instance, runtime.settings))
        on_demand_tasks.add(start_link(instance, link))
        return link

    on_demand_tasks: set[asyncio.Task[None]] = set()
    if runtime.settings.ids_are_addresses:
        runtime.make_link = make_link
    return [
        asyncio.create_task(run_with_restarts("listener", listen, started=listening)),
        *(start_link(peer, link) for peer, link in runtime.links_by_id.items()),
    ]


def _make_peer_from_address(instance: InstanceId, settings: Settings) -> Peer:
    """Return a peer whose id is its IP address; all peers listen on the same port."""
    port = settings.own_peer.peer_address.rpartition(":")[2]
    return Peer(instance, "", "", f"{instance}:{port}", disk=False)


def _make_links(settings: Settings) -> dict[InstanceId, PeerLink]:
    return {
        peer_id: PeerLink(peer)
        for peer_id, peer in settings.peers_by_id.items()
        if peer_id != settings.id
    }


def open_journals(
    settings: Settings, types_by_controller: Mapping[str, Iterable[type]]
) -> tuple[Journals, RecoveredByController]:
    """Open the journals of an instance with a disk and read their records.

    Raises
    ------
    StorageError
        If they cannot be read, or if the only copy of the configuration is corrupt.
    """
    journals = Journals({})
    recovered = {controller: Recovered(()) for controller in types_by_controller}
    if not settings.own_peer.disk:
        return journals, recovered
    for controller, types in types_by_controller.items():
        path = settings.data_folder / f"{controller}.journal"
        journal, recovered[controller] = open_journal(path, types)
        journals.journals_by_controller[controller] = journal
        if recovered[controller].lost:
            log_event("journal_corrupt", controller=controller, path=str(path))
    if recovered["configuration"].lost and len(settings.ids_with_disk) == 1:
        raise StorageError(
            f"{settings.data_folder}: the journal of the configuration is corrupt, and "
            "no other instance has a disk to restore it from"
        )
    return journals, recovered


def _start_controllers(
    context: EffectContext, state_machines: StateMachines
) -> list[asyncio.Task[None]]:
    execute_effect = bind_execute_effect(context)
    return [
        asyncio.create_task(
            run_controller(context.runtime, name, handle, state, execute_effect),
            name=name,
        )
        for name, (handle, state) in state_machines.items()
    ]
