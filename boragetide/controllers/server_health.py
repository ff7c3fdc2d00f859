"""Health of a backend server as its runs show it: consecutive failures and speed."""

from __future__ import annotations

from boragetide.controllers.dispatch_state import DispatcherState, update_server_index
from boragetide.controllers.server_state import Run, Server
from boragetide.policy.exponential_wait import grow_wait
from boragetide.policy.zones import record_trial_run
from boragetide.types import ClassName, Seconds

# After a failed run, a backend server gets no new runs for a while, so that the next
# attempt goes elsewhere. The pause grows with each consecutive failure. The first pause
# is short, because one run in 500 fails regardless of the backend server.
FIRST_FAILURE_COOLDOWN: Seconds = 0.25
MAX_FAILURE_COOLDOWN: Seconds = 8.0
FAILURE_COOLDOWN_FACTOR = 4.0
# Weight of a new observation in the learned speed; it is low because declared times are
# off by 40%. A run that took more than twice as long as expected exceeds what that
# error explains, and has the higher weight.
SPEED_WEIGHT = 0.1
SLOWDOWN_WEIGHT = 0.4
# Weight while a server returns with its zone, because its speed is not known yet.
TRIAL_WEIGHT = 0.4
# Bounds of the learned speed. The speed of a backend server that runs tasks in their
# declared time is 1.
MIN_SPEED = 0.05
MAX_SPEED = 10.0
# If no run was observed for this long, the learned speed of a slow backend server moves
# towards 1 by this share in each review, so that the backend server gets runs again
# within some seconds.
SPEED_RECOVERY_DELAY: Seconds = 2.0
SPEED_RECOVERY_SHARE = 0.25


def record_outcome(server: Server, failed: bool, now: Seconds) -> None:
    """Record whether a run failed; avoid the backend server for a while if it did."""
    if server.trial is not None:
        record_trial_run(server.trial, failed=failed)
    if failed:
        pause = grow_wait(
            FIRST_FAILURE_COOLDOWN,
            server.consecutive_failures,
            MAX_FAILURE_COOLDOWN,
            FAILURE_COOLDOWN_FACTOR,
        )
        server.consecutive_failures += 1
        server.cooldown_until = now + pause
        return
    server.consecutive_failures = 0
    server.last_run_done_at = now


def learn_speed(server: Server, run: Run, ended_at: Seconds, now: Seconds) -> None:
    """Move the learned speed towards the speed that a completed run shows."""
    if run.started_at is None or not run.estimate:
        return
    observed = run.estimate / max(ended_at - run.started_at, 0.001)
    observed = min(MAX_SPEED, max(MIN_SPEED, observed))
    slowed = observed < server.speed / 2
    weight = SLOWDOWN_WEIGHT if slowed else SPEED_WEIGHT
    if server.trial is not None:
        weight = TRIAL_WEIGHT
    server.speed += weight * (observed - server.speed)
    server.speed_updated_at = now


def learn_run_time(
    state: DispatcherState,
    server: Server,
    run: Run,
    class_name: ClassName,
    ended_at: Seconds,
) -> None:
    """Learn the run time of a class from a completed run."""
    if run.started_at is None or not run.estimate:
        return
    run_time = max(ended_at - run.started_at, 0.001)
    state.run_times.observe(class_name, run.estimate, run_time, server.speed)


def recover_speeds(state: DispatcherState, now: Seconds) -> None:
    """Move the speed of slow backend servers without recent runs back towards 1.

    A backend server that gets no runs cannot show that it is as fast as usual again.
    """
    for server in state.servers_by_id.values():
        if server.speed < 1.0 and now - server.speed_updated_at > SPEED_RECOVERY_DELAY:
            server.speed += SPEED_RECOVERY_SHARE * (1.0 - server.speed)
            update_server_index(state, server)
