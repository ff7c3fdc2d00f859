"""Claims that this instance has granted as an acceptor."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch
from typing import Any

from boragetide.effects import Effect, Reply
from boragetide.messages import (
    ClaimReply,
    ClaimRequest,
    ClaimStatus,
    Drain,
    DrainState,
    LookUpClaim,
    StopRequested,
    Tick,
    WokeUp,
)
from boragetide.settings import Settings
from boragetide.types import Claim, JobId, Seconds


@dataclass(slots=True)
class ClaimsState:
    """What one acceptor holds."""

    settings: Settings
    incarnation: int
    claims_by_id: dict[JobId, Claim] = field(default_factory=dict)


@singledispatch
def handle(message: Any, state: ClaimsState, now: Seconds) -> list[Effect]:
    """Apply one message to the acceptor."""
    raise TypeError(f"claims controller cannot handle {message!r}")


@handle.register
def _(message: ClaimRequest, state: ClaimsState, now: Seconds) -> list[Effect]:
    held = state.claims_by_id.setdefault(message.claim.id, message.claim)
    status = ClaimStatus.GRANTED if held is message.claim else ClaimStatus.HELD
    return [Reply(message.reply_to, ClaimReply(status, held))]


@handle.register
def _(message: LookUpClaim, state: ClaimsState, now: Seconds) -> list[Effect]:
    held = state.claims_by_id.get(message.id)
    status = ClaimStatus.INCOMPLETE if held is None else ClaimStatus.HELD
    return [Reply(message.reply_to, ClaimReply(status, held))]


@handle.register
def _(message: Drain, state: ClaimsState, now: Seconds) -> list[Effect]:
    return [Reply(message.reply_to, DrainState(0))]


@handle.register(Tick)
@handle.register(WokeUp)
@handle.register(StopRequested)
def _(message: Any, state: ClaimsState, now: Seconds) -> list[Effect]:
    return []
