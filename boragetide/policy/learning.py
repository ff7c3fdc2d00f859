"""Learns the sizes of tasks and the speeds of backend servers from run times.

Both are stored as natural logarithms, because errors of declared sizes and differences
of speed are factors. Speeds are relative to the pool: their mean logarithm is 0.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from boragetide.types import ClassName, Seconds

DEFAULT_SIZE: Seconds = 0.4
MIN_SECONDS: Seconds = 1e-4

# Declared sizes are used unchanged until about this many tasks have ended.
PRIOR_SAMPLES = 10
SIZE_GAIN = 0.005
SPEED_GAIN = 0.03
RECENT_GAIN = 0.25
MAX_LOG_ERROR = 1.4  # a factor of 4
MAX_RATIO = 10.0

# If the recent mean deviates from the long-term mean by more than this many of its
# standard deviations, the recent mean replaces the long-term one. A change by a factor
# of 4 is detected after about three tasks, and a chance deviation rarely passes.
CHANGE_DEVIATIONS = 3.5
_RECENT_DEVIATION = math.sqrt(RECENT_GAIN / (2 - RECENT_GAIN))

# The measured deviation of a class from the speed of a server counts for half once this
# many tasks of the class have ended there, and for more after further tasks.
CLASS_SAMPLES = 20
CENTER_MIN_SAMPLES = 5
CENTER_MIN_SHIFT = 0.02


@dataclass(slots=True)
class SizeModel:
    """Sizes of one class, as a regression on the declared sizes with decaying weights.

    Parameters
    ----------
    mean_declared, mean_size
        Mean logarithms of the declared and of the observed sizes.
    variance_declared, covariance
        Variance of the declared logarithm, and its covariance with the observed one.
        Their quotient shows how far declared sizes can be trusted.
    ratio
        Mean ratio of the observed to the predicted size.
    error_variance
        Mean square error of the predicted logarithm.
    """

    samples: int = PRIOR_SAMPLES
    mean_declared: float = math.log(DEFAULT_SIZE)
    mean_size: float = math.log(DEFAULT_SIZE)
    variance_declared: float = 1.0
    covariance: float = 1.0
    ratio: float = 1.0
    error_variance: float = 0.5
    undeclared_samples: int = 0
    undeclared_mean: float = math.log(DEFAULT_SIZE)


def predict_log_size(model: SizeModel, declared: Seconds | None) -> float:
    """Return the expected logarithm of a task's size at the mean speed of the pool."""
    if declared is None:
        return model.undeclared_mean if model.undeclared_samples else model.mean_size
    slope = model.covariance / max(model.variance_declared, 1e-3)
    slope = min(max(slope, 0.0), 1.0)
    log_declared = math.log(max(declared, MIN_SECONDS))
    return model.mean_size + slope * (log_declared - model.mean_declared)


def predict_size(model: SizeModel, declared: Seconds | None) -> Seconds:
    """Return the expected size of a task, in seconds at the mean speed of the pool."""
    return model.ratio * math.exp(predict_log_size(model, declared))


def observe_size(model: SizeModel, declared: Seconds | None, size: Seconds) -> None:
    """Update the size model of a class with a task that ended.

    Parameters
    ----------
    model
        Size model of the task's class.
    declared
        Declared size in seconds, if any.
    size
        Run time in seconds multiplied by the speed of the backend server.
    """
    log_size = math.log(max(size, MIN_SECONDS))
    error = _clip(log_size - predict_log_size(model, declared), MAX_LOG_ERROR)
    gain = max(1 / (model.samples + 1), SIZE_GAIN)
    model.error_variance += gain * (error * error - model.error_variance)
    model.ratio += gain * (min(math.exp(error), MAX_RATIO) - model.ratio)
    model.samples += 1
    if declared is None:
        model.undeclared_samples += 1
        gain = max(1 / (model.undeclared_samples + 1), SIZE_GAIN)
        model.undeclared_mean += gain * (log_size - model.undeclared_mean)
        return
    from_declared = math.log(max(declared, MIN_SECONDS)) - model.mean_declared
    from_size = log_size - model.mean_size
    model.mean_declared += gain * from_declared
    model.mean_size += gain * from_size
    model.variance_declared += gain * (
        (1 - gain) * from_declared**2 - model.variance_declared
    )
    model.covariance += gain * (
        (1 - gain) * from_declared * from_size - model.covariance
    )


@dataclass(slots=True)
class SpeedModel:
    """Speed of one backend server, with a correction by class.

    Parameters
    ----------
    log_speed
        Slowly moving mean of the logarithm over all classes.
    recent_log_speed
        Quickly moving mean, which serves to detect a change.
    offsets_by_class
        Mean deviation of a class from ``log_speed``, and the number of its samples.
    """

    log_speed: float = 0.0
    recent_log_speed: float = 0.0
    samples: int = 0
    offsets_by_class: dict[ClassName, tuple[float, int]] = field(default_factory=dict)


def predict_speed(model: SpeedModel, class_name: ClassName) -> float:
    """Return the expected speed of a backend server for a class."""
    return math.exp(model.log_speed + _class_offset(model, class_name))


def _class_offset(model: SpeedModel, class_name: ClassName) -> float:
    offset, samples = model.offsets_by_class.get(class_name, (0.0, 0))
    return offset * samples / (samples + CLASS_SAMPLES)


def observe_speed(
    model: SpeedModel,
    class_name: ClassName,
    log_speed: float,
    error_variance: float,
    earlier: float | None = None,
) -> bool:
    """Update a speed with a task that ended or that far exceeds its expected time.

    Parameters
    ----------
    model
        Speed model of the backend server.
    class_name
        Class of the task.
    log_speed
        Expected logarithm of the size minus the logarithm of the run time.
    error_variance
        Mean square error of the expected logarithm of the size.
    earlier
        ``log_speed`` of the last update from the same task while it ran. That update is
        corrected, so that a single long task does not count several times.

    Returns
    -------
    bool
        Whether the speed changed abruptly.
    """
    error = _clip(log_speed - model.log_speed, MAX_LOG_ERROR)
    offset, samples = model.offsets_by_class.get(class_name, (0.0, 0))
    if earlier is None:
        model.samples += 1
        gain = max(1 / (samples + 1), SPEED_GAIN)
        offset += gain * (error - offset)
        model.offsets_by_class[class_name] = (offset, samples + 1)
        model.recent_log_speed += RECENT_GAIN * (
            model.log_speed + error - model.recent_log_speed
        )
        model.log_speed += max(1 / (model.samples + 1), SPEED_GAIN) * error
    else:
        change = error - _clip(earlier - model.log_speed, MAX_LOG_ERROR)
        model.recent_log_speed += RECENT_GAIN * change
        model.log_speed += max(1 / (model.samples + 1), SPEED_GAIN) * change
    if model.samples < PRIOR_SAMPLES:
        model.recent_log_speed = model.log_speed
        return False
    limit = CHANGE_DEVIATIONS * _RECENT_DEVIATION * math.sqrt(max(error_variance, 0.04))
    if abs(model.recent_log_speed - model.log_speed) <= limit:
        return False
    model.log_speed = model.recent_log_speed
    model.samples = PRIOR_SAMPLES // 2
    model.offsets_by_class.clear()
    return True


def center_speeds(speeds: Iterable[SpeedModel], sizes: Iterable[SizeModel]) -> bool:
    """Shift the mean logarithm of the speeds back to 0, and the sizes accordingly.

    Returns
    -------
    bool
        Whether they were shifted; a mean below `CENTER_MIN_SHIFT` is left as it is.
    """
    known = [model for model in speeds if model.samples >= CENTER_MIN_SAMPLES]
    if not known:
        return False
    mean = sum(model.log_speed for model in known) / len(known)
    if abs(mean) < CENTER_MIN_SHIFT:
        return False
    for model in known:
        model.log_speed -= mean
        model.recent_log_speed -= mean
    for size in sizes:
        size.mean_size -= mean
        size.undeclared_mean -= mean if size.undeclared_samples else 0.0
    return True


def _clip(value: float, limit: float) -> float:
    return min(max(value, -limit), limit)
