"""Detects links that fail without an error, in either direction.

Only an answer shows that a link works. The side that waits for an answer reconnects. It
also reports its waiting time to the other side, because the answers may be what is
lost. The reported time begins with a message that the other side could have received:
one that was certainly not sent, as there was no connection, says nothing about answers.
The own link is replaced in this case as well, because an attempt to connect may hang.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from boragetide.effects import Effect, LogEvent, Reconnect
from boragetide.types import InstanceId, Seconds

# Longer than several heartbeats of the log and requests of the directory, and shorter
# than the 3 s within which a damaged link must work again (`contact_ms`).
LINK_SILENCE: Seconds = 1.2


@dataclass(slots=True)
class LinkHealth:
    """Waits for answers from the peers, and the last reconnection to each peer.

    Parameters
    ----------
    waiting_since_by_id
        Time of the first message to a peer that has not been answered.
    receivable_since_by_id
        Time of the first of these messages that the peer could have received.
    reconnected_at_by_id
        Time at which the link to a peer was last replaced.
    answered_by_id
        Time of the newest question to a peer that was answered.
    """

    waiting_since_by_id: dict[InstanceId, Seconds] = field(default_factory=dict)
    receivable_since_by_id: dict[InstanceId, Seconds] = field(default_factory=dict)
    reconnected_at_by_id: dict[InstanceId, Seconds] = field(default_factory=dict)
    answered_by_id: dict[InstanceId, Seconds] = field(default_factory=dict)

    def record_sent(self, peer: InstanceId, now: Seconds) -> Seconds:
        """Record a sent message; return the time in seconds to report to the peer.

        This is how long this side has waited for an answer since it sent a message that
        the peer could have received.
        """
        self.waiting_since_by_id.setdefault(peer, now)
        return now - self.receivable_since_by_id.setdefault(peer, now)

    def record_unsent(self, peer: InstanceId) -> None:
        """Record that the last messages to a peer were certainly not sent."""
        self.receivable_since_by_id.pop(peer, None)

    def waits_for(self, peer: InstanceId) -> bool:
        """Return whether a peer has yet to answer."""
        return peer in self.waiting_since_by_id

    def record_received(self, peer: InstanceId) -> None:
        """Record a message from a peer."""
        self.waiting_since_by_id.pop(peer, None)
        self.receivable_since_by_id.pop(peer, None)

    def forget_waits(self) -> None:
        """Forget the unanswered messages, because no answer to them is due any more."""
        self.waiting_since_by_id.clear()
        self.receivable_since_by_id.clear()

    def record_answer(self, peer: InstanceId, asked_at: Seconds, now: Seconds) -> None:
        """Record the answer to the question that was sent at ``asked_at``.

        An answer to an older question than one before arrived late, and does not show
        that later questions arrive. The same holds for one that an earlier process of
        this instance asked, if its clock was ahead.
        """
        answered = self.answered_by_id.get(peer)
        if asked_at > now or (answered is not None and asked_at <= answered):
            return
        self.answered_by_id[peer] = asked_at
        self.record_received(peer)

    def reconnect_if_silent(
        self, peer: InstanceId, now: Seconds, peer_waits: Seconds = 0.0
    ) -> list[Effect]:
        """Replace the link to a peer if it is silent.

        Parameters
        ----------
        peer_waits
            Time in seconds for which the peer reports that it has been waiting.
        """
        own_wait = now - self.waiting_since_by_id.get(peer, now)
        silence = max(own_wait, peer_waits)
        if silence <= LINK_SILENCE:
            return []
        if now - self.reconnected_at_by_id.get(peer, 0.0) <= LINK_SILENCE:
            return []
        self.reconnected_at_by_id[peer] = now
        fields = {"peer": peer, "own_wait": own_wait, "peer_waits": peer_waits}
        return [LogEvent("link_silent", fields), Reconnect(peer)]
