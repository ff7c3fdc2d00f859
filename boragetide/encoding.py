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
    command_type = COMMANDS_BY_KIND.get(value.get("kind"))
    if command_type is None:
        raise ValueError(f"unknown command kind {value.get('kind')!r}")
    return msgspec.convert(value, command_type)
