"""How a member without durable state joins: it founds the group or catches up.

A member that lost its disk may have voted and acknowledged entries that it no longer
knows. It takes no part until enough other members have told it everything they hold
and have promised to count nothing that it said before (a fence). Every majority that
relied on it contains one of these members.
"""

from __future__ import annotations

from dataclasses import replace

from boragetide.commands import Ballot, Snapshot
from boragetide.effects import Effect, LogEvent, Persist, SaveSnapshot, Send
from boragetide.messages import CatchUpState, RequestCatchUp
from boragetide.policy.replica import (
    FIRST_ELECTION_MAX,
    FIRST_ELECTION_MIN,
    Replica,
    Role,
    load,
    make_snapshot,
    merge_fences,
    schedule_election,
    step,
)
from boragetide.types import Address, Seconds

REQUEST_INTERVAL = 0.3  # seconds
# A majority without durable state founds a group only if no other member, which may
# hold one, is heard in this time.
FOUNDING_WAIT = 2.0  # seconds


def check_catch_up(replica: Replica, now: Seconds) -> list[Effect]:
    """Ask all other members for their state and take part as soon as it is safe."""
    if replica.started_at is None:
        replica.started_at = now
    effects: list[Effect] = []
    if now >= replica.next_request:
        replica.next_request = now + REQUEST_INTERVAL
        request = RequestCatchUp(replica.id, replica.incarnation)
        effects += [
            Send(Address(member, "configuration"), request) for member in replica.others
        ]
    return effects + _try_to_join(replica, now)


def _try_to_join(replica: Replica, now: Seconds) -> list[Effect]:
    answers = replica.catch_up_by_id.values()
    held = [answer.held for answer in answers if answer.held is not None]
    blank = {a.sender: a.sender_incarnation for a in answers if a.held is None}
    blank[replica.id] = replica.incarnation
    members = len(replica.settings.disk_ids)
    if any(
        state.ballot.founders_by_id.get(replica.id) == replica.incarnation
        for state in held
    ):
        return _found(replica, now, blank)
    # Any majority minus this member overlaps with so many others.
    if held and len(held) >= members - replica.quorum + 1:
        return _adopt(replica, now, held)
    if not replica.settings.may_found:
        return []
    waited = now - (replica.started_at or now) >= FOUNDING_WAIT
    if len(blank) == members or (waited and not held and len(blank) >= replica.quorum):
        return _found(replica, now, blank)
    return []


def _found(
    replica: Replica, now: Seconds, founders_by_id: dict[str, int]
) -> list[Effect]:
    replica.ballot = Ballot(founders_by_id=founders_by_id)
    _take_part(replica, now)
    return [Persist((replica.ballot,))]


def _adopt(replica: Replica, now: Seconds, held: list[Snapshot]) -> list[Effect]:
    best = max(held, key=_rank_log)
    fetched = replica.fetched
    load(best, replica)
    replica.fetched = fetched
    # It may have voted in the newest term; its own vote keeps it from voting again.
    term = max(state.ballot.term for state in held)
    replica.ballot = Ballot(term, replica.id)
    for state in held:
        merge_fences(replica, state.ballot.fences_by_id)
    replica.commit = max(state.commit for state in held)
    replica.floor = replica.last_index
    _take_part(replica, now)
    caught_up = LogEvent("disk_caught_up", {"index": replica.last_index})
    return [SaveSnapshot(make_snapshot(replica)), caught_up]


def _rank_log(state: Snapshot) -> tuple[int, int]:
    if state.entries:
        return state.entries[-1].term, state.entries[-1].index
    return state.log_start_term, state.log_start


def _take_part(replica: Replica, now: Seconds) -> None:
    replica.role = Role.FOLLOWER
    replica.catch_up_by_id = {}
    schedule_election(replica, now, FIRST_ELECTION_MIN, FIRST_ELECTION_MAX)


@step.register
def _(message: RequestCatchUp, replica: Replica, now: Seconds) -> list[Effect]:
    effects: list[Effect] = []
    held = None
    if replica.role is not Role.BLANK:
        before = replica.ballot
        merge_fences(replica, {message.sender: message.incarnation})
        if replica.ballot != before:
            effects.append(Persist((replica.ballot,)))
        held = replace(make_snapshot(replica), fetched=None)
    state = CatchUpState(replica.id, replica.incarnation, message.incarnation, held)
    return [*effects, Send(Address(message.sender, "configuration"), state)]


@step.register
def _(message: CatchUpState, replica: Replica, now: Seconds) -> list[Effect]:
    if replica.role is not Role.BLANK or message.for_incarnation != replica.incarnation:
        return []
    replica.catch_up_by_id[message.sender] = message
    return _try_to_join(replica, now)
