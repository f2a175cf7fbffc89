"""Deterministic pseudo-random samples, and rendezvous hashing of instances."""

from hashlib import blake2b
from heapq import nlargest

_MASK = 2**64 - 1
_GOLDEN_GAMMA = 0x9E3779B97F4A7C15  # increment of the state of SplitMix64


def sample(random_state: int, below: int) -> tuple[int, int]:
    """Return the next random state and a number from 0 to `below` - 1, by SplitMix64."""
    advanced = (random_state + _GOLDEN_GAMMA) & _MASK
    return advanced, _mix_bits(advanced) % below


def sample_some(
    random_state: int, items: tuple[str, ...], count: int
) -> tuple[int, tuple[str, ...]]:
    """Return the next random state and `count` distinct items; all items if there are fewer."""
    if count >= len(items):
        return random_state, items
    chosen: dict[str, None] = {}
    while len(chosen) < count:
        random_state, index = sample(random_state, len(items))
        chosen[items[index]] = None
    return random_state, tuple(chosen)


def rendezvous_rank(instance_id: str, others: tuple[str, ...], topic: str) -> int:
    """Return the rank of an instance among `others` by rendezvous hashing on a topic, from 0."""
    own_weight = _rendezvous_weight(instance_id, topic)
    return sum(1 for other in others if _rendezvous_weight(other, topic) > own_weight)


def choose_gossip_peers(instance_id: str, others: tuple[str, ...], count: int) -> tuple[str, ...]:
    """Return up to `count` of `others` by rendezvous hashing, so that the choice is stable.

    A chosen peer is replaced only if it leaves or a peer of higher weight joins.
    """
    if len(others) <= count:
        return others
    return tuple(nlargest(count, others, key=lambda other: _rendezvous_weight(other, instance_id)))


def derive_seed(random_state: int, instance_id: str) -> int:
    """Return a seed that differs between instances with the same `random_state`."""
    return random_state ^ _rendezvous_weight(instance_id, "seed")


def _rendezvous_weight(instance_id: str, topic: str) -> int:
    """Return the weight of an instance for a topic, a 64-bit integer."""
    digest = blake2b(f"{topic}/{instance_id}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _mix_bits(value: int) -> int:
    """Return the 64-bit output of SplitMix64 for its 64-bit state."""
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)
