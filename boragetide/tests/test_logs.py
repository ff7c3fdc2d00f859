"""Log lines and metrics that other programs read."""

from __future__ import annotations

import asyncio
import io
import json
import re
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from boragetide.daemon.logs import _Writer, format_event
from boragetide.daemon.metrics import Metrics
from boragetide.settings import EMBEDDED_DEFAULT
from boragetide.tests.conftest import free_port

PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[!#-<>-~]+)(?: |$)')
SAMPLE = re.compile(
    r'[a-z_]+(\{([a-z_]+="([^"\\\n]|\\[\\n"])*",?)+\})? [-+0-9.e]+', re.ASCII
)


def parse_line(line: str) -> dict[str, str]:
    """Parse a log line as an operator's tool does."""
    assert PAIR.sub("", line) == ""
    return {
        key: json.loads(value) if value.startswith('"') else value
        for key, value in PAIR.findall(line)
    }


@given(st.dictionaries(st.sampled_from(["job", "error"]), st.text()))
def test_any_text_stays_one_line_and_is_read_back(fields: dict[str, str]) -> None:
    """Guards against values that break a line or inject a field."""
    line = format_event({"timestamp": 1.5, "message_type": "routing", **fields})
    expected = {"time": "1970-01-01T00:00:01.500Z", "event": "routing", **fields}
    assert parse_line(line) == expected
    assert line.isascii()
    assert line.isprintable()


def test_lines_of_one_loop_iteration_are_written_together() -> None:
    """Guards against one write call per line on the hot path."""
    stream = io.StringIO()

    async def write_two() -> str:
        writer = _Writer(stream)
        writer({"timestamp": 1.0, "message_type": "first"})
        writer({"timestamp": 1.0, "message_type": "second"})
        before = stream.getvalue()
        await asyncio.sleep(0)
        return before

    assert asyncio.run(write_two()) == ""
    assert len(stream.getvalue().splitlines()) == 2


def test_other_libraries_log_in_the_same_format() -> None:
    """Guards against tracebacks and warnings that span several lines of the log."""
    script = """
import logging, warnings
from boragetide.daemon.logs import configure_logs
configure_logs("a1")
try:
    1 / 0
except ZeroDivisionError:
    logging.getLogger("tornado.application").exception("failed at %s", "x")
logging.getLogger("asyncio").error("lost task")
warnings.warn("old call")
raise SystemError("end")
"""
    run = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, timeout=20
    )
    lines = [parse_line(line) for line in run.stderr.splitlines()]
    assert [line["event"] for line in lines] == ["library"] * 3 + ["crashed"]
    assert lines[0]["message"] == "failed at x"
    assert "ZeroDivisionError" in lines[0]["traceback"]
    assert [line.get("logger") for line in lines[1:3]] == ["asyncio", "py.warnings"]
    assert {line["instance"] for line in lines} == {"a1"}


@pytest.mark.parametrize("old", ["127.0.0.1:8080", "127.0.0.1:8090"])
def test_daemon_that_cannot_listen_ends_with_one_line(tmp_path: Path, old: str) -> None:
    """Guards against a daemon that waits forever for a port that is in use."""
    with socket.create_server(("127.0.0.1", 0)) as taken:
        text = EMBEDDED_DEFAULT.replace(old, f"127.0.0.1:{taken.getsockname()[1]}")
        text = re.sub(r":80[89]0", lambda _: f":{free_port()}", text)
        config = tmp_path / "one.ini"
        config.write_text(text.replace("= data", f"= {tmp_path}/data"))
        run = subprocess.run(
            [sys.executable, "-m", "boragetide.daemon", "--config", config],
            capture_output=True,
            text=True,
            timeout=20,
        )
    (line,) = [parse_line(line) for line in run.stderr.splitlines()]
    assert (run.returncode, line["event"]) == (1, "crashed")
    assert "in use" in line["error"]


def test_metrics_are_valid_exposition_text() -> None:
    """Guards against label values that make the scrape of all metrics fail."""
    metrics = Metrics()
    metrics.count("jobs", {"class": "a", "status": "complete"}, 2)
    metrics.count("jobs", {"class": "a", "status": "complete"})
    metrics.set_gauge("queue", {"server": 'x"y\\\n'}, 3)
    metrics.set_gauge("live_instances", {}, 1)
    metrics.observe_response("a", "complete", 0.3)
    content, headers = metrics.render()
    assert headers["Content-Type"].startswith("text/plain; version=0.0.4")
    samples = [line for line in content.decode().splitlines() if line[0] != "#"]
    assert not [line for line in samples if SAMPLE.fullmatch(line) is None]
    assert 'boragetide_jobs_total{class="a",status="complete"} 3.0' in samples
    assert 'boragetide_queue{server="x\\"y\\\\\\n"} 3' in samples
    assert metrics.render()[0] == content


def test_two_metrics_objects_do_not_share_a_registry() -> None:
    """Guards against collectors in the global registry, which refuses duplicates."""
    Metrics().count("jobs", {})
    first = Metrics()
    first.count("jobs", {})
    assert b"boragetide_jobs_total 1.0" in first.render()[0]
