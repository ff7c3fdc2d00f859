"""A large configuration over a slow link, without a network."""

from __future__ import annotations

import pytest

from boragetide.settings import Settings
from boragetide.tests.slow_link import SlowSite

RATE = 9.5e6 / 8  # bytes per second
SIZE = 290_000  # characters of the document
ROUTES = 1400
IN_FORCE_BOUND = 2.5  # seconds after the acknowledgement
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
