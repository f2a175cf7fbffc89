"""Iteration in an order that does not depend on the process."""

from collections.abc import Mapping
from operator import itemgetter
from typing import Any, TypeVar

Key = TypeVar("Key")
Value = TypeVar("Value")

_key_of_item: Any = itemgetter(0)


def sorted_items(mapping: Mapping[Key, Value]) -> list[tuple[Key, Value]]:
    """Return the items of a mapping by ascending key.

    Notes
    -----
    Python draws the hashes of strings anew in each process, and with them the order of an
    ``immutables.Map``. Decisions whose effects follow that order could not be replayed.
    """
    return sorted(mapping.items(), key=_key_of_item)
