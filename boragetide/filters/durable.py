"""Filter chain for requests for durable jobs, shared by all front ends.

Requests other than submissions pass the limit on admission unchanged.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from functools import singledispatch
from operator import attrgetter
from typing import TypeAlias

from boragetide.daemon.clock import read_clock
from boragetide.daemon.logs import log_event
from boragetide.daemon.runtime import Runtime
from boragetide.errors import PeerUnreachable, ReplyTimeout, RequestError
from boragetide.filters.chain import Next, build_chain
from boragetide.filters.durable_exchange import DurableExchange, describe_interruption
from boragetide.groups import name_controller
from boragetide.messages import (
    Admission,
    AdmitSubmission,
    DispatcherReply,
    FindLeader,
    LeaderFound,
    ReplyStatus,
    Request,
    SubmitDurableJob,
)
from boragetide.policy.exponential_wait import grow_wait
from boragetide.policy.scheduling import due_at
from boragetide.types import Address, GroupId, Seconds, Status

# A leader answers within a few syncs of 9 ms each, or, for a best-effort job, when the
# job has ended. If there is no answer within the timeout, the leader or the message may
# be lost. The timeout doubles with each repetition to the same leader, so that retries
# do not add to the load of a leader that is slow because it is overloaded.
LEADER_TIMEOUT: Seconds = 0.7
LEADER_RETRY_DELAY: Seconds = 0.03
# A lost leader is replaced within this time, unless this instance is cut off from the
# members or most of them are down. In these cases, waiting longer does not help.
TAKEOVER_TIME: Seconds = 2.0
# The directory of this instance answers at once unless the process is overloaded.
LOCAL_TIMEOUT: Seconds = 2.0
# A group may forget `MAX_DELIVERY_TIME` later that it has directed a request to another
# one. The request returns to the home group before that.
DIRECTION_LIFETIME: Seconds = 20.0
# Reserved before the caller's deadline for delivering the final answer.
ANSWER_MARGIN: Seconds = 0.05
REASON_OVERLOADED = "more jobs are submitted than can be served in time"

# Each group counts terms of its own.
GroupTerm: TypeAlias = tuple[GroupId, int]


async def observe(exchange: DurableExchange, call_next: Next) -> DispatcherReply:
    """Log the outcome of a request and record its response time."""
    outcome = Status.UNKNOWN
    reason = ""
    try:
        reply = await call_next(exchange)
        outcome, reason = reply.status, reply.reason or reply.state
        return reply
    except RequestError as error:
        outcome, reason = error.status, str(error)
        raise
    except asyncio.CancelledError:
        error = describe_interruption(exchange)
        outcome, reason = error.status, str(error)
        raise
    finally:
        seconds = read_clock() - exchange.received_at
        exchange.runtime.metrics.observe_response(exchange.name, outcome, seconds)
        if exchange.name != "look_up" or exchange.attempts != 1:
            log_event(
                "request",
                kind=exchange.name,
                job=exchange.job_id,
                **{"class": exchange.class_name},
                outcome=outcome,
                reason=reason,
                attempts=exchange.attempts,
                seconds=seconds,
            )


async def limit_admission(
    exchange: DurableExchange, call_next: Next
) -> DispatcherReply:
    """Refuse a submission that an overloaded leader does not admit.

    Raises
    ------
    RequestError
        ``UNKNOWN`` if the leader does not confirm that the job does not run.
    """
    question = make_admission_request(exchange.message)
    if question is None:
        return await call_next(exchange)
    runtime = exchange.runtime
    to = runtime.local(name_controller("directory", exchange.group))
    exchange.may_have_arrived = True
    answer = await runtime.ask(to, question, LOCAL_TIMEOUT)
    if answer.admission is Admission.ADMITTED:
        return await call_next(exchange)
    if answer.admission is Admission.UNDECIDED:
        raise RequestError(Status.UNKNOWN, 504, REASON_OVERLOADED)
    return DispatcherReply(
        ReplyStatus.REFUSED, reason=REASON_OVERLOADED, retry_after=answer.retry_after
    )


@singledispatch
def make_admission_request(message: Request) -> AdmitSubmission | None:
    """Return the question whether to send a request; ``None`` if it is always sent."""
    return None


@make_admission_request.register
def _(message: SubmitDurableJob) -> AdmitSubmission:
    job = message.job
    return AdmitSubmission(job.id, job.class_name, job.best_effort)


async def ask_leader(exchange: DurableExchange, call_next: Next) -> DispatcherReply:
    """Ask the leader, or its successor, until one answers or the deadline is near.

    A caller that leaves ends this, too.

    Every request identifies its job by the caller's id, so repeating it is safe.

    Raises
    ------
    RequestError
        ``NOT_RUN`` if no leader can have received the request, else ``UNKNOWN``.
    """
    runtime = exchange.runtime
    attempts_by_term: Counter[GroupTerm] = Counter()
    exchange.may_have_arrived = False
    while (remaining := _find_remaining_time(exchange)) > 0:
        if exchange.find_directed_age(read_clock()) > DIRECTION_LIFETIME:
            return_home(exchange)
        try:
            directory = runtime.local(name_controller("directory", exchange.group))
            lookup = await runtime.ask(directory, FindLeader(), remaining)
        except ReplyTimeout:
            break
        if not lookup.ready:
            if read_clock() >= exchange.useful_until or lookup.lost_for > TAKEOVER_TIME:
                break
        else:
            exchange.attempts += 1
            dispatcher = name_controller("dispatcher", exchange.group)
            to = Address(lookup.leader, dispatcher)
            try:
                first = min(remaining, reply_timeout(exchange.message))
                repetitions = attempts_by_term[exchange.group, lookup.term]
                timeout = grow_wait(first, repetitions, remaining)
                sent_at = read_clock()
                exchange.may_have_arrived = True
                message = make_copy(exchange.message, exchange, lookup, sent_at)
                reply = await runtime.ask(to, message, timeout)
            except PeerUnreachable:
                pass
            except ReplyTimeout:
                attempts_by_term[exchange.group, lookup.term] += 1
            else:
                if reply.status is ReplyStatus.TRANSFERRED:
                    attempts_by_term.pop((exchange.group, reply.term), None)
                    exchange.may_have_arrived = bool(attempts_by_term)
                    follow_transfer(exchange, reply, sent_at)
                    continue
                if reply.status is ReplyStatus.UNDECIDED:
                    attempts_by_term[exchange.group, lookup.term] += 1
                    if reply.term:
                        break
                elif reply.status is not ReplyStatus.NOT_LEADER:
                    own_term = (exchange.group, reply.term)
                    return _check_refusal(reply, set(attempts_by_term) - {own_term})
        exchange.may_have_arrived = bool(attempts_by_term)
        await asyncio.sleep(LEADER_RETRY_DELAY)
    if attempts_by_term:
        raise RequestError(Status.UNKNOWN, 504, "no leader answered in time")
    raise RequestError(Status.NOT_RUN, 503, "no leader is known")


def follow_transfer(
    exchange: DurableExchange, reply: DispatcherReply, asked_at: Seconds
) -> None:
    """Let a request go to the group that has its job.

    The leader that answers so has started nothing of the job, and no leader of its
    group will as long as the job is elsewhere.

    Parameters
    ----------
    asked_at
        Unix time at which the request was sent that was answered so.
    """
    log_event(
        "transfer_followed",
        job=exchange.job_id,
        kind=exchange.name,
        group=exchange.group,
        to=reply.group,
        transfers=reply.transfers,
        term=reply.term,
    )
    exchange.group = reply.group
    exchange.directed_at = asked_at
    exchange.message = replace(exchange.message, transfers=reply.transfers)


def return_home(exchange: DurableExchange) -> None:
    """Let a request that was directed long ago ask the home group of its job again.

    The job may have come back, or have been forgotten, in the meantime.
    """
    log_event(
        "transfer_left",
        job=exchange.job_id,
        kind=exchange.name,
        group=exchange.group,
        to=exchange.home_group,
    )
    exchange.group = exchange.home_group
    exchange.directed_at = None
    exchange.message = replace(exchange.message, transfers=0)


async def wait_for_leader(
    runtime: Runtime, until: Seconds, group: int = 0
) -> LeaderFound:
    """Return what is known of a group's leader, as soon as requests can be handled.

    A request waits for the successor of a lost leader until ``until``, in Unix time, or
    until none can be expected. In these cases ``ready`` is false in the result.
    """
    return await _wait_until_found(runtime, until, group, attrgetter("ready"))


async def wait_for_configuration(runtime: Runtime, until: Seconds) -> LeaderFound:
    """Return what is known of the configuration, as soon as it may be used.

    A request waits for a leader that confirms the configuration, as long as for a
    leader. If none does, ``is_confirmed`` is false in the result.
    """
    return await _wait_until_found(runtime, until, 0, attrgetter("is_confirmed"))


async def _wait_until_found(
    runtime: Runtime,
    until: Seconds,
    group: int,
    is_found: Callable[[LeaderFound], bool],
) -> LeaderFound:
    directory = runtime.local(name_controller("directory", group))
    while True:
        found = await runtime.ask(directory, FindLeader(), LOCAL_TIMEOUT)
        is_lost = found.lost_for > TAKEOVER_TIME or read_clock() >= until
        if is_found(found) or is_lost:
            return found
        await asyncio.sleep(LEADER_RETRY_DELAY)


def _find_remaining_time(exchange: DurableExchange) -> Seconds:
    if exchange.abandoned:
        return 0.0
    return exchange.deadline - ANSWER_MARGIN - read_clock()


@singledispatch
def reply_timeout(message: Request) -> Seconds:
    """Return the time within which a leader answers the first copy of a request."""
    return LEADER_TIMEOUT


@reply_timeout.register
def _(message: SubmitDurableJob) -> Seconds:
    """Allow a best-effort job its time to run, because the answer is its end."""
    job = message.job
    if not job.best_effort:
        return LEADER_TIMEOUT
    return due_at(job) - job.submitted_at + LEADER_TIMEOUT


@singledispatch
def make_copy(
    message: Request, exchange: DurableExchange, lookup: LeaderFound, now: Seconds
) -> Request:
    """Return the copy of a request to send now, with its age if its type has one."""
    return message


@make_copy.register
def _(
    message: SubmitDurableJob,
    exchange: DurableExchange,
    lookup: LeaderFound,
    now: Seconds,
) -> Request:
    return replace(
        message,
        age=now - exchange.received_at,
        directed_age=exchange.find_directed_age(now),
        submitted_at=lookup.to_leader_clock(exchange.received_at),
        attempt=exchange.attempts,
        term=lookup.term,
    )


def _check_refusal(
    reply: DispatcherReply, other_terms: set[GroupTerm]
) -> DispatcherReply:
    """Return the reply, unless it is a refusal that may not hold for other terms.

    The leader of one term knows whether it has started a job, but not whether the
    leader of another term has. A refusal is therefore reported as ``UNKNOWN`` if the
    request may have reached the leader of another term.
    """
    if reply.status is ReplyStatus.REFUSED and other_terms:
        raise RequestError(Status.UNKNOWN, 504, reply.reason)
    return reply


DURABLE_CHAIN = build_chain(observe, limit_admission, ask_leader)
