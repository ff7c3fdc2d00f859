"""How an agreed command changes the configuration, and what its outcome is."""

from __future__ import annotations

from dataclasses import replace
from functools import singledispatch
from itertools import islice

from boragetide.commands import (
    Catalogue,
    Command,
    CommandStatus,
    DrainBackendServer,
    HistoryEntry,
    LogEntry,
    Outcome,
    Proposal,
    RegisterAcceptor,
    ReturnBackendServer,
    SetClass,
)
from boragetide.types import ClassTarget, Configuration

# An operator may resend a command for a day; 15,000 changes a day are expected.
RETAINED_OUTCOMES = 20_000
RETAINED_HISTORY = 2_000


def find_outcome(proposal: Proposal, catalogue: Catalogue) -> Outcome | None:
    """Return the outcome of a command, or ``None`` while it is not agreed."""
    command = proposal.command
    if not isinstance(command, RegisterAcceptor):
        return catalogue.outcomes_by_id.get(proposal.command_id)
    first = catalogue.acceptors_by_id.get(command.instance)
    if first is None:
        return None
    version = catalogue.configuration.version
    return Outcome(CommandStatus.ACCEPTED, version, first == command.incarnation)


def copy_catalogue(catalogue: Catalogue) -> Catalogue:
    """Copy the catalogue, so that entries applied later do not change the copy."""
    return replace(
        catalogue,
        outcomes_by_id=dict(catalogue.outcomes_by_id),
        history=list(catalogue.history),
        acceptors_by_id=dict(catalogue.acceptors_by_id),
    )


def apply_entry(entry: LogEntry, catalogue: Catalogue) -> None:
    """Apply the next log entry; a command id that has an outcome changes nothing."""
    catalogue.index = entry.index
    proposal = entry.proposal
    if proposal is None or find_outcome(proposal, catalogue) is not None:
        return
    command = proposal.command
    if isinstance(command, RegisterAcceptor):
        catalogue.acceptors_by_id[command.instance] = command.incarnation
        return
    current = catalogue.configuration
    if proposal.expected_version == current.version:
        version = current.version + 1
        catalogue.configuration = replace(change(command, current), version=version)
        catalogue.history.append(
            HistoryEntry(version, proposal.command_id, command, entry.accepted_at)
        )
        outcome = Outcome(CommandStatus.ACCEPTED, version)
    else:
        outcome = Outcome(CommandStatus.CONFLICT, current.version)
    catalogue.outcomes_by_id[proposal.command_id] = outcome
    _forget_oldest(catalogue)


def _forget_oldest(catalogue: Catalogue) -> None:
    del catalogue.history[:-RETAINED_HISTORY]
    surplus = len(catalogue.outcomes_by_id) - RETAINED_OUTCOMES
    for command_id in list(islice(catalogue.outcomes_by_id, max(surplus, 0))):
        del catalogue.outcomes_by_id[command_id]


@singledispatch
def change(command: Command, configuration: Configuration) -> Configuration:
    """Return the configuration that an operator command makes."""
    raise TypeError(f"no change for {command!r}")


@change.register
def _(command: SetClass, configuration: Configuration) -> Configuration:
    target = ClassTarget(command.name, command.response_time, command.busy_share)
    classes = {**configuration.classes_by_name, command.name: target}
    return replace(configuration, classes_by_name=classes)


@change.register
def _(command: DrainBackendServer, configuration: Configuration) -> Configuration:
    return replace(configuration, drained=configuration.drained | {command.id})


@change.register
def _(command: ReturnBackendServer, configuration: Configuration) -> Configuration:
    return replace(configuration, drained=configuration.drained - {command.id})
