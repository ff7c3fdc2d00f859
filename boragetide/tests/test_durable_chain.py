"""Answers to callers of durable jobs while the leader changes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import pytest

from boragetide.daemon.clock import read_clock
from boragetide.daemon.metrics import Metrics
from boragetide.durable import Step
from boragetide.errors import PeerUnreachable, ReplyTimeout, RequestError
from boragetide.filters.durable import (
    DIRECTION_LIFETIME,
    DURABLE_CHAIN,
    LEADER_TIMEOUT,
)
from boragetide.filters.durable_exchange import DurableExchange, describe_interruption
from boragetide.messages import (
    Admission,
    AdmissionReply,
    AdmitSubmission,
    DispatcherReply,
    FindLeader,
    LeaderFound,
    LookUpDurableJob,
    ReplyStatus,
    Request,
    SubmitDurableJob,
)
from boragetide.policy.scheduling import due_at
from boragetide.tests.durable_fixtures import BEGIN, NEEDS, make_durable_job
from boragetide.types import Address, Status

CALLER_TIMEOUT = 0.5  # seconds for which a caller waits
ACCEPTED = DispatcherReply(ReplyStatus.ACCEPTED)
NOT_LEADER = DispatcherReply(ReplyStatus.NOT_LEADER)
UNDECIDED = DispatcherReply(ReplyStatus.UNDECIDED)
NO_LEADER = LeaderFound(None, None, False, lost_for=0.5)
UNREACHABLE = PeerUnreachable("not sent")
TIMEOUT = ReplyTimeout("no reply")
LOOK_UP = LookUpDurableJob(id="j1")
RETRY_AFTER = 3.0  # seconds
LONG_STEP = Step(1, NEEDS, 0.9)


def refuse(term: int) -> DispatcherReply:
    return DispatcherReply(ReplyStatus.REFUSED, reason="too late", term=term)


class ScriptedRuntime:
    """Answers the chain from a script of steps: the term of a leader and its reply.

    A step that is an error is raised by the directory.
    """

    def __init__(self, *steps: tuple[int, Any] | Exception):
        self.steps = list(steps)
        self.metrics = Metrics()
        self.term = 0
        self.timeouts: list[float] = []
        self.asked: list[tuple[str, Any]] = []
        self.admission = Admission.ADMITTED
        self.on_ask: Callable[[], None] = lambda: None

    def local(self, controller: str) -> Address:
        """Address of a controller of this instance."""
        return Address("e1", controller)

    async def ask(self, to: Address, message: Any, timeout: float) -> Any:
        """Return the leader of the next step, or that leader's reply."""
        if isinstance(message, AdmitSubmission):
            return AdmissionReply(self.admission, retry_after=RETRY_AFTER)
        if isinstance(message, FindLeader):
            if not self.steps:
                return NO_LEADER
            if isinstance(self.steps[0], Exception):
                raise self.steps.pop(0)
            return LeaderFound("a1", None, True, term=self.steps[0][0])
        self.timeouts.append(timeout)
        self.asked.append((to.controller, message))
        self.on_ask()
        _, reply = self.steps.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply


def ask(*steps: tuple[int, Any] | Exception) -> DispatcherReply:
    return ask_through(ScriptedRuntime(*steps))


def ask_through(
    runtime: ScriptedRuntime,
    caller_timeout: float = CALLER_TIMEOUT,
    message: Request = LOOK_UP,
) -> DispatcherReply:
    exchange = make_exchange(runtime, caller_timeout, message)
    return asyncio.run(DURABLE_CHAIN(exchange))


def make_exchange(
    runtime: ScriptedRuntime, caller_timeout: float, message: Request
) -> DurableExchange:
    now = read_clock()
    return DurableExchange(
        runtime=runtime,
        message=message,
        name="submit",
        job_id="j1",
        class_name="c",
        received_at=now,
        deadline=now + caller_timeout,
        useful_until=now + caller_timeout / 2,
    )


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


def test_leader_that_leaves_a_job_undecided_is_not_asked_again() -> None:
    """Guards against an edge that repeats a request every few milliseconds."""
    undecided = DispatcherReply(ReplyStatus.UNDECIDED, term=2)
    with pytest.raises(RequestError) as caught:
        ask((2, undecided), (2, ACCEPTED))
    assert (caught.value.status, caught.value.http_status) == (Status.UNKNOWN, 504)


@pytest.mark.parametrize(
    ("first", "status"),
    [((1, TIMEOUT), Status.UNKNOWN), ((1, UNREACHABLE), Status.NOT_RUN)],
)
def test_slow_directory_does_not_hide_whether_the_job_may_have_run(
    first: tuple[int, Any], status: Status
) -> None:
    """Guards against a refusal of a job that was sent to a leader."""
    with pytest.raises(RequestError) as caught:
        ask(first, TIMEOUT)
    assert caught.value.status is status


def test_slow_leader_is_asked_with_longer_timeouts() -> None:
    """Guards against an overloaded leader that gets each request many times."""
    runtime = ScriptedRuntime((1, TIMEOUT), (1, TIMEOUT), (2, TIMEOUT), (2, ACCEPTED))
    assert ask_through(runtime, caller_timeout=60.0) == ACCEPTED
    first, second, next_leader, last = runtime.timeouts
    assert (first, next_leader) == (LEADER_TIMEOUT, LEADER_TIMEOUT)
    assert (second, last) == (2 * LEADER_TIMEOUT, 2 * LEADER_TIMEOUT)


@pytest.mark.parametrize("best_effort", [True, False])
def test_job_that_runs_long_is_not_sent_again(best_effort: bool) -> None:
    """Guards against a copy of each best-effort job that runs for a while.

    A durable job is answered when it is stored, however long it runs.
    """
    job = make_durable_job("j1", LONG_STEP, best_effort=best_effort)
    runtime = ScriptedRuntime((1, ACCEPTED))
    ask_through(runtime, caller_timeout=60.0, message=SubmitDurableJob(job))
    (timeout,) = runtime.timeouts
    time_to_end = due_at(job) - BEGIN if best_effort else 0.0
    assert timeout == pytest.approx(time_to_end + LEADER_TIMEOUT)


def test_caller_that_left_is_not_asked_for_again() -> None:
    """Guards against a leader that runs a cancelled job because of a late copy."""
    runtime = ScriptedRuntime((1, TIMEOUT), (1, ACCEPTED))
    message = SubmitDurableJob(make_durable_job(best_effort=True))
    exchange = make_exchange(runtime, 60.0, message)
    runtime.on_ask = lambda: setattr(exchange, "abandoned", True)
    with pytest.raises(RequestError) as caught:
        asyncio.run(DURABLE_CHAIN(exchange))
    assert caught.value.status is Status.UNKNOWN
    assert len(runtime.timeouts) == 1


def test_submission_beyond_the_admitted_share_is_not_sent() -> None:
    """Guards against refusals that cost an overloaded leader its time."""
    runtime = ScriptedRuntime((1, ACCEPTED))
    runtime.admission = Admission.REFUSED
    message = SubmitDurableJob(make_durable_job(best_effort=True))
    reply = ask_through(runtime, message=message)
    assert (reply.status, reply.retry_after) == (ReplyStatus.REFUSED, RETRY_AFTER)
    assert runtime.timeouts == []


def test_unconfirmed_refusal_is_not_given() -> None:
    """Guards against a promise that a job has not run without the leader's word."""
    runtime = ScriptedRuntime((1, ACCEPTED))
    runtime.admission = Admission.UNDECIDED
    message = SubmitDurableJob(make_durable_job(best_effort=True))
    with pytest.raises(RequestError) as caught:
        ask_through(runtime, message=message)
    assert (caught.value.status, caught.value.http_status) == (Status.UNKNOWN, 504)
    assert runtime.timeouts == []


def transfer(group: int, transfers: int = 1, term: int = 1) -> DispatcherReply:
    return DispatcherReply(
        ReplyStatus.TRANSFERRED, group=group, transfers=transfers, term=term
    )


def test_request_follows_its_job_to_other_groups() -> None:
    """Guards against a caller who is refused because the job has changed groups."""
    steps = (1, transfer(2)), (7, transfer(0, transfers=2, term=7)), (1, ACCEPTED)
    runtime = ScriptedRuntime(*steps)
    assert ask_through(runtime) is ACCEPTED
    asked = [(controller, message.transfers) for controller, message in runtime.asked]
    assert asked == [("dispatcher", 0), ("dispatcher.2", 1), ("dispatcher", 2)]


def test_request_that_was_directed_long_ago_returns_to_its_home_group() -> None:
    """Guards against a second run in a group that the home group does not name now."""
    steps = (1, transfer(2)), (7, UNREACHABLE), (1, ACCEPTED)
    runtime = ScriptedRuntime(*steps)
    message = SubmitDurableJob(make_durable_job(best_effort=True))
    exchange = make_exchange(runtime, CALLER_TIMEOUT, message)

    def pass_time() -> None:
        if exchange.directed_at is not None:
            exchange.directed_at -= DIRECTION_LIFETIME

    runtime.on_ask = pass_time
    assert asyncio.run(DURABLE_CHAIN(exchange)) is ACCEPTED
    asked = [(controller, message.transfers) for controller, message in runtime.asked]
    assert asked == [("dispatcher", 0), ("dispatcher.2", 1), ("dispatcher", 0)]


def test_copy_tells_since_when_its_sender_knows_the_group() -> None:
    """Guards against a leader that cannot tell how old the direction is."""
    runtime = ScriptedRuntime((1, transfer(2)), (7, ACCEPTED))
    runtime.on_ask = lambda: time.sleep(0.01)
    message = SubmitDurableJob(make_durable_job(best_effort=True))
    ask_through(runtime, message=message)
    (_, first), (_, second) = runtime.asked
    assert first.directed_age == 0.0
    assert second.directed_age >= 0.01


def test_refusal_stands_after_a_transfer() -> None:
    """Guards against an unknown outcome of a job that no group has started."""
    assert ask((1, transfer(2)), (7, refuse(7))).status is ReplyStatus.REFUSED
    steps = (1, TIMEOUT), (1, transfer(2)), (7, refuse(7))
    assert ask_through(ScriptedRuntime(*steps), 60.0).status is ReplyStatus.REFUSED


def test_refusal_after_a_transfer_does_not_cover_an_earlier_leader() -> None:
    """Guards against a refusal of a job that a lost leader may have run.

    The groups count their terms separately.
    """
    steps = (1, TIMEOUT), (2, transfer(2, term=2)), (1, refuse(1))
    with pytest.raises(RequestError) as caught:
        ask_through(ScriptedRuntime(*steps), 60.0)
    assert (caught.value.status, caught.value.http_status) == (Status.UNKNOWN, 504)


def test_look_up_is_always_sent() -> None:
    """Guards against an overloaded leader that nobody can ask about jobs."""
    runtime = ScriptedRuntime((1, ACCEPTED))
    runtime.admission = Admission.REFUSED
    assert ask_through(runtime) is ACCEPTED


class SilentRuntime(ScriptedRuntime):
    """A scripted runtime that never answers questions of one type."""

    def __init__(self, silent: type, *steps: tuple[int, Any]):
        super().__init__(*steps)
        self.silent = silent

    async def ask(self, to: Any, message: Any, timeout: float) -> Any:
        """Answer from the script, unless the question is of the silent type."""
        if isinstance(message, self.silent):
            await asyncio.Event().wait()
        return await super().ask(to, message, timeout)


def interrupt(runtime: ScriptedRuntime) -> RequestError:
    """Return what a caller gets whose submission is interrupted as it waits."""
    job = make_durable_job("j1")
    exchange = make_exchange(runtime, CALLER_TIMEOUT, SubmitDurableJob(job=job))

    async def run() -> None:
        task = asyncio.ensure_future(DURABLE_CHAIN(exchange))
        await asyncio.sleep(CALLER_TIMEOUT / 4)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(run())
    return describe_interruption(exchange)


@pytest.mark.parametrize(
    ("runtime", "expected"),
    [
        (SilentRuntime(SubmitDurableJob, (1, ACCEPTED)), (Status.UNKNOWN, 504)),
        (SilentRuntime(AdmitSubmission), (Status.UNKNOWN, 504)),
        (ScriptedRuntime((1, TIMEOUT)), (Status.UNKNOWN, 504)),
        (SilentRuntime(FindLeader), (Status.NOT_RUN, 503)),
        (ScriptedRuntime((1, UNREACHABLE)), (Status.NOT_RUN, 503)),
        (ScriptedRuntime((1, NOT_LEADER)), (Status.NOT_RUN, 503)),
        (ScriptedRuntime((1, UNREACHABLE), (2, TIMEOUT)), (Status.UNKNOWN, 504)),
        (ScriptedRuntime((1, TIMEOUT), (2, NOT_LEADER)), (Status.UNKNOWN, 504)),
    ],
)
def test_interrupted_caller_learns_whether_a_leader_may_have_its_job(
    runtime: ScriptedRuntime, expected: tuple[Status, int]
) -> None:
    """Guards against ``not_run`` for a job that a leader may start."""
    error = interrupt(runtime)
    assert (error.status, error.http_status) == expected
    assert runtime.metrics.render()[0].count(expected[0].value.encode()) > 0


def test_request_that_has_not_entered_the_chain_was_not_run() -> None:
    """Guards against ``unknown`` for a request that still waits for a leader."""
    assert describe_interruption(None).status is Status.NOT_RUN
