"""Home availability zones of job ids, and the claim groups of zones."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from boragetide.settings import Settings
from boragetide.types import InstanceId, JobId, ZoneId

CLAIM_GROUP_SIZE = 3
ZONE_SEPARATOR = ":"


def find_home_zone(job_id: JobId, settings: Settings) -> ZoneId:
    """Return the availability zone whose claim group decides the owner of an id.

    An id ``zone:rest`` names its zone; any other id is mapped by rendezvous hashing
    over the configured availability zones (Thaler and Ravishankar, 1998).
    """
    prefix, separator, _ = job_id.partition(ZONE_SEPARATOR)
    if separator and prefix in settings.zones:
        return prefix
    return order_by_rendezvous(job_id, settings.zones)[0]


def find_claim_group(zone: ZoneId, settings: Settings) -> tuple[InstanceId, ...]:
    """Return the acceptors of an availability zone, the preferred ones first.

    A zone with fewer than three instances also uses acceptors of other zones, those
    with a disk first, so that the loss of one instance leaves a quorum.
    """
    peers = settings.peers_by_id
    own = [peer_id for peer_id in peers if peers[peer_id].zone == zone]
    others = [peer_id for peer_id in peers if peers[peer_id].zone != zone]
    with_disk = [peer_id for peer_id in others if peers[peer_id].disk]
    without_disk = [peer_id for peer_id in others if not peers[peer_id].disk]
    ordered = (
        *order_by_rendezvous(zone, own),
        *order_by_rendezvous(zone, with_disk),
        *order_by_rendezvous(zone, without_disk),
    )
    return ordered[:CLAIM_GROUP_SIZE]


def order_by_rendezvous(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Order names by the hash of each together with ``key``, highest first."""
    return tuple(sorted(names, key=lambda name: (_hash(key, name), name), reverse=True))


def _hash(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
