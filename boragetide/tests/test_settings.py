"""Settings files: every fault is one line that names section, option and value."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from boragetide.errors import SettingsError
from boragetide.settings import (
    EMBEDDED_DEFAULT,
    DispatchSettings,
    JobOrder,
    PlacementRule,
    load_settings,
    parse_settings,
)

INSTANCE = """
[instance]
id = a1
availability-zone = a
http-address = 127.0.0.1:8001
peer-address = 127.0.0.1:9001
disk = yes
data-folder = {folder}
"""
PEER = """
[peer a2]
availability-zone = a
http-address = 127.0.0.1:8002
peer-address = 127.0.0.1:9002
"""


def find_faults(text: str) -> tuple[str, ...]:
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    return caught.value.faults


@pytest.fixture
def valid(tmp_path: Path) -> str:
    """Text of a valid file with two instances."""
    return INSTANCE.format(folder=tmp_path / "data") + PEER


def test_valid_file_is_read_and_makes_no_folder(valid: str, tmp_path: Path) -> None:
    """Guards against a check that leaves files behind."""
    settings = parse_settings(valid + "[timing]\ntick = 50ms\n")
    assert settings.timing.tick == 0.05
    assert tuple(settings.peers_by_id) == ("a1", "a2")
    assert list(tmp_path.iterdir()) == []


@pytest.mark.parametrize(
    ("section", "expected"),
    [
        ("", DispatchSettings(JobOrder.LATEST_START, PlacementRule.FIRST_FIT)),
        ("[dispatch]\n", DispatchSettings()),
        ("[dispatch]\norder = priority\n", DispatchSettings(JobOrder.PRIORITY)),
        (
            "[dispatch]\nplacement = look-ahead\n",
            DispatchSettings(placement=PlacementRule.LOOK_AHEAD),
        ),
    ],
)
def test_dispatch_options_keep_their_defaults_unless_given(
    valid: str, section: str, expected: DispatchSettings
) -> None:
    """Guards against an installation whose order changes without its operators."""
    assert parse_settings(valid + section).dispatch == expected


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ("", "[extra]\nx = 1\n", "[extra]: unknown section"),
        ("", "[DEFAULT]\ndisk = no\n", "[DEFAULT]: unknown section"),
        ("id = a1", "id = a1\nweight = 3", "[instance] weight = 3: unknown option"),
        ("id = a1", "", "[instance] id: option is missing"),
        ("id = a1", "id = a2", "[peer a2]: peer is this instance itself"),
        ("id = a1", "id = a 1", "[instance] id = a 1: not a name"),
        ("disk = yes", "disk = maybe", "[instance] disk = maybe: not yes or no"),
        ("8002", "70000", "[peer a2] http-address = 127.0.0.1:70000: port is not"),
        ("8002", "0", "[peer a2] http-address = 127.0.0.1:0: port is not"),
        ("127.0.0.1:8002", "localhost:8002", "= localhost:8002: not an IPv4"),
        ("127.0.0.1:8002", "0.0.0.0:8002", "= 0.0.0.0:8002: other instances cannot"),
        (
            "9002",
            "8001",
            "[peer a2] peer-address = 127.0.0.1:8001: already used by [instance] http",
        ),
        ("[peer a2]", "[peer ]", "[peer ]: not a name"),
        ("", PEER, "[peer a2]: section is listed twice"),
        ("id = a1", "id = a1\nid = b1", "[instance] id: option is given twice"),
        ("[instance]", "", "is before any section"),
        ("id = a1", "id", "line 3: cannot read"),
        ("disk = yes", "disk = no", "data-folder = "),
        ("data-folder", "#", "[instance] disk = yes: option data-folder is missing"),
        ("", "[timing]\ntick = 50\n", "[timing] tick = 50: not a number with a unit"),
        ("", "[timing]\ntick = 0s\n", "[timing] tick = 0s: must be greater"),
        (
            "",
            "[timing]\nlease-expiry = 2s\n",
            "[timing] lease-expiry = 2s: must be above lease-renewal = 2s",
        ),
        (
            "",
            "[timing]\nheartbeat-interval = 1s\n",
            "instance-silence = 2s: must be above twice the heartbeat-interval = 1s",
        ),
        ("", "[timing]\ntick = 1s\n", "above twice the tick = 1s"),
        ("", "[limits]\nqueued-tasks = x\n", "queued-tasks = x: not a whole number"),
        (
            "",
            "[dispatch]\norder = weight\n",
            "[dispatch] order = weight: must be 'latest-start' or 'priority'",
        ),
        (
            "",
            "[dispatch]\nplacement = best\n",
            "[dispatch] placement = best: must be 'first-fit' or 'look-ahead'",
        ),
        ("", "[dispatch]\nweight = 1\n", "[dispatch] weight = 1: unknown option"),
        (
            "",
            "[availability-zones]\nnames = b c\n",
            "[peer a2] availability-zone = a: not among [availability-zones] names",
        ),
    ],
)
def test_each_fault_is_one_line(valid: str, old: str, new: str, fault: str) -> None:
    """Guards against starting a daemon with a fault, and against unclear messages."""
    text = valid.replace(old, new, 1) if old else valid + new
    faults = find_faults(text)
    assert any(fault in line for line in faults), faults
    assert not any("\n" in line for line in faults)


def test_file_without_any_disk_is_refused(valid: str) -> None:
    """Guards against a system that can never store a configuration."""
    text = valid.replace("disk = yes", "disk = no").replace("data-folder", "#")
    assert find_faults(text) == (
        "[instance] disk = no: no instance has a disk, at least one must have one",
    )


def test_data_folder_below_a_file_is_refused(valid: str, tmp_path: Path) -> None:
    """Guards against a daemon that detects the fault only at its first write."""
    (tmp_path / "file").touch()
    text = valid.replace(str(tmp_path / "data"), str(tmp_path / "file" / "data"))
    assert find_faults(text) == (
        f"[instance] data-folder = {tmp_path}/file/data: folder is not writable and "
        "cannot be created",
    )


def test_command_line_replaces_the_data_folder(tmp_path: Path) -> None:
    """Guards against an override that bypasses the checks."""
    settings = load_settings(None, tmp_path)
    assert settings.data_folder == tmp_path
    (tmp_path / "file").touch()
    with pytest.raises(SettingsError):
        load_settings(None, tmp_path / "file")


@pytest.mark.parametrize(("option", "code"), [("", 0), ("colour = red", 2)])
def test_check_exits_0_or_2(tmp_path: Path, option: str, code: int) -> None:
    """Guards against a check that starts the daemon or hides its result."""
    config = tmp_path / "one.ini"
    config.write_text(f"{EMBEDDED_DEFAULT}{option}\n")
    run = subprocess.run(
        [sys.executable, "-m", "boragetide.daemon", "--check", "--config", config],
        capture_output=True,
        text=True,
        timeout=20,
    )
    expected = "[instance] colour = red: unknown option\n" if code else ""
    assert (run.returncode, run.stderr) == (code, expected)


def test_missing_file_is_one_line(tmp_path: Path) -> None:
    """Guards against a traceback for a mistyped path."""
    with pytest.raises(SettingsError, match="No such file"):
        load_settings(tmp_path / "absent.ini")
