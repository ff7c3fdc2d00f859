"""Evacuated zones in the replicated log, and what the decisions make of them."""

from __future__ import annotations

import base64
import zlib
from pathlib import Path

import pytest

from boragetide.commands import (
    Command,
    CommandStatus,
    EvacuateZone,
    Outcome,
    Proposal,
    PublishConfiguration,
    ReturnZone,
)
from boragetide.log_records import RECORD_TYPES, Ballot, Catalogue, LogEntry, Snapshot
from boragetide.policy.catalogue import apply_entry, copy_catalogue
from boragetide.storage.journal import encode_record, open_journal
from boragetide.types import Configuration

# A snapshot, a fetched configuration, a log entry and a commit index, as the version
# before evacuated zones wrote them to the journal.
EARLIER_JOURNAL = (
    "c-qZWJ#Q015WP731d#XvsVI<4g=mNr1qq1`Dw@;Y-kiPUZs)YSXJVm9HZ~FkMeH_BWW~O-L!3kyi",
    "PEB=@jsxVpofBnj=4|q5uu2Rt9E8*-<$Vlbf0UM_3hD(Ps8M)WT9@Nc{y>I@1yA-8BoFcw1oy-+e",
    "0;C_17Lq4%&9wws1Rh4<qS<D&q;qAP}ZD<;*Z28xg!33o6*Hop6+%Xhez`f$~M%qDORCJLNvpItP",
    "?2fNt!9$0DD|)3A(A6zCA82HS`LR+}4E_RX9~w{6{I3RZW&=DFA<632&S>?$TCxPy_dCkk33CA1P",
    "3c@%&&hjWY!^;?SRj(EK{(T15wCya9lNp;od*b_>d_i<BbgQ`8~S2wd%Gm|bs5JFr;&qoyM`q2)_",
    "Uu2Eg4&ysObs7}CJuWG1W>%Y5^WIPMBvyvbo}g2n;{XDONcYck1lvI+i@WnkGO3?}B0Q3yjNX648",
    "BNOfGlsN`pgIeqsLlhG7E-REFbX?o%*CvgDl?_w<v`ZFI@;+vSTT901n6NuAMIMcB^T;RLWLn}<}",
    "Zul+GUD+|7htM?1sQo)M7SP?1AA;aF=7xM^x5~Xg)kX=nWV5@{6sXx3c>mF6l=qKKQ<OXP7*|#x^",
    "<ME}UGy$jR$}b@Eo}WWQp%5*N}2xs<WP$d})RSeFn|wLE&ZmyPIc7&*SsP5T#9|CrJ88ll|$^6vK",
    "Vcq{vP+)veY3z0tnihJj8",
)
ZONE = "z1"


def apply(
    catalogue: Catalogue,
    command: Command,
    command_id: str | None = None,
    expected_version: int | None = None,
) -> Outcome:
    """Apply a command as the next entry of the log and return its outcome."""
    index = catalogue.index + 1
    proposal = Proposal(command_id or f"c{index}", command, expected_version)
    apply_entry(LogEntry(index, 1, 5.0, proposal), catalogue)
    return catalogue.outcomes_by_id[proposal.command_id]


def is_evacuated(catalogue: Catalogue) -> bool:
    return ZONE in catalogue.configuration.evacuated_zones


def test_repeated_command_is_accepted_without_a_new_version() -> None:
    """Guards against resends that raise conflicts for other operators."""
    catalogue = Catalogue()
    assert apply(catalogue, ReturnZone(ZONE)) == Outcome(CommandStatus.ACCEPTED, 0)
    assert not catalogue.configuration.evacuation_used
    assert apply(catalogue, EvacuateZone(ZONE)) == Outcome(CommandStatus.ACCEPTED, 1)
    assert apply(catalogue, EvacuateZone(ZONE)) == Outcome(CommandStatus.ACCEPTED, 1)
    assert [entry.version for entry in catalogue.history] == [1]
    assert apply(catalogue, ReturnZone(ZONE)) == Outcome(CommandStatus.ACCEPTED, 2)
    assert not is_evacuated(catalogue)
    assert catalogue.configuration.evacuation_used


def test_published_configuration_keeps_the_evacuated_zones() -> None:
    """Guards against a zone that a change of the classes puts back into service."""
    catalogue = Catalogue()
    apply(catalogue, EvacuateZone(ZONE))
    apply(catalogue, PublishConfiguration(7, (), "{}"))
    assert is_evacuated(catalogue)
    assert catalogue.configuration.evacuation_used


def test_two_operators_with_the_same_expected_version_have_one_result() -> None:
    """Guards against an operator who is told of a conflict though the zone is empty."""
    catalogue = Catalogue()
    first = apply(catalogue, EvacuateZone(ZONE), expected_version=0)
    second = apply(catalogue, EvacuateZone(ZONE), expected_version=0)
    assert {first.status, second.status} == {CommandStatus.ACCEPTED}
    opposite = apply(catalogue, ReturnZone(ZONE), expected_version=0)
    assert opposite == Outcome(CommandStatus.CONFLICT, 1)
    assert is_evacuated(catalogue)


@pytest.mark.parametrize("changes", [True, False], ids=["evacuated", "in_service"])
def test_delayed_copy_does_not_undo_a_later_command(changes: bool) -> None:
    """Guards against a zone that is evacuated by a copy which a finish overtook.

    The later command voids the copy also if it changes nothing.
    """
    catalogue = Catalogue()
    if changes:
        apply(catalogue, EvacuateZone(ZONE, 0))
    assert apply(catalogue, ReturnZone(ZONE)).status is CommandStatus.ACCEPTED
    late = apply(catalogue, EvacuateZone(ZONE, 0))
    assert late.status is CommandStatus.CONFLICT
    assert not is_evacuated(catalogue)


def test_zones_have_numbers_of_their_own() -> None:
    """Guards against an order that another zone's evacuation voids."""
    catalogue = Catalogue()
    apply(catalogue, EvacuateZone("z2"))
    assert apply(catalogue, EvacuateZone(ZONE, 0)).status is CommandStatus.ACCEPTED


def test_copy_of_the_catalogue_is_not_changed_by_later_commands() -> None:
    """Guards against a snapshot that holds a number without its command."""
    catalogue = Catalogue()
    copied = copy_catalogue(catalogue)
    apply(catalogue, EvacuateZone(ZONE))
    assert copied.order_by_zone == {}
    assert copied.configuration.evacuated_zones == frozenset()


def test_records_of_evacuated_zones_come_back(tmp_path: Path) -> None:
    """Guards against an evacuation that is lost with the power of all members."""
    catalogue = Catalogue()
    apply(catalogue, EvacuateZone(ZONE, 0))
    snapshot = make_snapshot(catalogue)
    (tmp_path / "j").write_bytes(encode_record(snapshot))
    _, recovered = open_journal(tmp_path / "j", RECORD_TYPES)
    assert recovered.records == (snapshot,)


def make_snapshot(catalogue: Catalogue) -> Snapshot:
    entry = LogEntry(1, 1, 5.0, Proposal("c1", EvacuateZone(ZONE, 0), None))
    return Snapshot(Ballot(1), 1, catalogue, 0, 0, (entry,))


def test_journal_of_the_version_before_is_readable(tmp_path: Path) -> None:
    """Guards against members that lose their state with an update."""
    data = zlib.decompress(base64.b85decode("".join(EARLIER_JOURNAL)))
    (tmp_path / "j").write_bytes(data)
    _, recovered = open_journal(tmp_path / "j", RECORD_TYPES)
    snapshot, fetched, entry, _ = recovered.records
    expected = Configuration(version=1, drained=frozenset({"s1"}))
    assert snapshot.catalogue.configuration == expected
    assert snapshot.catalogue.order_by_zone == {}
    assert fetched.configuration == expected
    assert isinstance(entry.proposal.command, PublishConfiguration)
