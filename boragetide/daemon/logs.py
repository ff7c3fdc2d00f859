"""Logging through eliot: one line of key=value pairs per event.

A value of printable ASCII without spaces, quotes and equals signs is written as it is.
Any other value is written as a JSON string, so that every event stays on one line.
"""

from __future__ import annotations

import asyncio
import atexit
import contextlib
import json
import logging
import os
import re
import sys
import time
import traceback
from dataclasses import dataclass, field
from datetime import UTC, datetime
from functools import lru_cache
from typing import Any, TextIO

import eliot

_UNQUOTED_VALUE = re.compile(r"[!#-<>-~]+")
_ELIOT_FIELDS = frozenset({"task_uuid", "task_level", "timestamp", "message_type"})
_LOGGER = eliot.Logger()
# Holds about 1,500 lines, which a busy leader writes in one to two seconds.
MAX_BACKLOG_BYTES = 256 * 1024
# Number of formatted timestamps to cache. Without the cache, formatting the seconds
# took a third of the time needed for a line.
_FORMATTED_SECONDS_CACHE_SIZE = 4


@dataclass(slots=True)
class _Writer:
    """Collects the lines of one event loop iteration and writes them together.

    Never blocks on the reader of the stream: output that does not fit into the pipe is
    buffered. Once the buffer exceeds `MAX_BACKLOG_BYTES`, new lines are dropped and
    counted.
    """

    stream: TextIO
    lines: list[str] = field(default_factory=list)
    backlog: bytes = b""
    dropped: int = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue one eliot message; write it at once if no event loop is running."""
        self.lines.append(format_event(message))
        if len(self.lines) > 1:
            return
        try:
            asyncio.get_running_loop().call_soon(self.flush)
        except RuntimeError:
            self.flush()

    def flush(self) -> None:
        """Write as many of the collected lines as the stream accepts."""
        if len(self.backlog) > MAX_BACKLOG_BYTES:
            self.dropped += len(self.lines)
            self.lines.clear()
        elif self.lines:
            if self.dropped:
                self.lines.append(_describe_dropped(self.dropped))
                self.dropped = 0
            self.backlog += ("\n".join(self.lines) + "\n").encode()
            self.lines.clear()
        if self.backlog:
            self._write()

    def _write(self) -> None:
        try:
            written = os.write(self.stream.fileno(), self.backlog)
        except BlockingIOError:
            return
        except (OSError, ValueError):
            # The stream has no file descriptor, such as one captured by a test.
            self.stream.write(self.backlog.decode())
            self.stream.flush()
            written = len(self.backlog)
        self.backlog = self.backlog[written:]


def _describe_dropped(count: int) -> str:
    return format_event(
        {"timestamp": time.time(), "message_type": "log_lines_dropped", "count": count}
    )


class _EventHandler(logging.Handler):
    """Converts records of the standard library's logging into events."""

    def emit(self, record: logging.LogRecord) -> None:
        fields = {
            "logger": record.name,
            "level": record.levelname.lower(),
            "message": record.getMessage(),
        }
        if record.exc_info and record.exc_info[1] is not None:
            fields["traceback"] = "".join(
                traceback.format_exception(record.exc_info[1])
            )
        log_event("library", **fields)


def configure_logs(instance: str, stream: TextIO = sys.stderr) -> None:
    """Write every event to ``stream`` as one line.

    Records of the standard library's logging, warnings and uncaught exceptions are
    written as events as well.
    """
    eliot.add_global_fields(instance=instance)
    writer = _Writer(stream)
    with contextlib.suppress(OSError, ValueError):
        os.set_blocking(stream.fileno(), False)
    eliot.add_destinations(writer)
    atexit.register(writer.flush)
    logging.captureWarnings(True)
    logging.basicConfig(handlers=[_EventHandler()], level=logging.WARNING, force=True)
    sys.excepthook = log_uncaught


def log_uncaught(kind: type[BaseException], value: BaseException, trace: Any) -> None:
    """Write a ``crashed`` event for an exception that ends the process."""
    text = "".join(traceback.format_exception(kind, value, trace))
    log_event("crashed", error=repr(value), traceback=text)


def log_event(event: str, **fields: Any) -> None:
    """Write one event.

    The message is passed to eliot's logger directly: `eliot.log_message` creates an
    action with a new UUID for each message, which is not used here.
    """
    _LOGGER.write({"timestamp": time.time(), "message_type": event, **fields})


def format_event(message: dict[str, Any]) -> str:
    """Format an eliot message as one line of key=value pairs."""
    seconds, milliseconds = divmod(int(message["timestamp"] * 1000), 1000)
    head = (
        f"time={_format_seconds(seconds)}.{milliseconds:03}Z "
        f"event={message.get('message_type', 'event')}"
    )
    pairs = [
        f"{key}={_format_value(value)}"
        for key, value in message.items()
        if key not in _ELIOT_FIELDS
    ]
    return " ".join([head, *pairs])


@lru_cache(_FORMATTED_SECONDS_CACHE_SIZE)
def _format_seconds(seconds: int) -> str:
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%dT%H:%M:%S")


def _format_value(value: Any) -> str:
    kind = type(value)
    if kind is int:
        return str(value)
    if kind is float:
        return f"{value:.6g}"
    if kind is str:
        text = value
    elif isinstance(value, list | tuple | set | frozenset):
        text = ",".join(str(item) for item in value)
    else:
        text = str(value)
    return text if _UNQUOTED_VALUE.fullmatch(text) else json.dumps(text)
