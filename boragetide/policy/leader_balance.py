"""Moves the leadership of a group to the member that is to have it.

The groups have the same members. Without this, the members that stay in service the
longest would lead several groups each, and one processor would limit all of these.
"""

from __future__ import annotations

from functools import partial

from boragetide.effects import Effect
from boragetide.groups import find_rank
from boragetide.policy.replica import Replica, Role
from boragetide.policy.replication import LEADER_HEARTBEAT, transfer_leadership
from boragetide.types import InstanceId, Seconds

# The preferred leader must have followed for this long. A takeover costs the group up
# to the duration of a lease, so that it does not pay at an instance that may soon fail
# again, or that is still to be counted as lost.
READY_TIME: Seconds = 6.0
# A member that has answered none of the last appends may be lost.
MAX_ANSWER_AGE: Seconds = 3 * LEADER_HEARTBEAT


def balance_leadership(replica: Replica, now: Seconds) -> list[Effect]:
    """Hand the leadership over if the preferred leader has been ready for long enough.

    For the leader only.
    """
    settings = replica.settings
    if settings.group_count == 1 or replica.role is not Role.LEADER:
        return []
    members = replica.members
    preferred = min(members, key=partial(find_rank, members, settings.group))
    if preferred == replica.id or not _follows(replica, preferred, now):
        replica.successor_ready_since = None
        return []
    if replica.successor_ready_since is None:
        replica.successor_ready_since = now
    if now - replica.successor_ready_since < READY_TIME:
        return []
    replica.successor_ready_since = None
    return transfer_leadership(replica, now, preferred)


def _follows(replica: Replica, member: InstanceId, now: Seconds) -> bool:
    """Return whether a member answers and has all committed entries."""
    progress = replica.progress_by_id.get(member)
    return (
        progress is not None
        and now - progress.heard_at <= MAX_ANSWER_AGE
        and progress.match_index >= replica.commit
    )
