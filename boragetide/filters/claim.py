"""Finds or makes the claim that names the owner of a job."""

from __future__ import annotations

from boragetide.daemon.clock import read_clock
from boragetide.errors import LinkError, RequestError
from boragetide.filters.chain import Exchange, Next
from boragetide.messages import ClaimReply, ClaimRequest
from boragetide.policy.claiming import AskAcceptor, Undecided, decide_claim
from boragetide.policy.routing import find_claim_group, find_home_zone
from boragetide.types import Address, Answer, Claim, InstanceId, Status


async def claim(exchange: Exchange, call_next: Next) -> Answer:
    """Ask the claim group of the job's home zone until a quorum agrees."""
    runtime = exchange.runtime
    job_id = exchange.submission.id
    group = find_claim_group(find_home_zone(job_id, runtime.settings), runtime.settings)
    proposed = Claim(
        id=job_id,
        owner=exchange.placer.placer,
        owner_incarnation=exchange.placer.incarnation,
        claimed_at=read_clock(),
    )
    replies_by_acceptor: dict[InstanceId, ClaimReply | None] = {}
    step = decide_claim(proposed, group, replies_by_acceptor)
    while isinstance(step, AskAcceptor):
        replies_by_acceptor[step.acceptor] = await _ask(exchange, step)
        step = decide_claim(proposed, group, replies_by_acceptor)
    if isinstance(step, Undecided):
        raise RequestError(Status.UNKNOWN, 503, f"claim not settled: {step.reason}")
    exchange.claim = step.claim
    return await call_next(exchange)


async def _ask(exchange: Exchange, step: AskAcceptor) -> ClaimReply | None:
    runtime = exchange.runtime
    try:
        return await runtime.ask(
            Address(step.acceptor, "claims"),
            ClaimRequest(step.claim),
            runtime.settings.timing.request_timeout,
        )
    except LinkError:
        return None
