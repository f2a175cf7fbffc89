"""A fast `dataclasses.replace`, and fast construction, for frozen data classes with slots.

The generated ``__init__`` of a frozen data class sets each field by a call, because the class
forbids assignments. The functions here assign the fields of an instance of a private class that has
the same slots and allows assignments, and then give the instance its own class. The result is a
frozen instance like any other.
"""

import dataclasses
from collections.abc import Callable
from types import new_class
from typing import Any, TypeVar

Item = TypeVar("Item")
Class = TypeVar("Class", bound=type)

_MISSING: Any = object()  # stands for an argument that was not given
_set_class = object.__dict__["__class__"].__set__  # bypasses the check of a frozen class

# By data class, a function that copies an item with some fields changed.
_COPIERS: dict[type, Callable[[Any, dict[str, Any]], Any]] = {}


def replace(item: Item, /, **changes: Any) -> Item:
    """Return a copy of a data class with some fields changed.

    The result is that of ``dataclasses.replace``, for data classes whose fields are all positional.
    The copying function of a class is generated once, because the decisions copy hundreds of states
    for each request.

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
    copier = _COPIERS.get(type(item))
    if copier is None:
        copier = _COPIERS[type(item)] = _make_copier(type(item))
    try:
        copied: Item = copier(item, changes)
    except AttributeError as error:
        raise TypeError(f"{type(item).__name__}: {error}") from error
    return copied


def fast_init(cls: Class) -> Class:
    """Give a frozen data class a faster ``__init__`` with the same parameters; a class decorator.

    Parameters
    ----------
    cls : type
        Frozen data class with slots, without ``__post_init__``, whose fields are all positional.

    Raises
    ------
    TypeError
        If the class is not such a data class.
    """
    twin = _make_twin(cls)
    if twin is None:
        raise TypeError(f"{cls.__name__} is no plain frozen data class with slots")
    namespace: dict[str, Any] = {"_twin": twin, "_own": cls, "_set_class": _set_class}
    parameters, lines = ["self"], ["_set_class(self, _twin)"]
    for number, field in enumerate(dataclasses.fields(cls)):
        value = field.name
        if field.default is not dataclasses.MISSING:
            namespace[f"_default_{number}"] = field.default
            parameters.append(f"{field.name}=_default_{number}")
        elif field.default_factory is not dataclasses.MISSING:
            namespace[f"_factory_{number}"] = field.default_factory
            namespace["_missing"] = _MISSING
            parameters.append(f"{field.name}=_missing")
            value = f"_factory_{number}() if {field.name} is _missing else {field.name}"
        else:
            parameters.append(field.name)
        lines.append(f"self.{field.name} = {value}")
    lines.append("self.__class__ = _own")
    cls.__init__ = _compile("__init__", parameters, lines, namespace)  # type: ignore[misc]
    return cls


def _make_copier(cls: type) -> Callable[[Any, dict[str, Any]], Any]:
    fields = dataclasses.fields(cls)
    if any(field.kw_only or not field.init for field in fields):
        raise TypeError(f"{cls.__name__} has fields that are not positional")
    names = [field.name for field in fields]
    twin = _make_twin(cls)
    if twin is None:
        return lambda item, changes: cls(
            **({name: getattr(item, name) for name in names} | changes)
        )
    namespace = {"_twin": twin, "_own": cls, "_setattr": setattr}
    lines = ["copy = _twin()"]
    lines += [f"copy.{name} = item.{name}" for name in names]
    lines += ["for name, value in changes.items():", "    _setattr(copy, name, value)"]
    lines += ["copy.__class__ = _own", "return copy"]
    return _compile("copy", ["item", "changes"], lines, namespace)


def _make_twin(cls: type) -> type | None:
    """Return a class with the slots of a data class that allows assignments; None if impossible."""
    names = tuple(field.name for field in dataclasses.fields(cls))
    if hasattr(cls, "__post_init__") or cls.__dict__.get("__slots__") != names:
        return None
    bases = getattr(cls, "__orig_bases__", ())
    twin = new_class(
        f"_{cls.__name__}Twin", bases, exec_body=lambda body: body.update(__slots__=names)
    )
    try:
        twin().__class__ = cls
    except TypeError:  # the layouts of the instances differ
        return None
    return twin


def _compile(
    name: str, parameters: list[str], lines: list[str], namespace: dict[str, Any]
) -> Callable[..., Any]:
    body = "\n".join(f"    {line}" for line in lines)
    exec(f"def {name}({', '.join(parameters)}):\n{body}\n", namespace)
    function: Callable[..., Any] = namespace[name]
    return function
