"""Links that stop delivering messages without an error."""

from __future__ import annotations

from boragetide.effects import Reconnect
from boragetide.policy.link_health import LINK_SILENCE, LinkHealth
from boragetide.tests.durable_fixtures import BEGIN


def count_reconnects(health: LinkHealth, now: float, peer_waits: float = 0.0) -> int:
    effects = health.reconnect_if_silent("a2", now, peer_waits)
    return sum(isinstance(effect, Reconnect) for effect in effects)


def test_link_without_an_answer_is_reconnected() -> None:
    """Guards against sending messages into a connection that stays silent."""
    health = LinkHealth()
    health.record_sent("a2", BEGIN)
    assert count_reconnects(health, BEGIN + LINK_SILENCE) == 0
    assert count_reconnects(health, BEGIN + LINK_SILENCE + 0.1) == 1
    assert count_reconnects(health, BEGIN + LINK_SILENCE + 0.2) == 0


def test_any_answer_shows_that_the_link_works() -> None:
    """Guards against reconnecting a working link repeatedly."""
    health = LinkHealth()
    health.record_sent("a2", BEGIN)
    health.record_received("a2")
    assert health.record_sent("a2", BEGIN + 2.0) == 0.0
    assert count_reconnects(health, BEGIN + 2.1) == 0


def test_side_that_only_answers_learns_that_its_answers_are_lost() -> None:
    """Guards against keeping a link that is silent in the other direction."""
    assert count_reconnects(LinkHealth(), BEGIN, peer_waits=LINK_SILENCE + 0.1) == 1


def test_wait_is_reported_from_a_question_that_the_peer_could_receive() -> None:
    """Guards against a peer that replaces its link since it started late."""
    health = LinkHealth()
    health.record_sent("a2", BEGIN)
    health.record_unsent("a2")
    assert health.record_sent("a2", BEGIN + 1.0) == 0.0
    assert health.record_sent("a2", BEGIN + 1.5) == 0.5
    assert health.waits_for("a2")


def test_link_that_never_connects_is_replaced() -> None:
    """Guards against an attempt to connect that hangs."""
    health = LinkHealth()
    for tenth in range(13):
        health.record_sent("a2", BEGIN + tenth / 10)
        health.record_unsent("a2")
    assert count_reconnects(health, BEGIN + LINK_SILENCE + 0.1) == 1


def test_answer_ends_both_waits() -> None:
    """Guards against a wait of before an answer that is reported after it."""
    health = LinkHealth()
    health.record_sent("a2", BEGIN)
    health.record_received("a2")
    assert health.record_sent("a2", BEGIN + 2.0) == 0.0
    health.forget_waits()
    assert health.record_sent("a2", BEGIN + 3.0) == 0.0
