"""Claims of one home zone that an acceptor holds, and the progress of its catch-up."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import islice
from typing import TypeAlias

from sortedcontainers import SortedSet

from boragetide.policy.claiming import is_expired
from boragetide.types import Claim, InstanceId, JobId, Seconds, ZoneId

ClaimKey: TypeAlias = tuple[Seconds, JobId]


@dataclass(slots=True)
class Fetch:
    """Progress of fetching the claims of one other acceptor.

    Parameters
    ----------
    incarnation
        Incarnation of the other acceptor. The fetch starts again when that acceptor
        restarts.
    after
        The last claim received.
    asked_at
        Unix time at which the next page was requested.
    done
        Whether the last page was received.
    """

    incarnation: int = 0
    after: Claim | None = None
    asked_at: Seconds | None = None
    done: bool = False
    claims_by_id: dict[JobId, Claim] = field(default_factory=dict)
    disputed_until_by_id: dict[JobId, Seconds] = field(default_factory=dict)

    def restart(self) -> None:
        """Discard everything that was fetched."""
        self.after = None
        self.asked_at = None
        self.done = False
        self.claims_by_id = {}
        self.disputed_until_by_id = {}


@dataclass(slots=True)
class ClaimTable:
    """Claims whose home is one zone.

    Parameters
    ----------
    group
        The claim group of the zone, this instance included.
    complete
        Whether this acceptor holds all unexpired claims that it granted in earlier
        incarnations.
    keys
        Keys of the claims in the order in which they expire.
    disputed_until_by_id
        Ids for which the other members hold claims of different owners, with the time
        of expiry. This acceptor no longer knows its own grant, which may have decided
        for any of these owners.
    """

    zone: ZoneId
    group: tuple[InstanceId, ...]
    complete: bool = False
    claims_by_id: dict[JobId, Claim] = field(default_factory=dict)
    keys: SortedSet = field(default_factory=SortedSet)
    disputed_until_by_id: dict[JobId, Seconds] = field(default_factory=dict)
    fetches_by_member: dict[InstanceId, Fetch] = field(default_factory=dict)


def add_claim(table: ClaimTable, claim: Claim) -> None:
    """Add a claim, replacing any other claim on its id."""
    drop_claim(table, claim.id)
    table.claims_by_id[claim.id] = claim
    table.keys.add((claim.claimed_at, claim.id))


def drop_claim(table: ClaimTable, job_id: JobId) -> None:
    """Remove the claim on an id, if there is one."""
    held = table.claims_by_id.pop(job_id, None)
    if held is not None:
        table.keys.discard((held.claimed_at, job_id))


def expire_claims(table: ClaimTable, window: Seconds, now: Seconds) -> int:
    """Drop the claims that have expired and return their number."""
    dropped = 0
    while table.keys:
        claim = table.claims_by_id[table.keys[0][1]]
        if not is_expired(claim, window, now):
            break
        drop_claim(table, claim.id)
        dropped += 1
    for job_id, until in list(table.disputed_until_by_id.items()):
        if now >= until:
            del table.disputed_until_by_id[job_id]
    return dropped


def read_page(
    table: ClaimTable, after: Claim | None, size: int
) -> tuple[tuple[Claim, ...], bool]:
    """Return up to ``size`` claims that follow ``after``, and whether they are last.

    If ``after`` is ``None``, the page starts at the first claim.
    """
    start = None if after is None else (after.claimed_at, after.id)
    keys = list(islice(table.keys.irange(start, inclusive=(False, True)), size + 1))
    claims = tuple(table.claims_by_id[job_id] for _, job_id in keys[:size])
    return claims, len(keys) <= size


def merge_fetched(table: ClaimTable, lifetime: Seconds) -> None:
    """Add the claims fetched from all other members; own grants are not replaced.

    Parameters
    ----------
    lifetime
        Seconds after ``claimed_at`` at which a claim expires.
    """
    claims_by_id: dict[JobId, list[Claim]] = {}
    for fetch in table.fetches_by_member.values():
        for job_id, claim in fetch.claims_by_id.items():
            claims_by_id.setdefault(job_id, []).append(claim)
        table.disputed_until_by_id.update(fetch.disputed_until_by_id)
    for job_id, claims in claims_by_id.items():
        if job_id in table.claims_by_id or job_id in table.disputed_until_by_id:
            continue
        newest = max(claims, key=lambda claim: claim.claimed_at)
        if len({(claim.owner, claim.owner_incarnation) for claim in claims}) > 1:
            table.disputed_until_by_id[job_id] = newest.claimed_at + lifetime
        else:
            add_claim(table, newest)
    table.fetches_by_member.clear()
