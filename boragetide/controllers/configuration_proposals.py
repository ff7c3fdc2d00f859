"""Proposals of commands, from the proposer to the leader of the replicated log."""

from __future__ import annotations

from dataclasses import replace

from boragetide.commands import Proposal
from boragetide.controllers.committed_changes import (
    apply_committed_changes,
    send_outcome,
)
from boragetide.controllers.configuration_state import ConfigurationState
from boragetide.effects import Effect, LogEvent, Send
from boragetide.errors import ContentError
from boragetide.messages import (
    AppendCommands,
    ForwardProposal,
    PackedProposal,
    ProposalDecided,
    Propose,
)
from boragetide.packed_proposals import unpack_proposal
from boragetide.policy import proposals, replication
from boragetide.policy.catalogue import find_outcome
from boragetide.policy.replica import Replica, Role
from boragetide.types import Address, InstanceId, Seconds


def propose(message: Propose, state: ConfigurationState, now: Seconds) -> list[Effect]:
    """Answer a proposal whose outcome is known, or propose it to the leader."""
    proposal = proposals.make_proposal(message)
    if state.member is not None:
        outcome = find_outcome(proposal, state.member.catalogue)
        if outcome is not None:
            return [proposals.make_reply(state.proposals, message.reply_to, outcome)]
    proposals.add_waiter(state.proposals, proposal, message.reply_to, now)
    return send_due(state, now)


def propose_packed(
    message: PackedProposal, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    """Unpack a large proposal, and treat it as any other one."""
    try:
        proposal = unpack_proposal(message)
    except ContentError as error:
        return [LogEvent("proposal_refused", {"error": str(error)})]
    return propose(replace(proposal, reply_to=message.reply_to), state, now)


def send_due(state: ConfigurationState, now: Seconds) -> list[Effect]:
    """Send the proposals that are due to the leader, or to a member that knows it."""
    effects: list[Effect] = []
    for proposal in proposals.take_due(state.proposals, now):
        forwarded = ForwardProposal(proposal, state.settings.id)
        if state.member is not None and state.member.role is Role.LEADER:
            effects += forward_proposal(forwarded, state, now)
            continue
        to = _choose_contact(state)
        if to is not None:
            effects.append(Send(Address(to, "configuration"), forwarded))
    return effects


def _choose_contact(state: ConfigurationState) -> InstanceId | None:
    if state.member is not None:
        return state.member.leader
    first = state.settings.initial_members
    members = [id_ for id_ in first if id_ != state.settings.id]
    if not members:
        return None
    state.contact_counter += 1
    return members[state.contact_counter % len(members)]


def forward_proposal(
    message: ForwardProposal, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    """Append a proposal to the log, or pass it on to the leader once."""
    replica, proposal = state.member, message.proposal
    if replica is None:
        return []
    outcome = find_outcome(proposal, replica.catalogue)
    if outcome is not None:
        return [send_outcome(state, proposal, outcome, message.sender)]
    if replica.role is Role.LEADER:
        proposers = replica.proposers_by_command.setdefault(proposal.command_id, set())
        proposers.add(message.sender)
        if _is_in_log(replica, proposal):
            return []
        appended = replication.append_proposals(replica, (proposal,), now)
        return appended + apply_committed_changes(state, now)
    if replica.leader is None or message.to_leader:
        return []
    onward = ForwardProposal(proposal, message.sender, to_leader=True)
    return [Send(Address(replica.leader, "configuration"), onward)]


def append_commands(
    message: AppendCommands, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    """Append commands of the dispatcher, unless its term is over by now."""
    replica = state.member
    if (
        replica is None
        or replica.role is not Role.LEADER
        or replica.ballot.term != message.term
    ):
        return []
    appended = [
        Proposal(command_id, command)
        for command_id, command in message.commands_by_id.items()
    ]
    effects = replication.append_proposals(replica, appended, now)
    return effects + apply_committed_changes(state, now)


def _is_in_log(replica: Replica, proposal: Proposal) -> bool:
    uncommitted = replica.log[replica.commit - replica.log_start :]
    return any(
        entry.proposal is not None and entry.proposal.command_id == proposal.command_id
        for entry in uncommitted
    )


def answer_decided(
    message: ProposalDecided, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    """Answer the requests that wait for the outcome of a command."""
    return proposals.answer_waiters(
        state.proposals, message.command_id, message.outcome
    )
