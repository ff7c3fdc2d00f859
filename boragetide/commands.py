"""Commands that change the replicated state, and their outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Literal

from boragetide.durable import DurableJob, JobRecord, RunEnd, RunLoss, UnansweredStart
from boragetide.types import (
    BackendServerId,
    ClassName,
    ClassTarget,
    DurableStarts,
    InstanceId,
    JobId,
    Seconds,
    ZoneId,
)


class Command:
    """Base class of all commands; ``kind`` names the command in its encoded form."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class SetClass(Command):
    """Creates a class of work or replaces its target, see `ClassTarget`."""

    name: ClassName
    response_time: Seconds
    busy_share: float
    durable: DurableStarts | None = None
    kind: Literal["set_class"] = "set_class"


@dataclass(frozen=True, slots=True)
class DrainBackendServer(Command):
    """Stops dispatching new work to a backend server."""

    id: BackendServerId
    kind: Literal["drain_backend_server"] = "drain_backend_server"


@dataclass(frozen=True, slots=True)
class ReturnBackendServer(Command):
    """Resumes dispatching work to a drained backend server."""

    id: BackendServerId
    kind: Literal["return_backend_server"] = "return_backend_server"


class ZoneCommand(Command):
    """Base class of the commands that evacuate or return an availability zone.

    Each of them is idempotent: one that changes nothing is accepted without a new
    version. ``expected_order`` is the number of zone commands that had been applied for
    the zone when the command was made; one that is applied after another command than
    that has no effect, so that a delayed copy does not undo a later command.
    """

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class EvacuateZone(ZoneCommand):
    """Stops dispatching new work to the backend servers of a zone."""

    zone: ZoneId
    expected_order: int | None = None
    kind: Literal["evacuate_zone"] = "evacuate_zone"


@dataclass(frozen=True, slots=True)
class ReturnZone(ZoneCommand):
    """Resumes dispatching work to the backend servers of an evacuated zone."""

    zone: ZoneId
    expected_order: int | None = None
    kind: Literal["return_zone"] = "return_zone"


@dataclass(frozen=True, slots=True)
class RegisterAcceptor(Command):
    """Records the incarnation in which an instance became an acceptor."""

    instance: InstanceId
    incarnation: int
    kind: Literal["register_acceptor"] = "register_acceptor"


@dataclass(frozen=True, slots=True)
class PublishConfiguration(Command):
    """Replaces all classes if ``revision`` is higher than the one in force.

    Parameters
    ----------
    classes
        The complete new set of classes.
    document
        See `Configuration`.
    """

    revision: int
    classes: tuple[ClassTarget, ...]
    document: str
    kind: Literal["publish_configuration"] = "publish_configuration"


class InternalCommand(Command):
    """Base class of commands issued by the system itself; no caller awaits them."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class ChangeMembers(InternalCommand):
    """Replaces the members of the replicated log by these instances."""

    members: tuple[InstanceId, ...]
    kind: Literal["change_members"] = "change_members"


class JobCommand(InternalCommand):
    """Base class of the dispatcher's commands; each of them is idempotent."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class AcceptJob(JobCommand):
    """Stores a durable job."""

    job: DurableJob
    kind: Literal["accept_job"] = "accept_job"


@dataclass(frozen=True, slots=True)
class RecordEnds(JobCommand):
    """Stores how runs ended."""

    ends: tuple[RunEnd, ...]
    kind: Literal["record_ends"] = "record_ends"


@dataclass(frozen=True, slots=True)
class RecordLosses(JobCommand):
    """Stores which runs were lost with their backend servers."""

    losses: tuple[RunLoss, ...]
    kind: Literal["record_losses"] = "record_losses"


@dataclass(frozen=True, slots=True)
class CancelJobs(JobCommand):
    """Cancels the given jobs, except those that have ended.

    Jobs that the log does not know are noted as cancelled. They may be best-effort jobs
    of which a copy of the submission is still on its way.
    """

    job_ids: tuple[JobId, ...]
    kind: Literal["cancel_jobs"] = "cancel_jobs"


@dataclass(frozen=True, slots=True)
class RegisterBackendServers(JobCommand):
    """Registers processes of backend servers before the leader starts runs there.

    Parameters
    ----------
    born_by_id
        Start of the registered process of each backend server, in Unix milliseconds.
    """

    born_by_id: dict[BackendServerId, int]
    kind: Literal["register_backend_servers"] = "register_backend_servers"


@dataclass(frozen=True, slots=True)
class UnregisterBackendServers(JobCommand):
    """Removes processes of backend servers on which no run can be in progress.

    A backend server of which another process is registered stays registered.
    """

    born_by_id: dict[BackendServerId, int]
    kind: Literal["unregister_backend_servers"] = "unregister_backend_servers"


@dataclass(frozen=True, slots=True)
class RecordUnansweredStarts(JobCommand):
    """Records the starts that may still be carried out; replaces the earlier record."""

    starts: tuple[UnansweredStart, ...]
    kind: Literal["record_unanswered_starts"] = "record_unanswered_starts"


@dataclass(frozen=True, slots=True)
class TransferJobs(JobCommand):
    """Transfers jobs to another group; this group starts nothing of them any more.

    Parameters
    ----------
    job_ids
        Durable jobs, of which those that have ended stay.
    best_effort
        Notes of best-effort jobs of which no task was started.
    run_span
        The leader numbered all runs of these jobs at most this far above their
        ``run_base``.
    """

    group: int
    job_ids: tuple[JobId, ...]
    best_effort: tuple[JobRecord, ...]
    run_span: int
    kind: Literal["transfer_jobs"] = "transfer_jobs"


@dataclass(frozen=True, slots=True)
class AdoptJobs(JobCommand):
    """Stores jobs that another group has transferred to this one.

    Parameters
    ----------
    source
        The other group.
    records
        Transferred records by ascending sequence number. Those up to the newest number
        from this group that is already stored have no effect.
    """

    source: int
    records: tuple[JobRecord, ...]
    kind: Literal["adopt_jobs"] = "adopt_jobs"


@dataclass(frozen=True, slots=True)
class ConfirmTransfers(JobCommand):
    """Records that another group has stored the jobs that were transferred to it.

    Parameters
    ----------
    until
        Newest sequence number that is stored there.
    job_ids
        Jobs with a sequence number up to that one.
    """

    group: int
    until: int
    job_ids: tuple[JobId, ...]
    kind: Literal["confirm_transfers"] = "confirm_transfers"


@dataclass(frozen=True, slots=True)
class DropTransfers(JobCommand):
    """Removes the notes of transferred jobs that the other group has forgotten."""

    group: int
    job_ids: tuple[JobId, ...]
    kind: Literal["drop_transfers"] = "drop_transfers"


COMMANDS_BY_KIND: dict[str, type[Command]] = {
    "set_class": SetClass,
    "drain_backend_server": DrainBackendServer,
    "return_backend_server": ReturnBackendServer,
    "evacuate_zone": EvacuateZone,
    "return_zone": ReturnZone,
    "register_acceptor": RegisterAcceptor,
    "publish_configuration": PublishConfiguration,
    "change_members": ChangeMembers,
    "accept_job": AcceptJob,
    "record_ends": RecordEnds,
    "record_losses": RecordLosses,
    "cancel_jobs": CancelJobs,
    "register_backend_servers": RegisterBackendServers,
    "unregister_backend_servers": UnregisterBackendServers,
    "record_unanswered_starts": RecordUnansweredStarts,
    "transfer_jobs": TransferJobs,
    "adopt_jobs": AdoptJobs,
    "confirm_transfers": ConfirmTransfers,
    "drop_transfers": DropTransfers,
}


class CommandStatus(StrEnum):
    """Outcome of a command as reported to its proposer."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a command, the same on every member.

    Parameters
    ----------
    status
        Never ``UNKNOWN`` in the replicated state.
    version
        Version of the configuration right after the command was applied.
    first
        For `RegisterAcceptor`: whether the instance had never been an acceptor before.
    """

    status: CommandStatus
    version: int
    first: bool = False


@dataclass(frozen=True, slots=True)
class Proposal:
    """A command with its id; an `InternalCommand` has no expected version."""

    command_id: str
    command: Command
    expected_version: int | None = None
