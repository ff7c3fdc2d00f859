"""Answers to callers of durable jobs while the leader changes."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from boragetide.daemon.clock import read_clock
from boragetide.daemon.metrics import Metrics
from boragetide.errors import PeerUnreachable, ReplyTimeout, RequestError
from boragetide.filters.durable import (
    DURABLE_CHAIN,
    LEADER_TIMEOUT,
    DurableExchange,
)
from boragetide.messages import (
    DispatcherReply,
    FindLeader,
    LeaderFound,
    LookUpDurableJob,
    ReplyStatus,
)
from boragetide.types import Address, Status

CALLER_TIMEOUT = 0.5  # seconds for which a caller waits
ACCEPTED = DispatcherReply(ReplyStatus.ACCEPTED)
NOT_LEADER = DispatcherReply(ReplyStatus.NOT_LEADER)
UNDECIDED = DispatcherReply(ReplyStatus.UNDECIDED)
NO_LEADER = LeaderFound(None, None, False, lost_for=0.5)
UNREACHABLE = PeerUnreachable("not sent")
TIMEOUT = ReplyTimeout("no reply")


def refuse(term: int) -> DispatcherReply:
    return DispatcherReply(ReplyStatus.REFUSED, reason="too late", term=term)


class ScriptedRuntime:
    """Answers the chain from a script of steps: the term of a leader and its reply."""

    def __init__(self, *steps: tuple[int, Any]):
        self.steps = list(steps)
        self.metrics = Metrics()
        self.term = 0
        self.timeouts: list[float] = []

    def local(self, controller: str) -> Address:
        """Address of a controller of this instance."""
        return Address("e1", controller)

    async def ask(self, to: Address, message: Any, timeout: float) -> Any:
        """Return the leader of the next step, or that leader's reply."""
        if isinstance(message, FindLeader):
            if not self.steps:
                return NO_LEADER
            return LeaderFound("a1", None, True, term=self.steps[0][0])
        self.timeouts.append(timeout)
        _, reply = self.steps.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply


def ask(*steps: tuple[int, Any]) -> DispatcherReply:
    return ask_through(ScriptedRuntime(*steps))


def ask_through(
    runtime: ScriptedRuntime, caller_timeout: float = CALLER_TIMEOUT
) -> DispatcherReply:
    now = read_clock()
    exchange = DurableExchange(
        runtime=runtime,
        message=LookUpDurableJob(id="j1"),
        name="submit",
        job_id="j1",
        class_name="c",
        received_at=now,
        deadline=now + caller_timeout,
        useful_until=now + caller_timeout / 2,
    )
    return asyncio.run(DURABLE_CHAIN(exchange))


@pytest.mark.parametrize("first", [UNREACHABLE, TIMEOUT, NOT_LEADER, UNDECIDED])
def test_next_leader_is_asked(first: Any) -> None:
    """Guards against a change of leader that becomes visible to the caller."""
    assert ask((1, first), (2, ACCEPTED)) is ACCEPTED


@pytest.mark.parametrize("first", [TIMEOUT, UNDECIDED])
def test_refusal_does_not_cover_an_earlier_leader(first: Any) -> None:
    """Guards against reporting a refusal although an earlier leader ran a task."""
    with pytest.raises(RequestError) as caught:
        ask((1, first), (2, refuse(2)))
    assert (caught.value.status, caught.value.http_status) == (Status.UNKNOWN, 504)


@pytest.mark.parametrize("first", [UNREACHABLE, NOT_LEADER])
def test_refusal_stands_where_no_other_leader_had_the_job(first: Any) -> None:
    """Guards against reporting an unknown outcome although the job was refused."""
    assert ask((1, first), (2, refuse(2))).status is ReplyStatus.REFUSED


def test_refusal_of_the_same_leader_stands_after_a_lost_reply() -> None:
    """Guards against resubmissions of jobs that were refused."""
    assert ask((2, TIMEOUT), (2, refuse(2))).status is ReplyStatus.REFUSED


@pytest.mark.parametrize(
    ("first", "status"),
    [(UNREACHABLE, Status.NOT_RUN), (TIMEOUT, Status.UNKNOWN)],
)
def test_end_without_a_leader_tells_whether_the_job_may_have_run(
    first: Any, status: Status
) -> None:
    """Guards against a wrong ``not_run``, and against a needless ``unknown``."""
    with pytest.raises(RequestError) as caught:
        ask((1, first))
    assert caught.value.status is status


def test_slow_leader_is_asked_with_longer_timeouts() -> None:
    """Guards against an overloaded leader that gets each request many times."""
    runtime = ScriptedRuntime((1, TIMEOUT), (1, TIMEOUT), (2, TIMEOUT), (2, ACCEPTED))
    assert ask_through(runtime, caller_timeout=60.0) == ACCEPTED
    first, second, next_leader, last = runtime.timeouts
    assert (first, next_leader) == (LEADER_TIMEOUT, LEADER_TIMEOUT)
    assert (second, last) == (2 * LEADER_TIMEOUT, 2 * LEADER_TIMEOUT)
