"""Logs: one line of key=value pairs per event, through eliot."""

from __future__ import annotations

import json
import re
import sys
from datetime import UTC, datetime
from typing import Any, TextIO

import eliot

_PLAIN = re.compile(r"[^\s\"=]+")
_ELIOT_FIELDS = frozenset({"task_uuid", "task_level", "timestamp", "message_type"})


def configure_logs(instance: str, stream: TextIO = sys.stderr) -> None:
    """Write every event to ``stream`` as one line."""
    eliot.add_global_fields(instance=instance)

    def write(message: dict[str, Any]) -> None:
        stream.write(format_event(message) + "\n")
        stream.flush()

    eliot.add_destinations(write)


def log_event(event: str, **fields: Any) -> None:
    """Write one event."""
    eliot.log_message(message_type=event, **fields)


def format_event(message: dict[str, Any]) -> str:
    """Format an eliot message as one line of key=value pairs."""
    time = datetime.fromtimestamp(message["timestamp"], UTC)
    pairs = [
        f"time={time.isoformat(timespec='milliseconds')}",
        f"event={message.get('message_type', 'event')}",
    ]
    pairs += [
        f"{key}={_format_value(value)}"
        for key, value in message.items()
        if key not in _ELIOT_FIELDS
    ]
    return " ".join(pairs)


def _format_value(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, list | tuple | set | frozenset):
        value = ",".join(str(item) for item in value)
    text = str(value)
    return text if _PLAIN.fullmatch(text) else json.dumps(text)
