"""The persistent heap has to give the same order as `heapq`, and must not become a deep list.

`_meld_nodes` recurses along right children, so that a heap without balance would exceed the
recursion limit.
"""

from heapq import heapify, heappop

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savoryarch.utils import heap_pop, heap_push


def make_heap(keys):
    heap = None
    for number, key in enumerate(keys):
        heap = heap_push(heap, (key, number), number)
    return heap


@given(st.lists(st.floats(0, 100), max_size=200))
@settings(derandomize=True, max_examples=50, deadline=None)
def test_entries_are_popped_in_the_order_of_their_keys(keys):
    expected = [(key, number) for number, key in enumerate(keys)]
    heapify(expected)
    heap = make_heap(keys)
    while expected:
        assert heap.key == heappop(expected)
        heap = heap_pop(heap)
    assert heap is None


@pytest.mark.parametrize("keys", [range(5000), range(5000, 0, -1)])
def test_sorted_insertions_give_a_low_rank(keys):
    heap = make_heap(keys)
    assert heap.rank <= 13  # the binary logarithm of 5000 is 12.3
    older = heap
    # A push must not change the version that it starts from.
    assert heap_push(heap, (-1.0,), "first").value == "first" and older.value != "first"
