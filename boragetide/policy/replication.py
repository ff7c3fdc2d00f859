"""Replication of the log from the leader to the other members."""

from __future__ import annotations

from collections.abc import Iterable

from boragetide.commands import Proposal
from boragetide.effects import Effect, LogEvent, Persist, SaveSnapshot, Send
from boragetide.log_records import CommitIndex, LogEntry
from boragetide.messages import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    StandForElection,
)
from boragetide.policy.catalogue import copy_catalogue
from boragetide.policy.replica import (
    ELECTION_MAX,
    Progress,
    Replica,
    Role,
    adopt_term,
    become_follower,
    is_commit_recoverable,
    is_fenced,
    make_snapshot,
    merge_fences,
    schedule_election,
    step,
    truncate_and_append,
)
from boragetide.types import Address, InstanceId, Seconds

LEADER_HEARTBEAT = 0.15  # seconds
LEADER_HEARTBEAT_JITTER = 0.1  # share of the heartbeat interval
BATCH_ENTRIES = 64  # log entries in one message


def become_leader(replica: Replica, now: Seconds) -> list[Effect]:
    """Lead the current term; its first entry also commits entries of earlier terms."""
    replica.role = Role.LEADER
    replica.leader = replica.id
    replica.proposers_by_command = {}
    replica.progress_by_id = {
        member: Progress(replica.last_index + 1, now) for member in replica.others
    }
    elected = LogEvent("leader_elected", {"term": replica.ballot.term})
    return [elected, *append_proposals(replica, (None,), now)]


def append_proposals(
    replica: Replica, proposals: Iterable[Proposal | None], now: Seconds
) -> list[Effect]:
    """Append commands to the leader's log and send them to the other members.

    The entries are sent before they are synced on the leader, so that the members sync
    them at the same time. Effects are performed in order, so that nothing that depends
    on the leader's own copy is sent before this copy is synced.
    """
    term = replica.ballot.term
    first = replica.last_index + 1
    entries = tuple(
        LogEntry(index, term, now, proposal)
        for index, proposal in enumerate(proposals, first)
    )
    replica.log.extend(entries)
    effects: list[Effect] = [*_send_log_to_all(replica, now), Persist(entries)]
    return effects + _advance_commit(replica, now)


def check_leader(replica: Replica, now: Seconds) -> list[Effect]:
    """Send heartbeats, or step down if a majority no longer answers."""
    # A later vote of this member tells the candidate how long ago it still led.
    replica.leader_heard_at = now
    responsive = [
        progress
        for progress in replica.member_progress
        if now - progress.heard_at < ELECTION_MAX
    ]
    if len(responsive) + 1 < replica.quorum:
        become_follower(replica, None)
        schedule_election(replica, now)
        return [LogEvent("leader_stepped_down", {"term": replica.ballot.term})]
    if now < replica.next_heartbeat:
        return []
    effects: list[Effect] = []
    for member in replica.progress_by_id:
        effects += replica.links.reconnect_if_silent(member, now)
    return effects + _send_log_to_all(replica, now)


def transfer_leadership(
    replica: Replica, now: Seconds, successor: InstanceId | None = None
) -> list[Effect]:
    """Ask a member to lead, by default the one with the longest synced log.

    This member gives up its authority first, because the others vote for the successor
    without waiting for the end of it.
    """
    if replica.role is not Role.LEADER or not replica.others:
        return []
    progress = replica.progress_by_id
    if successor is None:
        successor = max(replica.others, key=lambda member: progress[member].match_index)
    message = StandForElection(replica.ballot.term, replica.id)
    fields = {"term": replica.ballot.term, "successor": successor}
    become_follower(replica, None)
    schedule_election(replica, now)
    return [
        LogEvent("leadership_handed_over", fields),
        Send(Address(successor, "configuration"), message),
    ]


def _send_log_to_all(replica: Replica, now: Seconds) -> list[Effect]:
    spread = LEADER_HEARTBEAT * LEADER_HEARTBEAT_JITTER
    replica.next_heartbeat = (
        now + LEADER_HEARTBEAT + replica.jitter.uniform(-spread, spread)
    )
    return [_send_log(replica, member, now) for member in replica.progress_by_id]


def _send_log(replica: Replica, member: InstanceId, now: Seconds) -> Send:
    # The authority of this leader counts from here if the member answers, and appends
    # are also sent between two ticks. A later vote must not name an earlier time.
    replica.leader_heard_at = now
    progress = replica.progress_by_id[member]
    to = Address(member, "configuration")
    term = replica.ballot.term
    previous = progress.next_index - 1
    if previous < replica.log_start:
        catalogue = copy_catalogue(replica.catalogue)
        catalogue_term = replica.term_at(catalogue.index)
        progress.next_index = catalogue.index + 1
        return Send(
            to, InstallSnapshot(term, replica.id, catalogue, catalogue_term, now)
        )
    start = previous - replica.log_start
    entries = tuple(replica.log[start : start + BATCH_ENTRIES])
    progress.next_index += len(entries)
    message = AppendEntries(
        term=term,
        leader=replica.id,
        previous_index=previous,
        previous_term=replica.term_at(previous),
        entries=entries,
        commit=replica.commit,
        sent_at=now,
        waits=replica.links.record_sent(member, now),
    )
    return Send(to, message)


def _advance_commit(replica: Replica, now: Seconds) -> list[Effect]:
    synced = [progress.match_index for progress in replica.member_progress]
    synced = sorted([*synced, replica.last_index], reverse=True)
    index = synced[replica.quorum - 1]
    if index <= replica.commit or replica.term_at(index) != replica.ballot.term:
        return []
    before, replica.commit = replica.commit, index
    if is_commit_recoverable(replica, before):
        return []
    return [Persist((CommitIndex(index),)), *_send_log_to_all(replica, now)]


@step.register
def _(message: AppendReply, replica: Replica, now: Seconds) -> list[Effect]:
    replica.links.record_received(message.member)
    merge_fences(replica, message.fences_by_id)
    if message.term > replica.ballot.term:
        return adopt_term(replica, message.term)
    if (
        replica.role is not Role.LEADER
        or message.term < replica.ballot.term
        or is_fenced(replica, message.member, message.incarnation)
    ):
        return []
    progress = replica.progress_by_id.get(message.member)
    if progress is None:
        return []
    progress.heard_at = now
    progress.incarnation = message.incarnation
    progress.answered_at = max(progress.answered_at, message.sent_at)
    if message.matched:
        progress.match_index = max(progress.match_index, message.index)
        progress.next_index = max(progress.next_index, message.index + 1)
    else:
        earlier = min(progress.next_index, message.index + 1)
        progress.next_index = max(progress.match_index + 1, earlier)
    effects = _advance_commit(replica, now)
    if progress.next_index <= replica.last_index:
        effects.append(_send_log(replica, message.member, now))
    return effects


@step.register
def _(message: AppendEntries, replica: Replica, now: Seconds) -> list[Effect]:
    if message.term < replica.ballot.term:
        return [_make_reply(replica, message, matched=False, index=0)]
    effects = _follow_leader(replica, message.leader, message.term, now)
    effects += replica.links.reconnect_if_silent(message.leader, now, message.waits)
    previous = message.previous_index
    if previous > replica.last_index:
        index = replica.last_index
        return [*effects, _make_reply(replica, message, False, index)]
    if (
        previous >= replica.log_start
        and replica.term_at(previous) != message.previous_term
    ):
        # Committed entries are equal on all members, so the leader can continue there.
        index = replica.commit
        return [*effects, _make_reply(replica, message, False, index)]
    records: list[LogEntry | CommitIndex] = [*_append_missing(replica, message.entries)]
    matched = previous + len(message.entries)
    if min(message.commit, matched) > replica.commit:
        before, replica.commit = replica.commit, min(message.commit, matched)
        if not is_commit_recoverable(replica, before):
            records.append(CommitIndex(replica.commit))
    if records:
        effects.append(Persist(tuple(records)))
    return [*effects, _make_reply(replica, message, True, matched)]


def _append_missing(
    replica: Replica, entries: tuple[LogEntry, ...]
) -> tuple[LogEntry, ...]:
    """Add the entries that are missing in the log and return them.

    The first missing entry replaces all entries of the log from its index on.
    """
    for position, entry in enumerate(entries):
        if entry.index <= replica.log_start:
            continue
        if entry.index <= replica.last_index and (
            replica.term_at(entry.index) == entry.term
        ):
            continue
        truncate_and_append(replica, entries[position:])
        return entries[position:]
    return ()


@step.register
def _(message: InstallSnapshot, replica: Replica, now: Seconds) -> list[Effect]:
    if message.term < replica.ballot.term:
        return [_make_reply(replica, message, matched=False, index=0)]
    effects = _follow_leader(replica, message.leader, message.term, now)
    index = message.catalogue.index
    if index > replica.commit:
        replica.log = _keep_suffix(replica, index, message.catalogue_term)
        replica.log_start = index
        replica.log_start_term = message.catalogue_term
        replica.commit = index
        replica.catalogue = message.catalogue
        effects.append(SaveSnapshot(make_snapshot(replica)))
    return [*effects, _make_reply(replica, message, True, replica.commit)]


def _keep_suffix(replica: Replica, index: int, term: int) -> list[LogEntry]:
    if index > replica.last_index or replica.term_at(index) != term:
        return []
    return replica.log[index - replica.log_start :]


def _follow_leader(
    replica: Replica, leader: InstanceId, term: int, now: Seconds
) -> list[Effect]:
    effects = adopt_term(replica, term)
    if replica.role is not Role.FOLLOWER or replica.leader != leader:
        become_follower(replica, leader)
    replica.leader_heard_at = now
    # A follower asks the other members nothing. A request for a vote that was lost
    # earlier would count as silence in the next election, and cost its first requests.
    replica.links.forget_waits()
    schedule_election(replica, now)
    return effects


def _make_reply(
    replica: Replica,
    message: AppendEntries | InstallSnapshot,
    matched: bool,
    index: int,
) -> Send:
    reply = AppendReply(
        term=replica.ballot.term,
        member=replica.id,
        incarnation=replica.incarnation,
        matched=matched,
        index=index,
        fences_by_id=replica.ballot.fences_by_id,
        sent_at=message.sent_at,
    )
    return Send(Address(message.leader, "configuration"), reply)
