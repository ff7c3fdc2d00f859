"""Interface of the clients of backend servers that run durable tasks."""

from __future__ import annotations

from typing import Protocol

from boragetide.effects import ReadRuns, StartRun, StopRun
from boragetide.messages import ReadFailed, RunOrdered, RunsRead


class RunClient(Protocol):
    """Sends an order to a backend server.

    Never raises. A start or stop without an answer, which may have been executed,
    results in `OrderResult.UNANSWERED`; a `ReadRuns` without an answer results in
    `ReadFailed`.
    """

    async def __call__(
        self, order: StartRun | StopRun | ReadRuns
    ) -> RunOrdered | RunsRead | ReadFailed:
        """Send the order and return the backend server's answer as a message."""
        ...
