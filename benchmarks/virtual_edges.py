"""Edges that receive submissions, on the virtual clock."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from benchmarks.dispatch_loads import GeneratedJob
from boragetide.controllers import directory
from boragetide.controllers.directory import DirectoryState
from boragetide.effects import Effect
from boragetide.filters.durable import make_admission_request
from boragetide.messages import (
    DispatcherReply,
    ReplyStatus,
    SubmitDurableJob,
)
from boragetide.settings import EMBEDDED_DEFAULT, parse_settings
from boragetide.types import InstanceId, ReplyTo, Seconds


@dataclass(slots=True)
class EdgeRequest:
    """A submission at an edge.

    Parameters
    ----------
    number
        Number of the request, by which replies refer to it.
    timeouts
        Number of copies that were not answered within their timeout.
    useful_until
        Time at which the caller leaves.
    reply, replied_at
        Answer to the caller and its time.
    """

    number: int
    edge: InstanceId
    generated: GeneratedJob
    received_at: Seconds
    useful_until: Seconds
    timeouts: int = 0
    reply: DispatcherReply | None = None
    replied_at: Seconds = 0.0

    @property
    def is_refused(self) -> bool:
        """Whether the answer was a refusal."""
        return self.reply is not None and self.reply.status is ReplyStatus.REFUSED

    @property
    def was_sent(self) -> bool:
        """Whether any copy was sent to the leader."""
        return self.timeouts > 0

    def has_left(self, now: Seconds) -> bool:
        """Return whether the caller has left."""
        return now >= self.useful_until


@dataclass(slots=True)
class VirtualEdge:
    """An edge with the directory of the product."""

    id: InstanceId
    state: DirectoryState = field(init=False)

    def __post_init__(self) -> None:
        settings = replace(parse_settings(EMBEDDED_DEFAULT), id=self.id)
        self.state = directory.make_state(settings)

    def receive(self, message: Any, now: Seconds) -> list[Effect]:
        """Receive a message of the leader."""
        return directory.handle(message, self.state, now)

    def ask_admission(self, request: EdgeRequest, now: Seconds) -> list[Effect]:
        """Ask the directory whether to send a submission to the leader."""
        question = make_admission_request(SubmitDurableJob(request.generated.job))
        reply_to = ReplyTo(self.id, request.number)
        return self.receive(replace(question, reply_to=reply_to), now)
