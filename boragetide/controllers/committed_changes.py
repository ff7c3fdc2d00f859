"""Effects of newly committed entries of the replicated log."""

from __future__ import annotations

from boragetide.commands import InternalCommand, Outcome, Proposal
from boragetide.controllers.configuration_state import ConfigurationState
from boragetide.effects import Effect, Send
from boragetide.messages import ProposalDecided
from boragetide.policy import leadership, proposals
from boragetide.policy.catalogue import find_outcome
from boragetide.policy.distribution import put_in_force
from boragetide.policy.replica import Replica, Role, apply_committed, compact
from boragetide.types import Address, InstanceId, Seconds


def apply_committed_changes(state: ConfigurationState, now: Seconds) -> list[Effect]:
    """Put the committed configuration in force, and answer waiting proposers."""
    replica = state.replica
    if replica is None:
        return []
    applied = apply_committed(replica)
    effects = _put_newest_in_force(state, replica, now)
    previous_term = state.leadership.announced_term
    effects += leadership.announce(state.leadership, replica, applied, now)
    if state.leadership.announced_term not in (0, previous_term):
        effects += leadership.notify_all(
            state.leadership, replica, state.distribution.in_force, now
        )
    for proposal in applied.proposals:
        if isinstance(proposal.command, InternalCommand):
            continue
        outcome = find_outcome(proposal, replica.catalogue)
        waiting = replica.proposers_by_command.pop(proposal.command_id, set())
        effects += [
            send_outcome(state, proposal, outcome, proposer)
            for proposer in sorted(waiting - {state.settings.id})
        ]
        effects += proposals.answer_waiters(
            state.proposals, proposal.command_id, outcome
        )
    return effects + compact(replica)


def _put_newest_in_force(
    state: ConfigurationState, replica: Replica, now: Seconds
) -> list[Effect]:
    known = [] if replica.fetched is None else [replica.fetched]
    if replica.role is not Role.BLANK and replica.commit >= replica.floor:
        known.append(replica.catalogue.configuration)
    if not known:
        return []
    newest = max(known, key=lambda configuration: configuration.version)
    effects = put_in_force(state.distribution, newest)
    if effects:
        effects += leadership.notify_all(
            state.leadership, replica, state.distribution.in_force, now
        )
    return effects


def send_outcome(
    state: ConfigurationState, proposal: Proposal, outcome: Outcome, to: InstanceId
) -> Send:
    """Return the message that tells a proposer the outcome of its command."""
    decided = ProposalDecided(proposal.command_id, outcome)
    return Send(Address(to, "configuration"), decided)
