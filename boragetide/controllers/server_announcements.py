"""Announcements of backend servers, from the servers or from other members."""

from __future__ import annotations

from boragetide.controllers.dispatch_state import DispatcherState, has_authority
from boragetide.controllers.lost_runs import settle_announced, settle_survival
from boragetide.controllers.runs import read_runs
from boragetide.controllers.server_table import apply_report, remove_server
from boragetide.effects import Effect, Reply, Send
from boragetide.messages import RemoveServer, ReportServer, Request, ServerReported
from boragetide.types import Address, Seconds


def report_server(
    message: ReportServer, state: DispatcherState, now: Seconds
) -> list[Effect]:
    """Record an announcement of a backend server, and pass it on to the members."""
    report, age = message.report, message.find_age(now)
    effects = apply_report(state, report, age, now)
    effects += settle_announced(state, report, now)
    if not message.passed_on:
        onward = ReportServer(report=report, passed_on=True, age=age)
        effects += _forward_to_members(state, onward)
    leads = has_authority(state, now)
    effects.append(Reply(message.reply_to, ServerReported(leads)))
    server = state.servers_by_id.get(report.id)
    if leads and server is not None:
        effects += read_runs(state, server, now)
    return effects


def deregister_server(
    message: RemoveServer, state: DispatcherState, now: Seconds
) -> list[Effect]:
    """Remove a backend server that has left, and tell the members."""
    effects = remove_server(state, message.id, message.born)
    if has_authority(state, now):
        effects += settle_survival(state, message.id, message.born, now)
    if not message.passed_on:
        onward = RemoveServer(id=message.id, born=message.born, passed_on=True)
        effects += _forward_to_members(state, onward)
    reply = ServerReported(has_authority(state, now))
    return [*effects, Reply(message.reply_to, reply)]


def _forward_to_members(state: DispatcherState, message: Request) -> list[Effect]:
    return [
        Send(Address(other, "dispatcher"), message) for other in state.other_members
    ]
