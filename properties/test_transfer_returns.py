"""Best-effort jobs that change groups while leaders change and callers come back."""

from __future__ import annotations

import os
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from functools import partial

import pytest
from hypothesis import settings

from boragetide.controllers import refusals, transfers
from boragetide.durable import Step
from boragetide.messages import (
    DispatcherReply,
    ReplyStatus,
    SubmitDurableJob,
    WithdrawSubmissions,
)
from boragetide.policy import job_table
from boragetide.tests.durable_fixtures import NEEDS, make_durable_job
from boragetide.types import Seconds
from properties import group_site
from properties.group_site import CALLER, LABEL, Call, GroupSite

DURATION: Seconds = 40.0
# Notes of transfers are dropped, and ended jobs forgotten, within a run.
NOTE_RETENTION: Seconds = 9.0
DIRECTION_LIFETIME: Seconds = 6.0
NOTE_REVIEW_INTERVAL: Seconds = 1.0
JOB_RETENTION: Seconds = 4.0
MAX_CALLER_AGE: Seconds = 30.0  # after which a job is not asked for again
MIN_STARTS = 10
FIRST_SEED = int(os.environ.get("RETURNS_SEED", "0"))
SEEDS = max(12, settings.default.max_examples // 20)


class Returns:
    """Random load and faults of an installation whose groups lack fitting servers."""

    def __init__(self, seed: int):
        self.random = random.Random(seed)
        self.site = GroupSite(self.random.choice([2, 3, 3]))
        self.counts: Counter[str] = Counter()
        for group in self.group_numbers:
            self.site.add_server(f"labelled{group}", group, labels=(LABEL,))
            if self.random.random() < 0.5:
                self.site.add_server(f"second{group}", group, labels=(LABEL,))
        self.calls: list[Call] = []
        self.faults: list[Callable[[], None]] = [
            self.drain_server,
            self.drain_server,
            self.cut_server,
            self.lose_answers,
            self.crash_server,
            self.change_leader,
            self.change_leaders_of_job,
            self.change_leader_without_server,
            self.begin_anew,
            self.cut_off_caller,
            self.withdraw,
            self.cancel,
            self.send_late_copy,
            self.disturb_messages,
            self.cut_groups,
        ]
        self.kept = self.random.sample(self.faults, self.random.randint(2, 8))

    @property
    def group_numbers(self) -> range:
        """Numbers of all groups."""
        return range(len(self.site.groups))

    def run(self) -> None:
        """Run the installation for a while."""
        self.site.start()
        end = self.site.now + DURATION
        while self.site.now < end:
            if self.random.random() < 0.3:
                self.submit()
            if self.random.random() < 0.4:
                self.return_caller()
            if self.random.random() < 0.3:
                fault = self.random.choice(self.kept)
                self.counts[fault.__name__] += 1
                fault()
            self.site.run_for(self.random.choice([0.05, 0.2, 0.6]))

    # Callers

    def submit(self) -> None:
        """Submit a new job to its home group."""
        group = self.random.choice(self.group_numbers)
        work = self.random.choice([0.2, 1.0, 4.0, 12.0])
        step = Step(self.random.randint(1, 2), NEEDS, work, required_label=LABEL)
        number = len(self.site.jobs)
        best_effort = self.random.random() < 0.9
        job = make_durable_job(f"{group}-{number}", step, best_effort=best_effort)
        self.calls.append(self.site.submit(replace(job, response_time=40.0), group))

    def list_recent(self) -> list[Call]:
        """Return the calls whose callers may still want an answer."""
        since = self.site.now - MAX_CALLER_AGE
        return [call for call in self.calls if call.sent_at > since]

    def choose_call(self) -> Call | None:
        """Choose a recent call, one that has followed a transfer if possible."""
        recent = self.list_recent()
        moved = [call for call in recent if call.transfers]
        chosen = self.random.choice([moved or recent, recent])
        return self.random.choice(chosen) if chosen else None

    def return_caller(self) -> None:
        """Ask for a job at its home group, as a caller at another instance does."""
        call = self.choose_call()
        if call is not None:
            self.calls.append(self.site.ask(call.request, call.home))

    def cut_off(self, call: Call, delay: Seconds) -> None:
        """Cut the instance of a caller off for a while, if the caller waits."""
        if call.is_cut_off or call.reply is not None:
            return
        self.site.cut_off(call)
        self.site.schedule(delay, partial(self.site.reconnect, call))

    def cut_off_caller(self) -> None:
        call = self.choose_call()
        if call is not None:
            self.cut_off(call, self.random.choice([0.5, 2.0, 5.0, 8.0, 14.0]))

    def withdraw(self) -> None:
        """Let all callers of a job leave that can tell so."""
        call = self.choose_call()
        if call is None:
            return
        job_id = call.request.job.id
        for other in self.calls:
            if other.request.job.id == job_id and not other.is_cut_off:
                other.reply = other.reply or DispatcherReply(ReplyStatus.UNDECIDED)
        message = WithdrawSubmissions(job_id, CALLER, self.site.now)
        self.site.handle(self.site.groups[call.group], message)

    def cancel(self) -> None:
        call = self.choose_call()
        if call is not None:
            self.site.cancel(call.request.job.id, call.home)

    def send_late_copy(self) -> None:
        """Let the network deliver another copy of a submission later."""
        call = self.choose_call()
        if call is None:
            return
        now = self.site.now
        directed_at = now if call.directed_at is None else call.directed_at
        if now - directed_at > DIRECTION_LIFETIME:
            return
        copy = SubmitDurableJob(
            job=call.request.job,
            age=now - call.sent_at,
            submitted_at=call.sent_at,
            directed_age=now - directed_at,
            transfers=call.transfers,
        )
        group = self.site.groups[call.group]
        delay = self.random.choice([0.1, 1.0, 3.0, 6.0])
        self.site.schedule(delay, partial(self.site.handle, group, copy))

    # Leaders and links

    def change_leader(self) -> None:
        self.site.change_leader(self.random.choice(self.group_numbers))

    def change_leaders_of_job(self) -> None:
        """Replace the leaders of the home group of a job and of the one it went to."""
        call = self.choose_call()
        if call is None:
            return
        for group in self.random.sample([call.home, call.group], 2):
            self.site.change_leader(group)
            self.site.run_for(self.random.choice([0.05, 0.3, 1.2]))

    def change_leader_without_server(self) -> None:
        """Replace a leader whose successor cannot read the backend servers."""
        group = self.random.choice(self.site.groups)
        for server in group.servers:
            self.cut(server.id)
        self.site.run_for(self.random.choice([0.05, 0.3]))
        self.site.change_leader(group.number)

    def begin_anew(self) -> None:
        """Let another caller ask for a job whose leader and servers are lost.

        The first caller cannot be reached. A job that has come back is preferred.
        """
        call = self.choose_call()
        waiting = [each for each in self.list_recent() if each.reply is None]
        returned = [each for each in waiting if each.transfers and each.is_at_home]
        if returned:
            call = self.random.choice(returned)
        if call is None:
            return
        self.cut_off(call, self.random.uniform(1.5, 5.0))
        for server in self.site.groups[call.group].servers:
            self.cut(server.id)
        self.site.change_leader(call.group)
        self.calls.append(self.site.ask(call.request, call.home))

    def disturb_messages(self) -> None:
        fates = ["delivered", "delivered", "lost", "twice", "late"]
        count = self.random.randint(1, 5)
        self.site.message_fates = tuple(self.random.choices(fates, k=count))

    def cut_groups(self) -> None:
        pair = frozenset(self.random.sample(self.group_numbers, 2))
        self.site.cut_pairs ^= {pair}

    # Backend servers

    def drain_server(self) -> None:
        server = self.random.choice(self.site.servers)
        server.draining = not server.draining

    def cut(self, name: str) -> None:
        """Cut a backend server off for a while."""
        server = self.site.find_server(name)
        server.cut = True
        delay = self.random.choice([0.5, 2.0, 6.0])
        self.site.schedule(delay, partial(setattr, server, "cut", False))

    def cut_server(self) -> None:
        self.cut(self.random.choice(self.site.servers).id)

    def lose_answers(self) -> None:
        """Let a backend server carry out calls without answers for a while."""
        name = self.random.choice(self.site.servers).id
        self.site.mute_servers.add(name)
        delay = self.random.choice([0.3, 1.0, 3.0])
        self.site.schedule(delay, partial(self.site.mute_servers.discard, name))

    def crash_server(self) -> None:
        server = self.random.choice(self.site.servers)
        if server.is_up(self.site.now):
            server.restart(self.site.now, self.random.choice([0.0, 0.5, 3.0]))


@pytest.fixture
def short_times(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten what takes longer than a run of the test."""
    monkeypatch.setattr(transfers, "MAX_DELIVERY_TIME", NOTE_RETENTION)
    monkeypatch.setattr(refusals, "MAX_DELIVERY_TIME", NOTE_RETENTION)
    monkeypatch.setattr(group_site, "DIRECTION_LIFETIME", DIRECTION_LIFETIME)
    monkeypatch.setattr(transfers, "NOTE_REVIEW_INTERVAL", NOTE_REVIEW_INTERVAL)
    monkeypatch.setattr(job_table, "BEST_EFFORT_RETENTION", JOB_RETENTION)


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))
def test_tasks_run_once_at_a_time_while_jobs_change_groups(
    seed: int, short_times: None
) -> None:
    """Guards against a run of a task in each of two groups."""
    returns = Returns(seed)
    returns.run()
    assert len(returns.site.starts) >= MIN_STARTS
