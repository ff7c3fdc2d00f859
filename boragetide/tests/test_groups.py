"""Division of jobs, backend servers and leaderships among groups."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import replace

import pytest

from boragetide.daemon.effect_execution import EffectContext, execute_effect
from boragetide.daemon.runtime import Runtime
from boragetide.effects import AbandonRequests, Effect, Send
from boragetide.groups import (
    address_group,
    find_group,
    find_job_group,
    find_server_group,
    name_controller,
    resolve_address,
)
from boragetide.links.peers import PeerLink, request_reconnect
from boragetide.log_records import Ballot
from boragetide.messages import ReadConfiguration, StandForElection
from boragetide.policy.leader_balance import READY_TIME, balance_leadership
from boragetide.policy.replica import (
    ELECTION_MAX,
    ELECTION_MIN,
    Replica,
    Role,
    become_follower,
    schedule_election,
)
from boragetide.policy.replication import become_leader
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import BEGIN
from boragetide.types import Address

GROUPS = 5
STEP = 0.1  # seconds between two ticks


@pytest.fixture
def leader(settings: Settings) -> Replica:
    """Leader ``a1`` of group 1, which ``a2`` is to lead."""
    grouped = replace(settings, group=1, group_count=3)
    made = Replica(grouped, incarnation=1, role=Role.FOLLOWER, ballot=Ballot(1))
    become_leader(made, BEGIN)
    return made


def run_for(
    replica: Replica, seconds: float, begin: float, *answering: str
) -> list[Effect]:
    """Let some members answer each append, and return what the balance orders."""
    effects: list[Effect] = []
    for number in range(round(seconds / STEP)):
        now = begin + number * STEP
        if replica.role is not Role.LEADER:
            break
        for member in answering:
            progress = replica.progress_by_id[member]
            progress.heard_at = now
            progress.match_index = replica.last_index
        effects += balance_leadership(replica, now)
    return effects


def list_successors(effects: list[Effect]) -> list[str]:
    return [
        effect.to.instance
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, StandForElection)
    ]


@pytest.mark.parametrize("group", [0, 1, 12])
def test_name_of_a_controller_tells_its_group(group: int) -> None:
    """Guards against a message that reaches the dispatcher of another group."""
    assert find_group(name_controller("dispatcher", group)) == group


def test_addresses_are_relative_to_the_group_of_the_sender() -> None:
    """Guards against two groups whose logs or dispatchers talk to each other."""
    to = Address("a2", "configuration")
    assert resolve_address(to, "dispatcher.3") == Address("a2", "configuration.3")
    assert resolve_address(to, "dispatcher") == to
    named = Address("a1", "dispatcher.2")
    assert resolve_address(named, "configuration") == named
    for group in range(3):
        explicit = address_group("a1", "dispatcher", group)
        expected = Address("a1", name_controller("dispatcher", group))
        assert resolve_address(explicit, "dispatcher.2") == expected
        assert resolve_address(explicit, "dispatcher") == expected
    other = Address("a1", "instances")
    assert resolve_address(other, "dispatcher.3") == other


def test_jobs_are_divided_evenly_and_for_good() -> None:
    """Guards against a job that has two dispatchers, or a group with most of them."""
    ids = [f"{number:016x}" for number in range(5000)]
    counts = Counter(find_job_group(id_, GROUPS) for id_ in ids)
    assert set(counts) == set(range(GROUPS))
    assert max(counts.values()) < 1.1 * len(ids) / GROUPS
    assert [find_job_group(id_, 1) for id_ in ids[:3]] == [0, 0, 0]
    assert find_job_group("5c0e7a21d94b36f8", GROUPS) == 0


def test_neighbouring_servers_are_divided_evenly() -> None:
    """Guards against a group that gets all servers of one rack or one model."""
    addresses = [f"10.{zone}.64.{host}:8107" for zone in (1, 2) for host in range(45)]
    counts = Counter(find_server_group(each, GROUPS) for each in addresses)
    assert set(counts.values()) == {18}
    every_third = addresses[::3]
    counts = Counter(find_server_group(each, GROUPS) for each in every_third)
    assert max(counts.values()) - min(counts.values()) <= 2


@pytest.mark.parametrize("address", ["server-1.example:80", "[::1]:80", "::1:80"])
def test_any_address_has_a_group(address: str) -> None:
    """Guards against an address that ends the instance that hears it."""
    assert 0 <= find_server_group(address, GROUPS) < GROUPS


def test_leadership_is_handed_to_a_member_that_is_ready_for_long(
    leader: Replica,
) -> None:
    """Guards against one instance that goes on to lead several groups."""
    assert list_successors(run_for(leader, READY_TIME - 0.1, BEGIN, "a2", "a3")) == []
    later = run_for(leader, 0.5, BEGIN + READY_TIME, "a2", "a3")
    assert list_successors(later) == ["a2"]


def test_leadership_is_kept_while_the_preferred_leader_is_silent(
    leader: Replica,
) -> None:
    """Guards against a takeover by an instance that is lost, or was until just now."""
    run_for(leader, READY_TIME - 1.0, BEGIN, "a2", "a3")
    silent_until = BEGIN + READY_TIME + 1.0
    assert run_for(leader, 2.0, BEGIN + READY_TIME - 1.0, "a3") == []
    assert run_for(leader, READY_TIME - 0.5, silent_until, "a2", "a3") == []


def test_new_leadership_does_not_count_readiness_of_an_earlier_one(
    leader: Replica,
) -> None:
    """Guards against a takeover by a member that has been back for a moment only."""
    run_for(leader, READY_TIME - 1.0, BEGIN, "a2", "a3")
    become_follower(leader, "a3")
    become_leader(leader, BEGIN + 2 * READY_TIME)
    again = run_for(leader, READY_TIME - 1.0, BEGIN + 2 * READY_TIME, "a2", "a3")
    assert list_successors(again) == []


def test_leadership_is_kept_until_the_preferred_leader_has_the_log(
    leader: Replica,
) -> None:
    """Guards against an election that the successor cannot win."""
    leader.commit = leader.last_index
    for number in range(round(2 * READY_TIME / STEP)):
        now = BEGIN + number * STEP
        leader.progress_by_id["a2"].heard_at = now
        assert balance_leadership(leader, now) == []


@pytest.mark.parametrize(("member", "first"), [("a2", 0), ("a3", 1), ("a1", 2)])
def test_members_stand_for_election_in_the_order_of_the_group(
    settings: Settings, member: str, first: int
) -> None:
    """Guards against one instance that wins the elections of all groups."""
    grouped = replace(settings, id=member, group=1, group_count=3)
    made = Replica(grouped, 1, role=Role.FOLLOWER, ballot=Ballot(1))
    schedule_election(made, BEGIN)
    part = (ELECTION_MAX - ELECTION_MIN) / 3
    earliest = BEGIN + ELECTION_MIN + first * part
    assert earliest <= made.election_at <= earliest + part


def test_single_group_keeps_its_leader(settings: Settings) -> None:
    """Guards against needless takeovers of an installation with one dispatcher."""
    made = Replica(settings, 1, role=Role.FOLLOWER, ballot=Ballot(1))
    become_leader(made, BEGIN)
    assert run_for(made, 2 * READY_TIME, BEGIN, "a2", "a3") == []


def test_lost_leader_of_one_group_does_not_end_requests_to_another(
    settings: Settings,
) -> None:
    """Guards against jobs that are sent twice because another group changed hands."""

    async def run() -> list[bool]:
        runtime = Runtime(settings, {"a2": PeerLink(settings.peers_by_id["a2"])})
        asked = [
            asyncio.create_task(
                runtime.ask(Address("a2", name), ReadConfiguration(), 1.0)
            )
            for name in ("configuration", "configuration.1")
        ]
        await asyncio.sleep(0)
        execute_effect(AbandonRequests("a2"), EffectContext(runtime), "directory.1")
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        ended = [each.done() for each in asked]
        for each in asked:
            each.cancel()
        await asyncio.gather(*asked, return_exceptions=True)
        return ended

    assert asyncio.run(run()) == [False, True]


def test_link_is_replaced_once_for_all_groups(
    settings: Settings, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a link that is replaced so often that it carries nothing."""
    now = [BEGIN]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    link = PeerLink(settings.peers_by_id["a2"])
    replaced = []
    for after, group in ((0.0, 0), (0.5, 1), (0.9, 2), (1.3, 0), (1.8, 1), (2.2, 2)):
        now[0] = BEGIN + after
        request_reconnect(link, group)
        if link.reconnect_requested:
            replaced.append(after)
            link.reconnect_requested = False
    assert replaced == [0.0, 1.3]


def test_groups_have_settings_of_their_own(settings: Settings) -> None:
    """Guards against an empty configuration of another group's log in force."""
    named = replace(settings, configuration_subscribers=("dispatcher", "dispatcher.1"))
    assert named.for_group(0).configuration_subscribers == (
        "dispatcher",
        "dispatcher.1",
    )
    assert named.for_group(1).configuration_subscribers == ()
    assert named.for_group(1).group == 1
