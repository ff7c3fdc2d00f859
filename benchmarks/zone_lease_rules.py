"""Rules of a zone lease and of a deputy, as a model without a network.

These are the rules that ``docs/design/partitioned-zone.md`` proposes for one group and
one availability zone. `benchmarks.zone_leases` plays faults against them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from boragetide.controllers.server_state import (
    LEASE_DURATION,
    LEASE_EXPIRY_MARGIN,
    MIN_CLOCK_RATE,
)
from boragetide.controllers.takeover import LEASE_EXPIRY_WAIT
from boragetide.policy.replica import AUTHORITY_DURATION, ELECTION_MIN
from boragetide.types import Seconds

SERVERS = tuple(f"s{number}" for number in range(12))
# The leader uses the zone for this long after it sent a question that was answered, and
# the deputy waits for longer after its answer, by as much as an election does.
ZONE_LEASE: Seconds = AUTHORITY_DURATION
ZONE_LEASE_WAIT: Seconds = ELECTION_MIN
# A leader that does not hear the deputy for this long takes the servers from it.
CLOSE_SILENCE: Seconds = 0.25
# Servers that answer again after this long were cut off, as the deputy may have been,
# which then hands over within two questions.
ZONE_SILENCE: Seconds = 0.5
RETURN_TIME: Seconds = 0.35
# After a call of the leader, a lease that it may have renewed is over.
LEASE_EXPIRY: Seconds = LEASE_DURATION / MIN_CLOCK_RATE + LEASE_EXPIRY_MARGIN


def find_leader_fence(known: int) -> int:
    """Return the next fencing token of a leader, which is even."""
    return known + 2 - known % 2


def find_deputy_fence(known: int) -> int:
    """Return the next fencing token of a deputy, which is odd."""
    return known + 1 + known % 2


class Mode(StrEnum):
    """Why the leader may start jobs of the zone."""

    LEASED = "leased"  # by answers of the deputy
    CLOSED = "closed"  # the deputy can start nothing on any server


@dataclass(frozen=True, slots=True)
class Question:
    """Question of the leader.

    Parameters
    ----------
    asked_at
        Time at which it was sent.
    heard_ago
        Time since the leader heard the deputy.
    fence
        Fencing token of the leader.
    done
        Jobs that are done, as far as the leader knows.
    is_closed
        Whether the deputy may not begin any more.
    """

    asked_at: Seconds
    heard_ago: Seconds
    fence: int
    done: set[int]
    is_closed: bool


# Jobs of other zones have numbers from this one on.
FIRST_FOREIGN_JOB = 1_000_000


def is_foreign(job: int) -> bool:
    """Return whether the home of a job is another zone."""
    return job >= FIRST_FOREIGN_JOB


@dataclass(slots=True)
class Run:
    """A run on a backend server, with its end and that of its lease."""

    job: int
    began_at: Seconds
    ends_at: Seconds
    lease_until: Seconds
    over_at: Seconds | None = None


@dataclass(slots=True)
class ServerModel:
    """A backend server that refuses fencing tokens below the highest one."""

    fence: int = 0
    running: dict[int, Run] = field(default_factory=dict)
    done: set[int] = field(default_factory=set)
    history: list[Run] = field(default_factory=list)

    def settle(self, now: Seconds) -> None:
        """End the runs that are done or whose lease is over."""
        for job, run in list(self.running.items()):
            over_at = min(run.ends_at, run.lease_until)
            if over_at <= now:
                run.over_at = over_at
                del self.running[job]
                if run.ends_at <= run.lease_until:
                    self.done.add(job)


@dataclass(slots=True)
class Holder:
    """What a leader or a deputy knows, and its fencing token.

    Parameters
    ----------
    read
        Servers that have listed their runs for the current token.
    withdrawn
        Servers that have refused it.
    server_by_job, done
        Jobs that may be running, with their server, and jobs that are done.
    """

    fence: int
    read: set[str] = field(default_factory=set)
    withdrawn: set[str] = field(default_factory=set)
    server_by_job: dict[int, str] = field(default_factory=dict)
    done: set[int] = field(default_factory=set)

    def raise_fence(self, fence: int) -> None:
        """Begin with a new token, for which no server has listed its runs."""
        self.fence, self.read, self.withdrawn = fence, set(), set()

    def record_list(self, server: str, running: set[int], done: set[int]) -> None:
        """Record the runs that a server lists."""
        self.read.add(server)
        self.done |= done
        for job, known in list(self.server_by_job.items()):
            if job in done or (known == server and job not in running):
                del self.server_by_job[job]
        self.server_by_job |= dict.fromkeys(running, server)

    def is_clean(self, server: str) -> bool:
        """Return whether a server lists no run of a job of another zone."""
        runs = self.server_by_job.items()
        return server in self.read and not any(
            each == server and is_foreign(job) for job, each in runs
        )

    def may_run(self, job: int) -> bool:
        """Return whether a job is neither running nor done, as far as is known."""
        return job not in self.done and job not in self.server_by_job


@dataclass(slots=True)
class LeaderModel:
    """The leader outside the zone.

    Parameters
    ----------
    answered_at
        Time at which the newest question was sent that the deputy answered.
    heard_at
        Time at which the deputy was last heard.
    named_fence
        Token that questions name. While the leader closes the zone, this is the one
        before, so that a deputy whose answers are lost begins with a lower token than
        that by which the servers are closed.
    zone_heard_at, zone_back_at
        Time of the last answer of a server, and of the first one after a silence.
    lease_call_at_by_server, answered_at_by_server
        Times of the last call that may have renewed leases, and of the last answer.
    noted
        Jobs of which the deputy knows that they may run outside the zone.
    """

    holder: Holder
    mode: Mode = Mode.LEASED
    answered_at: Seconds = 0.0
    heard_at: Seconds = 0.0
    closing: bool = False
    named_fence: int = 0
    zone_heard_at: Seconds = 0.0
    zone_back_at: Seconds = 0.0
    lease_call_at_by_server: dict[str, Seconds] = field(default_factory=dict)
    answered_at_by_server: dict[str, Seconds] = field(default_factory=dict)
    noted: set[int] = field(default_factory=set)

    def hear_zone(self, now: Seconds) -> None:
        """Note the answer of a server."""
        if now - self.zone_heard_at > ZONE_SILENCE:
            self.zone_back_at = now
        self.zone_heard_at = now

    def may_close(self, now: Seconds) -> bool:
        """Return whether a deputy that came back with the zone had time to answer."""
        is_silent = now - self.heard_at >= CLOSE_SILENCE
        return is_silent and now - self.zone_back_at >= RETURN_TIME

    def have_all_answered(self) -> bool:
        """Return whether all servers have answered since the deputy went silent."""
        since = self.heard_at + CLOSE_SILENCE
        answered = self.answered_at_by_server
        return all(answered.get(server, 0.0) >= since for server in SERVERS)

    def list_lapsed(self, now: Seconds) -> list[int]:
        """Return the jobs of other zones whose runs at silent servers are over."""
        return [
            job
            for job, server in self.holder.server_by_job.items()
            if is_foreign(job)
            and now - self.answered_at_by_server.get(server, now) > ZONE_SILENCE
            and now - self.lease_call_at_by_server.get(server, now) > LEASE_EXPIRY
        ]

    def may_use_zone(self, now: Seconds) -> bool:
        """Return whether the leader may start the jobs of the zone."""
        is_leased = now < self.answered_at + ZONE_LEASE and not self.closing
        return self.mode is Mode.CLOSED or is_leased


@dataclass(slots=True)
class DeputyModel:
    """The deputy of the zone.

    Parameters
    ----------
    granted_at
        Time of the last answer that lets the leader use the zone.
    asked_fence
        Highest fencing token of the leader in its questions.
    begun_at
        Time since which the deputy has the zone, if it does.
    taken_fence
        Token by which the leader takes the zone back; ``None`` before the deputy hands
        over. Until the leader uses it, the deputy renews leases and starts nothing.
    is_closed
        Whether the leader has taken all servers from this deputy.
    outside_jobs
        Jobs that may run outside the zone, or have.
    """

    holder: Holder
    granted_at: Seconds = 0.0
    member_heard_at: Seconds = 0.0
    ticked_at: Seconds = 0.0
    woke_at: Seconds = 0.0
    asked_fence: int = 0
    begun_at: Seconds | None = None
    taken_fence: int | None = None
    is_closed: bool = False
    outside_jobs: set[int] = field(default_factory=set)

    def find_next_fence(self) -> int:
        """Return the token to begin with, above all that the leader has named."""
        known = max(self.asked_fence, self.holder.fence, self.taken_fence or 0)
        return find_deputy_fence(known)

    def should_begin(self, now: Seconds) -> bool:
        """Return whether no leader may use the zone and no majority answers."""
        is_over = now >= self.granted_at + ZONE_LEASE_WAIT
        is_cut_off = now >= self.member_heard_at + ZONE_LEASE
        is_awake = now >= self.woke_at + ZONE_LEASE_WAIT
        has_zone = self.begun_at is not None and self.taken_fence is None
        may_begin = not (has_zone or self.is_closed)
        return may_begin and is_over and is_cut_off and is_awake

    def may_start(self, now: Seconds) -> bool:
        """Return whether every run of an earlier holder is known or over."""
        if self.begun_at is None or self.taken_fence is not None:
            return False
        if not self.holder.read:
            return False
        if len(self.holder.read) == len(SERVERS):
            return True
        return now >= self.granted_at + ZONE_LEASE_WAIT + LEASE_EXPIRY_WAIT
