"""Measures how costs grow with instances, backend servers, classes and jobs.

``python -m benchmarks.slopes`` prints one line per quantity and size: bytes on the
wire, memory and processor time of the pure controllers. The figures of
``docs/CAPACITY.md`` are derived from its output.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any

from boragetide.controllers import backend_servers, claims, instances, jobs
from boragetide.links.codec import Envelope, decode_body, encode_body, encode_frame
from boragetide.messages import (
    AcceptorRegistered,
    AnnounceBackendServer,
    ClaimRequest,
    ConfigurationChanged,
    Heartbeat,
    PlacerChanged,
    SubmitJob,
    TaskEnded,
    Tick,
)
from boragetide.settings import Settings, parse_settings
from boragetide.types import (
    BackendServer,
    Claim,
    ClassTarget,
    Configuration,
    ReplyTo,
    Seconds,
    Submission,
    Task,
    TaskOutcome,
    TaskStatus,
)

INCARNATION = 1_790_000_000_000
NOW: Seconds = 1_790_000_000.0
TASKS = 8
REPEATS = 5


def main() -> None:
    """Print the costs of every quantity at several sizes."""
    for count in (3, 7, 70, 700):
        settings = make_settings(count)
        _print("heartbeat", f"instances={count}", **measure_heartbeat(settings))
    settings = make_settings(3)
    for count in (1_000, 100_000):
        _print("claim", f"claims={count}", **measure_claims(settings, count))
    for count in (1_000, 20_000):
        _print("job record", f"jobs={count}", **measure_jobs(settings, count))
    for count in (8, 80, 800):
        _print("lease", f"backend_servers={count}", **measure_leases(settings, count))
    for count in (10, 680):
        _print("configuration", f"classes={count}", **measure_configuration(count))


def _print(name: str, size: str, **figures: float) -> None:
    columns = " ".join(f"{key}={value:.4g}" for key, value in figures.items())
    print(f"{name:<14} {size:<22} {columns}")


def make_settings(count: int) -> Settings:
    """Build settings of ``count`` instances in one availability zone."""
    sections = []
    for number in range(count):
        name = f"instance-{number}"
        sections.append(f"[instance]\nid = {name}" if number == 0 else f"[peer {name}]")
        host = f"10.0.{number // 250}.{number % 250 + 1}"
        sections.append(f"availability-zone = a\nhttp-address = {host}:8080")
        sections.append(f"peer-address = {host}:8090")
    sections.insert(1, "disk = yes\ndata-folder = .")
    return parse_settings("\n".join(sections))


def measure_heartbeat(settings: Settings) -> dict[str, float]:
    """Return bytes and microseconds per heartbeat, and control bytes per second."""
    state = instances.InstancesState(settings, INCARNATION)
    peers = [peer for peer in settings.peers_by_id if peer != settings.id]
    heartbeat = Heartbeat(
        instance=peers[0],
        zone="a",
        incarnation=INCARNATION,
        in_service_since=INCARNATION,
        sequence=100_000,
        echo=100_000,
        configuration_version=1_000,
        backend_servers=8,
    )
    frame = encode_frame([make_envelope(heartbeat)])
    envelope = make_envelope(heartbeat)
    interval = settings.timing.heartbeat_interval
    receive = time_call(lambda: instances.handle(decode_body(envelope), state, NOW))
    send = time_call(lambda: make_envelope(heartbeat))
    return {
        "bytes": len(frame),
        "bytes_per_second_sent": len(frame) * len(peers) / interval,
        "receive_us": receive * 1e6,
        "send_us": send * 1e6,
        "core_share": (receive + send) * len(peers) / interval,
    }


def make_envelope(message: Any) -> Envelope:
    """Wrap a message in an envelope, as the runtime does."""
    return Envelope(
        "instance-1",
        INCARNATION,
        "instances",
        0,
        type(message).__name__,
        encode_body(message),
    )


def measure_claims(settings: Settings, count: int) -> dict[str, float]:
    """Return bytes of memory and microseconds per stored claim."""

    def make_messages() -> Iterator[Any]:
        for number in range(count):
            claim = Claim(f"a:job-{number}", "instance-1", INCARNATION, NOW)
            yield ClaimRequest(claim=claim, asked_at=NOW)

    def make_state() -> Any:
        state = claims.ClaimsState(settings, INCARNATION)
        claims.handle(AcceptorRegistered(first=True), state, NOW)
        return state

    return _measure_each(make_messages, make_state, claims.handle, count)


def measure_jobs(settings: Settings, count: int) -> dict[str, float]:
    """Return bytes of memory per ended job, and microseconds to handle its messages."""

    def make_messages() -> Iterator[Any]:
        for number in range(count):
            job_id = f"a:job-{number}"
            tasks = tuple(Task({"work": 0.1}, 0.1) for _ in range(TASKS))
            claim = Claim(job_id, settings.id, INCARNATION, NOW)
            submission = Submission(job_id, "default", tasks)
            reply_to = ReplyTo("instance-1", number)
            yield SubmitJob(submission, claim, reply_to=reply_to)
            for index in range(TASKS):
                outcome = TaskOutcome(TaskStatus.DONE, {"work": 0.1})
                yield TaskEnded(job_id, index, outcome)

    def make_state() -> Any:
        return jobs.JobsState(settings, INCARNATION)

    return _measure_each(make_messages, make_state, jobs.handle, count)


def measure_leases(settings: Settings, count: int) -> dict[str, float]:
    """Return bytes per backend server, and microseconds per renewal and per tick."""
    states: list[Any] = []

    def make_messages() -> Iterator[Any]:
        for number in range(count):
            yield AnnounceBackendServer(
                BackendServer(
                    f"s{number}", "http://10.0.0.1:1", "a", "r1", 8, 64, 64.0, 1
                )
            )

    def make_state() -> Any:
        state = backend_servers.BackendServersState(settings, INCARNATION)
        backend_servers.handle(PlacerChanged(settings.id), state, NOW)
        states.append(state)
        return state

    figures = _measure_each(make_messages, make_state, backend_servers.handle, count)
    announcement = next(make_messages())
    state = states[-1]
    renewal = time_call(lambda: backend_servers.handle(announcement, state, NOW))
    tick = time_call(lambda: backend_servers.handle(Tick(), state, NOW))
    return {
        "bytes": figures["bytes"],
        "renewal_us": renewal * 1e6,
        "tick_us": tick * 1e6,
        "core_share": renewal * count / settings.timing.lease_renewal
        + tick / settings.timing.tick,
    }


def measure_configuration(classes: int) -> dict[str, float]:
    """Return the encoded size of a configuration and microseconds to decode it."""
    names = [f"team-{number}" for number in range(classes)]
    message = ConfigurationChanged(
        Configuration(1, {name: ClassTarget(name) for name in names}, frozenset())
    )
    envelope = make_envelope(message)
    return {
        "bytes": len(encode_frame([envelope])),
        "decode_us": time_call(lambda: decode_body(envelope)) * 1e6,
    }


def _measure_each(
    make_messages: Callable[[], Iterator[Any]],
    make_state: Callable[[], Any],
    handle: Callable[[Any, Any, Seconds], Any],
    count: int,
) -> dict[str, float]:
    """Return bytes of memory and microseconds per item, of ``count`` items."""
    gc.collect()
    tracemalloc.start()
    state = make_state()
    before = tracemalloc.get_traced_memory()[0]
    for message in make_messages():
        handle(message, state, NOW)
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    messages = list(make_messages())
    state = make_state()
    start = time.perf_counter()
    for message in messages:
        handle(message, state, NOW)
    elapsed = time.perf_counter() - start
    return {"bytes": used / count, "handle_us": elapsed / count * 1e6}


def time_call(call: Callable[[], Any], count: int = 200) -> Seconds:
    """Return the mean time of a call in the fastest of several rounds, in seconds."""
    best = float("inf")
    for _ in range(REPEATS):
        start = time.perf_counter()
        for _ in range(count):
            call()
        best = min(best, (time.perf_counter() - start) / count)
    return best


if __name__ == "__main__":
    main()
