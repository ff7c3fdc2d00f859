"""Best-effort jobs that begin anew at home while notes of earlier transfers remain."""

from __future__ import annotations

from dataclasses import replace

import pytest

from boragetide.durable import DurableJob, Step
from boragetide.policy.job_table import BEST_EFFORT_RETENTION
from boragetide.tests.durable_fixtures import NEEDS, make_durable_job
from boragetide.types import Seconds
from properties.group_site import LABEL, Call, GroupSite

HOME, FIRST, SECOND = 0, 1, 2
WORK: Seconds = 20.0


def make_job(job_id: str) -> DurableJob:
    """Build a best-effort job that is of use for some minutes."""
    task = Step(1, NEEDS, WORK, required_label=LABEL)
    job = make_durable_job(job_id, task, best_effort=True)
    return replace(job, response_time=60.0)


def drain_all_but(site: GroupSite, group: int) -> None:
    """Let only one group have a backend server for the job."""
    for number in range(3):
        site.find_server(f"labelled{number}").draining = number != group
    site.run_for(2.0)


@pytest.fixture
def returned(site: GroupSite) -> Call:
    """A caller whose job has gone to another group and back, and runs at home."""
    drain_all_but(site, FIRST)
    for number in range(2):
        site.submit(make_job(f"b{number}"), FIRST)
    site.run_for(0.5)
    call = site.submit(make_job("j0"), HOME)
    site.run_for(0.5)
    assert (call.group, call.reply) == (FIRST, None)
    drain_all_but(site, HOME)
    site.run_for(2.0)
    assert (call.group, call.transfers) == (HOME, 2)
    assert site.starts[-1].server == "labelled0"
    return call


def check_earlier_caller_finds_the_job(site: GroupSite, call: Call) -> None:
    """Check that a caller who asks again at home is directed, and nothing starts."""
    starts = len(site.starts)
    site.reconnect(call)
    site.run_for(2.0)
    assert len(site.starts) == starts
    assert call.group == SECOND


def test_caller_of_an_earlier_life_of_a_job_finds_its_later_one(
    site: GroupSite, returned: Call
) -> None:
    """Guards against a second run at home for a caller who has followed more transfers.

    The next leader has not read the server of the first run and counts from the start.
    """
    site.cut_off(returned)
    site.find_server("labelled0").cut = True
    site.find_server("labelled2").draining = False
    site.change_leader(HOME)
    again = site.ask(returned.request, HOME)
    site.run_for(4.0)
    assert again.group == SECOND
    assert site.starts[-1].server == "labelled2"
    site.find_server("labelled0").cut = False
    site.run_for(2.0)
    check_earlier_caller_finds_the_job(site, returned)


def test_job_that_ended_at_home_begins_anew_with_a_higher_number(
    site: GroupSite, returned: Call
) -> None:
    """Guards against a second run at home within the term of one leader."""
    site.cut_off(returned)
    site.run_for(WORK + BEST_EFFORT_RETENTION + 2.0)
    assert "j0" not in site.groups[HOME].state.records_by_id
    drain_all_but(site, SECOND)
    again = site.ask(returned.request, HOME)
    site.run_for(2.0)
    assert again.group == SECOND
    assert site.starts[-1].server == "labelled2"
    site.find_server("labelled0").draining = False
    site.run_for(2.0)
    check_earlier_caller_finds_the_job(site, returned)
