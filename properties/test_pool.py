"""The pool controller, checked against an oracle of starts, slots and outcomes."""

from __future__ import annotations

from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from boragetide.controllers import backend_servers
from boragetide.effects import CancelTasks, Send, StartTasks
from boragetide.messages import (
    AnnounceBackendServer,
    CancelQueued,
    ConfigurationChanged,
    QueueTasks,
    TaskEnded,
    TaskReport,
    TasksRefused,
    Tick,
)
from boragetide.tests.pool_fixtures import NOW, describe_server, make_placer
from boragetide.types import (
    BackendServer,
    ClassTarget,
    Configuration,
    Task,
    TaskOutcome,
    TaskStatus,
)

SERVERS = ("s1", "s2", "s3")
TIMEOUT = 5.0  # seconds
STATUSES = tuple(TaskStatus)


class PoolMachine(RuleBasedStateMachine):
    """Drives the controller; the oracle follows its effects and messages."""

    def __init__(self):
        super().__init__()
        self.now = NOW
        self.state = make_placer()
        self.servers: dict[str, BackendServer] = {}
        self.jobs: dict[str, QueueTasks] = {}
        self.running: dict[str, dict[str, float]] = {name: {} for name in SERVERS}
        self.leases: dict[str, str] = {}
        self.last_statuses: dict[tuple[str, int], TaskStatus | None] = {}
        self.ended: Counter[tuple[str, int]] = Counter()
        self.overdue: set[str] = set()
        self.cancelled: set[str] = set()
        self.refused: set[str] = set()
        self.drained: frozenset[str] = frozenset()

    def deliver(self, message):
        for effect in backend_servers.handle(message, self.state, self.now):
            if isinstance(effect, StartTasks):
                self.check_start(effect)
            elif isinstance(effect, CancelTasks):
                may_run = set(self.running[effect.server]) | self.overdue
                assert set(effect.task_ids) <= may_run
            elif isinstance(effect, Send):
                self.check_message(effect.message)

    def check_start(self, effect):
        server = self.servers[effect.server]
        health = self.state.servers_by_id[effect.server].health
        assert not server.leaving and effect.server not in self.drained
        assert effect.server not in self.state.ejected
        running = self.running[effect.server]
        for start in effect.tasks:
            index = int(start.id.rpartition(".")[2].partition("~")[0])
            key = (start.job_id, index)
            if key in self.last_statuses:
                job = self.jobs[start.job_id]
                restartable = {TaskStatus.NOT_RUN}
                if job.idempotent:
                    restartable.add(TaskStatus.UNKNOWN)
                assert self.last_statuses[key] in restartable
            assert start.job_id not in self.cancelled | self.refused
            self.last_statuses[key] = None
            running[start.id] = self.now
        assert len(running) <= min(server.slots, max(health.limit, 1))
        self.leases[effect.server] = effect.lease

    def check_message(self, message):
        if isinstance(message, TaskEnded):
            key = (message.job_id, message.index)
            self.ended[key] += 1
            assert self.ended[key] == 1
            assert message.job_id not in self.cancelled | self.refused
            if message.outcome.status is not TaskStatus.DONE:
                self.cancelled.add(message.job_id)
        elif isinstance(message, TasksRefused):
            assert all(
                status is TaskStatus.NOT_RUN
                for (job, _), status in self.last_statuses.items()
                if job == message.job_id
            )
            self.refused.add(message.job_id)

    @rule(
        name=st.sampled_from(SERVERS),
        slots=st.integers(1, 4),
        connections=st.integers(1, 3),
        leaving=st.booleans(),
    )
    def announce(self, name, slots, connections, leaving):
        known = self.servers.get(name)
        if known is not None:
            slots, connections = known.slots, known.connections
        self.servers[name] = describe_server(
            name,
            slots=slots,
            connections=connections,
            cores=4.0,
            memory=100,
            leaving=leaving,
        )
        self.deliver(AnnounceBackendServer(self.servers[name]))

    @rule(
        sizes=st.lists(st.none() | st.floats(0.01, 2.0), min_size=1, max_size=6),
        idempotent=st.booleans(),
        team=st.sampled_from(("", "a", "b")),
        name=st.sampled_from(("default", "batch")),
        cores=st.sampled_from((0.0, 0.0, 2.0, 8.0)),
    )
    def queue(self, sizes, idempotent, team, name, cores):
        tasks = tuple(Task(None, size, TIMEOUT, cores) for size in sizes)
        job_id = f"job-{len(self.jobs)}"
        single = idempotent and len(tasks) == 1
        self.jobs[job_id] = QueueTasks(job_id, name, tasks, single, team)
        self.deliver(self.jobs[job_id])

    @precondition(lambda self: any(self.running.values()))
    @rule(data=st.data(), status=st.sampled_from(STATUSES), wait=st.floats(0, 0.5))
    def report(self, data, status, wait):
        self.now += wait
        running = [(s, t) for s in SERVERS for t in self.running[s]]
        server, task_id = data.draw(st.sampled_from(running))
        started = self.running[server].pop(task_id)
        self.record_status(task_id, status)
        outcome = TaskOutcome(status, error="reported")
        lease = self.leases[server]
        report = TaskReport(server, lease, task_id, outcome, self.now - started)
        self.deliver(report)
        self.deliver(report)

    def record_status(self, task_id, status):
        job_id, _, rest = task_id.rpartition(".")
        self.last_statuses[job_id, int(rest.partition("~")[0])] = status

    @precondition(lambda self: bool(self.jobs))
    @rule(data=st.data())
    def cancel(self, data):
        job_id = data.draw(st.sampled_from(sorted(self.jobs)))
        self.cancelled.add(job_id)
        self.deliver(CancelQueued(job_id))

    @rule(wait=st.sampled_from((0.1, 0.1, 1.0, 9.0)))
    def tick(self, wait):
        self.now += wait
        for tasks in self.running.values():
            for task_id, started in list(tasks.items()):
                if self.now >= started + TIMEOUT + 3.0:
                    del tasks[task_id]
                    self.overdue.add(task_id)
                    self.record_status(task_id, TaskStatus.UNKNOWN)
        for server in self.servers.values():
            self.deliver(AnnounceBackendServer(server))
        self.deliver(Tick())

    @rule(
        drained=st.frozensets(st.sampled_from(SERVERS)),
        share=st.sampled_from((0.1, 0.5, 1.0)),
    )
    def configure(self, drained, share):
        self.drained = drained
        targets = {
            "default": ClassTarget("default", 2.0, 1.0),
            "batch": ClassTarget("batch", 10.0, share),
        }
        self.deliver(ConfigurationChanged(Configuration(1, targets, drained)))

    @invariant()
    def counts_agree(self):
        state = self.state
        for name, leased in state.servers_by_id.items():
            assert set(leased.running_by_id) == set(self.running[name])
            assert len(leased.tasks_by_call) <= leased.server.connections
            assert sum(leased.tasks_by_call.values()) == len(leased.running_by_id)
        waiting = sum(len(job.waiting) for job in state.jobs_by_id.values())
        assert state.queued_tasks == waiting
        assert waiting == sum(q.waiting for q in state.queues_by_class.values())
        running = sum(map(len, self.running.values()))
        assert len(state.expected_releases) == running
        assert sum(q.running for q in state.queues_by_class.values()) == running

    @invariant()
    def every_task_is_accounted_for(self):
        for job_id, job in self.jobs.items():
            if job_id in self.cancelled | self.refused:
                continue
            ended = sum(self.ended[job_id, index] for index in range(len(job.tasks)))
            queued = self.state.jobs_by_id.get(job_id)
            left = 0
            if queued is not None:
                left = len(queued.waiting) + len(queued.server_by_running_task)
                left += queued.delayed
            assert ended + left == len(job.tasks)


TestPool = PoolMachine.TestCase
