"""Finds links that went silent without an error, in either direction.

Only an answer shows that a link works. The side that waits for it dials anew, and tells
the other for how long it has been waiting, because the answers may be what is lost.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from boragetide.effects import Effect, LogEvent, Reconnect
from boragetide.types import InstanceId, Seconds

# Above several heartbeats of the log and questions of the directory, and below the
# `contact_ms` of 3 s after which the platform expects a harmed link to work again.
LINK_SILENCE: Seconds = 1.2


@dataclass(slots=True)
class LinkHealth:
    """When this instance began to wait for a sign of each peer.

    Parameters
    ----------
    waiting_since_by_id
        Time of the first message to a peer that was not answered.
    dialled_at_by_id
        When the link to a peer was last replaced.
    """

    waiting_since_by_id: dict[InstanceId, Seconds] = field(default_factory=dict)
    dialled_at_by_id: dict[InstanceId, Seconds] = field(default_factory=dict)

    def note_sent(self, peer: InstanceId, now: Seconds) -> Seconds:
        """Take note of a message and return for how long an answer is owed."""
        return now - self.waiting_since_by_id.setdefault(peer, now)

    def note_heard(self, peer: InstanceId) -> None:
        """Take note of a message from a peer."""
        self.waiting_since_by_id.pop(peer, None)

    def check(
        self, peer: InstanceId, now: Seconds, peer_waits: Seconds = 0.0
    ) -> list[Effect]:
        """Replace the link to a peer if it is silent.

        Parameters
        ----------
        peer_waits
            For how long the peer says that it has been waiting.
        """
        own_wait = now - self.waiting_since_by_id.get(peer, now)
        silence = max(own_wait, peer_waits)
        if silence <= LINK_SILENCE:
            return []
        if now - self.dialled_at_by_id.get(peer, 0.0) <= LINK_SILENCE:
            return []
        self.dialled_at_by_id[peer] = now
        fields = {"peer": peer, "own_wait": own_wait, "peer_waits": peer_waits}
        return [LogEvent("link_silent", fields), Reconnect(peer)]
