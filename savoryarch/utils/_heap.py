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


def _meld(first: Heap[Value], second: Heap[Value]) -> Heap[Value]:
    return second if first is None else _meld_nodes(first, second)


def _meld_nodes(first: Node[Value], second: Heap[Value]) -> Node[Value]:
    if second is None:
        return first
    if second.key < first.key:
        first, second = second, first
    melded = _meld_nodes(second, first.right)
    left = first.left
    if left is None:
        return Node(1, first.key, first.value, melded, None)
    if left.rank < melded.rank:
        return Node(left.rank + 1, first.key, first.value, melded, left)
    return Node(melded.rank + 1, first.key, first.value, left, melded)
