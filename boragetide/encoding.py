"""Decoding of values whose declared type is only a base class, for msgspec."""

from __future__ import annotations

from typing import Any

import msgspec

from boragetide.commands import COMMANDS_BY_KIND, Command


def decode_command(declared: type, value: Any) -> Any:
    """Decode a command by its ``kind``; serves as a ``dec_hook`` of msgspec.

    Raises
    ------
    NotImplementedError
        If the declared type is not `Command`.
    ValueError
        If the kind is unknown.
    """
    if declared is not Command:
        raise NotImplementedError(f"cannot decode {declared!r}")
    kind = value.get("kind") if isinstance(value, dict) else None
    if kind not in COMMANDS_BY_KIND:
        raise ValueError(f"unknown command kind {kind!r}")
    return msgspec.convert(value, COMMANDS_BY_KIND[kind])
