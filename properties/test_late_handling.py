"""Groups whose members handle messages, ticks and answers late.

The oracles are those of `MemberSite`: no task has two runs at a time, and each leader
knows until when earlier ones give orders.
"""

from __future__ import annotations

import os

import pytest
from hypothesis import settings

from boragetide.commands import Proposal, SetClass
from boragetide.groups import name_controller
from boragetide.messages import ForwardProposal
from properties.disturbances import Disturbances
from properties.member_site import Member, Slowness

MIN_STARTS = 20
FIRST_SEED = int(os.environ.get("TAKEOVER_SEED", "0"))
SEEDS = max(5, settings.default.max_examples // 20)
# The vote of a slow leader named an earlier time than its last append.
ELECTION_SEEDS = (20002, 20485)


class SlowDisturbances(Disturbances):
    """Random load and faults of an installation whose members are behind at times."""

    def __init__(self, seed: int):
        super().__init__(seed)
        self.change_count = 0
        slow_faults = [
            self.slow_any,
            self.slow_leader,
            self.slow_leader_and_hand_over,
            self.slow_leader_and_cut,
            self.slow_leader_and_submit,
            self.slow_all,
        ]
        chosen = self.random.sample(slow_faults, self.random.randint(1, 3))
        self.kept = [*self.kept[:3], *chosen]

    def submit(self) -> None:
        """Submit a job, or change the configuration."""
        super().submit()
        if self.random.random() < 0.2:
            self.change_configuration()

    def change_configuration(self) -> None:
        """Let the leader of group 0, which has the configuration, append a change."""
        self.append_change(0)

    def append_change(self, group: int) -> None:
        """Let a leader append a change of the configuration."""
        leader = self.find_leader(group)
        if leader is None:
            return
        self.change_count += 1
        command = SetClass("batch", self.random.uniform(1.0, 9.0), 0.5)
        proposal = Proposal(f"c{self.change_count}", command)
        name = name_controller("configuration", group)
        message = ForwardProposal(proposal, leader.id)
        self.site.put(leader, leader.mailboxes_by_name[name], message)

    def slow_member(self, member: Member | None) -> None:
        """Let a member handle messages, and send and see calls, late for a while."""
        if member is None:
            return
        controllers = self.random.choice(
            [
                ("configuration", "dispatcher"),
                ("configuration", "dispatcher"),
                ("configuration",),
                ("dispatcher",),
                (),
            ]
        )
        member.slowness = Slowness(
            until=self.site.now + self.random.choice([0.3, 1.0, 3.0]),
            max_lag=self.random.choice([0.05, 0.2, 0.5, 1.0, 2.0]),
            controllers=controllers,
            delays_timers=not controllers or self.random.random() < 0.6,
        )

    def slow_any(self) -> None:
        self.slow_member(self.choose_member())

    def slow_leader(self) -> None:
        self.slow_member(self.find_leader(self.choose_group()))

    def slow_leader_and_hand_over(self) -> None:
        group = self.choose_group()
        self.slow_member(self.find_leader(group))
        for _ in range(self.random.randint(0, 4)):
            self.site.submit(self.make_job(group, ""), group)
        self.site.run_for(self.random.uniform(0.0, 1.0))
        self.transfer(group)

    def slow_leader_and_cut(self) -> None:
        """Cut a slow leader and some backend servers off."""
        group = self.choose_group()
        leader = self.find_leader(group)
        self.slow_member(leader)
        for _ in range(self.random.randint(0, 4)):
            self.site.submit(self.make_job(group, ""), group)
        self.site.run_for(self.random.uniform(0.0, 1.0))
        self.cut_server()
        self.cut_member(leader)

    def slow_leader_and_submit(self) -> None:
        """Let a leader that is behind change while its backend servers are away."""
        group = self.choose_group()
        self.slow_member(self.find_leader(group))
        self.site.run_for(self.random.uniform(0.0, 0.5))
        for _ in range(self.random.randint(1, 4)):
            self.site.submit(self.make_job(group, ""), group)
        self.leave_servers_to_leader()
        self.site.run_for(self.random.uniform(0.0, 0.5))
        lose = self.random.choice([self.transfer, self.kill_leader_of])
        lose(group)

    def kill_leader_of(self, group: int) -> None:
        self.kill(self.find_leader(group))

    def slow_all(self) -> None:
        for member in self.site.members_by_id.values():
            if member.is_up and self.random.random() < 0.7:
                self.slow_member(member)


class ElectionDisturbances(SlowDisturbances):
    """Random faults of the logs, without jobs."""

    def __init__(self, seed: int):
        super().__init__(seed)
        self.kept = [
            self.kill_leader,
            self.kill_any,
            self.hand_over,
            self.freeze_leader,
            self.cut_leader,
            self.cut_any,
            self.cut_pair,
            self.slow_any,
            self.slow_leader,
            self.stall_disk,
            self.lose_disk,
        ]

    def submit(self) -> None:
        """Change the configuration."""
        self.append_change(self.choose_group())

    def cut_pair(self) -> None:
        """Cut two members off from each other."""
        first, second = self.random.sample(sorted(self.site.members_by_id), 2)
        self.cut_links({(first, second), (second, first)})


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))
def test_tasks_run_once_at_a_time_beside_members_that_are_behind(
    seed: int, short_times: None
) -> None:
    """Guards against a decision by the time at which a message is handled."""
    disturbances = SlowDisturbances(seed)
    disturbances.run()
    assert disturbances.site.counts["started"] >= MIN_STARTS


@pytest.mark.parametrize(
    "seed", (*range(FIRST_SEED, FIRST_SEED + SEEDS), *ELECTION_SEEDS)
)
def test_each_leader_knows_until_when_earlier_ones_give_orders(
    seed: int, short_times: None
) -> None:
    """Guards against a takeover that does not wait for all leases."""
    disturbances = ElectionDisturbances(seed)
    disturbances.run()
    site = disturbances.site
    assert site.counts["leader_elected"] >= site.group_count
