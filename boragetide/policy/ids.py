"""Creation and interpretation of job ids that the system generates."""

from __future__ import annotations

import re
from dataclasses import dataclass

from boragetide.policy.routing import ZONE_SEPARATOR
from boragetide.settings import Settings
from boragetide.types import MAX_CLOCK_SKEW, InstanceId, JobId, Seconds, ZoneId

_GENERATED_ID = re.compile(r"([^:]+):([^:]+):(\d{1,15}):(\d{1,20})")


@dataclass(frozen=True, slots=True)
class GeneratedId:
    """Parts of a generated id; ``generated_at`` is Unix time on its instance."""

    zone: ZoneId
    instance: InstanceId
    generated_at: Seconds


def generate_job_id(settings: Settings, now: Seconds, counter: int) -> JobId:
    """Return a new job id whose home zone is the zone of this instance.

    Parameters
    ----------
    now
        Unix time in seconds.
    counter
        Number that is different for each id that this process generates.
    """
    parts = (settings.zone, settings.id, str(int(now * 1000)), str(counter))
    return ZONE_SEPARATOR.join(parts)


def parse_generated_id(job_id: JobId, settings: Settings) -> GeneratedId | None:
    """Return the parts of a generated id, or ``None`` if the caller chose the id."""
    match = _GENERATED_ID.fullmatch(job_id)
    if match is None or match[2] not in settings.peers_by_id:
        return None
    if settings.peers_by_id[match[2]].zone != match[1]:
        return None
    return GeneratedId(match[1], match[2], int(match[3]) / 1000)


def is_generated_in_future(job_id: JobId, settings: Settings, now: Seconds) -> bool:
    """Return whether a generated id is further in the future than clocks can differ."""
    generated = parse_generated_id(job_id, settings)
    return generated is not None and generated.generated_at > now + MAX_CLOCK_SKEW


def is_generated_after(job_id: JobId, settings: Settings, moment: Seconds) -> bool:
    """Return whether an id was certainly generated after ``moment`` by this clock."""
    generated = parse_generated_id(job_id, settings)
    return generated is not None and generated.generated_at > moment + MAX_CLOCK_SKEW


def is_past_window(job_id: JobId, settings: Settings, now: Seconds) -> bool:
    """Return whether a generated id is older than the resubmission window.

    An acceptor keeps a claim longer than the window plus `MAX_CLOCK_SKEW`, so that it
    never drops the claim of a generated id before this function is true for the id.
    """
    generated = parse_generated_id(job_id, settings)
    window = settings.timing.resubmission_window
    return generated is not None and now >= generated.generated_at + window
