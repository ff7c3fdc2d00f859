"""Looks up or cancels a job by its id from any instance."""

from __future__ import annotations

from typing import Any

from boragetide.daemon.runtime import Runtime
from boragetide.errors import LinkError
from boragetide.filters.claim import choose_reply_timeout, list_live_incarnations
from boragetide.messages import (
    CancelJob,
    ClaimReply,
    JobState,
    LookUpClaim,
    LookUpJob,
    Request,
)
from boragetide.policy.claiming import is_unclaimed, order_acceptors
from boragetide.policy.routing import find_claim_group, find_home_zone
from boragetide.types import Address, Claim, InstanceId, JobId

KNOWN_JOB_STATES = frozenset({"running", "refused", "ended"})


async def ask_owner(
    runtime: Runtime, job_id: JobId, message: LookUpJob | CancelJob
) -> JobState | None:
    """Find the owner of a job and ask it.

    Returns
    -------
    JobState or None
        ``None`` if the id is certainly not claimed; the state ``unknown`` if the owner
        or the claim group does not answer.
    """
    settings = runtime.settings
    live = await list_live_incarnations(runtime)
    group = find_claim_group(find_home_zone(job_id, settings), settings)
    lost = frozenset(group) - live.keys()
    replies_by_acceptor: dict[InstanceId, ClaimReply | None] = {}
    claims_by_owner: dict[tuple[InstanceId, int], Claim] = {}
    for acceptor in order_acceptors(group, settings.id, lost):
        reply = await _ask_or_none(
            runtime, live, Address(acceptor, "claims"), LookUpClaim(id=job_id)
        )
        replies_by_acceptor[acceptor] = reply
        claim = reply.claim if reply is not None else None
        if claim is not None:
            owner = (claim.owner, claim.owner_incarnation)
            if owner not in claims_by_owner:
                claims_by_owner[owner] = claim
                state = await _ask_claim_owner(runtime, live, claim, message)
                if state is not None:
                    return state
        elif not claims_by_owner and is_unclaimed(group, replies_by_acceptor):
            return None
    return JobState(job_id, "unknown")


async def _ask_claim_owner(
    runtime: Runtime,
    live: dict[InstanceId, int],
    claim: Claim,
    message: LookUpJob | CancelJob,
) -> JobState | None:
    """Ask the owner that a claim names; ``None`` if it does not know the job."""
    if live.get(claim.owner, 0) > claim.owner_incarnation:
        return None
    state = await _ask_or_none(runtime, live, Address(claim.owner, "jobs"), message)
    return state if state is not None and state.state in KNOWN_JOB_STATES else None


async def _ask_or_none(
    runtime: Runtime, live: dict[InstanceId, int], to: Address, message: Request
) -> Any:
    try:
        return await runtime.ask(
            to, message, choose_reply_timeout(runtime, live, to.instance)
        )
    except LinkError:
        return None
