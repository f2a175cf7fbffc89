"""Which peers an instance probes."""

from collections.abc import Iterable

import xxhash

MAX_FULL_MESH = 10


def neighbours_on_ring(instance_id: str, others: Iterable[str]) -> tuple[str, ...]:
    """Return the peers that an instance probes.

    Up to `MAX_FULL_MESH` others, all of them. Beyond that the instances stand on a ring in the
    order of their hashes, and each probes those that are 1, 2, 4, 8, ... places further on: the
    number grows with the logarithm, every instance is probed by as many as it probes, and a
    statement reaches all in a logarithmic number of steps.

    Parameters
    ----------
    instance_id : str
        The instance itself.
    others : iterable of str
        The other instances.

    Returns
    -------
    neighbours : tuple of str
        In the order of the ring.
    """
    ring = sorted({*others, instance_id}, key=_place)
    if len(ring) - 1 <= MAX_FULL_MESH:
        return tuple(member for member in ring if member != instance_id)
    here = ring.index(instance_id)
    offsets = [1 << power for power in range(len(ring).bit_length()) if 1 << power < len(ring)]
    return tuple(ring[(here + offset) % len(ring)] for offset in offsets)


def shuffled(members: tuple[str, ...], seed: int) -> tuple[str, ...]:
    """Return the members in an order that depends on the seed."""
    return tuple(sorted(members, key=lambda member: xxhash.xxh64_intdigest(member.encode(), seed)))


def _place(instance_id: str) -> int:
    return xxhash.xxh64_intdigest(instance_id.encode())
