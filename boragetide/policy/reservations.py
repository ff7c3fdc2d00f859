"""Reservations of backend servers for jobs that others overtake because they are large.

A job that does not fit now gets the room of a backend server on which enough will be
free soon. Others may start there meanwhile if they end before that or leave enough room
beside them (backfilling). Ends are uncertain: a reservation that is not kept within a
bound is given up, and its job gets no other one for a while.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from boragetide.durable import Resources, Step
from boragetide.policy.expected_ends import find_room_at
from boragetide.types import BackendServerId, JobId, Seconds

# Reservations at a time in a dispatcher. With 3, idle reserved room costs more jobs
# than the large ones gain.
MAX_RESERVATIONS = 1
# A job gets a reservation once smaller ones have overtaken it this often. With 20,
# reservations cost 1% of the worth of the jobs under overload.
MIN_TIMES_OVERTAKEN = 60
# No room is reserved that is expected to be free later than this.
MAX_HORIZON: Seconds = 0.1
# A reservation is given up this long after the room was expected.
MAX_DELAY: Seconds = 0.02
# The search examines all backend servers of a pool. The interval bounds its cost and
# the number of log lines.
SEARCH_INTERVAL: Seconds = 0.02
# A job whose reservation was given up gets no other one for this long.
RETRY_DELAY: Seconds = 1.0


@dataclass(frozen=True, slots=True)
class ServerOutlook:
    """A backend server with the expected ends of its runs.

    Parameters
    ----------
    ends
        Expected ends, and the resources that the runs use. Runs without an expected end
        are left out.
    """

    id: BackendServerId
    free: Resources
    speed: float
    ends: tuple[tuple[Seconds, Resources], ...]


@dataclass(frozen=True, slots=True)
class Reservation:
    """Room of a backend server that is reserved for a task of a job.

    Parameters
    ----------
    latest_start
        Latest start of the job; more urgent jobs that can be in time are not kept from
        the server.
    in_time_until
        Time after which a start on this server is too late for the job.
    expected_at
        Time at which the room was expected to be free.
    """

    job_id: JobId
    server: BackendServerId
    needs: Resources
    latest_start: Seconds
    in_time_until: Seconds
    expected_at: Seconds
    made_at: Seconds

    def find_fault(self, now: Seconds) -> str | None:
        """Return why the reservation must be given up now, if it must be."""
        if now > self.in_time_until:
            return "too_late"
        if now > self.expected_at + MAX_DELAY:
            return "end_late"
        return None

    def admits(
        self,
        step: Step,
        latest_start: Seconds | None,
        end: Seconds,
        outlook: ServerOutlook,
    ) -> bool:
        """Return whether a task of another job may start on the server.

        Parameters
        ----------
        latest_start
            Latest start of the other job; ``None`` if it is late, so that it is less
            urgent than the job that has the reservation.
        end
            Expected end of the task.
        """
        is_more_urgent = latest_start is not None and latest_start < self.latest_start
        if is_more_urgent or end <= self.expected_at:
            return True
        free = outlook.free
        for at, used in outlook.ends:
            if at <= self.expected_at:
                free = free.plus(used)
        return self.needs.plus(step.needs).fits_in(free)


@dataclass(slots=True)
class Reservations:
    """Current reservations, and the jobs whose reservation was given up.

    Parameters
    ----------
    barred_until_by_job
        Time until which a job gets no other reservation.
    """

    by_server: dict[BackendServerId, Reservation] = field(default_factory=dict)
    barred_until_by_job: dict[JobId, Seconds] = field(default_factory=dict)
    next_search_at: Seconds = 0.0

    def may_search(self, now: Seconds) -> bool:
        """Return whether another reservation may be made now."""
        return len(self.by_server) < MAX_RESERVATIONS and now >= self.next_search_at

    def may_reserve(self, job_id: JobId, now: Seconds) -> bool:
        """Return whether a job may get a reservation."""
        if now < self.barred_until_by_job.get(job_id, 0.0):
            return False
        return all(each.job_id != job_id for each in self.by_server.values())

    def give_up(self, reservation: Reservation, now: Seconds) -> None:
        """Remove a reservation, and remember that its job had one."""
        self.by_server.pop(reservation.server, None)
        self.barred_until_by_job[reservation.job_id] = now + RETRY_DELAY
        barred = self.barred_until_by_job
        while barred and next(iter(barred.values())) <= now:
            del barred[next(iter(barred))]


def choose_reservation(
    step: Step, slack: Seconds, outlooks: Iterable[ServerOutlook], now: Seconds
) -> tuple[ServerOutlook, Seconds] | None:
    """Return the backend server on which a task will end first, and when it has room.

    Parameters
    ----------
    slack
        Seconds by which the task may exceed its run time at speed 1 while its job is
        still in time. Backend servers on which it would end later are left out.
    """
    best: tuple[Seconds, ServerOutlook, Seconds] | None = None
    for outlook in outlooks:
        at = find_room_at(outlook.free, outlook.ends, step.needs, now)
        if at is None or at - now > MAX_HORIZON:
            continue
        run_time = step.estimate / outlook.speed
        end = at + run_time
        if end > now + step.estimate + slack:
            continue
        if best is None or end < best[0]:
            best = end, outlook, at
    return None if best is None else best[1:]
