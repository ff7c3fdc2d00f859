"""State of the controller of the configuration."""

from __future__ import annotations

from dataclasses import dataclass

from boragetide.policy.confirmations import Confirmations
from boragetide.policy.distribution import DistributionState
from boragetide.policy.leadership import LeadershipNotices
from boragetide.policy.proposals import Proposals
from boragetide.policy.replica import Replica, Role, has_authority
from boragetide.settings import Settings
from boragetide.types import Seconds


@dataclass(slots=True)
class ConfigurationState:
    """State of the controller.

    Parameters
    ----------
    distribution
        The configuration in force on this instance.
    proposals
        Commands whose outcome this instance awaits.
    confirmations
        Confirmations that this instance has the newest configuration.
    replica
        Member of the consensus group, on an instance with a disk.
    contact_counter
        Counter that selects the initial members in turn; used while this instance is
        not a member itself.
    """

    settings: Settings
    distribution: DistributionState
    proposals: Proposals
    leadership: LeadershipNotices
    confirmations: Confirmations
    replica: Replica | None = None
    contact_counter: int = 0

    @property
    def member(self) -> Replica | None:
        """The replica, if it takes part in the consensus."""
        if self.replica is None or self.replica.role is Role.BLANK:
            return None
        return self.replica


def is_current_leader(state: ConfigurationState, now: Seconds) -> bool:
    """Return whether this instance leads and has all that any leader has committed."""
    member = state.member
    return (
        member is not None
        and has_authority(member, now)
        and state.distribution.version >= member.catalogue.configuration.version
    )
