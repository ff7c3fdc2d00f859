"""Transfer of a configuration in pieces, from one instance at a time.

An instance that learns of a newer version, but not of its content, requests one piece
after another, so that heartbeats, replies and orders pass between them. It continues
with another instance, from the offset reached, if the next piece does not arrive.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from boragetide.configuration_content import (
    ContentCache,
    DeriveClasses,
    PackedConfiguration,
    unpack,
)
from boragetide.effects import Count, Effect, LogEvent, Observe, Send
from boragetide.errors import ContentError
from boragetide.messages import ConfigurationPiece, FetchConfigurationPiece
from boragetide.policy.exponential_wait import grow_wait
from boragetide.types import Address, Configuration, InstanceId, Seconds

# Occupies a link of 9.5 Mbit/s for 14 ms. The text of 1,400 routes takes one piece.
PIECE_BYTES = 16 * 1024
# Bounds the memory of an unfinished transfer. A text of 8 MiB, the largest that the
# boundary accepts, takes less unless it can hardly be compressed.
MAX_COMPRESSED = 16 * 1024 * 1024  # bytes
# Another instance is asked after this time without a piece. Two losses in a row, or
# three at different pieces, take 1.2 s (1.44 s with the jitter), less than the 1.5 s
# for which an earlier confirmation holds.
PIECE_WAIT: Seconds = 0.4
MAX_PIECE_WAIT: Seconds = 2.0
WAIT_JITTER = 0.2  # share of a wait
# A piece on a slow link is not requested again before it can have arrived.
SLOW_PIECE_FACTOR = 2.0


@dataclass(slots=True)
class ConfigurationTransfer:
    """The transfer of a configuration to this instance, at most one at a time.

    Parameters
    ----------
    receiver
        This instance, and its controller that gets the pieces.
    derive_classes
        See `Settings`.
    jitter
        Spreads the waits, so that instances that lose the same member do not ask the
        next one at the same time.
    version
        Version that is being fetched, or -1.
    digest, total, data
        Digest and size of its compressed content, once a piece has arrived, and the
        bytes received so far.
    sender
        Instance that is asked.
    began_at, piece_requested_at, due
        Times at which the transfer began, the missing piece was first requested, and
        another instance is asked for it.
    requested_at_by_sender
        Time at which each instance was first asked for the missing piece.
    attempts
        How often the missing piece was requested again.
    refusals
        How often the whole content of this version arrived and was not usable.
    slowest
        Longest time that a piece of this transfer took, from the first request to the
        instance that sent it. Time lost on another instance does not count.
    """

    receiver: Address
    derive_classes: DeriveClasses | None = None
    jitter: random.Random = field(default_factory=random.Random)
    version: int = -1
    digest: str = ""
    total: int = 0
    data: bytearray = field(default_factory=bytearray)
    sender: InstanceId = ""
    began_at: Seconds = 0.0
    piece_requested_at: Seconds = 0.0
    due: Seconds = 0.0
    requested_at_by_sender: dict[InstanceId, Seconds] = field(default_factory=dict)
    attempts: int = 0
    refusals: int = 0
    slowest: Seconds = 0.0

    @property
    def in_progress(self) -> bool:
        """Whether a configuration is being fetched."""
        return self.version >= 0

    @property
    def is_on_time(self) -> bool:
        """Whether a configuration is being fetched and its pieces arrive in time."""
        return self.in_progress and self.attempts == 0


def begin_transfer(
    transfer: ConfigurationTransfer,
    version: int,
    sender: InstanceId,
    held: int,
    now: Seconds,
) -> list[Effect]:
    """Fetch a version from an instance that has it, unless it is being fetched.

    A transfer of an older version ends, because the instance may handle requests by
    the newest version only.

    Parameters
    ----------
    held
        Version that this instance has.
    """
    if version <= max(held, transfer.version):
        return []
    fields = {"version": version, "sender": sender, "held": held}
    if transfer.in_progress:
        fields |= {"instead_of": transfer.version, "received": len(transfer.data)}
    end_transfer(transfer)
    transfer.version, transfer.sender, transfer.began_at = version, sender, now
    transfer.slowest, transfer.refusals = 0.0, 0
    began = LogEvent("configuration_transfer_began", fields)
    return [began, _request_next(transfer, now)]


def end_transfer(transfer: ConfigurationTransfer) -> None:
    """Forget an unfinished transfer."""
    transfer.version = -1
    _restart(transfer)


def end_if_obsolete(transfer: ConfigurationTransfer, held: int) -> None:
    """End a transfer of a version that is no newer than the one in force here."""
    if transfer.in_progress and transfer.version <= held:
        end_transfer(transfer)


def _restart(transfer: ConfigurationTransfer) -> None:
    transfer.digest, transfer.total, transfer.data = "", 0, bytearray()
    transfer.attempts = 0


def _request_next(transfer: ConfigurationTransfer, now: Seconds) -> Effect:
    """Request the piece behind the bytes that were received."""
    transfer.attempts = 0
    transfer.piece_requested_at = now
    transfer.requested_at_by_sender.clear()
    return _request(transfer, now)


def _request(transfer: ConfigurationTransfer, now: Seconds) -> Effect:
    first = min(max(PIECE_WAIT, SLOW_PIECE_FACTOR * transfer.slowest), MAX_PIECE_WAIT)
    wait = grow_wait(first, transfer.attempts, MAX_PIECE_WAIT)
    transfer.due = now + wait * transfer.jitter.uniform(
        1.0 - WAIT_JITTER, 1.0 + WAIT_JITTER
    )
    transfer.requested_at_by_sender.setdefault(transfer.sender, now)
    request = FetchConfigurationPiece(
        transfer.receiver.instance,
        transfer.version,
        transfer.digest,
        len(transfer.data),
        transfer.receiver.controller,
    )
    return Send(Address(transfer.sender, "configuration"), request)


def check_transfer(
    transfer: ConfigurationTransfer, holders: Sequence[InstanceId], now: Seconds
) -> list[Effect]:
    """Ask another instance if the next piece has not arrived in time.

    Parameters
    ----------
    holders
        Instances that may have the configuration.
    """
    if not transfer.in_progress or now < transfer.due:
        return []
    late, transfer.sender = transfer.sender, _choose_next(transfer.sender, holders)
    transfer.attempts += 1
    fields = {
        "version": transfer.version,
        "sender": transfer.sender,
        "late_sender": late,
        "offset": len(transfer.data),
        "total": transfer.total,
        "attempts": transfer.attempts,
        "waited": now - transfer.piece_requested_at,
    }
    repeated = LogEvent("configuration_transfer_repeated", fields)
    return [repeated, _request(transfer, now)]


def _choose_next(sender: InstanceId, holders: Sequence[InstanceId]) -> InstanceId:
    if not holders:
        return sender
    if sender not in holders:
        return holders[0]
    return holders[(holders.index(sender) + 1) % len(holders)]


def receive_piece(
    transfer: ConfigurationTransfer,
    piece: ConfigurationPiece,
    held: int,
    now: Seconds,
) -> tuple[Configuration | None, list[Effect]]:
    """Add a piece, and request the next one.

    Parameters
    ----------
    held
        Version that this instance has.

    Returns
    -------
    tuple[Configuration | None, list[Effect]]
        The configuration, if the piece was the last one.
    """
    reason = _find_fault(transfer, piece, held)
    if reason is not None:
        return None, _drop(transfer, piece, reason, now)
    if piece.version > transfer.version or piece.digest != transfer.digest:
        # The instance that is asked has another content, or this is the first piece.
        _restart(transfer)
        transfer.version, transfer.sender = piece.version, piece.sender
        transfer.digest, transfer.total = piece.digest, piece.total
    transfer.data += piece.data
    taken = now - transfer.requested_at_by_sender.get(piece.sender, now)
    transfer.slowest = max(transfer.slowest, taken)
    if len(transfer.data) < transfer.total:
        return None, [_request_next(transfer, now)]
    return _complete(transfer, now)


def _find_fault(
    transfer: ConfigurationTransfer, piece: ConfigurationPiece, held: int
) -> str | None:
    """Return why a piece cannot be used, or ``None``."""
    if not transfer.in_progress:
        return "no_transfer"
    if piece.version <= held or piece.version < transfer.version:
        return "older_version"
    if not piece.data or not piece.offset + len(piece.data) <= piece.total:
        return "no_data"
    if piece.total > MAX_COMPRESSED:
        return "too_large"
    is_same = (piece.version, piece.digest) == (transfer.version, transfer.digest)
    if is_same and piece.total == transfer.total:
        return None if piece.offset == len(transfer.data) else "other_offset"
    # Other content begins anew. Content of the same version is that of another build
    # of the program, which counts only from the instance that is asked now.
    is_other_build = piece.version == transfer.version and transfer.digest != ""
    if is_other_build and piece.sender != transfer.sender:
        return "other_content"
    return None if piece.offset == 0 else "other_offset"


def _drop(
    transfer: ConfigurationTransfer,
    piece: ConfigurationPiece,
    reason: str,
    now: Seconds,
) -> list[Effect]:
    """Drop a piece; the missing one is requested again at the latest when it is due."""
    if transfer.in_progress and piece.sender == transfer.sender:
        is_lacking = reason in ("older_version", "no_data", "too_large")
        if is_lacking and transfer.attempts == 0:
            # The instance does not have the content; the next tick asks another one.
            transfer.due = now
    fields = {
        "reason": reason,
        "sender": piece.sender,
        "version": piece.version,
        "offset": piece.offset,
        "bytes": len(piece.data),
        "wanted": transfer.version,
        "received": len(transfer.data),
    }
    return [
        LogEvent("configuration_piece_dropped", fields),
        Count("configuration_pieces_dropped", {"reason": reason}),
    ]


def _complete(
    transfer: ConfigurationTransfer, now: Seconds
) -> tuple[Configuration | None, list[Effect]]:
    """Return the configuration, or begin anew if the content is damaged."""
    data = bytes(transfer.data)
    packed = PackedConfiguration(transfer.version, transfer.digest, data)
    fields = {
        "version": transfer.version,
        "sender": transfer.sender,
        "bytes": len(data),
        "seconds": now - transfer.began_at,
    }
    try:
        configuration = unpack(packed, transfer.derive_classes)
    except ContentError as error:
        _restart(transfer)
        transfer.requested_at_by_sender.clear()
        wait = grow_wait(PIECE_WAIT, transfer.refusals, MAX_PIECE_WAIT)
        transfer.due = now + wait
        transfer.refusals += 1
        fields["error"] = str(error)
        return None, [LogEvent("configuration_content_refused", fields)]
    seconds = now - transfer.began_at
    end_transfer(transfer)
    return configuration, [
        LogEvent("configuration_transferred", fields),
        Observe("configuration_transfer_seconds", seconds),
    ]


def send_piece(
    content: ContentCache,
    in_force: Configuration | None,
    request: FetchConfigurationPiece,
    sender: InstanceId,
) -> list[Effect]:
    """Answer a request with a piece of the configuration in force here.

    An instance that has another content sends the beginning of its own. If that is
    older than the requested one, it sends no data, which the receiver could not use.

    Parameters
    ----------
    sender
        This instance.
    """
    if in_force is None:
        return []
    if in_force.version < request.version:
        empty = ConfigurationPiece(sender, in_force.version, "", 0, 0, b"")
        return [_answer(request, empty)]
    effects: list[Effect] = []
    is_packed = content.is_packed(in_force)
    packed = content.pack(in_force)
    if not is_packed:
        fields = {"version": packed.version, "bytes": len(packed.data)}
        effects.append(LogEvent("configuration_packed", fields))
    is_same = (packed.version, packed.digest) == (request.version, request.digest)
    offset = request.offset if is_same else 0
    piece = ConfigurationPiece(
        sender=sender,
        version=packed.version,
        digest=packed.digest,
        offset=offset,
        total=len(packed.data),
        data=packed.data[offset : offset + PIECE_BYTES],
    )
    sent = len(piece.data)
    labels = {"peer": request.sender}
    effects.append(Count("configuration_bytes_sent", labels, sent))
    return [*effects, _answer(request, piece)]


def _answer(request: FetchConfigurationPiece, piece: ConfigurationPiece) -> Effect:
    return Send(Address(request.sender, request.controller), piece)
