"""Durable jobs beside unequal backend servers of which some are lost for good."""

from __future__ import annotations

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from boragetide.durable import JobPhase, Resources, Step
from boragetide.messages import ReplyStatus
from boragetide.policy.crash_suspicion import FATE_WAIT
from boragetide.tests.durable_fixtures import make_durable_job
from boragetide.types import Seconds
from properties.group_site import Call, GroupSite
from properties.simulated_server import SimulatedServer

GROUP = 0
COMMON_LABEL, RARE_LABEL = "a", "b"
LARGE_CAPACITY = Resources(96_000, 200_000)
FOR_EVER: Seconds = 10_000.0
NEEDS = Resources(20_000, 64)
# What the tasks of a job need, by name; only the large backend server can run all.
STEPS_BY_NAME = {
    "plain": Step(1, NEEDS, 0.3),
    "common": Step(1, NEEDS, 0.3, required_label=COMMON_LABEL),
    "rare": Step(1, NEEDS, 0.3, required_label=RARE_LABEL),
    "large": Step(1, Resources(70_000, 64), 0.3),
    "memory": Step(1, Resources(1_000, 150_000), 0.3),
    "spread": Step(3, NEEDS, 0.3, max_per_server=1),
}
EXAMPLES = 40
# Longest time without a start; suspects wait for the fate of a lost server.
SETTLING_DURATION: Seconds = 3 * FATE_WAIT + 30.0


class LostCapacity(RuleBasedStateMachine):
    """The oracle: a job that the remaining servers can run ends, whatever waits."""

    def __init__(self) -> None:
        super().__init__()
        self.site = GroupSite(group_count=1)
        for number in range(3):
            self.site.add_server(f"usual{number}", GROUP, labels=(COMMON_LABEL,))
        labels = (COMMON_LABEL, RARE_LABEL)
        for number in range(2):
            self.site.add_server(
                f"large{number}", GROUP, labels=labels, capacity=LARGE_CAPACITY
            )
        self.site.start()
        self.calls: list[Call] = []

    @rule(
        names=st.lists(st.sampled_from(sorted(STEPS_BY_NAME)), min_size=1, max_size=2),
        count=st.sampled_from([1, 5, 30]),
    )
    def submit(self, names: list[str], count: int) -> None:
        """Submit equal jobs; the steps of a job wait for each other."""
        steps = [
            Step(
                step.count,
                step.needs,
                step.estimate,
                depends_on=(number - 1,) if number else (),
                required_label=step.required_label,
                max_per_server=step.max_per_server,
            )
            for number, step in enumerate(STEPS_BY_NAME[name] for name in names)
        ]
        for _ in range(count):
            job = make_durable_job(f"j{len(self.calls):04}", *steps, attempts=9)
            self.calls.append(self.site.submit(job, GROUP))

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 4.0]))
    def pass_time(self, seconds: Seconds) -> None:
        self.site.run_for(seconds)

    @rule(name=st.sampled_from(["large0", "large1", "usual0", "usual1"]))
    def lose(self, name: str) -> None:
        """Lose a backend server for good."""
        server = self.site.find_server(name)
        if server.is_up(self.site.now):
            server.restart(self.site.now, FOR_EVER)

    @rule()
    def lose_large_servers(self) -> None:
        """Lose all backend servers of which some jobs need one."""
        self.lose("large0")
        self.lose("large1")

    @rule(name=st.sampled_from(["usual0", "usual2", "large0"]))
    def drain(self, name: str) -> None:
        server = self.site.find_server(name)
        server.draining = not server.draining

    @rule()
    def change_leader(self) -> None:
        self.site.change_leader(GROUP)

    def teardown(self) -> None:
        """End the other faults; all jobs that can run must end."""
        for server in self.site.servers:
            server.draining = False
        starts, last_start_at = 0, self.site.now
        while waiting := self.list_waiting():
            if len(self.site.starts) > starts:
                starts, last_start_at = len(self.site.starts), self.site.now
            assert self.site.now < last_start_at + SETTLING_DURATION, waiting
            self.site.run_for(0.5)

    def list_waiting(self) -> list[str]:
        """Return the accepted jobs that can run and have not ended."""
        up = [each for each in self.site.servers if each.is_up(self.site.now)]
        return [
            call.request.job.id
            for call in self.calls
            if call.reply is None
            or (
                call.reply.status is ReplyStatus.ACCEPTED
                and self.site.find_phase(call.request.job.id) is JobPhase.ACTIVE
                and all(can_run(step, up) for step in call.request.job.steps)
            )
        ]


def can_run(step: Step, servers: list[SimulatedServer]) -> bool:
    """Return whether one of the backend servers can run a task while it is empty."""
    return any(
        step.needs.fits_in(server.capacity)
        and (not step.required_label or step.required_label in server.labels)
        for server in servers
    )


def test_jobs_that_can_run_end_whatever_waits_for_lost_servers() -> None:
    """Guards against work that is kept from servers by work that cannot run there."""
    run_state_machine_as_test(
        LostCapacity,
        settings=settings(
            max_examples=max(EXAMPLES, settings.default.max_examples // 4),
            stateful_step_count=12,
            suppress_health_check=list(HealthCheck),
        ),
    )
