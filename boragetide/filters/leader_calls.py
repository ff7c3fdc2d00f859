"""Requests of operators and backend servers, which any instance passes to the leader.

An instance that has the log asks its own controllers first, which know the leader. An
instance without the log asks the leader that its directory names, or the successor of
a leader that is lost. Every request may arrive more than once without harm: a command
has an id, and announcements are numbered.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from functools import singledispatch
from typing import Any

from boragetide.daemon.clock import read_clock
from boragetide.daemon.runtime import Runtime
from boragetide.errors import LinkError, PeerUnreachable, ReplyTimeout, RequestError
from boragetide.filters.durable import (
    LEADER_RETRY_DELAY,
    LEADER_TIMEOUT,
    LOCAL_TIMEOUT,
    TAKEOVER_TIME,
)
from boragetide.groups import name_controller
from boragetide.messages import (
    ConfigurationRead,
    FindLeader,
    LeaderFound,
    Propose,
    ReadConfiguration,
    ReadZone,
    RemoveServer,
    ReportServer,
    Request,
    ServerReported,
    ZoneRead,
)
from boragetide.packed_proposals import pack_large_proposal
from boragetide.types import Address, InstanceId, Seconds, Status


@dataclass(frozen=True, slots=True)
class MemberRoute:
    """Route of an instance that has the log, through its own controllers."""

    runtime: Runtime
    group: int = 0


@dataclass(frozen=True, slots=True)
class DirectoryRoute:
    """Route of an instance without the log, to the leader that its directory names."""

    runtime: Runtime
    group: int = 0


def choose_route(runtime: Runtime, group: int = 0) -> MemberRoute | DirectoryRoute:
    """Return the route of this instance to the leader of a group."""
    if runtime.settings.dispatches:
        return MemberRoute(runtime, group)
    return DirectoryRoute(runtime, group)


@singledispatch
async def call_leader(route: Any, message: Request, timeout: Seconds) -> Any:
    """Return the reply to a request that concerns the leader.

    If the leader cannot be asked in time, the reply may be that of another member.

    Parameters
    ----------
    timeout
        Seconds within which a reply is of use.

    Raises
    ------
    LinkError
        If the controller of this instance did not reply.
    RequestError
        If no leader replied: ``NOT_RUN`` if no instance can have received the request,
        else ``UNKNOWN``.
    """
    raise TypeError(f"no route to the leader of type {route!r}")


@call_leader.register
async def _(route: MemberRoute, message: Request, timeout: Seconds) -> Any:
    runtime = route.runtime
    controller = name_controller(find_controller(message), route.group)
    reply = await runtime.ask(runtime.local(controller), message, timeout)
    if is_final(reply, message):
        return reply
    leader = await _find_leader_of_member(route, reply, timeout)
    if leader in (None, runtime.settings.id):
        return reply
    try:
        return await runtime.ask(Address(leader, controller), message, timeout)
    except LinkError:
        return reply


async def _find_leader_of_member(
    route: MemberRoute, reply: Any, timeout: Seconds
) -> InstanceId | None:
    """Return the leader that the own member of the log knows."""
    if not isinstance(reply, ConfigurationRead | ZoneRead):
        to = route.runtime.local(name_controller("configuration", route.group))
        reply = await route.runtime.ask(to, ReadConfiguration(), timeout)
    return reply.leader


@call_leader.register
async def _(route: DirectoryRoute, message: Request, timeout: Seconds) -> Any:
    runtime, received_at = route.runtime, read_clock()
    until = received_at + timeout
    reply_timeout = LEADER_TIMEOUT
    reply: Any = None
    packed = pack_large_proposal(message)
    was_sent = False
    while (remaining := until - read_clock()) > 0:
        directory = runtime.local(name_controller("directory", route.group))
        found = await runtime.ask(directory, FindLeader(), LOCAL_TIMEOUT)
        if found.leader is None:
            if found.lost_for > TAKEOVER_TIME:
                break
            await asyncio.sleep(min(LEADER_RETRY_DELAY, remaining))
            continue
        controller = name_controller(find_controller(message), route.group)
        to = Address(found.leader, controller)
        dated = date_on_leader_clock(packed, found, received_at)
        request = add_held_version(dated, found)
        try:
            reply = await runtime.ask(to, request, min(remaining, reply_timeout))
        except PeerUnreachable:
            pass
        except ReplyTimeout:
            was_sent = True
            # A very large configuration takes seconds on a narrow link.
            reply_timeout *= 2
        else:
            reply = add_held_content(reply, found)
            if is_final(reply, message):
                return reply
        await asyncio.sleep(LEADER_RETRY_DELAY)
    if reply is not None:
        return reply
    if was_sent:
        raise RequestError(Status.UNKNOWN, 503, "no leader answered in time")
    raise RequestError(Status.NOT_RUN, 503, "no leader is known")


@singledispatch
def find_controller(message: Request) -> str:
    """Return the controller of the leader that answers a request."""
    raise TypeError(f"{message!r} does not concern the leader")


@find_controller.register(Propose)
@find_controller.register(ReadConfiguration)
@find_controller.register(ReadZone)
def _(message: Request) -> str:
    return "configuration"


@find_controller.register(ReportServer)
@find_controller.register(RemoveServer)
def _(message: Request) -> str:
    return "dispatcher"


@singledispatch
def date_on_leader_clock(
    message: Request, found: LeaderFound, received_at: Seconds
) -> Request:
    """Return a request with the time of its arrival, if its type has one.

    Parameters
    ----------
    received_at
        Unix time at which this instance received the request, by its own clock.
    """
    return message


@date_on_leader_clock.register
def _(message: ReportServer, found: LeaderFound, received_at: Seconds) -> Request:
    return replace(message, heard_at=found.to_leader_clock(received_at))


def add_held_version(request: Request, found: LeaderFound) -> Request:
    """Return a request with the version held here, if its type has one.

    Without it, each read of a large configuration would occupy the link of this
    instance for as long as a whole copy takes.
    """
    if not isinstance(request, ReadConfiguration):
        return request
    held = found.configuration
    return replace(request, held=-1 if held is None else held.version)


def add_held_content(reply: Any, found: LeaderFound) -> Any:
    """Return a reply with the configuration held here, if the reply names its version.

    ``found`` was read before the leader was asked, so that the leader confirms what is
    returned. A newer configuration that is still on its way is asked for again.
    """
    held = found.configuration
    if (
        not isinstance(reply, ConfigurationRead)
        or reply.configuration is not None
        or held is None
        or held.version != reply.version
    ):
        return reply
    return replace(reply, configuration=held)


@singledispatch
def is_final(reply: Any, message: Request) -> bool:
    """Return whether a reply leaves nothing to ask the leader, or the next one."""
    return True


@is_final.register
def _(reply: ConfigurationRead, message: Request) -> bool:
    return reply.configuration is not None


@is_final.register
def _(reply: ZoneRead, message: Request) -> bool:
    return reply.order is not None


@is_final.register
def _(reply: ServerReported, message: Request) -> bool:
    """Accept any member's reply, except for a backend server that is leaving."""
    is_leaving = isinstance(message, ReportServer) and message.report.draining
    return reply.by_leader or not is_leaving
