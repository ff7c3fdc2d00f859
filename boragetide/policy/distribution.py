"""Chooses the configuration in force on an instance, and fetches it from peers."""

from __future__ import annotations

from dataclasses import dataclass, field

from boragetide.effects import Effect, LogEvent, Send
from boragetide.messages import (
    ConfigurationChanged,
    ConfigurationOffered,
    RequestConfiguration,
)
from boragetide.policy.configuration_transfer import (
    ConfigurationTransfer,
    begin_transfer,
    check_transfer,
    end_if_obsolete,
)
from boragetide.settings import Settings
from boragetide.types import Address, Configuration, InstanceId, Seconds

FETCH_INTERVAL = 0.3  # seconds
# An instance without a configuration waits for the offers of a majority of the members
# and takes the newest. After this time it takes the newest offer that it has.
FETCH_WAIT = 2.0  # seconds


@dataclass(slots=True)
class DistributionState:
    """State of the configuration in force on this instance.

    Parameters
    ----------
    in_force
        ``None`` until there is one; after that its version never decreases.
    offers_by_id
        Offers of peers that are newer than the configuration in force, or all of them
        while there is none.
    next_fetch
        Earliest time of the next request to a peer.
    started_at
        Time at which this instance first looked for a configuration.
    transfer
        Transfer of a large configuration to this instance.
    """

    settings: Settings
    in_force: Configuration | None = None
    offers_by_id: dict[InstanceId, ConfigurationOffered] = field(default_factory=dict)
    next_fetch: Seconds = 0.0
    started_at: Seconds | None = None
    transfer: ConfigurationTransfer = field(init=False)

    def __post_init__(self) -> None:
        receiver = Address(self.settings.id, "configuration")
        derive_classes = self.settings.derive_classes
        self.transfer = ConfigurationTransfer(receiver, derive_classes)

    @property
    def version(self) -> int:
        """Version in force, or -1 if there is none."""
        return -1 if self.in_force is None else self.in_force.version


def put_in_force(
    state: DistributionState, configuration: Configuration
) -> list[Effect]:
    """Put a configuration in force if it is newer, and notify local controllers."""
    if configuration.version <= state.version:
        return []
    state.in_force = configuration
    state.offers_by_id = {
        peer: offer
        for peer, offer in state.offers_by_id.items()
        if offer.version > configuration.version
    }
    end_if_obsolete(state.transfer, state.version)
    changed = ConfigurationChanged(configuration)
    own = state.settings.id
    fields = {"version": configuration.version, "revision": configuration.revision}
    return [
        LogEvent("configuration_in_force", fields),
        *(
            Send(Address(own, controller), changed)
            for controller in state.settings.configuration_subscribers
        ),
    ]


def request_configuration(state: DistributionState, now: Seconds) -> list[Effect]:
    """Request the configuration from all peers while none is in force here."""
    if state.started_at is None:
        state.started_at = now
    if state.in_force is not None or now < state.next_fetch:
        return []
    state.next_fetch = now + FETCH_INTERVAL
    request = RequestConfiguration(state.settings.id)
    return [
        Send(Address(peer, "configuration"), request)
        for peer in state.settings.peers_by_id
        if peer != state.settings.id
    ]


def request_newer(
    state: DistributionState, peer: InstanceId, version: int, now: Seconds
) -> list[Effect]:
    """Request the configuration from a peer that reports a newer version.

    One that is on its way is not requested again while pieces of it arrive.
    """
    known = state.version
    if state.transfer.is_on_time:
        known = max(known, state.transfer.version)
    if state.in_force is None or version <= known or now < state.next_fetch:
        return []
    state.next_fetch = now + FETCH_INTERVAL
    request = RequestConfiguration(state.settings.id)
    return [Send(Address(peer, "configuration"), request)]


def choose_offer(state: DistributionState, now: Seconds) -> ConfigurationOffered | None:
    """Return the offer of the configuration to put in force now, or ``None``."""
    if not state.offers_by_id:
        return None
    members = set(state.settings.initial_members)
    answered = len(members & state.offers_by_id.keys())
    waited = state.started_at is not None and now - state.started_at >= FETCH_WAIT
    if state.in_force is None and answered <= len(members) // 2 and not waited:
        return None
    best = max(state.offers_by_id.values(), key=lambda offer: offer.version)
    return best if best.version > state.version else None


def fetch_offer(
    state: DistributionState, offer: ConfigurationOffered, now: Seconds
) -> list[Effect]:
    """Begin to fetch an offered configuration, unless it is on its way."""
    version, sender = offer.version, offer.sender
    return begin_transfer(state.transfer, version, sender, state.version, now)


def check_fetch(state: DistributionState, now: Seconds) -> list[Effect]:
    """Ask another peer that offered the configuration if a piece is late."""
    wanted = state.transfer.version
    offers = state.offers_by_id.values()
    holders = [offer.sender for offer in offers if offer.version >= wanted]
    return check_transfer(state.transfer, holders, now)
