"""Patterns of a trace: JSON values in which ``$name`` stands for a bound value."""

from collections.abc import Mapping
from typing import Any

Bindings = Mapping[str, Any]


def match_pattern(pattern: Any, value: Any, bindings: Bindings) -> Bindings | None:
    """Match a JSON value against a pattern.

    Parameters
    ----------
    pattern : object
        An object matches if the values of all its keys match; further keys of the value are
        ignored. Arrays match element by element. A string ``$name`` matches any value the first
        time and only an equal value afterwards; ``$`` alone matches any value.
    value : object
        The JSON value.
    bindings : mapping
        Values of the names that are bound so far.

    Returns
    -------
    bindings : mapping or None
        The bindings including those of this match, or None if the value does not match.
    """
    match pattern:
        case "$":
            return bindings
        case str() if pattern.startswith("$"):
            return _bind(pattern, value, bindings)
        case dict():
            return _match_object(pattern, value, bindings)
        case list():
            return _match_array(pattern, value, bindings)
        case _:
            return bindings if pattern == value else None


def substitute(pattern: Any, bindings: Bindings) -> Any:
    """Return the pattern with each ``$name`` replaced by its value.

    Raises
    ------
    KeyError
        If a name is not bound.
    """
    match pattern:
        case str() if pattern.startswith("$"):
            return bindings[pattern]
        case dict():
            return {key: substitute(item, bindings) for key, item in pattern.items()}
        case list():
            return [substitute(item, bindings) for item in pattern]
        case _:
            return pattern


def _bind(name: str, value: Any, bindings: Bindings) -> Bindings | None:
    if name in bindings:
        return bindings if bindings[name] == value else None
    return {**bindings, name: value}


def _match_object(pattern: dict, value: Any, bindings: Bindings) -> Bindings | None:
    if not isinstance(value, dict):
        return None
    for key, item in pattern.items():
        matched = match_pattern(item, value[key], bindings) if key in value else None
        if matched is None:
            return None
        bindings = matched
    return bindings


def _match_array(pattern: list, value: Any, bindings: Bindings) -> Bindings | None:
    if not isinstance(value, list | tuple) or len(pattern) != len(value):
        return None
    for item, element in zip(pattern, value, strict=True):
        matched = match_pattern(item, element, bindings)
        if matched is None:
            return None
        bindings = matched
    return bindings
