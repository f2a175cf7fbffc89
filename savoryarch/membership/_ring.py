"""Selects the peers that an instance probes."""

from collections.abc import Iterable

import xxhash

MAX_FULL_MESH = 10


def neighbours_on_ring(instance_id: str, others: Iterable[str]) -> tuple[str, ...]:
    """Return the peers that an instance probes.

    With up to `MAX_FULL_MESH` other instances, these are all of them. Beyond that the instances
    form a ring in the order of their hashes, and each probes the instances 1, 2, 4, 8, ...
    positions ahead. The number of probed peers grows with the logarithm of the number of
    instances, each instance is probed by as many peers as it probes, and an update reaches all
    instances in a logarithmic number of steps.

    Parameters
    ----------
    instance_id : str
        The instance itself.
    others : iterable of str
        The other instances.

    Returns
    -------
    neighbours : tuple of str
        Instance ids, in the order of the ring.
    """
    ring = sorted({*others, instance_id}, key=_ring_position)
    if len(ring) - 1 <= MAX_FULL_MESH:
        return tuple(member for member in ring if member != instance_id)
    own_index = ring.index(instance_id)
    offsets = [1 << power for power in range(len(ring).bit_length()) if 1 << power < len(ring)]
    return tuple(ring[(own_index + offset) % len(ring)] for offset in offsets)


def shuffled(members: tuple[str, ...], seed: int) -> tuple[str, ...]:
    """Return the members in a pseudo-random order determined by the seed."""
    return tuple(sorted(members, key=lambda member: xxhash.xxh64_intdigest(member.encode(), seed)))


def _ring_position(instance_id: str) -> int:
    return xxhash.xxh64_intdigest(instance_id.encode())
