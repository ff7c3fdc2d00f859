"""The replicated state of durable jobs."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
import pytest

from boragetide.commands import (
    AcceptJob,
    Command,
    Proposal,
    PublishConfiguration,
    RecordEnds,
    RecordLosses,
)
from boragetide.durable import JobPhase, JobRecord, LossFate, RunEnd, RunLoss
from boragetide.encoding import decode_value, encode_value
from boragetide.log_records import Catalogue, LogEntry
from boragetide.policy import job_table
from boragetide.policy.catalogue import apply_entry
from boragetide.tests.durable_fixtures import BEGIN, make_durable_job
from boragetide.types import ClassTarget, JobId, Seconds

Jobs = dict[str, JobRecord]


@pytest.fixture
def jobs() -> Jobs:
    """One accepted job of two tasks and two attempts."""
    jobs: Jobs = {}
    job_table.accept_job(jobs, make_durable_job(), BEGIN)
    return jobs


def record_end(
    jobs: Jobs, task: int, run: int = 1, *, failed: bool = False
) -> set[str]:
    return job_table.record_ends(jobs, (RunEnd("j1", task, run, failed),), BEGIN)


def test_job_succeeds_with_its_last_task(jobs: Jobs) -> None:
    """Guards against a job that succeeds before all of its tasks have ended."""
    record_end(jobs, 0)
    assert jobs["j1"].phase is JobPhase.ACTIVE
    record_end(jobs, 1)
    assert jobs["j1"].phase is JobPhase.SUCCEEDED


def test_end_that_is_listed_twice_counts_once(jobs: Jobs) -> None:
    """Guards against a job that fails because one failed run is counted twice.

    A new leader reads the list of ends again.
    """
    record_end(jobs, 0, failed=True)
    assert record_end(jobs, 0, failed=True) == set()
    assert jobs["j1"].phase is JobPhase.ACTIVE
    record_end(jobs, 0, run=2, failed=True)
    assert jobs["j1"].phase is JobPhase.FAILED


def test_failure_after_the_task_is_done_changes_nothing(jobs: Jobs) -> None:
    """Guards against a second run that fails a job whose task is done."""
    record_end(jobs, 0)
    assert record_end(jobs, 0, run=2, failed=True) == set()


def test_ended_job_does_not_change(jobs: Jobs) -> None:
    """Guards against a cancelled job that succeeds later."""
    job_table.cancel_job(jobs, "j1", BEGIN)
    assert (record_end(jobs, 0), record_end(jobs, 1)) == (set(), set())
    assert jobs["j1"].phase is JobPhase.CANCELLED
    assert job_table.accept_job(jobs, make_durable_job(), BEGIN) == set()


def test_ended_jobs_are_forgotten_after_their_retention(jobs: Jobs) -> None:
    """Guards against memory that grows with the number of jobs ever accepted."""
    job_table.accept_job(jobs, make_durable_job("j2"), BEGIN)
    record_end(jobs, 0), record_end(jobs, 1)
    job_table.drop_ended_jobs(jobs, BEGIN + job_table.RETENTION)
    assert set(jobs) == {"j1", "j2"}
    job_table.drop_ended_jobs(jobs, BEGIN + job_table.RETENTION + 1.0)
    assert set(jobs) == {"j2"}


def apply(catalogue: Catalogue, command: object, command_id: str = "") -> set[str]:
    index = catalogue.index + 1
    proposal = Proposal(command_id or f"c{index}", command)
    return apply_entry(LogEntry(index, 1, BEGIN, proposal), catalogue)


def test_log_entries_of_jobs_leave_the_configuration_alone() -> None:
    """Guards against a job that counts as a change of the configuration."""
    catalogue = Catalogue()
    assert apply(catalogue, AcceptJob(make_durable_job())) == {"j1"}
    assert apply(catalogue, RecordEnds((RunEnd("j1", 0, 1, False),))) == {"j1"}
    assert (catalogue.configuration.version, catalogue.outcomes_by_id) == (0, {})


def test_highest_revision_is_in_force_whatever_the_order() -> None:
    """Guards against an older configuration that arrives late and takes effect."""
    catalogue = Catalogue()
    for revision in (7, 5, 7):
        classes = (ClassTarget(f"class-{revision}"),)
        apply(catalogue, PublishConfiguration(revision, classes, f"text {revision}"))
    assert catalogue.configuration.revision == 7
    assert catalogue.configuration.document == "text 7"
    assert set(catalogue.configuration.classes_by_name) == {"class-7"}
    assert catalogue.configuration.version == 1


def test_other_content_under_the_revision_in_force_changes_nothing() -> None:
    """Guards against two different contents under one revision."""
    catalogue = Catalogue()
    apply(catalogue, PublishConfiguration(7, (), "first"))
    apply(catalogue, PublishConfiguration(7, (), "second"))
    assert catalogue.configuration.document == "first"


def lose_run(jobs: Jobs, server: str, fate: LossFate, *, alone: bool) -> set[str]:
    loss = RunLoss("j1", 0, server, f"{server}:80", 1, BEGIN, alone, fate)
    return job_table.record_losses(jobs, (loss,), BEGIN)


def test_second_crash_alone_ends_the_job_as_failed(jobs: Jobs) -> None:
    """Guards against a task that crashes one backend server after another."""
    assert lose_run(jobs, "s1", LossFate.CRASHED, alone=False) == {"j1"}
    assert lose_run(jobs, "s2", LossFate.UNKNOWN, alone=True) == {"j1"}
    assert jobs["j1"].phase is JobPhase.ACTIVE
    assert lose_run(jobs, "s2", LossFate.CRASHED, alone=True) == {"j1"}
    assert jobs["j1"].phase is JobPhase.FAILED
    assert lose_run(jobs, "s3", LossFate.CRASHED, alone=True) == set()


def test_record_that_was_stored_before_losses_were_is_read(jobs: Jobs) -> None:
    """Guards against an instance that cannot read its own disk after an upgrade."""
    stored = msgspec.to_builtins(jobs["j1"], enc_hook=encode_value)
    del stored["losses"]
    assert msgspec.convert(stored, JobRecord, dec_hook=decode_value) == jobs["j1"]


def test_stored_losses_are_read_again(jobs: Jobs) -> None:
    """Guards against a member that cannot follow the log after a lost run."""
    lose_run(jobs, "s1", LossFate.UNKNOWN, alone=True)
    command = RecordLosses(jobs["j1"].losses)
    encoded = msgspec.msgpack.encode(command)
    decoded = msgspec.msgpack.decode(encoded, type=Command, dec_hook=decode_value)
    assert decoded == command
    stored = msgspec.to_builtins(jobs["j1"], enc_hook=encode_value)
    assert msgspec.convert(stored, JobRecord, dec_hook=decode_value) == jobs["j1"]


class CountedNotes(dict[JobId, Seconds]):
    """Notes of cancelled jobs that count how many of them are examined."""

    examined = 0

    def items(self) -> Iterator[tuple[JobId, Seconds]]:
        """Yield the notes."""
        for note in super().items():
            self.examined += 1
            yield note


def test_notes_that_stay_are_not_examined_with_each_command() -> None:
    """Guards against an overload by the notes of a wave of cancellations."""
    notes = CountedNotes({f"j{number}": BEGIN + number for number in range(1000)})
    job_table.drop_old_notes(notes, BEGIN + job_table.RETENTION + 0.5)
    assert next(iter(notes)) == "j1"
    assert len(notes) == 999
    assert notes.examined == 2
