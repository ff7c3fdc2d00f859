"""How msgspec restores values whose declared type is only a base class."""

from __future__ import annotations

from typing import Any

import msgspec

from boragetide.commands import COMMANDS_BY_KIND, Command


def restore(declared: type, value: Any) -> Any:
    """Restore a command by its kind; a ``dec_hook`` of msgspec.

    Raises
    ------
    NotImplementedError
        For any other declared type.
    ValueError
        If the kind is unknown.
    """
    if declared is not Command:
        raise NotImplementedError(f"cannot decode {declared!r}")
    kind = value.get("kind") if isinstance(value, dict) else None
    if kind not in COMMANDS_BY_KIND:
        raise ValueError(f"unknown command kind {kind!r}")
    return msgspec.convert(value, COMMANDS_BY_KIND[kind])
