"""Planned stop: finishes all work in progress before the process exits."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from boragetide.daemon.clock import read_clock
from boragetide.daemon.logs import log_event
from boragetide.daemon.runtime import Runtime
from boragetide.errors import LinkError
from boragetide.messages import Drain, Request, StopRequested
from boragetide.types import Seconds

# Entry instances that chose this placer before the stop still send their jobs once the
# claims are decided; see also `RELEASE_DELAY` in `boragetide.controllers.leases`.
MIN_STOP_TIME = 1.0  # seconds
POLL_INTERVAL = 0.05  # seconds
FLUSH_TIMEOUT = 2.0  # seconds
# Answers to interrupted requests fit into the kernel's buffers, so that they are
# written at once unless a caller does not read.
INTERRUPTION_TIMEOUT = 0.1  # seconds
INTERRUPTION_POLL_INTERVAL = 0.01  # seconds


@dataclass(slots=True)
class StopSignals:
    """Stop signals: the first starts a planned stop, the second ends it early."""

    first: asyncio.Event = field(default_factory=asyncio.Event)
    second: asyncio.Event = field(default_factory=asyncio.Event)

    def record(self) -> None:
        """Record the receipt of one signal."""
        (self.second if self.first.is_set() else self.first).set()


async def stop_gracefully(
    runtime: Runtime,
    signals: StopSignals,
    last_requests: tuple[tuple[str, Request], ...],
    min_duration: Seconds | None = None,
) -> None:
    """Announce the stop and wait until all work in progress is finished.

    The wait ends early, with a log line, at a second signal or after ``stop-timeout``.

    Parameters
    ----------
    last_requests
        Controllers and the requests sent to them when all work is finished.
    min_duration
        Minimum duration of the stop in seconds; `MIN_STOP_TIME` if ``None``.
    """
    min_duration = MIN_STOP_TIME if min_duration is None else min_duration
    timeout = runtime.settings.timing.stop_timeout
    runtime.stopping = True
    log_event("stopping", timeout=timeout, requests=len(runtime.open_requests))
    for mailbox in runtime.mailboxes_by_controller.values():
        mailbox.put_nowait(StopRequested())
    finishing = asyncio.create_task(_finish_work(runtime, last_requests, min_duration))
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


async def interrupt_requests(runtime: Runtime) -> None:
    """Answer the requests that are still open when the process exits.

    Waits for the answers to be written, up to `INTERRUPTION_TIMEOUT`.
    """
    interrupted = set(runtime.open_requests)
    if not interrupted:
        return
    began = read_clock()
    for request in interrupted:
        request.interrupt()
    while (unanswered := interrupted & runtime.open_requests) and (
        read_clock() - began < INTERRUPTION_TIMEOUT
    ):
        await asyncio.sleep(INTERRUPTION_POLL_INTERVAL)
    log_event(
        "requests_interrupted",
        requests=len(interrupted),
        unanswered=len(unanswered),
        seconds=read_clock() - began,
    )


async def _finish_work(
    runtime: Runtime,
    last_requests: tuple[tuple[str, Request], ...],
    min_duration: Seconds,
) -> None:
    began = read_clock()
    while read_clock() - began < min_duration or await _has_work_left(runtime):
        await asyncio.sleep(POLL_INTERVAL)
    try:
        for controller, request in last_requests:
            await runtime.ask(runtime.local(controller), request, FLUSH_TIMEOUT)
    except LinkError as error:
        log_event("flush_failed", error=str(error))


async def _has_work_left(runtime: Runtime) -> bool:
    """Return whether requests are open or a controller has work left.

    A controller that hands over state, such as its claims, starts to do so on
    `StopRequested` and answers `Drain` with the amount of work left.
    """
    if runtime.open_requests:
        return True
    for controller in runtime.settings.controllers:
        if await _fetch_remaining_work(runtime, controller) > 0:
            return True
    return False


async def _fetch_remaining_work(runtime: Runtime, controller: str) -> int:
    timeout: Seconds = runtime.settings.timing.request_timeout
    try:
        state = await runtime.ask(runtime.local(controller), Drain(), timeout)
    except LinkError as error:
        log_event("drain_failed", controller=controller, error=str(error))
        return 1
    return state.remaining
