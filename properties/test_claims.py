"""No task starts twice under network faults, clock skew, restarts and freezes.

Messages are delivered late, out of order or never, clocks differ between instances,
and instances restart or are suspended and resumed.
"""

from __future__ import annotations

import itertools
from collections import Counter
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, ClassVar

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from boragetide.controllers import claims, jobs
from boragetide.effects import Persist, Reply, SaveSnapshot, Send
from boragetide.messages import (
    EARLIER_REFUSAL,
    AcceptorRegistered,
    CancelQueued,
    ClaimAndSubmit,
    ClaimReply,
    ClaimRequest,
    ClaimsRecovered,
    JobAnswer,
    QueueTasks,
    SaveClaims,
    SubmitJob,
    TaskEnded,
    TasksRefused,
    Tick,
    WokeUp,
)
from boragetide.policy.claiming import (
    AskAcceptor,
    AskOwner,
    Decided,
    Replies,
    decide_claim,
)
from boragetide.policy.ids import generate_job_id, parse_generated_id
from boragetide.policy.routing import find_claim_group, find_home_zone
from boragetide.tests.conftest import make_settings
from boragetide.types import (
    Address,
    Claim,
    ReplyTo,
    Status,
    Submission,
    Task,
    TaskOutcome,
    TaskStatus,
)

START = 1_000_000.0
RESUBMISSION_WINDOW = 600.0
PROFILE = settings(max_examples=3 * settings().max_examples)
NUMBERS = st.integers(0, 1 << 20)


@dataclass
class Process:
    """One incarnation of an instance, with the queued and started tasks of its pool."""

    name: str
    clock_skew: float
    claims: claims.ClaimsState
    jobs: jobs.JobsState
    queued: list[tuple[str, int]] = field(default_factory=list)
    started: list[tuple[str, int]] = field(default_factory=list)
    frozen_at: float | None = None


@dataclass
class ClaimAttempt:
    """A submission that the claim filter of its entry instance is processing."""

    entry: Process
    claim: Claim
    asked_at: float
    lost: frozenset[str]
    replies: dict[str, ClaimReply | None] = field(default_factory=dict)
    asked: str | None = None
    refusals: int = 0


class ClaimsMachine(RuleBasedStateMachine):
    """Three acceptors of zone ``a`` and an instance of zone ``b``."""

    zones_by_id: ClassVar = {"a1": "a", "a2": "a", "a3": "a", "b1": "b"}

    def __init__(self) -> None:
        super().__init__()
        self.now = START
        self.disks: dict[str, ClaimsRecovered] = {}
        self.processes: dict[str, Process] = {}
        self.network: list[tuple[Address, Any, Process | None]] = []
        self.attempts: dict[int, ClaimAttempt] = {}
        self.requests = itertools.count(1)
        self.starts: Counter[tuple[str, int]] = Counter()
        self.submitted_at: dict[str, float] = {}
        for name in self.zones_by_id:
            self.start_process(name, first=True)

    def start_process(self, name: str, *, first: bool) -> None:
        self.now += 0.01
        skew = 5.0 * (hash_name(name, len(self.network)) % 11 - 5) / 10
        instance_settings = make_settings(name, self.zones_by_id)
        incarnation = int((self.now + skew) * 1000)
        previous = self.processes.get(name)
        if previous is not None:
            incarnation = max(incarnation, previous.claims.incarnation + 1)
        process = Process(
            name,
            skew if previous is None else previous.clock_skew,
            claims.ClaimsState(instance_settings, incarnation),
            jobs.JobsState(instance_settings, incarnation),
        )
        self.processes[name] = process
        # Messages that a process sent to itself are lost when it restarts.
        self.network = [
            sent for sent in self.network if sent[2] is None or sent[2] is not previous
        ]
        self.handle(name, "claims", self.disks.get(name, ClaimsRecovered(None, ())))
        self.handle(name, "claims", AcceptorRegistered(first))

    def handle(self, name: str, controller: str, message: Any) -> None:
        process = self.processes[name]
        now = self.now + process.clock_skew
        module, state = {
            "claims": (claims, process.claims),
            "jobs": (jobs, process.jobs),
        }[controller]
        for effect in module.handle(message, state, now):
            match effect:
                case Send(Address(_, "configuration")):
                    pass
                case Send(to, sent):
                    self.send(process, to, sent)
                case Reply(None):
                    pass
                case Reply(to, sent):
                    self.check_answer(sent)
                    self.send(process, Address(to.instance, str(to.request)), sent)
                case SaveSnapshot(record):
                    self.disks[name] = ClaimsRecovered(record, ())
                case Persist(records):
                    disk = self.disks[name]
                    self.disks[name] = replace(disk, claims=disk.claims + records)

    def send(self, sender: Process, to: Address, message: Any) -> None:
        local = sender if to.instance == sender.name else None
        self.network.append((to, message, local))

    def check_answer(self, message: Any) -> None:
        if isinstance(message, JobAnswer) and message.answer.status is Status.NOT_RUN:
            assert not self.starts[message.answer.id, 0]

    def deliver(self, number: int) -> None:
        if not self.network:
            return
        # Deliver the oldest message half of the time, so that most exchanges complete.
        position = number // 2 % len(self.network) if number % 2 else 0
        to, message, _ = self.network[position]
        process = self.processes[to.instance]
        if process.frozen_at is not None:
            self.network.append(self.network.pop(position))
            return
        del self.network[position]
        if to.controller == "backend_servers":
            self.handle_pool_message(process, message)
        elif to.controller.isdigit():
            self.take_reply(int(to.controller), process, message)
        else:
            self.handle(to.instance, to.controller, message)

    def handle_pool_message(self, process: Process, message: Any) -> None:
        if isinstance(message, QueueTasks):
            tasks = range(len(message.tasks))
            process.queued += [(message.job_id, index) for index in tasks]
        elif isinstance(message, CancelQueued):
            process.queued = [t for t in process.queued if t[0] != message.job_id]

    def take_reply(self, request: int, process: Process, message: Any) -> None:
        attempt = self.attempts.get(request)
        if attempt is None or attempt.entry is not process:
            return
        del self.attempts[request]
        if isinstance(message, JobAnswer) and message.refused_for == EARLIER_REFUSAL:
            attempt.refusals = message.refusals
            self.continue_attempt(attempt)
        if isinstance(message, ClaimReply):
            attempt.replies[attempt.asked] = message
            self.continue_attempt(attempt)

    def continue_attempt(self, attempt: ClaimAttempt) -> None:
        """Decide on the next step and send its message, as the claim filter does."""
        own = attempt.entry.claims.settings
        job_id = attempt.claim.id
        group = find_claim_group(find_home_zone(job_id, own), own)
        replies: Replies = attempt.replies
        entry = attempt.entry.name
        step = decide_claim(attempt.claim, group, replies, entry, attempt.lost)
        request = next(self.requests)
        reply_to = ReplyTo(entry, request)
        submission = Submission(job_id, "default", (Task(0), Task(1)))
        match step:
            case AskAcceptor(acceptor, claim):
                to = Address(acceptor, "claims")
                message: Any = ClaimRequest(
                    claim=claim, asked_at=attempt.asked_at, reply_to=reply_to
                )
            case AskOwner(claim):
                to = Address(claim.owner, "claims")
                given = {name: reply for name, reply in replies.items() if reply}
                message = ClaimAndSubmit(
                    submission=submission,
                    claim=claim,
                    asked_at=attempt.asked_at,
                    replies_by_acceptor=given,
                    refusals=attempt.refusals,
                    reply_to=reply_to,
                )
            case Decided(claim):
                to = Address(claim.owner, "jobs")
                message = SubmitJob(
                    submission=submission,
                    claim=claim,
                    refusals=attempt.refusals,
                    reply_to=reply_to,
                )
            case _:
                return
        attempt.asked = to.instance
        self.attempts[request] = attempt
        self.send(attempt.entry, to, message)

    @rule(seed=NUMBERS, steps=st.integers(1, 60))
    def submit(self, seed: int, steps: int) -> None:
        """Submit new jobs and resubmit known jobs concurrently."""
        random = Random(seed)
        for _ in range(3):
            for _ in range(random.randint(1, 3)):
                self.submit_one(*(random.randrange(1 << 20) for _ in range(4)))
            self.run(seed, steps)

    def submit_one(self, entry: int, owner: int, job: int, lost_mask: int) -> None:
        chosen = select(list(self.processes.values()), entry)
        now = self.now + chosen.clock_skew
        number = len(self.submitted_at)
        new_id = generate_job_id(chosen.claims.settings, now, number)
        job_id = select([f"a:{number}", new_id, *list(self.submitted_at)[-3:] * 2], job)
        first = self.submitted_at.setdefault(job_id, self.now)
        if chosen.frozen_at is not None:
            return
        if (
            parse_generated_id(job_id, chosen.claims.settings) is None
            and self.now > first + RESUBMISSION_WINDOW
        ):
            return
        named = select(list(self.processes.values()), owner)
        claim = Claim(job_id, named.name, named.jobs.incarnation, now)
        lost = {name for bit, name in enumerate(self.processes) if lost_mask >> bit & 1}
        self.continue_attempt(
            ClaimAttempt(chosen, claim, now, frozenset(lost if lost_mask % 3 else ()))
        )

    @rule(seed=NUMBERS, steps=st.integers(1, 60))
    def run(self, seed: int, steps: int) -> None:
        """Deliver or lose messages, time out requests, start or end tasks at random."""
        random = Random(seed)
        actions = (
            self.deliver,
            self.drop_message,
            self.time_out_request,
            self.start_task,
            self.end_task,
        )
        for _ in range(steps):
            (action,) = random.choices(actions, (30, 1, 1, 6, 2))
            action(random.randrange(1 << 20))

    def drop_message(self, number: int) -> None:
        if self.network:
            del self.network[number % len(self.network)]

    def time_out_request(self, number: int) -> None:
        """Time out a pending request; its message may still arrive later."""
        if not self.attempts:
            return
        attempt = self.attempts.pop(select(list(self.attempts), number))
        if attempt.entry is self.processes[attempt.entry.name]:
            attempt.replies[attempt.asked] = None
            self.continue_attempt(attempt)

    def start_task(self, number: int) -> None:
        runnable = [
            p for p in self.processes.values() if p.queued and p.frozen_at is None
        ]
        if runnable:
            process = select(runnable, number)
            task = process.queued.pop(number % len(process.queued))
            process.started.append(task)
            self.starts[task] += 1

    def end_task(self, number: int) -> None:
        runnable = [p for p in self.processes.values() if p.started]
        if runnable:
            process = select(runnable, number)
            job_id, index = process.started.pop(number % len(process.started))
            ended = TaskEnded(job_id, index, TaskOutcome(TaskStatus.DONE, index))
            self.send(process, Address(process.name, "jobs"), ended)

    @rule(name=NUMBERS, clean=st.booleans())
    def restart(self, name: int, clean: bool) -> None:
        process = select(list(self.processes.values()), name)
        if clean and process.frozen_at is None:
            self.handle(process.name, "claims", SaveClaims())
        self.start_process(process.name, first=False)
        self.tick()

    @rule(name=NUMBERS)
    def freeze_or_thaw(self, name: int) -> None:
        process = select(list(self.processes.values()), name)
        if process.frozen_at is None:
            process.frozen_at = self.now
            return
        asleep_since, process.frozen_at = process.frozen_at, None
        if self.now > asleep_since + process.jobs.settings.timing.instance_silence:
            process.queued.clear()
            self.handle(process.name, "jobs", WokeUp(asleep_since))

    @rule(seconds=st.sampled_from([0.5, 1.0, 3.0, 9.0, 290.0, 590.0, 640.0]))
    def advance(self, seconds: float) -> None:
        self.now += seconds
        self.tick()

    def tick(self) -> None:
        for process in self.processes.values():
            if process.frozen_at is None:
                self.handle(process.name, "claims", Tick())
                self.handle(process.name, "jobs", Tick())

    @rule(name=NUMBERS)
    def refuse_jobs(self, name: int) -> None:
        """Refuse the queued jobs none of whose tasks has started."""
        process = select(list(self.processes.values()), name)
        for job_id in {task[0] for task in process.queued}:
            if {(job_id, 0), (job_id, 1)} <= set(process.queued):
                process.queued = [t for t in process.queued if t[0] != job_id]
                refused = TasksRefused(job_id, "the queue is full")
                self.handle(process.name, "jobs", refused)

    @invariant()
    def no_task_started_twice(self) -> None:
        assert all(count == 1 for count in self.starts.values()), self.starts


class PairMachine(ClaimsMachine):
    """A claim group of two instances."""

    zones_by_id: ClassVar = {"a1": "a", "b1": "b"}


class SingleMachine(ClaimsMachine):
    """A claim group of one instance, with a journal."""

    zones_by_id: ClassVar = {"a1": "a"}


def select(choices: list[Any], number: int) -> Any:
    return choices[number % len(choices)]


def hash_name(name: str, number: int) -> int:
    return sum(name.encode()) * 7 + number


ClaimsMachine.TestCase.settings = PROFILE
PairMachine.TestCase.settings = PROFILE
SingleMachine.TestCase.settings = PROFILE
TestClaims = ClaimsMachine.TestCase
TestClaimsOfTwo = PairMachine.TestCase
TestClaimsOfOne = SingleMachine.TestCase
