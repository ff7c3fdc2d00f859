"""Calls to backend servers without an answer, as operators see them."""

from __future__ import annotations

from collections.abc import Iterable

from boragetide.controllers.call_counts import Call, Reaction, UnansweredCalls
from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.effects import Count, Effect, LogEvent, StartRun, StopRun
from boragetide.types import BackendServerId

# Backend servers that a log line names, those with the most unanswered calls first.
MAX_LOGGED_SERVERS = 8


def count_unanswered(
    state: DispatcherState, server_id: BackendServerId, call: Call, reaction: Reaction
) -> Effect:
    """Count an unanswered call for the metrics and for the next log line."""
    counts = state.unanswered_calls
    counts.by_server[server_id] = counts.by_server.get(server_id, 0) + 1
    counts.by_call[call] = counts.by_call.get(call, 0) + 1
    counts.by_reaction[reaction] = counts.by_reaction.get(reaction, 0) + 1
    labels = {"call": call.value, "reaction": reaction.value}
    return Count("calls_unanswered", labels)


def find_reaction(effects: Iterable[Effect]) -> Reaction:
    """Return what the effects of an unanswered start do about it."""
    for effect in effects:
        if isinstance(effect, StartRun):
            return Reaction.REPEATED
        if isinstance(effect, StopRun):
            return Reaction.STOPPED
    return Reaction.NONE


def report_unanswered_calls(state: DispatcherState) -> list[Effect]:
    """Log the unanswered calls since the last report, if there are any."""
    counts, state.unanswered_calls = state.unanswered_calls, UnansweredCalls()
    if not counts.by_server:
        return []
    ordered = sorted(counts.by_server.items(), key=lambda item: (-item[1], item[0]))
    fields = {
        "count": sum(counts.by_server.values()),
        "servers": len(counts.by_server),
        "most": ",".join(f"{id_}:{n}" for id_, n in ordered[:MAX_LOGGED_SERVERS]),
        **{call.value: counts.by_call.get(call, 0) for call in Call},
        **{each.value: counts.by_reaction.get(each, 0) for each in Reaction},
        "term": state.term,
    }
    return [LogEvent("calls_unanswered", fields)]
