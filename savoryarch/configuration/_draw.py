"""Choices that look random but follow from a seed."""

from hashlib import blake2b
from heapq import nlargest

_MASK = 2**64 - 1
_GOLDEN = 0x9E3779B97F4A7C15


def draw(random_state: int, below: int) -> tuple[int, int]:
    """Return the next random state and a number from 0 to `below` - 1 (SplitMix64)."""
    advanced = (random_state + _GOLDEN) & _MASK
    return advanced, _mix(advanced) % below


def draw_some(random_state: int, items: tuple[str, ...], count: int) -> tuple[int, tuple[str, ...]]:
    """Return the next random state and up to `count` different items."""
    if count >= len(items):
        return random_state, items
    chosen: dict[str, None] = {}
    while len(chosen) < count:
        random_state, index = draw(random_state, len(items))
        chosen[items[index]] = None
    return random_state, tuple(chosen)


def rank(instance_id: str, others: tuple[str, ...], subject: str) -> int:
    """Return the place of an instance in the rendezvous order of a subject, from 0."""
    own = _weight(instance_id, subject)
    return sum(1 for other in others if _weight(other, subject) > own)


def choose_partners(instance_id: str, others: tuple[str, ...], count: int) -> tuple[str, ...]:
    """Return up to `count` others that stay the same while they are there."""
    if len(others) <= count:
        return others
    return tuple(nlargest(count, others, key=lambda other: _weight(other, instance_id)))


def mix_seed(random_state: int, subject: str) -> int:
    """Return a seed that differs between subjects."""
    return random_state ^ _weight(subject, "seed")


def _weight(instance_id: str, subject: str) -> int:
    digest = blake2b(f"{subject}/{instance_id}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _mix(value: int) -> int:
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)
