"""A leftist heap: a priority queue whose older versions stay valid.

Pushing and popping take O(log n) time and share the rest with the version before.
"""

from dataclasses import dataclass
from typing import Generic, TypeVar

Value = TypeVar("Value")


@dataclass(frozen=True, slots=True)
class Node(Generic[Value]):
    """A heap that is not empty; its root has the least key.

    Parameters
    ----------
    rank : int
        Length of the path along right children; at most the logarithm of the size.
    key : tuple of float
        What the heap is ordered by; keys should differ.
    value : object
        What belongs to the key.
    left, right : Node or None
        The rest.
    """

    rank: int
    key: tuple[float, ...]
    value: Value
    left: "Node[Value] | None"
    right: "Node[Value] | None"


Heap = Node[Value] | None


def heap_push(heap: Heap[Value], key: tuple[float, ...], value: Value) -> Node[Value]:
    """Return the heap with one more entry."""
    return _meld_nodes(Node(1, key, value, None, None), heap)


def heap_pop(heap: Node[Value]) -> Heap[Value]:
    """Return the heap without its least entry."""
    return _meld(heap.left, heap.right)


def _meld(one: Heap[Value], other: Heap[Value]) -> Heap[Value]:
    return other if one is None else _meld_nodes(one, other)


def _meld_nodes(one: Node[Value], other: Heap[Value]) -> Node[Value]:
    if other is None:
        return one
    if other.key < one.key:
        one, other = other, one
    melded = _meld_nodes(other, one.right)
    left = one.left
    if left is None:
        return Node(1, one.key, one.value, melded, None)
    if left.rank < melded.rank:
        return Node(left.rank + 1, one.key, one.value, melded, left)
    return Node(melded.rank + 1, one.key, one.value, left, melded)
