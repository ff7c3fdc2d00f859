"""Creation and interpretation of job ids that the system mints."""

from __future__ import annotations

import re
from dataclasses import dataclass

from boragetide.policy.routing import ZONE_SEPARATOR
from boragetide.settings import Settings
from boragetide.types import MAX_CLOCK_SKEW, InstanceId, JobId, Seconds, ZoneId

_MINTED = re.compile(r"([^:]+):([^:]+):(\d{1,15}):(\d{1,20})")


@dataclass(frozen=True, slots=True)
class MintedId:
    """Parts of a minted id; ``minted_at`` is Unix time on the minting instance."""

    zone: ZoneId
    instance: InstanceId
    minted_at: Seconds


def mint_id(settings: Settings, now: Seconds, counter: int) -> JobId:
    """Return a new job id whose home zone is the zone of this instance.

    Parameters
    ----------
    now
        Unix time in seconds.
    counter
        Number that is different for each id that this process mints.
    """
    parts = (settings.zone, settings.id, str(int(now * 1000)), str(counter))
    return ZONE_SEPARATOR.join(parts)


def parse_minted(job_id: JobId, settings: Settings) -> MintedId | None:
    """Return the parts of a minted id, or ``None`` if the caller chose the id."""
    match = _MINTED.fullmatch(job_id)
    if match is None or match[2] not in settings.peers_by_id:
        return None
    if settings.peers_by_id[match[2]].zone != match[1]:
        return None
    return MintedId(match[1], match[2], int(match[3]) / 1000)


def is_minted_later(job_id: JobId, settings: Settings, now: Seconds) -> bool:
    """Return whether a minted id is further in the future than clocks can differ."""
    minted = parse_minted(job_id, settings)
    return minted is not None and minted.minted_at > now + MAX_CLOCK_SKEW


def is_minted_after(job_id: JobId, settings: Settings, moment: Seconds) -> bool:
    """Return whether an id was certainly minted after ``moment`` by this clock."""
    minted = parse_minted(job_id, settings)
    return minted is not None and minted.minted_at > moment + MAX_CLOCK_SKEW


def is_past_window(job_id: JobId, settings: Settings, now: Seconds) -> bool:
    """Return whether a minted id is older than the resubmission window.

    An acceptor keeps a claim longer than the window plus `MAX_CLOCK_SKEW`, so that it
    never drops the claim of a minted id before this function is true for the id.
    """
    minted = parse_minted(job_id, settings)
    window = settings.timing.resubmission_window
    return minted is not None and now >= minted.minted_at + window
