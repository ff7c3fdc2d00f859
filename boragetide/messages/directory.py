"""Messages of the controller ``directory``, which finds and follows the leaders."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from boragetide.messages.common import Request
from boragetide.types import (
    ClassName,
    Configuration,
    InstanceId,
    JobId,
    Seconds,
)


@dataclass(frozen=True, slots=True)
class FollowLeader:
    """Asks a member for the leader and the configuration in force.

    Sent by an instance that has no replicated log. Other such instances are asked for
    the members only.

    Parameters
    ----------
    version
        Version of the configuration that the sender has, or -1.
    waits
        How long the sender has been waiting for an answer, in seconds.
    sent_at
        Time of sending, by the sender's clock.
    controller
        Controller of the sender to which the notice goes.
    """

    sender: InstanceId
    version: int
    waits: Seconds = 0.0
    sent_at: Seconds | None = None
    controller: str = "directory"


@dataclass(frozen=True, slots=True)
class LeaderNotice:
    """Answer of a member to `FollowLeader`; also sent when the configuration changes.

    Parameters
    ----------
    sender
        The member, or an instance without the log that names the members it knows.
    term, leader
        Newest term that the sender knows, and the leader of that term, if known.
    members
        All members of the log.
    configuration
        Configuration in force at the sender, if the receiver has an older one and it
        is small. Only answers and notices of the leader have one. A larger one is
        fetched (`FetchConfigurationPiece`).
    has_authority
        Whether the sender is the leader and no other instance can be the leader yet.
    clock
        The sender's clock when it made the notice.
    asked_at
        ``sent_at`` of the `FollowLeader` that the notice answers, if any.
    admitted_share
        Share of the submissions that the sender admits, if it is the leader.
    version
        Version of the configuration in force at the sender, or -1. If the sender has
        authority, no newer one had been accepted at ``asked_at``.
    has_log
        Whether the sender has the log, or a disk for it.
    """

    sender: InstanceId
    term: int
    leader: InstanceId | None
    members: tuple[InstanceId, ...]
    configuration: Configuration | None = None
    has_authority: bool = False
    clock: Seconds | None = None
    asked_at: Seconds | None = None
    admitted_share: float = 1.0
    version: int = -1
    has_log: bool = True


@dataclass(frozen=True, slots=True)
class FetchConfigurationPiece:
    """Asks an instance for a piece of its configuration, in compressed form.

    Answered with `ConfigurationPiece`.

    Parameters
    ----------
    version
        Version that the sender wants.
    digest
        Digest of the content of which the sender has a part; empty if it has none.
    offset
        Number of compressed bytes that the sender has.
    controller
        Controller of the sender to which the piece goes.
    """

    sender: InstanceId
    version: int
    digest: str
    offset: int
    controller: str = "directory"


@dataclass(frozen=True, slots=True)
class ConfigurationPiece:
    """A piece of the configuration in force at the sender, in compressed form.

    Parameters
    ----------
    version, digest
        Version of the content, and the SHA-256 of all of its compressed bytes. They
        differ from the requested ones if the sender has another content.
    offset, total
        Position of ``data`` and number of all compressed bytes.
    """

    sender: InstanceId
    version: int
    digest: str
    offset: int
    total: int
    data: bytes


@dataclass(frozen=True, slots=True)
class FindLeader(Request):
    """Asks the local directory for the leader; answered with `LeaderFound`."""


@dataclass(frozen=True, slots=True)
class LeaderFound:
    """The leader, if there was recent contact, and the configuration in force here.

    Parameters
    ----------
    leader
        ``None`` if no leader has been heard recently.
    ready
        Whether requests can be handled: there is a leader, and it has confirmed
        recently that ``configuration`` is the newest.
    lost_for
        Seconds since the time as of which a leader confirmed the configuration, or
        since another leader was found.
    term
        Term of the leader.
    clock_offset
        Lower bound of the leader's clock minus the clock of this instance, if known.
    is_confirmed
        Whether a leader has confirmed recently that ``configuration`` is the newest,
        whether or not that leader is still heard.
    """

    leader: InstanceId | None
    configuration: Configuration | None
    ready: bool
    lost_for: Seconds = 0.0
    term: int = 0
    clock_offset: Seconds | None = None
    is_confirmed: bool = False

    def to_leader_clock(self, when: Seconds) -> Seconds | None:
        """Return a lower bound of a time of this instance on the leader's clock."""
        return None if self.clock_offset is None else when + self.clock_offset


@dataclass(frozen=True, slots=True)
class AdmitSubmission(Request):
    """Asks the local directory whether a submission is in the share that is admitted.

    Answered with `AdmissionReply`.
    """

    job_id: JobId
    class_name: ClassName
    best_effort: bool


class Admission(StrEnum):
    """What to do with a submission."""

    ADMITTED = "admitted"  # send it to the leader
    REFUSED = "refused"  # the leader has confirmed that the job does not run
    UNDECIDED = "undecided"  # the leader has not answered


@dataclass(frozen=True, slots=True)
class AdmissionReply:
    """What to do with a submission.

    Parameters
    ----------
    retry_after
        Seconds after which the job may be submitted again if it is refused.
    """

    admission: Admission
    retry_after: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class RefuseSubmissions:
    """Asks the leader to confirm that jobs do not run by any submission of before.

    Answered with `SubmissionsRefused`.

    Parameters
    ----------
    number
        Number of the batch, which is repeated in the answer.
    """

    sender: InstanceId
    number: int
    job_ids: tuple[JobId, ...]


@dataclass(frozen=True, slots=True)
class SubmissionsRefused:
    """The leader has refused a batch of jobs, except those that it knows.

    Parameters
    ----------
    known_job_ids
        Jobs that run or may have run.
    """

    number: int
    known_job_ids: tuple[JobId, ...] = ()


@dataclass(frozen=True, slots=True)
class ContactsChanged:
    """The instances to ask for the leader have changed in the settings."""

    contacts: tuple[InstanceId, ...]


@dataclass(frozen=True, slots=True)
class QuestionUnsent:
    """A question of this controller was certainly not sent: there was no connection.

    Reported by the link to ``peer``, for messages that name a waiting time.
    """

    peer: InstanceId


@dataclass(frozen=True, slots=True)
class ReadConfiguration(Request):
    """Asks for a linearizable read of the configuration.

    Answered with `ConfigurationRead`.

    Parameters
    ----------
    held
        Version that the asking instance has, or -1. The answer then has the content
        only if it is small and has another version: the instance has the content, or
        is fetching it. With ``None`` the answer has the content in any case.
    """

    held: int | None = None


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """The newest configuration, or its version.

    Parameters
    ----------
    configuration
        ``None`` if the newest one is not known, or for the reasons given with
        `ReadConfiguration`.
    leader
        Instance to ask instead, if known.
    version
        Newest version, or -1 if it is not known.
    """

    configuration: Configuration | None
    leader: InstanceId | None = None
    version: int = -1
