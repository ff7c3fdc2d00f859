"""Waits and timeouts of requests for lists of runs, and the leases they renew."""

from __future__ import annotations

from boragetide.controllers.run_state import Run, RunPhase
from boragetide.controllers.server_state import Server
from boragetide.types import Seconds

# A backend server delays its answer to a `ReadRuns` by up to this long until a run
# ends. A lease of `LEASE_DURATION` is thus renewed twice even if one answer is lost.
READ_MAX_WAIT: Seconds = 0.25
# The same while calls to the backend server go unanswered: a lost list delays the
# ends of all runs until it times out.
LOSSY_READ_WAIT: Seconds = 0.1
# The same if a run is expected to end within `LOSSY_READ_WAIT`.
SHORT_READ_WAIT: Seconds = 0.05
# Leases are renewed for this long after a list was first found unanswered. This bounds
# the delay until the leases of a silent server expire.
RENEWAL_PERIOD: Seconds = 0.3
# Lists in a row that may fail before the next one gets a longer timeout.
LISTS_WITH_USUAL_TIMEOUT = 2


def may_renew(server: Server, now: Seconds) -> bool:
    """Return whether the leases are renewed although lists may have failed.

    An unanswered renewal may have arrived. The renewals end after a while, so that the
    leases certainly expire if the backend server stays unreachable.
    """
    return server.unanswered <= 1 or now < server.failing_since + RENEWAL_PERIOD


def find_wait(server: Server, now: Seconds) -> Seconds:
    """Return how long a backend server may wait for the end of a run."""
    if not server.calls.expects_losses(now):
        return READ_MAX_WAIT
    ends_soon = any(
        _is_expected_to_end(server, run, now, now + LOSSY_READ_WAIT)
        for run in server.runs_by_task.values()
    )
    return SHORT_READ_WAIT if ends_soon else LOSSY_READ_WAIT


def _is_expected_to_end(
    server: Server, run: Run, since: Seconds, until: Seconds
) -> bool:
    """Return whether a run is expected to end within a period.

    Overdue runs are not: they would keep the waits short until they end.
    """
    if run.started_at is None or run.phase is RunPhase.ENDED:
        return False
    return since <= run.started_at + run.estimate / server.speed < until


def find_list_timeout(server: Server, now: Seconds) -> Seconds:
    """Return how long after its wait a list counts as unanswered.

    It grows if several fail in a row at a server that answers nothing else, because it
    may have become slow.
    """
    doublings = 0
    if server.silent:
        doublings = max(server.unanswered - LISTS_WITH_USUAL_TIMEOUT, 0)
    lossy = server.calls.expects_losses(now)
    return server.calls.find_timeout(2.0**doublings, lossy=lossy)
