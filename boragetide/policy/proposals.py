"""Commands of this instance that wait for their outcome."""

from __future__ import annotations

from dataclasses import dataclass, field

from boragetide.commands import CommandStatus, Outcome, Proposal, RegisterAcceptor
from boragetide.effects import Effect, Reply, Send
from boragetide.messages import AcceptorRegistered, CommandOutcome, Propose
from boragetide.settings import Settings
from boragetide.types import Address, ReplyTo, Seconds

PROPOSAL_TIMEOUT = 5.0  # seconds; a lost leader is replaced within 1 to 2 s
RESEND_INTERVAL = 0.3  # seconds


@dataclass(slots=True)
class PendingProposal:
    """A command that has no outcome yet.

    Parameters
    ----------
    proposal
        The command.
    expires_at
        When the waiting requests are answered with an unknown outcome.
    waiters
        Requests to answer; ``None`` stands for the ``claims`` controller, which waits
        as long as it takes.
    resend_at
        When the command is sent to a member again.
    """

    proposal: Proposal
    expires_at: Seconds
    waiters: list[ReplyTo | None] = field(default_factory=list)
    resend_at: Seconds = 0.0


@dataclass(slots=True)
class Proposals:
    """All commands of this instance without an outcome, by command id."""

    settings: Settings
    pending_by_command: dict[str, PendingProposal] = field(default_factory=dict)


def identify(message: Propose) -> Proposal:
    """Give a command its identity."""
    command = message.command
    if isinstance(command, RegisterAcceptor):
        # The space keeps it apart from the ids of operators, which have none.
        command_id = f"acceptor {command.instance} {command.incarnation}"
        return Proposal(command_id, command)
    return Proposal(message.command_id, command, message.expected_version)


def add_waiter(
    state: Proposals, proposal: Proposal, waiter: ReplyTo | None, now: Seconds
) -> None:
    """Let a request wait for the outcome of a command."""
    expires_at = now + PROPOSAL_TIMEOUT
    pending = state.pending_by_command.setdefault(
        proposal.command_id, PendingProposal(proposal, expires_at)
    )
    pending.expires_at = expires_at
    if waiter not in pending.waiters:
        pending.waiters.append(waiter)


def take_due(state: Proposals, now: Seconds) -> list[Proposal]:
    """Return the commands that must be sent to a member now."""
    due = [p for p in state.pending_by_command.values() if now >= p.resend_at]
    for pending in due:
        pending.resend_at = now + RESEND_INTERVAL
    return [pending.proposal for pending in due]


def expire(state: Proposals, version: int, now: Seconds) -> list[Effect]:
    """Answer the requests that have waited too long; ``version`` is in force."""
    unknown = CommandOutcome(CommandStatus.UNKNOWN, version)
    effects: list[Effect] = []
    for command_id, pending in list(state.pending_by_command.items()):
        if now < pending.expires_at:
            continue
        effects += [Reply(waiter, unknown) for waiter in pending.waiters if waiter]
        pending.waiters = [waiter for waiter in pending.waiters if waiter is None]
        if not pending.waiters:
            del state.pending_by_command[command_id]
    return effects


def resolve(state: Proposals, command_id: str, outcome: Outcome) -> list[Effect]:
    """Answer all that wait for a command."""
    pending = state.pending_by_command.pop(command_id, None)
    if pending is None:
        return []
    return [answer(state, waiter, outcome) for waiter in pending.waiters]


def answer(state: Proposals, waiter: ReplyTo | None, outcome: Outcome) -> Effect:
    """Answer one request with the outcome of its command."""
    if waiter is None:
        to = Address(state.settings.id, "claims")
        return Send(to, AcceptorRegistered(outcome.first))
    decided = CommandOutcome(outcome.status, outcome.version, outcome.first)
    return Reply(waiter, decided)
