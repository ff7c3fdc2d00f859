"""What the members tell the instances that have no log."""

from __future__ import annotations

import pytest

from boragetide.effects import Send
from boragetide.log_records import Ballot
from boragetide.messages import AppendReply, LeaderNotice
from boragetide.policy import leadership
from boragetide.policy.leadership import LeadershipNotices
from boragetide.policy.replica import (
    AUTHORITY_DURATION,
    Replica,
    Role,
    become_follower,
    step,
)
from boragetide.policy.replication import become_leader
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import BEGIN
from boragetide.types import Configuration

IN_FORCE = Configuration(version=3)


@pytest.fixture
def replica(settings: Settings) -> Replica:
    """Member ``a1``, which was just elected; its first entry is not committed yet."""
    made = Replica(settings, incarnation=1, role=Role.FOLLOWER, ballot=Ballot(1))
    become_leader(made, BEGIN)
    return made


def acknowledge(replica: Replica, *, index: int) -> None:
    """Deliver a member's answer to the append that was sent at the beginning."""
    reply = AppendReply(
        term=replica.ballot.term,
        member="a2",
        incarnation=1,
        matched=index > 0,
        index=index,
        fences_by_id={},
        sent_at=BEGIN,
    )
    step(reply, replica, BEGIN)


def notify(replica: Replica, version: int, now: float = BEGIN) -> LeaderNotice:
    """Return the answer to a question of an instance that has a version."""
    state = LeadershipNotices(replica.settings)
    leadership.record_subscriber(state, "e1", version, now)
    return leadership.notify(state, replica, IN_FORCE, "e1", now, now).message


def push(replica: Replica, version: int, now: float) -> LeaderNotice:
    """Return the notice of a change to an instance that has a version."""
    state = LeadershipNotices(replica.settings)
    leadership.record_subscriber(state, "e1", version, now)
    effects = leadership.notify_all(state, replica, IN_FORCE, now)
    (notice,) = [each.message for each in effects if isinstance(each, Send)]
    return notice


def test_leader_confirms_its_version(replica: Replica) -> None:
    """Guards against an instance that is never told that it is up to date."""
    acknowledge(replica, index=replica.last_index)
    notice = notify(replica, version=3)
    assert notice.has_authority
    assert (notice.version, notice.asked_at) == (3, BEGIN)
    assert notice.configuration is None
    assert notify(replica, version=2).configuration == IN_FORCE


def test_leader_that_may_lack_a_configuration_confirms_nothing(
    replica: Replica,
) -> None:
    """Guards against a new leader that has not applied all accepted changes yet."""
    acknowledge(replica, index=0)
    assert replica.authority_until(BEGIN) > BEGIN
    assert not notify(replica, version=3).has_authority


def test_leader_that_may_be_replaced_confirms_nothing(replica: Replica) -> None:
    """Guards against a leader that a partition keeps from knowing its successor."""
    acknowledge(replica, index=replica.last_index)
    late = BEGIN + AUTHORITY_DURATION
    assert not notify(replica, version=3, now=late).has_authority


def test_busy_leader_pushes_a_configuration_that_is_in_force(replica: Replica) -> None:
    """Guards against an empty push of a leader that reads its answers late."""
    acknowledge(replica, index=replica.last_index)
    late = BEGIN + AUTHORITY_DURATION
    assert push(replica, version=2, now=late).configuration == IN_FORCE
    assert push(replica, version=3, now=late).configuration is None


def test_each_member_answers_with_a_newer_configuration(replica: Replica) -> None:
    """Guards against news that arrives only through the busiest member."""
    become_follower(replica, "a2")
    notice = notify(replica, version=2)
    assert (notice.configuration, notice.has_authority) == (IN_FORCE, False)
    assert push(replica, version=2, now=BEGIN).configuration is None
