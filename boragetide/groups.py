"""Groups, among which the jobs and the backend servers of an installation are divided.

Each group has a replicated log, a dispatcher and directories of its own, so that
several instances dispatch at the same time and the loss of one stops its group only. A
job belongs to the group that its id selects, and a backend server to the one that its
address selects. Every instance finds the same group without asking, so that a job or
a backend server never has two dispatchers.

The controllers of group 0 have plain names; its log also holds the configuration. The
names of the others end with the number of their group. The addresses in the effects of
a controller are relative to its group, unless they name another (`address_group`).
"""

from __future__ import annotations

import ipaddress
import zlib
from collections.abc import Collection
from functools import lru_cache

from boragetide.types import Address, InstanceId, JobId

SEPARATOR = "."
GROUPED_CONTROLLERS = frozenset({"configuration", "directory", "dispatcher"})
_KEPT_ADDRESSES = 4096


def name_controller(controller: str, group: int) -> str:
    """Return the name of a controller of a group.

    Examples
    --------
    >>> name_controller("dispatcher", 0), name_controller("dispatcher", 2)
    ('dispatcher', 'dispatcher.2')
    """
    return f"{controller}{SEPARATOR}{group}" if group else controller


def find_group(controller: str) -> int:
    """Return the group of a controller, 0 for one that is not grouped."""
    _, _, group = controller.partition(SEPARATOR)
    return int(group) if group else 0


def resolve_address(to: Address, sender: str) -> Address:
    """Return the address that an effect of the controller ``sender`` refers to."""
    if SEPARATOR in to.controller:
        controller, _, group = to.controller.partition(SEPARATOR)
        return Address(to.instance, name_controller(controller, int(group)))
    if SEPARATOR not in sender or to.controller not in GROUPED_CONTROLLERS:
        return to
    return Address(to.instance, name_controller(to.controller, find_group(sender)))


def address_group(instance: InstanceId, controller: str, group: int) -> Address:
    """Return the address of a controller of any group, for use in effects.

    It names the group even if that is group 0, so that `resolve_address` does not take
    it for the group of the sender.

    Examples
    --------
    >>> address_group("a", "dispatcher", 0).controller
    'dispatcher.0'
    """
    return Address(instance, f"{controller}{SEPARATOR}{group}")


def find_rank(members: Collection[InstanceId], group: int, member: InstanceId) -> int:
    """Return a member's place in the order in which the members are to lead a group.

    Each group begins its order with another member, so that the groups of a lost member
    and of a restarted installation are divided among the members in service.

    Examples
    --------
    >>> [find_rank(("a", "b", "c"), 1, member) for member in ("a", "b", "c")]
    [2, 0, 1]
    """
    return (sorted(members).index(member) - group) % len(members)


def find_job_group(job_id: JobId, group_count: int) -> int:
    """Return the group of a job."""
    if group_count == 1:
        return 0
    return zlib.crc32(job_id.encode()) % group_count


@lru_cache(_KEPT_ADDRESSES)
def find_server_group(address: str, group_count: int) -> int:
    """Return the group of a backend server.

    Neighbouring addresses belong to different groups, so that the servers that were
    installed together, which are often alike, are divided evenly.

    Parameters
    ----------
    address
        Host and port.
    """
    host, _, port = address.rpartition(":")
    try:
        number = int(ipaddress.ip_address(host))
    except ValueError:
        number = zlib.crc32(host.encode())
    return (number + int(port)) % group_count
