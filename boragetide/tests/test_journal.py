"""Journals: recovery of exactly those records that were synced."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import Any

import msgspec
import pytest

from boragetide.commands import Proposal, SetClass
from boragetide.errors import LinkError, StorageError
from boragetide.links.codec import Envelope, decode_body
from boragetide.log_records import (
    RECORD_TYPES,
    Ballot,
    Catalogue,
    CommitIndex,
    LogEntry,
    Snapshot,
)
from boragetide.storage import journal
from boragetide.storage.journal import (
    Journals,
    Recovered,
    append,
    encode_record,
    open_journal,
    run_journals,
)

RECORDS = (
    Ballot(3, "a1", {"a2": 17}),
    LogEntry(1, 3, 5.0, Proposal("c1", SetClass("batch", 2.0, 0.5), 0)),
    CommitIndex(1),
)


def write(path: Path, records: tuple[Any, ...] = RECORDS) -> bytes:
    opened, _ = open_journal(path, RECORD_TYPES)
    append(opened, records)
    os.close(opened.file)
    return path.read_bytes()


def recover(path: Path) -> Recovered:
    opened, recovered = open_journal(path, RECORD_TYPES)
    os.close(opened.file)
    return recovered


def test_records_come_back_with_their_types(tmp_path: Path) -> None:
    """Guards against commands that are recovered as plain dicts."""
    write(tmp_path / "j")
    assert recover(tmp_path / "j") == Recovered(RECORDS)


@pytest.mark.parametrize("command", [None, 7, [], {"kind": []}, {"kind": "no"}])
def test_unknown_command_is_a_decoding_error(command: Any) -> None:
    """Guards against a damaged message that terminates the listener."""
    body = msgspec.Raw(msgspec.msgpack.encode({"command": command}))
    with pytest.raises(LinkError):
        decode_body(Envelope("a1", 1, "configuration", 0, "Propose", body))


def test_torn_tail_is_cut_at_every_byte(tmp_path: Path) -> None:
    """Guards against a failed start after a crash in the middle of a write."""
    path = tmp_path / "j"
    data = write(path)
    ends = [len(b"".join(map(encode_record, RECORDS[:n]))) for n in range(4)]
    for size in range(len(data) + 1):
        path.write_bytes(data[:size])
        whole = max(n for n in range(4) if ends[n] <= size)
        assert recover(path) == Recovered(RECORDS[:whole]), size
        write(path, (CommitIndex(9),))
        assert recover(path).records == (*RECORDS[:whole], CommitIndex(9)), size


def test_tail_of_zeros_is_torn(tmp_path: Path) -> None:
    """Guards against a failed start after a crash that left zeros at the end.

    Some file systems extend a file before they write its data.
    """
    path = tmp_path / "j"
    path.write_bytes(write(path) + bytes(100))
    assert recover(path) == Recovered(RECORDS)


def test_corrupt_record_counts_as_a_lost_disk(tmp_path: Path) -> None:
    """Guards against silent loss of acknowledged records behind a damaged byte."""
    path = tmp_path / "j"
    data = write(path)
    last = len(data) - len(encode_record(RECORDS[-1]))
    for position in range(last):
        damaged = bytearray(data)
        damaged[position] ^= 0x41
        path.write_bytes(bytes(damaged))
        assert recover(path) == Recovered((), lost=True), position
        assert recover(path) == Recovered(()), position
        assert path.with_name("j.corrupt").read_bytes() == bytes(damaged)


def test_snapshot_replaces_the_journal(tmp_path: Path) -> None:
    """Guards against a journal that grows, or that loses records after a snapshot."""
    snapshot = Snapshot(Ballot(4), 7, Catalogue(index=7), 7, 4, ())

    async def save() -> None:
        opened, _ = open_journal(tmp_path / "j", RECORD_TYPES)
        journals = Journals({"configuration": opened})
        task = asyncio.create_task(run_journals(journals))
        for _ in range(50):
            await journals.append("configuration", RECORDS)
        await journals.save_snapshot("configuration", snapshot)
        await journals.append("configuration", (CommitIndex(8),))
        task.cancel()

    asyncio.run(save())
    assert recover(tmp_path / "j") == Recovered((snapshot, CommitIndex(8)))
    assert os.listdir(tmp_path) == ["j"]


def test_requests_that_wait_share_a_sync(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one sync per record under load, and against none at all."""
    syncs: list[int] = []
    monkeypatch.setattr(journal.os, "fsync", lambda file: syncs.append(file))

    async def save() -> None:
        opened, _ = open_journal(tmp_path / "j", RECORD_TYPES)
        journals = Journals({"configuration": opened})
        syncs.clear()
        done = [journals.append("configuration", RECORDS) for _ in range(20)]
        task = asyncio.create_task(run_journals(journals))
        await asyncio.gather(*done)
        task.cancel()

    asyncio.run(save())
    assert len(syncs) == 1
    assert recover(tmp_path / "j").records == RECORDS * 20


def test_failed_write_raises_a_storage_error(tmp_path: Path) -> None:
    """Guards against a daemon that keeps running after a failed write."""

    async def save() -> None:
        opened, _ = open_journal(tmp_path / "j", RECORD_TYPES)
        os.close(opened.file)
        journals = Journals({"configuration": opened})
        journals.append("configuration", RECORDS)
        await run_journals(journals)

    with pytest.raises(StorageError, match="cannot be written"):
        asyncio.run(save())
