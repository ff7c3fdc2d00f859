"""Random load and faults of an installation of several groups."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from boragetide.durable import DurableJob, Step
from boragetide.groups import name_controller
from boragetide.messages import StopRequested
from boragetide.policy.replica import Role
from boragetide.tests.durable_fixtures import NEEDS, make_durable_job
from boragetide.types import Seconds
from properties.member_site import LABEL, Member, MemberSite

WARM_UP: Seconds = 7.0
DURATION: Seconds = 20.0


class Disturbances:
    """Random load and faults of one installation."""

    def __init__(self, seed: int):
        self.random = random.Random(seed)
        member_count = self.random.choice([3, 3, 5])
        self.site = MemberSite(seed, member_count, self.random.choice([0, 1]))
        self.job_count = 0
        for group in range(self.site.group_count):
            for number in range(3):
                labels = (LABEL,) if number == 0 else ()
                server = self.site.add_server(group, labels=labels)
                server.started_at -= self.random.uniform(0.0, 500.0)
                server.clock_rate = self.random.choice([1.0, 1.0, 0.98])
        self.faults: list[Callable[[], None]] = [
            self.kill_leader,
            self.kill_any,
            self.hand_over,
            self.hand_over_twice,
            self.hand_over_all,
            self.freeze,
            self.freeze_leader,
            self.burden,
            self.burden_and_hand_over,
            self.cut_leader,
            self.cut_any,
            self.cut_server,
            self.cut_server_and_hand_over,
            self.leave_servers_to_leader,
            self.crash_server,
            self.strand_jobs,
            self.strand_jobs_and_lose_leaders,
            self.drain_server,
            self.join,
            self.join_and_lose_leader,
            self.lose_reports,
            self.lose_calls,
            self.stall_disk,
            self.retire,
            self.lose_disk,
        ]
        self.kept = self.random.sample(self.faults, self.random.randint(1, 6))

    def run(self) -> None:
        """Run the installation for a while."""
        self.site.run_for(WARM_UP)
        end = self.site.now + DURATION
        while self.site.now < end:
            for _ in range(self.random.randint(0, 3)):
                self.submit()
            if self.random.random() < 0.25:
                fault = self.random.choice(self.kept)
                self.site.counts[fault.__name__] += 1
                fault()
            self.site.run_for(self.random.uniform(0.0, 0.3))

    def submit(self) -> None:
        """Submit a new job, or one that was submitted before, as a new caller does."""
        site = self.site
        if self.random.random() < 0.2 and site.submissions:
            known = [each for each in site.submissions if each.transfers]
            known = self.random.choice([known, site.submissions[-30:]])
            if known:
                job = self.random.choice(known).job
                site.submit(job, self.find_home(job.id))
                return
        label = LABEL if self.random.random() < 0.3 else ""
        group = self.choose_group()
        site.submit(self.make_job(group, label), group)

    def make_job(self, group: int, label: str) -> DurableJob:
        """Build a best-effort job whose home is a group."""
        self.job_count += 1
        estimate = self.random.choice([0.1, 0.4, 1.5, 3.0])
        step = Step(self.random.randint(1, 3), NEEDS, estimate, required_label=label)
        job = make_durable_job(f"{group}-{self.job_count}", step, best_effort=True)
        return replace(job, response_time=20.0)

    def find_home(self, job_id: str) -> int:
        return int(job_id.partition("-")[0])

    # Members

    def choose_group(self) -> int:
        return self.random.randrange(self.site.group_count)

    def choose_member(self) -> Member | None:
        ups = [each for each in self.site.members_by_id.values() if each.is_up]
        return self.random.choice(ups) if ups else None

    def find_leader(self, group: int) -> Member | None:
        leaders = self.site.list_leaders(group)
        return leaders[0] if leaders else None

    def kill(self, member: Member | None) -> None:
        if member is None:
            return
        self.site.stop_process(member)
        process = member.process
        delay = self.random.choice([0.1, 0.5, 2.0, 4.0])

        def restart() -> None:
            if member.process == process and not member.is_retired:
                self.site.start_process(member)

        self.site.schedule(delay, restart)

    def kill_leader(self) -> None:
        self.kill(self.find_leader(self.choose_group()))

    def kill_any(self) -> None:
        self.kill(self.choose_member())

    def transfer(self, group: int) -> None:
        """Let the leader of a group hand over its leadership."""
        leader = self.find_leader(group)
        if leader is not None:
            name = name_controller("configuration", group)
            self.site.put(leader, leader.mailboxes_by_name[name], StopRequested())

    def hand_over(self) -> None:
        self.transfer(self.choose_group())

    def hand_over_twice(self) -> None:
        group = self.choose_group()
        self.transfer(group)
        self.site.run_for(self.random.uniform(0.01, 0.5))
        if self.random.random() < 0.5:
            self.transfer(group)
        else:
            self.kill(self.find_leader(group))

    def hand_over_all(self) -> None:
        for group in range(self.site.group_count):
            self.transfer(group)

    def freeze_member(self, member: Member | None) -> None:
        if member is not None:
            seconds = self.random.choice([0.05, 0.3, 0.7, 1.5, 3.0])
            member.frozen_until = self.site.now + seconds

    def freeze(self) -> None:
        self.freeze_member(self.choose_member())

    def freeze_leader(self) -> None:
        self.freeze_member(self.find_leader(self.choose_group()))

    def burden_group(self, group: int) -> None:
        """Let the dispatcher of a leader handle its messages late."""
        leader = self.find_leader(group)
        if leader is not None:
            box = leader.mailboxes_by_name[name_controller("dispatcher", group)]
            box.free_at = self.site.now + self.random.uniform(0.02, 0.8)

    def burden(self) -> None:
        self.burden_group(self.choose_group())

    def burden_and_hand_over(self) -> None:
        group = self.choose_group()
        self.burden_group(group)
        for _ in range(self.random.randint(0, 4)):
            self.site.submit(self.make_job(group, ""), group)
        self.site.run_for(self.random.uniform(0.0, 0.1))
        self.transfer(group)

    def cut_links(self, links: set[tuple[str, str]]) -> None:
        self.site.cut_links |= links

        def repair() -> None:
            self.site.cut_links -= links

        self.site.schedule(self.random.choice([0.2, 0.6, 1.5, 3.0]), repair)

    def cut_member(self, member: Member | None) -> None:
        if member is None:
            return
        others = [id_ for id_ in self.site.members_by_id if id_ != member.id]
        outgoing = {(member.id, other) for other in others}
        incoming = {(other, member.id) for other in others}
        self.cut_links(self.random.choice([outgoing, incoming, outgoing | incoming]))

    def cut_leader(self) -> None:
        self.cut_member(self.find_leader(self.choose_group()))

    def cut_any(self) -> None:
        self.cut_member(self.choose_member())

    def stall_disk(self) -> None:
        member = self.choose_member()
        if member is not None:
            member.sync_duration = self.random.choice([0.01, 0.1, 0.4])

    def retire(self) -> None:
        """Remove a member for good, so that a learner takes its place."""
        members = self.site.members_by_id.values()
        member = self.choose_member()
        has_spare = len(members) > self.site.group_count
        if member is None or not has_spare or any(each.is_retired for each in members):
            return
        member.is_retired = True
        self.site.stop_process(member)

    def lose_disk(self) -> None:
        """Kill a member and empty its disk, once the last loss is repaired."""
        member = self.choose_member()
        if member is None or not all(map(self.has_caught_up, self.list_in_use())):
            return
        self.kill(member)
        member.disk_by_controller.clear()

    def list_in_use(self) -> list[Member]:
        """Return the members that are not removed."""
        members = self.site.members_by_id.values()
        return [member for member in members if not member.is_retired]

    def has_caught_up(self, member: Member) -> bool:
        """Return whether a member takes part in all logs, together with the others."""
        replicas = [
            box.state.replica
            for name, box in member.mailboxes_by_name.items()
            if name.startswith("configuration")
        ]
        in_use = {each.id for each in self.list_in_use()}
        return member.is_up and all(
            replica.role is not Role.BLANK and in_use.issuperset(replica.members)
            for replica in replicas
        )

    # Backend servers

    def cut_server(self) -> None:
        server = self.random.choice(self.site.servers)
        ids = list(self.site.members_by_id)
        chosen = self.random.choice([ids, self.random.sample(ids, 1)])
        both = {(id_, server.id) for id_ in chosen} | {
            (server.id, id_) for id_ in chosen
        }
        answers = {(server.id, id_) for id_ in chosen}
        self.cut_links(self.random.choice([both, both, answers]))

    def cut_server_and_hand_over(self) -> None:
        self.cut_server()
        self.site.run_for(self.random.uniform(0.0, 1.0))
        self.hand_over_all()

    def leave_servers_to_leader(self) -> None:
        """Cut backend servers off from all members but a leader that is then lost."""
        group = self.choose_group()
        leader = self.find_leader(group)
        if leader is None:
            return
        for server in self.random.sample(self.site.servers[3 * group :][:3], 2):
            others = [id_ for id_ in self.site.members_by_id if id_ != leader.id]
            links = {(id_, server.id) for id_ in others}
            self.cut_links(links | {(server.id, id_) for id_ in others})
        self.site.run_for(self.random.uniform(0.0, 0.2))
        for _ in range(self.random.randint(1, 4)):
            self.site.submit(self.make_job(group, ""), group)
        lose = self.random.choice(
            [self.cut_member, self.cut_member, self.freeze_member]
        )
        lose(leader)
        if self.random.random() < 0.3:
            self.transfer(group)

    def crash_server(self) -> None:
        server = self.random.choice(self.site.servers)
        if server.is_up(self.site.now):
            server.restart(self.site.now, self.random.choice([0.0, 0.3, 1.5, 4.0]))

    def strand_jobs(self) -> None:
        """Send jobs to a group whose only fitting server is away for a while."""
        group = self.choose_group()
        server = self.site.servers[3 * group]
        if server.is_up(self.site.now):
            server.restart(self.site.now, self.random.choice([1.0, 2.5]))
        self.site.run_for(self.random.choice([0.1, 0.6]))
        count = self.random.randint(1, 4)
        jobs = [self.make_job(group, LABEL) for _ in range(count)]
        for job in jobs:
            self.site.submit(job, group)
        self.site.run_for(self.random.uniform(0.0, 1.0))
        for delay in (1.0, 1.5, 2.0, 3.0):
            for job in jobs:
                submit = partial(self.site.submit, job, group)
                self.site.schedule(delay * self.random.uniform(0.5, 1.0), submit)

    def strand_jobs_and_lose_leaders(self) -> None:
        self.strand_jobs()
        for _ in range(self.random.randint(1, 3)):
            lose = self.random.choice([self.hand_over, self.kill_leader])
            lose()
            self.site.run_for(self.random.uniform(0.0, 0.5))

    def drain_server(self) -> None:
        server = self.random.choice(self.site.servers)
        if server.is_up(self.site.now):
            self.site.leave(server, self.random.uniform(0.0, 3.0))

    def join(self) -> None:
        if len(self.site.servers) < 8 * self.site.group_count:
            self.site.add_server(self.choose_group())

    def join_and_lose_leader(self) -> None:
        group = self.choose_group()
        self.site.add_server(group)
        self.site.run_for(self.random.uniform(0.05, 0.5))
        for _ in range(4):
            self.submit()
        self.site.run_for(self.random.uniform(0.02, 0.3))
        lose = self.random.choice([self.kill, self.freeze_member, self.cut_member])
        lose(self.find_leader(group))

    def lose_reports(self) -> None:
        self.site.report_loss = self.random.choice([0.0, 0.3, 0.9])

    def lose_calls(self) -> None:
        self.site.call_loss = self.random.choice([0.0, 0.02, 0.1])
