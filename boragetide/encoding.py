"""Encoding and decoding of the types that msgspec does not know."""

from __future__ import annotations

from typing import Any

import msgspec

from boragetide.commands import COMMANDS_BY_KIND, Command
from boragetide.task_set import TaskSet


def encode_value(value: Any) -> list[int]:
    """Encode a set of tasks as a list; serves as an ``enc_hook`` of msgspec.

    Raises
    ------
    TypeError
        If the value is of another type.
    """
    if isinstance(value, TaskSet):
        return list(value)
    raise TypeError(f"cannot encode {type(value)!r}")


def decode_value(declared: type, value: Any) -> Any:
    """Decode a set of tasks, or a command; serves as a ``dec_hook`` of msgspec.

    Raises
    ------
    NotImplementedError
        If the declared type is another one.
    ValueError
        If the value is no list of task numbers, or the kind of a command is unknown.
    """
    if declared is TaskSet:
        return TaskSet(msgspec.convert(value, list[int]))
    if declared is not Command:
        raise NotImplementedError(f"cannot decode {declared!r}")
    kind = value.get("kind") if isinstance(value, dict) else None
    if kind not in COMMANDS_BY_KIND:
        raise ValueError(f"unknown command kind {kind!r}")
    return msgspec.convert(value, COMMANDS_BY_KIND[kind], dec_hook=decode_value)
