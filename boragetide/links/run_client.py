"""What a client of backend servers that run durable tasks must do."""

from __future__ import annotations

from typing import Protocol

from boragetide.effects import ReadRuns, StartRun, StopRun
from boragetide.messages import ReadFailed, RunOrdered, RunsRead


class RunClient(Protocol):
    """Carries an order to a backend server.

    Never raises: an order that may have been carried out without an answer ends as
    `OrderResult.UNANSWERED`, a question as `ReadFailed`.
    """

    async def __call__(
        self, order: StartRun | StopRun | ReadRuns
    ) -> RunOrdered | RunsRead | ReadFailed:
        """Give the order and return what the backend server said."""
        ...
