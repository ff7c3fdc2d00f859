"""The example settings files describe systems that start."""

from __future__ import annotations

import re
import time
from pathlib import Path

import pytest

from boragetide.settings import EMBEDDED_DEFAULT, load_settings, parse_settings
from boragetide.tests.conftest import Daemon, System, free_port, wait_for

EXAMPLES = Path(__file__).parents[2] / "examples"
SEVEN = sorted((EXAMPLES / "seven").glob("*.ini"))
MEMBERSHIP_LIMIT = 5.0  # seconds until all instances see each other


def test_one_instance_file_repeats_the_defaults(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against documented defaults that differ from the built-in ones."""
    monkeypatch.chdir(tmp_path)
    assert load_settings(EXAMPLES / "one-instance.ini") == parse_settings(
        EMBEDDED_DEFAULT
    )


def test_seven_instances_of_the_examples_see_each_other_within_5_s(
    system: System,
) -> None:
    """Guards against example settings files that do not match each other."""
    ports = dict.fromkeys(range(8101, 8108), 0) | dict.fromkeys(range(8201, 8208), 0)
    ports = {port: free_port() for port in ports}
    for path in SEVEN:
        text = re.sub(
            r":(8[12]0\d)\b", lambda m: f":{ports[int(m[1])]}", path.read_text()
        )
        text = text.replace("data-folder = ", f"data-folder = {system.folder}/")
        config = system.folder / path.name
        config.write_text(text)
        own = parse_settings(text)
        system.daemons_by_id[own.id] = Daemon(
            own.id,
            own.zone,
            f"http://{own.own_peer.http_address}",
            config,
            system.folder / f"{own.id}.log",
        )
    for daemon in system.daemons_by_id.values():
        daemon.spawn()
    for daemon in system.daemons_by_id.values():
        wait_for(daemon.is_up, f"daemon {daemon.id}")
    started = time.monotonic()
    system.wait_for_members(7)
    assert time.monotonic() - started < MEMBERSHIP_LIMIT
    zones = [daemon.zone for daemon in system.daemons_by_id.values()]
    assert sorted(zones) == ["a", "a", "a", "b", "b", "c", "c"]
    assert own.ids_with_disk == ("a1", "b1", "c1")
