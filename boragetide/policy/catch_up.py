"""Joining of a member without durable state: it founds the group or catches up.

A member that lost its disk may have cast votes and acknowledged entries that it no
longer knows. It takes no part in elections and replication until enough other members
have sent it their whole state and have promised to ignore all votes and
acknowledgements that it gave before (a fence). Every majority that included the
returning member also contains one of these members.
"""

from __future__ import annotations

from dataclasses import replace

from boragetide.effects import Effect, LogEvent, Persist, SaveSnapshot, Send
from boragetide.log_records import Ballot, Snapshot
from boragetide.messages import (
    CatchUpState,
    FollowLeader,
    LeaderNotice,
    RequestCatchUp,
)
from boragetide.policy.replica import (
    FIRST_ELECTION_MAX,
    FIRST_ELECTION_MIN,
    Replica,
    Role,
    apply_record,
    majority_size,
    make_snapshot,
    merge_fences,
    restore_replica,
    schedule_election,
    step,
)
from boragetide.types import Address, InstanceId, Seconds

REQUEST_INTERVAL = 0.3  # seconds
# A majority of members without durable state founds a group only if no other member,
# which may have durable state, answers within this time.
FOUNDING_WAIT = 2.0  # seconds


def check_catch_up(replica: Replica, now: Seconds) -> list[Effect]:
    """Request the state of all other members, and join as soon as this is safe."""
    if replica.started_at is None:
        replica.started_at = now
    effects: list[Effect] = []
    if now >= replica.next_request:
        replica.next_request = now + REQUEST_INTERVAL
        request = RequestCatchUp(replica.id, replica.incarnation)
        contacts = sorted(_find_contacts(replica))
        effects += [
            Send(Address(contact, "configuration"), request) for contact in contacts
        ]
        effects += [
            _ask_for_members(contact, replica, now)
            for contact in contacts
            if contact not in replica.catch_up_by_id
        ]
    return effects + _try_to_join(replica, now)


def _ask_for_members(contact: InstanceId, replica: Replica, now: Seconds) -> Send:
    """Ask a contact that may have no log and know its members."""
    question = FollowLeader(replica.id, -1, sent_at=now, controller="configuration")
    return Send(Address(contact, "directory"), question)


def _find_contacts(replica: Replica) -> set[InstanceId]:
    """Return the instances to ask: those that the settings or the answers name."""
    contacts = {*replica.settings.initial_members, *replica.contacts}
    for answer in replica.catch_up_by_id.values():
        if answer.held is not None:
            contacts.update(_list_members(replica, answer.held))
    return contacts - {replica.id}


def _list_members(replica: Replica, snapshot: Snapshot) -> tuple[InstanceId, ...]:
    """Return the members according to the durable state of another member."""
    return restore_replica(replica.settings, replica.incarnation, (snapshot,)).members


def _try_to_join(replica: Replica, now: Seconds) -> list[Effect]:
    answers = replica.catch_up_by_id.values()
    snapshots_by_id = {a.sender: a.held for a in answers if a.held is not None}
    founders = replica.settings.initial_members
    blank_by_id = {
        answer.sender: answer.sender_incarnation
        for answer in answers
        if answer.held is None and answer.sender in founders
    }
    blank_by_id[replica.id] = replica.incarnation
    if any(
        state.ballot.founders_by_id.get(replica.id) == replica.incarnation
        for state in snapshots_by_id.values()
    ):
        return _found_group(replica, now, blank_by_id)
    if snapshots_by_id:
        return _try_to_adopt(replica, now, snapshots_by_id)
    if not replica.settings.may_found_group or replica.id not in founders:
        return []
    waited = now - (replica.started_at or now) >= FOUNDING_WAIT
    needed = majority_size(len(founders)) if waited else len(founders)
    return _found_group(replica, now, blank_by_id) if len(blank_by_id) >= needed else []


def _try_to_adopt(
    replica: Replica, now: Seconds, snapshots_by_id: dict[InstanceId, Snapshot]
) -> list[Effect]:
    members = _list_members(
        replica, max(snapshots_by_id.values(), key=_last_log_position)
    )
    snapshots = [state for id_, state in snapshots_by_id.items() if id_ in members]
    # Any majority that included this member shares a member with this many others.
    if len(snapshots) < len(members) - majority_size(len(members)) + 1:
        return []
    return _adopt_state(replica, now, snapshots)


def _found_group(
    replica: Replica, now: Seconds, founders_by_id: dict[str, int]
) -> list[Effect]:
    replica.ballot = Ballot(founders_by_id=founders_by_id)
    _finish_catch_up(replica, now)
    return [Persist((replica.ballot,))]


def _adopt_state(
    replica: Replica, now: Seconds, snapshots: list[Snapshot]
) -> list[Effect]:
    best = max(snapshots, key=_last_log_position)
    fetched = replica.fetched
    apply_record(best, replica)
    replica.fetched = fetched
    # This member may have voted in the newest term before it lost its disk. Recording
    # a vote for itself prevents a second vote in that term.
    term = max(state.ballot.term for state in snapshots)
    replica.ballot = Ballot(term, replica.id)
    for state in snapshots:
        merge_fences(replica, state.ballot.fences_by_id)
    replica.commit = max(state.commit for state in snapshots)
    replica.floor = replica.last_index
    _finish_catch_up(replica, now)
    caught_up = LogEvent("disk_caught_up", {"index": replica.last_index})
    return [SaveSnapshot(make_snapshot(replica)), caught_up]


def _last_log_position(state: Snapshot) -> tuple[int, int]:
    if state.entries:
        return state.entries[-1].term, state.entries[-1].index
    return state.log_start_term, state.log_start


def _finish_catch_up(replica: Replica, now: Seconds) -> None:
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


@step.register
def _(message: LeaderNotice, replica: Replica, now: Seconds) -> list[Effect]:
    """Ask the members that an instance without the log names."""
    if replica.role is Role.BLANK:
        replica.contacts.update(message.members)
    return []
