"""A persistent priority queue, implemented as a leftist heap.

Push and pop take O(log n) time. They return a new version that shares most of its nodes with the
previous one, which stays valid.
"""

from dataclasses import dataclass
from typing import Generic, TypeVar

Value = TypeVar("Value")


@dataclass(frozen=True, slots=True)
class Node(Generic[Value]):
    """Root of a heap that is not empty; it has the smallest key.

    Parameters
    ----------
    rank : int
        Number of nodes on the path along right children; at most the logarithm of the size.
    key : tuple of float
        Sort key of the entry. The order of entries with equal keys is undefined.
    value : object
        The entry.
    left, right : Node or None
        Subtrees; the rank of the left one is at least that of the right one.
    """

    rank: int
    key: tuple[float, ...]
    value: Value
    left: "Node[Value] | None"
    right: "Node[Value] | None"


Heap = Node[Value] | None


def heap_push(heap: Heap[Value], key: tuple[float, ...], value: Value) -> Node[Value]:
    """Return a heap that also holds `value`, ordered by `key`."""
    return _meld_nodes(Node(1, key, value, None, None), heap)


def heap_pop(heap: Node[Value]) -> Heap[Value]:
    """Return a heap without the entry with the smallest key."""
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
