"""Which replies answer a request, and which belong to an earlier process."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from boragetide.daemon.runtime import Runtime
from boragetide.errors import ReplyTimeout
from boragetide.links.codec import REPLY_CONTROLLER, Envelope, encode_body
from boragetide.links.peers import PeerLink
from boragetide.messages import (
    DispatcherReply,
    LookUpDurableJob,
    ReplyStatus,
    ReportServer,
    Request,
    ServerReported,
    replies,
)
from boragetide.messages.durable import JobRequest
from boragetide.messages.replies import REPLY_TYPES_BY_REQUEST
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import (
    make_report,
)
from boragetide.types import Address, Claim

START = 1_000.0  # Unix time in seconds
FOUND = DispatcherReply(ReplyStatus.FOUND, state="succeeded")
FOREIGN = DispatcherReply(ReplyStatus.FOUND, state="failed")
ASKED = Address("a2", "dispatcher")
CLAIM = Claim("a:x", "a2", 1, START)


def make_runtime(settings: Settings) -> Runtime:
    """Build the runtime of a process of ``a1`` with links to its peers."""
    peers_by_id = settings.peers_by_id
    return Runtime(settings, {id_: PeerLink(peers_by_id[id_]) for id_ in ("a2", "a3")})


def ask(
    runtime: Runtime, message: Request, to: Address = ASKED
) -> tuple[asyncio.Task[Any], int]:
    """Send a request; return its task and its number once it is in the outbox."""
    task = asyncio.ensure_future(runtime.ask(to, message, 0.2))
    return task, len(runtime.links_by_id[to.instance].outbox)


async def ask_many(runtime: Runtime, count: int) -> list[asyncio.Task[Any]]:
    """Send requests and wait until they are in the outbox."""
    tasks = [ask(runtime, LookUpDurableJob(id=f"j{n}"))[0] for n in range(count)]
    await asyncio.sleep(0)
    return tasks


def make_reply(request: Envelope, message: Any = FOUND, sender: str = "a2") -> Envelope:
    """Return the reply of an instance to a request."""
    return Envelope(
        sender=sender,
        sender_incarnation=1,
        controller=REPLY_CONTROLLER,
        request=request.request,
        kind=type(message).__name__,
        body=encode_body(message),
    )


@pytest.mark.parametrize(("before", "after"), [(1, 1), (40, 5), (5, 40)])
def test_reply_to_a_killed_process_answers_no_request_of_the_next(
    settings: Settings, before: int, after: int
) -> None:
    """Guards against a caller that is told how the job of another caller ended."""

    async def run() -> None:
        killed, next_process = make_runtime(settings), make_runtime(settings)
        lost = await ask_many(killed, before)
        pending = await ask_many(next_process, after)
        for request in killed.links_by_id["a2"].outbox:
            next_process.deliver(make_reply(request, FOREIGN))
        for request in next_process.links_by_id["a2"].outbox:
            next_process.deliver(make_reply(request))
        assert await asyncio.gather(*pending) == [FOUND] * after
        await asyncio.gather(*lost, return_exceptions=True)

    asyncio.run(run())


@pytest.mark.parametrize(
    "changes", [{"sender": "a3"}, {"message": ServerReported(by_leader=True)}]
)
def test_reply_of_another_instance_or_kind_is_dropped(
    settings: Settings, changes: dict[str, Any]
) -> None:
    """Guards against an answer that the request cannot have."""

    async def run() -> None:
        runtime = make_runtime(settings)
        (pending,) = await ask_many(runtime, 1)
        (request,) = runtime.links_by_id["a2"].outbox
        runtime.deliver(make_reply(request, **changes))
        with pytest.raises(ReplyTimeout):
            await pending
        content, _ = runtime.metrics.render()
        assert b"replies_dropped_total" in content

    asyncio.run(run())


def test_request_numbers_of_two_processes_are_different(settings: Settings) -> None:
    """Guards against numbers that begin at the same number in each process."""

    async def run() -> None:
        numbers = set()
        for _ in range(20):
            runtime = make_runtime(settings)
            task, _ = ask(runtime, ReportServer(report=make_report()))
            await asyncio.sleep(0)
            numbers.add(runtime.links_by_id["a2"].outbox[0].request)
            task.cancel()
        assert len(numbers) == 20

    asyncio.run(run())


def list_request_types(base: type[Request]) -> set[type[Request]]:
    """Return all request types that derive from a type."""
    found = set()
    for each in base.__subclasses__():
        found |= {each} | list_request_types(each)
    return found


def test_each_request_has_its_replies() -> None:
    """Guards against a request whose answers are all dropped."""
    package = replies.__name__.rpartition(".")[0]
    known = {
        each
        for each in list_request_types(Request) - {JobRequest}
        if each.__module__.startswith(package)
        # A dataclass with slots replaces the class that it was made from.
        and "__dataclass_fields__" in vars(each)
        and "__slots__" in vars(each)
    }
    assert known == set(REPLY_TYPES_BY_REQUEST)
