"""A large configuration over a slow link, without a network."""

from __future__ import annotations

import pytest

from boragetide.policy.replica import MAX_LOGGED_TEXT, MAX_TRAILING_TEXT
from boragetide.settings import Settings
from boragetide.tests.slow_link import EDGE, SlowSite

RATE = 9.5e6 / 8  # bytes per second
SIZE = 290_000  # characters of the document
ROUTES = 1400
IN_FORCE_BOUND = 2.5  # seconds after the acknowledgement
CHANGE_PERIOD = 6.0  # seconds of frequent changes
RECOVERY = 2.0  # seconds after the last change


@pytest.fixture
def site(settings: Settings) -> SlowSite:
    """Members that serve an entry instance by a small configuration."""
    made = SlowSite(settings, RATE)
    made.run_for(4.0)
    made.publish(1, 300, 1)
    made.run_for(2.0)
    assert made.find_leader().ready
    made.is_watched = True
    return made


def list_late(site: SlowSite) -> dict[int, float | None]:
    """Return the versions that were in force too late, with their times."""
    late = {}
    for version, accepted_at in site.accepted_at_by_version.items():
        in_force_at = site.in_force_at_by_version.get(version)
        taken = None if in_force_at is None else in_force_at - accepted_at
        if taken is None or taken > IN_FORCE_BOUND:
            late[version] = taken
    return late


def test_large_configuration_does_not_end_service(site: SlowSite) -> None:
    """Guards against copies that fill the link, so that no confirmation passes."""
    for version in (2, 3, 4):
        site.publish(version, SIZE, ROUTES)
        site.run_for(1 / 3)
    site.run_for(RECOVERY)
    assert site.find_leader().ready
    site.run_for(8.0)
    assert len(site.accepted_at_by_version) == 4
    assert (list_late(site), site.unready_at) == ({}, [])
    assert site.list_events("link_silent") == []


@pytest.mark.parametrize("phase", [0.0, 0.03, 0.07, 0.13, 0.21, 0.3])
@pytest.mark.parametrize("interval", [0.4, 0.2, 0.1])
def test_frequent_changes_do_not_end_service(
    site: SlowSite, interval: float, phase: float
) -> None:
    """Guards against confirmations that are lost while their version is fetched."""
    site.run_for(phase)
    for version in range(2, 2 + round(CHANGE_PERIOD / interval)):
        site.publish(version, SIZE, ROUTES)
        site.run_for(interval)
    site.run_for(RECOVERY)
    assert site.unready_at == []
    assert list_late(site) == {}


def test_configuration_is_sent_once_for_each_version(site: SlowSite) -> None:
    """Guards against copies from several members, or with several questions."""
    before = site.bytes_to_edge_by_kind.get("ConfigurationPiece", 0)
    for version in (2, 3, 4):
        site.publish(version, SIZE, ROUTES)
        site.run_for(3.0)
    packed = site.list_events("configuration_packed")
    assert [fields["version"] for fields in packed] == [2, 3, 4]
    sent = site.bytes_to_edge_by_kind["ConfigurationPiece"] - before
    assert sent < 1.05 * sum(fields["bytes"] for fields in packed)


def test_instance_on_a_very_slow_link_gets_the_newest_version(
    site: SlowSite,
) -> None:
    """Guards against transfers that displace each other after the last change."""
    site.rate = 1e6 / 8
    for version in (2, 3, 4):
        site.publish(version, SIZE, ROUTES)
        site.run_for(1 / 3)
    site.run_for(RECOVERY)
    assert site.find_leader().ready
    assert site.states_by_id[EDGE].version == 4
    assert site.list_events("link_silent") == []


@pytest.mark.parametrize("delay", [0.0, 0.02, 0.04])
def test_loss_of_the_member_that_sends_does_not_end_service(
    site: SlowSite, delay: float
) -> None:
    """Guards against a transfer that waits for a lost member, or begins anew."""
    site.publish(2, SIZE, ROUTES)
    while not site.states_by_id[EDGE].transfer.in_progress:
        site.run_for(0.001)
    site.run_for(delay)
    transfer = site.states_by_id[EDGE].transfer
    received, lost = len(transfer.data), transfer.sender
    assert transfer.in_progress
    site.down.add(lost)
    site.run_for(IN_FORCE_BOUND)
    assert list_late(site) == {}
    (repeated,) = site.list_events("configuration_transfer_repeated")
    assert repeated["late_sender"] == lost
    assert repeated["offset"] >= received
    site.run_for(2.0)
    assert site.find_leader().ready


def test_restarted_entry_instance_begins_the_transfer_again(site: SlowSite) -> None:
    """Guards against an instance that waits for the rest of another's content."""
    site.publish(2, SIZE, ROUTES)
    while len(site.states_by_id[EDGE].transfer.data) == 0:
        site.run_for(0.001)
    site.is_watched = False
    site.start_edge()
    site.run_for(1.0)
    assert site.find_leader().ready
    assert site.states_by_id[EDGE].version == 2


def test_small_configuration_is_not_fetched(site: SlowSite) -> None:
    """Guards against more messages for a small change than before."""
    for version in (2, 3):
        site.publish(version, 300, 1)
        site.run_for(1.0)
    assert site.states_by_id[EDGE].version == 3
    assert "ConfigurationPiece" not in site.bytes_to_edge_by_kind
    assert (list_late(site), site.unready_at) == ({}, [])


def test_log_of_a_member_stays_small(site: SlowSite) -> None:
    """Guards against a member that runs out of memory after hundreds of changes."""
    changes = 60
    for version in range(2, 2 + changes):
        site.publish(version, SIZE, ROUTES)
        site.run_for(0.5)
    assert len(site.accepted_at_by_version) == 1 + changes
    assert (list_late(site), site.unready_at) == ({}, [])
    for member in site.settings.initial_members:
        log = site.states_by_id[member].replica.log
        commands = [each.proposal.command for each in log if each.proposal is not None]
        text = sum(len(getattr(each, "document", "")) for each in commands)
        assert text <= MAX_LOGGED_TEXT + SIZE
        written = site.snapshots.count(member)
        assert 0 < written <= changes * SIZE / (MAX_LOGGED_TEXT - MAX_TRAILING_TEXT)
