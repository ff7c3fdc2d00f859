"""Messages round-trip through the codec; damaged frames are rejected."""

from __future__ import annotations

import dataclasses
import inspect
import typing
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from boragetide import commands, durable, log_records, messages, types
from boragetide.errors import LinkError
from boragetide.limits import MAX_TASKS
from boragetide.links.codec import (
    Envelope,
    decode_body,
    decode_frame,
    encode_body,
    encode_frame,
)
from boragetide.task_set import TaskSet

JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**40), 2**40) | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=6,
)
NUMBERS = st.floats(allow_nan=False, allow_infinity=False)
KINDS = [
    value
    for value in vars(messages).values()
    if inspect.isclass(value)
    and dataclasses.is_dataclass(value)
    and value.__module__.startswith(messages.__name__)
]


def build(type_: type) -> st.SearchStrategy[Any]:
    """Build a strategy for a data class; fields of type `Any` get JSON values."""
    modules = (types, durable, commands, log_records, messages)
    names = {name: value for each in modules for name, value in vars(each).items()}
    hints = typing.get_type_hints(type_, names)
    return st.builds(
        type_, **{name: _build_field(hint) for name, hint in hints.items()}
    )


def _build_field(hint: Any) -> st.SearchStrategy[Any]:
    arguments = typing.get_args(hint)
    origin = typing.get_origin(hint)
    if hint is Any:
        return JSON
    if hint is commands.Command:
        return st.one_of(*map(build, commands.COMMANDS_BY_KIND.values()))
    if origin is typing.Literal:
        return st.sampled_from(arguments)
    if hint is float:
        return NUMBERS
    if hint is int:
        return st.integers(-(2**62), 2**62)
    if origin is tuple and arguments[-1] is ...:
        return st.lists(_build_field(arguments[0]), max_size=3).map(tuple)
    if origin is tuple:
        return st.tuples(*map(_build_field, arguments))
    if origin is list:
        return st.lists(_build_field(arguments[0]), max_size=3)
    if origin is dict:
        keys, values = map(_build_field, arguments)
        return st.dictionaries(keys, values, max_size=3)
    if hint is TaskSet:
        return st.frozensets(st.integers(0, MAX_TASKS - 1), max_size=3).map(TaskSet)
    if origin is frozenset:
        return st.frozensets(_build_field(arguments[0]), max_size=3)
    if arguments:
        return st.one_of(*map(_build_field, arguments))
    if dataclasses.is_dataclass(hint):
        return build(hint)
    return st.from_type(hint)


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.__name__)
@given(data=st.data())
def test_message_decodes_to_what_was_encoded(kind: type, data: st.DataObject) -> None:
    """Guards against a message type whose fields change in encoding or decoding."""
    message = data.draw(build(kind))
    envelope = Envelope("a1", 1, "jobs", 0, kind.__name__, encode_body(message))
    (received,) = decode_frame(encode_frame([envelope]))
    assert decode_body(received) == message


@pytest.mark.parametrize("value", [2**64, -(2**63) - 1, "\ud800", object()])
def test_message_that_cannot_be_encoded_is_a_link_error(value: Any) -> None:
    """Guards against a value that ends the process of the sender."""
    with pytest.raises(LinkError):
        encode_body(messages.CountWaiting(class_name=value))


DEEP_ARRAY = b"\x91" * 100_000 + b"\x90"


@pytest.mark.parametrize("kind", ["Tick", "ReportServer", "AppendCommands"])
def test_deeply_nested_message_is_a_link_error(kind: str) -> None:
    """Guards against a frame that stops the listener with a RecursionError."""
    envelope = Envelope("a1", 1, "jobs", 0, kind, msgspec.Raw(DEEP_ARRAY))
    with pytest.raises(LinkError):
        decode_body(envelope)
    for frame in (DEEP_ARRAY, encode_frame([envelope])):
        with pytest.raises(LinkError):
            decode_frame(frame)


@given(frame=st.binary(max_size=200))
def test_arbitrary_bytes_never_raise_another_error(frame: bytes) -> None:
    """Guards against damaged frames that stop the listener with another exception."""
    try:
        for envelope in decode_frame(frame):
            decode_body(envelope)
    except LinkError:
        pass
