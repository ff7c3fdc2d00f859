"""Health of a backend server as its runs show it: consecutive failures and speed."""

from __future__ import annotations

from boragetide.controllers.dispatch_state import (
    DispatcherState,
    Run,
    Server,
    note_room,
)
from boragetide.types import Seconds

# After a failed run, a backend server gets no new runs for a while, so that the next
# attempt goes elsewhere. The pause grows with each consecutive failure. The first pause
# is short, because one run in 500 fails regardless of the backend server.
AVOID_FAILED: Seconds = 0.25
AVOID_LONGEST: Seconds = 8.0
# Weight of a new observation in the learned speed; it is low because declared times are
# off by 40%. A run that took more than twice as long as expected is more than that
# error explains, and has the higher weight.
SPEED_LEARNING = 0.1
SLOWDOWN_LEARNING = 0.4
# Bounds of the learned speed. The speed of a backend server that runs tasks in their
# declared time is 1.
SPEED_MIN = 0.05
SPEED_MAX = 10.0
# If no run was observed for this long, the learned speed of a slow backend server moves
# towards 1 by this share in each review, so that the backend server gets runs again
# within some seconds.
SLOWNESS_KEPT: Seconds = 2.0
SPEED_RETURN = 0.25


def note_outcome(server: Server, failed: bool, now: Seconds) -> None:
    """Record whether a run failed; avoid the backend server for a while if it did."""
    if failed:
        pause = min(AVOID_LONGEST, AVOID_FAILED * 4**server.failures_in_row)
        server.failures_in_row += 1
        server.avoided_until = now + pause
        return
    server.failures_in_row = 0
    server.done_at = now


def learn_speed(server: Server, run: Run, now: Seconds) -> None:
    """Move the learned speed towards the speed that a completed run shows."""
    if run.started_at is None or not run.estimate:
        return
    observed = run.estimate / max(now - run.started_at, 0.001)
    observed = min(SPEED_MAX, max(SPEED_MIN, observed))
    slowed = observed < server.speed / 2
    learning = SLOWDOWN_LEARNING if slowed else SPEED_LEARNING
    server.speed += learning * (observed - server.speed)
    server.learned_at = now


def forget_slowness(state: DispatcherState, now: Seconds) -> None:
    """Move the speed of slow backend servers without recent runs back towards 1.

    A backend server that gets no runs cannot show that it is as fast as usual again.
    """
    for server in state.servers_by_id.values():
        if server.speed < 1.0 and now - server.learned_at > SLOWNESS_KEPT:
            server.speed += SPEED_RETURN * (1.0 - server.speed)
            note_room(state, server)
