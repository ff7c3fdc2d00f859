"""Order and time limits of a planned stop."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import replace
from typing import Any

import pytest

from boragetide.daemon import stopping
from boragetide.daemon.runtime import Runtime
from boragetide.errors import ReplyTimeout
from boragetide.messages import Drain, DrainState, Flush, Flushed, SaveClaims
from boragetide.settings import Settings

# An event loop starts and ends within this time on a busy machine.
START_SECONDS = 0.2


class ScriptedRuntime(Runtime):
    """A runtime whose controllers report work to the first ``busy`` drain requests."""

    def __init__(self, settings: Settings, busy: int):
        super().__init__(settings, {})
        self.asked: list[str] = []
        self.remaining = itertools.chain([1] * busy, itertools.repeat(0))

    async def ask(self, to: Any, message: Any, timeout: float) -> Any:
        """Record a request and answer it from the script."""
        self.asked.append(type(message).__name__)
        if isinstance(message, Drain):
            return DrainState(next(self.remaining))
        if isinstance(message, Flush | SaveClaims):
            return Flushed()
        raise ReplyTimeout("not expected")


def run_stop(runtime: Runtime, signals: stopping.StopSignals) -> None:
    async def run() -> None:
        async with asyncio.timeout(5.0):
            last_requests = (("claims", SaveClaims()), ("instances", Flush()))
            await stopping.stop_gracefully(runtime, signals, last_requests)

    asyncio.run(run())


@pytest.fixture(autouse=True)
def shorten_stop(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the time for which a stop waits for late jobs."""
    monkeypatch.setattr(stopping, "MIN_STOP_TIME", 0.1)


def test_links_are_flushed_after_everything_is_finished(settings: Settings) -> None:
    """Guards against an exit before the peers have read the last replies."""
    runtime = ScriptedRuntime(settings, busy=2)
    run_stop(runtime, stopping.StopSignals())
    assert runtime.asked == [
        *["Drain"] * (2 + len(settings.controllers)),
        "SaveClaims",
        "Flush",
    ]


def test_open_request_delays_the_stop_until_its_timeout(settings: Settings) -> None:
    """Guards against an exit that cuts off a caller, and against a stop without end."""
    timing = replace(settings.timing, stop_timeout=0.5)
    runtime = ScriptedRuntime(replace(settings, timing=timing), busy=0)
    runtime.open_requests.add("request")
    run_stop(runtime, stopping.StopSignals())
    assert runtime.asked == []


def test_second_signal_ends_the_wait(settings: Settings) -> None:
    """Guards against a stop that an operator cannot cut short."""
    runtime = ScriptedRuntime(settings, busy=1_000_000)
    signals = stopping.StopSignals()
    signals.record()
    signals.record()
    run_stop(runtime, signals)
    assert "Flush" not in runtime.asked


class OpenRequest:
    """A request whose answer is written some time after it is interrupted."""

    def __init__(self, runtime: Runtime, seconds: float | None):
        self.runtime = runtime
        self.seconds = seconds
        runtime.open_requests.add(self)

    def interrupt(self) -> None:
        """Write the answer after the time; never if there is none."""
        if self.seconds is not None:
            discard = self.runtime.open_requests.discard
            asyncio.get_running_loop().call_later(self.seconds, discard, self)


@pytest.mark.parametrize(
    ("seconds", "bounds"),
    [((), (0.0, 0.005)), ((0.03, 0.05), (0.05, 0.1)), ((0.03, None), (0.1, 0.2))],
    ids=["none", "written", "unread"],
)
def test_interrupted_requests_delay_the_exit_briefly(
    settings: Settings, seconds: tuple[float | None, ...], bounds: tuple[float, float]
) -> None:
    """Guards against an exit before the answers, and one that a caller holds up."""
    runtime = Runtime(settings, {})
    for each in seconds:
        OpenRequest(runtime, each)
    began = time.monotonic()
    asyncio.run(stopping.interrupt_requests(runtime))
    low, high = bounds
    assert low <= time.monotonic() - began < high + START_SECONDS
    assert len(runtime.open_requests) == seconds.count(None)
