"""JSON values that links between instances can carry unchanged."""

from __future__ import annotations

import math
import re
from typing import Any

MAX_DEPTH = 200  # levels; the JSON parser of request bodies stops there as well

_MIN_INTEGER = -(2**63)
_MAX_INTEGER = 2**64 - 1
# Matches every text that can hold a number outside the ranges below, so that other
# texts need no walk through their values.
_SUSPECT = re.compile(rb"NaN|Infinity|\d{19}|[eE]\+?\d{3}")


def needs_walk(text: bytes) -> bool:
    """Tell whether a JSON text can hold a value that `find_fault` objects to."""
    brackets = text.count(b"[") + text.count(b"{")
    return brackets > MAX_DEPTH or _SUSPECT.search(text) is not None


def find_fault(value: Any) -> str | None:
    """Return why a decoded JSON value cannot be carried unchanged, if so.

    msgpack has no integers above 64 bits, and JSON has neither NaN nor infinity.
    """
    return _walk(value, MAX_DEPTH)


def _walk(value: Any, depth: int) -> str | None:
    if depth < 0:
        return f"nested more than {MAX_DEPTH} levels deep"
    if isinstance(value, float) and not math.isfinite(value):
        return "number is not finite"
    if isinstance(value, int) and not _MIN_INTEGER <= value <= _MAX_INTEGER:
        return "integer does not fit 64 bits"
    if isinstance(value, dict):
        value = value.values()
    elif not isinstance(value, list):
        return None
    return next((f for item in value if (f := _walk(item, depth - 1))), None)
