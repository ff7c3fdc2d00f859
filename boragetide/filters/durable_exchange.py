"""State of one request for a durable job on its way to the leader."""

from __future__ import annotations

from dataclasses import dataclass, field

from boragetide.daemon.runtime import Runtime
from boragetide.errors import REASON_INTERRUPTED, RequestError
from boragetide.messages import Request
from boragetide.types import GroupId, Seconds, Status


@dataclass(slots=True)
class DurableExchange:
    """State of one request for a durable job as it passes through the chain.

    Parameters
    ----------
    message
        Request to the dispatcher.
    name
        Kind of request, for logs and metrics.
    job_id, class_name
        Id and class of the job, for logs.
    received_at
        Unix time at which the request arrived.
    deadline
        Unix time until which the caller waits.
    useful_until
        Unix time after which the caller no longer needs a job that has not started.
    attempts
        Number of requests sent to a leader.
    abandoned
        Whether the caller has left, so that no further request is sent.
    group
        Group that has the job, as far as is known; at first the home group.
    home_group
        Group that is asked first.
    directed_at
        Unix time at which the request was sent that was answered with ``group``;
        ``None`` in the home group.
    may_have_arrived
        Whether a leader may have received the request, or has yet to confirm that a
        refused job does not run.
    """

    runtime: Runtime
    message: Request
    name: str
    job_id: str
    class_name: str
    received_at: Seconds
    deadline: Seconds
    useful_until: Seconds
    attempts: int = 0
    abandoned: bool = False
    group: GroupId = 0
    home_group: GroupId = field(init=False)
    directed_at: Seconds | None = None
    may_have_arrived: bool = False

    def __post_init__(self) -> None:
        self.home_group = self.group

    def find_directed_age(self, now: Seconds) -> Seconds:
        """Return the time since the request was directed to its group."""
        return 0.0 if self.directed_at is None else now - self.directed_at


def describe_interruption(exchange: DurableExchange | None) -> RequestError:
    """Return the error for a caller whose request ends because the process stops.

    Parameters
    ----------
    exchange
        State of the request; ``None`` if it has not entered the chain.
    """
    if exchange is not None and exchange.may_have_arrived:
        return RequestError(Status.UNKNOWN, 504, REASON_INTERRUPTED)
    return RequestError(Status.NOT_RUN, 503, REASON_INTERRUPTED)
