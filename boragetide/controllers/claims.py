"""Controller of the claims that this instance has granted as an acceptor."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch
from typing import Any

from boragetide.commands import RegisterAcceptor
from boragetide.controllers import catch_up
from boragetide.controllers.claim_table import ClaimTable, add_claim, expire_claims
from boragetide.effects import (
    Count,
    Effect,
    LogEvent,
    Persist,
    Reply,
    SaveSnapshot,
    Send,
)
from boragetide.messages import (
    AcceptorRegistered,
    AcceptorState,
    ClaimAndSubmit,
    ClaimReply,
    ClaimRequest,
    ClaimsPage,
    ClaimsRecovered,
    ClaimStatus,
    DescribeAcceptor,
    Drain,
    DrainState,
    FetchClaims,
    LookUpClaim,
    Propose,
    SaveClaims,
    SavedClaims,
    StopRequested,
    SubmitJob,
    Tick,
    WokeUp,
)
from boragetide.policy import ids
from boragetide.policy.claiming import Decided, decide_claim, is_expired, is_too_late
from boragetide.policy.routing import find_claim_group, find_home_zone
from boragetide.settings import Settings
from boragetide.types import Address, Claim, InstanceId, JobId, Seconds, ZoneId

# The journal of a claim group with one member is replaced by a snapshot when it has
# this many more records than there are claims.
MAX_SURPLUS_RECORDS = 10_000


@dataclass(slots=True)
class ClaimsState:
    """State of one acceptor.

    Parameters
    ----------
    tables_by_zone
        One table per claim group that this instance belongs to.
    restarts_by_id
        Newest known incarnation of each acceptor that fetched claims from this one or
        from which this one fetched claims.
    journal_records
        Number of claims in the journal.
    registration_proposed
        Whether the registration of this acceptor was proposed to the configuration.
    snapshot_saved
        Whether the snapshot of a planned stop was written. The claims may not change
        after that.
    """

    settings: Settings
    incarnation: int
    tables_by_zone: dict[ZoneId, ClaimTable] = field(default_factory=dict)
    restarts_by_id: dict[InstanceId, int] = field(default_factory=dict)
    journal_records: int = 0
    registration_proposed: bool = False
    snapshot_saved: bool = False

    def __post_init__(self) -> None:
        for zone in self.settings.zones:
            group = find_claim_group(zone, self.settings)
            if self.settings.id in group:
                self.tables_by_zone[zone] = ClaimTable(zone, group)


def read_journal(records: tuple[Any, ...]) -> ClaimsRecovered:
    """Convert the records of the journal into the first message to handle."""
    snapshots = [record for record in records if isinstance(record, SavedClaims)]
    claims = tuple(record for record in records if isinstance(record, Claim))
    return ClaimsRecovered(snapshots[-1] if snapshots else None, claims)


@singledispatch
def handle(message: Any, state: ClaimsState, now: Seconds) -> list[Effect]:
    """Apply one message to the acceptor."""
    raise TypeError(f"claims controller cannot handle {message!r}")


@handle.register
def _(message: ClaimRequest, state: ClaimsState, now: Seconds) -> list[Effect]:
    reply, effects = _grant(message, state, now)
    return [*effects, Reply(message.reply_to, reply)]


@handle.register
def _(message: ClaimAndSubmit, state: ClaimsState, now: Seconds) -> list[Effect]:
    """Complete the quorum with this acceptor's grant and, as the owner, run the job.

    If the quorum is not complete or decides for another owner, only the reply of this
    acceptor is returned.
    """
    own, effects = _grant(message, state, now)
    replies = {**message.replies_by_acceptor, state.settings.id: own}
    group = find_claim_group(
        find_home_zone(message.claim.id, state.settings), state.settings
    )
    step = decide_claim(message.claim, group, replies)
    if not isinstance(step, Decided) or step.claim.owner != state.settings.id:
        return [*effects, Reply(message.reply_to, own)]
    submit = SubmitJob(
        submission=message.submission,
        claim=step.claim,
        refusals=message.refusals,
        reply_to=message.reply_to,
    )
    return [*effects, Send(Address(state.settings.id, "jobs"), submit)]


def _grant(
    message: ClaimRequest | ClaimAndSubmit, state: ClaimsState, now: Seconds
) -> tuple[ClaimReply, list[Effect]]:
    """Grant a claim unless one is held or may have been, or the request is too late."""
    claim = message.claim
    window = state.settings.timing.resubmission_window
    table = _find_table(claim.id, state)
    held = _find_held(claim.id, state, now)
    if held is not None:
        return _reply(ClaimStatus.HELD, held, state), []
    too_late = is_too_late(claim, message.asked_at, window, now)
    if table is None or too_late or not _knows_all_grants(claim.id, table, state, now):
        return _reply(ClaimStatus.INCOMPLETE, None, state), []
    add_claim(table, claim)
    effects: list[Effect] = []
    if _is_journaled(table, state):
        effects.append(Persist((claim,)))
        state.journal_records += 1
    return _reply(ClaimStatus.GRANTED, claim, state), effects


def _is_journaled(table: ClaimTable, state: ClaimsState) -> bool:
    """Return whether claims are journaled because no other acceptor holds them."""
    return len(table.group) == 1 and state.settings.data_folder is not None


def _find_table(job_id: JobId, state: ClaimsState) -> ClaimTable | None:
    return state.tables_by_zone.get(find_home_zone(job_id, state.settings))


def _find_held(job_id: JobId, state: ClaimsState, now: Seconds) -> Claim | None:
    table = _find_table(job_id, state)
    held = table.claims_by_id.get(job_id) if table is not None else None
    window = state.settings.timing.resubmission_window
    return None if held is None or is_expired(held, window, now) else held


def _knows_all_grants(
    job_id: JobId, table: ClaimTable, state: ClaimsState, now: Seconds
) -> bool:
    """Return whether this acceptor certainly never granted an id it does not hold."""
    settings = state.settings
    if state.snapshot_saved or job_id in table.disputed_until_by_id:
        return False
    if ids.is_past_window(job_id, settings, now):
        return False
    if ids.is_generated_in_future(job_id, settings, now):
        return False
    started_at = state.incarnation / 1000
    return table.complete or ids.is_generated_after(job_id, settings, started_at)


def _reply(status: ClaimStatus, claim: Claim | None, state: ClaimsState) -> ClaimReply:
    return ClaimReply(status, claim, state.incarnation, dict(state.restarts_by_id))


@handle.register
def _(message: LookUpClaim, state: ClaimsState, now: Seconds) -> list[Effect]:
    table = _find_table(message.id, state)
    held = _find_held(message.id, state, now)
    if held is not None:
        status = ClaimStatus.HELD
    elif table is not None and _knows_all_grants(message.id, table, state, now):
        status = ClaimStatus.NOT_HELD
    else:
        status = ClaimStatus.INCOMPLETE
    return [Reply(message.reply_to, _reply(status, held, state))]


@handle.register
def _(message: FetchClaims, state: ClaimsState, now: Seconds) -> list[Effect]:
    table = state.tables_by_zone.get(message.zone)
    if table is None or state.snapshot_saved:
        return []
    _record_incarnation(message.sender, message.incarnation, state)
    page = catch_up.answer_fetch(table, message, state.settings.id, state.incarnation)
    return [Send(Address(message.sender, "claims"), page)]


@handle.register
def _(message: ClaimsPage, state: ClaimsState, now: Seconds) -> list[Effect]:
    table = state.tables_by_zone.get(message.zone)
    if table is None or table.complete or state.snapshot_saved:
        return []
    if message.for_incarnation != state.incarnation:
        # The sender may have granted claims since it answered an earlier process.
        return []
    _record_incarnation(message.sender, message.incarnation, state)
    more = catch_up.store_page(table, message, now)
    if more:
        return [_ask_page(message.sender, table, state, now)]
    if not catch_up.has_fetched_from_all(table, state.settings.id):
        return []
    catch_up.adopt_fetched_claims(table, state.settings)
    return _mark_complete(table, "caught_up", state)


def _record_incarnation(
    member: InstanceId, incarnation: int, state: ClaimsState
) -> None:
    known = state.restarts_by_id.get(member, 0)
    state.restarts_by_id[member] = max(known, incarnation)


def _ask_page(
    member: InstanceId, table: ClaimTable, state: ClaimsState, now: Seconds
) -> Effect:
    fetch = table.fetches_by_member[member]
    fetch.asked_at = now
    request = FetchClaims(table.zone, state.settings.id, state.incarnation, fetch.after)
    return Send(Address(member, "claims"), request)


def _mark_complete(table: ClaimTable, reason: str, state: ClaimsState) -> list[Effect]:
    table.complete = True
    table.fetches_by_member.clear()
    fields = {"zone": table.zone, "reason": reason, "claims": len(table.claims_by_id)}
    effects: list[Effect] = [LogEvent("acceptor_complete", fields)]
    if _is_journaled(table, state):
        effects.append(_make_snapshot(state, clean=False))
    return effects


@handle.register
def _(message: AcceptorRegistered, state: ClaimsState, now: Seconds) -> list[Effect]:
    if not message.first or state.snapshot_saved:
        return []
    effects: list[Effect] = []
    for table in state.tables_by_zone.values():
        if not table.complete:
            effects += _mark_complete(table, "first_registration", state)
    return effects


@handle.register
def _(message: ClaimsRecovered, state: ClaimsState, now: Seconds) -> list[Effect]:
    """Restore the claims on disk if no later ones can have been granted."""
    snapshot = message.snapshot
    if snapshot is None:
        return []
    effects: list[Effect] = []
    for member, incarnation in snapshot.restarts_by_id.items():
        _record_incarnation(member, incarnation, state)
    for claim in (*snapshot.claims, *message.claims):
        table = _find_table(claim.id, state)
        if table is not None and (snapshot.clean or len(table.group) == 1):
            add_claim(table, claim)
    for zone in snapshot.complete_zones:
        table = state.tables_by_zone.get(zone)
        if table is not None and (snapshot.clean or len(table.group) == 1):
            effects += _mark_complete(table, "on_disk", state)
    if snapshot.clean:
        effects.append(_make_snapshot(state, clean=False))
    return effects


def _make_snapshot(state: ClaimsState, *, clean: bool) -> Effect:
    """Replace the journal by a snapshot.

    Only a clean snapshot contains the claims of groups with several members. Disputes
    are not saved: a zone with disputes must catch up again after a restart.
    """
    tables = [
        table
        for table in state.tables_by_zone.values()
        if clean or len(table.group) == 1
    ]
    claims = tuple(claim for table in tables for claim in table.claims_by_id.values())
    zones = tuple(
        table.zone
        for table in tables
        if table.complete and not table.disputed_until_by_id
    )
    state.journal_records = len(claims)
    return SaveSnapshot(SavedClaims(claims, zones, dict(state.restarts_by_id), clean))


@handle.register
def _(message: SaveClaims, state: ClaimsState, now: Seconds) -> list[Effect]:
    """Write the claims and grant no more, so that all granted claims are on disk."""
    effects: list[Effect] = []
    if state.settings.data_folder is not None and not state.snapshot_saved:
        state.snapshot_saved = True
        effects.append(_make_snapshot(state, clean=True))
    return [*effects, Reply(message.reply_to, DrainState(0))]


@handle.register
def _(message: DescribeAcceptor, state: ClaimsState, now: Seconds) -> list[Effect]:
    complete = all(table.complete for table in state.tables_by_zone.values())
    return [Reply(message.reply_to, AcceptorState(complete))]


@handle.register
def _(message: Drain, state: ClaimsState, now: Seconds) -> list[Effect]:
    return [Reply(message.reply_to, DrainState(0))]


@handle.register
def _(message: Tick, state: ClaimsState, now: Seconds) -> list[Effect]:
    if state.snapshot_saved:
        return []
    effects = _register(state)
    window = state.settings.timing.resubmission_window
    for table in state.tables_by_zone.values():
        dropped = expire_claims(table, window, now)
        if dropped:
            effects.append(Count("claims_expired", {}, dropped))
        if table.complete:
            continue
        if catch_up.has_window_passed(state.incarnation, state.settings, now):
            effects += _mark_complete(table, "window_passed", state)
            continue
        for member in catch_up.select_members_to_ask(table, state.settings.id, now):
            effects.append(_ask_page(member, table, state, now))
    held = sum(len(table.claims_by_id) for table in state.tables_by_zone.values())
    if state.journal_records > held + MAX_SURPLUS_RECORDS:
        effects.append(_make_snapshot(state, clean=False))
    return effects


def _register(state: ClaimsState) -> list[Effect]:
    """Propose the registration of this acceptor once.

    `AcceptorRegistered` reports whether this is its first incarnation.
    """
    if state.registration_proposed:
        return []
    state.registration_proposed = True
    own = state.settings.id
    command = RegisterAcceptor(own, state.incarnation)
    return [Send(Address(own, "configuration"), Propose(command=command))]


@handle.register(WokeUp)
@handle.register(StopRequested)
def _(message: Any, state: ClaimsState, now: Seconds) -> list[Effect]:
    return []
