"""Controller tasks, their mailboxes and message delivery between controllers."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
from collections.abc import Awaitable, Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from functools import partial
from typing import Any, TypeAlias

from boragetide.daemon.clock import read_clock, read_incarnation
from boragetide.daemon.effect_queue import MAX_TURN, EffectQueue
from boragetide.daemon.logs import log_event
from boragetide.daemon.metrics import Metrics
from boragetide.daemon.repeated_logs import RateLimitedLog
from boragetide.effects import Effect
from boragetide.errors import LinkError, PeerUnreachable, ReplyTimeout
from boragetide.groups import find_group, name_controller
from boragetide.links.codec import (
    REPLY_CONTROLLER,
    Envelope,
    decode_body,
    encode_body,
)
from boragetide.links.peers import PeerLink, enqueue
from boragetide.messages import (
    AppendEntries,
    FollowLeader,
    QuestionUnsent,
    Request,
    RequestVote,
    Tick,
    WokeUp,
)
from boragetide.messages.common import add_arrival_time
from boragetide.messages.replies import can_answer
from boragetide.policy.process_numbers import choose_first_number
from boragetide.settings import Settings
from boragetide.types import Address, InstanceId, ReplyTo, Seconds

TICK_JITTER = 0.2  # fraction of the tick period
MAX_TICK_BACKLOG = 1000  # messages
RESTART_DELAY = 0.5  # seconds
MAX_LOGGED_MESSAGE = 2000  # characters
# A link of 9.5 Mbit/s needs 55 ms for this many bytes.
LARGE_MESSAGE_BYTES = 64 * 1024

# Controllers that send questions of these kinds and measure the wait for the answer.
WAITING_CONTROLLER_BY_KIND = {
    AppendEntries.__name__: "configuration",
    FollowLeader.__name__: "directory",
    RequestVote.__name__: "configuration",
}

# A message that is handled for longer is logged: it delays the heartbeats of the log.
SLOW_MESSAGE: Seconds = 0.1
_slow_message_log = RateLimitedLog()

MessageHandler: TypeAlias = Callable[[Any, Any, Seconds], Iterable[Effect]]


class DroppedReply(StrEnum):
    """Why a reply is not passed on to a pending request."""

    LATE = "late"  # its request is not pending any more, or was of an earlier process
    OTHER_SENDER = "other_sender"  # another instance was asked
    OTHER_KIND = "other_kind"  # it cannot answer the request


@dataclass(slots=True)
class _PendingRequest:
    future: asyncio.Future[Any]
    to: Address
    message: Request


def _number_requests() -> Iterator[int]:
    """Yield the request numbers of one process."""
    return itertools.count(choose_first_number())


@dataclass(slots=True)
class Runtime:
    """Owns the mailboxes and the pending requests of a process.

    Parameters
    ----------
    stopping
        Whether a planned stop has begun.
    open_requests
        HTTP requests that have not been answered.
    make_link
        Makes and starts the link to an instance that is not named in the settings.
    server_limits
        Limits that all HTTP servers share (`boragetide.api.server_limits`), once made.
    """

    settings: Settings
    links_by_id: dict[InstanceId, PeerLink]
    metrics: Metrics = field(default_factory=Metrics)
    incarnation: int = field(default_factory=read_incarnation)
    mailboxes_by_controller: dict[str, asyncio.Queue[Any]] = field(default_factory=dict)
    stopping: bool = False
    open_requests: set[Any] = field(default_factory=set)
    make_link: Callable[[InstanceId], PeerLink] | None = None
    server_limits: Any = None
    _pending_by_request: dict[int, _PendingRequest] = field(default_factory=dict)
    _request_numbers: Iterator[int] = field(default_factory=_number_requests)

    def __post_init__(self) -> None:
        for name in self.settings.controllers:
            self.mailboxes_by_controller.setdefault(name, asyncio.Queue())

    def local(self, controller: str) -> Address:
        """Return the address of a controller on this instance."""
        return Address(self.settings.id, controller)

    def send(self, to: Address, message: Any) -> None:
        """Send a message without waiting; delivery is not guaranteed."""
        if to.instance == self.settings.id:
            message = add_arrival_time(message, read_clock())
            self.mailboxes_by_controller[to.controller].put_nowait(message)
            return
        request = message.reply_to.request if _expects_local_reply(self, message) else 0
        if not self._enqueue_envelope(to.instance, to.controller, request, message):
            self._fail_request(
                request, PeerUnreachable(f"cannot send to {to.instance!r}")
            )

    def reply(self, to: ReplyTo | None, message: Any) -> None:
        """Answer a request from this or another instance."""
        if to is None:
            return
        if to.instance == self.settings.id:
            self._resolve_request(to.request, message, self.settings.id)
        else:
            self._enqueue_envelope(to.instance, REPLY_CONTROLLER, to.request, message)

    async def ask(self, to: Address, message: Request, timeout: Seconds) -> Any:
        """Send a request and wait for its reply.

        Parameters
        ----------
        to
            Controller on this or another instance.
        message
            Request; its ``reply_to`` is set here.
        timeout
            Seconds to wait for the reply.

        Raises
        ------
        PeerUnreachable
            If the message was certainly not sent.
        ReplyTimeout
            If no reply arrived; the peer may have received the message.
        """
        request = next(self._request_numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending_by_request[request] = _PendingRequest(future, to, message)
        reply_to = ReplyTo(self.settings.id, request)
        try:
            self.send(to, dataclasses.replace(message, reply_to=reply_to))
            return await asyncio.wait_for(future, timeout)
        except TimeoutError as error:
            raise ReplyTimeout(
                f"no reply from {to.instance!r} within {timeout} s"
            ) from error
        finally:
            self._pending_by_request.pop(request, None)

    def deliver(self, envelope: Envelope) -> None:
        """Pass a message from another instance to a mailbox or a pending request."""
        try:
            message = decode_body(envelope)
        except LinkError as error:
            self.log_decode_error(error)
            return
        self.metrics.count("peer_messages_received", {"kind": envelope.kind})
        if len(envelope.body) >= LARGE_MESSAGE_BYTES:
            fields = {"kind": envelope.kind, "bytes": len(envelope.body)}
            log_event("large_message_received", sender=envelope.sender, **fields)
        if envelope.controller == REPLY_CONTROLLER:
            self._resolve_request(envelope.request, message, envelope.sender)
        elif envelope.controller in self.mailboxes_by_controller:
            message = add_arrival_time(message, read_clock())
            self.mailboxes_by_controller[envelope.controller].put_nowait(message)

    def log_decode_error(self, error: LinkError) -> None:
        """Log a frame or message that cannot be decoded."""
        log_event("message_dropped", error=str(error))

    def fail_unsent_request(self, envelope: Envelope) -> None:
        """Fail the pending request of an envelope that was certainly not sent."""
        self._fail_request(
            envelope.request if envelope.controller != REPLY_CONTROLLER else 0,
            PeerUnreachable("link did not send the message"),
        )

    def report_unsent(self, peer: InstanceId, envelope: Envelope) -> None:
        """Tell those who wait for an answer that an envelope was certainly not sent."""
        self.fail_unsent_request(envelope)
        controller = WAITING_CONTROLLER_BY_KIND.get(envelope.kind)
        if controller is None:
            return
        name = name_controller(controller, find_group(envelope.controller))
        if name in self.mailboxes_by_controller:
            self.mailboxes_by_controller[name].put_nowait(QuestionUnsent(peer))

    def abandon_requests(self, instance: InstanceId, group: int) -> None:
        """Fail all pending requests of a group to a lost instance."""
        for request, pending in list(self._pending_by_request.items()):
            to = pending.to
            if to.instance == instance and find_group(to.controller) == group:
                self._fail_request(
                    request, ReplyTimeout(f"instance {instance!r} was lost")
                )

    def _enqueue_envelope(
        self, instance: InstanceId, controller: str, request: int, message: Any
    ) -> bool:
        link = self.links_by_id.get(instance)
        if link is None:
            if self.make_link is None:
                return False
            link = self.links_by_id[instance] = self.make_link(instance)
        kind = type(message).__name__
        try:
            body = encode_body(message)
        except LinkError as error:
            # Without this message the process goes on; the others are still sent.
            self.metrics.count("messages_not_encoded", {"kind": kind})
            log_event("message_not_encoded", kind=kind, error=str(error))
            return False
        self.metrics.count("peer_messages_sent", {"kind": kind})
        self.metrics.count("peer_message_bytes_sent", {"kind": kind}, len(body))
        if len(body) >= LARGE_MESSAGE_BYTES:
            fields = {"kind": kind, "bytes": len(body), "queued": len(link.outbox)}
            log_event("large_message_sent", to=instance, **fields)
        return enqueue(
            link,
            Envelope(
                sender=self.settings.id,
                sender_incarnation=self.incarnation,
                controller=controller,
                request=request,
                kind=kind,
                body=body,
            ),
        )

    def _resolve_request(self, request: int, message: Any, sender: InstanceId) -> None:
        pending = self._pending_by_request.get(request)
        reason = _find_reason_to_drop(pending, message, sender)
        if reason is None:
            pending.future.set_result(message)
            return
        kind = type(message).__name__
        self.metrics.count("replies_dropped", {"kind": kind, "reason": reason.value})
        if reason is not DroppedReply.LATE:
            fields = {"kind": kind, "sender": sender, "asked": pending.to.instance}
            fields |= {"request": request, "reason": reason.value}
            log_event("reply_dropped", **fields)

    def _fail_request(self, request: int, error: LinkError) -> None:
        pending = self._pending_by_request.get(request)
        if pending is not None and not pending.future.done():
            pending.future.set_exception(error)


def _find_reason_to_drop(
    pending: _PendingRequest | None, message: Any, sender: InstanceId
) -> DroppedReply | None:
    """Return why a reply cannot answer the request that it names, or ``None``."""
    if pending is None or pending.future.done():
        return DroppedReply.LATE
    if sender != pending.to.instance:
        return DroppedReply.OTHER_SENDER
    if not can_answer(message, pending.message):
        return DroppedReply.OTHER_KIND
    return None


def _expects_local_reply(runtime: Runtime, message: Any) -> bool:
    reply_to = getattr(message, "reply_to", None)
    return reply_to is not None and reply_to.instance == runtime.settings.id


class Receiver:
    """Takes the messages of a mailbox, with pauses in which other tasks run.

    A mailbox that is never empty would otherwise be read in one turn of the event loop,
    without a heartbeat or a new message in between.
    """

    def __init__(self, mailbox: asyncio.Queue[Any]):
        self._mailbox = mailbox
        self._turn_began = 0.0

    async def receive(self) -> Any:
        """Return the next message."""
        if self._mailbox.empty():
            message = await self._mailbox.get()
            self._turn_began = read_clock()
            return message
        if read_clock() - self._turn_began > MAX_TURN:
            await asyncio.sleep(0)
            self._turn_began = read_clock()
        return self._mailbox.get_nowait()


async def run_controller(
    runtime: Runtime,
    name: str,
    handle: MessageHandler,
    state: Any,
    execute_effect: Callable[[Effect, str], Any],
) -> None:
    """Handle a controller's messages one by one and execute the returned effects.

    Parameters
    ----------
    runtime
        Runtime that owns the controller's mailbox.
    name
        Name of the controller.
    handle
        State machine of the controller, called as ``handle(message, state, now)``.
    state
        State of the controller, accessed by this task only.
    execute_effect
        Executes one effect; a returned awaitable completes when the effect is durable.

    Notes
    -----
    Messages are handled while earlier effects become durable. Effects are executed in
    the order in which they were returned, so a message's effects become visible to
    others only after the records that they depend on are durable.
    """
    receiver = Receiver(runtime.mailboxes_by_controller[name])
    suspension_threshold = runtime.settings.timing.instance_silence
    last_handled = read_clock()
    async with asyncio.TaskGroup() as group:
        effects = EffectQueue(partial(execute_effect, controller=name), group)
        while True:
            message = await receiver.receive()
            if handle.dispatch(type(message)) is handle.dispatch(object):
                log_event("message_dropped", error=f"{name} cannot handle {message!r}")
                continue
            now = read_clock()
            try:
                if now - last_handled > suspension_threshold:
                    effects.put(handle(WokeUp(last_handled), state, now))
                last_handled = now
                effects.put(handle(message, state, now))
            except Exception as error:
                # Ends the process: the state may hold a part of the change only.
                _log_failure(name, message, error)
                raise
            seconds = read_clock() - now
            if seconds > SLOW_MESSAGE:
                _report_slow_message(runtime, name, message, seconds)


def _report_slow_message(
    runtime: Runtime, name: str, message: Any, seconds: Seconds
) -> None:
    """Log and count a message that kept the event loop from everything else."""
    kind = type(message).__name__
    runtime.metrics.count("slow_messages", {"controller": name, "kind": kind})
    _slow_message_log.record(
        "message_slow", controller=name, kind=kind, seconds=round(seconds, 3)
    )


def _log_failure(controller: str, message: Any, error: Exception) -> None:
    """Log the message that a controller failed on."""
    log_event(
        "controller_failed",
        controller=controller,
        kind=type(message).__name__,
        message=repr(message)[:MAX_LOGGED_MESSAGE],
        error=repr(error),
    )


async def run_with_restarts(
    name: str,
    run: Callable[[], Awaitable[None]],
    *,
    started: asyncio.Event | None = None,
) -> None:
    """Run a link's task and restart it after an unexpected error.

    A link has no state besides its socket, so a restart is safe. An error raised before
    the event ``started`` is set is not retried: a port that is in use at start will not
    become free.
    """
    while True:
        try:
            await run()
        except Exception as error:
            if started is not None and not started.is_set():
                raise
            log_event("task_restarted", task=name, error=repr(error))
        await asyncio.sleep(RESTART_DELAY)


async def run_ticks(runtime: Runtime) -> None:
    """Send a `Tick` to every controller periodically, with jitter.

    The first tick is sent before any request is served, so that an instance that is
    alone in its zone already knows that it is the placer.
    """
    period = runtime.settings.timing.tick
    while True:
        for mailbox in runtime.mailboxes_by_controller.values():
            # Ticks are skipped for a controller with a long backlog, which would only
            # have to handle them all at once later.
            if mailbox.qsize() < MAX_TICK_BACKLOG:
                mailbox.put_nowait(Tick())
        await asyncio.sleep(period * random.uniform(1 - TICK_JITTER, 1 + TICK_JITTER))
