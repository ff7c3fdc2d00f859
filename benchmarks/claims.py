"""Measures the cost of a claim: ``python -m benchmarks.claims``.

Jobs of one short task are submitted one by one, at entry instances inside and outside
of the claim group of the job id. Then synced writes of the size of a claim are timed.
"""

from __future__ import annotations

import os
import statistics
import tempfile
import time
from collections import Counter
from pathlib import Path

from benchmarks.messages import read_metrics
from boragetide.tests.conftest import System, make_job, wait_for

ZONES_BY_ID = {"a1": "a", "a2": "a", "a3": "a", "b1": "b"}
JOBS = 200
CLAIM_BYTES = 120
SENT_METRIC = "boragetide_peer_messages_sent_total"
MESSAGE_KINDS = (
    "ClaimRequest",
    "ClaimReply",
    "ClaimAndSubmit",
    "SubmitJob",
    "JobAnswer",
)


def main() -> None:
    """Print one line per entry instance and one for the disk."""
    with tempfile.TemporaryDirectory() as folder:
        system = System(Path(folder))
        try:
            system.start(ZONES_BY_ID)
            system.add_server("s1", "a", speed=100.0)
            wait_for(lambda: _knows_server(system), "b1 to learn of s1")
            for entry in ("a1", "a2", "b1"):
                measure_jobs(system, entry)
        finally:
            system.close()
        measure_disk(Path(folder) / "claims")


def _knows_server(system: System) -> bool:
    instances = system.daemons_by_id["b1"].status()["instances"]
    return any(instance["backend_servers"] for instance in instances)


def measure_jobs(system: System, entry: str) -> None:
    """Submit jobs at one instance, and print their messages and response times.

    The jobs are owned by ``a1``; their home zone is ``a``.
    """
    for number in range(20):
        system.submit(entry, make_job(f"a:warm-{entry}-{number}", tasks=1, work=0.01))
    before = _count_sent(system)
    seconds = []
    for number in range(JOBS):
        job = make_job(f"a:{entry}-{number}", tasks=1, work=0.01)
        start = time.perf_counter()
        assert system.submit(entry, job)[1]["status"] == "complete"
        seconds.append(time.perf_counter() - start)
    sent = _count_sent(system) - before
    parts = {kind: sent[kind] / JOBS for kind in MESSAGE_KINDS if sent[kind]}
    print(
        f"entry {entry}: {sum(parts.values()):.2f} messages per job {parts}, "
        f"response {_describe(seconds)}"
    )


def _count_sent(system: System) -> Counter[str]:
    total: Counter[str] = Counter()
    for daemon in system.daemons_by_id.values():
        for (name, kind), value in read_metrics(daemon.url).items():
            if name == SENT_METRIC:
                total[kind] += value
    return total


def measure_disk(path: Path) -> None:
    """Time appends of the size of a claim, each followed by an fsync."""
    seconds = []
    with path.open("ab", buffering=0) as file:
        for _ in range(JOBS):
            start = time.perf_counter()
            file.write(bytes(CLAIM_BYTES))
            os.fsync(file.fileno())
            seconds.append(time.perf_counter() - start)
    print(f"synced write of {CLAIM_BYTES} bytes: {_describe(seconds)}")


def _describe(seconds: list[float]) -> str:
    ordered = sorted(seconds)
    p99 = ordered[int(len(ordered) * 0.99)]
    return f"p50 {statistics.median(ordered) * 1000:.2f} ms, p99 {p99 * 1000:.2f} ms"


if __name__ == "__main__":
    main()
