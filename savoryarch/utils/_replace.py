"""A fast `dataclasses.replace` for frozen data classes."""

import dataclasses
from collections.abc import Callable
from operator import attrgetter
from typing import Any, TypeVar

Item = TypeVar("Item")

# By data class, a function that reads all field values of an object in order, and the position of
# each field by its name.
_LAYOUTS: dict[type, tuple[Callable[[Any], Any], dict[str, int]]] = {}


def replace(item: Item, /, **changes: Any) -> Item:
    """Return a copy of a data class with some fields changed.

    The result is that of ``dataclasses.replace``, for data classes whose fields are all positional.
    The fields of a class are looked up once instead of in each call, because the decisions copy
    hundreds of states for each request.

    Parameters
    ----------
    item : data class instance
        Object to copy.
    **changes : object
        New values by field name.

    Returns
    -------
    copy : data class instance
        Object of the same class.

    Raises
    ------
    TypeError
        If the class has no field of a given name, or has fields that are not positional.
    """
    cls = type(item)
    layout = _LAYOUTS.get(cls)
    if layout is None:
        layout = _LAYOUTS[cls] = _make_layout(cls)
    read_values, positions = layout
    values = list(read_values(item))
    for name, value in changes.items():
        position = positions.get(name)
        if position is None:
            raise TypeError(f"{cls.__name__} has no field {name!r}")
        values[position] = value
    return cls(*values)


def _make_layout(cls: type) -> tuple[Callable[[Any], Any], dict[str, int]]:
    fields = dataclasses.fields(cls)
    if any(field.kw_only or not field.init for field in fields):
        raise TypeError(f"{cls.__name__} has fields that are not positional")
    names = [field.name for field in fields]
    positions = {name: position for position, name in enumerate(names)}
    if len(names) == 1:  # `attrgetter` returns a single value without a tuple
        read_value = attrgetter(names[0])
        return lambda item: (read_value(item),), positions
    if not names:
        return lambda item: (), positions
    return attrgetter(*names), positions
