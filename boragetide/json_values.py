"""Checks that JSON values can be sent between instances without loss."""

from __future__ import annotations

import math
import re
from typing import Any

MAX_DEPTH = 200  # nesting levels; same limit as the JSON parser of request bodies

_MIN_INTEGER = -(2**63)
_MAX_INTEGER = 2**64 - 1
# Matches every JSON text that can contain a non-finite number or an integer outside the
# range above, so that the values of other texts need not be checked one by one.
_UNSUPPORTED_NUMBER_HINT = re.compile(rb"NaN|Infinity|\d{19}|[eE]\+?\d{3}")


def may_have_unsupported_value(text: bytes) -> bool:
    """Return whether `find_unsupported_value` may reject a value of a JSON text."""
    brackets = text.count(b"[") + text.count(b"{")
    return brackets > MAX_DEPTH or _UNSUPPORTED_NUMBER_HINT.search(text) is not None


def find_unsupported_value(value: Any) -> str | None:
    """Return why a decoded JSON value cannot be sent unchanged, or ``None`` if it can.

    msgpack has no integers above 64 bits, and JSON has neither NaN nor infinity.
    """
    return _find_unsupported_value_within(value, MAX_DEPTH)


def _find_unsupported_value_within(value: Any, depth: int) -> str | None:
    if depth < 0:
        return f"nested more than {MAX_DEPTH} levels deep"
    if isinstance(value, float) and not math.isfinite(value):
        return "number is not finite"
    if isinstance(value, int) and not _MIN_INTEGER <= value <= _MAX_INTEGER:
        return "integer does not fit in 64 bits"
    if isinstance(value, dict):
        value = value.values()
    elif not isinstance(value, list):
        return None
    return next(
        (f for item in value if (f := _find_unsupported_value_within(item, depth - 1))),
        None,
    )
