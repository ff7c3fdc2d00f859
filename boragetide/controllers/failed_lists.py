"""Requests for lists of runs that get no answer."""

from __future__ import annotations

from boragetide.controllers.call_counts import Call, Reaction
from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.controllers.server_state import MAX_FAILED_LISTS, Server
from boragetide.controllers.unanswered_calls import count_unanswered
from boragetide.effects import Effect, LogEvent
from boragetide.messages import ReadFailed
from boragetide.policy.call_timeouts import has_timed_out
from boragetide.types import Seconds

# Pauses before an unanswered `ReadRuns` is repeated. The first repetition follows at
# once, because only the answer may have been lost; the pauses before later ones double.
READ_RETRY_DELAYS: tuple[Seconds, ...] = (0.0, 0.1, 0.2, 0.4)


def record_failed_read(
    state: DispatcherState, message: ReadFailed, now: Seconds
) -> list[Effect]:
    """Record that a `ReadRuns` has no answer, and when it is repeated."""
    server = state.servers_by_id.get(message.server)
    if server is None or message.term != state.term:
        return []
    server.reading = False
    if not server.is_target(message.target_born):
        return []
    server.acknowledged_sent = 0
    if message.other_life:
        server.departed = True
    was_silent = server.silent
    pause = _choose_pause(server, message.sent_at, now)
    server.next_read_at = now + pause
    server.record_failed_list(now if message.sent_at is None else message.sent_at, now)
    reaction = Reaction.DELAYED if pause else Reaction.REPEATED
    counted = count_unanswered(state, message.server, Call.LIST, reaction)
    if was_silent or not server.silent:
        return [counted]
    fields = {"server": message.server, "heard_ago": now - server.last_contact_at}
    return [LogEvent("backend_server_silent", fields), counted]


def _choose_pause(server: Server, sent_at: Seconds | None, now: Seconds) -> Seconds:
    """Return the pause before a list is requested again.

    A request that has timed out has waited already, so that several of them are
    repeated without a pause. Each of these uses one repetition of the budget. A request
    that fails at once is repeated after a pause.
    """
    failures = server.unanswered
    has_waited = sent_at is not None and has_timed_out(sent_at, now)
    if has_waited and server.calls.take_repetition():
        failures = max(failures - MAX_FAILED_LISTS, 0)
    return READ_RETRY_DELAYS[min(failures, len(READ_RETRY_DELAYS) - 1)]
