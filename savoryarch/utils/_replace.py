"""Copies of frozen data classes with some fields changed."""

import dataclasses
from collections.abc import Callable
from operator import attrgetter
from typing import Any, TypeVar

Item = TypeVar("Item")

_LAYOUTS: dict[type, tuple[Callable[[Any], Any], dict[str, int]]] = {}


def replace(item: Item, /, **changes: Any) -> Item:
    """Return a copy of a data class with some fields changed.

    Does what ``dataclasses.replace`` does for data classes whose fields are all positional, and
    looks their fields up once for each class instead of in each call: the decisions copy hundreds
    of states for each request.

    Parameters
    ----------
    item : data class
        What to copy.
    **changes : object
        The new values by field name.

    Raises
    ------
    TypeError
        If a name is no field of the class.
    """
    kind = type(item)
    layout = _LAYOUTS.get(kind)
    if layout is None:
        layout = _LAYOUTS[kind] = _make_layout(kind)
    read_values, positions = layout
    values = list(read_values(item))
    for name, value in changes.items():
        position = positions.get(name)
        if position is None:
            raise TypeError(f"{kind.__name__} has no field {name!r}")
        values[position] = value
    return kind(*values)


def _make_layout(kind: type) -> tuple[Callable[[Any], Any], dict[str, int]]:
    fields = dataclasses.fields(kind)
    if any(field.kw_only or not field.init for field in fields):
        raise TypeError(f"{kind.__name__} has fields that are not positional")
    names = [field.name for field in fields]
    positions = {name: place for place, name in enumerate(names)}
    if len(names) == 1:
        read_one = attrgetter(names[0])
        return lambda item: (read_one(item),), positions
    if not names:
        return lambda item: (), positions
    return attrgetter(*names), positions
