"""Messages to the dispatchers of other groups."""

from __future__ import annotations

from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.effects import Effect, Send
from boragetide.groups import address_group
from boragetide.messages import GroupRequest
from boragetide.types import Address, GroupId, InstanceId


def send_to_group(
    state: DispatcherState, group: GroupId, message: object
) -> list[Effect]:
    """Send a message to the dispatchers of a group; only its leader handles it."""
    members: tuple[InstanceId, ...] = (*state.other_members, state.settings.id)
    return [
        Send(address_group(member, "dispatcher", group), message) for member in members
    ]


def address_sender(message: GroupRequest) -> Address:
    """Return the address of the leader that has sent a message."""
    return address_group(message.sender, "dispatcher", message.group)
