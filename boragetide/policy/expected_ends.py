"""Expected ends of runs, from declared run times and those observed by class.

Declared run times are wrong by 40%, so the run time of a class is a regression of the
observed on the declared ones (`policy.learning`); the declared time is used until tasks
of the class have ended. A few tasks take many times as long as declared: a run that has
exceeded its expected time by more than its class usually does has no expected end.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from boragetide.durable import Resources
from boragetide.policy.learning import SizeModel, observe_size, predict_size
from boragetide.types import ClassName, Seconds

# A run has no expected end once the logarithm of its run time exceeds the expected one
# by this many standard deviations of its class.
LATE_DEVIATIONS = 1.5
# Remaining time of a run past its expected end, as a share of its expected run time. It
# is the mean if run times vary by 30%.
OVERRUN_SHARE = 0.2
# Once this many runs of a class were observed, every `OBSERVED_EVERY`-th is enough. To
# learn from each one costs 3% of the processor time of a start.
ALWAYS_OBSERVED = 200
OBSERVED_EVERY = 8

# Model of a class of which no run was observed. It is never changed.
_UNOBSERVED = SizeModel()


@dataclass(frozen=True, slots=True)
class ExpectedEnd:
    """When a run will probably end.

    Parameters
    ----------
    run_time
        Expected run time on its backend server.
    at
        Expected end.
    known_until
        Time after which a run that goes on has no expected end.
    """

    run_time: Seconds
    at: Seconds
    known_until: Seconds

    def find_end(self, now: Seconds) -> Seconds | None:
        """Return the end that is expected now, or ``None`` if none is."""
        if now < self.at:
            return self.at
        if now > self.known_until:
            return None
        return now + OVERRUN_SHARE * self.run_time


@dataclass(slots=True)
class RunTimes:
    """Run times of each class at speed 1, as this leader has observed them."""

    model_by_class: dict[ClassName, SizeModel] = field(default_factory=dict)
    _skipped: int = 0

    def observe(
        self, class_name: ClassName, declared: Seconds, run_time: Seconds, speed: float
    ) -> None:
        """Learn from a run that was completed on a backend server of a speed."""
        model = self.model_by_class.get(class_name)
        if model is None:
            model = self.model_by_class[class_name] = SizeModel()
        if model.samples > ALWAYS_OBSERVED:
            self._skipped += 1
            if self._skipped < OBSERVED_EVERY:
                return
            self._skipped = 0
        observe_size(model, declared, run_time * speed)

    def predict(
        self, class_name: ClassName, declared: Seconds, speed: float, begin: Seconds
    ) -> ExpectedEnd:
        """Return the expected end of a run on a backend server of a speed."""
        model = self.model_by_class.get(class_name, _UNOBSERVED)
        run_time = predict_size(model, declared) / speed
        factor = math.exp(LATE_DEVIATIONS * math.sqrt(model.error_variance))
        return ExpectedEnd(run_time, begin + run_time, begin + factor * run_time)


def find_room_at(
    free: Resources,
    ends: Iterable[tuple[Seconds, Resources]],
    needs: Resources,
    now: Seconds,
) -> Seconds | None:
    """Return when a backend server will have room, or ``None`` if that is not known.

    Parameters
    ----------
    free
        Resources that are free now.
    ends
        Expected ends of the runs there, and the resources that each uses.
    """
    if needs.fits_in(free):
        return now
    for at, used in sorted(ends, key=lambda end: end[0]):
        free = free.plus(used)
        if needs.fits_in(free):
            return at
    return None
