"""Timeouts of the calls to a backend server, and the budget of their repetitions."""

from __future__ import annotations

from dataclasses import dataclass

from boragetide.policy.overload import DELAY_TARGET
from boragetide.types import Seconds

# Twice the delay at which a leader counts as overloaded, so that waits in its own
# queues are not taken for lost calls.
MIN_CALL_TIMEOUT: Seconds = 2 * DELAY_TARGET
# The same while calls go unanswered, when a needless repetition costs less than a wait
# for an answer that does not come.
MIN_LOSSY_TIMEOUT: Seconds = DELAY_TARGET
# Also the timeout before the first answer.
MAX_CALL_TIMEOUT: Seconds = 0.2
# Weights of a new observation, and the number of deviations above the mean, as for
# TCP (RFC 6298).
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS = 4.0
# Retry budget of a backend server: each first call adds to it, up to a bound, so that a
# fault at most doubles the messages.
REPETITIONS_PER_CALL = 1.0
MAX_SAVED_REPETITIONS = 32.0
# Time after an unanswered call in which more of them are expected.
LOSSY_PERIOD: Seconds = 2.0


def has_timed_out(sent_at: Seconds, now: Seconds) -> bool:
    """Return whether an unanswered call has waited, rather than failed at once."""
    return now - sent_at >= MIN_LOSSY_TIMEOUT


@dataclass(slots=True)
class CallRecord:
    """What the calls to one process of a backend server have shown.

    Parameters
    ----------
    mean, deviation
        Moving mean of the response times and of their distance from it, in seconds;
        ``None`` before the first answer.
    repetitions
        Repetitions that may be sent at present.
    unanswered_at
        Time at which a call was last found unanswered; ``None`` if none was.
    """

    mean: Seconds | None = None
    deviation: Seconds = 0.0
    repetitions: float = MAX_SAVED_REPETITIONS
    unanswered_at: Seconds | None = None

    def record_response(self, seconds: Seconds) -> None:
        """Record the time from the sending of a call until its answer was handled."""
        seconds = max(seconds, 0.0)
        if self.mean is None:
            self.mean, self.deviation = seconds, seconds / 2
            return
        error = seconds - self.mean
        self.deviation += DEVIATION_GAIN * (abs(error) - self.deviation)
        self.mean += MEAN_GAIN * error

    def find_timeout(self, factor: float = 1.0, *, lossy: bool = False) -> Seconds:
        """Return the time after which a call counts as unanswered.

        Parameters
        ----------
        factor
            Multiple of the usual timeout that is allowed, within the upper bound.
        lossy
            Whether losses are expected.
        """
        if self.mean is None:
            return MAX_CALL_TIMEOUT
        least = MIN_LOSSY_TIMEOUT if lossy else MIN_CALL_TIMEOUT
        usual = max(self.mean + DEVIATIONS * self.deviation, least)
        return min(factor * usual, MAX_CALL_TIMEOUT)

    def add_call(self) -> None:
        """Count a call that is no repetition."""
        saved = self.repetitions + REPETITIONS_PER_CALL
        self.repetitions = min(saved, MAX_SAVED_REPETITIONS)

    def take_repetition(self) -> bool:
        """Return whether a call may be repeated, and count the repetition if so."""
        if self.repetitions < 1.0:
            return False
        self.repetitions -= 1.0
        return True

    def expects_losses(self, now: Seconds) -> bool:
        """Return whether a call went unanswered a short while ago."""
        return (
            self.unanswered_at is not None and now < self.unanswered_at + LOSSY_PERIOD
        )
