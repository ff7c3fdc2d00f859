"""Changes of the membership of the log, one member at a time, through the log itself.

An instance with a disk that is not a member follows the leader as a learner: it
receives the log and has no vote. The leader adds learners up to the number of members
that the settings ask for. To replace a silent member, it first adds a learner and then
removes the silent member. In the reverse order, the members left could not spare one:
if another one were lost before the removal is committed, no leader would be elected
even after the silent member is back. A change is appended only while a majority of the
new members answers, because they could otherwise commit nothing any more.

Each change is a log entry and takes effect as soon as it is appended. The next change
waits until this entry is committed, so that majorities of successive memberships always
overlap (Ongaro, "Consensus: Bridging Theory and Practice", section 4.1).
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Any

from boragetide.commands import ChangeMembers, Proposal
from boragetide.effects import Effect, LogEvent, Send
from boragetide.messages import JoinRequest
from boragetide.policy.replica import (
    Progress,
    Replica,
    Role,
    majority_size,
    step,
)
from boragetide.policy.replication import append_proposals
from boragetide.types import Address, InstanceId, Seconds

JOIN_INTERVAL: Seconds = 0.5
# A learner that has not asked to join for this long is dropped.
LEARNER_SILENCE: Seconds = 2.0
# A member that was silent for this long is replaced. This is longer than an election
# and a restart, and shorter than the 4 s after which the next loss must be tolerated.
MEMBER_SILENCE: Seconds = 2.5
# A member that has not answered for this long, several heartbeats, may be lost.
MAX_ANSWER_AGE: Seconds = 0.4


def ask_to_join(replica: Replica, now: Seconds) -> list[Effect]:
    """Ask the members to replicate the log to this instance, which is not a member."""
    if now < replica.next_request:
        return []
    replica.next_request = now + JOIN_INTERVAL
    request = JoinRequest(replica.id)
    return [
        Send(Address(member, "configuration"), request) for member in replica.others
    ]


@step.register
def _(message: JoinRequest, replica: Replica, now: Seconds) -> list[Effect]:
    return register_learner(replica, message.sender, now, message.forwarded)


def register_learner(
    replica: Replica, learner: InstanceId, now: Seconds, forwarded: bool = False
) -> list[Effect]:
    """Replicate to an instance that is not a member, or tell the leader about it."""
    if learner in replica.members:
        return []
    if replica.role is Role.LEADER:
        replica.learners_by_id[learner] = now
        if learner in replica.progress_by_id:
            return []
        replica.progress_by_id[learner] = Progress(replica.last_index + 1, now)
        return [LogEvent("learner_found", {"learner": learner})]
    if forwarded or replica.leader in (None, replica.id):
        return []
    request = JoinRequest(learner, forwarded=True)
    return [Send(Address(replica.leader, "configuration"), request)]


def propose_member_change(replica: Replica, now: Seconds) -> list[Effect]:
    """Propose the next change of the members if one is due; for the leader only."""
    _drop_silent_learners(replica, now)
    if not replica.settings.member_count or _is_change_pending(replica):
        return []
    silent = [
        member
        for member in replica.others
        if now - replica.progress_by_id[member].heard_at > MEMBER_SILENCE
    ]
    ready = [
        learner
        for learner in sorted(replica.learners_by_id)
        if replica.progress_by_id[learner].match_index >= replica.commit
    ]
    members = choose_members(
        replica.members, replica.settings.member_count, silent, ready, replica.id
    )
    # The first change records the members of the settings, because an instance that
    # loses its disk may by then find other instances named in its settings.
    if members == replica.members and replica.catalogue.members:
        return []
    if not _can_commit(replica, members, now):
        return []
    before = replica.members
    command_id = f"members {replica.ballot.term}:{replica.last_index + 1}"
    proposal = Proposal(command_id, ChangeMembers(members))
    effects = append_proposals(replica, (proposal,), now)
    _track_progress(replica, now)
    fields = {"before": before, "after": members, "silent": silent}
    return [LogEvent("members_changed", fields), *effects]


def choose_members(
    members: tuple[InstanceId, ...],
    count: int,
    silent: Collection[InstanceId],
    ready: Collection[InstanceId],
    leader: InstanceId,
) -> tuple[InstanceId, ...]:
    """Return the members after the next change, which differ by one member at most.

    Parameters
    ----------
    count
        Number of members that the log should have. It has one more between the two
        changes that replace a silent member.
    silent
        Members that have not answered for `MEMBER_SILENCE`.
    ready
        Learners that have all committed entries.
    leader
        Member that is never removed.

    Examples
    --------
    >>> choose_members(("a", "b", "c"), 3, ["c"], ["d"], "a")
    ('a', 'b', 'c', 'd')
    >>> choose_members(("a", "b", "c", "d"), 3, ["c"], [], "a")
    ('a', 'b', 'd')
    """
    if len(members) > count:
        surplus = _choose_surplus(members, silent, leader)
        return tuple(member for member in members if member != surplus)
    if ready and (silent or len(members) < count):
        return tuple(sorted((*members, next(iter(ready)))))
    return members


def _choose_surplus(
    members: tuple[InstanceId, ...],
    silent: Collection[InstanceId],
    leader: InstanceId,
) -> InstanceId:
    """Return the member to remove: a silent one, or any other than the leader."""
    if silent:
        return next(iter(silent))
    return max(member for member in members if member != leader)


def _can_commit(
    replica: Replica, members: Collection[InstanceId], now: Seconds
) -> bool:
    """Return whether a majority of the members, with this leader, answers."""
    answering = [
        member
        for member in members
        if member == replica.id
        or now - replica.progress_by_id[member].heard_at <= MAX_ANSWER_AGE
    ]
    return len(answering) >= majority_size(len(members))


def _is_change_pending(replica: Replica) -> bool:
    """Return whether the last change or the first entry of the term is uncommitted."""
    if not replica.knows_committed:
        return True
    uncommitted = replica.log[replica.commit - replica.log_start :]
    return any(entry.changes_members for entry in uncommitted)


def _track_progress(replica: Replica, now: Seconds) -> None:
    """Track the progress of the members and learners, and of no other instance."""
    for member in replica.others:
        replica.learners_by_id.pop(member, None)
        replica.progress_by_id.setdefault(member, Progress(replica.last_index + 1, now))
    _retain_only(replica.progress_by_id, {*replica.others, *replica.learners_by_id})


def _drop_silent_learners(replica: Replica, now: Seconds) -> None:
    active = {
        learner
        for learner, asked_at in replica.learners_by_id.items()
        if now - asked_at <= LEARNER_SILENCE
    }
    if len(active) < len(replica.learners_by_id):
        _retain_only(replica.learners_by_id, active)
        _retain_only(replica.progress_by_id, {*replica.others, *active})


def _retain_only(by_id: Mapping[InstanceId, Any], kept: set[InstanceId]) -> None:
    for instance in by_id.keys() - kept:
        del by_id[instance]
