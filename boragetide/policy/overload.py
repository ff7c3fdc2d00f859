"""Admission of submissions while the leader's processor is too small for the load.

Submissions to a leader that is short of processor time wait in sockets and in its event
loop, where it cannot order them, and so do its orders to backend servers and their
answers. The leader measures these waits and derives the share of the submissions that
it can bear. The other instances hold back the rest.

The least wait within a window is the standing delay, as in CoDel (RFC 8289): a burst
that passes does not raise it. How fast the standing delay grows shows the load that was
admitted: if it grows by 20 ms in 100 ms, the submissions of 80 ms took 100 ms to
handle.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from boragetide.types import ClassName, Seconds

WINDOW: Seconds = 0.1
# A third of the response time target of the quickest classes, because the messages of a
# job wait at each of the stages.
DELAY_TARGET: Seconds = 0.02
# Without submissions for this long, none can be waiting.
MAX_WINDOW: Seconds = 0.5
MIN_SHARE = 0.02
# A standing delay above the target is worked off within about this time.
DRAIN_TIME: Seconds = 0.4
MIN_DRAIN_FACTOR = 0.3
MAX_GROWTH = 0.75  # of the standing delay, in seconds per second
# The share rises slowly at first, near the last share that was too high, then faster.
RISE_RATE = 0.3  # per second
RISE_ACCELERATION = 3.0  # per second squared
MAX_RISE_RATE = 10.0  # per second
# Best-effort jobs are refused first. Durable ones are refused only if the share is less
# than this.
DURABLE_SHARE = 0.1
MIN_RETRY_AFTER: Seconds = 1.0
MAX_RETRY_AFTER: Seconds = 10.0


class Stage(StrEnum):
    """Where messages wait for the leader's processor."""

    SUBMISSION = "submission"  # until the submission is handled
    ORDER = "order"  # from the decision to give an order until its answer is handled


# A few backend servers may be slow, so that only many answers show the leader's delay.
MIN_SAMPLES = {Stage.SUBMISSION: 1, Stage.ORDER: 10}


@dataclass(slots=True)
class StageWindow:
    """Least wait of a stage in the current window, and the number of its messages."""

    least_wait: Seconds
    count: int = 0


@dataclass(slots=True)
class AdmissionControl:
    """Share of the submissions that a leader can bear, from their waits.

    Parameters
    ----------
    share
        Share of the submissions that the other instances should send.
    standing_delay
        Longest of the least waits of the stages in the last complete window.
    window_began_at, window_by_stage
        Time of the first message in the current window, and its stages; empty before
        that message.
    usual_order_time
        Least time in which an order was answered.
    updated_at
        End of the last complete window.
    overloaded_at
        Time at which the standing delay was last above the target.
    history
        Earlier shares with the times from which on they applied, oldest first.
    """

    share: float = 1.0
    standing_delay: Seconds = 0.0
    window_began_at: Seconds = 0.0
    window_by_stage: dict[Stage, StageWindow] = field(default_factory=dict)
    usual_order_time: Seconds = math.inf
    updated_at: Seconds = -math.inf
    overloaded_at: Seconds = -math.inf
    history: deque[tuple[Seconds, float]] = field(default_factory=deque)

    @property
    def is_overloaded(self) -> bool:
        """Whether submissions wait longer than the target."""
        return self.standing_delay > DELAY_TARGET


def record_order(control: AdmissionControl, seconds: Seconds, now: Seconds) -> bool:
    """Record in which time an order was answered; return whether the share has changed.

    What the fastest answer of all took is the time of the network and of the backend
    server.
    """
    control.usual_order_time = min(control.usual_order_time, seconds)
    waited = seconds - control.usual_order_time
    return record_wait(control, waited, now, Stage.ORDER)


def record_wait(
    control: AdmissionControl,
    waited: Seconds,
    now: Seconds,
    stage: Stage = Stage.SUBMISSION,
) -> bool:
    """Record how long a message waited for the leader's processor.

    Returns
    -------
    bool
        Whether the admitted share has changed.
    """
    if not control.window_by_stage:
        control.window_began_at = now
    waited = max(waited, 0.0)
    window = control.window_by_stage.setdefault(stage, StageWindow(waited))
    window.least_wait = min(window.least_wait, waited)
    window.count += 1
    return update_share(control, now)


def update_share(control: AdmissionControl, now: Seconds) -> bool:
    """Update the share at the end of a window; return whether it has changed."""
    if not _is_window_over(control, now):
        return False
    delay = _find_standing_delay(control)
    length = min(now - control.updated_at, MAX_WINDOW)
    growth = _measure_growth(control.standing_delay, delay, length)
    control.standing_delay = delay
    control.window_by_stage.clear()
    control.updated_at = now
    if control.is_overloaded:
        control.overloaded_at = now
        share = _find_bearable_share(control, growth, now)
    else:
        rate = RISE_RATE + RISE_ACCELERATION * (now - control.overloaded_at)
        share = control.share * math.exp(min(rate, MAX_RISE_RATE) * length)
    return _set_share(control, min(max(share, MIN_SHARE), 1.0), now)


def _find_standing_delay(control: AdmissionControl) -> Seconds:
    """Return the longest of the least waits of the stages with enough messages."""
    return max(
        (
            window.least_wait
            for stage, window in control.window_by_stage.items()
            if window.count >= MIN_SAMPLES[stage]
        ),
        default=0.0,
    )


def _find_bearable_share(
    control: AdmissionControl, growth: float, now: Seconds
) -> float:
    """Return the share with which the standing delay falls to the target.

    It follows from the share that applied when the submissions were made that are
    handled now, so that a reduction is not repeated before it can have an effect.
    """
    delay = control.standing_delay
    excess = (delay - DELAY_TARGET) / DRAIN_TIME
    share = _find_share_at(control, now - delay) * (1.0 - growth)
    share *= max(1.0 - excess, MIN_DRAIN_FACTOR)
    return share if growth < 0.0 else min(share, control.share)


def _measure_growth(before: Seconds, delay: Seconds, length: Seconds) -> float:
    """Return how fast the standing delay grows, in seconds per second.

    However large the load is, the delay does not grow faster than time passes. If it
    did, the process stood still, which does not show the load.
    """
    growth = (delay - before) / length
    return 0.0 if growth > 1.0 else min(growth, MAX_GROWTH)


def _is_window_over(control: AdmissionControl, now: Seconds) -> bool:
    if not control.window_by_stage:
        return now - control.updated_at >= MAX_WINDOW
    return now - control.window_began_at >= WINDOW


def _find_share_at(control: AdmissionControl, when: Seconds) -> float:
    """Return the share that applied at a time; drop the ones that applied before."""
    history = control.history
    while len(history) > 1 and history[1][0] <= when:
        history.popleft()
    return history[0][1] if history else control.share


def _set_share(control: AdmissionControl, share: float, now: Seconds) -> bool:
    if not control.history:
        control.history.append((-math.inf, control.share))
    if share == control.share:
        return False
    control.share = share
    control.history.append((now, share))
    return True


@dataclass(slots=True)
class Pacer:
    """Selects the submissions to refuse, evenly within each class.

    Parameters
    ----------
    credit_by_class
        Part of a submission of each class that may still be sent.
    refusals
        Number of refusals so far.
    """

    credit_by_class: dict[ClassName, float] = field(default_factory=dict)
    refusals: int = 0


def admit(pacer: Pacer, class_name: ClassName, share: float) -> bool:
    """Return whether the next submission of a class is among the share to send."""
    if share >= 1.0:
        return True
    credit = pacer.credit_by_class.get(class_name, 1.0) + share
    admitted = credit >= 1.0
    pacer.credit_by_class[class_name] = credit - 1.0 if admitted else credit
    return admitted


def find_durable_share(share: float) -> float:
    """Return the share of the durable submissions to send."""
    return min(share / DURABLE_SHARE, 1.0)


def choose_retry_after(pacer: Pacer, share: float) -> Seconds:
    """Return when a refused caller should return.

    Consecutive refusals get different times, so that the callers do not all return at
    once; the lower the share, the longer the time over which they return.
    """
    pacer.refusals += 1
    span = min(MIN_RETRY_AFTER + 2.0 / share, MAX_RETRY_AFTER) - MIN_RETRY_AFTER
    return MIN_RETRY_AFTER + pacer.refusals % math.ceil(span)
