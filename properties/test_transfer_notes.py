"""Notes of best-effort jobs that went to another group, and when they are dropped."""

from __future__ import annotations

from dataclasses import replace

import pytest

from boragetide.controllers.transfers import NOTE_REVIEW_INTERVAL
from boragetide.durable import DurableJob, Step
from boragetide.messages import TransfersReviewed
from boragetide.policy.submission_fence import MAX_DELIVERY_TIME
from boragetide.tests.durable_fixtures import NEEDS, make_durable_job
from boragetide.types import Seconds
from properties.group_site import LABEL, Call, GroupSite

HOME, OTHER = 0, 1
WORK: Seconds = 6.0


def make_long_job(job_id: str, task: Step) -> DurableJob:
    """Build a best-effort job that is of use for some minutes."""
    job = make_durable_job(job_id, task, best_effort=True)
    return replace(job, response_time=60.0)


@pytest.fixture
def call(site: GroupSite) -> Call:
    """A caller whose job has gone to the other group and has ended there."""
    for name in ("labelled0", "labelled2"):
        site.find_server(name).draining = True
    site.run_for(2.0)
    task = Step(1, NEEDS, WORK, required_label=LABEL)
    made = site.submit(make_long_job("j0", task), HOME)
    site.run_for(WORK + 6.0)
    assert (made.group, made.reply.state) == (OTHER, "succeeded")
    return made


def review_notes(site: GroupSite) -> None:
    """Let the home group ask which jobs the other groups have forgotten."""
    site.groups[HOME].state.transfers.next_note_review_at = site.now
    site.run_for(0.15)


def test_note_stays_while_the_job_runs_under_an_earlier_leader(
    site: GroupSite, call: Call
) -> None:
    """Guards against a second run at home after the other group has a new leader."""
    site.run_for(MAX_DELIVERY_TIME - WORK)
    again = site.ask(call.request, HOME)
    site.run_for(3.0)
    assert [start.server for start in site.starts][-1] == "labelled1"
    site.find_server("labelled0").draining = False
    site.run_for(2.0)
    again.reply = call.reply  # the caller is gone
    site.change_leader(OTHER)
    site.run_for(0.2)
    starts = len(site.starts)
    review_notes(site)
    site.ask(call.request, HOME)
    site.run_for(1.0)
    assert len(site.starts) == starts


def test_note_stays_while_a_caller_is_on_the_way_to_the_other_group(
    site: GroupSite, call: Call
) -> None:
    """Guards against a second run at home while the other group has no leader."""
    site.find_server("labelled0").draining = False
    site.run_for(MAX_DELIVERY_TIME - WORK)
    site.groups[OTHER].state.authority_until = 0.0
    waiting = site.ask(call.request, HOME)
    site.handle(site.groups[HOME], TransfersReviewed(OTHER, ("j0",)))
    site.run_for(0.2)
    assert waiting.group == OTHER
    site.ask(call.request, HOME)
    site.run_for(1.0)
    assert {start.server for start in site.starts} == {"labelled1"}


def test_note_counts_until_its_removal_is_committed(
    site: GroupSite, call: Call
) -> None:
    """Guards against a second run in the other group after a change of the leader."""
    site.find_server("labelled0").draining = False
    site.run_for(MAX_DELIVERY_TIME - WORK)
    home = site.groups[HOME]
    home.state.transfers.next_note_review_at = site.now
    while "j0" in home.catalogue.jobs_by_id and not home.appended:
        site.run_for(0.05)
    starts = len(site.starts)
    site.ask(call.request, HOME)
    site.change_leader(HOME)
    site.run_for(0.2)
    site.ask(call.request, HOME)
    site.run_for(1.0)
    assert len({start.server for start in site.starts[starts:]}) <= 1


def test_caller_who_was_directed_long_ago_asks_at_home_again(site: GroupSite) -> None:
    """Guards against a second run for a caller who reaches the other group too late.

    The other group does not know the job, so the home group drops its note.
    """
    for name in ("labelled0", "labelled2"):
        site.find_server(name).draining = True
    site.run_for(2.0)
    task = Step(1, NEEDS, WORK, required_label=LABEL)
    late = site.submit(make_long_job("j0", task), HOME)
    while late.group != OTHER:
        site.run_for(0.05)
    site.cut_off(late)
    site.find_server("labelled0").draining = False
    site.run_for(MAX_DELIVERY_TIME + NOTE_REVIEW_INTERVAL + 2.0)
    assert "j0" not in site.groups[HOME].state.records_by_id
    site.ask(late.request, HOME)
    site.run_for(1.0)
    assert [start.server for start in site.starts] == ["labelled0"]
    site.reconnect(late)
    site.run_for(1.0)
    assert len(site.starts) == 1
    assert late.group == HOME


def test_job_that_returned_is_not_sent_away_again_by_the_next_leader(
    site: GroupSite,
) -> None:
    """Guards against a second run in the group that a returned job had gone to."""
    for name in ("labelled0", "labelled2"):
        site.find_server(name).draining = True
    site.run_for(2.0)
    task = Step(1, NEEDS, WORK, required_label=LABEL)
    busy = [make_long_job(f"b{n}", task) for n in range(2)]
    for job in busy:
        site.submit(job, OTHER)
    site.run_for(0.5)
    call = site.submit(make_long_job("j0", task), HOME)
    site.run_for(0.5)
    assert (call.group, call.reply) == (OTHER, None)
    site.find_server("labelled0").draining = False
    site.find_server("labelled1").draining = True
    site.run_for(WORK + 6.0)
    assert (call.group, call.reply.state) == (HOME, "succeeded")
    site.find_server("labelled1").draining = False
    site.run_for(MAX_DELIVERY_TIME + 12.0)
    site.ask(call.request, HOME)
    site.run_for(1.0)
    site.change_leader(HOME)
    site.run_for(0.2)
    starts = len(site.starts)
    site.ask(call.request, HOME)
    site.run_for(1.0)
    assert len(site.starts) == starts
