"""The runtime's tasks: links, controllers and their failures."""

from __future__ import annotations

import asyncio
import contextlib
import time
from functools import singledispatch
from pathlib import Path
from typing import Any

import pytest

from boragetide.daemon.__main__ import run_daemon
from boragetide.daemon.effect_execution import EffectContext, bind_execute_effect
from boragetide.daemon.effect_queue import MAX_TURN
from boragetide.daemon.process import EXIT_FAILURE, end_tasks
from boragetide.daemon.runtime import Receiver, Runtime, run_controller
from boragetide.effects import Reply, Send
from boragetide.errors import PeerUnreachable
from boragetide.links.codec import Envelope, encode_body
from boragetide.links.peers import PeerLink, enqueue, request_reconnect, run_link
from boragetide.messages import QuestionUnsent, ReportServer, Tick
from boragetide.settings import parse_settings
from boragetide.tests.conftest import free_port, make_settings
from boragetide.tests.durable_fixtures import make_report
from boragetide.tests.stream_server import serve_streams
from boragetide.types import Address, ReplyTo

SINGLE_INSTANCE = """
[instance]
id = a1
availability-zone = a
http-address = 127.0.0.1:{}
peer-address = 127.0.0.1:{}
disk = yes
data-folder = {}
"""


# Greeting of a Pull0 socket: the protocol number 0x51, then a reserved field.
PULL_GREETING = b"\0SP\0\0\x51\0\0"


def make_envelope(size: int = 1) -> Envelope:
    return Envelope("a1", 1, "jobs", 0, "Tick", encode_body("x" * size))


def make_link(port: int) -> PeerLink:
    text = SINGLE_INSTANCE.format(1, port, "unused")
    return PeerLink(parse_settings(text).own_peer)


def ignore_count(name: str, labels: dict[str, str], value: float) -> None:
    """Discard the counts of bytes."""


async def wait_until(condition: Any, limit: float = 5.0) -> None:
    async with asyncio.timeout(limit):
        while not condition():
            await asyncio.sleep(0.01)


def test_link_without_a_peer_reports_what_is_unsent() -> None:
    """Guards against requests that wait for a peer that does not listen."""

    async def run() -> None:
        link, unsent = make_link(free_port()), []
        task = asyncio.create_task(run_link(link, unsent.append, ignore_count))
        enqueue(link, make_envelope())
        await wait_until(lambda: unsent, limit=1.0)
        task.cancel()

    asyncio.run(run())


def test_blocked_send_ends_and_an_idle_link_is_replaced() -> None:
    """Guards against a send that hangs, and an idle link that is not replaced."""
    target = free_port()

    async def run() -> None:
        link, unsent = make_link(target), []
        async with serve_streams(target) as accepted:
            task = asyncio.create_task(run_link(link, unsent.append, ignore_count))
            await wait_until(lambda: len(accepted) == 1)
            request_reconnect(link)
            await wait_until(lambda: len(accepted) == 2)
            accepted[1].write(PULL_GREETING)
            await wait_until(lambda: enqueue(link, make_envelope(4_000_000)) and unsent)
            request_reconnect(link)
            await wait_until(lambda: len(accepted) == 3)
            task.cancel()

    asyncio.run(run())


def test_task_that_lost_its_cancellation_is_cancelled_again() -> None:
    """Guards against an exit that waits forever for the task of a link."""

    async def lose_one() -> None:
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(60.0)
        await asyncio.sleep(60.0)

    async def run() -> None:
        task = asyncio.create_task(lose_one())
        await asyncio.sleep(0)
        async with asyncio.timeout(5.0):
            await end_tasks({task})
        assert task.cancelled()

    asyncio.run(run())


def make_runtime() -> Runtime:
    """Build a runtime with a mailbox for the dispatcher and links to two members."""
    settings = make_settings("a1", {"a1": "a", "a2": "a", "a3": "a"})
    links = {id_: PeerLink(settings.peers_by_id[id_]) for id_ in ("a2", "a3")}
    return Runtime(settings, links)


def list_kinds(runtime: Runtime) -> list[str]:
    """Return the kinds of the messages that wait in the link to a2."""
    return [envelope.kind for envelope in runtime.links_by_id["a2"].outbox]


@pytest.mark.parametrize(
    "odd", [make_report(born=2**70), make_report(labels=("\ud800",))]
)
def test_message_that_cannot_be_encoded_leaves_the_controller_running(
    odd: Any,
) -> None:
    """Guards against a value that ends each process that sends it on."""

    @singledispatch
    def handle(message: Any, state: Any, now: float) -> list[Any]:
        return []

    @handle.register
    def send_odd(message: Tick, state: Any, now: float) -> list[Any]:
        to, asker = Address("a2", "dispatcher"), ReplyTo("a2", 3)
        odd_message = ReportServer(report=odd)
        return [Send(to, odd_message), Reply(asker, odd_message), Send(to, message)]

    async def run() -> None:
        runtime = make_runtime()
        execute = bind_execute_effect(EffectContext(runtime))
        controller = "dispatcher"
        runtime.mailboxes_by_controller[controller] = asyncio.Queue()
        task = asyncio.create_task(
            run_controller(runtime, controller, handle, None, execute)
        )
        runtime.send(runtime.local(controller), Tick())
        runtime.send(runtime.local(controller), Tick())
        await wait_until(lambda: len(list_kinds(runtime)) == 2 or task.done())
        assert list_kinds(runtime) == ["Tick", "Tick"]
        content, _ = runtime.metrics.render()
        assert b'messages_not_encoded_total{kind="ReportServer"} 4' in content
        task.cancel()

    asyncio.run(run())


def test_request_that_cannot_be_encoded_fails_at_once() -> None:
    """Guards against a request that waits for the answer to a dropped message."""

    async def run() -> None:
        runtime = make_runtime()
        request = ReportServer(report=make_report(born=2**70))
        with pytest.raises(PeerUnreachable):
            await runtime.ask(Address("a2", "dispatcher"), request, 60.0)

    asyncio.run(run())


@pytest.mark.parametrize(
    ("kind", "to", "told"),
    [
        ("FollowLeader", "configuration.2", "directory.2"),
        ("FollowLeader", "directory", "directory"),
        ("AppendEntries", "configuration.2", "configuration.2"),
        ("RequestVote", "configuration", "configuration"),
        ("Tick", "configuration", None),
    ],
)
def test_controller_learns_that_its_question_was_not_sent(
    kind: str, to: str, told: str | None
) -> None:
    """Guards against a wait for the answer to a question that nobody received."""
    runtime = make_runtime()
    names = ("configuration", "configuration.2", "directory", "directory.2")
    mailboxes = {name: asyncio.Queue() for name in names}
    runtime.mailboxes_by_controller = mailboxes
    envelope = Envelope("a1", 1, to, 0, kind, encode_body(None))
    runtime.report_unsent("a2", envelope)
    assert [name for name in names if not mailboxes[name].empty()] == (
        [] if told is None else [told]
    )
    if told is not None:
        assert mailboxes[told].get_nowait() == QuestionUnsent("a2")


def test_failed_controller_ends_the_process(monkeypatch: Any, tmp_path: Path) -> None:
    """Guards against a daemon that keeps running without one of its controllers.

    The log names the message that the controller failed on.
    """

    @singledispatch
    def handle(message: Any, state: Any, now: float) -> list[Any]:
        return []

    @handle.register
    def fail(message: Tick, state: Any, now: float) -> list[Any]:
        raise ValueError("unexpected")

    async def run() -> int:
        async with asyncio.timeout(10.0):
            return await run_daemon(
                parse_settings(SINGLE_INSTANCE.format(*ports, tmp_path))
            )

    ports = free_port(), free_port()
    events: list[tuple[str, dict[str, Any]]] = []
    monkeypatch.setattr("boragetide.controllers.jobs.handle", handle)
    monkeypatch.setattr(
        "boragetide.daemon.runtime.log_event",
        lambda event, **fields: events.append((event, fields)),
    )
    assert asyncio.run(run()) == EXIT_FAILURE
    (failed,) = [fields for event, fields in events if event == "controller_failed"]
    assert failed["controller"] == "jobs"
    assert (failed["kind"], failed["message"]) == ("Tick", "Tick()")
    assert failed["error"] == "ValueError('unexpected')"


def test_long_mailbox_is_read_in_several_turns() -> None:
    """Guards against messages that keep the heartbeats of the log from being sent."""
    turns = 0

    async def count_turns() -> None:
        nonlocal turns
        while True:
            await asyncio.sleep(0)
            turns += 1

    async def scenario() -> None:
        mailbox: asyncio.Queue[int] = asyncio.Queue()
        for number in range(40):
            mailbox.put_nowait(number)
        receiver = Receiver(mailbox)
        counter = asyncio.create_task(count_turns())
        for number in range(40):
            assert await receiver.receive() == number
            # Stands for a message that takes a while to handle.
            time.sleep(MAX_TURN / 4)
        counter.cancel()

    asyncio.run(scenario())
    assert turns >= 5
