"""Requests of instances that follow the leader, which may arrive in any order."""

from __future__ import annotations

import pytest

from boragetide.controllers import configuration
from boragetide.controllers.configuration_state import ConfigurationState
from boragetide.effects import Reconnect
from boragetide.messages import FollowLeader
from boragetide.policy import leadership
from boragetide.policy.leadership import (
    CONTACT_NOTICE_INTERVAL,
    LeadershipNotices,
)
from boragetide.policy.link_health import LINK_SILENCE
from boragetide.policy.replica import Replica, Role
from boragetide.policy.submission_fence import MAX_DELIVERY_TIME
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import BEGIN
from boragetide.types import Address


@pytest.fixture
def notices(settings: Settings) -> LeadershipNotices:
    """Notices of a member that has recorded no request yet."""
    return LeadershipNotices(settings)


def record(
    notices: LeadershipNotices, version: int, sent_at: float, now: float = BEGIN
) -> int:
    """Record a request; return the version that the subscriber counts as having."""
    leadership.record_subscriber(notices, "e1", version, now, sent_at)
    return notices.subscribers_by_id["e1"][1]


def test_older_question_does_not_hide_the_needed_configuration(
    notices: LeadershipNotices,
) -> None:
    """Guards against a restarted instance that gets notices without configuration."""
    assert record(notices, -1, BEGIN) == -1
    assert record(notices, 19, BEGIN - 2.0) == -1
    assert record(notices, 20, BEGIN + 0.4) == 20


def test_instance_with_another_clock_is_recorded(notices: LeadershipNotices) -> None:
    """Guards against sending a configuration again and again after a restart."""
    assert record(notices, 19, BEGIN) == 19
    assert record(notices, -1, BEGIN - 2 * MAX_DELIVERY_TIME) == -1
    assert record(notices, 19, BEGIN - 2 * MAX_DELIVERY_TIME + 0.4) == 19


def test_wait_in_an_older_question_does_not_replace_a_link(settings: Settings) -> None:
    """Guards against replacing a link that works because of a late message."""
    state: ConfigurationState = configuration.make_state(settings, 1, ())

    def ask(waits: float, sent_at: float) -> list[str]:
        question = FollowLeader("e1", -1, waits, sent_at)
        effects = configuration.handle(question, state, BEGIN)
        return [e.instance for e in effects if isinstance(e, Reconnect)]

    assert ask(0.0, BEGIN) == []
    assert ask(2 * LINK_SILENCE, BEGIN - 1.0) == []
    assert ask(2 * LINK_SILENCE, BEGIN + 0.4) == ["e1"]


def test_leader_notifies_the_seeds_that_do_not_know_it(settings: Settings) -> None:
    """Guards against instances that all restarted and know nobody with the log."""
    notices = LeadershipNotices(settings, contacts=("a2", "e1", "e2"))
    leader = Replica(settings, incarnation=1, role=Role.LEADER, leader="a1")
    leadership.record_subscriber(notices, "e1", 3, BEGIN)
    (effect,) = leadership.notify_contacts(notices, leader, BEGIN)
    assert effect.to == Address("e2", "directory")
    assert (effect.message.leader, effect.message.members) == ("a1", leader.members)
    assert leadership.notify_contacts(notices, leader, BEGIN + 0.5) == []
    leader.role = Role.FOLLOWER
    later = BEGIN + CONTACT_NOTICE_INTERVAL
    assert leadership.notify_contacts(notices, leader, later) == []
