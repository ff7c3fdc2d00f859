"""Runs simulated workers of the platform in a process of their own.

Each start is written to a file as one line: Unix time, task and worker. The process
ends on SIGTERM, after it has written all lines.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TextIO

sys.path.append(str(Path(__file__).resolve().parents[1] / "platform" / "tests"))

from stand_in import Worker

from boragetide.tests.conftest import free_port

HEARTBEAT_INTERVAL = 1.5  # seconds
LEASE_CHECK_INTERVAL = 0.1  # seconds


@dataclass
class StartLog:
    """Ledger that writes the starts of all workers of the process to a file."""

    file: TextIO

    def note_start(self, task: str, worker: str) -> None:
        """Write one line."""
        self.file.write(f"{time.time():.6f} {task} {worker}\n")

    def note_end(self, task: str, worker: str, how: str) -> None:
        """Ignore the end of a run."""


async def run_workers(
    names: list[str], control: tuple[str, ...], ledger: StartLog
) -> None:
    """Run the workers until SIGTERM."""
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    for number, name in enumerate(names):
        first = number % len(control)
        worker = Worker(
            name,
            f"127.0.0.1:{free_port()}",
            control[first:] + control[:first],
            ledger=ledger,
            heartbeat_interval=HEARTBEAT_INTERVAL,
            lease_check_interval=LEASE_CHECK_INTERVAL,
        )
        await worker.open()
    await stopping.wait()


def main() -> None:
    """Run the workers that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--control", nargs="+", required=True)
    parser.add_argument("--names", nargs="+", required=True)
    parser.add_argument("--starts", type=Path, required=True, help="file to write")
    arguments = parser.parse_args()
    with arguments.starts.open("w") as file:
        asyncio.run(
            run_workers(arguments.names, tuple(arguments.control), StartLog(file))
        )


if __name__ == "__main__":
    main()
