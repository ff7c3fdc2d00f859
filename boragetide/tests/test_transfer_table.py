"""Transfers of jobs between groups as the members of the log apply them."""

from __future__ import annotations

from boragetide.commands import (
    AcceptJob,
    AdoptJobs,
    CancelJobs,
    ConfirmTransfers,
    DropTransfers,
    RecordEnds,
    TransferJobs,
)
from boragetide.durable import JobPhase, JobRecord, RunEnd, Transfer
from boragetide.log_records import Catalogue
from boragetide.policy.catalogue import apply_job_command
from boragetide.policy.job_table import RETENTION, drop_ended_jobs
from boragetide.policy.transfer_table import make_note
from boragetide.tests.durable_fixtures import BEGIN, make_durable_job

SPAN = 3000


def accept(catalogue: Catalogue, *job_ids: str) -> None:
    for job_id in job_ids:
        apply(catalogue, AcceptJob(make_durable_job(job_id)))


def apply(catalogue: Catalogue, command: object, now: float = BEGIN) -> set[str]:
    return apply_job_command(command, catalogue, now)


def transfer(catalogue: Catalogue, *job_ids: str, group: int = 1) -> list[JobRecord]:
    """Transfer jobs and return their records."""
    apply(catalogue, TransferJobs(group, job_ids, (), SPAN))
    return [catalogue.jobs_by_id[job_id] for job_id in job_ids]


def test_transferred_job_keeps_its_history_and_is_numbered() -> None:
    """Guards against attempts that are forgotten when a job changes groups."""
    catalogue = Catalogue()
    accept(catalogue, "j1", "j2")
    ends = (RunEnd("j1", 0, 7, False), RunEnd("j1", 1, 8, True))
    apply(catalogue, RecordEnds(ends))
    first, second = transfer(catalogue, "j1", "j2")
    assert (first.transfer, second.transfer) == (Transfer(1, 1), Transfer(1, 2))
    assert first.phase is JobPhase.TRANSFERRED
    assert (first.transfers, first.run_base) == (1, SPAN)
    other = Catalogue()
    assert apply(other, AdoptJobs(0, (first, second))) == {"j1", "j2"}
    adopted = other.jobs_by_id["j1"]
    assert (adopted.done, adopted.failures) == (frozenset({0}), ((1, 8),))
    assert (adopted.phase, adopted.transfer) == (JobPhase.ACTIVE, None)
    assert (adopted.job.spec, adopted.run_base) == ("spec", SPAN)


def test_repeated_and_late_deliveries_have_no_effect() -> None:
    """Guards against a job that runs again after its record was dropped."""
    catalogue, other = Catalogue(), Catalogue()
    accept(catalogue, "j1", "j2")
    (first,) = transfer(catalogue, "j1")
    (second,) = transfer(catalogue, "j2")
    assert apply(other, AdoptJobs(0, (first,))) == {"j1"}
    assert apply(other, AdoptJobs(0, (first, second))) == {"j2"}
    apply(other, CancelJobs(("j1", "j2")))
    drop_ended_jobs(other.jobs_by_id, BEGIN + 2 * RETENTION)
    assert other.jobs_by_id == {}
    assert apply(other, AdoptJobs(0, (first, second))) == set()
    assert apply(other, AdoptJobs(2, (first,))) == {"j1"}, "numbers are per group"


def test_ended_job_is_not_transferred() -> None:
    """Guards against a cancelled job that another group starts."""
    catalogue = Catalogue()
    accept(catalogue, "j1")
    apply(catalogue, CancelJobs(("j1",)))
    assert apply(catalogue, TransferJobs(1, ("j1", "unknown"), (), SPAN)) == set()
    assert catalogue.jobs_by_id["j1"].phase is JobPhase.CANCELLED
    assert catalogue.transferred_by_group == {}


def test_job_that_has_left_changes_no_more_here() -> None:
    """Guards against two groups that both decide how a job ends."""
    catalogue = Catalogue()
    accept(catalogue, "j1")
    transfer(catalogue, "j1")
    assert apply(catalogue, CancelJobs(("j1",))) == set()
    ends = tuple(RunEnd("j1", task, 1, False) for task in (0, 1))
    assert apply(catalogue, RecordEnds(ends)) == set()
    assert apply(catalogue, TransferJobs(2, ("j1",), (), SPAN)) == set()


def test_job_is_kept_until_the_other_group_has_stored_it() -> None:
    """Guards against a job that is lost between two groups."""
    catalogue = Catalogue()
    accept(catalogue, "j1", "j2")
    transfer(catalogue, "j1", "j2")
    drop_ended_jobs(catalogue.jobs_by_id, BEGIN + 2 * RETENTION)
    assert set(catalogue.jobs_by_id) == {"j1", "j2"}
    assert apply(catalogue, ConfirmTransfers(1, 1, ("j1", "j2"))) == {"j1"}
    assert catalogue.jobs_by_id["j1"].transfer == Transfer(1, 1, delivered=True)
    assert catalogue.jobs_by_id["j1"].job.spec == ""
    assert catalogue.jobs_by_id["j2"].job.spec == "spec"
    assert apply(catalogue, ConfirmTransfers(1, 1, ("j1", "j2"))) == set()
    assert apply(catalogue, ConfirmTransfers(2, 9, ("j1", "j2"))) == set()


def test_only_notes_of_delivered_jobs_are_dropped() -> None:
    """Guards against a job that can be submitted again while it runs elsewhere."""
    catalogue = Catalogue()
    accept(catalogue, "j1", "j2", "j3")
    transfer(catalogue, "j1", "j2")
    apply(catalogue, ConfirmTransfers(1, 1, ("j1", "j2")))
    everything = ("j1", "j2", "j3", "unknown")
    assert apply(catalogue, DropTransfers(2, everything)) == set()
    assert apply(catalogue, DropTransfers(1, everything)) == {"j1"}
    assert set(catalogue.jobs_by_id) == {"j2", "j3"}


def test_job_can_return_to_a_group_that_it_left() -> None:
    """Guards against a note that hides a job which has come back."""
    catalogue, other = Catalogue(), Catalogue()
    accept(catalogue, "j1")
    (left,) = transfer(catalogue, "j1")
    apply(other, AdoptJobs(0, (left,)))
    (returning,) = transfer(other, "j1", group=0)
    assert apply(catalogue, AdoptJobs(1, (returning,))) == {"j1"}
    record = catalogue.jobs_by_id["j1"]
    assert (record.phase, record.transfers) == (JobPhase.ACTIVE, 2)
    assert record.run_base == 2 * SPAN
    assert apply(catalogue, ConfirmTransfers(1, 1, ("j1", "j2"))) == set()


def test_best_effort_job_leaves_a_note_only() -> None:
    """Guards against a leader that starts a job which its predecessor sent away."""
    catalogue = Catalogue()
    record = JobRecord(make_durable_job("j1", best_effort=True))
    command = TransferJobs(2, (), (make_note(record),), SPAN)
    assert apply(catalogue, command) == {"j1"}
    note = catalogue.jobs_by_id["j1"]
    assert note.transfer == Transfer(2, 0, delivered=True)
    assert (note.phase, note.transfers) == (JobPhase.TRANSFERRED, 1)
    assert (note.job.spec, note.job.steps) == ("", ())
    drop_ended_jobs(catalogue.jobs_by_id, BEGIN + 2 * RETENTION)
    assert set(catalogue.jobs_by_id) == {"j1"}
