"""Every waiting request gets the same complete answer, in any order of task ends."""

from __future__ import annotations

import itertools
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from boragetide.controllers import jobs
from boragetide.effects import Reply, Send
from boragetide.messages import (
    EARLIER_REFUSAL,
    OTHER_CONTENT,
    CancelJob,
    CancelQueued,
    JobAnswer,
    LookUpJob,
    QueueTasks,
    SubmitJob,
    TaskEnded,
    TasksRefused,
    Tick,
    WokeUp,
)
from boragetide.tests.conftest import make_settings
from boragetide.types import (
    Answer,
    Claim,
    ReplyTo,
    Status,
    Submission,
    Task,
    TaskOutcome,
    TaskStatus,
)

INCARNATION = 1_000_000
JOBS = st.sampled_from(["j1", "j2", "j3"])
DIGESTS = st.sampled_from(["d"] * 5 + ["e"])
STATUSES = st.sampled_from([TaskStatus.DONE] * 12 + list(TaskStatus))


class AnswersMachine(RuleBasedStateMachine):
    """One owner instance that gets reordered, late and duplicate task outcomes."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000.0
        self.state = jobs.JobsState(make_settings("a1", {"a1": "a"}), INCARNATION)
        self.requests = itertools.count(1)
        self.waiting: dict[int, str] = {}
        self.replied: set[int] = set()
        self.queued: dict[str, int] = {}
        self.outcomes: dict[str, dict[int, TaskOutcome]] = {}
        self.answers: dict[str, Answer] = {}
        self.answered_at: dict[str, float] = {}
        self.refused: set[str] = set()
        self.refusals: dict[str, int] = {}
        self.cancelled_at: dict[str, float] = {}
        self.submitted_at: dict[str, float] = {}

    def handle(self, message: Any) -> None:
        for effect in jobs.handle(message, self.state, self.now):
            if isinstance(effect, Reply):
                self.handle_reply(effect)
            elif isinstance(effect, Send) and isinstance(effect.message, QueueTasks):
                job_id = effect.message.job_id
                assert job_id not in self.queued, "queued twice"
                self.queued[job_id] = len(effect.message.tasks)
                self.outcomes[job_id] = {}
            elif isinstance(effect, Send):
                assert isinstance(effect.message, CancelQueued)

    def handle_reply(self, reply: Reply) -> None:
        request = reply.to.request
        assert request not in self.replied, "two replies to one request"
        self.replied.add(request)
        if not isinstance(reply.message, JobAnswer):
            return
        del self.waiting[request]
        self.check_answer(reply.message)

    def check_answer(self, message: JobAnswer) -> None:
        """Compare an answer with the first answer and with the reported outcomes."""
        answer = message.answer
        job_id = answer.id
        if message.refused_for == OTHER_CONTENT:
            known = job_id in self.queued or job_id in self.answers
            assert known and answer.status is Status.NOT_RUN
            return
        if answer.status is Status.NOT_RUN:
            assert job_id in self.refused
            if message.refused_for == EARLIER_REFUSAL:
                assert message.refusals > self.refusals[job_id]
                self.refusals[job_id] = message.refusals
            return
        first = self.answers.setdefault(job_id, answer)
        since = self.answered_at.setdefault(job_id, self.now)
        kept = self.now < since + self.state.settings.timing.answer_retention
        assert answer == first or (not kept and answer.status is Status.UNKNOWN)
        if answer.status is Status.COMPLETE:
            outcomes = self.outcomes[job_id]
            expected = tuple(outcomes[n].result for n in range(self.queued[job_id]))
            assert answer.results == expected
            assert {o.status for o in outcomes.values()} == {TaskStatus.DONE}

    @rule(job_id=JOBS, tasks=st.integers(1, 3), digest=DIGESTS, late=st.booleans())
    def submit(self, job_id: str, tasks: int, digest: str, late: bool) -> None:
        """Submit a job, also with a message from before its last refusal."""
        number = self.queued.get(job_id, tasks)
        work = tuple(Task(n) for n in range(number))
        submission = Submission(job_id, "default", work, digest=digest)
        claim = Claim(job_id, "a1", INCARNATION, self.now)
        request = next(self.requests)
        self.waiting[request] = job_id
        to = ReplyTo("a2", request)
        refusals = self.refusals.get(job_id, 0)
        is_void = late and refusals > 0 and job_id in self.refused
        if not is_void:
            self.refused.discard(job_id)
        self.submitted_at[job_id] = self.now
        message = SubmitJob(submission, claim, refusals - is_void, reply_to=to)
        self.handle(message)
        if is_void or job_id in self.cancelled_at:
            assert request in self.replied and job_id not in self.queued

    @rule(job_id=JOBS, index=st.integers(-1, 3), status=STATUSES, result=st.integers())
    def end_task(
        self, job_id: str, index: int, status: TaskStatus, result: int
    ) -> None:
        outcome = TaskOutcome(status, result if status is TaskStatus.DONE else None)
        if job_id in self.queued and 0 <= index < self.queued[job_id]:
            self.outcomes[job_id].setdefault(index, outcome)
        self.handle(TaskEnded(job_id, index, outcome))

    @rule(job_id=JOBS, order=st.permutations(range(3)), twice=st.booleans())
    def end_all_tasks(self, job_id: str, order: list[int], twice: bool) -> None:
        """End all tasks of a job in any order; random calls of `end_task` rarely do."""
        for index in order:
            if index < self.queued.get(job_id, 0):
                for _ in range(1 + twice):
                    result = next(self.requests)
                    self.end_task(job_id, index, TaskStatus.DONE, result)

    @rule(job_id=JOBS)
    def refuse(self, job_id: str) -> None:
        running = job_id in self.queued and job_id not in self.answers
        if running and not self.outcomes[job_id]:
            self.refused.add(job_id)
            self.refusals[job_id] = self.refusals.get(job_id, 0) + 1
            del self.queued[job_id]
            self.handle(TasksRefused(job_id, "the queue is full"))

    @rule(job_id=JOBS, cancel=st.booleans())
    def ask(self, job_id: str, cancel: bool) -> None:
        kind = CancelJob if cancel else LookUpJob
        known = (self.queued, self.answers, self.refused)
        if cancel and not any(job_id in each for each in known):
            self.cancelled_at.setdefault(job_id, self.now)
        request = next(self.requests)
        self.handle(kind(id=job_id, reply_to=ReplyTo("a2", request)))
        assert request in self.replied

    @rule()
    def wake_up(self) -> None:
        self.handle(WokeUp(self.now - 3))

    @rule(seconds=st.sampled_from([1.0, 200.0, 301.0]))
    def advance(self, seconds: float) -> None:
        self.now += seconds
        self.handle(Tick())
        retention = 2 * self.state.settings.timing.resubmission_window
        for job_id, submitted_at in self.submitted_at.items():
            if self.now >= submitted_at + retention:
                self.refused.discard(job_id)
                self.refusals.pop(job_id, None)
                self.queued.pop(job_id, None)
                self.answers.pop(job_id, None)
                self.answered_at.pop(job_id, None)
        for job_id, cancelled_at in list(self.cancelled_at.items()):
            if self.now >= cancelled_at + retention:
                del self.cancelled_at[job_id]

    @invariant()
    def only_running_jobs_have_waiting_requests(self) -> None:
        running = {
            job_id
            for job_id, job in self.state.jobs_by_id.items()
            if job.phase is jobs.OwnedJobPhase.RUNNING
        }
        assert set(self.waiting.values()) <= running

    @invariant()
    def kept_results_are_counted(self) -> None:
        kept = [job.answer for job in self.state.jobs_by_id.values() if job.answer]
        assert self.state.kept_results == sum(len(answer.results) for answer in kept)


TestAnswers = AnswersMachine.TestCase
