"""Passes over the tests that ``KNOWN-RED.txt`` lists, and prints them.

Loads the fixture that all tests with crowds of clients share.
"""

from __future__ import annotations

from pathlib import Path

import pytest

pytest_plugins = ("boragetide.tests.crowds",)
KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"
TEST_FIELD = "test: "


def read_known_red() -> tuple[str, ...]:
    """Return the node ids of the listed tests; none if the file does not exist."""
    if not KNOWN_RED.exists():
        return ()
    lines = KNOWN_RED.read_text().splitlines()
    return tuple(
        line.removeprefix(TEST_FIELD) for line in lines if line.startswith(TEST_FIELD)
    )


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected to fail, without running them."""
    known_red = read_known_red()
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(run=False, reason="in KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests."""
    for node_id in read_known_red():
        terminalreporter.write_line(f"known red, not run: {node_id}")
