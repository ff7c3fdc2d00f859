"""Demonstration: one daemon, three backend servers, one job of 20 tasks."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from typing import Any

DAEMON = "http://127.0.0.1:8080"
SPEEDS = (1.0, 2.0, 4.0)
TASKS = 20
START_TIMEOUT = 15.0  # seconds
POLL_INTERVAL = 0.1  # seconds


def main() -> None:
    """Run the demonstration; exit with 0 if the answer is complete."""
    processes: list[subprocess.Popen[Any]] = []
    with tempfile.TemporaryDirectory() as folder, open(f"{folder}/log", "w+") as log:
        try:
            processes.append(_start_process("boragetide.daemon", folder, log))
            for number, speed in enumerate(SPEEDS, 1):
                options = [f"--id=server-{number}", f"--speed={speed}"]
                options.append(f"--daemon={DAEMON}")
                processes.append(
                    _start_process("examples.backend_server", None, log, *options)
                )
            _wait_for_servers()
            answer = _post("/v1/jobs", _make_job())
        finally:
            for process in processes:
                process.terminate()
            codes = [process.wait() for process in processes]
        log.seek(0)
        _print_log(log.read())
    print(json.dumps(answer))
    if answer["status"] != "complete" or any(codes):
        sys.exit(f"demo failed: status {answer['status']!r}, exit codes {codes}")


def _start_process(module: str, folder: str | None, log: Any, *options: str) -> Any:
    command = [sys.executable, "-m", module, *options]
    if folder is not None:
        command.append(f"--data-folder={folder}/data")
    return subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=log)


def _wait_for_servers() -> None:
    deadline = time.monotonic() + START_TIMEOUT
    while time.monotonic() < deadline:
        try:
            urllib.request.urlopen(f"{DAEMON}/readyz").close()
            with urllib.request.urlopen(f"{DAEMON}/v1/status") as response:
                instances = json.load(response)["instances"]
            if instances[0]["backend_servers"] == len(SPEEDS):
                return
        except urllib.error.URLError:
            pass
        time.sleep(POLL_INTERVAL)
    sys.exit(f"demo failed: the backend servers did not join within {START_TIMEOUT} s")


def _make_job() -> dict[str, Any]:
    tasks = [{"payload": {"work": 0.2, "number": n}, "size": 0.2} for n in range(TASKS)]
    return {"id": "demo-1", "class": "default", "tasks": tasks}


def _post(path: str, body: dict[str, Any]) -> dict[str, Any]:
    request = urllib.request.Request(
        DAEMON + path, json.dumps(body).encode(), {"Content-Type": "application/json"}
    )
    try:
        with urllib.request.urlopen(request) as response:
            return json.load(response)
    except urllib.error.HTTPError as error:
        return json.load(error)


def _print_log(text: str) -> None:
    for line in text.splitlines():
        if "event=routing" in line or "event=placement" in line:
            print(line)


if __name__ == "__main__":
    main()
