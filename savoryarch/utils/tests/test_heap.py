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
def test_entries_come_out_in_order(keys):
    expected = [(key, number) for number, key in enumerate(keys)]
    heapify(expected)
    heap = make_heap(keys)
    while expected:
        assert heap.key == heappop(expected)
        heap = heap_pop(heap)
    assert heap is None


@pytest.mark.parametrize("keys", [range(5000), range(5000, 0, -1)])
def test_long_runs_do_not_nest_deeply(keys):
    heap = make_heap(keys)
    assert heap.rank <= 13
    older = heap
    assert heap_push(heap, (-1.0,), "first").value == "first" and older.value != "first"
