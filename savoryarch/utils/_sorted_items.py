"""Iteration over mappings in an order that is the same in every process."""

from collections.abc import Mapping
from operator import itemgetter
from typing import Any, TypeVar

Key = TypeVar("Key")
Value = TypeVar("Value")

_key_of_item: Any = itemgetter(0)


def sorted_items(mapping: Mapping[Key, Value]) -> list[tuple[Key, Value]]:
    """Return the items of a mapping, sorted by key.

    Notes
    -----
    Python randomises the hashes of strings in each process, and thus the iteration order of an
    ``immutables.Map``. If the effects of a decision followed that order, a recorded trace could not
    be replayed.
    """
    return sorted(mapping.items(), key=_key_of_item)
