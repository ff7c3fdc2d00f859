"""Applies committed commands to the catalogue and records their outcomes."""

from __future__ import annotations

from dataclasses import replace
from functools import singledispatch
from itertools import islice

from boragetide.commands import (
    AcceptJob,
    AdoptJobs,
    CancelJobs,
    ChangeMembers,
    Command,
    CommandStatus,
    ConfirmTransfers,
    DrainBackendServer,
    DropTransfers,
    EvacuateZone,
    JobCommand,
    Outcome,
    Proposal,
    PublishConfiguration,
    RecordEnds,
    RecordLosses,
    RecordUnansweredStarts,
    RegisterAcceptor,
    RegisterBackendServers,
    ReturnBackendServer,
    ReturnZone,
    SetClass,
    TransferJobs,
    UnregisterBackendServers,
    ZoneCommand,
)
from boragetide.durable import JobPhase
from boragetide.log_records import Catalogue, HistoryEntry, LogEntry
from boragetide.policy import job_table, transfer_table
from boragetide.types import ClassTarget, Configuration, JobId, Seconds

# Operators may resend a command for a day, and get its recorded outcome. Up to 15,000
# changes a day are expected.
RETAINED_OUTCOMES = 20_000
RETAINED_HISTORY = 2_000


def find_outcome(proposal: Proposal, catalogue: Catalogue) -> Outcome | None:
    """Return the outcome of a command, or ``None`` if it is not committed yet."""
    command = proposal.command
    if not isinstance(command, RegisterAcceptor):
        return catalogue.outcomes_by_id.get(proposal.command_id)
    first = catalogue.acceptors_by_id.get(command.instance)
    if first is None:
        return None
    version = catalogue.configuration.version
    return Outcome(CommandStatus.ACCEPTED, version, first == command.incarnation)


def copy_catalogue(catalogue: Catalogue) -> Catalogue:
    """Return a copy of the catalogue that entries applied later do not change."""
    return replace(
        catalogue,
        outcomes_by_id=dict(catalogue.outcomes_by_id),
        history=list(catalogue.history),
        acceptors_by_id=dict(catalogue.acceptors_by_id),
        jobs_by_id=dict(catalogue.jobs_by_id),
        server_born_by_id=dict(catalogue.server_born_by_id),
        cancelled_at_by_job=dict(catalogue.cancelled_at_by_job),
        transferred_by_group=dict(catalogue.transferred_by_group),
        adopted_by_group=dict(catalogue.adopted_by_group),
        order_by_zone=dict(catalogue.order_by_zone),
    )


def apply_entry(entry: LogEntry, catalogue: Catalogue) -> set[JobId]:
    """Apply the next log entry and return the ids of the durable jobs that it changed.

    A command whose id already has an outcome is ignored.
    """
    catalogue.index = entry.index
    proposal = entry.proposal
    if proposal is None:
        return set()
    if isinstance(proposal.command, ChangeMembers):
        catalogue.members = proposal.command.members
        return set()
    if isinstance(proposal.command, JobCommand):
        changed = apply_job_command(proposal.command, catalogue, entry.accepted_at)
        job_table.drop_ended_jobs(catalogue.jobs_by_id, entry.accepted_at)
        job_table.drop_old_notes(catalogue.cancelled_at_by_job, entry.accepted_at)
        return changed
    if find_outcome(proposal, catalogue) is None:
        _apply_command(proposal, catalogue, entry.accepted_at)
    return set()


def _apply_command(
    proposal: Proposal, catalogue: Catalogue, accepted_at: Seconds
) -> None:
    command = proposal.command
    if isinstance(command, RegisterAcceptor):
        catalogue.acceptors_by_id[command.instance] = command.incarnation
        return
    current = catalogue.configuration
    if _is_overtaken(command, catalogue):
        outcome = Outcome(CommandStatus.CONFLICT, current.version)
    elif _is_superseded(command, current):
        outcome = Outcome(CommandStatus.ACCEPTED, current.version)
    elif proposal.expected_version in (None, current.version):
        version = current.version + 1
        catalogue.configuration = replace(
            apply_configuration_command(command, current), version=version
        )
        catalogue.history.append(
            HistoryEntry(version, proposal.command_id, _summarize(command), accepted_at)
        )
        outcome = Outcome(CommandStatus.ACCEPTED, version)
    else:
        outcome = Outcome(CommandStatus.CONFLICT, current.version)
    if isinstance(command, ZoneCommand) and outcome.status is CommandStatus.ACCEPTED:
        order = catalogue.order_by_zone.get(command.zone, 0)
        catalogue.order_by_zone[command.zone] = order + 1
    catalogue.outcomes_by_id[proposal.command_id] = outcome
    _drop_oldest(catalogue)


def _summarize(command: Command) -> Command:
    """Return a command without the parts that only the newest configuration needs."""
    if isinstance(command, PublishConfiguration):
        return replace(command, classes=(), document="")
    return command


def _is_overtaken(command: Command, catalogue: Catalogue) -> bool:
    """Return whether another command for the same zone was applied before this one."""
    if not isinstance(command, ZoneCommand) or command.expected_order is None:
        return False
    return command.expected_order != catalogue.order_by_zone.get(command.zone, 0)


def _is_superseded(command: Command, current: Configuration) -> bool:
    """Return whether a command asks for what is in force, or for an older revision.

    The configuration with the highest revision stays in force. A zone that is evacuated
    already stays evacuated, and one that is in service stays in service.
    """
    if isinstance(command, PublishConfiguration):
        return command.revision <= current.revision
    if isinstance(command, ZoneCommand):
        is_evacuated = command.zone in current.evacuated_zones
        return is_evacuated == isinstance(command, EvacuateZone)
    return False


def _drop_oldest(catalogue: Catalogue) -> None:
    del catalogue.history[:-RETAINED_HISTORY]
    surplus = len(catalogue.outcomes_by_id) - RETAINED_OUTCOMES
    for command_id in list(islice(catalogue.outcomes_by_id, max(surplus, 0))):
        del catalogue.outcomes_by_id[command_id]


@singledispatch
def apply_configuration_command(
    command: Command, configuration: Configuration
) -> Configuration:
    """Return the configuration that results from an operator command."""
    raise TypeError(f"unsupported operator command: {command!r}")


@apply_configuration_command.register
def _(command: SetClass, configuration: Configuration) -> Configuration:
    target = ClassTarget(
        command.name, command.response_time, command.busy_share, command.durable
    )
    classes = {**configuration.classes_by_name, command.name: target}
    return replace(configuration, classes_by_name=classes)


@apply_configuration_command.register
def _(command: DrainBackendServer, configuration: Configuration) -> Configuration:
    return replace(configuration, drained=configuration.drained | {command.id})


@apply_configuration_command.register
def _(command: ReturnBackendServer, configuration: Configuration) -> Configuration:
    return replace(configuration, drained=configuration.drained - {command.id})


@apply_configuration_command.register
def _(command: EvacuateZone, configuration: Configuration) -> Configuration:
    evacuated = configuration.evacuated_zones | {command.zone}
    return replace(configuration, evacuated_zones=evacuated, evacuation_used=True)


@apply_configuration_command.register
def _(command: ReturnZone, configuration: Configuration) -> Configuration:
    evacuated = configuration.evacuated_zones - {command.zone}
    return replace(configuration, evacuated_zones=evacuated)


@apply_configuration_command.register
def _(command: PublishConfiguration, configuration: Configuration) -> Configuration:
    return replace(
        configuration,
        classes_by_name={target.name: target for target in command.classes},
        revision=command.revision,
        document=command.document,
    )


@singledispatch
def apply_job_command(
    command: JobCommand, catalogue: Catalogue, now: Seconds
) -> set[JobId]:
    """Apply a command of the dispatcher and return the ids of the jobs it changed."""
    raise TypeError(f"unsupported dispatcher command: {command!r}")


@apply_job_command.register
def _(command: AcceptJob, catalogue: Catalogue, now: Seconds) -> set[JobId]:
    return job_table.accept_job(catalogue.jobs_by_id, command.job, now)


@apply_job_command.register
def _(command: RecordEnds, catalogue: Catalogue, now: Seconds) -> set[JobId]:
    return job_table.record_ends(catalogue.jobs_by_id, command.ends, now)


@apply_job_command.register
def _(command: RecordLosses, catalogue: Catalogue, now: Seconds) -> set[JobId]:
    return job_table.record_losses(catalogue.jobs_by_id, command.losses, now)


@apply_job_command.register
def _(command: CancelJobs, catalogue: Catalogue, now: Seconds) -> set[JobId]:
    changed: set[JobId] = set()
    for job_id in command.job_ids:
        changed |= job_table.cancel_job(catalogue.jobs_by_id, job_id, now)
        record = catalogue.jobs_by_id.get(job_id)
        if record is None or record.phase is JobPhase.TRANSFERRED:
            job_table.note_cancelled(catalogue.cancelled_at_by_job, job_id, now)
    return changed


@apply_job_command.register
def _(command: TransferJobs, catalogue: Catalogue, now: Seconds) -> set[JobId]:
    return transfer_table.transfer_jobs(
        catalogue.jobs_by_id, catalogue.transferred_by_group, command, now
    )


@apply_job_command.register
def _(command: AdoptJobs, catalogue: Catalogue, now: Seconds) -> set[JobId]:
    return transfer_table.adopt_jobs(
        catalogue.jobs_by_id, catalogue.adopted_by_group, command, now
    )


@apply_job_command.register
def _(command: ConfirmTransfers, catalogue: Catalogue, now: Seconds) -> set[JobId]:
    return transfer_table.confirm_transfers(catalogue.jobs_by_id, command, now)


@apply_job_command.register
def _(command: DropTransfers, catalogue: Catalogue, now: Seconds) -> set[JobId]:
    return transfer_table.drop_transfers(catalogue.jobs_by_id, command)


@apply_job_command.register
def _(
    command: RecordUnansweredStarts, catalogue: Catalogue, now: Seconds
) -> set[JobId]:
    catalogue.unanswered_starts = command.starts
    return set()


@apply_job_command.register
def _(
    command: RegisterBackendServers, catalogue: Catalogue, now: Seconds
) -> set[JobId]:
    catalogue.server_born_by_id.update(command.born_by_id)
    return set()


@apply_job_command.register
def _(
    command: UnregisterBackendServers, catalogue: Catalogue, now: Seconds
) -> set[JobId]:
    registered = catalogue.server_born_by_id
    for server_id, born in command.born_by_id.items():
        if registered.get(server_id) == born:
            del registered[server_id]
    return set()
