"""Filter that finds or creates the claim that names the owner of a job."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch

from boragetide.daemon.clock import read_clock
from boragetide.daemon.runtime import Runtime
from boragetide.errors import LinkError, RequestError
from boragetide.filters.chain import Exchange, Next
from boragetide.filters.dispatch import ClaimNotGranted
from boragetide.messages import ClaimReply, ClaimRequest, ListInstances
from boragetide.policy.claiming import (
    AskAcceptor,
    AskOwner,
    ClaimStep,
    Decided,
    Undecided,
    decide_claim,
)
from boragetide.policy.ids import is_generated_in_future
from boragetide.policy.routing import find_claim_group, find_home_zone
from boragetide.types import Address, Answer, Claim, InstanceId, Seconds, Status

# Instances considered lost are asked last. If such an instance is alive nevertheless,
# it answers within a few round trips of 1 ms each.
LOST_INSTANCE_TIMEOUT: Seconds = 0.2


@dataclass(slots=True)
class _ClaimAttempt:
    exchange: Exchange
    call_next: Next
    group: tuple[InstanceId, ...]
    replies_by_acceptor: dict[InstanceId, ClaimReply | None] = field(
        default_factory=dict
    )


async def claim(exchange: Exchange, call_next: Next) -> Answer:
    """Ask the claim group of the job's home zone until a quorum agrees on a claim."""
    runtime = exchange.runtime
    settings = runtime.settings
    job_id = exchange.submission.id
    now = read_clock()
    if is_generated_in_future(job_id, settings, now):
        message = f"id: {job_id!r} was generated in the future"
        raise RequestError(Status.NOT_RUN, 400, message)
    proposed = Claim(
        job_id, exchange.placer.placer, exchange.placer.incarnation, claimed_at=now
    )
    group = find_claim_group(find_home_zone(job_id, settings), settings)
    exchange.live = await list_live_incarnations(runtime)
    attempt = _ClaimAttempt(exchange, call_next, group)
    lost = frozenset(group) - exchange.live.keys()
    while True:
        replies = attempt.replies_by_acceptor
        step = decide_claim(proposed, group, replies, settings.id, lost)
        result = await _execute_step(step, attempt)
        if result is not None:
            return result


async def list_live_incarnations(runtime: Runtime) -> dict[InstanceId, int]:
    """Return the incarnations of the instances considered live, by id."""
    listed = await runtime.ask(
        runtime.local("instances"),
        ListInstances(),
        runtime.settings.timing.request_timeout,
    )
    return {record["id"]: record["incarnation"] for record in listed.instances}


def choose_reply_timeout(
    runtime: Runtime, live: dict[InstanceId, int], to: InstanceId
) -> Seconds:
    """Return the timeout, in seconds, of a request that is answered at once."""
    timeout = runtime.settings.timing.request_timeout
    return timeout if to in live else min(timeout, LOST_INSTANCE_TIMEOUT)


@singledispatch
async def _execute_step(step: ClaimStep, attempt: _ClaimAttempt) -> Answer | None:
    """Execute one step; return ``None`` if another step is needed."""
    raise TypeError(f"unknown claim step {step!r}")


@_execute_step.register
async def _(step: AskAcceptor, attempt: _ClaimAttempt) -> None:
    exchange = attempt.exchange
    try:
        reply = await exchange.runtime.ask(
            Address(step.acceptor, "claims"),
            ClaimRequest(claim=step.claim, asked_at=exchange.received_at),
            choose_reply_timeout(exchange.runtime, exchange.live, step.acceptor),
        )
    except LinkError:
        reply = None
    attempt.replies_by_acceptor[step.acceptor] = reply


@_execute_step.register
async def _(step: AskOwner, attempt: _ClaimAttempt) -> Answer | None:
    exchange = attempt.exchange
    exchange.claim = step.claim
    exchange.replies_by_acceptor = {
        acceptor: reply
        for acceptor, reply in attempt.replies_by_acceptor.items()
        if reply is not None
    }
    try:
        return await attempt.call_next(exchange)
    except ClaimNotGranted as error:
        attempt.replies_by_acceptor[step.claim.owner] = error.reply
        return None


@_execute_step.register
async def _(step: Decided, attempt: _ClaimAttempt) -> Answer:
    exchange = attempt.exchange
    exchange.claim = step.claim
    exchange.replies_by_acceptor = None
    exchange.runtime.metrics.count("claims_decided", {"asked": str(step.asked)})
    return await attempt.call_next(exchange)


@_execute_step.register
async def _(step: Undecided, attempt: _ClaimAttempt) -> Answer:
    raise RequestError(Status.UNKNOWN, 503, f"claim not decided: {step.reason}")
