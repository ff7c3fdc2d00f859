"""Result streams of backend servers in arbitrary chunks and with invalid lines."""

from __future__ import annotations

import itertools
import json

from hypothesis import given
from hypothesis import strategies as st

from boragetide.effects import StartTasks
from boragetide.links.backend_client import LineParser
from boragetide.messages import TaskReport
from boragetide.types import TaskStart

TASK_IDS = tuple(f"j.{index}" for index in range(4))
GOOD_LINES = st.builds(
    lambda task, status: json.dumps({"id": task, "status": status}).encode(),
    st.sampled_from([*TASK_IDS, "other"]),
    st.sampled_from(["done", "failed", "cancelled", "no such word"]),
)
LINES = st.lists(GOOD_LINES | st.binary(max_size=20), max_size=12)


@given(lines=LINES, cuts=st.lists(st.integers(0, 400), max_size=8))
def test_each_task_is_reported_at_most_once_whatever_the_chunks(
    lines: list[bytes], cuts: list[int]
) -> None:
    """Guards against lost or duplicate results when a chunk ends inside a line."""
    stream = b"\n".join(lines)
    reports: list[TaskReport] = []
    starts = tuple(TaskStart(task, "j", "c", None, 1.0) for task in TASK_IDS)
    waiting = set(TASK_IDS)
    parser = LineParser(
        StartTasks("s", "http://s", "l", starts), waiting, reports.append
    )
    boundaries = [0, *sorted(min(cut, len(stream)) for cut in cuts), len(stream)]
    for start, end in itertools.pairwise(boundaries):
        parser.feed(stream[start:end])
    parser.close()
    reported = [report.task_id for report in reports]
    assert len(set(reported)) == len(reported)
    assert set(reported) == set(TASK_IDS) - waiting
    assert set(reported) == _ids_of_good_lines(stream)


def _ids_of_good_lines(stream: bytes) -> set[str]:
    found = set()
    for line in stream.split(b"\n"):
        try:
            entry = json.loads(line)
        except ValueError:
            continue
        if (
            isinstance(entry, dict)
            and entry.get("id") in TASK_IDS
            and entry.get("status") in ("done", "failed", "cancelled", "not_run")
        ):
            found.add(entry["id"])
    return found
