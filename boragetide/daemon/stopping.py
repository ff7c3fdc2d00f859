"""Planned stop: finish and answer everything in progress, then end."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from boragetide.daemon.clock import read_clock
from boragetide.daemon.logs import log_event
from boragetide.daemon.runtime import Runtime
from boragetide.errors import LinkError
from boragetide.messages import Drain, Request, StopRequested
from boragetide.types import Seconds

# Jobs from entry instances that had already chosen this placer arrive until their claim
# is decided; see also RELEASE_DELAY in the leases.
SHORTEST_STOP = 1.0  # seconds
POLL = 0.05  # seconds
FLUSH_TIMEOUT = 2.0  # seconds


@dataclass(slots=True)
class StopSignals:
    """What the process was asked: a second signal does not wait any longer."""

    first: asyncio.Event = field(default_factory=asyncio.Event)
    second: asyncio.Event = field(default_factory=asyncio.Event)

    def note(self) -> None:
        """Take note of one signal."""
        (self.second if self.first.is_set() else self.first).set()


async def stop_gracefully(
    runtime: Runtime,
    signals: StopSignals,
    last_requests: tuple[tuple[str, Request], ...],
    shortest: Seconds | None = None,
) -> None:
    """Announce the stop and wait until all that is in progress is finished.

    The stop ends early, with a log line, at a second signal or after ``stop-timeout``.

    Parameters
    ----------
    last_requests
        Controllers and what they are asked when all work is finished.
    shortest
        Seconds for which the instance goes on in any case; `SHORTEST_STOP` if ``None``.
    """
    shortest = SHORTEST_STOP if shortest is None else shortest
    timeout = runtime.settings.timing.stop_timeout
    runtime.stopping = True
    log_event("stopping", timeout=timeout, requests=len(runtime.open_requests))
    for mailbox in runtime.mailboxes_by_controller.values():
        mailbox.put_nowait(StopRequested())
    finishing = asyncio.create_task(_finish(runtime, last_requests, shortest))
    second = asyncio.create_task(signals.second.wait())
    await asyncio.wait(
        {finishing, second}, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
    )
    second.cancel()
    if finishing.done():
        finishing.result()
        return
    finishing.cancel()
    log_event(
        "stop_cut_short",
        reason="second_signal" if signals.second.is_set() else "stop_timeout",
        requests=len(runtime.open_requests),
    )


async def _finish(
    runtime: Runtime,
    last_requests: tuple[tuple[str, Request], ...],
    shortest: Seconds,
) -> None:
    began = read_clock()
    while read_clock() - began < shortest or await _is_busy(runtime):
        await asyncio.sleep(POLL)
    try:
        for controller, request in last_requests:
            await runtime.ask(runtime.local(controller), request, FLUSH_TIMEOUT)
    except LinkError as error:
        log_event("flush_failed", error=str(error))


async def _is_busy(runtime: Runtime) -> bool:
    """Tell whether requests are open or a controller has something to finish.

    A controller that hands something over, such as its claims, begins with it at
    `StopRequested` and answers `Drain` with what is left.
    """
    if runtime.open_requests:
        return True
    for controller in runtime.settings.controllers:
        if await _count_remaining(runtime, controller) > 0:
            return True
    return False


async def _count_remaining(runtime: Runtime, controller: str) -> int:
    timeout: Seconds = runtime.settings.timing.request_timeout
    try:
        state = await runtime.ask(runtime.local(controller), Drain(), timeout)
    except LinkError as error:
        log_event("drain_failed", controller=controller, error=str(error))
        return 1
    return state.remaining
