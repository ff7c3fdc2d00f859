"""Catch-up of a restarted acceptor, which fetches its claims from the other members."""

from __future__ import annotations

from boragetide.controllers.claim_table import (
    ClaimTable,
    Fetch,
    merge_fetched,
    read_page,
)
from boragetide.messages import ClaimsPage, FetchClaims
from boragetide.policy.claiming import claim_lifetime
from boragetide.settings import Settings
from boragetide.types import MAX_CLOCK_SKEW, InstanceId, Seconds

PAGE_SIZE = 1000  # claims; about 100 KB
FETCH_RETRY_DELAY: Seconds = 1.0


def answer_fetch(
    table: ClaimTable, message: FetchClaims, own_id: InstanceId, incarnation: int
) -> ClaimsPage:
    """Return the page of claims that another acceptor requests."""
    claims, last = read_page(table, message.after, PAGE_SIZE)
    return ClaimsPage(
        zone=table.zone,
        sender=own_id,
        incarnation=incarnation,
        after=message.after,
        claims=claims if table.complete else (),
        complete=table.complete,
        last=last,
        for_incarnation=message.incarnation,
        disputed_until_by_id=dict(table.disputed_until_by_id) if last else {},
    )


def select_members_to_ask(
    table: ClaimTable, own_id: InstanceId, now: Seconds
) -> list[InstanceId]:
    """Return the other members from which the next page is to be requested now."""
    chosen = []
    for member in table.group:
        if member == own_id:
            continue
        fetch = table.fetches_by_member.setdefault(member, Fetch())
        waited = fetch.asked_at is None or now - fetch.asked_at >= FETCH_RETRY_DELAY
        if waited and not fetch.done:
            chosen.append(member)
    return chosen


def store_page(table: ClaimTable, page: ClaimsPage, now: Seconds) -> bool:
    """Store a page; return whether the next one is to be requested now.

    The pages of one member must all come from one incarnation: a member that restarts
    in between may have lost claims that the next pages would have contained.
    """
    fetch = table.fetches_by_member.get(page.sender)
    if fetch is None or page.incarnation < fetch.incarnation:
        return False
    if page.incarnation > fetch.incarnation:
        fetch.restart()
        fetch.incarnation = page.incarnation
    if not page.complete or page.after != fetch.after or fetch.done:
        return False
    for claim in page.claims:
        fetch.claims_by_id[claim.id] = claim
    fetch.disputed_until_by_id.update(page.disputed_until_by_id)
    if page.claims:
        fetch.after = page.claims[-1]
    fetch.done = page.last
    return not page.last


def has_fetched_from_all(table: ClaimTable, own_id: InstanceId) -> bool:
    """Return whether every other member of the group has sent all its claims."""
    others = [member for member in table.group if member != own_id]
    return bool(others) and all(
        member in table.fetches_by_member and table.fetches_by_member[member].done
        for member in others
    )


def adopt_fetched_claims(table: ClaimTable, settings: Settings) -> None:
    """Add the claims that were fetched from the other members to the table."""
    merge_fetched(table, claim_lifetime(settings.timing.resubmission_window))


def has_window_passed(incarnation: int, settings: Settings, now: Seconds) -> bool:
    """Return whether every claim granted before the start of this process has expired.

    The claimant's clock may have been ahead of this one by up to `MAX_CLOCK_SKEW`.
    """
    lifetime = claim_lifetime(settings.timing.resubmission_window)
    return now > incarnation / 1000 + lifetime + MAX_CLOCK_SKEW
