"""Logs that are bounded although what they tell of is repeated."""

from __future__ import annotations

import re
import time
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

from boragetide.daemon.logs import log_event

MAX_REMEMBERED_FAULTS = 1000
MAX_LOGGED_LENGTH = 200  # characters of a sender or a reason
MAX_LINES_PER_SECOND = 10  # of one event
_DIGITS = re.compile(r"\d+")


@dataclass(slots=True)
class FaultLog:
    """Log of the faults of entries that others write.

    Parameters
    ----------
    seen
        Pairs of sender and reason that were logged, the least recent first. The oldest
        is forgotten when there are more than `MAX_REMEMBERED_FAULTS`. Reasons that
        differ only in a number, such as a position, count as the same.
    """

    seen: OrderedDict[tuple[str, str], None] = field(default_factory=OrderedDict)

    def record(self, event: str, sender: str, reason: str) -> None:
        """Write an event unless this reason was logged for this sender before."""
        sender, reason = sender[:MAX_LOGGED_LENGTH], reason[:MAX_LOGGED_LENGTH]
        key = (sender, _DIGITS.sub("0", reason))
        is_new = key not in self.seen
        self.seen[key] = None
        self.seen.move_to_end(key)
        if len(self.seen) > MAX_REMEMBERED_FAULTS:
            self.seen.popitem(last=False)
        if is_new:
            log_event(event, sender=sender, reason=reason)


@dataclass(slots=True)
class RateLimitedLog:
    """Log of events that clients can cause at any rate.

    Parameters
    ----------
    lines_by_event
        Lines that were written in the second in ``second``.
    suppressed_by_event
        Events that were not written since the last line. The next line counts them.
    """

    second: int = 0
    lines_by_event: dict[str, int] = field(default_factory=dict)
    suppressed_by_event: dict[str, int] = field(default_factory=dict)

    def record(self, event: str, **fields: Any) -> None:
        """Write an event, at most `MAX_LINES_PER_SECOND` times a second."""
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.lines_by_event.clear()
        lines = self.lines_by_event.get(event, 0)
        if lines >= MAX_LINES_PER_SECOND:
            suppressed = self.suppressed_by_event.get(event, 0)
            self.suppressed_by_event[event] = suppressed + 1
            return
        self.lines_by_event[event] = lines + 1
        suppressed = self.suppressed_by_event.pop(event, 0)
        log_event(event, **fields, suppressed=suppressed)
