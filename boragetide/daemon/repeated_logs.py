"""Logs each fault of an entry once, not each time the entry is sent again."""

from __future__ import annotations

import re
from collections import OrderedDict
from dataclasses import dataclass, field

from boragetide.daemon.logs import log_event

MAX_REMEMBERED_FAULTS = 1000
MAX_LOGGED_LENGTH = 200  # characters of a sender or a reason
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
