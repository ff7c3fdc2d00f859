"""Model of a deputy that serves a partitioned availability zone, on a virtual clock.

``python -m benchmarks.zone_leases`` plays faults against the rules that
``docs/design/partitioned-zone.md`` proposes: one leader, the deputy of one zone, and
the backend servers of its group there. It prints how long nobody may start the jobs of
the zone, when the deputy and the leader begin, how many of the runs in progress at the
begin of the fault are kept, and how often two runs of a task were in progress at once.
Each job is submitted on both sides at random times, as by a caller that tries again.
"""

from __future__ import annotations

import argparse

from benchmarks.zone_faults import (
    DEPUTY,
    FAULT_AT,
    FAULTS,
    LEADER,
    MEMBER,
    OUTSIDE,
    Fault,
    make_random_fault,
)
from benchmarks.zone_lease_outcomes import Outcome, count_runs, summarize
from benchmarks.zone_lease_rules import (
    CLOSE_SILENCE,
    FIRST_FOREIGN_JOB,
    SERVERS,
    ZONE_LEASE,
    DeputyModel,
    Holder,
    LeaderModel,
    Mode,
    Question,
    Run,
    ServerModel,
    find_leader_fence,
    is_foreign,
)
from benchmarks.zone_network import FaultyNetwork
from boragetide.controllers.runs import READ_MAX_WAIT
from boragetide.controllers.server_state import LEASE_DURATION
from boragetide.policy.replication import LEADER_HEARTBEAT
from boragetide.types import Seconds

# A deputy that has not run for this long knows nothing of what it missed.
MAX_TICK_GAP: Seconds = 0.3
TICK: Seconds = 0.1
JOB_INTERVAL: Seconds = 0.05
MAX_ATTEMPT_GAP: Seconds = 1.5
SHORTEST_RUN: Seconds = 0.05
LONGEST_RUN: Seconds = 6.0
SAMPLE: Seconds = 0.01
END_AT: Seconds = FAULT_AT + 15.0


class Play(FaultyNetwork):
    """One play of a fault."""

    def __init__(self, fault: Fault, seed: int):
        super().__init__(fault, seed)
        self.servers_by_id = {name: ServerModel() for name in (*SERVERS, OUTSIDE)}
        now = self.clock.now
        self.leader = LeaderModel(Holder(2, set(SERVERS)), Mode.LEASED, now, now)
        self.leader.zone_heard_at = now
        self.deputy = DeputyModel(Holder(0), now, now, now, now - 1.0)
        self.outcome = Outcome()
        self.run_seconds: dict[int, Seconds] = {}
        self.home_count = self.foreign_count = 0
        self.repeat(LEADER_HEARTBEAT, self.ask)
        self.repeat(TICK, self.tick_leader)
        self.repeat(TICK, self.tick_deputy)
        self.repeat(JOB_INTERVAL, self.submit)
        self.repeat(JOB_INTERVAL, self.submit_foreign)
        self.repeat(SAMPLE, self.sample)
        for server in SERVERS:
            self.repeat(READ_MAX_WAIT, lambda each=server: self.renew_leader(each))
            self.repeat(READ_MAX_WAIT, lambda each=server: self.renew_deputy(each))

    def run(self) -> Outcome:
        """Play the fault and return the result."""
        self.clock.run(END_AT)
        count_runs(self.outcome, self.servers_by_id, END_AT)
        return self.outcome

    def ask(self) -> None:
        """Ask the deputy whether the zone may be used, and tell it what is done."""
        now, leader = self.clock.now, self.leader
        holder, is_closed = leader.holder, leader.mode is Mode.CLOSED
        heard_ago = now - leader.heard_at
        if not leader.closing:
            leader.named_fence = holder.fence
        named, done = leader.named_fence, set(holder.done)
        question = Question(now, heard_ago, named, done, is_closed)
        self.send(LEADER, DEPUTY, lambda: self.answer(question))

    def answer(self, question: Question) -> None:
        """Let the leader use the zone, or hand over to it."""
        now, deputy = self.clock.now, self.deputy
        if question.fence < deputy.asked_fence:
            return
        deputy.asked_fence = question.fence
        deputy.holder.done |= question.done
        deputy.is_closed |= question.is_closed
        # A leader that has not heard the last answers does not use the zone.
        is_heard = question.heard_ago <= ZONE_LEASE
        if deputy.begun_at is not None and is_heard:
            if deputy.taken_fence is None or question.fence < deputy.taken_fence:
                self.hand_over(question)
                return
            deputy.begun_at = deputy.taken_fence = None
        grants = is_heard and deputy.begun_at is None
        if grants:
            deputy.granted_at = now
        asked_at = question.asked_at
        self.send(DEPUTY, LEADER, lambda: self.record_answer(asked_at, grants))

    def hand_over(self, question: Question) -> None:
        """Tell the leader what runs and what is done in the zone."""
        deputy = self.deputy
        deputy.granted_at = self.clock.now
        fence = deputy.holder.fence
        deputy.taken_fence = find_leader_fence(max(question.fence, fence))
        running, done = dict(deputy.holder.server_by_job), set(deputy.holder.done)
        asked_at = question.asked_at
        self.send(
            DEPUTY, LEADER, lambda: self.take_over(asked_at, fence, running, done)
        )

    def take_over(
        self, asked_at: Seconds, fence: int, known: dict[int, str], done: set[int]
    ) -> None:
        """Take the zone from a deputy that hands it over."""
        leader = self.leader
        leader.holder.raise_fence(find_leader_fence(max(fence, leader.holder.fence)))
        if leader.mode is Mode.LEASED:
            leader.holder.server_by_job = known | leader.holder.server_by_job
        leader.holder.done |= done
        leader.closing = False
        leader.answered_at = max(leader.answered_at, asked_at)
        leader.heard_at = self.clock.now
        for server in SERVERS:
            self.read(LEADER, server, renews=False)
        self.ask()

    def record_answer(self, asked_at: Seconds, grants: bool) -> None:
        """Record an answer of the deputy."""
        self.leader.heard_at = self.clock.now
        if grants:
            self.leader.closing = False
            self.leader.answered_at = max(self.leader.answered_at, asked_at)
        else:
            self.ask()

    def tick_leader(self) -> None:
        """Take the servers from a deputy that is not heard."""
        now, leader = self.clock.now, self.leader
        for job in leader.list_lapsed(now):
            self.start(LEADER, OUTSIDE, job)
        if leader.mode is Mode.CLOSED or now - leader.heard_at < CLOSE_SILENCE:
            return
        # Without answers, the token is not raised: the deputy may need these servers.
        for server in SERVERS:
            self.read(LEADER, server, renews=False)

    def close_zone(self) -> None:
        """Take the servers, which all answer, from a deputy that does not."""
        leader = self.leader
        leader.closing = True
        leader.holder.raise_fence(find_leader_fence(leader.holder.fence))
        for server in SERVERS:
            self.read(LEADER, server, renews=False)

    def tick_deputy(self) -> None:
        """Begin if the zone is cut off; ask a member whether it is."""
        if self.is_frozen():
            return
        now, deputy = self.clock.now, self.deputy
        if now - deputy.ticked_at > MAX_TICK_GAP:
            deputy.woke_at = now
        deputy.ticked_at = now
        self.send(DEPUTY, MEMBER, lambda: self.send(MEMBER, DEPUTY, self.hear_member))
        if not deputy.should_begin(now):
            return
        deputy.begun_at, deputy.taken_fence = now, None
        self.outcome.begins += 1
        deputy.holder.raise_fence(deputy.find_next_fence())
        for server in SERVERS:
            self.read(DEPUTY, server, renews=False)

    def hear_member(self) -> None:
        """Note that a majority is there."""
        self.deputy.member_heard_at = self.clock.now

    def renew_leader(self, server: str) -> None:
        """Renew the leases at a server of the zone, if the leader may use it."""
        if self.leader.may_use_zone(self.clock.now):
            self.read(LEADER, server, renews=server in self.leader.holder.read)

    def renew_deputy(self, server: str) -> None:
        """Renew the leases at a server, if the deputy serves the zone."""
        deputy = self.deputy
        is_serving = deputy.begun_at is not None and not self.is_frozen()
        if is_serving and server not in deputy.holder.withdrawn:
            self.read(DEPUTY, server, renews=deputy.holder.is_clean(server))

    def read(self, reader: str, server: str, *, renews: bool) -> None:
        """Read the runs of a server, and renew its leases."""
        now = self.clock.now
        fence, lease_until = self.get_holder(reader).fence, now + LEASE_DURATION
        if reader == LEADER and renews:
            self.leader.lease_call_at_by_server[server] = now

        def list_runs() -> None:
            model = self.servers_by_id[server]
            model.settle(self.clock.now)
            is_fenced = fence < model.fence
            if not is_fenced:
                model.fence = fence
                for run in model.running.values() if renews else ():
                    run.lease_until = max(run.lease_until, lease_until)
            running, done = set(model.running), set(model.done)
            self.send(
                server,
                reader,
                lambda: self.record(reader, server, fence, is_fenced, running, done),
            )

        self.send(reader, server, list_runs)

    def get_holder(self, name: str) -> Holder:
        """Return what the leader or the deputy knows."""
        return self.leader.holder if name == LEADER else self.deputy.holder

    def record(
        self,
        reader: str,
        server: str,
        fence: int,
        is_fenced: bool,
        running: set[int],
        done: set[int],
    ) -> None:
        """Record a list; the leader has closed the zone once all servers list."""
        holder, leader, now = self.get_holder(reader), self.leader, self.clock.now
        if fence != holder.fence:
            return
        was_clean = holder.is_clean(server)
        if is_fenced:
            holder.withdrawn.add(server)
            holder.read.discard(server)
        else:
            holder.record_list(server, running, done)
        if reader == DEPUTY:
            if not is_fenced:
                self.stop_foreign(server, running, was_clean)
            return
        leader.answered_at_by_server[server] = now
        leader.hear_zone(now)
        if leader.mode is Mode.CLOSED or not leader.may_close(now):
            return
        if not leader.closing:
            if leader.have_all_answered():
                self.close_zone()
        elif len(holder.read) == len(SERVERS):
            leader.mode, leader.closing = Mode.CLOSED, False

    def stop_foreign(self, server: str, running: set[int], was_clean: bool) -> None:
        """Stop the runs of jobs of other zones, and then renew the leases."""
        foreign = {job for job in running if is_foreign(job)}
        if not foreign:
            if not was_clean:
                self.renew_deputy(server)
            return
        fence = self.deputy.holder.fence

        def stop() -> None:
            model = self.servers_by_id[server]
            if fence < model.fence:
                return
            for job in foreign & model.running.keys():
                model.running.pop(job).over_at = self.clock.now

        self.send(DEPUTY, server, stop)
        self.read(DEPUTY, server, renews=False)

    def submit_foreign(self) -> None:
        """Start a job of another zone on a server of this one."""
        leader = self.leader
        if not (leader.holder.read and leader.may_use_zone(self.clock.now)):
            return
        self.foreign_count += 1
        job = FIRST_FOREIGN_JOB + self.foreign_count
        self.run_seconds[job] = self.rng.uniform(SHORTEST_RUN, LONGEST_RUN)
        self.start(LEADER, self.rng.choice(sorted(leader.holder.read)), job)

    def submit(self) -> None:
        """Submit a job of the zone on both sides."""
        self.home_count += 1
        job = self.home_count
        self.run_seconds[job] = self.rng.uniform(SHORTEST_RUN, LONGEST_RUN)
        now = self.clock.now
        first, second = self.rng.sample((self.try_leader, self.try_deputy), 2)
        gap = self.rng.uniform(0.0, MAX_ATTEMPT_GAP)
        self.clock.schedule(now, lambda: first(job))
        self.clock.schedule(now + gap, lambda: second(job))

    def try_leader(self, job: int) -> None:
        """Start a job at the leader, in the zone or, once that is noted, outside."""
        now, leader = self.clock.now, self.leader
        if not (leader.may_use_zone(now) and leader.holder.may_run(job)):
            return
        if self.rng.random() < 0.5 and leader.holder.read:
            self.start(LEADER, self.rng.choice(sorted(leader.holder.read)), job)
            return
        if leader.mode is Mode.CLOSED or job in leader.noted:
            self.start(LEADER, OUTSIDE, job)
            return

        def confirm() -> None:
            leader.noted.add(job)
            self.try_leader(job)

        def note() -> None:
            if self.deputy.begun_at is None:
                self.deputy.outside_jobs.add(job)
                self.send(DEPUTY, LEADER, confirm)

        self.send(LEADER, DEPUTY, note)

    def try_deputy(self, job: int) -> None:
        """Start a job at the deputy."""
        deputy = self.deputy
        if self.is_frozen() or not deputy.may_start(self.clock.now):
            return
        usable = sorted(deputy.holder.read)
        is_free = deputy.holder.may_run(job) and job not in deputy.outside_jobs
        if is_free and usable:
            self.start(DEPUTY, self.rng.choice(usable), job)

    def start(self, starter: str, server: str, job: int) -> None:
        """Start a run on a server."""
        holder, now = self.get_holder(starter), self.clock.now
        holder.server_by_job[job] = server
        fence = holder.fence
        if starter == LEADER:
            self.leader.lease_call_at_by_server[server] = now
        lease = END_AT if server == OUTSIDE else now + LEASE_DURATION

        def begin() -> None:
            model, at = self.servers_by_id[server], self.clock.now
            if server != OUTSIDE:
                if fence < model.fence or at >= lease:
                    return
                model.fence = fence
            run = Run(job, at, at + self.run_seconds[job], lease)
            model.running[job] = run
            model.history.append(run)

        self.send(starter, server, begin)

    def sample(self) -> None:
        """Note who may start the jobs of the zone."""
        now, outcome = self.clock.now, self.outcome
        for server in self.servers_by_id.values():
            server.settle(now)
        is_led = self.leader.may_use_zone(now)
        is_deputized = self.deputy.may_start(now) and not self.is_frozen()
        if not (is_led or is_deputized):
            outcome.unserved += SAMPLE
        if is_deputized and outcome.deputy_after is None:
            outcome.deputy_after = now - FAULT_AT
        ended_at = self.fault.ends_at
        if is_led and now >= ended_at and outcome.leader_after is None:
            outcome.leader_after = now - ended_at


def main() -> None:
    """Play the faults and print the results (mean/longest of times, in seconds)."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", help="play faults whose name contains this")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--random", type=int, default=0, help="number of random faults")
    arguments = parser.parse_args()
    if arguments.random:
        numbers = range(1, arguments.random + 1)
        plays = [Play(make_random_fault(number), number) for number in numbers]
        print(summarize("random", [each.run() for each in plays]))
        return
    for name, fault in FAULTS.items():
        if arguments.only is None or arguments.only in name:
            seeds = range(1, arguments.seeds + 1)
            outcomes = [Play(fault, seed).run() for seed in seeds]
            print(summarize(name, outcomes), flush=True)


if __name__ == "__main__":
    main()
