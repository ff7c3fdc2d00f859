"""Journals of synced records, one for each controller, with snapshots and recovery.

A record consists of the length of its body, a CRC-32 of length and body, and the body,
which is the msgpack encoding of the record's class name and its fields.
"""

from __future__ import annotations

import asyncio
import os
import struct
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from boragetide.encoding import decode_value, encode_value
from boragetide.errors import StorageError

_HEADER = struct.Struct("<II")  # length of the body, CRC-32
_LENGTH = struct.Struct("<I")
GROUP_REQUESTS = 64  # maximum number of requests that share one sync

_ENCODER = msgspec.msgpack.Encoder(enc_hook=encode_value)
_TAG_DECODER = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])


@dataclass(frozen=True, slots=True)
class Recovered:
    """Content of a journal when it was opened.

    Parameters
    ----------
    records
        All records before the torn tail, in order; empty if the disk counts as lost.
    lost
        Whether a record before the tail was corrupt, so that no record is trusted.
    """

    records: tuple[Any, ...]
    lost: bool = False


@dataclass(frozen=True, slots=True)
class Journal:
    """An open journal."""

    path: Path
    file: int


@dataclass(slots=True)
class _Request:
    controller: str
    records: tuple[Any, ...]
    replace: bool
    done: asyncio.Future[None]


@dataclass(slots=True)
class Journals:
    """Request queue of the task that owns the journals of all controllers."""

    journals_by_controller: dict[str, Journal]
    requests: asyncio.Queue[_Request] = field(default_factory=asyncio.Queue)

    def append(self, controller: str, records: tuple[Any, ...]) -> asyncio.Future[None]:
        """Append records; the future completes when they are synced."""
        return self._request(controller, records, replace=False)

    def save_snapshot(self, controller: str, record: Any) -> asyncio.Future[None]:
        """Replace a journal by one record; the future completes when it is synced."""
        return self._request(controller, (record,), replace=True)

    def _request(
        self, controller: str, records: tuple[Any, ...], *, replace: bool
    ) -> asyncio.Future[None]:
        done = asyncio.get_running_loop().create_future()
        self.requests.put_nowait(_Request(controller, records, replace, done))
        return done


def encode_record(record: Any) -> bytes:
    """Encode a record with its header."""
    body = _ENCODER.encode((type(record).__name__, record))
    length = _LENGTH.pack(len(body))
    return length + _LENGTH.pack(zlib.crc32(body, zlib.crc32(length))) + body


def open_journal(path: Path, types: Iterable[type]) -> tuple[Journal, Recovered]:
    """Open a journal and read its records.

    A torn tail is truncated. A journal with a corrupt record before the tail is renamed
    to a file ending in ``.corrupt``, and a new journal is started.

    Raises
    ------
    StorageError
        If the files cannot be read or written, or if a record cannot be decoded.
    """
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        data = path.read_bytes() if path.exists() else b""
        bodies, end = _split_records(data)
        if bodies is None:
            path.replace(path.with_name(path.name + ".corrupt"))
        file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o644)
        if bodies is not None and end < len(data):
            os.ftruncate(file, end)
        os.fsync(file)
        _sync_folder(path.parent)
    except OSError as error:
        raise StorageError(
            f"journal {str(path)!r} cannot be opened: {error.strerror}"
        ) from error
    records = tuple(_decode(body, path, types) for body in bodies or ())
    return Journal(path, file), Recovered(records, lost=bodies is None)


def _split_records(data: bytes) -> tuple[list[bytes] | None, int]:
    """Return the record bodies and the offset of their end.

    The bodies are ``None`` if one of the records is corrupt.
    """
    bodies = []
    offset = 0
    while offset < len(data):
        body = _read_record(data, offset)
        if body is None:
            return (bodies, offset) if _is_torn(data, offset) else (None, 0)
        bodies.append(body)
        offset += _HEADER.size + len(body)
    return bodies, offset


def _read_record(data: bytes, offset: int) -> bytes | None:
    if offset + _HEADER.size > len(data):
        return None
    length, checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    if length == 0 or start + length > len(data):
        return None
    body = data[start : start + length]
    header = zlib.crc32(data[offset : offset + _LENGTH.size])
    return body if zlib.crc32(body, header) == checksum else None


def _is_torn(data: bytes, offset: int) -> bool:
    """Return whether an invalid record is an incomplete last one rather than corrupt.

    A file system may extend a file before it writes the data, so zeros up to the end
    are a torn tail as well. A damaged length can make a record appear to extend past
    the end of the file. In this case whole records follow, which a torn tail never has.
    """
    if not any(data[offset:]):
        return True
    if offset + _HEADER.size <= len(data):
        length, _ = _HEADER.unpack_from(data, offset)
        if offset + _HEADER.size + length <= len(data):
            return False
    return not any(
        _read_record(data, start) is not None for start in range(offset + 1, len(data))
    )


def _decode(body: bytes, path: Path, types: Iterable[type]) -> Any:
    types_by_name = {type_.__name__: type_ for type_ in types}
    try:
        name, raw = _TAG_DECODER.decode(body)
        return msgspec.msgpack.decode(
            raw, type=types_by_name[name], dec_hook=decode_value
        )
    except (msgspec.DecodeError, RecursionError, KeyError) as error:
        raise StorageError(
            f"journal {str(path)!r}: record cannot be decoded: {error}"
        ) from error


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


async def run_journals(journals: Journals) -> None:
    """Write the queued requests in groups, and sync each group in a thread.

    Only this task writes to the journals.

    Raises
    ------
    StorageError
        If a write fails. The content of the file is then unknown, so the process must
        not continue.
    """
    while True:
        group = [await journals.requests.get()]
        while len(group) < GROUP_REQUESTS and not journals.requests.empty():
            group.append(journals.requests.get_nowait())
        try:
            await asyncio.to_thread(_write_group, journals, group)
        except OSError as error:
            raise StorageError(f"journal cannot be written: {error}") from error
        for request in group:
            if not request.done.done():
                request.done.set_result(None)


def _write_group(journals: Journals, group: list[_Request]) -> None:
    changed: dict[str, list[_Request]] = {}
    for request in group:
        changed.setdefault(request.controller, []).append(request)
    for controller, requests in changed.items():
        journal = journals.journals_by_controller[controller]
        for request in requests:
            if request.replace:
                journal = replace_journal(journal, request.records)
                journals.journals_by_controller[controller] = journal
            else:
                append(journal, request.records)
        os.fsync(journal.file)


def append(journal: Journal, records: tuple[Any, ...]) -> None:
    """Write records at the end of a journal without syncing them."""
    data = memoryview(b"".join(encode_record(record) for record in records))
    while data:
        data = data[os.write(journal.file, data) :]


def replace_journal(journal: Journal, records: tuple[Any, ...]) -> Journal:
    """Replace a journal by a new, synced file with these records."""
    new_path = journal.path.with_name(journal.path.name + ".new")
    new = Journal(
        journal.path,
        os.open(new_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o644),
    )
    append(new, records)
    os.fsync(new.file)
    new_path.replace(journal.path)
    _sync_folder(journal.path.parent)
    os.close(journal.file)
    return new
