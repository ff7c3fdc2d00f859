"""Commands proposed by this instance that have no outcome yet."""

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
        Time at which the waiting requests are answered with an unknown outcome.
    waiters
        Requests to answer; ``None`` stands for the ``claims`` controller, which waits
        without a time limit.
    resend_at
        Time at which the command is sent to a member again.
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


def make_proposal(message: Propose) -> Proposal:
    """Return the proposal of a command, with its command id."""
    command = message.command
    if isinstance(command, RegisterAcceptor):
        # Command ids of operators contain no space, so they cannot equal this one.
        command_id = f"acceptor {command.instance} {command.incarnation}"
        return Proposal(command_id, command)
    return Proposal(message.command_id, command, message.expected_version)


def add_waiter(
    state: Proposals, proposal: Proposal, waiter: ReplyTo | None, now: Seconds
) -> None:
    """Register a request that waits for the outcome of a command."""
    expires_at = now + PROPOSAL_TIMEOUT
    pending = state.pending_by_command.setdefault(
        proposal.command_id, PendingProposal(proposal, expires_at)
    )
    pending.expires_at = expires_at
    if waiter not in pending.waiters:
        pending.waiters.append(waiter)


def take_due(state: Proposals, now: Seconds) -> list[Proposal]:
    """Return the commands to send to a member now, and schedule their next sending."""
    due = [p for p in state.pending_by_command.values() if now >= p.resend_at]
    for pending in due:
        pending.resend_at = now + RESEND_INTERVAL
    return [pending.proposal for pending in due]


def expire_requests(state: Proposals, version: int, now: Seconds) -> list[Effect]:
    """Answer the requests that have waited too long with an unknown outcome.

    Parameters
    ----------
    version
        Version of the configuration in force.
    """
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


def answer_waiters(state: Proposals, command_id: str, outcome: Outcome) -> list[Effect]:
    """Answer all requests that wait for the outcome of a command."""
    pending = state.pending_by_command.pop(command_id, None)
    if pending is None:
        return []
    return [make_reply(state, waiter, outcome) for waiter in pending.waiters]


def make_reply(state: Proposals, waiter: ReplyTo | None, outcome: Outcome) -> Effect:
    """Answer one request with the outcome of its command."""
    if waiter is None:
        to = Address(state.settings.id, "claims")
        return Send(to, AcceptorRegistered(outcome.first))
    decided = CommandOutcome(outcome.status, outcome.version, outcome.first)
    return Reply(waiter, decided)
