"""Counts the messages of all daemons from their metrics."""

from __future__ import annotations

import re
import urllib.request
from collections import Counter

_SAMPLE = re.compile(r"^(\w+)(?:\{(.*)\})? (\S+)$")
_LABEL = re.compile(r'(\w+)="([^"]*)"')

PARTS_BY_KIND = {
    "ClaimRequest": "claims",
    "ClaimReply": "claims",
    "FetchClaims": "replication",
    "ClaimsPage": "replication",
    "ClaimAndSubmit": "forwarding",
    "SubmitJob": "forwarding",
    "JobAnswer": "forwarding",
    "Heartbeat": "heartbeats",
    "AppendEntries": "configuration",
    "AppendReply": "configuration",
    "AnnounceBackendServer": "announcements",
    "LeaseGranted": "announcements",
}
_OTHER = "other"


def read_metrics(url: str) -> Counter[tuple[str, str]]:
    """Return the samples of a daemon's metrics, summed by name and by one label.

    The label is ``kind`` or else ``status``; its value is empty if both are missing.
    """
    with urllib.request.urlopen(f"{url}/metrics") as response:
        text = response.read().decode()
    values: Counter[tuple[str, str]] = Counter()
    for line in text.splitlines():
        match = _SAMPLE.match(line)
        if match:
            labels = dict(_LABEL.findall(match[2] or ""))
            label = labels.get("kind") or labels.get("status") or ""
            values[match[1], label] += float(match[3])
    return values


def count_wasted_messages(
    before: Counter[tuple[str, str]], after: Counter[tuple[str, str]], tasks: int
) -> dict[str, float]:
    """Return the wasted messages per task, by part and in total.

    The request and the answer of a caller, and one dispatch and one result per task,
    are necessary and do not count as wasted. Batches save dispatches; this saving is
    reported as a separate figure and is not subtracted from the waste.
    """
    parts: Counter[str] = Counter()
    for (name, label), value in (after - before).items():
        if name == "boragetide_peer_messages_sent_total":
            parts[PARTS_BY_KIND.get(label, _OTHER)] += value
        elif name == "boragetide_announcements_total":
            parts["announcements"] += 2 * value
        elif name == "boragetide_cancellations_total":
            parts["cancellations"] += 2 * value
        elif name == "boragetide_retries_total":
            parts["retries"] += 2 * value
    wasted = {part: value / tasks for part, value in sorted(parts.items())}
    wasted["total"] = sum(wasted.values())
    dispatches = sum(
        value
        for (name, _), value in (after - before).items()
        if name == "boragetide_dispatches_total"
    )
    wasted["saved_by_batches"] = (tasks - dispatches) / tasks
    return wasted
